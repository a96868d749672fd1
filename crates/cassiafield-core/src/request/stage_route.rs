use {
    crate::{
        ids::{EndpointId, ModelId},
        request::LayerSpan,
    },
    compact_str::CompactString,
    std::fmt,
};

/// A stage of a pipeline route: an endpoint and the layers that it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct RouteStage {
    /// Endpoint that runs the stage.
    pub endpoint: EndpointId,
    /// The endpoint's `address:port`.
    pub address: CompactString,
    /// Layers that the endpoint runs.
    pub span: LayerSpan,
}

/// A pipeline route that has not been validated.
#[derive(Clone, Debug)]
pub struct RouteDraft {
    /// Model to run.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: u16,
    /// Stages in order of execution.
    pub stages: Vec<RouteStage>,
}

/// A validated pipeline route, whose stages cover each of the layers `0..layers` once and in order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize)]
pub struct StageRoute {
    model: ModelId,
    layers: u16,
    stages: Vec<RouteStage>,
}

/// Reason why a draft is not a valid pipeline route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteError {
    /// A stage does not start where the previous one ends.
    NonContiguous {
        /// Index of the stage.
        stage: usize,
        /// Layer at which the stage should start.
        expected: u16,
        /// Layer at which the stage starts.
        found: u16,
    },
    /// The last stage does not end at the last layer.
    Incomplete {
        /// Number of layers of the model.
        expected: u16,
        /// Layer at which the stages end.
        found: u16,
    },
}

impl StageRoute {
    /// Returns the model.
    #[must_use]
    pub const fn model(&self) -> &ModelId {
        &self.model
    }

    /// Returns the stages in order of execution.
    #[must_use]
    pub fn stages(&self) -> &[RouteStage] {
        &self.stages
    }

    /// Returns the layer spans of the stages in order of execution.
    pub fn spans(&self) -> impl Iterator<Item = LayerSpan> + '_ {
        self.stages.iter().map(|stage| stage.span)
    }

    /// Returns `true` if the route passes through `endpoint`.
    #[must_use]
    pub fn visits(&self, endpoint: &EndpointId) -> bool {
        self.stages.iter().any(|stage| &stage.endpoint == endpoint)
    }
}

impl TryFrom<RouteDraft> for StageRoute {
    type Error = RouteError;

    fn try_from(draft: RouteDraft) -> Result<Self, RouteError> {
        let mut expected = 0;
        for (index, stage) in draft.stages.iter().enumerate() {
            let found = stage.span.start();
            if found != expected {
                return Err(RouteError::NonContiguous { stage: index, expected, found });
            }
            expected = stage.span.end();
        }
        if expected != draft.layers || draft.layers == 0 {
            return Err(RouteError::Incomplete { expected: draft.layers, found: expected });
        }
        Ok(Self { model: draft.model, layers: draft.layers, stages: draft.stages })
    }
}

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RouteError::NonContiguous { stage, expected, found } => {
                write!(f, "stage {stage} starts at layer {found}, expected {expected}")
            }
            RouteError::Incomplete { expected, found } => {
                write!(f, "the stages end at layer {found} of {expected}")
            }
        }
    }
}

impl std::error::Error for RouteError {}

use {
    crate::{
        process::PathFailure,
        request::{
            carried_call::CarriedLoad,
            stream_call::{describe_route, join_ids},
        },
    },
    cassiafield_core::{
        ids::EndpointId,
        request::{RouteStage, StageRoute},
    },
    std::fmt,
};

/// Where the events of a stream come from.
pub(super) enum StreamSource {
    /// A path of endpoints.
    Path(StageRoute),
    /// Another host, which has a path of its own.
    Carrier(CarriedLoad),
}

impl StreamSource {
    /// Returns the stages of this host's own path, if it has one.
    pub(super) fn stages(&self) -> &[RouteStage] {
        match self {
            StreamSource::Path(route) => route.stages(),
            StreamSource::Carrier(_) => &[],
        }
    }

    /// Returns the first endpoint of this host's own path.
    pub(super) fn first_endpoint(&self) -> Option<&EndpointId> {
        self.stages().first().map(|stage| &stage.endpoint)
    }

    /// Returns the host that carries the stream, if one does.
    pub(super) const fn carrier(&self) -> Option<&CarriedLoad> {
        match self {
            StreamSource::Path(_) => None,
            StreamSource::Carrier(load) => Some(load),
        }
    }
}

impl fmt::Display for StreamSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamSource::Path(route) => f.write_str(&describe_route(route)),
            StreamSource::Carrier(load) => write!(f, "host {}", load.carrier.host),
        }
    }
}

/// Why a stream makes no progress on its path.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum StallCause {
    /// These endpoints do not respond; none if all do.
    Unresponsive(Vec<EndpointId>),
    /// These endpoints owe the answer to a probe, the first one among them.
    Suspect(Vec<EndpointId>),
    /// This host has no way to the endpoints.
    OutOfReach,
}

impl From<PathFailure> for StallCause {
    fn from(failure: PathFailure) -> Self {
        match failure {
            PathFailure::Unresponsive(endpoints) => StallCause::Unresponsive(endpoints),
            PathFailure::OutOfReach => StallCause::OutOfReach,
        }
    }
}

impl fmt::Display for StallCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StallCause::Unresponsive(endpoints) if endpoints.is_empty() => {
                f.write_str("stalled although all its endpoints respond")
            }
            StallCause::Unresponsive(endpoints) => {
                write!(f, "stalled; unresponsive: {}", join_ids(endpoints))
            }
            StallCause::Suspect(endpoints) => {
                write!(f, "stalled; suspect: {}", join_ids(endpoints))
            }
            StallCause::OutOfReach => f.write_str("stalled; its endpoints are out of reach"),
        }
    }
}

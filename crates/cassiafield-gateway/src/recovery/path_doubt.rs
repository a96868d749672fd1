use cassiafield_core::ids::EndpointId;

/// Endpoints that are likely to be why a stream's path is late.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathDoubt {
    /// The endpoints, in the order of the path; never empty.
    pub endpoints: Vec<EndpointId>,
    /// Whether they are known to be unresponsive; otherwise they only owe the answer to a probe, which concerns no
    /// other stream.
    pub is_verdict: bool,
}

impl PathDoubt {
    /// Returns the label in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        if self.is_verdict {
            "unresponsive"
        } else {
            "suspect"
        }
    }
}

use {
    crate::{ids::EndpointId, process::ZonePair},
    std::fmt,
};

/// A part of a path that takes time for each event of a stream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PathPart {
    /// A stage at an endpoint.
    Endpoint(EndpointId),
    /// The link between two availability zones.
    Link(ZonePair),
}

impl fmt::Display for PathPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PathPart::Endpoint(endpoint) => write!(f, "endpoint {endpoint}"),
            PathPart::Link(pair) => write!(f, "link {pair}"),
        }
    }
}

/// A part of a path with the time that it is planned to take for each event.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedPart {
    /// The part.
    pub part: PathPart,
    /// Planned time per event by the profile and the load, in milliseconds.
    pub gap_ms: f64,
    /// Time by which one more stream delays an event of those there, in milliseconds.
    pub joined_ms: f64,
}

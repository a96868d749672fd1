use {
    crate::{ids::ServiceId, process::EngineProfile},
    compact_str::CompactString,
    std::time::Duration,
};

/// A service of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Identifier of the service.
    pub service: ServiceId,
    /// Path of the health check.
    pub health_path: CompactString,
    /// Maximum number of connections that all hosts together open to one endpoint.
    pub max_connections: u32,
    /// Profile of the model engine, if the endpoints run one.
    pub engine: Option<EngineProfile>,
}

/// Size limits and timeouts for the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of the request header section.
    pub max_header_bytes: usize,
    /// Maximum size of the request body.
    pub max_body_bytes: usize,
    /// Maximum time to receive the request header section.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits of a host that has not loaded a configuration yet.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 1_024 * 1_024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

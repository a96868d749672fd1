use {
    crate::{ids::ServiceId, process::EngineProfile},
    compact_str::CompactString,
    std::time::Duration,
};

/// One service of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// The service.
    pub service: ServiceId,
    /// Path of its health check.
    pub health_path: CompactString,
    /// Connections that one endpoint accepts from all hosts together.
    pub max_connections: u32,
    /// Figures of its model engine, if its endpoints run one.
    pub engine: Option<EngineProfile>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Longest request head, in bytes.
    pub max_header_bytes: usize,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request head.
    pub header_timeout: Duration,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits of a host that has no configuration yet.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1_024,
            max_body_bytes: 1_024 * 1_024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

use std::fmt;

/// A listener of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Requests that other hosts hand over.
    Hosts,
    /// The readiness check.
    Readiness,
    /// Metrics and what operators ask for.
    Metrics,
}

impl ListenerKind {
    /// All listeners, for metrics.
    pub const ALL: [ListenerKind; 4] = [
        ListenerKind::Callers,
        ListenerKind::Hosts,
        ListenerKind::Readiness,
        ListenerKind::Metrics,
    ];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            ListenerKind::Callers => "callers",
            ListenerKind::Hosts => "hosts",
            ListenerKind::Readiness => "readiness",
            ListenerKind::Metrics => "metrics",
        }
    }
}

impl fmt::Display for ListenerKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

use {crate::ids::ServiceId, compact_str::CompactString, std::time::Duration};

/// Retry semantics of the requests of a route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that may run at most once.
    AtMostOnce,
    /// An event stream that another endpoint may resume after the last delivered event.
    ResumableStream,
    /// An event stream whose request may run at most once.
    AtMostOnceStream,
}

impl RequestKind {
    /// Returns `true` if a request of this kind may be retried after it may have run.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Returns `true` if the responses of this kind are event streams.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, RequestKind::ResumableStream | RequestKind::AtMostOnceStream)
    }
}

/// A service that a route sends requests to, with its weight.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// A route of the operators' configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: CompactString,
    /// Value of the `Host` header that selects the route.
    pub host: CompactString,
    /// Path prefix that selects the route; begins and ends with a slash.
    pub prefix: CompactString,
    /// Retry semantics of the requests.
    pub kind: RequestKind,
    /// Weighted services that receive the requests.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints that one request is sent to.
    pub attempts: u32,
    /// Time limit of a request, counted from its arrival; the caller may set a shorter one.
    pub timeout: Duration,
    /// Latency objective for the response, or for the first event of a stream.
    pub latency_objective: Duration,
    /// Objective for the time between two events of a stream.
    pub event_gap_objective: Option<Duration>,
    /// Priority among routes; 0 is the highest.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub is_public: bool,
    /// Whether requests state the parts of their prompts, so that a path may be chosen by them.
    pub has_affinity: bool,
}

impl RouteRule {
    /// Returns the service for a request, chosen by weight.
    ///
    /// The choice is a function of `draw`, so equal draws select the same service.
    #[must_use]
    pub fn target(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|target| &target.service);
        }
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}

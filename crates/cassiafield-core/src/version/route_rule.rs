use {crate::ids::ServiceId, compact_str::CompactString, std::time::Duration};

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A series of events that may go on at another endpoint after the last event delivered.
    ResumableStream,
    /// A series of events that may run at most once.
    AtMostOnceStream,
}

impl RequestKind {
    /// Says whether a request of this kind may be sent again after it may have run.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Says whether answers of this kind are series of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, RequestKind::ResumableStream | RequestKind::AtMostOnceStream)
    }
}

/// A service that a route sends to, and its part of the route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other targets of the route.
    pub weight: u32,
}

/// One route of the operators' configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteRule {
    /// Its name.
    pub name: CompactString,
    /// The `Host` that selects it.
    pub host: CompactString,
    /// The beginning of the paths that select it; begins and ends with a slash.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Most endpoints that one request may be sent to.
    pub attempts: u32,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of one, is on time.
    pub objective: Duration,
    /// Longest pause between events for which a stream is on time.
    pub event_gap: Option<Duration>,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl RouteRule {
    /// Returns the target for a request; the same `draw` gives the same target.
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

use {crate::version::RouteRule, std::time::Duration};

/// Timeouts of a stream, derived from the objectives of its route.
///
/// ```
/// use {cassiafield_core::request::StreamTimeouts, std::time::Duration};
///
/// let timeouts = StreamTimeouts {
///     latency_objective: Duration::from_millis(500),
///     event_gap_objective: Some(Duration::from_millis(200)),
/// };
/// assert_eq!(timeouts.caller_patience(), Duration::from_secs(2));
/// let expected_gap = Duration::from_millis(20);
/// assert_eq!(timeouts.stall_probe_delay(expected_gap), Duration::from_millis(80));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StreamTimeouts {
    /// Objective for the time to the first event.
    pub latency_objective: Duration,
    /// Objective for the time between two events.
    pub event_gap_objective: Option<Duration>,
}

impl StreamTimeouts {
    /// Shortest time without an event after which callers disconnect.
    const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
    /// Time without an event after which callers disconnect, in multiples of the latency objective.
    const PATIENCE_IN_OBJECTIVES: u32 = 4;
    /// Time without an event after which callers disconnect, in multiples of the gap objective.
    const PATIENCE_IN_GAPS: u32 = 8;
    /// Timeout of the response head, in percent of the callers' patience.
    ///
    /// A working path under load responds earlier.
    const HEAD_TIMEOUT_PERCENT: u32 = 85;
    /// Time without an event after which a stream moves to another path although its endpoints
    /// respond, in percent of the callers' patience; the rest is for the start on the other path.
    const STALL_TIMEOUT_PERCENT: u32 = 65;
    /// Time that a stream whose path failed may wait for memory on another path, in percent of the
    /// callers' patience; the failure was noticed within about a fifth of it.
    const RESUME_WAIT_PERCENT: u32 = 45;
    /// Interval between two attempts to resume a stream while its caller is likely to wait.
    const RESUME_INTERVAL: Duration = Duration::from_millis(150);
    /// Interval between two attempts to resume a stream beyond the callers' usual patience.
    ///
    /// Many streams may wait on stalled paths, and each attempt may query the zone's leader.
    const LATE_RESUME_INTERVAL: Duration = Duration::from_secs(1);
    /// Time without an event after which endpoints are probed, in percent of the gap objective.
    ///
    /// The rest of the objective is for the probe and for the prefill on another path.
    const GAP_PROBE_PERCENT: u32 = 40;
    /// Wait for the response head before endpoints are probed, in percent of the latency objective.
    const HEAD_PROBE_PERCENT: u32 = 30;
    /// Multiple of the expected delay of an event that is no reason for a probe.
    ///
    /// Other prompts that are processed first delay an event.
    const EXPECTED_DELAY_FACTOR: f64 = 3.0;
    /// Shortest wait before a probe.
    const MIN_PROBE_DELAY: Duration = Duration::from_millis(40);
    /// Longest wait before a probe.
    const MAX_PROBE_DELAY: Duration = Duration::from_millis(450);

    /// Returns the timeouts of a route's streams.
    #[must_use]
    pub const fn of(route: &RouteRule) -> Self {
        Self {
            latency_objective: route.latency_objective,
            event_gap_objective: route.event_gap_objective,
        }
    }

    /// Returns the time without an event after which callers disconnect.
    #[must_use]
    pub fn caller_patience(&self) -> Duration {
        let by_objective = self.latency_objective.saturating_mul(Self::PATIENCE_IN_OBJECTIVES);
        let gap = self.event_gap_objective.unwrap_or_default();
        let by_gap = gap.saturating_mul(Self::PATIENCE_IN_GAPS);
        by_objective.max(by_gap).max(Self::MIN_CALLER_PATIENCE)
    }

    /// Returns the maximum time from sending a request to the response head.
    #[must_use]
    pub fn head_timeout(&self) -> Duration {
        self.caller_patience() * Self::HEAD_TIMEOUT_PERCENT / 100
    }

    /// Returns the time without events after which a stream moves to another path although all
    /// endpoints of its path respond.
    #[must_use]
    pub fn stall_timeout(&self) -> Duration {
        self.caller_patience() * Self::STALL_TIMEOUT_PERCENT / 100
    }

    /// Returns how long a stream whose path failed may wait for memory on another path.
    #[must_use]
    pub fn resume_wait(&self) -> Duration {
        self.caller_patience() * Self::RESUME_WAIT_PERCENT / 100
    }

    /// Returns the pause before the next attempt to resume a stream, `waited` after its path failed.
    #[must_use]
    pub fn resume_interval(&self, waited: Duration) -> Duration {
        if waited < self.caller_patience() {
            Self::RESUME_INTERVAL
        } else {
            Self::LATE_RESUME_INTERVAL
        }
    }

    /// Returns `true` if a stream whose path broke may still be resumed `since_event` after its last
    /// event; later its caller has disconnected.
    #[must_use]
    pub fn is_worth_resuming(&self, since_event: Duration) -> bool {
        since_event < self.caller_patience()
    }

    /// Returns the time without events after which the endpoints of a stream's path are probed.
    #[must_use]
    pub fn stall_probe_delay(&self, expected_gap: Duration) -> Duration {
        let objective = self.event_gap_objective.unwrap_or(Self::MAX_PROBE_DELAY);
        Self::probe_delay(objective * Self::GAP_PROBE_PERCENT / 100, expected_gap)
    }

    /// Returns the wait for the response head after which the path's endpoints are probed.
    #[must_use]
    pub fn head_probe_delay(&self, expected_delay: Duration) -> Duration {
        let part = self.latency_objective * Self::HEAD_PROBE_PERCENT / 100;
        Self::probe_delay(part, expected_delay)
    }

    fn probe_delay(part: Duration, expected: Duration) -> Duration {
        let working = expected.mul_f64(Self::EXPECTED_DELAY_FACTOR);
        part.max(working).clamp(Self::MIN_PROBE_DELAY, Self::MAX_PROBE_DELAY)
    }
}

use {crate::ids::Moment, std::time::Duration};

/// How an endpoint failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum FailureCause {
    /// It did not respond to a probe.
    Unresponsive,
    /// It responds to probes, but streams through it make no progress.
    Stalled,
}

/// A failure of an endpoint as hosts report it; it has an age since their clocks differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct FailureReport {
    /// How the endpoint failed.
    pub cause: FailureCause,
    /// Time since the failure, in milliseconds.
    pub age_ms: u32,
    /// Time for which the endpoint is avoided, from the failure, in milliseconds.
    pub hold_ms: u32,
}

impl FailureReport {
    /// Creates the report of a failure at `failed_at`, after which the endpoint is avoided for `hold`.
    #[must_use]
    pub fn new(cause: FailureCause, failed_at: Moment, hold: Duration, now: Moment) -> Self {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Self { cause, age_ms: millis(now.since(failed_at)), hold_ms: millis(hold) }
    }

    /// Returns when the endpoint failed, by the receiver's clock.
    #[must_use]
    pub fn failed_at(&self, now: Moment) -> Moment {
        now.earlier_by(Duration::from_millis(u64::from(self.age_ms)))
    }
}

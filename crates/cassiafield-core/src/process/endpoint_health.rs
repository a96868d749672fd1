use {crate::ids::Moment, std::time::Duration};

/// The health of one endpoint, as observed by this host.
///
/// A failed endpoint is ejected for a time that doubles with each consecutive failure. After that it
/// receives one trial request; a success resets its state.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejected_until: Option<Moment>,
    trial_running: bool,
}

impl EndpointHealth {
    /// Ejection time after the first failure.
    const INITIAL_EJECTION: Duration = Duration::from_millis(500);
    /// Upper bound of the ejection time.
    const MAX_EJECTION: Duration = Duration::from_secs(16);
    /// Number of failures after which the ejection time stops doubling.
    const MAX_DOUBLINGS: u32 = 5;

    /// Returns `true` if the endpoint may receive a request.
    #[must_use]
    pub fn admits(&self, now: Moment) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.trial_running,
        }
    }

    /// Returns `true` if the endpoint is ejected or on trial.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request was sent; after an ejection it is the trial.
    pub fn record_dispatch(&mut self, now: Moment) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.trial_running = true;
        }
    }

    /// Records that a request has ended; after an inconclusive trial another one may follow.
    pub const fn record_end(&mut self) {
        self.trial_running = false;
    }

    /// Records a success and resets the state.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure and ejects the endpoint.
    pub fn record_failure(&mut self, now: Moment) {
        let doublings = self.failures.min(Self::MAX_DOUBLINGS);
        let ejection = (Self::INITIAL_EJECTION * 2u32.pow(doublings)).min(Self::MAX_EJECTION);
        self.failures = self.failures.saturating_add(1);
        self.ejected_until = Some(now + ejection);
        self.trial_running = false;
    }
}

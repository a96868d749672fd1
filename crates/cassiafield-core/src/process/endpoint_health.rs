use {crate::ids::Moment, std::time::Duration};

/// One endpoint's health as this host sees it.
///
/// An endpoint that fails is ejected for a time that doubles with each failure in a row, then
/// gets one request as a trial; a success makes it whole again.
#[derive(Clone, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejected_until: Option<Moment>,
    trial_running: bool,
}

impl EndpointHealth {
    const BASE_EJECTION: Duration = Duration::from_millis(500);
    const MAX_EJECTION: Duration = Duration::from_secs(16);
    const MAX_DOUBLINGS: u32 = 5;

    /// Says whether the endpoint may get a request.
    #[must_use]
    pub fn admits(&self, now: Moment) -> bool {
        match self.ejected_until {
            None => true,
            Some(until) => now >= until && !self.trial_running,
        }
    }

    /// Says whether the endpoint is ejected or on trial.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request was sent.
    pub fn dispatched(&mut self, now: Moment) {
        if self.ejected_until.is_some_and(|until| now >= until) {
            self.trial_running = true;
        }
    }

    /// Records that a request has ended; if it was a trial without a verdict, another may follow.
    pub const fn finished(&mut self) {
        self.trial_running = false;
    }

    /// Records a success.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a failure and ejects the endpoint.
    pub fn failed(&mut self, now: Moment) {
        let doublings = self.failures.min(Self::MAX_DOUBLINGS);
        let ejection = (Self::BASE_EJECTION * 2u32.pow(doublings)).min(Self::MAX_EJECTION);
        self.failures = self.failures.saturating_add(1);
        self.ejected_until = Some(now + ejection);
        self.trial_running = false;
    }
}

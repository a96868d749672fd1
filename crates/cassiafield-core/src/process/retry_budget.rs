/// Limits retries to a fraction of the requests, so that a total failure cannot amplify load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Retry credit earned per request.
    const RETRIES_PER_REQUEST: f64 = 0.1;
    /// Maximum credit, and thereby the largest burst of retries.
    const MAX_CREDIT_RETRIES: f64 = 10.0;

    /// Creates a budget with the maximum credit.
    #[must_use]
    pub const fn new() -> Self {
        Self { credit: Self::MAX_CREDIT_RETRIES }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + Self::RETRIES_PER_REQUEST).min(Self::MAX_CREDIT_RETRIES);
    }

    /// Acquires the right to send one retry; returns `true` if the budget allows it.
    pub fn try_acquire(&mut self) -> bool {
        let is_granted = self.credit >= 1.0;
        if is_granted {
            self.credit -= 1.0;
        }
        is_granted
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

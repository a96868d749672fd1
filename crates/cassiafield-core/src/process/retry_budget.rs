/// Limits retries to a part of the requests, so that a total failure cannot amplify load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl RetryBudget {
    /// Retries that each request pays for.
    const RETRIES_PER_REQUEST: f64 = 0.1;
    /// Retries that may come at once.
    const MAX_CREDIT: f64 = 10.0;

    /// Creates a budget with the credit of a quiet host.
    #[must_use]
    pub const fn new() -> Self {
        Self { credit: Self::MAX_CREDIT }
    }

    /// Records a first attempt.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + Self::RETRIES_PER_REQUEST).min(Self::MAX_CREDIT);
    }

    /// Takes the right to retry once, if there is one.
    pub fn try_acquire(&mut self) -> bool {
        let granted = self.credit >= 1.0;
        if granted {
            self.credit -= 1.0;
        }
        granted
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

use {crate::ids::Moment, std::time::Duration};

/// A token bucket whose rate and size may change at any time.
///
/// What is spent in any window is at most the bucket's size plus the integral of its rate.
#[derive(Clone, Debug)]
pub struct RateBucket {
    rate: f64,
    size: f64,
    level: f64,
    updated: Moment,
}

impl RateBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn empty(rate: f64, size: f64, now: Moment) -> Self {
        Self { rate, size, level: 0.0, updated: now }
    }

    /// Returns the refill rate, in units a second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the size, in units.
    #[must_use]
    pub const fn size(&self) -> f64 {
        self.size
    }

    /// Returns what may be spent at `now`.
    #[must_use]
    pub fn level(&self, now: Moment) -> f64 {
        let refill = self.rate * now.since(self.updated).as_secs_f64();
        (self.level + refill).min(self.size)
    }

    /// Changes rate and size; what exceeds the new size is lost.
    pub fn resize(&mut self, rate: f64, size: f64, now: Moment) {
        self.level = self.level(now).min(size).max(0.0);
        self.updated = self.updated.max(now);
        self.rate = rate.max(0.0);
        self.size = size.max(0.0);
    }

    /// Spends `amount` if it is there.
    ///
    /// # Errors
    ///
    /// Returns the time until it will be there, or `None` if it exceeds the bucket's size.
    pub fn spend(&mut self, amount: f64, now: Moment) -> Result<(), Option<Duration>> {
        let level = self.level(now);
        if amount <= level {
            self.level = level - amount;
            self.updated = self.updated.max(now);
            return Ok(());
        }
        if amount > self.size || self.rate <= 0.0 {
            return Err(None);
        }
        let wait = (amount - level) / self.rate;
        Err(Some(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)))
    }

    /// Takes out up to `amount` and returns what was there.
    pub fn withdraw(&mut self, amount: f64, now: Moment) -> f64 {
        let level = self.level(now);
        let taken = amount.min(level).max(0.0);
        self.level = level - taken;
        self.updated = self.updated.max(now);
        taken
    }

    /// Puts in `amount`, as far as the size allows.
    pub fn refund(&mut self, amount: f64, now: Moment) {
        self.level = (self.level(now) + amount).min(self.size);
        self.updated = self.updated.max(now);
    }
}

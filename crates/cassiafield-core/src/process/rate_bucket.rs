use {crate::ids::Moment, std::time::Duration};

/// A token bucket whose rate and size may change at any time.
///
/// The amount spent in any window is at most the bucket size plus the integral of the rate.
#[derive(Clone, Debug)]
pub struct RateBucket {
    rate: f64,
    size: f64,
    level: f64,
    updated_at: Moment,
}

impl RateBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn empty(rate: f64, size: f64, now: Moment) -> Self {
        Self { rate, size, level: 0.0, updated_at: now }
    }

    /// Returns the refill rate, in units per second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the size, in units.
    #[must_use]
    pub const fn size(&self) -> f64 {
        self.size
    }

    /// Returns the units available at `now`.
    #[must_use]
    pub fn level(&self, now: Moment) -> f64 {
        let refill = self.rate * now.since(self.updated_at).as_secs_f64();
        (self.level + refill).min(self.size)
    }

    /// Changes the rate and size; units in excess of the new size are discarded.
    pub fn resize(&mut self, rate: f64, size: f64, now: Moment) {
        self.level = self.level(now).min(size).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.rate = rate.max(0.0);
        self.size = size.max(0.0);
    }

    /// Spends `amount` if it is available.
    ///
    /// # Errors
    ///
    /// Returns the time until it will be available, or `None` if it exceeds the bucket size or the
    /// bucket has no rate.
    pub fn spend(&mut self, amount: f64, now: Moment) -> Result<(), Option<Duration>> {
        let level = self.level(now);
        if amount <= level {
            self.level = level - amount;
            self.updated_at = self.updated_at.max(now);
            return Ok(());
        }
        if amount > self.size || self.rate <= 0.0 {
            return Err(None);
        }
        let wait = (amount - level) / self.rate;
        Err(Some(Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX)))
    }

    /// Withdraws up to `amount` and returns the withdrawn units.
    pub fn withdraw(&mut self, amount: f64, now: Moment) -> f64 {
        let level = self.level(now);
        let withdrawn = amount.min(level).max(0.0);
        self.level = level - withdrawn;
        self.updated_at = self.updated_at.max(now);
        withdrawn
    }

    /// Adds `amount`, up to the bucket size.
    pub fn refund(&mut self, amount: f64, now: Moment) {
        self.level = (self.level(now) + amount).min(self.size);
        self.updated_at = self.updated_at.max(now);
    }
}

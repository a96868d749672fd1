use {crate::ids::Moment, std::time::Duration};

/// A decaying average of the time between tokens of streams through an endpoint.
///
/// The average decays over time, so that an endpoint whose link was slow is tried again.
#[derive(Clone, Copy, Debug)]
pub struct InterTokenLatency {
    seconds: f64,
    updated_at: Moment,
}

impl InterTokenLatency {
    /// Time after which the expected latency has decayed by half.
    const HALF_LIFE: Duration = Duration::from_secs(10);
    /// Weight of the previous average at each measurement; the new sample has the rest.
    const DECAY_FACTOR: f64 = 0.7;

    /// Creates an average without measurements.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self { seconds: 0.0, updated_at: now }
    }

    /// Records a measurement.
    pub fn record(&mut self, between_tokens: Duration, now: Moment) {
        let previous = self.expected(now).as_secs_f64();
        let previous_weight = if previous == 0.0 { 0.0 } else { Self::DECAY_FACTOR };
        self.seconds =
            previous_weight * previous + (1.0 - previous_weight) * between_tokens.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the expected time between tokens.
    #[must_use]
    pub fn expected(&self, now: Moment) -> Duration {
        let half_lives = now.since(self.updated_at).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.seconds * 0.5_f64.powf(half_lives))
    }
}

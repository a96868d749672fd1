use {crate::ids::Moment, std::time::Duration};

/// The time between tokens of streams that an endpoint takes part in.
///
/// What was measured is forgotten with time, so that an endpoint whose link was slow is tried
/// again.
#[derive(Clone, Copy, Debug)]
pub struct InterTokenLatency {
    seconds: f64,
    updated: Moment,
}

impl InterTokenLatency {
    /// Time after which a measurement counts for half.
    const HALF_LIFE: Duration = Duration::from_secs(10);
    /// Part of the old value kept at each measurement.
    const KEPT: f64 = 0.7;

    /// Creates a pace without measurements.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self { seconds: 0.0, updated: now }
    }

    /// Takes a measurement.
    pub fn record(&mut self, between_tokens: Duration, now: Moment) {
        let old = self.expected(now).as_secs_f64();
        let kept = if old == 0.0 { 0.0 } else { Self::KEPT };
        self.seconds = kept * old + (1.0 - kept) * between_tokens.as_secs_f64();
        self.updated = now;
    }

    /// Returns the expected time between tokens.
    #[must_use]
    pub fn expected(&self, now: Moment) -> Duration {
        let halves = now.since(self.updated).as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        Duration::from_secs_f64(self.seconds * 0.5_f64.powf(halves))
    }
}

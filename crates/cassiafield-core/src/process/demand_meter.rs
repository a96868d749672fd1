use {crate::ids::Moment, std::time::Duration};

/// Estimates demand, in units per second, with an exponentially weighted moving average.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandMeter {
    average: f64,
    pending: f64,
    updated_at: Moment,
    last_refusal: Option<Moment>,
}

impl DemandMeter {
    /// Length of one sample of the average.
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
    /// Weight of the previous average in each step; the new sample has the rest.
    const DECAY_FACTOR: f64 = 0.6;
    /// Time for which a refusal counts as unmet demand.
    const REFUSAL_RETENTION: Duration = Duration::from_millis(300);

    pub(super) const fn new(now: Moment) -> Self {
        Self { average: 0.0, pending: 0.0, updated_at: now, last_refusal: None }
    }

    pub(super) fn add(&mut self, amount: f64, now: Moment) {
        self.advance(now);
        self.pending += amount;
    }

    pub(super) fn advance(&mut self, now: Moment) {
        // After 64 samples without demand the average is practically zero; a longer gap is skipped.
        let mut steps = 0;
        while now.since(self.updated_at) >= Self::SAMPLE_INTERVAL && steps < 64 {
            let sample = self.pending / Self::SAMPLE_INTERVAL.as_secs_f64();
            self.average = Self::DECAY_FACTOR * self.average + (1.0 - Self::DECAY_FACTOR) * sample;
            self.pending = 0.0;
            self.updated_at = self.updated_at + Self::SAMPLE_INTERVAL;
            steps += 1;
        }
        if now.since(self.updated_at) >= Self::SAMPLE_INTERVAL {
            self.updated_at = now;
        }
    }

    pub(super) fn rate(&self) -> f64 {
        self.average
    }

    pub(super) fn is_unmet(&self, now: Moment) -> bool {
        self.last_refusal.is_some_and(|at| now.since(at) < Self::REFUSAL_RETENTION)
    }

    /// Records that a request or a permit was refused.
    pub(super) fn record_refusal(&mut self, now: Moment) {
        self.last_refusal = Some(now);
    }
}

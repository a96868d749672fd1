use {crate::ids::Moment, std::time::Duration};

/// Estimates demand in units a second with an exponentially weighted average.
#[derive(Clone, Copy, Debug)]
pub(super) struct DemandMeter {
    average: f64,
    pending: f64,
    updated: Moment,
    refused: Option<Moment>,
}

impl DemandMeter {
    const STEP: Duration = Duration::from_millis(100);
    const KEPT_PER_STEP: f64 = 0.6;
    /// Time for which a refusal counts as unmet demand.
    const REFUSAL_MEMORY: Duration = Duration::from_millis(300);

    pub(super) const fn new(now: Moment) -> Self {
        Self { average: 0.0, pending: 0.0, updated: now, refused: None }
    }

    pub(super) fn add(&mut self, amount: f64, now: Moment) {
        self.advance(now);
        self.pending += amount;
    }

    pub(super) fn advance(&mut self, now: Moment) {
        let mut steps = 0;
        while now.since(self.updated) >= Self::STEP && steps < 64 {
            let sample = self.pending / Self::STEP.as_secs_f64();
            self.average =
                Self::KEPT_PER_STEP * self.average + (1.0 - Self::KEPT_PER_STEP) * sample;
            self.pending = 0.0;
            self.updated = self.updated + Self::STEP;
            steps += 1;
        }
        if now.since(self.updated) >= Self::STEP {
            self.updated = now;
        }
    }

    pub(super) fn rate(&self) -> f64 {
        self.average
    }

    pub(super) fn is_unmet(&self, now: Moment) -> bool {
        self.refused.is_some_and(|at| now.since(at) < Self::REFUSAL_MEMORY)
    }

    /// Notes that something was refused.
    pub(super) fn refuse(&mut self, now: Moment) {
        self.refused = Some(now);
    }
}

use {
    prometheus::{HistogramVec, IntCounterVec},
    std::time::Duration,
};

/// Counters and histograms of the recovery of streams.
///
/// They belong to the registry of the host's other metrics.
#[derive(Clone)]
pub struct RecoveryMetrics {
    /// Breaks by what was found and how the stream went on.
    pub(crate) breaks: IntCounterVec,
    /// Orders by outcome.
    pub(crate) orders: IntCounterVec,
    /// Time from the last event to the decision, by what was found.
    pub(crate) verdict_times: HistogramVec,
    /// Time from the last event to the next one, by how the stream went on.
    pub(crate) gaps: HistogramVec,
}

impl RecoveryMetrics {
    /// Counts an order by its outcome.
    pub fn count_order(&self, outcome: &'static str) {
        self.orders.with_label_values(&[outcome]).inc();
    }

    /// Records what was found about a path, `waited` after the last event.
    pub fn record_verdict(&self, found: &'static str, waited: Duration) {
        self.verdict_times.with_label_values(&[found]).observe(waited.as_secs_f64());
    }

    /// Records how a stream went on after a break, and the time without events.
    pub fn record_end(&self, found: &'static str, outcome: &'static str, gap: Duration) {
        self.breaks.with_label_values(&[found, outcome]).inc();
        self.gaps.with_label_values(&[outcome]).observe(gap.as_secs_f64());
    }
}

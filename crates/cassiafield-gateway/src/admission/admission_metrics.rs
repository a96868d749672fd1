use {
    crate::process::MetricBuilder,
    cassiafield_core::admission::{AdmissionOutcome, AdmissionSource},
    prometheus::{HistogramVec, IntCounter, IntCounterVec},
    std::time::Duration,
};

/// Counters of requests that wait for room.
#[derive(Debug)]
pub struct AdmissionMetrics {
    waiting: IntCounterVec,
    decisions: IntCounterVec,
    waits: HistogramVec,
    grantor_losses: IntCounter,
    messages: IntCounter,
}

impl AdmissionMetrics {
    /// Upper bounds of the buckets of waits; requests wait for half of their objective at most.
    const BUCKETS_SECONDS: [f64; 8] = [0.002, 0.01, 0.04, 0.1, 0.2, 0.5, 1.0, 2.0];

    pub(crate) fn new(builder: &MetricBuilder) -> Self {
        Self {
            waiting: builder.counters(
                "cassiafield_admission_waiting_total",
                "Requests that began to wait for room, by who decided then",
                &["source"],
            ),
            decisions: builder.counters(
                "cassiafield_admission_decisions_total",
                "Decisions of this host as the grantor of its zone",
                &["outcome"],
            ),
            waits: builder.histograms(
                "cassiafield_admission_wait_seconds",
                "Time that requests waited for room, by whether they got some",
                &["admitted"],
                &Self::BUCKETS_SECONDS,
            ),
            grantor_losses: builder.counter(
                "cassiafield_grantor_losses_total",
                "Times that the grantor of the zone left this host's waiting requests unanswered",
            ),
            messages: builder.counter(
                "cassiafield_admission_reports_total",
                "Reports of waiting requests sent to the grantor",
            ),
        }
    }

    pub(super) fn count_waiting(&self, source: AdmissionSource) {
        self.waiting.with_label_values(&[source.name()]).inc();
    }

    pub(super) fn count_decision(&self, outcome: &AdmissionOutcome) {
        self.decisions.with_label_values(&[outcome.name()]).inc();
    }

    pub(super) fn record_wait(&self, is_admitted: bool, time: Duration) {
        let label = if is_admitted { "yes" } else { "no" };
        self.waits.with_label_values(&[label]).observe(time.as_secs_f64());
    }

    pub(super) fn count_grantor_loss(&self) {
        self.grantor_losses.inc();
    }

    pub(super) fn count_report(&self) {
        self.messages.inc();
    }
}

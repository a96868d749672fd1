use {
    crate::process::MetricBuilder,
    cassiafield_core::prefix::PrefixReason,
    prometheus::{Gauge, IntCounterVec},
};

/// Metrics of the placement by held beginnings of prompts.
pub struct PrefixMetrics {
    decisions: IntCounterVec,
    answers: IntCounterVec,
    beliefs: Gauge,
}

impl PrefixMetrics {
    pub(crate) fn new(builder: &MetricBuilder) -> Self {
        Self {
            decisions: builder.counters(
                "cassiafield_prefix_decisions_total",
                "Placements of requests that state the parts of their prompts, by what decided",
                &["reason"],
            ),
            answers: builder.counters(
                "cassiafield_prefix_answers_total",
                "Answers over paths that were believed to hold the beginning, by whether they did",
                &["held"],
            ),
            beliefs: builder.gauge(
                "cassiafield_prefix_beliefs",
                "Beginnings of prompts that endpoints are believed to hold",
            ),
        }
    }

    /// Counts a placement.
    pub fn count_decision(&self, reason: PrefixReason) {
        self.decisions.with_label_values(&[reason.name()]).inc();
    }

    /// Counts an answer over a path that was believed to hold the beginning of its prompt.
    pub fn count_answer(&self, was_held: bool) {
        self.answers.with_label_values(&[if was_held { "yes" } else { "no" }]).inc();
    }

    /// Sets the number of beliefs.
    pub fn set_beliefs(&self, count: usize) {
        self.beliefs.set(count as f64);
    }
}

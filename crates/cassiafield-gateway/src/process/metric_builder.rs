use prometheus::{
    core::Collector, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
};

/// Creates metrics with constant names and registers each.
///
/// Every method panics if a name or label is not valid or is used twice; since all of them are
/// constants, a test that creates the metrics once shows that none is.
pub(super) struct MetricBuilder {
    registry: Registry,
}

impl MetricBuilder {
    pub(super) fn new() -> Self {
        Self { registry: Registry::new() }
    }

    /// Returns the registry of everything that was created.
    pub(super) fn into_registry(self) -> Registry {
        self.registry
    }

    pub(super) fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(name, help))
    }

    pub(super) fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(name, help), labels))
    }

    pub(super) fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.add(Gauge::new(name, help))
    }

    /// Creates histograms with the given bounds in seconds.
    pub(super) fn histograms(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
        bounds: &[f64],
    ) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
        self.add(HistogramVec::new(options, labels))
    }

    fn add<M: Collector + Clone + 'static>(&self, metric: prometheus::Result<M>) -> M {
        let metric = metric.expect("constant metric names are valid");
        self.registry.register(Box::new(metric.clone())).expect("each metric is registered once");
        metric
    }
}

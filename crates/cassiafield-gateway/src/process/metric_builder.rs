use prometheus::{
    core::Collector, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry,
};

/// Creates metrics with constant names and registers them.
///
/// Every method panics if a name or label is invalid or used twice. All of them are constants, so a
/// test that creates the metrics once rules this out.
pub(crate) struct MetricBuilder {
    registry: Registry,
}

impl MetricBuilder {
    pub(crate) fn new() -> Self {
        Self { registry: Registry::new() }
    }

    /// Returns the registry with all created metrics.
    pub(crate) fn into_registry(self) -> Registry {
        self.registry
    }

    pub(crate) fn counter(&self, name: &str, help: &str) -> IntCounter {
        self.add(IntCounter::new(name, help))
    }

    pub(crate) fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        self.add(IntCounterVec::new(Opts::new(name, help), labels))
    }

    pub(crate) fn gauge(&self, name: &str, help: &str) -> Gauge {
        self.add(Gauge::new(name, help))
    }

    /// Creates histograms with the given bucket bounds, in seconds.
    pub(crate) fn histograms(
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

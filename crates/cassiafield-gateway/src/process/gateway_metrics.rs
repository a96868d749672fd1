use {
    cassiafield_core::request::RefusalCause,
    prometheus::{Encoder as _, IntCounter, IntCounterVec, Opts, Registry, TextEncoder},
};

/// Counters of one host.
pub struct GatewayMetrics {
    registry: Registry,
    refused: IntCounterVec,
    repeats: IntCounterVec,
    channels: IntCounter,
    probes: IntCounter,
}

impl GatewayMetrics {
    /// Creates counters at zero.
    ///
    /// # Panics
    ///
    /// Never: the names are constants and each is registered once.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let vector = |name: &str, help: &str, label: &str| {
            let vector = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("constant metric names are valid");
            registry.register(Box::new(vector.clone())).expect("each metric is registered once");
            vector
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("constant metric names are valid");
            registry.register(Box::new(counter.clone())).expect("each metric is registered once");
            counter
        };
        Self {
            refused: vector("cassiafield_refused_total", "Requests refused or failed", "cause"),
            repeats: vector("cassiafield_repeats_total", "Repeats asked for", "granted"),
            channels: counter("cassiafield_channels_total", "Connections opened to endpoints"),
            probes: counter("cassiafield_probes_total", "Endpoints asked whether they live"),
            registry,
        }
    }

    /// Counts a request that was refused or failed.
    pub fn refused(&self, cause: RefusalCause) {
        self.refused.with_label_values(&[cause.name()]).inc();
    }

    /// Counts a repeat that was asked for.
    pub fn repeat_asked(&self, is_granted: bool) {
        self.repeats.with_label_values(&[if is_granted { "yes" } else { "no" }]).inc();
    }

    /// Counts a connection to an endpoint.
    pub fn channel_opened(&self) {
        self.channels.inc();
    }

    /// Counts an endpoint that was asked whether it lives.
    pub fn probed(&self) {
        self.probes.inc();
    }

    /// Returns all counters in the text format.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be written.
    pub fn text(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

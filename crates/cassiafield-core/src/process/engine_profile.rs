use {crate::ids::AcceleratorKind, crate::prefix::CacheProfile, crate::request::LayerSpan};

/// Performance and memory figures of one kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorProfile {
    /// The kind.
    pub kind: AcceleratorKind,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// Time of a decode step, relative to the engine's figures.
    pub step_factor: f64,
    /// Prefill time, relative to the engine's figures.
    pub prefill_factor: f64,
}

/// Performance and memory figures of a model engine whose layers are distributed over endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// Number of layers of the model.
    pub layers: u16,
    /// Size of the weights of one layer, in megabytes.
    pub layer_mb: f64,
    /// Size of the KV cache of one token over all layers, in bytes.
    pub token_bytes: f64,
    /// Time of a decode step over all layers, in milliseconds.
    pub step_ms: f64,
    /// Additional time of a decode step per stream, in milliseconds.
    pub stream_ms: f64,
    /// Additional time of a decode step per thousand tokens of context, in milliseconds.
    pub context_ms: f64,
    /// Prefill throughput over all layers, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Time to load the weights of all layers, in seconds.
    pub load_seconds: f64,
    /// Number of tokens per event of a stream.
    pub tokens_per_event: u32,
    /// Size of the activations that one stage sends to the next per token, in bytes.
    pub activation_bytes: f64,
    /// Bandwidth between two availability zones, in megabits per second.
    pub zone_bandwidth_mbps: f64,
    /// One-way latency between availability zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Mean number of prompt tokens per request.
    pub mean_prompt_tokens: u32,
    /// Mean number of output tokens per request.
    pub mean_output_tokens: u32,
    /// Profiles of the supported kinds of accelerators.
    pub accelerators: Vec<AcceleratorProfile>,
    /// How the beginnings of prompts are kept after their requests; `None` if they are not.
    pub prefix_cache: Option<CacheProfile>,
}

impl EngineProfile {
    /// Returns the profile of a kind of accelerator.
    #[must_use]
    pub fn accelerator(&self, kind: &AcceleratorKind) -> Option<&AcceleratorProfile> {
        self.accelerators.iter().find(|profile| &profile.kind == kind)
    }

    /// Returns the fraction of all layers that a span covers.
    #[must_use]
    pub fn layer_fraction(&self, span: LayerSpan) -> f64 {
        f64::from(span.layers()) / f64::from(self.layers.max(1))
    }

    /// Returns the time to send the activations of `tokens` tokens to another availability zone, in
    /// milliseconds.
    #[must_use]
    pub fn transfer_ms(&self, tokens: u32) -> f64 {
        f64::from(tokens) * self.activation_bytes * 1e3 / self.link_bytes_per_second()
    }

    /// Returns the bandwidth of the link between two availability zones, in bytes per second.
    #[must_use]
    pub fn link_bytes_per_second(&self) -> f64 {
        self.zone_bandwidth_mbps.max(1e-3) * 1e6 / 8.0
    }

    /// Returns the largest number of layers whose weights take at most `fraction` of the memory.
    #[must_use]
    pub fn layers_within(&self, profile: &AcceleratorProfile, fraction: f64) -> u16 {
        let layers = (profile.memory_mb * fraction / self.layer_mb).floor();
        // The value is finite, not negative, and bounded by the number of layers.
        layers.clamp(0.0, f64::from(self.layers)) as u16
    }

    /// Returns the memory that `held` layers of weights leave for requests, in tokens times layers.
    #[must_use]
    pub fn token_layer_capacity(&self, profile: &AcceleratorProfile, held: u16) -> f64 {
        let free_mb = profile.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb * 1e6 / (self.token_bytes / f64::from(self.layers.max(1)))).max(0.0)
    }
}

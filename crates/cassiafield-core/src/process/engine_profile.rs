use {crate::ids::AcceleratorKind, crate::request::LayerSpan};

/// Figures of one kind of accelerator.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceleratorProfile {
    /// The kind.
    pub kind: AcceleratorKind,
    /// Memory for layers and requests, in megabytes.
    pub memory_mb: f64,
    /// Time of a token step, relative to the engine's figures.
    pub step_factor: f64,
    /// Time to read prompts, relative to the engine's figures.
    pub read_factor: f64,
}

/// Figures of a model engine whose layers are spread over endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineProfile {
    /// The model's number of layers.
    pub layers: u16,
    /// Weights of one layer, in megabytes.
    pub layer_mb: f64,
    /// Memory of one token in all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of a token step of all layers, in milliseconds.
    pub step_ms: f64,
    /// Further time for each stream in the step, in milliseconds.
    pub stream_ms: f64,
    /// Further time for each thousand tokens of context in the step, in milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read in a millisecond by all layers.
    pub read_per_ms: f64,
    /// Time to load the weights of all layers, in seconds.
    pub load_seconds: f64,
    /// Tokens in one event of a stream.
    pub stride: u32,
    /// Bytes that pass between two parts of the model for each token.
    pub activation_bytes: f64,
    /// Rate of the pipe between two availability zones, in megabits a second.
    pub pipe_mbps: f64,
    /// One-way time between availability zones, in milliseconds.
    pub zone_delay_ms: f64,
    /// Mean tokens of a prompt.
    pub mean_prompt_tokens: u32,
    /// Mean tokens of an answer.
    pub mean_answer_tokens: u32,
    /// Figures by kind of accelerator.
    pub accelerators: Vec<AcceleratorProfile>,
}

impl EngineProfile {
    /// Returns the figures of a kind of accelerator.
    #[must_use]
    pub fn accelerator(&self, kind: &AcceleratorKind) -> Option<&AcceleratorProfile> {
        self.accelerators.iter().find(|profile| &profile.kind == kind)
    }

    /// Returns the part of all layers that a span holds.
    #[must_use]
    pub fn layer_fraction(&self, span: LayerSpan) -> f64 {
        f64::from(span.layers()) / f64::from(self.layers.max(1))
    }

    /// Returns the most layers whose weights take at most `part` of a kind's memory.
    #[must_use]
    pub fn layers_within(&self, profile: &AcceleratorProfile, part: f64) -> u16 {
        let layers = (profile.memory_mb * part / self.layer_mb).floor();
        // The quotient is finite, not negative, and bounded by the model's layers.
        layers.clamp(0.0, f64::from(self.layers)) as u16
    }

    /// Returns how many tokens in one layer fit beside `held` layers of weights.
    #[must_use]
    pub fn token_layer_capacity(&self, profile: &AcceleratorProfile, held: u16) -> f64 {
        let free_mb = profile.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb * 1e6 / (self.kv_token_bytes / f64::from(self.layers.max(1)))).max(0.0)
    }
}

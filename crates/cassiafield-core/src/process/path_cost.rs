use crate::ids::EndpointId;

/// The terms of the cost of one stage of a path, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageCost {
    /// Time of the stage's layers per token, as loaded.
    pub decode_ms: f64,
    /// Time to read the prompt.
    pub prefill_ms: f64,
    /// Fixed overhead of an endpoint.
    pub hop_ms: f64,
    /// Expected wait for a turn at an endpoint that takes a limited rate of requests.
    pub turn_wait_ms: f64,
    /// Latency to a first stage in another availability zone.
    pub zone_delay_ms: f64,
    /// Expected wait for other transfers on the link from the previous stage.
    pub link_wait_ms: f64,
    /// Time to send one token's activations from the previous stage.
    pub token_transfer_ms: f64,
    /// Time to send the prompt's activations from the previous stage.
    pub prompt_transfer_ms: f64,
    /// Penalty for leaving an availability zone, per token.
    pub crossing_ms: f64,
    /// Price of opening a connection to a first stage, in time of the first event.
    pub opening_ms: f64,
    /// What the end of the endpoint would cost the stream, per token.
    pub exposure_ms: f64,
}

impl StageCost {
    /// Returns the time per token.
    #[must_use]
    pub fn token_ms(&self) -> f64 {
        self.decode_ms
            + self.hop_ms
            + self.zone_delay_ms
            + (self.link_wait_ms + self.token_transfer_ms)
    }

    /// Returns the penalties per token.
    #[must_use]
    pub fn penalty_ms(&self) -> f64 {
        self.crossing_ms + self.exposure_ms
    }

    /// Returns the time to the first token.
    #[must_use]
    pub fn first_ms(&self) -> f64 {
        self.prefill_ms
            + self.hop_ms
            + self.turn_wait_ms
            + self.zone_delay_ms
            + (self.link_wait_ms + self.prompt_transfer_ms)
    }
}

/// The terms of the cost of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct PathCost {
    /// The stages in order, with their endpoints.
    pub stages: Vec<(EndpointId, StageCost)>,
    /// Expected number of output tokens, over which the time to the first one is spread.
    pub output_tokens: u32,
}

impl PathCost {
    /// Returns the expected time per token, in milliseconds.
    #[must_use]
    pub fn token_ms(&self) -> f64 {
        self.stages.iter().map(|(_, cost)| cost.token_ms()).sum()
    }

    /// Returns the expected time to the first token, in milliseconds.
    #[must_use]
    pub fn first_ms(&self) -> f64 {
        self.stages.iter().map(|(_, cost)| cost.first_ms()).sum()
    }

    /// Returns the cost of the whole answer that the search minimises: the caller's expected time with the
    /// penalties of every token, in milliseconds.
    #[must_use]
    pub fn total_ms(&self) -> f64 {
        let penalties: f64 = self.stages.iter().map(|(_, cost)| cost.penalty_ms()).sum();
        let openings: f64 = self.stages.iter().map(|(_, cost)| cost.opening_ms).sum();
        let output_tokens = f64::from(self.output_tokens.max(1));
        (self.token_ms() + penalties) * output_tokens + self.first_ms() + openings
    }
}

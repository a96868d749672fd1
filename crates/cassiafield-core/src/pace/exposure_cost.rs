use {
    crate::ids::{EndpointId, Moment},
    std::{collections::VecDeque, time::Duration},
};

/// Expected loss of a stream by the end of an endpoint on its path.
///
/// Off until an endpoint has ended: in calm, paths are chosen by their time alone.
#[derive(Clone, Debug, Default)]
pub struct ExposureCost {
    /// Endpoints that ended while streams of this or a peer host ran there, oldest first.
    ends: VecDeque<(Moment, EndpointId)>,
}

/// What the end of one endpoint costs.
#[derive(Clone, Copy, Debug)]
pub struct ExposedStage {
    /// Streams that run through the endpoint; all of them have their prompts read again at the same time.
    pub streams: u32,
    /// Time to read one of their prompts again, in milliseconds.
    pub prompt_ms: f64,
    /// Number of endpoints among which the ends were seen.
    pub endpoints: usize,
}

impl ExposureCost {
    /// Time for which an end counts; failures come in groups.
    const WINDOW: Duration = Duration::from_secs(10);
    /// Maximum number of remembered ends, beyond which a further one changes no choice.
    const MAX_ENDS: usize = 256;
    /// Pause of a stream whose path breaks, in milliseconds: noticing, planning and reading the prompt.
    const BREAK_MS: f64 = 300.0;

    /// Records that an endpoint ended at `now`.
    pub fn record_end(&mut self, endpoint: &EndpointId, now: Moment) {
        self.remove_expired(now);
        if self.ends.len() < Self::MAX_ENDS && !self.ends.iter().any(|(_, known)| known == endpoint)
        {
            self.ends.push_back((now, endpoint.clone()));
        }
    }

    /// Returns the expected loss per second of a stream that runs over a stage, in milliseconds.
    #[must_use]
    pub fn loss_per_second(&self, stage: ExposedStage, now: Moment) -> f64 {
        let recent = self.ends.iter().filter(|(at, _)| now.since(*at) < Self::WINDOW).count();
        let endpoints = stage.endpoints.max(1) as f64;
        let ends_per_second = recent as f64 / endpoints / Self::WINDOW.as_secs_f64();
        ends_per_second * (Self::BREAK_MS + f64::from(stage.streams) * stage.prompt_ms)
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.ends.front().is_some_and(|(at, _)| now.since(*at) >= Self::WINDOW) {
            self.ends.pop_front();
        }
    }
}

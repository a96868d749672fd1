use {cassiafield_core::ids::Moment, std::time::Duration};

/// Measures the mean time between tokens over a window of tokens.
#[derive(Default)]
pub(super) struct LatencyMeter {
    window_start: Option<Moment>,
    tokens: u32,
}

impl LatencyMeter {
    /// Number of token intervals in a window.
    const WINDOW_TOKENS: u32 = 6;

    /// Records a token; returns the mean time between tokens at the end of a window.
    pub(super) fn token(&mut self, now: Moment) -> Option<Duration> {
        let Some(window_start) = self.window_start else {
            self.window_start = Some(now);
            return None;
        };
        self.tokens += 1;
        if self.tokens < Self::WINDOW_TOKENS {
            return None;
        }
        let latency = now.since(window_start) / self.tokens;
        *self = Self { window_start: Some(now), tokens: 0 };
        Some(latency)
    }
}

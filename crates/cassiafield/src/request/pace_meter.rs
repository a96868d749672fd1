use {cassiafield_core::ids::Moment, std::time::Duration};

/// Measures the time between tokens over a few tokens.
#[derive(Default)]
pub(super) struct PaceMeter {
    window_start: Option<Moment>,
    tokens: u32,
}

impl PaceMeter {
    /// Tokens over which the pace is measured.
    const WINDOW_TOKENS: u32 = 6;

    /// Takes a token; returns the mean time between tokens when enough have come.
    pub(super) fn token(&mut self, now: Moment) -> Option<Duration> {
        let Some(window_start) = self.window_start else {
            self.window_start = Some(now);
            return None;
        };
        self.tokens += 1;
        if self.tokens < Self::WINDOW_TOKENS {
            return None;
        }
        let pace = now.since(window_start) / self.tokens;
        *self = Self { window_start: Some(now), tokens: 0 };
        Some(pace)
    }
}

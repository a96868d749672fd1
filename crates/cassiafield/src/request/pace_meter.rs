use {cassiafield_core::ids::Moment, std::time::Duration};

/// Measures the time between tokens over a few tokens.
#[derive(Default)]
pub(super) struct PaceMeter {
    begun: Option<Moment>,
    tokens: u32,
}

impl PaceMeter {
    /// Tokens over which the pace is measured.
    const TOKENS: u32 = 6;

    /// Takes a token; returns the mean time between tokens when enough have come.
    pub(super) fn token(&mut self, now: Moment) -> Option<Duration> {
        let Some(begun) = self.begun else {
            self.begun = Some(now);
            return None;
        };
        self.tokens += 1;
        if self.tokens < Self::TOKENS {
            return None;
        }
        let pace = now.since(begun) / self.tokens;
        *self = Self { begun: Some(now), tokens: 0 };
        Some(pace)
    }
}

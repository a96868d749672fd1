use {crate::process::EngineProfile, crate::version::RouteRule, std::time::Duration};

/// How the engine of a service keeps the beginnings of prompts that it has read.
///
/// The figures come from the operators' configuration; without them nothing is assumed to be kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CacheProfile {
    /// Number of tokens of a block; only whole blocks are kept.
    pub block_tokens: u32,
    /// Time without use after which a beginning is no longer expected to be held.
    pub idle_retention: Duration,
}

impl CacheProfile {
    /// Returns how a service's engine keeps beginnings if the requests of a route may be placed by them:
    /// the route states parts of prompts, and its answers are streams.
    #[must_use]
    pub fn in_force<'a>(rule: &RouteRule, engine: &'a EngineProfile) -> Option<&'a Self> {
        engine.prefix_cache.as_ref().filter(|_| rule.has_affinity && rule.kind.is_stream())
    }

    /// Returns how many of the first `tokens` tokens are kept: those of whole blocks.
    #[must_use]
    pub const fn kept_tokens(&self, tokens: u32) -> u32 {
        match tokens.checked_rem(self.block_tokens) {
            Some(rest) => tokens - rest,
            None => tokens,
        }
    }
}

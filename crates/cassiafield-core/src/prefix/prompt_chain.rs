use crate::{
    ids::{ModelId, ServiceId},
    prefix::{CacheProfile, PrefixKey},
    request::PromptPrefix,
};

/// One beginning of a prompt: its shared parts up to one of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChainLink {
    /// Identifies the beginning.
    pub key: PrefixKey,
    /// Its length, in tokens of whole blocks.
    pub tokens: u32,
}

/// The beginnings of a prompt, shortest first; each one contains those before it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PromptChain {
    links: Vec<ChainLink>,
}

impl PromptChain {
    /// Returns the beginnings of a prompt for a model of a service.
    ///
    /// Beginnings shorter than a block are left out, and those that are no longer than the one before.
    #[must_use]
    pub fn new(
        prefix: &PromptPrefix,
        service: &ServiceId,
        model: &ModelId,
        cache: &CacheProfile,
    ) -> Self {
        let mut key = PrefixKey::empty()
            .extended(service.as_str().as_bytes())
            .extended(model.as_str().as_bytes());
        let (mut tokens, mut links) = (0_u32, Vec::new());
        for (part, length) in prefix.beginning() {
            key = key.extended(part.as_str().as_bytes()).extended(&length.to_be_bytes());
            let shorter = cache.kept_tokens(tokens);
            tokens = tokens.saturating_add(length);
            let kept = cache.kept_tokens(tokens);
            if kept > shorter {
                links.push(ChainLink { key, tokens: kept });
            }
        }
        Self { links }
    }

    /// Returns the beginnings, shortest first.
    #[must_use]
    pub fn links(&self) -> &[ChainLink] {
        &self.links
    }

    /// Returns the length of the longest beginning, in tokens.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.links.last().map_or(0, |link| link.tokens)
    }

    /// Returns `true` if the prompt has no beginning that is long enough to be kept.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

use std::{
    cmp::Reverse,
    collections::HashMap,
    hash::{DefaultHasher, Hash as _, Hasher as _},
};

/// The beginnings of prompts that an engine keeps after their requests, in blocks by content.
///
/// A block is named by what it holds and all that comes before it, so equal beginnings share blocks.
/// Blocks of running requests stay; the others yield to new requests, least recently used first.
#[derive(Clone, Debug)]
pub struct KeptPrefixes {
    block_tokens: u32,
    /// Number of blocks that the engine's memory takes.
    capacity: usize,
    /// Whether the engine tells callers how many tokens it found kept.
    is_reported: bool,
    blocks: HashMap<u64, KeptBlock>,
    clock: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct KeptBlock {
    users: u32,
    used_at: u64,
    /// Position in the prompt; a block is of use only while those before it are kept.
    depth: usize,
}

/// The blocks that a running request uses; to be given back by [`KeptPrefixes::end`].
#[derive(Debug, Default)]
pub struct KeptUse {
    blocks: Vec<u64>,
    /// Number of prompt tokens that were found kept.
    pub found_tokens: u32,
}

impl KeptPrefixes {
    /// Creates an empty store for `capacity_tokens` tokens.
    #[must_use]
    pub fn new(block_tokens: u32, capacity_tokens: u32, is_reported: bool) -> Self {
        let block_tokens = block_tokens.max(1);
        let capacity = usize::try_from(capacity_tokens / block_tokens).unwrap_or(usize::MAX);
        Self { block_tokens, capacity, is_reported, blocks: HashMap::new(), clock: 0 }
    }

    /// Returns the names of a prompt's whole blocks; `content` yields what each token is.
    pub fn blocks_of(&self, content: impl IntoIterator<Item = u64>) -> Vec<u64> {
        let tokens: Vec<u64> = content.into_iter().collect();
        let size = usize::try_from(self.block_tokens).unwrap_or(usize::MAX);
        let mut before = 0;
        tokens
            .chunks_exact(size)
            .map(|block| {
                let mut hasher = DefaultHasher::new();
                (before, block).hash(&mut hasher);
                before = hasher.finish();
                before
            })
            .collect()
    }

    /// Starts a request with the given blocks: finds those at its beginning that are kept, and keeps the
    /// others as far as there is memory.
    pub fn begin(&mut self, blocks: &[u64]) -> KeptUse {
        self.clock += 1;
        let found = blocks.iter().take_while(|name| self.blocks.contains_key(name)).count();
        let mut used = Vec::with_capacity(blocks.len());
        for (index, name) in blocks.iter().enumerate() {
            if index < found || self.make_room() {
                let block = self.blocks.entry(*name).or_default();
                block.users += 1;
                block.used_at = self.clock;
                block.depth = index;
                used.push(*name);
            } else {
                break;
            }
        }
        let found = u32::try_from(found).unwrap_or(u32::MAX);
        KeptUse { blocks: used, found_tokens: found.saturating_mul(self.block_tokens) }
    }

    /// Ends a request; its blocks stay until their memory is needed.
    pub fn end(&mut self, used: KeptUse) {
        for name in used.blocks {
            if let Some(block) = self.blocks.get_mut(&name) {
                block.users = block.users.saturating_sub(1);
            }
        }
    }

    /// Changes the memory that is left for blocks, in tokens; drops what no longer fits.
    pub fn resize(&mut self, capacity_tokens: u32) {
        self.capacity = usize::try_from(capacity_tokens / self.block_tokens).unwrap_or(usize::MAX);
        while self.blocks.len() > self.capacity && self.evict() {}
    }

    /// Forgets everything, as at a restart.
    pub fn restart(&mut self) {
        self.blocks.clear();
    }

    /// Returns what the engine reports of a request: nothing unless it reports.
    #[must_use]
    pub fn report(&self, used: &KeptUse) -> Option<u32> {
        self.is_reported.then_some(used.found_tokens)
    }

    /// Returns `true` if the engine tells callers what it keeps.
    #[must_use]
    pub const fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns the number of tokens that are kept.
    #[must_use]
    pub fn kept_tokens(&self) -> u32 {
        u32::try_from(self.blocks.len()).unwrap_or(u32::MAX).saturating_mul(self.block_tokens)
    }

    fn make_room(&mut self) -> bool {
        self.blocks.len() < self.capacity || self.evict() && self.blocks.len() < self.capacity
    }

    /// Drops the least recently used block that no running request uses, of a prompt the last one; returns
    /// `false` without one.
    fn evict(&mut self) -> bool {
        let idle = self.blocks.iter().filter(|(_, block)| block.users == 0);
        let oldest = idle.min_by_key(|(name, block)| (block.used_at, Reverse(block.depth), **name));
        let oldest = oldest.map(|(name, _)| *name);
        oldest.is_some_and(|name| self.blocks.remove(&name).is_some())
    }
}

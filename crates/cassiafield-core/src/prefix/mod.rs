//! Which endpoints hold the beginnings of prompts, and when that decides a path.

mod cache_profile;
mod holder_state;
mod prefix_choice;
mod prefix_digest;
mod prefix_key;
mod prefix_table;
mod prompt_chain;

pub use self::{
    cache_profile::CacheProfile,
    holder_state::HolderState,
    prefix_choice::{PrefixChoice, PrefixDecision, PrefixReason},
    prefix_digest::{DigestEntry, PrefixDigest},
    prefix_key::{PrefixKey, PrefixKeyError},
    prefix_table::{PrefixEvidence, PrefixTable},
    prompt_chain::{ChainLink, PromptChain},
};

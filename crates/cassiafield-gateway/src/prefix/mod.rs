//! What a host believes endpoints to hold of prompts, and what it does with it.

mod prefix_metrics;
mod prefix_tracker;

pub use self::{
    prefix_metrics::PrefixMetrics,
    prefix_tracker::{PlacedPrompt, PrefixTracker},
};

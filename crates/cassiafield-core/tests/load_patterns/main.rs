//! Patterns of heavy load and of failures at size, each against the rule that answers it and against
//! a simpler one for comparison. No network, virtual time, seeded.
//!
//! `cargo test -p cassiafield-core --test load_patterns -- --nocapture` prints the figures.

#[path = "../engine_support/mod.rs"]
mod engine_support;

mod admission_model;
mod burst_beyond_capacity;
mod dead_endpoints_at_many_hosts;
mod one_large_organisation;
mod returns_after_outage;
mod room_of_many_hosts;
mod zone_without_endpoints;

//! Tests of a whole fleet in one process.

mod caller_api;
mod callers_that_hang;
mod engine_faults;
mod metrics_page;
mod silent_paths;
mod support;
mod usage_gaps;

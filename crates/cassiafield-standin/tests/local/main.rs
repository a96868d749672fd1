//! Tests of a local fleet: all components in one process.

mod caller_api;
mod engine_faults;
mod metrics_page;
mod network_faults;
mod stalled_callers;
mod support;
mod usage_gaps;

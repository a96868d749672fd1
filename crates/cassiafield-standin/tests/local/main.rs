//! Tests of a whole fleet in one process.

mod caller_api;
mod engine_faults;
mod support;

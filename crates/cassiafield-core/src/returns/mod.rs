//! When callers return that could not be served, so that those refused first find room first.

mod recovery_schedule;
mod return_schedule;

pub use self::{recovery_schedule::RecoverySchedule, return_schedule::ReturnSchedule};

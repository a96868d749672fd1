//! Recovery of streams whose path fails: when it is noticed, and what replaces it.

mod order_fence;
mod read_backlog;
mod recovery_schedule;
mod stage_replacement;

pub use self::{
    order_fence::OrderFence,
    read_backlog::ReadBacklog,
    recovery_schedule::RecoverySchedule,
    stage_replacement::{ReplacementError, ReplacementPlan, ReplacementRequest, StageReplacement},
};

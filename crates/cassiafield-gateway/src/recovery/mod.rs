//! Recovery of streams: doubts about their paths, and orders that replace a part of a path.

mod path_doubt;
mod recovery_desk;
mod recovery_metrics;
mod stage_order;
mod stream_track;

pub(crate) use self::stage_order::stage_at;
pub use self::{
    path_doubt::PathDoubt,
    recovery_desk::RecoveryDesk,
    recovery_metrics::RecoveryMetrics,
    stage_order::{OrderOutcome, StageOrder},
    stream_track::StreamTrack,
};

//! Requests that wait for room, and who gets it: the host's side and the grantor's.

mod admission_desk;
mod admission_exchange;
mod admission_metrics;
mod waiting_place;
mod zone_room;

pub use self::{admission_desk::AdmissionDesk, admission_metrics::AdmissionMetrics};
pub(crate) use self::{
    admission_exchange::{AdmissionExchange, GrantorReply},
    waiting_place::{WaitSummary, WaitingPlace},
};

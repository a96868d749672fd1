//! Who is served first while the room of a service does not suffice for all who ask.
//!
//! The hosts of an availability zone report the requests that wait to the zone's leader, which grants
//! room in one order for all of them. While nothing waits, hosts plan by themselves.

mod admission_grantor;
mod admission_order;
mod admission_report;
mod admission_room;
mod host_admission;
mod request_priority;
mod waiting_request;

pub use self::{
    admission_grantor::{AdmissionDecision, AdmissionGrantor, GrantorReach},
    admission_order::{AdmissionOrder, OrderedRequest, RequestKey},
    admission_report::{
        AdmissionNews, AdmissionOutcome, AdmissionReply, AdmissionReport, GrantNumber,
    },
    admission_room::AdmissionRoom,
    host_admission::{AdmissionSource, HostAdmission, WaitVerdict},
    request_priority::{PriorityError, RequestPriority},
    waiting_request::{AdmissionTicket, WaitingRequest},
};

//! Newtypes for names, stream ids, revisions and points in time.

mod crash_subject;
mod event_id;
mod list_revision;
mod moment;
mod prompt_part;
mod stream_id;
#[macro_use]
mod text_id;
mod names;

pub use self::{
    crash_subject::CrashSubject,
    event_id::EventId,
    list_revision::ListRevision,
    moment::Moment,
    names::{
        AcceleratorKind, EndpointId, HostId, ModelId, OrganisationId, PlanId, ServiceId, ZoneId,
    },
    prompt_part::{PromptPart, PromptPartError},
    stream_id::StreamId,
    text_id::IdError,
};

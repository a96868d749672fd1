//! Newtypes for names, sizes and points in time.

mod moment;
mod revision;
mod stream_id;
#[macro_use]
mod text_id;
mod names;

pub use self::{
    moment::Moment,
    names::{
        AcceleratorKind, EndpointId, HostId, ModelId, OrganisationId, PlanId, ServiceId, ZoneId,
    },
    revision::ListRevision,
    stream_id::StreamId,
    text_id::IdError,
};

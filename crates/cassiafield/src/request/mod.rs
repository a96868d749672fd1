//! Handling of one caller's request, from the HTTP API to the response.

mod caller_api;
mod claim_store;
mod completion_call;
mod completion_format;
mod completion_request;
mod http_response;
mod latency_meter;
mod request_refusal;
mod service_request;
mod stream_runner;

pub use self::{
    caller_api::{hash_bearer_key, CallerApi},
    completion_format::CompletionFormat,
    completion_request::{CompletionRequest, FieldError},
    request_refusal::RequestRefusal,
    stream_runner::{StreamJob, StreamOutcome, StreamRunner, TokenSink},
};
pub(crate) use self::{
    claim_store::settle_claim,
    http_response::{header, respond},
};

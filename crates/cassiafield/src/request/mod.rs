//! What lives as long as one caller's request.

mod answer_shape;
mod caller_api;
mod claimed_call;
mod completion_call;
mod completion_request;
mod http_reply;
mod pace_meter;
mod request_refusal;
mod service_request;
mod stream_runner;

pub use self::{
    answer_shape::AnswerShape,
    caller_api::{hash_bearer_key, CallerApi},
    completion_request::{CompletionRequest, RequestFault},
    request_refusal::RequestRefusal,
    stream_runner::{RunEnd, StreamJob, StreamRunner, TokenSink},
};
pub(crate) use self::{
    claimed_call::settle_claim,
    http_reply::{header, respond},
};

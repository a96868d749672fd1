//! What lives as long as one request.

mod call_context;
mod caller_body;
mod caller_request;
mod caller_service;
mod plain_call;
mod refusal_reply;
mod stream_call;
mod stream_path;
mod stream_pump;

pub use self::{
    caller_body::{AnswerAborted, CallerBody},
    caller_request::CallerRequest,
    caller_service::HostService,
};

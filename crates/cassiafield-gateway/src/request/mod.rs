//! Handling of a single request.

mod call_context;
mod caller_request;
mod host_service;
mod plain_call;
mod refusal_response;
mod response_body;
mod stream_call;
mod stream_path;
mod stream_relay;

pub use self::{
    caller_request::CallerRequest,
    host_service::HostService,
    response_body::{ResponseAborted, ResponseBody},
};

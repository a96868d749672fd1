//! Handling of a single request.

mod call_context;
mod caller_request;
mod carried_call;
mod carried_stream;
mod carrier_service;
mod carry_refusal;
mod dry_run;
mod dry_run_query;
mod failed_endpoints;
mod held_prefix;
mod host_service;
mod plain_call;
mod refusal_response;
mod response_body;
mod retry_grant;
mod stream_admission;
mod stream_call;
mod stream_failures;
mod stream_path;
mod stream_refusal;
mod stream_relay;
mod stream_repair;
mod stream_source;

pub use self::{
    caller_request::CallerRequest,
    carrier_service::CarrierService,
    dry_run::DryRunService,
    dry_run_query::DryRunQuery,
    host_service::HostService,
    response_body::{ResponseAborted, ResponseBody},
};

//! State and background tasks that live as long as the process.

mod admission_controller;
mod allowance_controller;
mod dry_run_report;
mod entry_host;
mod entry_metrics;
mod entry_server;
mod entry_settings;
mod host_clock;
mod log_event;
mod log_rate_limiter;
mod log_record;
mod log_setup;
mod model_queue;
mod ordinal_manager;
mod peer_agent;
mod peer_directory;
mod request_decision;
mod request_trace;
mod route_guard;
mod usage_recorder;
mod usage_report;

pub use self::{
    admission_controller::{AdmissionController, AdmissionRefusal, AdmissionRequest},
    allowance_controller::AllowanceController,
    dry_run_report::{
        DryRunOutcome, DryRunReport, EndpointView, HolderView, PathReport, PrefixReport,
        StageReport,
    },
    entry_host::{EntryDependencies, EntryHost},
    entry_metrics::{EntryMetrics, TokenLatencies},
    entry_server::EntryServer,
    entry_settings::{EntrySettings, LogFormat, SettingError},
    host_clock::HostClock,
    log_event::{EventLevel, LogEvent},
    log_rate_limiter::LogRateLimiter,
    log_record::LogRecord,
    log_setup::start_log,
    request_decision::{HostSnapshot, RequestDecision},
    request_trace::RequestTrace,
    route_guard::RouteGuard,
    usage_recorder::UsageRecorder,
    usage_report::{ReportFormat, UsageReport},
};

pub(crate) use self::{
    ordinal_manager::OrdinalManager,
    peer_agent::{PeerAgent, PeerApi},
    peer_directory::{DigestTarget, PeerDirectory, PeerRecord},
};

/// Locks a mutex and ignores poisoning: a panic in another thread leaves the data usable.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

//! What lives as long as the process.

mod admission_gate;
mod allowance_gate;
mod entry_host;
mod entry_metrics;
mod entry_server;
mod entry_settings;
mod host_clock;
mod line_budget;
mod log_event;
mod log_record;
mod log_setup;
mod model_line;
mod ordinal_keeper;
mod peer_agent;
mod peer_book;
mod request_decision;
mod request_story;
mod route_hold;
mod usage_keeper;
mod usage_report;

pub use self::{
    admission_gate::{AdmissionGate, AdmissionRefusal, AdmissionRequest},
    allowance_gate::AllowanceGate,
    entry_host::{EntryBorders, EntryHost},
    entry_metrics::{EntryMetrics, TokenTimes},
    entry_server::EntryServer,
    entry_settings::{EntrySettings, LogFormat, SettingFault},
    host_clock::HostClock,
    line_budget::LineBudget,
    log_event::{EventLevel, LogEvent},
    log_record::LogRecord,
    log_setup::start_log,
    request_decision::{HostKnowledge, RequestDecision},
    request_story::RequestStory,
    route_hold::RouteHold,
    usage_keeper::UsageKeeper,
    usage_report::{ReportFormat, UsageReport},
};

pub(crate) use self::{
    ordinal_keeper::OrdinalKeeper,
    peer_agent::{PeerAgent, PeerApi},
    peer_book::{DigestPartner, PeerBook, PeerRecord},
};

/// Locks a mutex; a panic elsewhere does not make its data unusable.
pub(crate) fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

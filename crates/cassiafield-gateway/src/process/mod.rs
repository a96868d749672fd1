//! State, background tasks and metrics of one host's process.

mod boot_clock;
mod configuration_sync;
mod connection_tracking;
mod crash_tracking;
mod endpoint_exchange;
mod endpoint_sync;
mod engine_monitor;
mod freshness_sync;
mod gateway_metrics;
mod gateway_server;
mod gateway_settings;
mod gateway_state;
mod health_probe;
mod in_flight_request;
mod layer_placer;
mod limit_tracking;
mod log_writer;
mod metric_builder;
mod monitoring_server;
mod pause_tracking;
mod peer_extension;
mod peer_link;
mod process_signals;
mod reach_tracking;
mod retry_broker;
mod send_turn;
mod sender_kind;
mod state_exchange;
mod store_availability;
mod store_sync;
mod verdict_keeper;

pub use self::{
    boot_clock::BootClock,
    endpoint_exchange::EndpointExchange,
    engine_monitor::EngineMonitor,
    gateway_metrics::{GatewayMetrics, GaugeValues},
    gateway_server::{GatewayServer, RunningHost},
    gateway_settings::GatewaySettings,
    gateway_state::GatewayState,
    health_probe::PathFailure,
    in_flight_request::{InFlightRequest, ReservedLoad},
    layer_placer::LayerPlacer,
    log_writer::{dropped_line_count, json_subscriber, start_json_log},
    peer_link::PeerLink,
    process_signals::ProcessSignals,
    reach_tracking::EndpointFate,
    send_turn::SendTurn,
    sender_kind::SenderKind,
    store_sync::StoreSync,
};
pub(crate) use self::{
    metric_builder::MetricBuilder,
    peer_extension::{encode_extended, PeerExtension},
    peer_link::PeerMessage,
};

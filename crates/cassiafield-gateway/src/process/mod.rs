//! What lives as long as one host's process.

mod admission_queue;
mod boot_clock;
mod engine_watch;
mod gateway_metrics;
mod gateway_server;
mod gateway_state;
mod health_probe;
mod host_profile;
mod layer_placer;
mod log_writer;
mod metric_builder;
mod peer_link;
mod running_request;
mod small_server;
mod state_exchange;
mod store_sync;

pub use self::{
    admission_queue::AdmissionQueue,
    boot_clock::BootClock,
    engine_watch::EngineWatch,
    gateway_metrics::{GatewayMetrics, HostReading},
    gateway_server::{GatewayServer, RunningHost},
    gateway_state::GatewayState,
    host_profile::HostProfile,
    layer_placer::LayerPlacer,
    log_writer::{json_subscriber, lines_dropped, start_json_log},
    peer_link::PeerLink,
    running_request::{ReservedLoad, RunningRequest},
    store_sync::StoreSync,
};

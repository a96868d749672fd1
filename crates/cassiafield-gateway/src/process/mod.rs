//! What lives as long as one host's process.

mod boot_clock;
mod engine_watch;
mod gateway_metrics;
mod gateway_server;
mod gateway_state;
mod host_profile;
mod knowledge_desk;
mod layer_keeper;
mod log_writer;
mod peer_link;
mod running_request;
mod small_server;
mod store_sync;
mod suspect_probe;
mod waiting_room;

pub use self::{
    boot_clock::BootClock,
    engine_watch::EngineWatch,
    gateway_metrics::{GatewayMetrics, HostReading},
    gateway_server::{GatewayServer, RunningHost},
    gateway_state::GatewayState,
    host_profile::HostProfile,
    layer_keeper::LayerKeeper,
    log_writer::start_json_log,
    peer_link::PeerLink,
    running_request::{BookedLoad, RunningRequest},
    store_sync::StoreSync,
    waiting_room::WaitingRoom,
};

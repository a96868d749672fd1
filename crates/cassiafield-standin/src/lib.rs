//! Stand-ins for what surrounds the system: platform, engines, services and network paths.
//!
//! They serve development and tests only. Each speaks the protocol of what it stands in for and
//! adds controls under `/standin/` that cause failures on demand.
//!
//! # Quick start
//!
//! ```
//! use {cassiafield::connection::PlatformStore, cassiafield_standin::MemoryStore};
//!
//! let store = MemoryStore::new();
//! assert_eq!(store.read("missing"), Ok(None));
//! ```
//!
//! # Map
//!
//! | type | stands in for |
//! |---|---|
//! | [`PlatformStandin`] | the key-value service and the list of hosts |
//! | [`MemoryStore`] | the key-value service, inside a test |
//! | [`EngineStandin`] | a model engine whose answers can be checked by [`ToyModel`] |
//! | [`ServiceStandin`] | a plain service that records its runs |
//! | [`TcpRelay`] | a network path that can be cut, silenced and delayed |
//! | [`ZoneSimulator`] | the engines of a zone with layers, passes and memory, in virtual time |
//! | [`LocalFleet`] | all of them with one entry host, in one process |

mod engine_standin;
mod local_fleet;
mod memory_store;
mod platform_standin;
mod service_standin;
mod standin_http;
mod tcp_relay;
mod toy_model;
mod zone_simulator;

pub use self::{
    engine_standin::{EngineFault, EngineSpec, EngineStandin},
    local_fleet::{FleetSpec, LocalFleet},
    memory_store::{MemoryStore, StoreCallCounts, StoreFaults},
    platform_standin::PlatformStandin,
    service_standin::{ServiceSpec, ServiceStandin},
    tcp_relay::{RelayMode, TcpRelay},
    toy_model::ToyModel,
    zone_simulator::{SimulatedTraffic, SimulationOutcome, ZoneSimulator},
};

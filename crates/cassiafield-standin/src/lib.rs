//! Stand-ins (test doubles) for the platform, engines, services and network paths.
//!
//! They are for development and tests only. The servers implement the protocols of the real
//! components; those of the platform and the engines also have control paths under `/standin/` for
//! fault injection.
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
//! # Overview
//!
//! | type | stands in for |
//! |---|---|
//! | [`PlatformStandin`] | the key-value service and the list of hosts |
//! | [`MemoryStore`] | the key-value service, in the process of a test |
//! | [`EngineStandin`] | a model engine whose completions [`ToyModel`] can verify |
//! | [`KeptPrefixes`] | the beginnings of prompts that an engine keeps |
//! | [`ServiceStandin`] | a plain service that reports its runs |
//! | [`TcpRelay`] | a network path, with faults and delay |
//! | [`ZoneSimulator`] | the engines of an availability zone, in virtual time |
//! | [`LocalFleet`] | a platform, engines, a service and entry hosts, in one process |

mod engine_standin;
mod kept_prefixes;
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
    kept_prefixes::{KeptPrefixes, KeptUse},
    local_fleet::{FleetSpec, LocalFleet},
    memory_store::{MemoryStore, StoreCallCounts, StoreFaults},
    platform_standin::PlatformStandin,
    service_standin::{ServiceSpec, ServiceStandin},
    tcp_relay::{RelayMode, TcpRelay},
    toy_model::ToyModel,
    zone_simulator::{
        SharedPrompts, SimulatedTraffic, SimulationOutcome, SimulationReport, ZoneSimulator,
    },
};

//! The event loop of an entry host on a platform that keeps the operators' configuration, the list
//! of endpoints and the leases in one store.
//!
//! The platform's formats are hidden behind [`connection::PlatformCodec`].
//!
//! # Quick start
//!
//! ```no_run
//! use cassiafield_gateway::{
//!     connection::PlatformCodec,
//!     process::{GatewayServer, GatewaySettings, ProcessSignals},
//! };
//!
//! fn serve(settings: GatewaySettings, codec: Box<dyn PlatformCodec>) -> anyhow::Result<()> {
//!     GatewayServer::new(settings, codec).run(ProcessSignals::install()?)
//! }
//! ```
//!
//! # Modules
//!
//! | module | contents |
//! |---|---|
//! | [`admission`] | requests that wait for room, at their host and at the grantor |
//! | [`request`] | handling of one request: plain calls, streams, refusals |
//! | [`connection`] | connections to callers, endpoints and the store |
//! | [`prefix`] | what endpoints are believed to hold of prompts |
//! | [`resources`] | the account of what a host holds for callers |
//! | [`process`] | one host: state, background tasks, metrics |
//! | [`recovery`] | doubts about streams' paths, and orders that replace a part of them |

pub mod admission;
pub mod connection;
pub mod prefix;
pub mod process;
pub mod recovery;
pub mod request;
pub mod resources;

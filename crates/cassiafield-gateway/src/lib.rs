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
//! | [`request`] | handling of one request: plain calls, streams, refusals |
//! | [`connection`] | connections to callers, endpoints and the store |
//! | [`resources`] | the account of what a host holds for callers |
//! | [`process`] | one host: state, background tasks, metrics |

pub mod connection;
pub mod process;
pub mod request;
pub mod resources;

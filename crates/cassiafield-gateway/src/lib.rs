//! The event loop of an entry host on a platform that keeps the operators' configuration, the list
//! of endpoints and leases in one store.
//!
//! The platform's own formats stay behind [`connection::PlatformCodec`].
//!
//! # Quick start
//!
//! ```no_run
//! use cassiafield_gateway::{connection::PlatformCodec, process::{GatewayServer, HostProfile}};
//!
//! fn serve(profile: HostProfile, codec: Box<dyn PlatformCodec>) -> anyhow::Result<()> {
//!     GatewayServer::new(profile, codec).run()
//! }
//! ```
//!
//! # Map
//!
//! | module | what lives there |
//! |---|---|
//! | [`request`] | one caller's request: plain calls, streams, refusals |
//! | [`connection`] | borders to callers, endpoints and the store |
//! | [`process`] | one host: state, background work, metrics |

pub mod connection;
pub mod process;
pub mod request;

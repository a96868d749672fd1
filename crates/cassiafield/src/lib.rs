//! The cassiafield router as a library: the servers, clients and background threads around the
//! decision logic of [`cassiafield_core`].
//!
//! # Quick start
//!
//! ```
//! use cassiafield::process::EntrySettings;
//!
//! let settings = EntrySettings::parse("defaults", EntrySettings::defaults()).unwrap();
//! assert_eq!(settings.host.as_str(), "entry-1");
//! ```
//!
//! # Modules
//!
//! | module | contents |
//! |---|---|
//! | [`request`] | handling of a caller's request: HTTP API, token stream, idempotency claim |
//! | [`connection`] | HTTP listener, and clients of engines, services, platform and peers |
//! | [`version`] | the operators' lists: current version, watch on the store, edits, INI file |
//! | [`process`] | an entry host: settings, admission control, background threads, metrics, log |

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

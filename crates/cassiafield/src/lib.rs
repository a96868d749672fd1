//! The cassiafield router as a library: borders, servers and clients around the decisions of
//! [`cassiafield_core`].
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
//! # Map
//!
//! | module | what lives there |
//! |---|---|
//! | [`request`] | one caller's request: its API, its stream, its claim |
//! | [`connection`] | borders to callers, engines, services, platform and peers |
//! | [`version`] | one version of the operators' lists: holding, watching, editing |
//! | [`process`] | one entry host: settings, gates, background work, metrics, log |

pub mod connection;
pub mod process;
pub mod request;
pub mod version;

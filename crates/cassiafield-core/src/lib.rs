//! Decision logic of the cassiafield router.
//!
//! The crate performs no I/O, reads no clock and starts no threads: every decision takes the
//! current time as an [`ids::Moment`] and returns the action to take, so that tests can run it
//! under virtual time.
//!
//! # Quick start
//!
//! ```
//! use cassiafield_core::{ids::Moment, process::RateBucket};
//!
//! let mut bucket = RateBucket::empty(10.0, 5.0, Moment::ORIGIN);
//! assert!(bucket.spend(1.0, Moment::ORIGIN).is_err());
//! assert!(bucket.spend(1.0, Moment::from_millis(100)).is_ok());
//! ```
//!
//! # Modules
//!
//! | module | contents |
//! |---|---|
//! | [`request`] | routes, token frames, verdicts, claims and stream recovery of a request |
//! | [`version`] | the operators' lists, their edits and the routing configuration |
//! | [`process`] | endpoints, allowances, queues and retry budgets of a host |
//! | [`recovery`] | replacement of failed parts of streams' paths, within their objectives |
//! | [`admission`] | who gets room first while it does not suffice |
//! | [`returns`] | when refused callers return |
//! | [`connections`] | which connections to endpoints a host keeps |
//! | [`pace`] | how fast streams' events come, and what an endpoint's end costs them |
//! | [`prefix`] | which endpoints hold the beginnings of prompts, and when that decides a path |
//! | [`resources`] | memory and connections that a host holds for others |
//! | [`ids`] | names, stream ids, revisions and points in time |

pub mod admission;
pub mod connections;
pub mod ids;
pub mod pace;
pub mod prefix;
pub mod process;
pub mod recovery;
pub mod request;
pub mod resources;
pub mod returns;
pub mod version;

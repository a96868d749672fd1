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
//! | [`resources`] | memory and connections that a host holds for others |
//! | [`ids`] | names, stream ids, revisions and points in time |

pub mod ids;
pub mod process;
pub mod request;
pub mod resources;
pub mod version;

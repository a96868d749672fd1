//! Decision logic of the cassiafield router.
//!
//! The crate holds no I/O, no clock of its own and no threads: every decision takes the present
//! as a [`ids::Moment`] and returns what to do, so that tests replay it under virtual time.
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
//! # Map
//!
//! | module | what it decides |
//! |---|---|
//! | [`request`] | routes, frames, verdicts, claims and recovery of one request |
//! | [`version`] | the operators' lists and edits to them |
//! | [`process`] | endpoints, allowances, queues and retry budgets of one host |
//! | [`ids`] | names, sizes and points in time |

pub mod ids;
pub mod process;
pub mod request;
pub mod version;

//! The commands behind the cassiafield programs.
//!
//! # Map
//!
//! | module | program |
//! |---|---|
//! | [`control`] | `cassiafield-ctl` |

pub mod control;

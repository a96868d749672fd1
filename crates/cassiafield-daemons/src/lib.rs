//! Command implementations of the cassiafield programs.
//!
//! # Modules
//!
//! | module | program |
//! |---|---|
//! | [`control`] | `cassiafield-ctl` |

pub mod control;

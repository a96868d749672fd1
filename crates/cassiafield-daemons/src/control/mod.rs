//! Commands of `cassiafield-ctl`.
//!
//! They edit the operators' lists, show the state of the fleet, print the usage report and
//! explain the outcome of a request from logs, or where one would go now.

mod control_error;
mod control_program;
mod dry_run_command;
mod explain_command;
mod list_command;
mod view_command;

pub use self::{control_error::ControlError, control_program::ControlProgram};

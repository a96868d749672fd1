//! Edits the operators' lists, shows the fleet's state and prints the report.

mod control_error;
mod control_program;
mod list_command;
mod view_command;

pub use self::{control_error::ControlError, control_program::ControlProgram};

//! Edits the operators' lists, shows the fleet's state, prints the report and explains requests.

mod control_error;
mod control_program;
mod explain_command;
mod list_command;
mod view_command;

pub use self::{control_error::ControlError, control_program::ControlProgram};

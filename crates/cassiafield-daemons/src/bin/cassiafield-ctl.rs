//! Edits the operators' lists, shows the state of the fleet, prints the usage report and explains
//! the outcome of a request.

use {
    cassiafield_daemons::control::ControlProgram,
    std::{env, process::ExitCode},
};

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match ControlProgram::new().run(&arguments) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("cassiafield-ctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

//! Stand-ins and players of the third review's cases.

mod cases;
mod http;
mod json;
mod play;
mod store;
mod world;

use std::{path::PathBuf, process::ExitCode};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(record)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let outcome = play::Play::new(&PathBuf::from(record)).and_then(|play| {
        let outcome = cases::run(&case, &play);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&play.folder);
        }
        outcome
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

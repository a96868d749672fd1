//! Runs one case of the review: `review-cases CASE FOLDER`. The folder gets `record.txt`.
//!
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run.

mod base;
mod cases;

use base::{end_children, limit_time, open_record, record, unix_ms};
use std::path::Path;
use std::process::exit;
use std::time::Duration;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let Some(case) = words.get(1) else { exit(2) };
    let Some(folder) = words.get(2) else { exit(2) };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    open_record(&Path::new(folder).join("record.txt"), unix_ms());
    record(&format!("case {case}, {}", if has_trouble { "with the disruption" } else { "without the disruption" }));
    limit_time(Duration::from_secs(110));
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "bodies" => cases::bodies::run(has_trouble),
        "flood" => cases::flood::run(has_trouble),
        "drill" => cases::drill::run(has_trouble),
        "revoked" => cases::revoked::run(has_trouble),
        "spoiled" => cases::spoiled::run(has_trouble),
        _ => Err(format!("no case {case}")),
    });
    end_children();
    let code = match outcome {
        Ok(Ok(true)) => {
            record("RESULT: the rule was broken");
            1
        }
        Ok(Ok(false)) => {
            record("RESULT: the rule held");
            0
        }
        Ok(Err(reason)) => {
            record(&format!("RESULT: the case could not run: {reason}"));
            2
        }
        Err(_) => {
            record("RESULT: the case could not run: the script failed");
            2
        }
    };
    exit(code);
}

//! Stand-ins and scripts of the second review; standard library only.
//!
//! `standin case NAME FOLDER` runs a case at the repository's root: exit 1 if the rule was broken, 0 if it held, 2 if
//! the case could not run. `standin server IP:PORT ID` is a server of a plain service.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;

use std::{env, path::Path, process, thread, time::Duration};

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["server", address, id] => server::run(address, id),
        ["case", name, folder] => process::exit(run_case(name, Path::new(folder))),
        _ => {
            eprintln!("usage: standin case NAME FOLDER | standin server IP:PORT ID");
            process::exit(2)
        }
    }
}

fn run_case(name: &str, folder: &Path) -> i32 {
    let case = match name {
        "frozen-half-answer" => cases::frozen_half_answer,
        "shorter-grace" => cases::shorter_grace,
        "revoked-in-drill" => cases::revoked_in_drill,
        "limit-after-lapse" => cases::limit_after_lapse,
        "slow-crowd" => cases::slow_crowd,
        "verdict-lost-in-drill" => cases::verdict_lost_in_drill,
        _ => return 2,
    };
    let fleet = fleet::Fleet::new(folder);
    let result = thread::scope(|scope| {
        let running = scope.spawn(|| case(&fleet));
        running.join().unwrap_or_else(|_| Err("the case has panicked".to_owned()))
    });
    thread::sleep(Duration::from_millis(100));
    match result {
        Ok(true) => {
            fleet.record.add("result: the rule was broken");
            println!("{name}: the rule was broken");
            1
        }
        Ok(false) => {
            fleet.record.add("result: the rule held");
            println!("{name}: the rule held");
            0
        }
        Err(reason) => {
            fleet.record.add(&format!("result: could not run: {reason}"));
            println!("{name}: could not run: {reason}");
            2
        }
    }
}

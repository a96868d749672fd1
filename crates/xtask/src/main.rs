//! Development tasks of the workspace.

mod bench_fleet;
mod bench_suite;
mod fleet_scaling;

use {
    anyhow::{bail, Context as _},
    std::{env, process::Command},
};

const USAGE: &str = "\
usage: cargo run -p xtask -- COMMAND

  check           tests, formatter and linter, as CI runs them
  bench [NAME]    benchmarks with release builds; NAME is one of load, streams,
                  recovery, overload, allowance, shares, edits, store, slopes, fleet-slopes";

/// Steps of the check: name and arguments to cargo.
const STEPS: &[(&str, &[&str])] = &[
    ("tests", &["test", "--workspace", "--locked"]),
    ("format", &["fmt", "--all", "--", "--check"]),
    ("lints", &["clippy", "--workspace", "--all-targets", "--locked", "--", "-D", "warnings"]),
];

fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let command: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match command[..] {
        ["check"] => check(),
        ["bench"] => bench_suite::run(None),
        ["bench", name] => bench_suite::run(Some(name)),
        _ => bail!(USAGE),
    }
}

fn check() -> anyhow::Result<()> {
    for (name, arguments) in STEPS {
        println!("xtask: {name}");
        cargo(arguments).with_context(|| format!("{name} failed"))?;
    }
    Ok(())
}

/// Runs cargo and returns an error if it exits with a failure.
fn cargo(arguments: &[&str]) -> anyhow::Result<()> {
    let status = Command::new("cargo").args(arguments).status().context("cannot run cargo")?;
    anyhow::ensure!(status.success(), "cargo {} failed", arguments.join(" "));
    Ok(())
}

//! Chores of the workspace: `cargo run -p xtask -- check`.

use {
    anyhow::{bail, Context as _},
    std::{env, process::Command},
};

/// One step of the check: a name and the arguments to cargo.
const STEPS: &[(&str, &[&str])] = &[
    ("tests", &["test", "--workspace", "--locked"]),
    ("format", &["fmt", "--all", "--", "--check"]),
    ("lints", &["clippy", "--workspace", "--all-targets", "--locked", "--", "-D", "warnings"]),
];

fn main() -> anyhow::Result<()> {
    match env::args().nth(1).as_deref() {
        Some("check") => check(),
        _ => bail!("usage: xtask check"),
    }
}

fn check() -> anyhow::Result<()> {
    for (name, arguments) in STEPS {
        println!("xtask: {name}");
        let status = Command::new("cargo").args(*arguments).status().context("cannot run cargo")?;
        if !status.success() {
            bail!("{name} failed");
        }
    }
    Ok(())
}

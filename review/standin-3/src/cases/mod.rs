//! The cases; each returns whether the rule held.

mod deadly;
mod extra;
mod keys;
mod upgrade;
mod zero;

use {crate::play::Play, std::io};

pub fn run(case: &str, play: &Play) -> io::Result<bool> {
    match case {
        "deadly" => deadly::run(play),
        "extra" => extra::run(play),
        "keys" => keys::run(play),
        "upgrade" => upgrade::run(play),
        "zero" => zero::run(play),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}

//! The cases; each returns whether the rule held.

mod deadly;
mod extra;
mod upgrade;
mod zero;

use {crate::play::Play, std::io};

pub fn run(case: &str, play: &Play) -> io::Result<bool> {
    match case {
        "deadly" => deadly::run(play, deadly::Form { crash_after: 14, has_parts: false }),
        "extra" => extra::run(play),
        "renewed" => deadly::run(play, deadly::Form { crash_after: 1, has_parts: true }),
        "upgrade" => upgrade::run(play),
        "zero" => zero::run(play),
        other => Err(io::Error::other(format!("no case {other}"))),
    }
}

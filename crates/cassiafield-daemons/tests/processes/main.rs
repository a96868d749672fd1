//! Tests of the programs as separate processes: kills, freezes, planned stops, outages and edits.

mod at_most_once;
mod command_line;
mod configuration;
mod dry_run;
mod explaining;
mod fleet;
mod leaving;
mod outage;
mod recovery;
mod report;
mod stopping;

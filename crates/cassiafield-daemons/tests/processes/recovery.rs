//! Streams go on when a stage is killed or frozen.

use {
    crate::fleet::{expected, FleetShape, ProcessFleet},
    std::{thread, time::Duration},
};

const STREAMS: u32 = 12;
const TOKENS: u32 = 120;

/// Runs streams, lets `fail` happen in their midst, and checks every answer.
fn survive(fleet: &mut ProcessFleet, fail: impl FnOnce(&mut ProcessFleet)) {
    let address = fleet.entries[0].address().to_owned();
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let address = address.clone();
            thread::spawn(move || {
                let prompt = format!("stream {index}");
                let reply = crate::fleet::complete(&address, &prompt, TOKENS).unwrap();
                assert_eq!(reply.status, 200, "{}", reply.body);
                assert_eq!(reply.body["choices"][0]["text"], expected(&prompt, TOKENS));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    fail(fleet);
    for stream in streams {
        stream.join().unwrap();
    }
}

#[test]
fn a_killed_first_stage_loses_no_token() {
    let mut fleet = ProcessFleet::start(FleetShape::default());
    survive(&mut fleet, |fleet| fleet.engines[0].kill());
}

#[test]
fn a_killed_last_stage_loses_no_token() {
    let mut fleet = ProcessFleet::start(FleetShape::default());
    survive(&mut fleet, |fleet| fleet.engines[3].kill());
}

#[test]
fn a_frozen_stage_that_wakes_changes_no_answer() {
    let mut fleet = ProcessFleet::start(FleetShape::default());
    survive(&mut fleet, |fleet| {
        fleet.engines[0].signal("STOP");
        thread::sleep(Duration::from_millis(1_500));
        fleet.engines[0].signal("CONT");
    });
    survive(&mut fleet, |fleet| {
        fleet.engines[2].signal("STOP");
        thread::sleep(Duration::from_millis(1_500));
        fleet.engines[2].signal("CONT");
    });
}

//! Recovery of streams when a stage is killed or frozen.

use {
    crate::fleet::{expected_completion, ProcessFleet, ProcessFleetSpec},
    std::{thread, time::Duration},
};

const STREAMS: u32 = 12;
const TOKENS_PER_STREAM: u32 = 120;

/// Runs streams, calls `inject_failure` while they are in progress and checks every answer.
fn assert_streams_survive(
    fleet: &mut ProcessFleet,
    inject_failure: impl FnOnce(&mut ProcessFleet),
) {
    let address = fleet.entry_hosts[0].address().to_owned();
    let streams: Vec<_> = (0..STREAMS)
        .map(|index| {
            let address = address.clone();
            thread::spawn(move || {
                let prompt = format!("stream {index}");
                let response =
                    crate::fleet::complete(&address, &prompt, TOKENS_PER_STREAM).unwrap();
                assert_eq!(response.status, 200, "{}", response.body);
                assert_eq!(
                    response.body["choices"][0]["text"],
                    expected_completion(&prompt, TOKENS_PER_STREAM)
                );
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    inject_failure(fleet);
    for stream in streams {
        stream.join().unwrap();
    }
}

#[test]
fn a_killed_first_stage_loses_no_token() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec::default());
    assert_streams_survive(&mut fleet, |fleet| fleet.engines[0].kill());
}

#[test]
fn a_killed_last_stage_loses_no_token() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec::default());
    assert_streams_survive(&mut fleet, |fleet| fleet.engines[3].kill());
}

#[test]
fn a_stage_that_freezes_and_resumes_changes_no_answer() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec::default());
    assert_streams_survive(&mut fleet, |fleet| {
        fleet.engines[0].signal("STOP");
        thread::sleep(Duration::from_millis(1_500));
        fleet.engines[0].signal("CONT");
    });
    assert_streams_survive(&mut fleet, |fleet| {
        fleet.engines[2].signal("STOP");
        thread::sleep(Duration::from_millis(1_500));
        fleet.engines[2].signal("CONT");
    });
}

//! Recovery of streams when a stage is killed or frozen.

use {
    crate::fleet::{
        expected_completion, opened_streams, wait_until, ProcessFleet, ProcessFleetSpec,
    },
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

/// Guards against streams that end because their only route is silent for a while.
#[test]
fn a_silent_stage_without_a_substitute_ends_no_stream() {
    let spec = ProcessFleetSpec { replicas: 1, ..ProcessFleetSpec::default() };
    let mut fleet = ProcessFleet::start(spec);
    let before = opened_streams(fleet.engines[0].address());
    assert_streams_survive(&mut fleet, |fleet| {
        wait_until("every stream has begun", || {
            opened_streams(fleet.engines[0].address()) >= before + u64::from(STREAMS)
        });
        fleet.engines[0].signal("STOP");
        thread::sleep(Duration::from_secs(4));
        fleet.engines[0].signal("CONT");
    });
}

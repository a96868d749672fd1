//! Whatever an engine sends, the caller gets the right answer or a true refusal.

use {
    crate::support::{complete, expected, fleet_spec, start},
    cassiafield_standin::EngineFault,
};

fn survives(fault: EngineFault) {
    let (fleet, address) = start(&fleet_spec());
    for replica in 0..2 {
        fleet.engines()[replica].set_fault(fault);
        for request in 0..3 {
            let prompt = format!("{fault:?} {replica} {request}");
            let reply = complete(address, &prompt, 24);
            assert_eq!(reply.status, 200, "{fault:?}: {}", reply.body);
            assert_eq!(reply.body["choices"][0]["text"], expected(&prompt, 24), "{fault:?}");
        }
        fleet.engines()[replica].set_fault(EngineFault::None);
    }
    fleet.close();
}

#[test]
fn doubled_frames_are_dropped() {
    survives(EngineFault::Double);
}

#[test]
fn frames_of_other_streams_and_attempts_are_dropped() {
    survives(EngineFault::Foreign);
}

#[test]
fn missing_frames_are_made_anew() {
    survives(EngineFault::Gap);
}

#[test]
fn garbage_ends_the_attempt() {
    survives(EngineFault::Garbage);
}

#[test]
fn a_line_without_end_ends_the_attempt() {
    survives(EngineFault::Endless);
}

#[test]
fn tokens_of_the_wrong_layers_never_reach_the_caller() {
    survives(EngineFault::WrongLayers);
}

#[test]
fn a_silent_stream_is_resumed_elsewhere() {
    survives(EngineFault::Silence);
}

#[test]
fn with_every_engine_wrong_the_caller_gets_a_refusal() {
    let (fleet, address) = start(&fleet_spec());
    for engine in fleet.engines() {
        engine.set_fault(EngineFault::WrongLayers);
    }
    let reply = complete(address, "x", 8);
    assert_eq!(reply.status, 502, "{}", reply.body);
    assert_eq!(reply.body["verdict"], "may-have-run");
    fleet.close();
}

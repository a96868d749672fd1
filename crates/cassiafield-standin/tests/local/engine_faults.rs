//! With faulty engines, a caller gets a correct completion or a refusal, never wrong tokens.

use {
    crate::support::{complete, expected_completion, fleet_spec, start_fleet},
    cassiafield_standin::EngineFault,
};

fn assert_correct_completions(fault: EngineFault) {
    let (fleet, address) = start_fleet(&fleet_spec());
    for replica in 0..2 {
        fleet.engines()[replica].set_fault(fault);
        for request in 0..3 {
            let prompt = format!("{fault:?} {replica} {request}");
            let response = complete(address, &prompt, 24);
            assert_eq!(response.status, 200, "{fault:?}: {}", response.body);
            assert_eq!(
                response.body["choices"][0]["text"],
                expected_completion(&prompt, 24),
                "{fault:?}"
            );
        }
        fleet.engines()[replica].set_fault(EngineFault::None);
    }
    fleet.close();
}

#[test]
fn duplicate_frames_are_dropped() {
    assert_correct_completions(EngineFault::Double);
}

#[test]
fn frames_of_other_streams_and_attempts_are_dropped() {
    assert_correct_completions(EngineFault::Foreign);
}

#[test]
fn missing_frames_are_regenerated() {
    assert_correct_completions(EngineFault::Gap);
}

#[test]
fn malformed_lines_end_the_attempt() {
    assert_correct_completions(EngineFault::Garbage);
}

#[test]
fn an_unterminated_line_ends_the_attempt() {
    assert_correct_completions(EngineFault::Endless);
}

#[test]
fn tokens_with_wrong_layer_spans_never_reach_the_caller() {
    assert_correct_completions(EngineFault::WrongLayers);
}

#[test]
fn a_stalled_stream_is_resumed_on_another_replica() {
    assert_correct_completions(EngineFault::Silence);
}

#[test]
fn a_request_is_refused_when_every_engine_is_faulty() {
    let (fleet, address) = start_fleet(&fleet_spec());
    for engine in fleet.engines() {
        engine.set_fault(EngineFault::WrongLayers);
    }
    let response = complete(address, "x", 8);
    assert_eq!(response.status, 502, "{}", response.body);
    assert_eq!(response.body["verdict"], "may-have-run");
    fleet.close();
}

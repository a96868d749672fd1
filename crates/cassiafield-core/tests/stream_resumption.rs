//! How long and how often the resumption of a stream is tried.

use {
    cassiafield_core::request::{GiveUpReason, StreamTimeouts},
    std::time::Duration,
};

const TIMEOUTS: StreamTimeouts = StreamTimeouts {
    latency_objective: Duration::from_millis(800),
    event_gap_objective: Some(Duration::from_millis(200)),
};

/// Guards against a stream that asks for its resumption so often that it loads the zone's leader.
#[test]
fn the_attempts_to_resume_a_silent_stream_are_bounded() {
    let one_hour = Duration::from_secs(3_600);
    let (mut waited, mut attempts) = (Duration::ZERO, 0);
    while waited < one_hour {
        waited += TIMEOUTS.resume_interval(waited);
        attempts += 1;
    }
    assert!(attempts <= 3_630, "{attempts} attempts in an hour");
}

/// Guards against ending a broken stream while its caller still waits.
#[test]
fn a_broken_stream_is_worth_resuming_while_its_caller_waits() {
    let patience = TIMEOUTS.caller_patience();
    assert!(TIMEOUTS.is_worth_resuming(patience - Duration::from_millis(1)));
    assert!(!TIMEOUTS.is_worth_resuming(patience));
    assert!(TIMEOUTS.resume_interval(Duration::ZERO) * 4 < patience);
}

/// Guards against waiting for a resumption that can never be granted, and against giving one up that
/// may be granted in a moment.
#[test]
fn only_permanent_reasons_are_final() {
    let is_permanent = |reason: &GiveUpReason| {
        ["deadline", "not-resumable", "send-limit", "prompt-blocked", "out-of-reach"]
            .contains(&reason.name())
    };
    for reason in GiveUpReason::ALL {
        assert_eq!(reason.is_final(), is_permanent(&reason), "{reason}");
    }
}

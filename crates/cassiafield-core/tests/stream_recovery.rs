//! Conditions under which a failed stream is resumed or given up.

use {
    cassiafield_core::{
        ids::Moment,
        request::{FailureSource, RecoveryStep, StreamRecovery},
    },
    std::time::Duration,
};

const DEADLINE: Moment = Moment::from_millis(60_000);

fn fail(recovery: &mut StreamRecovery, permitted: bool) -> RecoveryStep {
    recovery.record_failure(Moment::ORIGIN, FailureSource::Unknown, permitted, 0.5)
}

#[test]
fn a_stream_that_progresses_is_always_resumed() {
    let mut recovery = StreamRecovery::new(DEADLINE);
    for _ in 0..100 {
        recovery.record_progress();
        assert!(matches!(fail(&mut recovery, true), RecoveryStep::Resume(_)));
    }
}

#[test]
fn a_stream_without_progress_is_given_up_after_a_few_attempts() {
    let mut recovery = StreamRecovery::new(DEADLINE);
    let resumed = (0..100).take_while(|_| fail(&mut recovery, true) != RecoveryStep::GiveUp);
    assert_eq!(resumed.count(), 3);
}

/// Guards against leaving a silent route with the last attempt used up.
#[test]
fn attempts_are_left_exactly_while_a_failure_is_followed_by_another_one() {
    let mut recovery = StreamRecovery::new(DEADLINE);
    for _ in 0..10 {
        let has_attempts_left = recovery.has_attempts_left();
        let is_resumed = fail(&mut recovery, true) != RecoveryStep::GiveUp;
        assert_eq!(has_attempts_left, is_resumed);
    }
    recovery.record_progress();
    assert!(recovery.has_attempts_left());
}

#[test]
fn a_stream_is_given_up_without_retry_budget_or_after_the_deadline() {
    let mut recovery = StreamRecovery::new(DEADLINE);
    assert_eq!(fail(&mut recovery, false), RecoveryStep::GiveUp);
    let mut recovery = StreamRecovery::new(DEADLINE);
    let late = DEADLINE + Duration::from_millis(1);
    assert_eq!(
        recovery.record_failure(late, FailureSource::Unknown, true, 0.0),
        RecoveryStep::GiveUp
    );
}

#[test]
fn a_suspect_endpoint_is_avoided_once_and_a_failed_one_always() {
    let mut recovery = StreamRecovery::new(DEADLINE);
    let (one, other) = ("one".parse().unwrap(), "other".parse().unwrap());
    recovery.record_failure(Moment::ORIGIN, FailureSource::Endpoint(one), true, 0.0);
    recovery.record_failure(Moment::ORIGIN, FailureSource::Suspect(other), true, 0.0);
    assert!(recovery.suspect().is_some());
    recovery.record_failure(Moment::ORIGIN, FailureSource::Unknown, true, 0.0);
    assert!(recovery.suspect().is_none());
    assert_eq!(recovery.failed_endpoints().len(), 1);
}

//! When a caller's connection may be closed.

use {
    cassiafield_core::{
        ids::Moment,
        process::{ClosePolicy, CloseReason, ConnectionActivity, ConnectionPhase},
    },
    std::time::Duration,
};

const POLICY: ClosePolicy = ClosePolicy {
    idle_timeout: Duration::from_secs(16),
    header_timeout: Duration::from_secs(3),
    wish: None,
};

const fn policy_with(wish: CloseReason) -> ClosePolicy {
    ClosePolicy { wish: Some(wish), ..POLICY }
}

/// Checks a connection every 500 ms; returns the first reason to close it and its time.
fn first_close(
    activity: &mut ConnectionActivity,
    policy: &ClosePolicy,
    until: Moment,
) -> Option<(CloseReason, Moment)> {
    const INTERVAL: Duration = Duration::from_millis(500);
    let mut now = Moment::ORIGIN;
    while now <= until {
        if let Some(reason) = activity.check(policy, now) {
            return Some((reason, now));
        }
        now = now + INTERVAL;
    }
    None
}

/// Returns a connection on which one request was answered.
fn used_connection() -> ConnectionActivity {
    let mut activity = ConnectionActivity::default();
    activity.record_read(300);
    activity.record_request();
    activity.record_body_end();
    activity.record_response_end();
    activity.record_write(120);
    activity.record_flush();
    activity
}

const LONG: Moment = Moment::from_millis(60_000);

#[test]
fn an_idle_connection_is_closed_after_its_timeout() {
    let mut activity = used_connection();
    let closed = first_close(&mut activity, &POLICY, LONG);
    assert_eq!(closed, Some((CloseReason::IdleTimeout, Moment::from_millis(16_000))));
}

#[test]
fn a_used_connection_is_closed_at_the_second_quiet_check_of_a_stop() {
    for reason in [CloseReason::Stopping, CloseReason::NotReady] {
        let mut activity = used_connection();
        let closed = first_close(&mut activity, &policy_with(reason), LONG);
        assert_eq!(closed, Some((reason, Moment::from_millis(500))));
    }
}

#[test]
fn a_new_connection_waits_for_its_first_request_until_the_exit() {
    let mut activity = ConnectionActivity::default();
    let stopping = policy_with(CloseReason::Stopping);
    assert_eq!(first_close(&mut activity, &stopping, Moment::from_millis(5_000)), None);
    let mut activity = ConnectionActivity::default();
    let exiting = policy_with(CloseReason::Exiting);
    assert_eq!(activity.check(&exiting, Moment::ORIGIN), None);
    let later = Moment::ORIGIN + ConnectionActivity::FIRST_REQUEST_TIME;
    assert_eq!(activity.check(&exiting, later), Some(CloseReason::Exiting));
    assert_eq!(used_connection().check(&exiting, Moment::ORIGIN), Some(CloseReason::Exiting));
}

/// Guards against a close between the first byte of a request and the last of its response, at
/// whatever step the close is wished for.
#[test]
fn no_wish_closes_a_connection_from_the_first_byte_to_the_last() {
    let steps: [fn(&mut ConnectionActivity); 6] = [
        |activity| activity.record_read(1),
        |activity| activity.record_request(),
        |activity| activity.record_read(10),
        |activity| activity.record_body_end(),
        |activity| activity.record_response_end(),
        |activity| activity.record_write(100),
    ];
    for reason in [CloseReason::Stopping, CloseReason::NotReady, CloseReason::Exiting] {
        for count in 1..=steps.len() {
            let mut activity = used_connection();
            steps[..count].iter().for_each(|step| step(&mut activity));
            let mut policy = ClosePolicy { header_timeout: Duration::MAX, ..policy_with(reason) };
            // A response of which the caller takes nothing has its own limit.
            if activity.phase() == ConnectionPhase::Flushing {
                policy.idle_timeout = Duration::MAX;
            }
            assert_eq!(first_close(&mut activity, &policy, LONG), None, "after step {count}");
        }
    }
}

#[test]
fn a_head_that_stays_incomplete_is_given_up_after_its_timeout() {
    let mut activity = used_connection();
    activity.record_read(10);
    assert_eq!(activity.check(&POLICY, Moment::from_millis(500)), None);
    // Further bytes do not extend the time.
    activity.record_read(10);
    assert_eq!(activity.check(&POLICY, Moment::from_millis(3_000)), None);
    let closed = activity.check(&POLICY, Moment::from_millis(3_500));
    assert_eq!(closed, Some(CloseReason::HeaderTimeout));
}

#[test]
fn bytes_of_the_next_request_keep_the_connection_open_after_the_response() {
    let mut activity = ConnectionActivity::default();
    activity.record_read(300);
    activity.record_request();
    activity.record_body_end();
    activity.record_read(20);
    activity.record_response_end();
    activity.record_flush();
    assert_eq!(activity.phase(), ConnectionPhase::ReadingHead);
    assert_eq!(activity.check(&policy_with(CloseReason::Exiting), LONG), None);
    activity.record_read(280);
    activity.record_request();
    assert_eq!((activity.request_bytes(), activity.response_bytes()), (300, 0));
}

#[test]
fn a_response_is_open_until_its_last_byte_has_been_written() {
    let mut activity = ConnectionActivity::default();
    activity.record_read(300);
    activity.record_request();
    // Flushes of the head and of earlier parts do not end the response.
    activity.record_write(100);
    activity.record_flush();
    assert!(activity.has_open_request());
    activity.record_body_end();
    activity.record_response_end();
    assert!(activity.has_open_request());
    activity.record_write(50);
    activity.record_flush();
    assert!(activity.is_between_requests());
    assert_eq!((activity.request_bytes(), activity.response_bytes()), (300, 150));
}

/// Guards against a connection that counts as reading a head because the rest of a refused body was
/// read.
#[test]
fn the_rest_of_a_body_that_was_answered_early_is_no_head() {
    let mut activity = ConnectionActivity::default();
    activity.record_read(8_000);
    activity.record_request();
    activity.record_response_end();
    activity.record_write(120);
    activity.record_flush();
    activity.record_read(3_000);
    assert!(activity.is_between_requests());
    // A head that comes later counts.
    activity.record_read(40);
    assert_eq!(activity.phase(), ConnectionPhase::ReadingHead);
}

/// Guards against callers that never read their response and occupy connections for ever.
#[test]
fn a_caller_that_takes_nothing_of_its_response_is_closed_after_the_idle_timeout() {
    let mut activity = ConnectionActivity::default();
    activity.record_read(300);
    activity.record_request();
    activity.record_body_end();
    activity.record_response_end();
    let mut slow_reader = activity;
    let closed = first_close(&mut activity, &POLICY, LONG);
    assert_eq!(closed, Some((CloseReason::IdleTimeout, Moment::from_millis(16_000))));
    // One that takes a little now and then is not closed.
    for second in 0..60 {
        slow_reader.record_write(1);
        assert_eq!(slow_reader.check(&POLICY, Moment::from_millis(second * 1_000)), None);
    }
}

/// Guards against a reset of a connection whose caller still reads a large response.
#[test]
fn a_connection_that_carried_a_large_response_stays_longer_for_its_caller() {
    let mut activity = used_connection();
    let short = ConnectionActivity::MIN_LINGER_TIME;
    assert_eq!(activity.linger_time(POLICY.idle_timeout), short);
    activity.record_read(300);
    activity.record_request();
    activity.record_body_end();
    activity.record_read(20);
    activity.record_write(100_000);
    activity.record_response_end();
    activity.record_flush();
    assert_eq!(activity.phase(), ConnectionPhase::ReadingHead);
    assert_eq!(activity.linger_time(POLICY.idle_timeout), POLICY.idle_timeout);
    assert_eq!(activity.linger_time(Duration::from_millis(100)), short);
}

//! What replies of other hosts say of a service's endpoints.

use cassiafield_core::process::ReachPoll;

fn poll(asked: usize, replies: &[bool]) -> ReachPoll {
    let mut poll = ReachPoll::new(asked);
    for is_reached in replies {
        poll.record(*is_reached);
    }
    poll
}

#[test]
fn endpoints_have_failed_if_no_host_reaches_them() {
    assert!(poll(1, &[false]).shows_general_failure());
    assert!(poll(6, &[false; 6]).shows_general_failure());
    assert!(poll(6, &[false; 3]).shows_general_failure());
}

#[test]
fn endpoints_have_not_failed_if_a_host_reaches_them() {
    assert!(!poll(1, &[true]).shows_general_failure());
    assert!(!poll(6, &[false, false, false, false, false, true]).shows_general_failure());
}

/// Guards against a conclusion from silence: replies may be late or lost.
#[test]
fn hosts_that_do_not_reply_say_nothing_of_endpoints() {
    assert!(!poll(1, &[]).shows_general_failure());
    assert!(!poll(6, &[false, false]).shows_general_failure());
}

#[test]
fn a_host_without_others_to_ask_takes_failures_for_those_of_endpoints() {
    assert!(poll(0, &[]).shows_general_failure());
}

#[test]
fn a_poll_ends_with_the_first_confirmation_or_the_last_reply() {
    assert!(poll(0, &[]).is_decided());
    assert!(!poll(2, &[false]).is_decided());
    assert!(poll(2, &[false, false]).is_decided());
    assert!(poll(6, &[true]).is_decided());
}

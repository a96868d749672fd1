//! Whether a host has a way to the endpoints of a service.

use {
    cassiafield_core::{
        ids::{Moment, ServiceId},
        process::EndpointReach,
    },
    std::time::Duration,
};

fn service(name: &str) -> ServiceId {
    name.parse().expect("a name")
}

const fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

#[test]
fn a_connection_shows_the_way_for_failures_that_began_before_it() {
    let (mut reach, model) = (EndpointReach::default(), service("model"));
    reach.record_connection(&model, at(1_000));
    assert!(reach.is_sound_since(&model, at(1_000)));
    assert!(!reach.is_sound_since(&model, at(1_001)));
    assert!(!reach.is_sound_since(&service("plain"), at(1_000)));
}

#[test]
fn an_answer_over_an_old_connection_does_not_show_that_new_ones_open() {
    let (mut reach, model) = (EndpointReach::default(), service("model"));
    reach.record_answer(&model, at(1_000));
    assert!(reach.has_answered_since(&model, at(900)));
    assert!(!reach.is_sound_since(&model, at(900)));
}

#[test]
fn a_failure_of_all_endpoints_at_all_hosts_is_theirs() {
    let (mut reach, model) = (EndpointReach::default(), service("model"));
    reach.record_general_failure(&model, at(1_000));
    assert!(reach.is_sound_since(&model, at(990)));
    assert!(!reach.is_lost(&model));
}

#[test]
fn a_loss_concerns_its_service_only_and_is_news_once() {
    let (mut reach, model, plain) = (EndpointReach::default(), service("model"), service("plain"));
    assert!(reach.record_loss(&model, at(1_000)));
    assert!(!reach.record_loss(&model, at(1_100)));
    assert!(reach.is_lost(&model) && !reach.is_lost(&plain));
    assert_eq!(reach.lost().collect::<Vec<_>>(), [&model]);
    assert_eq!(reach.is_reached_since(&model, at(900)), Some(false));
}

#[test]
fn a_host_tells_others_only_of_answers_since_their_failure() {
    let (mut reach, model) = (EndpointReach::default(), service("model"));
    assert_eq!(reach.is_reached_since(&model, at(1_000)), None);
    reach.record_answer(&model, at(1_000));
    assert_eq!(reach.is_reached_since(&model, at(1_000)), Some(true));
    assert_eq!(reach.is_reached_since(&model, at(1_001)), None);
}

#[test]
fn a_way_that_comes_and_goes_is_used_only_after_two_trials_in_a_row() {
    let (mut reach, model) = (EndpointReach::default(), service("model"));
    reach.record_loss(&model, at(1_000));
    let mut now = at(1_000);
    for _ in 0..10 {
        now = now + Duration::from_millis(500);
        assert_eq!(reach.due_trials(now).count(), 1);
        assert_eq!(reach.record_trial(&model, true, now), None);
        now = now + Duration::from_millis(150);
        assert_eq!(reach.due_trials(now).count(), 1);
        assert_eq!(reach.record_trial(&model, false, now), None);
        assert_eq!(reach.due_trials(now).count(), 0);
    }
    assert!(reach.is_lost(&model));
    reach.record_trial(&model, true, now);
    let lost_for = reach.record_trial(&model, true, now + Duration::from_millis(100));
    assert_eq!(lost_for, Some((now + Duration::from_millis(100)).since(at(1_000))));
    assert!(!reach.is_lost(&model));
}

#[test]
fn a_way_that_is_back_is_found_within_a_second() {
    for healed_after_ms in (0..2_000).step_by(50) {
        let (mut reach, model) = (EndpointReach::default(), service("model"));
        reach.record_loss(&model, at(10_000));
        let healed_at = at(10_000 + healed_after_ms);
        let mut now = at(10_000);
        while reach.is_lost(&model) {
            now = now + Duration::from_millis(50);
            if reach.due_trials(now).count() > 0 {
                reach.record_trial(&model, now >= healed_at, now);
            }
        }
        assert!(now.since(healed_at) < Duration::from_secs(1), "{healed_after_ms}");
    }
}

#[test]
fn a_service_that_is_gone_is_forgotten() {
    let (mut reach, model) = (EndpointReach::default(), service("model"));
    reach.record_loss(&model, at(1_000));
    reach.retain(|_| false);
    assert!(!reach.is_lost(&model));
}

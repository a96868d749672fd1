//! Endpoints die before hundreds of hosts, each of which has few requests.

use {
    crate::engine_support::{directory, endpoint, entry, span},
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::{EndpointDirectory, FailureCause},
    },
    std::time::Duration,
};

const HOSTS: usize = 195;
const DEAD: usize = 20;
const REPORT_TIME: Duration = Duration::from_secs(1);
const START: Moment = Moment::from_millis(70_000);

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

fn name(index: usize) -> String {
    format!("e{index}")
}

fn host_directory() -> EndpointDirectory {
    let entries = (0..2 * DEAD).map(|index| entry(&name(index), "fast", "a", Some(span(0, 30))));
    directory(entries.collect())
}

/// Returns how many requests are sent to dead endpoints within ten seconds, at three requests a second
/// and host.
fn wasted_sends(shares_failures: bool) -> usize {
    let mut hosts: Vec<EndpointDirectory> = (0..HOSTS).map(|_| host_directory()).collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut wasted = 0;
    for step in 0..200 {
        let now = at(step * 50);
        for directory in &mut hosts {
            if rng.f64() >= 0.15 {
                continue;
            }
            let target = rng.usize(..2 * DEAD);
            let target_endpoint = endpoint(&name(target));
            if target < DEAD && !directory.is_suspect(&target_endpoint, now) {
                wasted += 1;
                directory.record_unresponsive(&target_endpoint, now);
            }
        }
        if shares_failures && step % 3 == 0 {
            exchange_reports(&mut hosts, now);
        }
    }
    wasted
}

fn exchange_reports(hosts: &mut [EndpointDirectory], now: Moment) {
    let reports: Vec<_> = hosts
        .iter()
        .flat_map(|directory| {
            let failures = directory.recent_failures(REPORT_TIME, now);
            failures.map(|(entry, report)| (entry.endpoint.clone(), report)).collect::<Vec<_>>()
        })
        .collect();
    for directory in hosts {
        for (endpoint, report) in &reports {
            directory.record_peer_failure(endpoint, *report, now);
        }
    }
}

#[test]
fn one_host_finds_a_dead_endpoint_for_all() {
    let (shared, alone) = (wasted_sends(true), wasted_sends(false));
    println!("{shared} sends to dead endpoints; {alone} if each host finds them itself");
    assert!(shared * 5 < alone, "{shared} against {alone}");
}

fn stalled_reports(directory: &EndpointDirectory, now: Moment) -> Vec<EndpointId> {
    directory
        .recent_failures(REPORT_TIME, now)
        .filter(|(_, report)| report.cause == FailureCause::Stalled)
        .map(|(entry, _)| entry.endpoint.clone())
        .collect()
}

/// An endpoint responds to probes while the streams through it make no progress.
#[test]
fn only_endpoints_without_other_progress_are_blamed_for_a_stall() {
    let mut directory = host_directory();
    let route = [endpoint("e1"), endpoint("e2"), endpoint("e3")];
    directory.record_progress(&endpoint("e1"), at(500));
    directory.record_progress(&endpoint("e3"), at(600));
    directory.record_stall(&route, at(100), at(2_000));
    assert_eq!(stalled_reports(&directory, at(2_000)), [endpoint("e2")]);
    assert!(directory.is_suspect(&endpoint("e2"), at(2_100)));
    assert!(!directory.is_suspect(&endpoint("e1"), at(2_100)));
    directory.record_progress(&endpoint("e2"), at(2_200));
    assert!(!directory.is_suspect(&endpoint("e2"), at(2_300)));
}

#[test]
fn a_stall_of_one_host_is_avoided_by_the_others() {
    let (mut finder, mut other) = (host_directory(), host_directory());
    finder.record_stall([&endpoint("e1")], at(100), at(2_000));
    for (entry, report) in finder.recent_failures(REPORT_TIME, at(2_050)) {
        other.record_peer_failure(&entry.endpoint, report, at(2_060));
    }
    assert!(other.is_suspect(&endpoint("e1"), at(2_100)));
    assert!(!other.is_unresponsive(&endpoint("e1"), at(2_100)), "running streams stay");
    assert!(!other.is_suspect(&endpoint("e1"), at(4_000)), "the back-off ends");
}

/// A host that is cut off from an endpoint must not make the others avoid it.
#[test]
fn a_report_is_ignored_by_hosts_for_which_the_endpoint_works() {
    let (mut cut_off, mut other) = (host_directory(), host_directory());
    cut_off.record_unresponsive(&endpoint("e1"), at(1_000));
    other.record_progress(&endpoint("e1"), at(1_020));
    for (entry, report) in cut_off.recent_failures(REPORT_TIME, at(1_050)) {
        assert!(!other.record_peer_failure(&entry.endpoint, report, at(1_060)));
    }
    assert!(!other.is_suspect(&endpoint("e1"), at(1_100)));
}

#[test]
fn a_report_about_an_earlier_process_of_an_endpoint_is_ignored() {
    let (mut finder, mut other) = (host_directory(), host_directory());
    finder.record_unresponsive(&endpoint("e1"), at(1_000));
    let restarted = cassiafield_core::process::EndpointEntry {
        incarnation: cassiafield_core::process::EndpointIncarnation(2),
        ..entry("e1", "fast", "a", None)
    };
    other.apply_list(vec![restarted], at(1_500));
    for (entry, report) in finder.recent_failures(REPORT_TIME, at(1_600)) {
        assert!(!other.record_peer_failure(&entry.endpoint, report, at(1_600)));
    }
}

/// A single lost probe must not keep an endpoint out of use that responds to the zone's leader.
#[test]
fn a_response_to_a_peer_ends_a_single_failure_but_not_repeated_ones() {
    let mut directory = host_directory();
    directory.record_unresponsive(&endpoint("e1"), at(1_000));
    directory.record_peer_response(&endpoint("e1"), at(1_400));
    assert!(!directory.is_suspect(&endpoint("e1"), at(1_500)));
    directory.record_unresponsive(&endpoint("e1"), at(2_000));
    directory.record_unresponsive(&endpoint("e1"), at(2_500));
    directory.record_peer_response(&endpoint("e1"), at(2_900));
    assert!(directory.is_suspect(&endpoint("e1"), at(3_000)));
    let due: Vec<_> = directory.due_trials(at(9_000)).map(|entry| entry.endpoint.clone()).collect();
    assert_eq!(due, [endpoint("e1")]);
}

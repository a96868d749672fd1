//! The endpoint directory during store outages, and endpoints that fail and recover.

mod engine_support;

use {
    cassiafield_core::{
        ids::Moment,
        process::{DirectoryChange, EndpointDirectory, EndpointIncarnation, ServiceChoice},
    },
    engine_support::{endpoint, entry, service, span, zone},
    std::time::Duration,
};

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn is_live(directory: &EndpointDirectory, name: &str) -> bool {
    directory.live_entries(&service()).any(|entry| entry.endpoint == endpoint(name))
}

#[test]
fn an_entry_missing_from_a_readable_list_is_gone() {
    let mut directory = EndpointDirectory::default();
    directory.apply_list(vec![entry("e1", "fast", "a", None)], at(0));
    let changes = directory.apply_list(Vec::new(), at(5_000));
    assert_eq!(changes, [DirectoryChange::Gone(endpoint("e1"))]);
    assert!(!is_live(&directory, "e1"));
}

/// Guards against work for an endpoint whose entry was removed shortly after the host had started.
#[test]
fn an_entry_removed_after_the_first_list_of_a_host_is_gone() {
    let mut directory = EndpointDirectory::default();
    directory.apply_list(vec![entry("e1", "fast", "a", None)], at(1_000));
    directory.apply_list(Vec::new(), at(1_800));
    assert!(!is_live(&directory, "e1"));
}

#[test]
fn an_entry_missing_after_an_outage_is_kept_for_the_grace_time() {
    let mut directory = EndpointDirectory::default();
    directory.apply_list(vec![entry("e1", "fast", "a", None)], at(0));
    directory.record_list_failure();
    assert!(directory.apply_list(Vec::new(), at(10_000)).is_empty());
    assert!(directory.apply_list(Vec::new(), at(11_900)).is_empty());
    assert!(is_live(&directory, "e1"));
    directory.apply_list(Vec::new(), at(12_400));
    assert!(!is_live(&directory, "e1"));
}

#[test]
fn an_endpoint_whose_address_is_reused_is_gone_within_the_grace_time() {
    let mut directory = EndpointDirectory::default();
    let old = entry("e9", "fast", "a", Some(span(0, 8)));
    directory.apply_list(vec![old.clone()], at(0));
    directory.record_list_failure();
    let mut new = entry("e1", "fast", "a", None);
    new.address = old.address;
    let changes = directory.apply_list(vec![new], at(10_000));
    let started = DirectoryChange::Started(endpoint("e1"), EndpointIncarnation(1));
    assert_eq!(changes, [started, DirectoryChange::Gone(endpoint("e9"))]);
    assert!(!is_live(&directory, "e9"));
}

#[test]
fn an_endpoint_stays_leaving_until_it_restarts() {
    let mut directory = EndpointDirectory::default();
    let mut leaving = entry("e1", "fast", "a", Some(span(0, 8)));
    leaving.is_leaving = true;
    directory.apply_list(vec![leaving], at(0));
    assert!(!is_live(&directory, "e1"));
    directory.apply_list(vec![entry("e1", "fast", "a", Some(span(0, 8)))], at(1_000));
    assert!(!is_live(&directory, "e1"), "the same incarnation is not live again");
    let mut again = entry("e1", "fast", "a", None);
    again.incarnation = EndpointIncarnation(2);
    let changes = directory.apply_list(vec![again], at(2_000));
    assert_eq!(changes, [DirectoryChange::Started(endpoint("e1"), EndpointIncarnation(2))]);
    assert!(is_live(&directory, "e1"));
}

/// Guards against an endpoint that is taken back since its entry was removed and came back as ready, as
/// from an older copy of the store.
#[test]
fn an_endpoint_that_has_left_stays_leaving_when_its_entry_comes_back() {
    let mut directory = EndpointDirectory::default();
    let ready = entry("e1", "fast", "a", Some(span(0, 8)));
    let mut leaving = ready.clone();
    leaving.is_leaving = true;
    directory.apply_list(vec![leaving], at(0));
    directory.apply_list(Vec::new(), at(1_000));
    directory.apply_list(vec![ready], at(2_000));
    assert!(!is_live(&directory, "e1"));
    let mut again = entry("e1", "fast", "a", None);
    again.incarnation = EndpointIncarnation(2);
    directory.apply_list(vec![again], at(3_000));
    assert!(is_live(&directory, "e1"));
}

#[test]
fn an_entry_of_an_earlier_incarnation_is_ignored() {
    let mut directory = EndpointDirectory::default();
    let mut second = entry("e1", "fast", "a", None);
    second.incarnation = EndpointIncarnation(2);
    directory.apply_list(vec![second], at(0));
    let changes = directory.apply_list(vec![entry("e1", "fast", "a", Some(span(0, 8)))], at(1_000));
    assert!(changes.is_empty());
    assert_eq!(directory.entry(&endpoint("e1")).and_then(|entry| entry.span), None);
}

#[test]
fn repeated_failures_extend_the_back_off() {
    let mut directory = EndpointDirectory::default();
    directory.apply_list(vec![entry("e1", "fast", "a", None)], at(0));
    let mut backoffs = Vec::new();
    let mut now = 0;
    for _ in 0..6 {
        directory.record_failure(&endpoint("e1"), at(now));
        let from = now;
        while directory.is_suspect(&endpoint("e1"), at(now)) {
            now += 50;
        }
        backoffs.push(now - from);
    }
    assert!(backoffs.windows(2).all(|pair| pair[0] <= pair[1]), "{backoffs:?}");
    assert!(backoffs[5] <= 6_000);
    directory.record_failure(&endpoint("e1"), at(now));
    directory.record_success(&endpoint("e1"), None);
    assert!(!directory.is_suspect(&endpoint("e1"), at(now)));
}

/// Guards against repeated loss of filings: an endpoint accepts requests but never answers, while its
/// entry in the list stays valid.
#[test]
fn an_endpoint_that_lost_a_filing_gets_no_other_until_a_lookup_came_back() {
    let mut directory = EndpointDirectory::default();
    let list = vec![entry("e1", "fast", "a", None), entry("e2", "fast", "b", None)];
    directory.apply_list(list, at(0));
    let chosen = |directory: &EndpointDirectory, at_most_once: bool, now: Moment| {
        let (service, zone) = (service(), zone("a"));
        let choice = ServiceChoice { service: &service, zone: &zone, excluded: &[], at_most_once };
        directory.choose(&choice, now).map(|entry| entry.endpoint.to_string())
    };
    assert_eq!(chosen(&directory, true, at(1)).as_deref(), Some("e1"));
    directory.record_failure(&endpoint("e1"), at(1));
    let later = at(60_000);
    assert_eq!(chosen(&directory, true, later).as_deref(), Some("e2"));
    assert_eq!(chosen(&directory, false, later).as_deref(), Some("e1"));
    directory.record_success(&endpoint("e1"), Some(Duration::from_millis(5)));
    assert_eq!(chosen(&directory, true, later).as_deref(), Some("e1"));
}

#[test]
fn an_endpoint_is_chosen_even_if_all_have_failed() {
    let mut directory = EndpointDirectory::default();
    directory.apply_list(vec![entry("e1", "fast", "a", None)], at(0));
    directory.record_failure(&endpoint("e1"), at(1));
    let (service, zone) = (service(), zone("a"));
    let choice =
        ServiceChoice { service: &service, zone: &zone, excluded: &[], at_most_once: true };
    assert!(directory.choose(&choice, at(2)).is_some());
}

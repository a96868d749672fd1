//! Endpoints that say in their answers that they are leaving.

use {
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::{EndpointIncarnation, EndpointLife, LeavingEndpoints},
    },
    std::time::Duration,
};

fn endpoint() -> EndpointId {
    "i-1".parse().expect("a name")
}

fn life(incarnation: u64) -> EndpointLife {
    EndpointLife { endpoint: endpoint(), incarnation: EndpointIncarnation(incarnation) }
}

const NOW: Moment = Moment::from_millis(1_000);

#[test]
fn the_word_of_an_endpoint_holds_for_its_incarnation() {
    let mut leaving = LeavingEndpoints::default();
    leaving.record(&life(5), NOW);
    assert!(leaving.contains(&endpoint(), EndpointIncarnation(5)));
    assert!(leaving.contains(&endpoint(), EndpointIncarnation(4)));
    assert!(!leaving.contains(&endpoint(), EndpointIncarnation(6)));
    assert!(!leaving.contains(&"i-2".parse().expect("a name"), EndpointIncarnation(5)));
}

#[test]
fn the_word_of_an_endpoint_outlives_its_entry() {
    let mut leaving = LeavingEndpoints::default();
    leaving.record(&life(5), NOW);
    leaving.retain_listed(|_| false, NOW + Duration::from_secs(60));
    assert!(leaving.contains(&endpoint(), EndpointIncarnation(5)));
    leaving.retain_listed(|_| true, NOW + Duration::from_secs(6_000));
    assert!(leaving.contains(&endpoint(), EndpointIncarnation(5)));
    leaving.retain_listed(|_| false, NOW + Duration::from_secs(6_000));
    assert!(!leaving.contains(&endpoint(), EndpointIncarnation(5)));
}

/// Guards against a late answer of an earlier run that brings a leaving one back.
#[test]
fn the_word_of_an_earlier_run_does_not_replace_that_of_a_later_one() {
    let mut leaving = LeavingEndpoints::default();
    assert!(leaving.record(&life(5), NOW));
    assert!(!leaving.record(&life(4), NOW));
    assert!(!leaving.record(&life(5), NOW));
    assert!(leaving.contains(&endpoint(), EndpointIncarnation(5)));
    assert!(leaving.record(&life(6), NOW));
}

//! What hosts believe of the memory in use at model endpoints, as streams come and go and readings
//! pass between availability zones.

mod engine_support;

use {
    cassiafield_core::{
        ids::{ModelId, Moment, ZoneId},
        process::{EngineLoad, EngineReading},
        request::{RouteDraft, RouteStage, StageRoute},
    },
    engine_support::{endpoint, span},
    std::{collections::BTreeMap, time::Duration},
};

const SPAN: Duration = Duration::from_millis(600);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn reading(used: f64) -> EngineReading {
    EngineReading { pace: 1.0, used, total: 1e6 }
}

fn route() -> StageRoute {
    let model: ModelId = "m".parse().expect("a valid name");
    let stage =
        RouteStage { endpoint: endpoint("f1"), address: "127.0.0.1:1".into(), span: span(0, 10) };
    StageRoute::try_from(RouteDraft { model, layers: 10, stages: vec![stage] }).expect("a route")
}

#[test]
fn without_a_reading_what_is_booked_counts() {
    let mut load = EngineLoad::default();
    let ticket = load.reserve(&route(), 100);
    assert_eq!(load.used(&endpoint("f1"), at(0)), 1_000.0);
    load.release(ticket);
    assert_eq!(load.used(&endpoint("f1"), at(0)), 0.0);
}

/// Streams whose host is gone go on at the endpoint though nobody books them.
#[test]
fn a_reading_counts_what_nobody_has_booked_and_bookings_since_are_added() {
    let mut load = EngineLoad::default();
    let first = load.reserve(&route(), 100);
    load.record_reading(endpoint("f1"), reading(5_000.0), at(1_000));
    assert_eq!(load.used(&endpoint("f1"), at(1_100)), 5_000.0);
    let second = load.reserve(&route(), 50);
    assert_eq!(load.used(&endpoint("f1"), at(1_100)), 5_500.0);
    load.release(first);
    load.release(second);
    assert_eq!(load.used(&endpoint("f1"), at(1_200)), 4_000.0);
}

/// Under a rush of streams their prompts wait, and endpoints report only what has been read.
#[test]
fn prompts_that_wait_to_be_read_count_though_they_are_not_reported() {
    let mut load = EngineLoad::default();
    let _tickets: Vec<_> = (0..10).map(|_| load.reserve(&route(), 100)).collect();
    load.record_reading(endpoint("f1"), reading(2_000.0), at(0));
    assert_eq!(load.used(&endpoint("f1"), at(100)), 10_000.0);
}

/// Under a load that ebbs, an endpoint that was full a second ago has room again.
#[test]
fn memory_that_streams_gave_back_since_a_reading_is_free() {
    let mut load = EngineLoad::default();
    let tickets: Vec<_> = (0..10).map(|_| load.reserve(&route(), 100)).collect();
    load.record_reading(endpoint("f1"), reading(10_000.0), at(0));
    tickets.into_iter().for_each(|ticket| load.release(ticket));
    assert_eq!(load.used(&endpoint("f1"), at(1_000)), 0.0);
}

/// The leaders of three availability zones tell each other what they read, again and again.
#[test]
fn readings_do_not_go_round_between_hosts_and_grow_old_where_they_are() {
    let mut leaders = [EngineLoad::default(), EngineLoad::default(), EngineLoad::default()];
    leaders[0].record_reading(endpoint("f1"), reading(7.0), at(0));
    for millis in (300..30_000).step_by(300) {
        let told: Vec<_> =
            leaders.iter().map(|leader| leader.own_readings(SPAN, at(millis))).collect();
        for (to, leader) in leaders.iter_mut().enumerate() {
            for (from, readings) in told.iter().enumerate() {
                for (endpoint, shared) in readings.iter().filter(|_| from != to) {
                    leader.merge_reading(endpoint.clone(), *shared, at(millis));
                }
            }
        }
    }
    for leader in &leaders {
        assert_eq!(leader.reading(&endpoint("f1"), at(30_000)), None);
    }
}

#[test]
fn an_older_reading_does_not_replace_a_newer_one() {
    let (mut reader, mut host) = (EngineLoad::default(), EngineLoad::default());
    reader.record_reading(endpoint("f1"), reading(1.0), at(0));
    let old = reader.own_readings(SPAN, at(400));
    reader.record_reading(endpoint("f1"), reading(2.0), at(500));
    let new = reader.own_readings(SPAN, at(500));
    for readings in [&new, &old, &BTreeMap::new()] {
        for (endpoint, shared) in readings {
            host.merge_reading(endpoint.clone(), *shared, at(520));
        }
    }
    assert_eq!(host.reading(&endpoint("f1"), at(520)), Some(reading(2.0)));
}

#[test]
fn bookings_of_a_zone_that_is_not_heard_any_more_count_for_nothing() {
    let mut load = EngineLoad::default();
    let mut other = EngineLoad::default();
    let _ticket = other.reserve(&route(), 100);
    let zone: ZoneId = "b".parse().expect("a valid name");
    load.record_zone_usage(zone, other.own().clone(), at(0));
    assert_eq!(load.used(&endpoint("f1"), at(1_000)), 1_000.0);
    assert_eq!(load.used(&endpoint("f1"), at(5_000)), 0.0);
}

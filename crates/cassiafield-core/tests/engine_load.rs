//! Estimates of the memory in use at model endpoints, while streams start and end and readings are
//! exchanged between availability zones.

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

const READING_SPAN: Duration = Duration::from_millis(600);

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn reading(used: f64) -> EngineReading {
    EngineReading { slowdown: 1.0, used, total: 1e6 }
}

fn route() -> StageRoute {
    let model: ModelId = "m".parse().expect("a valid name");
    let stage =
        RouteStage { endpoint: endpoint("f1"), address: "127.0.0.1:1".into(), span: span(0, 10) };
    StageRoute::try_from(RouteDraft { model, layers: 10, stages: vec![stage] }).expect("a route")
}

#[test]
fn without_a_reading_the_reserved_memory_counts() {
    let mut load = EngineLoad::default();
    let reservation = load.reserve(&route(), 100);
    assert_eq!(load.memory_used(&endpoint("f1"), at(0)), 1_000.0);
    load.release(reservation);
    assert_eq!(load.memory_used(&endpoint("f1"), at(0)), 0.0);
}

/// Guards against readings that make all sums and comparisons with them meaningless.
#[test]
fn values_out_of_range_count_as_the_nearest_one_in_range() {
    let mut load = EngineLoad::default();
    let absurd = EngineReading { slowdown: f64::INFINITY, used: f64::NAN, total: -1.0 };
    load.record_reading(endpoint("f1"), absurd, at(0));
    let found = load.reading(&endpoint("f1"), at(10)).expect("a reading");
    assert_eq!((found.slowdown, found.used, found.total), (1e3, 0.0, 0.0));
    assert_eq!(load.memory_used(&endpoint("f1"), at(10)), 0.0);
}

/// The streams of a host that has disappeared continue at the endpoint without a reservation.
#[test]
fn a_reading_includes_unreserved_usage_and_later_reservations_are_added() {
    let mut load = EngineLoad::default();
    let first = load.reserve(&route(), 100);
    load.record_reading(endpoint("f1"), reading(5_000.0), at(1_000));
    assert_eq!(load.memory_used(&endpoint("f1"), at(1_100)), 5_000.0);
    let second = load.reserve(&route(), 50);
    assert_eq!(load.memory_used(&endpoint("f1"), at(1_100)), 5_500.0);
    load.release(first);
    load.release(second);
    assert_eq!(load.memory_used(&endpoint("f1"), at(1_200)), 4_000.0);
}

/// During a burst of streams their prompts are queued, and endpoints report only the memory of
/// prompts that have been processed.
#[test]
fn queued_prompts_count_although_they_are_not_reported() {
    let mut load = EngineLoad::default();
    let _reservations: Vec<_> = (0..10).map(|_| load.reserve(&route(), 100)).collect();
    load.record_reading(endpoint("f1"), reading(2_000.0), at(0));
    assert_eq!(load.memory_used(&endpoint("f1"), at(100)), 10_000.0);
}

/// When the load decreases, an endpoint that was full a second ago has free memory again.
#[test]
fn memory_released_since_a_reading_is_free() {
    let mut load = EngineLoad::default();
    let reservations: Vec<_> = (0..10).map(|_| load.reserve(&route(), 100)).collect();
    load.record_reading(endpoint("f1"), reading(10_000.0), at(0));
    reservations.into_iter().for_each(|reservation| load.release(reservation));
    assert_eq!(load.memory_used(&endpoint("f1"), at(1_000)), 0.0);
}

/// The leaders of three availability zones repeatedly exchange their readings.
#[test]
fn readings_do_not_circulate_between_hosts_and_expire() {
    let mut leaders = [EngineLoad::default(), EngineLoad::default(), EngineLoad::default()];
    leaders[0].record_reading(endpoint("f1"), reading(7.0), at(0));
    for millis in (300..30_000).step_by(300) {
        let shared: Vec<_> =
            leaders.iter().map(|leader| leader.own_readings(READING_SPAN, at(millis))).collect();
        for (to, leader) in leaders.iter_mut().enumerate() {
            for (from, readings) in shared.iter().enumerate() {
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
    let old = reader.own_readings(READING_SPAN, at(400));
    reader.record_reading(endpoint("f1"), reading(2.0), at(500));
    let new = reader.own_readings(READING_SPAN, at(500));
    for readings in [&new, &old, &BTreeMap::new()] {
        for (endpoint, shared) in readings {
            host.merge_reading(endpoint.clone(), *shared, at(520));
        }
    }
    assert_eq!(host.reading(&endpoint("f1"), at(520)), Some(reading(2.0)));
}

#[test]
fn usage_of_a_zone_that_no_longer_reports_is_ignored() {
    let mut load = EngineLoad::default();
    let mut other_host = EngineLoad::default();
    let _reservation = other_host.reserve(&route(), 100);
    let zone: ZoneId = "b".parse().expect("a valid name");
    load.record_zone_usage(zone, other_host.own_usage().clone(), at(0));
    assert_eq!(load.memory_used(&endpoint("f1"), at(1_000)), 1_000.0);
    assert_eq!(load.memory_used(&endpoint("f1"), at(5_000)), 0.0);
}

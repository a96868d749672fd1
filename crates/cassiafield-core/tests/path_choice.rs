//! Paths under the conditions after the loss of an endpoint: some endpoints are full, slow or suspect,
//! and some layers are only available in other zones.

mod engine_support;

use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment},
        process::{
            EndpointDirectory, EngineLoad, EngineReading, EngineUsage, OrganisationLoad, PathError,
            PathPlanner, PathRequest, PlannedPath,
        },
    },
    engine_support::{directory, endpoint, engine, entry, service, span, zone},
    proptest::prelude::*,
    std::collections::BTreeMap,
};

const NOW: Moment = Moment::from_millis(100_000);

fn plan(directory: &EndpointDirectory, load: &EngineLoad) -> Result<PlannedPath, PathError> {
    plan_from(directory, load, None)
}

fn plan_from(
    directory: &EndpointDirectory,
    load: &EngineLoad,
    firsts: Option<&[EndpointId]>,
) -> Result<PlannedPath, PathError> {
    let model: ModelId = "m".parse().expect("a valid name");
    let engine = engine();
    let planner = PathPlanner { directory, load, engine: &engine, now: NOW };
    planner.plan(&PathRequest {
        model: &model,
        service: &service(),
        zone: &zone("a"),
        prompt_tokens: 800,
        output_tokens: 200,
        excluded: &[],
        allowed_firsts: firsts,
        memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
        foreign_memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
    })
}

fn names(path: &PlannedPath) -> Vec<String> {
    let stages = path.route.stages().iter();
    stages.map(|stage| format!("{}={}", stage.endpoint, stage.span)).collect()
}

fn reading(used: f64, slowdown: f64) -> EngineReading {
    EngineReading { slowdown, used, total: 1e9 }
}

#[test]
fn the_fast_replica_is_used_while_it_has_memory() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
        entry("s1", "slow", "a", Some(span(0, 10))),
    ]);
    let path = plan(&directory, &EngineLoad::default()).expect("a path");
    assert_eq!(names(&path), ["f1=0..40", "f2=40..80"]);
}

#[test]
fn a_full_endpoint_is_bypassed_through_parts_of_other_ranges() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 30))),
        entry("f2", "fast", "a", Some(span(30, 60))),
        entry("f3", "fast", "a", Some(span(60, 80))),
        entry("m1", "middle", "a", Some(span(0, 18))),
        entry("m2", "middle", "a", Some(span(14, 32))),
    ]);
    let mut load = EngineLoad::default();
    load.record_reading(endpoint("f1"), reading(1e9, 1.0), NOW);
    let path = plan(&directory, &load).expect("a path");
    assert_eq!(names(&path).last().map(String::as_str), Some("f3=60..80"));
    assert!(!path.route.visits(&endpoint("f1")));
}

#[test]
fn usage_of_another_zone_counts() {
    let directory = directory(vec![entry("f1", "fast", "a", Some(span(0, 80)))]);
    let mut load = EngineLoad::default();
    let used = EngineUsage { streams: 90, firsts: 0, token_layers: 1e9 };
    load.record_zone_usage(zone("b"), BTreeMap::from([(endpoint("f1"), used)]), NOW);
    assert_eq!(
        plan(&directory, &load).map(|path| names(&path)),
        Err(PathError::NoMemory { layer: 0 })
    );
}

#[test]
fn a_first_endpoint_without_slots_is_bypassed_although_it_has_memory() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 25))),
        entry("f2", "fast", "a", Some(span(10, 40))),
        entry("f3", "fast", "a", Some(span(40, 70))),
        entry("f4", "fast", "a", Some(span(60, 80))),
        entry("m1", "middle", "a", Some(span(0, 13))),
    ]);
    let mut load = EngineLoad::default();
    let used = EngineUsage { streams: 192, firsts: 192, token_layers: 0.0 };
    load.record_peer_usage(
        "h".parse().expect("a name"),
        BTreeMap::from([(endpoint("f1"), used)]),
        NOW,
    );
    let path = plan(&directory, &load).expect("a path");
    assert_eq!(names(&path).first().map(String::as_str), Some("m1=0..10"));
}

#[test]
fn a_path_starts_only_at_an_allowed_first_endpoint() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
        entry("m1", "middle", "a", Some(span(0, 20))),
    ]);
    let firsts = [endpoint("m1")];
    let load = EngineLoad::default();
    let path = plan_from(&directory, &load, Some(&firsts)).expect("a path");
    assert_eq!(names(&path).first().map(String::as_str), Some("m1=0..20"));
    let others = [endpoint("f2")];
    assert_eq!(plan_from(&directory, &load, Some(&others)).err(), Some(PathError::NoCover));
}

#[test]
fn an_endpoint_that_refused_for_lack_of_memory_is_bypassed_briefly() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
        entry("g2", "fast", "b", Some(span(40, 80))),
    ]);
    let mut load = EngineLoad::default();
    load.mark_full(endpoint("f2"), NOW);
    let path = plan(&directory, &load).expect("a path");
    assert_eq!(names(&path), ["f1=0..40", "g2=40..80"]);
}

#[test]
fn old_usage_of_a_peer_is_ignored() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
    ]);
    let mut load = EngineLoad::default();
    let used = EngineUsage { streams: 90, firsts: 0, token_layers: 1e9 };
    let old = Moment::from_millis(97_000);
    load.record_peer_usage(
        "h".parse().expect("a name"),
        BTreeMap::from([(endpoint("f1"), used)]),
        old,
    );
    assert!(plan(&directory, &load).is_ok());
}

#[test]
fn lack_of_memory_is_distinguished_from_missing_layers() {
    let complete = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
    ]);
    let mut load = EngineLoad::default();
    for name in ["f1", "f2"] {
        load.record_reading(endpoint(name), reading(1e9, 1.0), NOW);
    }
    assert_eq!(
        plan(&complete, &load).map(|path| names(&path)),
        Err(PathError::NoMemory { layer: 0 })
    );
    let incomplete = directory(vec![entry("f1", "fast", "a", Some(span(0, 40)))]);
    assert_eq!(plan(&incomplete, &load).map(|path| names(&path)), Err(PathError::NoCover));
}

#[test]
fn an_endpoint_that_reports_to_be_slow_is_bypassed() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
        entry("m1", "middle", "a", Some(span(0, 20))),
        entry("m2", "middle", "a", Some(span(20, 40))),
    ]);
    let mut load = EngineLoad::default();
    load.record_reading(endpoint("f1"), reading(0.0, 12.0), NOW);
    let path = plan(&directory, &load).expect("a path");
    assert_eq!(names(&path), ["m1=0..20", "m2=20..40", "f2=40..80"]);
}

#[test]
fn a_suspect_endpoint_is_bypassed_unless_no_other_holds_its_layers() {
    let mut directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
        entry("g1", "fast", "b", Some(span(0, 40))),
    ]);
    directory.record_failure(&endpoint("f1"), NOW);
    let path = plan(&directory, &EngineLoad::default()).expect("a path");
    assert_eq!(names(&path), ["g1=0..40", "f2=40..80"]);
    directory.record_failure(&endpoint("g1"), NOW);
    assert!(plan(&directory, &EngineLoad::default()).is_ok());
}

#[test]
fn the_local_zone_is_preferred() {
    let directory = directory(vec![
        entry("m1", "middle", "a", Some(span(0, 20))),
        entry("m2", "middle", "a", Some(span(20, 40))),
        entry("m3", "middle", "a", Some(span(40, 60))),
        entry("m4", "middle", "a", Some(span(60, 80))),
        entry("g1", "fast", "b", Some(span(0, 40))),
        entry("g2", "fast", "b", Some(span(40, 80))),
    ]);
    let path = plan(&directory, &EngineLoad::default()).expect("a path");
    assert_eq!(names(&path), ["m1=0..20", "m2=20..40", "m3=40..60", "m4=60..80"]);
}

proptest! {
    /// For any overlapping ranges, a planned path runs every layer once, in order, and visits no
    /// endpoint twice.
    #[test]
    fn paths_over_any_ranges_are_valid_routes(
        ranges in prop::collection::vec((0_u16..79, 1_u16..40, 0_usize..3), 1..14),
        full in prop::collection::vec(any::<bool>(), 14),
    ) {
        let kinds = ["fast", "middle", "slow"];
        let mut load = EngineLoad::default();
        let mut entries = Vec::new();
        for (index, (start, length, kind)) in ranges.iter().enumerate() {
            let name = format!("e{index}");
            let held = span(*start, (start + length).min(80));
            entries.push(entry(&name, kinds[*kind], "a", Some(held)));
            if full[index] {
                load.record_reading(endpoint(&name), reading(1e9, 1.0), NOW);
            }
        }
        let directory = directory(entries.clone());
        if let Ok(path) = plan(&directory, &load) {
            let mut visited = std::collections::BTreeSet::new();
            let mut next = 0;
            for stage in path.route.stages() {
                prop_assert_eq!(stage.span.start(), next);
                next = stage.span.end();
                prop_assert!(visited.insert(stage.endpoint.clone()));
                let held = entries.iter().find(|entry| entry.endpoint == stage.endpoint);
                let held = held.and_then(|entry| entry.span).expect("a holder");
                prop_assert!(held.start() <= stage.span.start());
                prop_assert!(stage.span.end() <= held.end());
            }
            prop_assert_eq!(next, 80);
        }
    }
}

/// A fast endpoint holds the middle of the range of a slow one, so that the cheapest walk through the
/// layers would visit the slow one twice.
#[test]
fn an_endpoint_is_not_visited_twice_around_a_faster_one() {
    let directory = directory(vec![
        entry("s1", "slow", "a", Some(span(0, 11))),
        entry("f1", "fast", "a", Some(span(4, 8))),
        entry("f2", "fast", "a", Some(span(11, 46))),
        entry("f3", "fast", "a", Some(span(46, 80))),
    ]);
    let path = plan(&directory, &EngineLoad::default()).expect("a path");
    assert_eq!(names(&path), ["s1=0..11", "f2=11..46", "f3=46..80"]);
}

/// Under memory pressure an endpoint has capacity only for the end of its range, and the cheapest
/// partial path to that point has already used it.
#[test]
fn an_endpoint_with_memory_for_its_last_layers_is_found() {
    let directory = directory(vec![
        entry("s1", "slow", "a", Some(span(0, 10))),
        entry("f1", "fast", "a", Some(span(5, 14))),
        entry("f2", "fast", "a", Some(span(14, 44))),
        entry("f3", "fast", "a", Some(span(44, 80))),
    ]);
    let mut load = EngineLoad::default();
    let profile = engine_support::profile("fast");
    let capacity = engine().token_layer_capacity(&profile, 9);
    load.record_reading(endpoint("f1"), reading(capacity * 0.97 - 1_000.0 * 6.0, 1.0), NOW);
    let path = plan(&directory, &load).expect("a path");
    assert_eq!(names(&path), ["s1=0..10", "f1=10..14", "f2=14..44", "f3=44..80"]);
}

//! Endpoints and links that are slower than planned, and streams that share them.

mod engine_support;

use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment},
        pace::{ExposedStage, ExposureCost, PaceModel, PacedStream, PathPart, PlannedPart},
        process::{
            EndpointDirectory, EngineLoad, EngineReading, OrganisationLoad, PathPlanner,
            PathRequest, PlannedPath, ZonePair,
        },
    },
    engine_support::{directory, endpoint, engine, entry, service, span, zone},
    std::{collections::BTreeSet, time::Duration},
};

const NOW: Moment = Moment::from_millis(100_000);
const OBJECTIVE: Duration = Duration::from_millis(250);

fn plan(directory: &EndpointDirectory, load: &EngineLoad, excluded: &[EndpointId]) -> PlannedPath {
    plan_preferring(directory, load, excluded, &BTreeSet::new())
}

fn plan_preferring(
    directory: &EndpointDirectory,
    load: &EngineLoad,
    excluded: &[EndpointId],
    connected: &BTreeSet<EndpointId>,
) -> PlannedPath {
    let (model, engine): (ModelId, _) = ("m".parse().expect("a name"), engine());
    let planner = PathPlanner { directory, load, engine: &engine, now: NOW };
    let request = PathRequest {
        model: &model,
        service: &service(),
        zone: &zone("a"),
        prompt_tokens: 800,
        output_tokens: 200,
        excluded,
        allowed_firsts: None,
        memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
        foreign_memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
    };
    planner.plan_preferring(&request, connected).expect("a path")
}

fn parts(names: &[&str], gap_ms: f64) -> Vec<PlannedPart> {
    let part = |name: &&str| PathPart::Endpoint(endpoint(name));
    names.iter().map(|name| PlannedPart { part: part(name), gap_ms, joined_ms: 1.0 }).collect()
}

/// Lets streams over the given parts run for two seconds, each event late by its slow parts.
fn run(model: &mut PaceModel, paths: &[Vec<PlannedPart>], slowdown: impl Fn(&PathPart) -> f64) {
    let streams: Vec<PacedStream> =
        paths.iter().map(|path| model.begin(path.clone(), OBJECTIVE)).collect();
    for step in 0..40_u32 {
        let now = NOW.earlier_by(Duration::from_millis(u64::from(40 - step) * 50));
        for (stream, path) in streams.iter().zip(paths) {
            let gap_ms: f64 = path.iter().map(|part| part.gap_ms * slowdown(&part.part)).sum();
            model.record_gap(*stream, Duration::from_secs_f64(gap_ms / 1e3), now);
        }
    }
}

fn replicas() -> EndpointDirectory {
    directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("g1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 80))),
        entry("g2", "fast", "a", Some(span(40, 80))),
    ])
}

fn visits(path: &PlannedPath, name: &str) -> bool {
    path.route.visits(&endpoint(name))
}

#[test]
fn a_slow_third_is_found_where_late_streams_meet() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let slow = [endpoint("a"), endpoint("b"), endpoint("c")];
    let mut random = fastrand::Rng::with_seed(3);
    let paths: Vec<Vec<PlannedPart>> = (0..12)
        .map(|_| {
            let mut chosen = names;
            random.shuffle(&mut chosen);
            parts(&chosen[..4], 10.0)
        })
        .collect();
    let mut model = PaceModel::default();
    let is_slow = |part: &PathPart| matches!(part, PathPart::Endpoint(one) if slow.contains(one));
    run(&mut model, &paths, |part| if is_slow(part) { 5.0 } else { 1.0 });
    let found: Vec<&PathPart> = model.slow_parts(NOW).map(|(part, _)| part).collect();
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found.into_iter().all(is_slow));
}

#[test]
fn new_streams_leave_an_endpoint_that_turns_slow_before_it_says_so() {
    let directory = replicas();
    let mut load = EngineLoad::default();
    let at = NOW.earlier_by(Duration::from_secs(1));
    for name in ["f1", "g1", "f2", "g2"] {
        let reading = EngineReading { slowdown: 1.0, used: 0.0, total: 1e9 };
        load.record_reading(endpoint(name), reading, at);
    }
    assert!(visits(&plan(&directory, &load, &[]), "f1"));
    let paths = [
        parts(&["f1", "f2"], 10.0),
        parts(&["f1", "g2"], 10.0),
        parts(&["g1", "f2"], 10.0),
        parts(&["g1", "g2"], 10.0),
    ];
    let slow = PathPart::Endpoint(endpoint("f1"));
    run(&mut load.pace, &paths, |part| if *part == slow { 6.0 } else { 1.0 });
    let path = plan(&directory, &load, &[]);
    let slow: Vec<_> = load.pace.slow_parts(NOW).collect();
    assert!(visits(&path, "g1") && visits(&path, "f2"), "{path:?}, {slow:?}");
}

#[test]
fn new_streams_leave_a_link_that_turns_slow() {
    let directory = directory(vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "b", Some(span(40, 80))),
        entry("s2", "middle", "a", Some(span(40, 60))),
        entry("s3", "middle", "a", Some(span(60, 80))),
    ]);
    let mut load = EngineLoad::default();
    load.record_reading(
        endpoint("s3"),
        EngineReading { slowdown: 4.0, used: 0.0, total: 1e9 },
        NOW,
    );
    let crossing = plan(&directory, &load, &[]);
    assert!(visits(&crossing, "f2"));
    let link = PathPart::Link(ZonePair::new(&zone("a"), &zone("b")));
    let planned = crossing.parts.iter().find(|part| part.part == link).expect("a link").clone();
    let paths = [
        vec![planned.clone(), parts(&["f1"], 5.0).remove(0)],
        vec![planned, parts(&["f2"], 5.0).remove(0)],
        parts(&["f1"], 5.0),
        parts(&["f2"], 5.0),
    ];
    run(&mut load.pace, &paths, |part| if *part == link { 40.0 } else { 1.0 });
    assert!(!visits(&plan(&directory, &load, &[]), "f2"));
}

#[test]
fn an_endpoint_where_a_stream_is_near_its_objective_is_left_for_new_ones() {
    let mut model = PaceModel::default();
    let mut near = parts(&["a", "b"], 124.0);
    near[0].joined_ms = 3.0;
    let mut late = parts(&["c"], 300.0);
    late[0].joined_ms = 30.0;
    run(&mut model, &[near, late, parts(&["a", "d"], 20.0)], |_| 1.0);
    let limited: Vec<EndpointId> = model.endpoints_at_limit(NOW).into_iter().collect();
    // A stream that is late already loses nothing more.
    assert_eq!(limited, [endpoint("a")]);
}

#[test]
fn streams_on_time_change_no_choice() {
    let directory = replicas();
    let mut load = EngineLoad::default();
    let before = plan(&directory, &load, &[]);
    let paths = [parts(&["f1", "f2"], 10.0), parts(&["g1", "g2"], 10.0)];
    run(&mut load.pace, &paths, |_| 1.3);
    assert_eq!(load.pace.slow_parts(NOW).count(), 0);
    let after = plan(&directory, &load, &[]);
    assert_eq!(after.route, before.route);
    assert!(load.pace.endpoints_at_limit(NOW).is_empty());
}

#[test]
fn a_profile_that_promises_too_much_marks_no_part() {
    let mut model = PaceModel::default();
    let paths = [parts(&["a", "b"], 10.0), parts(&["a", "c"], 10.0), parts(&["d", "c"], 10.0)];
    run(
        &mut model,
        &paths,
        |part| if *part == PathPart::Endpoint(endpoint("b")) { 2.4 } else { 2.0 },
    );
    assert_eq!(model.slow_parts(NOW).count(), 0);
}

#[test]
fn an_estimate_fades_and_an_ended_stream_counts_no_more() {
    let mut model = PaceModel::default();
    let slow = PathPart::Endpoint(endpoint("a"));
    let paths = [parts(&["a", "b"], 10.0), parts(&["a", "c"], 10.0), parts(&["b", "c"], 10.0)];
    run(&mut model, &paths, |part| if *part == slow { 5.0 } else { 1.0 });
    assert!(model.slowdown(&slow, NOW).is_some_and(|(factor, _)| factor > 2.5));
    let later = NOW + Duration::from_secs(7);
    assert_eq!(model.slowdown(&slow, later).map(|(factor, _)| factor), Some(1.0));
    assert_eq!(model.slowdown(&slow, NOW + Duration::from_secs(9)), None);
}

#[test]
fn a_path_from_a_connected_endpoint_is_preferred_only_at_about_equal_cost() {
    let directory = replicas();
    let mut load = EngineLoad::default();
    let connected = BTreeSet::from([endpoint("g1")]);
    assert!(visits(&plan(&directory, &load, &[]), "f1"));
    assert!(visits(&plan_preferring(&directory, &load, &[], &connected), "g1"));
    load.record_reading(
        endpoint("g1"),
        EngineReading { slowdown: 1.2, used: 0.0, total: 1e9 },
        NOW,
    );
    assert!(visits(&plan_preferring(&directory, &load, &[], &connected), "f1"));
}

#[test]
fn a_group_that_ends_at_once_makes_later_streams_spread_and_use_fewer_stages() {
    let stage = |streams| ExposedStage { streams, prompt_ms: 20.0, endpoints: 86 };
    let mut exposure = ExposureCost::default();
    assert!(exposure.loss_per_second(stage(100), NOW) == 0.0);
    for number in 0..8 {
        exposure.record_end(&endpoint(&format!("e{number}")), NOW);
    }
    let few = exposure.loss_per_second(stage(5), NOW);
    let many = exposure.loss_per_second(stage(100), NOW);
    assert!(few > 0.0 && many > 3.0 * few);
    // Far below the time of any path: late paths are not taken for it.
    assert!(many < 100.0);
    assert!(exposure.loss_per_second(stage(100), NOW + Duration::from_secs(11)) == 0.0);
}

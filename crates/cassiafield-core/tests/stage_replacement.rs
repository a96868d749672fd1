//! Streams whose path loses endpoints: when that is acted on, and what replaces the lost stages.

mod engine_support;

use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment},
        process::{
            EndpointDirectory, EngineLoad, EngineReading, OrganisationLoad, PathPlanner,
            PathRequest,
        },
        recovery::{
            OrderFence, ReadBacklog, RecoverySchedule, ReplacementError, ReplacementPlan,
            ReplacementRequest, StageReplacement,
        },
        request::{RouteDraft, RouteStage, StageRoute, StreamTimeouts},
    },
    engine_support::{directory, endpoint, engine, entry, service, span, zone},
    proptest::prelude::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const NOW: Moment = Moment::from_millis(100_000);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const TIMEOUTS: StreamTimeouts =
    StreamTimeouts { latency_objective: ms(500), event_gap_objective: Some(ms(250)) };

/// Time from a probe to the verdict on a silent endpoint, by the former rule.
const FORMER_PROBE_TIMEOUT: Duration = ms(150);

fn route(stages: &[(&str, u16, u16)]) -> StageRoute {
    let model: ModelId = "m".parse().expect("a valid name");
    let stage = |(name, start, end): &(&str, u16, u16)| RouteStage {
        endpoint: endpoint(name),
        address: format!("{name}:1").into(),
        span: span(*start, *end),
    };
    let stages = stages.iter().map(stage).collect();
    StageRoute::try_from(RouteDraft { model, layers: 80, stages }).expect("a route")
}

struct Loss<'a> {
    directory: &'a EndpointDirectory,
    load: &'a EngineLoad,
    route: &'a StageRoute,
    failed: Vec<EndpointId>,
    backlog: BTreeMap<EndpointId, Duration>,
    hosts: usize,
    seed: u64,
}

impl Loss<'_> {
    fn plan(&self) -> Result<ReplacementPlan, ReplacementError> {
        let model: ModelId = "m".parse().expect("a valid name");
        let engine = engine();
        let (directory, load) = (self.directory, self.load);
        let planner = PathPlanner { directory, load, engine: &engine, now: NOW };
        let request = PathRequest {
            model: &model,
            service: &service(),
            zone: &zone("a"),
            prompt_tokens: 900,
            output_tokens: 150,
            excluded: &[],
            allowed_firsts: None,
            memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
            foreign_memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
        };
        StageReplacement { planner }.plan(&ReplacementRequest {
            route: self.route,
            failed: &self.failed,
            request,
            time_left: ms(120),
            backlog: &self.backlog,
            hosts: self.hosts,
            seed: self.seed,
        })
    }
}

fn names(route: &StageRoute) -> Vec<String> {
    let stages = route.stages().iter();
    stages.map(|stage| format!("{}={}", stage.endpoint, stage.span)).collect()
}

fn zone_of_slow_endpoints() -> EndpointDirectory {
    directory(vec![
        entry("f1", "fast", "a", Some(span(0, 30))),
        entry("f2", "fast", "a", Some(span(30, 60))),
        entry("f3", "fast", "a", Some(span(60, 80))),
        entry("m1", "middle", "a", Some(span(28, 48))),
        entry("m2", "middle", "a", Some(span(48, 66))),
        entry("s1", "middle", "a", Some(span(30, 48))),
        entry("x1", "fast", "b", Some(span(20, 60))),
    ])
}

/// Guards against reading a prompt again at all endpoints of a path because one of them is lost.
#[test]
fn a_silent_middle_endpoint_is_replaced_and_all_other_stages_are_kept() {
    let (directory, load) = (zone_of_slow_endpoints(), EngineLoad::default());
    let route = route(&[("f1", 0, 30), ("f2", 30, 60), ("f3", 60, 80)]);
    let failed = vec![endpoint("f2")];
    let loss = Loss {
        directory: &directory,
        load: &load,
        route: &route,
        failed,
        backlog: BTreeMap::new(),
        hosts: 1,
        seed: 1,
    };
    let plan = loss.plan().expect("a replacement");
    let names = names(&plan.route);
    assert_eq!((names[0].as_str(), names[names.len() - 1].as_str()), ("f1=0..30", "f3=60..80"));
    assert!(!plan.route.visits(&endpoint("f2")));
    let new: BTreeSet<&EndpointId> = plan.reads.iter().map(|(endpoint, _)| endpoint).collect();
    let kept = [endpoint("f1"), endpoint("f3")];
    assert!(kept.iter().all(|kept| !new.contains(kept)), "{new:?}");
}

/// Guards against an order that no endpoint can carry out: only the first endpoint takes it.
#[test]
fn a_first_endpoint_that_ends_is_not_replaced_by_an_order() {
    let (directory, load) = (zone_of_slow_endpoints(), EngineLoad::default());
    let route = route(&[("f1", 0, 30), ("f2", 30, 60), ("f3", 60, 80)]);
    for failed in [vec![endpoint("f1")], vec![endpoint("f1"), endpoint("f2")], vec![]] {
        let backlog = BTreeMap::new();
        let (directory, load, route) = (&directory, &load, &route);
        let loss = Loss { directory, load, route, failed, backlog, hosts: 1, seed: 1 };
        assert_eq!(
            loss.plan().map(|plan| names(&plan.route)),
            Err(ReplacementError::FirstEndpoint)
        );
    }
}

/// Guards against a replacement without room, which the endpoint would refuse after a turn of the network.
#[test]
fn a_group_of_fast_endpoints_that_ends_at_once_is_replaced_where_there_is_room() {
    let mut entries = vec![entry("f0", "fast", "a", Some(span(0, 20)))];
    for (index, start) in [20_u16, 40, 60].into_iter().enumerate() {
        entries.push(entry(&format!("f{}", index + 1), "fast", "a", Some(span(start, start + 20))));
        for copy in 0..2 {
            let name = format!("m{index}{copy}");
            entries.push(entry(&name, "middle", "a", Some(span(start, start + 20))));
        }
    }
    let directory = directory(entries);
    let mut load = EngineLoad::default();
    for index in 0..3 {
        let full = EngineReading { slowdown: 1.0, used: 1e12, total: 1e12 };
        load.record_reading(endpoint(&format!("m{index}0")), full, NOW);
    }
    let route = route(&[("f0", 0, 20), ("f1", 20, 40), ("f2", 40, 60), ("f3", 60, 80)]);
    let failed = vec![endpoint("f1"), endpoint("f2"), endpoint("f3")];
    let backlog = BTreeMap::new();
    let (directory, load, route) = (&directory, &load, &route);
    let loss = Loss { directory, load, route, failed, backlog, hosts: 1, seed: 1 };
    let plan = loss.plan().expect("a replacement");
    assert_eq!(names(&plan.route), ["f0=0..20", "m01=20..40", "m11=40..60", "m21=60..80"]);
}

/// Guards against a wave: many hosts that lose the same endpoint at the same moment send all streams to the one
/// cheapest replacement, as the former rule did, and all are late.
#[test]
fn a_storm_of_breaks_at_many_hosts_is_spread_over_endpoints() {
    const HOSTS: u64 = 12;
    const STREAMS: usize = 8;
    const ALTERNATIVES: usize = 4;
    let mut entries = vec![
        entry("f1", "fast", "a", Some(span(0, 40))),
        entry("f2", "fast", "a", Some(span(40, 60))),
        entry("f3", "fast", "a", Some(span(60, 80))),
    ];
    for index in 0..ALTERNATIVES {
        entries.push(entry(&format!("m{index}"), "middle", "a", Some(span(60, 80))));
    }
    let directory = directory(entries);
    let load = EngineLoad::default();
    let route = route(&[("f1", 0, 40), ("f2", 40, 60), ("f3", 60, 80)]);
    let most_at_one = |hosts: usize| {
        let mut counts: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for host in 0..HOSTS {
            let mut backlog = ReadBacklog::default();
            for stream in 0..STREAMS {
                let loss = Loss {
                    directory: &directory,
                    load: &load,
                    route: &route,
                    failed: vec![endpoint("f3")],
                    backlog: if hosts > 1 { backlog.waits(NOW) } else { BTreeMap::new() },
                    hosts,
                    seed: host * 100 + stream as u64,
                };
                let plan = loss.plan().expect("a replacement");
                backlog.record(&plan.reads, NOW);
                for (endpoint, _) in plan.reads {
                    *counts.entry(endpoint).or_default() += 1;
                }
            }
        }
        counts.values().copied().max().unwrap_or_default()
    };
    let all = usize::try_from(HOSTS).expect("a small number") * STREAMS;
    assert_eq!(most_at_one(1), all, "the rule without knowledge of other hosts");
    let most = most_at_one(12);
    assert!(most <= all * 2 / ALTERNATIVES, "{most} of {all} at one endpoint");
}

/// Guards against verdicts that come after the objective: the former rule found a silent endpoint 250 ms after the
/// last event or later.
#[test]
fn a_silent_endpoint_is_suspect_early_enough_for_the_objective() {
    for gap_ms in [15, 30, 42, 60, 80] {
        let schedule = RecoverySchedule::of(&TIMEOUTS, ms(gap_ms), ms(5)).expect("an objective");
        let suspect_at = schedule.probe_after() + RecoverySchedule::SUSPECT_AFTER;
        assert!(suspect_at <= schedule.act_by(), "gap {gap_ms} ms: {suspect_at:?}");
        assert!(suspect_at + schedule.restart < ms(250), "gap {gap_ms} ms");
        let former = TIMEOUTS.stall_probe_delay(ms(gap_ms)) + FORMER_PROBE_TIMEOUT;
        assert!(former + schedule.restart > ms(250), "gap {gap_ms} ms: {former:?}");
    }
}

/// Guards against leaving a path whose events are slow by nature.
#[test]
fn a_slow_path_is_not_in_doubt_before_its_usual_gap() {
    for gap_ms in [100, 200, 300, 900] {
        let schedule = RecoverySchedule::of(&TIMEOUTS, ms(gap_ms), ms(20)).expect("an objective");
        assert!(schedule.verdict_after() >= ms(gap_ms) * 5 / 4, "gap {gap_ms} ms");
        assert!(schedule.probe_after() >= schedule.verdict_after(), "gap {gap_ms} ms");
    }
}

#[test]
fn a_route_without_a_gap_objective_has_no_schedule() {
    let timeouts = StreamTimeouts { event_gap_objective: None, ..TIMEOUTS };
    assert_eq!(RecoverySchedule::of(&timeouts, ms(40), ms(5)), None);
}

/// Guards against two orders of one stream that are carried out in the wrong order.
#[test]
fn no_order_follows_one_without_an_answer_and_few_follow_others() {
    let mut fence = OrderFence::default();
    fence.record_order();
    assert!(!fence.may_order(), "while one is under way");
    fence.record_no_answer();
    assert!(!fence.may_order());
    let mut fence = OrderFence::default();
    let mut orders = 0;
    while fence.may_order() {
        fence.record_order();
        fence.record_answer();
        orders += 1;
    }
    assert_eq!(orders, 3);
}

/// Guards against streams that are late in any case delaying those that are not yet.
#[test]
fn streams_that_miss_their_objective_yield_to_those_in_time() {
    let mut backlog = ReadBacklog::default();
    let reads: Vec<(EndpointId, Duration)> = vec![(endpoint("m1"), ms(30))];
    for _ in 0..5 {
        backlog.record(&reads, NOW);
    }
    assert_eq!(backlog.waits(NOW)[&endpoint("m1")], ms(150));
    assert_eq!(backlog.delay([&endpoint("m1")], true, NOW), Duration::ZERO);
    assert_eq!(backlog.delay([&endpoint("m1")], false, NOW), ms(110));
    assert_eq!(backlog.delay([&endpoint("m2")], false, NOW), Duration::ZERO);
    assert!(backlog.waits(NOW + ms(150)).is_empty());
}

proptest! {
    /// Guards against a path that misses a layer, runs one twice or visits an endpoint twice.
    #[test]
    fn every_replacement_runs_each_layer_once_at_different_endpoints(
        spans in prop::collection::vec((0_u16..79, 1_u16..40, 0_usize..3), 1..24),
        failed in prop::collection::vec(1_usize..5, 1..4),
        hosts in 1_usize..40,
        seed: u64,
    ) {
        let kinds = ["fast", "middle", "slow"];
        let stages: Vec<(&str, u16, u16)> =
            vec![("p0", 0, 20), ("p1", 20, 35), ("p2", 35, 50), ("p3", 50, 70), ("p4", 70, 80)];
        let own = stages.iter().map(|(name, start, end)| entry(name, "fast", "a", Some(span(*start, *end))));
        let others = spans.iter().enumerate().map(|(index, (start, length, kind))| {
            let held = span(*start, (start + length).min(80));
            let zone = if index % 5 == 0 { "b" } else { "a" };
            entry(&format!("o{index}"), kinds[*kind], zone, Some(held))
        });
        let directory = directory(own.chain(others).collect());
        let route = route(&stages);
        let load = EngineLoad::default();
        let lost: BTreeSet<EndpointId> =
            failed.iter().map(|index| endpoint(stages[*index].0)).collect();
        let failed: Vec<EndpointId> = lost.iter().cloned().collect();
        let backlog = BTreeMap::new();
        let (directory, load, old) = (&directory, &load, &route);
        let loss = Loss { directory, load, route: old, failed, backlog, hosts, seed };
        if let Ok(plan) = loss.plan() {
            let visited: BTreeSet<&EndpointId> =
                plan.route.stages().iter().map(|stage| &stage.endpoint).collect();
            prop_assert_eq!(visited.len(), plan.route.stages().len());
            prop_assert!(visited.is_disjoint(&lost.iter().collect()));
            prop_assert_eq!(plan.route.stages().first(), route.stages().first());
            for stage in plan.route.stages() {
                let held = directory.entry(&stage.endpoint).and_then(|entry| entry.span);
                let held = held.expect("an endpoint with layers");
                prop_assert!(held.start() <= stage.span.start() && stage.span.end() <= held.end());
            }
            for kept in route.stages().iter().filter(|stage| !lost.contains(&stage.endpoint)) {
                prop_assert!(plan.route.stages().contains(kept));
            }
        }
    }
}

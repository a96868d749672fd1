//! A zone loses some of its endpoints at full load, and its requests go to other zones.

use {
    crate::engine_support::{directory, engine, entry, service, span, zone},
    cassiafield_core::{
        ids::{ModelId, Moment},
        process::{
            EndpointDirectory, EngineLoad, EngineProfile, OrganisationLoad, PathError, PathPlanner,
            PathRequest, PlannedPath, ZonePair,
        },
    },
};

const NOW: Moment = Moment::from_millis(100_000);
const MAX_FRACTION: f64 = OrganisationLoad::MAX_MEMORY_FRACTION;

/// An engine whose links between zones carry four prompts a second.
fn slow_links() -> EngineProfile {
    EngineProfile { zone_bandwidth_mbps: 1_200.0, ..engine() }
}

fn plan(
    directory: &EndpointDirectory,
    load: &EngineLoad,
    foreign_memory_fraction: f64,
) -> Result<PlannedPath, PathError> {
    let model: ModelId = "m".parse().expect("a valid name");
    let engine = slow_links();
    PathPlanner { directory, load, engine: &engine, now: NOW }.plan(&PathRequest {
        model: &model,
        service: &service(),
        zone: &zone("a"),
        prompt_tokens: 800,
        output_tokens: 200,
        excluded: &[],
        allowed_firsts: None,
        memory_fraction: MAX_FRACTION,
        foreign_memory_fraction,
    })
}

fn endpoints(path: &PlannedPath) -> Vec<&str> {
    path.route.stages().iter().map(|stage| stage.endpoint.as_str()).collect()
}

/// Zone `a` has lost the second half of its layers; zone `b` has a slower but complete replica.
fn half_lost() -> EndpointDirectory {
    directory(vec![
        entry("a1", "fast", "a", Some(span(0, 40))),
        entry("b1", "middle", "b", Some(span(0, 20))),
        entry("b2", "middle", "b", Some(span(20, 40))),
        entry("b3", "middle", "b", Some(span(40, 60))),
        entry("b4", "middle", "b", Some(span(60, 80))),
    ])
}

#[test]
fn requests_use_a_whole_replica_of_another_zone_rather_than_a_busy_link() {
    let mut load = EngineLoad::default();
    let pair = ZonePair::new(&zone("a"), &zone("b"));
    load.links.record(pair, slow_links().link_bytes_per_second() * 0.3, NOW);
    let path = plan(&half_lost(), &load, MAX_FRACTION).expect("a path");
    assert_eq!(endpoints(&path), ["b1", "b2", "b3", "b4"]);
    assert!(path.crossings.is_empty());
}

#[test]
fn a_link_that_is_used_up_carries_no_further_prompts() {
    let directory = directory(vec![
        entry("a1", "fast", "a", Some(span(0, 40))),
        entry("b1", "fast", "b", Some(span(40, 80))),
    ]);
    let mut load = EngineLoad::default();
    let pair = ZonePair::new(&zone("b"), &zone("a"));
    let path = plan(&directory, &load, MAX_FRACTION).expect("a path over the idle link");
    assert_eq!(path.crossings, std::slice::from_ref(&pair));
    load.links.record(pair, slow_links().link_bytes_per_second() * 0.8, NOW);
    // The request is refused at once; sent, it would wait behind the prompts of all others.
    let refused = plan(&directory, &load, MAX_FRACTION);
    assert!(matches!(refused, Err(PathError::NoMemory { layer: 40 })), "{refused:?}");
}

#[test]
fn waiting_on_a_busy_link_counts_in_the_expected_latency() {
    let directory = directory(vec![
        entry("a1", "fast", "a", Some(span(0, 40))),
        entry("b1", "fast", "b", Some(span(40, 80))),
    ]);
    let idle = plan(&directory, &EngineLoad::default(), MAX_FRACTION).expect("a path");
    let mut load = EngineLoad::default();
    let pair = ZonePair::new(&zone("a"), &zone("b"));
    load.links.record(pair, slow_links().link_bytes_per_second() * 0.5, NOW);
    let busy = plan(&directory, &load, MAX_FRACTION).expect("a path");
    assert!(busy.token_ms > idle.token_ms + 100.0, "{} and {}", busy.token_ms, idle.token_ms);
}

/// What hosts of the own and of other zones report counts as much as what this host sends.
#[test]
fn transfers_of_other_hosts_and_zones_use_up_a_link() {
    let pair = ZonePair::new(&zone("a"), &zone("b"));
    let bytes = slow_links().link_bytes_per_second() * 0.3;
    let mut load = EngineLoad::default();
    load.links.record(pair.clone(), bytes, NOW);
    let usage = || [(pair.clone(), bytes)].into_iter().collect();
    load.links.record_peer("host-2".parse().expect("a valid name"), usage(), NOW);
    load.links.record_zone(zone("b"), usage(), NOW);
    assert!(load.links.largest_fraction(&slow_links(), NOW) > 0.85);
    let later = NOW + std::time::Duration::from_secs(2);
    assert!(load.links.largest_fraction(&slow_links(), later) < 1e-9);
}

/// The own callers of the other zone must find room there.
#[test]
fn a_neighbours_endpoints_are_not_filled_to_the_limit() {
    let directory = half_lost();
    let mut load = EngineLoad::default();
    let free = engine().token_layer_capacity(
        engine().accelerator(&"middle".parse().expect("a valid name")).expect("a kind"),
        20,
    );
    let pair = ZonePair::new(&zone("a"), &zone("b"));
    load.links.record(pair, slow_links().link_bytes_per_second() * 0.3, NOW);
    let route = plan(&directory, &load, MAX_FRACTION).expect("a path").route;
    assert_eq!(route.stages().len(), 4);
    let tokens = (free * 0.9 / 20.0) as u32;
    let _reservation = load.reserve(&route, tokens);
    assert!(matches!(plan(&directory, &load, 0.88), Err(PathError::NoMemory { .. })));
    assert!(plan(&directory, &load, MAX_FRACTION).is_ok());
}

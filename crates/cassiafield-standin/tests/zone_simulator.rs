//! Layer placement of a zone under its usual load, a burst, and the loss of an endpoint.
//!
//! The baselines are an equal split over all endpoints, and one replica without the slow ones.

use {
    cassiafield_core::{
        ids::ZoneId,
        process::{
            AcceleratorProfile, EndpointEntry, EndpointIncarnation, EngineProfile, LayerPlacement,
            PlacementCandidate,
        },
        request::LayerSpan,
    },
    cassiafield_standin::{SimulatedTraffic, SimulationOutcome, ZoneSimulator},
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        time::Duration,
    },
};

/// Numbers of fast, middle and slow endpoints in each tested zone.
const ZONES: [(usize, usize, usize); 3] = [(2, 2, 5), (1, 3, 8), (1, 6, 5)];
/// Stream arrivals in one zone on a usual day.
const USUAL_STREAMS_PER_S: f64 = 27.0;

fn engine() -> EngineProfile {
    let accelerator = |kind: &str, memory_mb, step_factor, prefill_factor| AcceleratorProfile {
        kind: kind.parse().expect("a valid name"),
        memory_mb,
        step_factor,
        prefill_factor,
    };
    EngineProfile {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 918_000.0,
        step_ms: 1.02,
        stream_ms: 0.007_14,
        context_ms: 0.009_56,
        prefill_tokens_per_ms: 105.0,
        load_seconds: 14.0,
        tokens_per_event: 3,
        activation_bytes: 45_900.0,
        zone_bandwidth_mbps: 22_000.0,
        zone_delay_ms: 0.3,
        mean_prompt_tokens: 774,
        mean_output_tokens: 204,
        accelerators: vec![
            accelerator("fast", 72_000.0, 2.4, 3.2),
            accelerator("middle", 43_200.0, 5.6, 2.7),
            accelerator("slow", 21_600.0, 16.0, 8.2),
        ],
        prefix_cache: None,
    }
}

fn zone() -> ZoneId {
    "a".parse().expect("a valid name")
}

fn candidates((fast, middle, slow): (usize, usize, usize)) -> Vec<PlacementCandidate> {
    let engine = engine();
    let kinds = [("fast", fast), ("middle", middle), ("slow", slow)];
    let mut candidates = Vec::new();
    for (kind, count) in kinds {
        let kind = kind.parse().expect("a valid name");
        let profile = engine.accelerator(&kind).expect("a kind of the engine").clone();
        for number in 0..count {
            candidates.push(PlacementCandidate {
                endpoint: format!("{kind}-{number}").parse().expect("a valid name"),
                zone: zone(),
                profile: profile.clone(),
                held: None,
                is_loading: false,
                is_deferred: false,
                is_busy: false,
            });
        }
    }
    candidates
}

/// Applies the placer's orders until it gives none, for at most 20 rounds.
fn settled_placement(mut candidates: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
    let engine = engine();
    for _ in 0..20 {
        let orders =
            LayerPlacement { engine: &engine, are_links_scarce: false }.assign(&candidates);
        if orders.is_empty() {
            break;
        }
        for order in orders {
            let candidate =
                candidates.iter_mut().find(|candidate| candidate.endpoint == order.endpoint);
            candidate.expect("a known endpoint").held = Some(order.span);
        }
    }
    candidates
}

/// Splits the layers over the endpoints in proportion to `weight`.
fn split_layers(
    mut candidates: Vec<PlacementCandidate>,
    weight: fn(&AcceleratorProfile) -> f64,
) -> Vec<PlacementCandidate> {
    let total: f64 = candidates.iter().map(|candidate| weight(&candidate.profile)).sum();
    let (mut start, mut sum) = (0_u16, 0.0);
    for candidate in &mut candidates {
        sum += weight(&candidate.profile);
        let end = (80.0 * sum / total).round() as u16;
        candidate.held = LayerSpan::try_from((start, end)).ok();
        start = end;
    }
    candidates
}

/// Splits one replica equally over all endpoints.
fn equal_split(candidates: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
    split_layers(candidates, |_| 1.0)
}

/// Splits one replica over the fast and middle endpoints in proportion to their memory.
fn without_slow_endpoints(candidates: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
    let fast = candidates
        .into_iter()
        .filter(|candidate| candidate.profile.kind.as_str() != "slow")
        .collect();
    split_layers(fast, |profile| profile.memory_mb)
}

fn simulate(candidates: &[PlacementCandidate], rate: f64, seed: u64) -> SimulationOutcome {
    let entries = (1_u16..).zip(candidates).map(|(port, candidate)| EndpointEntry {
        endpoint: candidate.endpoint.clone(),
        incarnation: EndpointIncarnation(1),
        service: "writers".parse().expect("a valid name"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: zone(),
        is_leaving: false,
        slots: 192,
        accelerator: Some(candidate.profile.kind.clone()),
        span: candidate.held,
        orders: 1,
        software: "v1".into(),
    });
    let simulator = ZoneSimulator::new(engine(), entries.collect());
    let traffic = SimulatedTraffic {
        arrival_rate: rate,
        duration: Duration::from_secs(20),
        first_event_limit: Duration::from_millis(500),
        event_gap_limit: Duration::from_millis(200),
        seed,
    };
    simulator.run(&zone(), &traffic)
}

/// Returns the mean fraction of streams on time over three seeds.
fn mean_on_time_ratio(candidates: &[PlacementCandidate], rate: f64) -> f64 {
    (1..=3).map(|seed| simulate(candidates, rate, seed).on_time_ratio()).sum::<f64>() / 3.0
}

#[test]
fn every_stream_has_one_outcome_and_a_seed_gives_the_same_result() {
    let candidates = settled_placement(candidates(ZONES[1]));
    let outcome = simulate(&candidates, USUAL_STREAMS_PER_S, 7);
    assert_eq!(outcome.arrived, outcome.on_time + outcome.late + outcome.refused);
    assert_eq!(outcome, simulate(&candidates, USUAL_STREAMS_PER_S, 7));
}

#[test]
fn the_placement_is_no_worse_than_an_equal_split_or_one_replica_without_slow_endpoints() {
    for zone in ZONES {
        for factor in [1.0, 1.5] {
            let rate = USUAL_STREAMS_PER_S * factor;
            let placed = mean_on_time_ratio(&settled_placement(candidates(zone)), rate);
            let equal = mean_on_time_ratio(&equal_split(candidates(zone)), rate);
            let fast = mean_on_time_ratio(&without_slow_endpoints(candidates(zone)), rate);
            println!("{zone:?} x {factor}: placed {placed:.2}, equal {equal:.2}, fast {fast:.2}");
            assert!(placed >= equal, "{zone:?} x {factor}: {placed:.3} against {equal:.3}");
            assert!(placed >= fast, "{zone:?} x {factor}: {placed:.3} against {fast:.3}");
        }
    }
}

/// A fast or middle endpoint is lost for good: the placement settles again without it, while the
/// baseline keeps a gap in its layers.
#[test]
fn after_a_loss_the_placement_serves_more_than_one_replica_without_slow_endpoints() {
    for zone in ZONES {
        let settled = settled_placement(candidates(zone));
        for lost in 0..zone.0 + zone.1 {
            let mut remaining = settled.clone();
            remaining.remove(lost);
            let placed = mean_on_time_ratio(&settled_placement(remaining), USUAL_STREAMS_PER_S);
            let mut fast = without_slow_endpoints(candidates(zone));
            fast.remove(lost);
            let baseline = mean_on_time_ratio(&fast, USUAL_STREAMS_PER_S);
            println!("{zone:?} without {lost}: placed {placed:.2}, fast only {baseline:.2}");
            assert!(
                placed > baseline,
                "{zone:?} without {lost}: {placed:.3} against {baseline:.3}"
            );
        }
    }
}

//! Placements of a zone under its usual streams, a burst, and the loss of an endpoint, against two
//! baselines: equal cuts over all endpoints, and one copy on the fast ones.

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

/// Endpoints of a zone by kind: fast, middle, slow.
const ZONES: [(usize, usize, usize); 3] = [(2, 2, 5), (1, 3, 8), (1, 6, 5)];
/// Streams a second of a usual day in one zone.
const USUAL_RATE: f64 = 27.0;

fn engine() -> EngineProfile {
    let accelerator = |kind: &str, memory_mb, step_factor, read_factor| AcceleratorProfile {
        kind: kind.parse().expect("a valid name"),
        memory_mb,
        step_factor,
        read_factor,
    };
    EngineProfile {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 918_000.0,
        step_ms: 1.02,
        stream_ms: 0.007_14,
        context_ms: 0.009_56,
        read_per_ms: 105.0,
        load_seconds: 14.0,
        stride: 3,
        activation_bytes: 45_900.0,
        pipe_mbps: 22_000.0,
        zone_delay_ms: 0.3,
        usual_prompt: 774,
        usual_answer: 204,
        accelerators: vec![
            accelerator("fast", 72_000.0, 2.4, 3.2),
            accelerator("middle", 43_200.0, 5.6, 2.7),
            accelerator("slow", 21_600.0, 16.0, 8.2),
        ],
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
                is_waiting: false,
                is_busy: false,
            });
        }
    }
    candidates
}

/// The placement that the placer settles on.
fn placed(mut candidates: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
    let engine = engine();
    for _ in 0..20 {
        let orders = LayerPlacement { engine: &engine }.assign(&candidates);
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

/// Cuts the layers over the endpoints by `weight`.
fn cut(
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

fn equal_cuts(candidates: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
    cut(candidates, |_| 1.0)
}

fn fast_only(candidates: Vec<PlacementCandidate>) -> Vec<PlacementCandidate> {
    let fast = candidates
        .into_iter()
        .filter(|candidate| candidate.profile.kind.as_str() != "slow")
        .collect();
    cut(fast, |profile| profile.memory_mb)
}

fn play(candidates: &[PlacementCandidate], rate: f64, seed: u64) -> SimulationOutcome {
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
    let model = ZoneSimulator::new(engine(), entries.collect());
    let traffic = SimulatedTraffic {
        arrival_rate: rate,
        duration: Duration::from_secs(20),
        first_event_limit: Duration::from_millis(500),
        event_gap_limit: Duration::from_millis(200),
        seed,
    };
    model.run(&zone(), &traffic)
}

/// Mean part on time over three seeds.
fn part(candidates: &[PlacementCandidate], rate: f64) -> f64 {
    (1..=3).map(|seed| play(candidates, rate, seed).on_time_ratio()).sum::<f64>() / 3.0
}

#[test]
fn every_stream_has_one_end_and_a_seed_repeats() {
    let candidates = placed(candidates(ZONES[1]));
    let outcome = play(&candidates, USUAL_RATE, 7);
    assert_eq!(outcome.arrived, outcome.on_time + outcome.late + outcome.refused);
    assert_eq!(outcome, play(&candidates, USUAL_RATE, 7));
}

#[test]
fn the_placement_is_no_worse_than_equal_cuts_or_fast_endpoints_only() {
    for zone in ZONES {
        for factor in [1.0, 1.5] {
            let rate = USUAL_RATE * factor;
            let own = part(&placed(candidates(zone)), rate);
            let equal = part(&equal_cuts(candidates(zone)), rate);
            let fast = part(&fast_only(candidates(zone)), rate);
            println!("{zone:?} x {factor}: placed {own:.2}, equal {equal:.2}, fast {fast:.2}");
            assert!(own >= equal, "{zone:?} x {factor}: {own:.3} against {equal:.3}");
            assert!(own >= fast, "{zone:?} x {factor}: {own:.3} against {fast:.3}");
        }
    }
}

/// The pattern of a joined endpoint that is gone for good: the zone places itself anew.
#[test]
fn after_the_loss_of_any_endpoint_the_zone_still_serves_more_than_a_copy_of_fast_ones() {
    for zone in ZONES {
        let whole = placed(candidates(zone));
        for lost in 0..zone.0 + zone.1 {
            let mut left = whole.clone();
            left.remove(lost);
            let own = part(&placed(left), USUAL_RATE);
            let mut fast = fast_only(candidates(zone));
            fast.remove(lost);
            let broken = part(&fast, USUAL_RATE);
            println!("{zone:?} without {lost}: placed {own:.2}, fast only {broken:.2}");
            assert!(own > broken, "{zone:?} without {lost}: {own:.3} against {broken:.3}");
        }
    }
}

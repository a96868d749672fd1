//! Layer placement at the start, after the loss of an endpoint, and during a rolling replacement.

mod engine_support;

use {
    cassiafield_core::process::{LayerAssignment, LayerPlacement, PlacementCandidate},
    engine_support::{candidate, engine, profile, span, zone},
};

fn candidates(kinds: &[(&str, usize)]) -> Vec<PlacementCandidate> {
    let names = kinds
        .iter()
        .flat_map(|&(kind, count)| (0..count).map(move |index| (format!("{kind}{index}"), kind)));
    names.map(|(name, kind)| candidate(&name, kind, None)).collect()
}

fn assign(candidates: &[PlacementCandidate]) -> Vec<LayerAssignment> {
    LayerPlacement { engine: &engine(), are_links_scarce: false }.assign(candidates)
}

fn apply(candidates: &mut [PlacementCandidate], assignments: &[LayerAssignment]) {
    for assignment in assignments {
        let candidate =
            candidates.iter_mut().find(|candidate| candidate.endpoint == assignment.endpoint);
        candidate.expect("a known endpoint").held = Some(assignment.span);
    }
}

fn is_covered(candidates: &[PlacementCandidate]) -> bool {
    (0..80).all(|layer| {
        let holds = |candidate: &PlacementCandidate| {
            candidate.held.is_some_and(|held| held.start() <= layer && layer < held.end())
        };
        candidates.iter().any(holds)
    })
}

/// Applies assignments until none are left.
fn settle(candidates: &mut [PlacementCandidate]) {
    for _ in 0..20 {
        let assignments = assign(candidates);
        if assignments.is_empty() {
            return;
        }
        apply(candidates, &assignments);
    }
    panic!("the placement does not settle");
}

#[test]
fn an_empty_zone_gets_a_complete_replica_on_its_fast_endpoints() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    let assignments = assign(&candidates);
    apply(&mut candidates, &assignments);
    let fast: Vec<PlacementCandidate> = candidates
        .iter()
        .filter(|candidate| candidate.profile.kind.as_str() != "slow")
        .cloned()
        .collect();
    assert!(is_covered(&fast));
    assert!(candidates.iter().all(|candidate| candidate.held.is_some()));
}

#[test]
fn every_zone_holds_all_layers() {
    let mut all = candidates(&[("fast", 2), ("middle", 3)]);
    for mut other in candidates(&[("middle", 4), ("slow", 4)]) {
        other.endpoint = format!("b-{}", other.endpoint).parse().expect("a name");
        other.zone = zone("b");
        all.push(other);
    }
    let assignments = assign(&all);
    apply(&mut all, &assignments);
    for name in ["a", "b"] {
        let own: Vec<_> =
            all.iter().filter(|candidate| candidate.zone == zone(name)).cloned().collect();
        assert!(is_covered(&own), "zone {name}");
    }
}

#[test]
fn no_assignment_exceeds_the_memory_of_its_endpoint() {
    for kinds in [
        &[("fast", 1), ("middle", 3), ("slow", 8)][..],
        &[("slow", 9)],
        &[("slow", 3)],
        &[("fast", 3)],
        &[("middle", 1)],
    ] {
        let mut candidates = candidates(kinds);
        settle(&mut candidates);
        for candidate in &candidates {
            let held = candidate.held.expect("every endpoint holds layers");
            let weights_mb = f64::from(held.layers()) * engine().layer_mb;
            assert!(weights_mb < candidate.profile.memory_mb, "{}: {held}", candidate.endpoint);
        }
    }
}

#[test]
fn slow_endpoints_hold_different_layers() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    let assignments = assign(&candidates);
    apply(&mut candidates, &assignments);
    let slow: Vec<_> =
        candidates.iter().filter(|candidate| candidate.profile.kind.as_str() == "slow").collect();
    let mut held = vec![0; 80];
    for candidate in &slow {
        let span = candidate.held.expect("layers");
        held[usize::from(span.start())..usize::from(span.end())].iter_mut().for_each(|n| *n += 1);
    }
    assert!(held.iter().all(|&count| count <= 1), "{held:?}");
}

#[test]
fn a_replacement_gets_the_layers_of_the_lost_endpoint() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    settle(&mut candidates);
    let lost = candidates.remove(0).held.expect("layers");
    candidates.push(candidate("fresh", "fast", None));
    let assignments = assign(&candidates);
    let fresh = assignments.iter().find(|assignment| assignment.endpoint.as_str() == "fresh");
    let placed = fresh.expect("an order for the replacement").span;
    let shared = placed.end().min(lost.end()).saturating_sub(placed.start().max(lost.start()));
    assert!(f64::from(shared) >= 0.8 * f64::from(lost.layers()), "{lost} became {placed}");
}

#[test]
fn a_deferred_endpoint_gets_no_assignment() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 2)]);
    settle(&mut candidates);
    let mut fresh = candidate("fresh", "fast", None);
    fresh.is_deferred = true;
    candidates.push(fresh);
    let assignments = assign(&candidates);
    assert!(assignments.iter().all(|assignment| assignment.endpoint.as_str() != "fresh"));
}

#[test]
fn a_zone_that_lost_layers_moves_one_endpoint_at_a_time_until_it_is_covered() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 4), ("slow", 5)]);
    settle(&mut candidates);
    let first = candidates.iter().position(|candidate| candidate.profile.kind.as_str() == "fast");
    candidates.remove(first.expect("a fast endpoint"));
    for _ in 0..20 {
        let assignments = assign(&candidates);
        assert!(assignments.len() <= 1, "{assignments:?}");
        if assignments.is_empty() {
            break;
        }
        apply(&mut candidates, &assignments);
    }
    assert!(is_covered(&candidates));
}

#[test]
fn nothing_moves_while_an_endpoint_loads() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 4), ("slow", 5)]);
    settle(&mut candidates);
    candidates.remove(0);
    candidates[0].is_loading = true;
    assert!(assign(&candidates).is_empty());
}

#[test]
fn a_settled_zone_gets_no_assignments() {
    let mut candidates = candidates(&[("fast", 1), ("middle", 6), ("slow", 5)]);
    settle(&mut candidates);
    assert!(assign(&candidates).is_empty());
}

#[test]
fn an_endpoint_with_too_little_memory_for_a_layer_gets_none() {
    let mut small = candidate("odd", "fast", None);
    small.profile = profile("slow");
    small.profile.memory_mb = 100.0;
    assert!(assign(&[small]).is_empty());
    assert_eq!(span(0, 1).layers(), 1);
}

/// Guards against moving busy endpoints: the only holder of some layers leaves under load while fast
/// endpoints run the streams and slow ones are idle.
#[test]
fn idle_endpoints_cover_missing_layers_before_busy_ones_move() {
    let mut candidates = candidates(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    settle(&mut candidates);
    for candidate in &mut candidates {
        candidate.is_busy = candidate.profile.kind.as_str() != "slow";
    }
    let lost = candidates.iter().position(|c| c.profile.kind.as_str() == "middle");
    candidates.remove(lost.expect("a middle one"));
    for _ in 0..20 {
        let assignments = assign(&candidates);
        for assignment in &assignments {
            assert!(assignment.endpoint.as_str().starts_with("slow"), "{assignment:?}");
        }
        apply(&mut candidates, &assignments);
        if assignments.is_empty() {
            break;
        }
    }
    assert!(is_covered(&candidates));
}

/// A zone with a single replica loses one of its endpoints while the links between zones are nearly
/// used up: the prompts of all its requests cross them until the zone has all layers again.
#[test]
fn a_zone_that_loses_the_only_holder_of_layers_is_covered_again_in_one_round() {
    let held = [
        candidate("fast0", "fast", Some(span(0, 30))),
        candidate("fast1", "fast", Some(span(30, 60))),
        candidate("middle0", "middle", Some(span(60, 80))),
        candidate("slow0", "slow", Some(span(0, 8))),
        candidate("slow1", "slow", Some(span(8, 16))),
        candidate("slow2", "slow", Some(span(16, 24))),
        candidate("slow3", "slow", Some(span(24, 32))),
    ];
    let mut left: Vec<PlacementCandidate> =
        held.into_iter().filter(|candidate| candidate.endpoint.as_str() != "fast1").collect();
    assert!(!is_covered(&left));
    let held_before = covered_layers(&left);
    let placement = LayerPlacement { engine: &engine(), are_links_scarce: true };
    let assignments = placement.assign(&left);
    // While it loads, an endpoint serves the layers that it held before and keeps.
    let mut loading = left.clone();
    for assignment in &assignments {
        let candidate = loading.iter_mut().find(|c| c.endpoint == assignment.endpoint);
        let candidate = candidate.expect("a known endpoint");
        candidate.held = candidate.held.and_then(|held| {
            let start = held.start().max(assignment.span.start());
            let end = held.end().min(assignment.span.end());
            (start < end).then(|| span(start, end))
        });
    }
    assert_eq!(covered_layers(&loading), held_before);
    apply(&mut left, &assignments);
    assert!(is_covered(&left), "{assignments:?}");
}

fn covered_layers(candidates: &[PlacementCandidate]) -> Vec<u16> {
    let holds = |layer: u16| {
        candidates.iter().any(|candidate| {
            candidate.held.is_some_and(|held| held.start() <= layer && layer < held.end())
        })
    };
    (0..80).filter(|layer| holds(*layer)).collect()
}

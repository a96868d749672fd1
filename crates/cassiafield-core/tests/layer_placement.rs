//! Placement in one zone: at the start, after a loss, while endpoints are replaced one by one.

mod engine_support;

use {
    cassiafield_core::process::{LayerAssignment, LayerPlacement, PlacementCard},
    engine_support::{card, engine, profile, span, zone},
};

fn cards(kinds: &[(&str, usize)]) -> Vec<PlacementCard> {
    let names = kinds
        .iter()
        .flat_map(|&(kind, count)| (0..count).map(move |index| (format!("{kind}{index}"), kind)));
    names.map(|(name, kind)| card(&name, kind, None)).collect()
}

fn assign(cards: &[PlacementCard]) -> Vec<LayerAssignment> {
    LayerPlacement { engine: &engine() }.assign(cards)
}

fn apply(cards: &mut [PlacementCard], assignments: &[LayerAssignment]) {
    for assignment in assignments {
        let card = cards.iter_mut().find(|card| card.endpoint == assignment.endpoint);
        card.expect("a known endpoint").held = Some(assignment.span);
    }
}

fn is_covered(cards: &[PlacementCard]) -> bool {
    (0..80).all(|layer| {
        let holds = |card: &PlacementCard| {
            card.held.is_some_and(|held| held.start() <= layer && layer < held.end())
        };
        cards.iter().any(holds)
    })
}

/// Places and moves until nothing changes.
fn settle(cards: &mut [PlacementCard]) {
    for _ in 0..20 {
        let assignments = assign(cards);
        if assignments.is_empty() {
            return;
        }
        apply(cards, &assignments);
    }
    panic!("the placement does not settle");
}

#[test]
fn an_empty_zone_gets_a_whole_copy_on_its_fast_endpoints() {
    let mut cards = cards(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    let assignments = assign(&cards);
    apply(&mut cards, &assignments);
    let fast: Vec<PlacementCard> =
        cards.iter().filter(|card| card.profile.kind.as_str() != "slow").cloned().collect();
    assert!(is_covered(&fast));
    assert!(cards.iter().all(|card| card.held.is_some()));
}

#[test]
fn every_zone_is_covered_by_itself() {
    let mut all = cards(&[("fast", 2), ("middle", 3)]);
    for mut other in cards(&[("middle", 4), ("slow", 4)]) {
        other.endpoint = format!("b-{}", other.endpoint).parse().expect("a name");
        other.zone = zone("b");
        all.push(other);
    }
    let assignments = assign(&all);
    apply(&mut all, &assignments);
    for name in ["a", "b"] {
        let own: Vec<_> = all.iter().filter(|card| card.zone == zone(name)).cloned().collect();
        assert!(is_covered(&own), "zone {name}");
    }
}

#[test]
fn no_endpoint_is_told_to_hold_more_than_its_memory() {
    for kinds in [
        &[("fast", 1), ("middle", 3), ("slow", 8)][..],
        &[("slow", 9)],
        &[("slow", 3)],
        &[("fast", 3)],
        &[("middle", 1)],
    ] {
        let mut cards = cards(kinds);
        settle(&mut cards);
        for card in &cards {
            let held = card.held.expect("every endpoint holds layers");
            let weights_mb = f64::from(held.layers()) * engine().layer_mb;
            assert!(weights_mb < card.profile.memory_mb, "{}: {held}", card.endpoint);
        }
    }
}

#[test]
fn slow_endpoints_stand_by_for_different_layers() {
    let mut cards = cards(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    let assignments = assign(&cards);
    apply(&mut cards, &assignments);
    let slow: Vec<_> = cards.iter().filter(|card| card.profile.kind.as_str() == "slow").collect();
    let mut held = vec![0; 80];
    for card in &slow {
        let span = card.held.expect("layers");
        held[usize::from(span.start())..usize::from(span.end())].iter_mut().for_each(|n| *n += 1);
    }
    assert!(held.iter().all(|&count| count <= 1), "{held:?}");
}

#[test]
fn a_replacement_takes_the_layers_that_the_leaving_endpoint_gave_up() {
    let mut cards = cards(&[("fast", 2), ("middle", 2), ("slow", 5)]);
    settle(&mut cards);
    let lost = cards.remove(0).held.expect("layers");
    cards.push(card("fresh", "fast", None));
    let assignments = assign(&cards);
    let fresh = assignments.iter().find(|order| order.endpoint.as_str() == "fresh");
    let placed = fresh.expect("an order for the replacement").span;
    let shared = placed.end().min(lost.end()).saturating_sub(placed.start().max(lost.start()));
    assert!(f64::from(shared) >= 0.8 * f64::from(lost.layers()), "{lost} became {placed}");
}

#[test]
fn a_waiting_endpoint_gets_no_order() {
    let mut cards = cards(&[("fast", 2), ("middle", 2)]);
    settle(&mut cards);
    let mut fresh = card("fresh", "fast", None);
    fresh.is_waiting = true;
    cards.push(fresh);
    let assignments = assign(&cards);
    assert!(assignments.iter().all(|order| order.endpoint.as_str() != "fresh"));
}

#[test]
fn a_zone_that_lost_layers_moves_one_endpoint_at_a_time_until_it_is_whole() {
    let mut cards = cards(&[("fast", 2), ("middle", 4), ("slow", 5)]);
    settle(&mut cards);
    let first = cards.iter().position(|card| card.profile.kind.as_str() == "fast");
    cards.remove(first.expect("a fast endpoint"));
    for _ in 0..20 {
        let assignments = assign(&cards);
        assert!(assignments.len() <= 1, "{assignments:?}");
        if assignments.is_empty() {
            break;
        }
        apply(&mut cards, &assignments);
    }
    assert!(is_covered(&cards));
}

#[test]
fn nothing_moves_while_an_endpoint_loads() {
    let mut cards = cards(&[("fast", 2), ("middle", 4), ("slow", 5)]);
    settle(&mut cards);
    cards.remove(0);
    cards[0].is_loading = true;
    assert!(assign(&cards).is_empty());
}

#[test]
fn a_settled_zone_stays_as_it_is() {
    let mut cards = cards(&[("fast", 1), ("middle", 6), ("slow", 5)]);
    settle(&mut cards);
    assert!(assign(&cards).is_empty());
}

#[test]
fn an_engine_without_figures_for_a_kind_places_nothing_on_it() {
    let mut odd = card("odd", "fast", None);
    odd.profile = profile("slow");
    odd.profile.memory_mb = 100.0;
    assert!(assign(&[odd]).is_empty());
    assert_eq!(span(0, 1).layers(), 1);
}

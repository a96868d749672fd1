//! While a new zone layout propagates, the fractions of all hosts never add up to more than one.

use {
    cassiafield_core::{
        ids::Moment,
        process::FloorTransition,
        version::{FloorFraction, ZoneShare},
    },
    fastrand::Rng,
    std::time::Duration,
};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const STEP: Duration = Duration::from_millis(100);

/// When larger fractions take effect; `Immediate` is incorrect on purpose.
#[derive(Clone, Copy, Eq, PartialEq)]
enum GrowthPolicy {
    Delayed,
    Immediate,
}

struct Host {
    zone: usize,
    ordinal: u16,
    transition: FloorTransition,
    /// When it receives the second layout.
    layout_received_at: Moment,
    fraction: f64,
}

fn layout(rng: &mut Rng) -> Vec<ZoneShare> {
    let share = |zone: &&str| ZoneShare {
        zone: zone.parse().unwrap(),
        hosts: rng.u16(1..=5),
        weight: rng.u32(1..=4),
    };
    ZONES.iter().map(share).collect()
}

/// Returns the largest sum of the fractions of all hosts.
fn largest_sum(seed: u64, growth: GrowthPolicy) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let layouts = [layout(&mut rng), layout(&mut rng)];
    let fraction = |index: usize, zone: usize, ordinal: u16| {
        FloorFraction::of(&layouts[index], &layouts[index][zone].zone, ordinal)
    };
    let mut hosts = Vec::new();
    for zone in 0..ZONES.len() {
        for ordinal in 0..5 {
            let mut transition = FloorTransition::new();
            let first = transition.update(1, fraction(0, zone, ordinal), Moment::ORIGIN);
            let layout_received_at = Moment::from_millis(rng.u64(0..10_000));
            let fraction = first.map_or(0.0, |fraction| fraction.of_amount(1.0));
            hosts.push(Host { zone, ordinal, transition, layout_received_at, fraction });
        }
    }
    let mut largest = 0.0_f64;
    let mut now = Moment::ORIGIN;
    while now < Moment::from_millis(30_000) {
        for host in &mut hosts {
            if now >= host.layout_received_at {
                let assigned = fraction(1, host.zone, host.ordinal);
                let usable = host.transition.update(2, assigned, now);
                let applied = if growth == GrowthPolicy::Delayed { usable } else { assigned };
                host.fraction = applied.map_or(0.0, |fraction| fraction.of_amount(1.0));
            }
        }
        largest = largest.max(hosts.iter().map(|host| host.fraction).sum());
        now = now + STEP;
    }
    largest
}

#[test]
fn the_sum_of_fractions_never_exceeds_one() {
    for seed in 0..2_000 {
        let sum = largest_sum(seed, GrowthPolicy::Delayed);
        assert!(sum <= 1.0 + 1e-9, "seed {seed}: {sum}");
    }
}

#[test]
fn immediate_growth_is_detected() {
    assert!((0..200).any(|seed| largest_sum(seed, GrowthPolicy::Immediate) > 1.0 + 1e-9));
}

#[test]
fn a_delayed_fraction_grows_after_the_propagation_time() {
    let mut rng = Rng::with_seed(4);
    let (small, large) = (layout(&mut rng), layout(&mut rng));
    let zone = &small[0].zone;
    let fractions = [FloorFraction::of(&small, zone, 0), FloorFraction::of(&large, zone, 0)];
    let mut transition = FloorTransition::new();
    transition.update(1, fractions[0], Moment::ORIGIN);
    transition.update(2, fractions[1], Moment::from_millis(5));
    let later = Moment::from_millis(5) + FloorTransition::PROPAGATION_TIME;
    assert_eq!(transition.update(2, fractions[1], later), fractions[1]);
}

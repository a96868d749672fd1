//! While a new layout of zones spreads, the parts of all hosts never sum to more than the whole.

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

/// Deliberately broken: parts grow at once.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Growth {
    Held,
    AtOnce,
}

struct Host {
    zone: usize,
    ordinal: u16,
    hold: FloorTransition,
    /// When it hears of the second layout.
    hears: Moment,
    part: f64,
}

fn layout(rng: &mut Rng) -> Vec<ZoneShare> {
    let share = |zone: &&str| ZoneShare {
        zone: zone.parse().unwrap(),
        hosts: rng.u16(1..=5),
        weight: rng.u32(1..=4),
    };
    ZONES.iter().map(share).collect()
}

/// Returns the largest sum of parts.
fn largest_sum(seed: u64, growth: Growth) -> f64 {
    let mut rng = Rng::with_seed(seed);
    let layouts = [layout(&mut rng), layout(&mut rng)];
    let part = |index: usize, zone: usize, ordinal: u16| {
        FloorFraction::of(&layouts[index], &layouts[index][zone].zone, ordinal)
    };
    let mut hosts = Vec::new();
    for zone in 0..ZONES.len() {
        for ordinal in 0..5 {
            let mut hold = FloorTransition::new();
            let first = hold.update(1, part(0, zone, ordinal), Moment::ORIGIN);
            let hears = Moment::from_millis(rng.u64(0..10_000));
            let part = first.map_or(0.0, |part| part.of_amount(1.0));
            hosts.push(Host { zone, ordinal, hold, hears, part });
        }
    }
    let mut largest = 0.0_f64;
    let mut now = Moment::ORIGIN;
    while now < Moment::from_millis(30_000) {
        for host in &mut hosts {
            if now >= host.hears {
                let wanted = part(1, host.zone, host.ordinal);
                let held = host.hold.update(2, wanted, now);
                let used = if growth == Growth::Held { held } else { wanted };
                host.part = used.map_or(0.0, |part| part.of_amount(1.0));
            }
        }
        largest = largest.max(hosts.iter().map(|host| host.part).sum());
        now = now + STEP;
    }
    largest
}

#[test]
fn the_sum_of_parts_stays_within_the_whole() {
    for seed in 0..2_000 {
        let sum = largest_sum(seed, Growth::Held);
        assert!(sum <= 1.0 + 1e-9, "seed {seed}: {sum}");
    }
}

#[test]
fn growing_at_once_is_caught() {
    assert!((0..200).any(|seed| largest_sum(seed, Growth::AtOnce) > 1.0 + 1e-9));
}

#[test]
fn a_part_that_waited_grows_in_the_end() {
    let mut rng = Rng::with_seed(4);
    let (small, large) = (layout(&mut rng), layout(&mut rng));
    let zone = &small[0].zone;
    let parts = [FloorFraction::of(&small, zone, 0), FloorFraction::of(&large, zone, 0)];
    let mut hold = FloorTransition::new();
    hold.update(1, parts[0], Moment::ORIGIN);
    hold.update(2, parts[1], Moment::from_millis(5));
    let later = Moment::from_millis(5) + FloorTransition::PROPAGATION_TIME;
    assert_eq!(hold.update(2, parts[1], later), parts[1]);
}

//! A large organisation sends ten times its usual while the others keep to theirs.

use {
    cassiafield_core::{
        ids::{Moment, OrganisationId},
        process::OrganisationLoad,
    },
    fastrand::Rng,
    std::time::Duration,
};

const ORGANISATIONS: usize = 40;
/// Memory of the endpoints, in streams; the usual load of all organisations fills 0.8 of it.
const CAPACITY: usize = 400;
const STREAM_TIME: Duration = Duration::from_secs(2);
/// Usual requests of the large organisation, relative to those of another one.
const LARGE_SIZE: f64 = 4.0;
/// Streams per second that one of the other organisations starts.
const USUAL_RATE: f64 = 0.8 * CAPACITY as f64 / 2.0 / (ORGANISATIONS as f64 - 1.0 + LARGE_SIZE);
const SURGE: f64 = 10.0;
const SEEDS: u64 = 10;

fn organisation(index: usize) -> OrganisationId {
    format!("org-{index}").parse().expect("a valid name")
}

/// Returns the served fractions of the large organisation and of the others.
fn served_fractions(seed: u64, limits_excess: bool) -> (f64, f64) {
    let mut rng = Rng::with_seed(seed);
    let organisations: Vec<OrganisationId> = (0..ORGANISATIONS).map(organisation).collect();
    let mut load = OrganisationLoad::default();
    let mut running: Vec<(Moment, usize)> = Vec::new();
    let (mut asked, mut served) = (vec![0_u32; ORGANISATIONS], vec![0_u32; ORGANISATIONS]);
    for millis in 0..20_000 {
        let now = Moment::from_millis(millis);
        running.retain(|&(ends_at, index)| {
            if ends_at <= now {
                load.release(&organisations[index], 1);
            }
            ends_at > now
        });
        for (index, organisation) in organisations.iter().enumerate() {
            let rate = if index == 0 { USUAL_RATE * LARGE_SIZE * SURGE } else { USUAL_RATE };
            if rng.f64() >= rate / 1e3 {
                continue;
            }
            asked[index] += 1;
            let fraction = if limits_excess {
                load.memory_fraction(organisation, now)
            } else {
                OrganisationLoad::MAX_MEMORY_FRACTION
            };
            if (running.len() + 1) as f64 <= CAPACITY as f64 * fraction {
                served[index] += 1;
                load.reserve(organisation, 1);
                running.push((now + STREAM_TIME.mul_f64(0.5 + rng.f64()), index));
            }
        }
    }
    let others =
        f64::from(served[1..].iter().sum::<u32>()) / f64::from(asked[1..].iter().sum::<u32>());
    (f64::from(served[0]) / f64::from(asked[0]), others)
}

#[test]
fn the_others_are_served_as_usual() {
    for seed in 0..SEEDS {
        let (large, others) = served_fractions(seed, true);
        let (large_before, others_before) = served_fractions(seed, false);
        println!(
            "seed {seed}: others {others:.3} (first come: {others_before:.3}), \
             large {large:.3} (first come: {large_before:.3})"
        );
        assert!(others >= 0.97, "seed {seed}: the others got {others:.3} of what they asked for");
        assert!(others > others_before, "seed {seed}");
        assert!(large > 0.2, "seed {seed}: room that the others leave is used, {large:.3}");
    }
}

#[test]
fn an_organisation_alone_may_use_all_memory() {
    let mut load = OrganisationLoad::default();
    let alone = organisation(0);
    load.reserve(&alone, 10_000);
    let fraction = load.memory_fraction(&alone, Moment::ORIGIN);
    assert!((fraction - OrganisationLoad::MAX_MEMORY_FRACTION).abs() < 1e-9);
}

#[test]
fn usage_that_a_peer_reports_counts_until_it_is_old() {
    let mut load = OrganisationLoad::default();
    let (large, small) = (organisation(0), organisation(1));
    load.reserve(&small, 100);
    let usage = [(large.clone(), 900), (small, 100)].into_iter().collect();
    load.record_peer("host-2".parse().expect("a valid name"), usage, Moment::from_millis(1_000));
    assert!(load.excess(&large, Moment::from_millis(1_500)) > 1.5);
    assert!(load.excess(&large, Moment::from_millis(3_000)) < 0.01);
}

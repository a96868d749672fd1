//! Floors and loans never exceed the plan in any window, and reach its rate wherever the demand is.

mod support;

use {
    cassiafield_core::{
        ids::Moment,
        process::AllowanceLedger,
        version::{FloorFraction, ZoneShare},
    },
    std::time::Duration,
    support::{Demand, Faults, Outcome, Sharing, Simulation, BURST_REQUESTS, REQUESTS_PER_SECOND},
};

const ALL_FAULTS: Faults = Faults { loss: 0.1, pauses: true, partitions: true, drift: 0.000_4 };
const SHIFTS: usize = 4;

fn worst_outcome(sharing: Sharing, demand: Demand, faults: Faults, seeds: u64) -> Outcome {
    let runs = (0..seeds).map(|seed| Simulation::new(seed, sharing, demand, faults).run(SHIFTS));
    runs.reduce(|a, b| Outcome {
        excess: a.excess.max(b.excess),
        early: a.early.min(b.early),
        late: a.late.min(b.late),
    })
    .unwrap()
}

#[test]
fn no_window_exceeds_the_plan_under_faults() {
    for demand in [Demand::OneHost, Demand::OneZone, Demand::Even] {
        for sharing in [Sharing::Loans, Sharing::Floors] {
            let outcome = worst_outcome(sharing, demand, ALL_FAULTS, 30);
            println!("{sharing:?} {demand:?} with faults: {outcome:.3?}");
            assert!(outcome.excess <= 0.0, "{sharing:?} {demand:?}: {outcome:?}");
        }
    }
}

#[test]
fn loans_reach_the_bound_within_two_seconds_of_a_shift() {
    for demand in [Demand::OneHost, Demand::OneZone, Demand::Even] {
        let outcome = worst_outcome(Sharing::Loans, demand, Faults::default(), 10);
        let floors = worst_outcome(Sharing::Floors, demand, Faults::default(), 10);
        println!("{demand:?}: loans {outcome:.3?}, floors {floors:.3?}");
        assert!(outcome.late >= 0.95, "{demand:?}: {outcome:?}");
        assert!(outcome.excess <= 0.0, "{demand:?}: {outcome:?}");
    }
}

#[test]
fn each_incorrect_variant_is_detected() {
    for sharing in [Sharing::LateExpiry, Sharing::NoDeduction] {
        let outcome = worst_outcome(sharing, Demand::OneHost, ALL_FAULTS, 10);
        println!("{sharing:?}: {outcome:.3?}");
        assert!(outcome.excess > 0.0, "{sharing:?} was not detected: {outcome:?}");
    }
}

#[test]
fn a_fast_clock_does_not_exceed_the_plan_in_an_hour() {
    let lists = support::lists(REQUESTS_PER_SECOND, BURST_REQUESTS);
    let shares = [ZoneShare { zone: "zone-0".parse().unwrap(), hosts: 1, weight: 1 }];
    let fraction = FloorFraction::of(&shares, &shares[0].zone, 0).unwrap();
    let mut ledger = AllowanceLedger::new(1, Duration::from_secs(120));
    let organisation = "traders".parse().unwrap();
    let start = Moment::ORIGIN;
    ledger.set_floors(&lists, Some(&fraction), true, start);
    let hour_micros = 3_600_000_000_f64;
    let mut admitted = 0_u32;
    for step in 0..360_000 {
        let micros = f64::from(step) * 10_000.0 * (1.0 + ALL_FAULTS.drift);
        let now = Moment::from_micros(micros as u64);
        while ledger.admit(&organisation, 0, now).is_ok() {
            ledger.release(&organisation, 0, now);
            admitted += 1;
        }
    }
    let bound = REQUESTS_PER_SECOND * hour_micros / 1e6 + BURST_REQUESTS;
    assert!(f64::from(admitted) <= bound, "{admitted} admitted, bound {bound}");
}

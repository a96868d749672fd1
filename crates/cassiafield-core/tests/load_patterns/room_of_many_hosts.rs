//! Hosts that share too little room: one order over all of them, against a queue of each host's own that
//! new arrivals overtake.

use crate::admission_model::{play, RequestSource, Rule, SourceOutcome};

const SEEDS: u64 = 8;

/// Adds the outcomes of several seeds.
fn play_seeds(
    rule: Rule,
    sources: &[RequestSource],
    zone: (usize, u32, f64),
) -> Vec<SourceOutcome> {
    let mut sums = vec![SourceOutcome::default(); sources.len()];
    for seed in 0..SEEDS {
        for (sum, outcome) in sums.iter_mut().zip(play(rule, sources, zone, seed)) {
            sum.arrived += outcome.arrived;
            sum.admitted += outcome.admitted;
        }
    }
    println!("{rule:?}, {} hosts: {sums:?}", zone.0);
    sums
}

const fn source(organisation: &'static str, tokens: u32, rate: f64) -> RequestSource {
    RequestSource { organisation, priority: 5, tokens, rate, run_ms: 800, max_wait_ms: 500 }
}

/// 40 usual requests a second of 800 ms each fill two thirds of 48 places of 1,000 tokens.
const USUAL: [RequestSource; 4] = [
    source("crowd", 1_000, 10.0),
    source("north", 1_000, 10.0),
    source("south", 1_000, 10.0),
    source("west", 1_000, 10.0),
];

#[test]
fn one_organisation_at_ten_times_its_usual_takes_no_room_of_the_others() {
    for hosts in [12, 36, 82] {
        let zone = (hosts, 48_000, 10.0);
        let (former, granted) =
            (play_seeds(Rule::Former, &USUAL, zone), play_seeds(Rule::Granted, &USUAL, zone));
        for (former, granted) in former.iter().zip(&granted).skip(1) {
            assert!(granted.share() > 0.97, "{granted:?}");
            assert!(granted.share() > former.share() + 0.1, "{former:?}, {granted:?}");
        }
    }
}

#[test]
fn a_burst_of_one_kind_loses_no_more_than_its_own_excess() {
    // The kind needs twice the room of the others.
    let mut sources = USUAL;
    sources[0].tokens = 2_000;
    let zone = (36, 48_000, 2.4);
    let (former, granted) =
        (play_seeds(Rule::Former, &sources, zone), play_seeds(Rule::Granted, &sources, zone));
    for (former, granted) in former.iter().zip(&granted).skip(1) {
        assert!(granted.share() >= former.share(), "{former:?}, {granted:?}");
        assert!(granted.share() > 0.97, "{granted:?}");
    }
}

#[test]
fn large_requests_among_small_ones_are_neither_starved_nor_first() {
    let mut sources =
        [source("small", 500, 70.0), source("large", 8_000, 1.5), source("other", 500, 20.0)];
    sources[1].max_wait_ms = 1_000;
    let zone = (36, 40_000, 1.6);
    let (former, granted) =
        (play_seeds(Rule::Former, &sources, zone), play_seeds(Rule::Granted, &sources, zone));
    assert!(granted[1].share() > former[1].share() + 0.1, "{former:?}, {granted:?}");
    assert!(granted[0].share() > 0.75 && granted[2].share() > 0.75, "{granted:?}");
}

#[test]
fn ranks_go_first_and_none_is_never_served() {
    let mut sources = USUAL;
    sources[0].priority = 9;
    sources[1].priority = 0;
    for source in &mut sources[2..] {
        source.rate = 25.0;
    }
    let granted = play_seeds(Rule::Granted, &sources, (36, 48_000, 1.0));
    let former = play_seeds(Rule::Former, &sources, (36, 48_000, 1.0));
    assert!(granted[1].share() > 0.98 && granted[1].share() > former[1].share(), "{granted:?}");
    assert!(granted[0].admitted > 0, "{granted:?}");
}

//! All hosts are back with all callers: those that were refused while the hosts could not know come back in
//! order and still have tries left, against a constant delay.

use {
    cassiafield_core::{
        ids::Moment,
        returns::{RecoverySchedule, ReturnSchedule},
    },
    fastrand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

const ARRIVALS_PER_SECOND: f64 = 400.0;
/// Requests that the zone serves in 10 ms.
const SERVED_PER_STEP: u32 = 6;
const DEADLINE_MS: u64 = 8_000;
const MAX_TRIES: u32 = 4;
const SEEDS: u64 = 6;

#[derive(Default)]
struct ReturnOutcome {
    arrived: u32,
    served: u32,
    /// Most arrivals in 100 ms after the outage.
    crowd: u32,
    late_tries: u32,
}

impl ReturnOutcome {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.arrived)
    }
}

struct Caller {
    arrived_at: u64,
    tries: u32,
    /// Whether it returns at once, whatever it is told.
    is_hasty: bool,
}

/// Plays an outage of `outage_ms`; `hasty` is the part of the callers that return at once.
fn play(hosts: usize, outage_ms: u64, hasty: f64, is_constant: bool, seed: u64) -> ReturnOutcome {
    let mut rng = Rng::with_seed(seed);
    let mut recoveries = vec![RecoverySchedule::default(); hosts];
    let mut returns = ReturnSchedule::default();
    let mut outcome = ReturnOutcome::default();
    let mut due: BTreeMap<u64, Vec<Caller>> = BTreeMap::new();
    let mut recent = [0; 10];
    for ms in (1_000..outage_ms + 8_000).step_by(10) {
        let now = Moment::from_millis(ms);
        let later = due.split_off(&(ms + 1));
        let mut callers: Vec<Caller> =
            std::mem::replace(&mut due, later).into_values().flatten().collect();
        // The outage begins at 1 s; arrivals end with it but for a tail.
        if ms < outage_ms + 3_000 && rng.f64() < 0.9 {
            let count = (ARRIVALS_PER_SECOND * 0.01 / 0.9).round() as u32;
            outcome.arrived += count;
            callers.extend((0..count).map(|_| Caller {
                arrived_at: ms,
                tries: 0,
                is_hasty: rng.f64() < hasty,
            }));
        }
        let is_over = ms >= 1_000 + outage_ms;
        if is_over {
            recent.rotate_left(1);
            recent[9] = u32::try_from(callers.len()).unwrap();
            outcome.crowd = outcome.crowd.max(recent.iter().sum());
            returns.record_ends(SERVED_PER_STEP, now);
        }
        let mut free = if is_over { SERVED_PER_STEP } else { 0 };
        rng.shuffle(&mut callers);
        for mut caller in callers {
            let left = (caller.arrived_at + DEADLINE_MS).saturating_sub(ms);
            if left > 0 && free > 0 {
                free -= 1;
                outcome.served += 1;
                continue;
            }
            caller.tries += 1;
            if caller.tries >= MAX_TRIES || left == 0 {
                continue;
            }
            outcome.late_tries += u32::from(is_over);
            let max_delay = Duration::from_millis(left / 3);
            let told = if is_over {
                returns.next_return(now, max_delay)
            } else if is_constant {
                Duration::from_millis(400)
            } else {
                recoveries[rng.usize(..hosts)].next_return(false, now)
            };
            let told =
                if caller.is_hasty { Duration::from_millis(20) } else { told.min(max_delay) };
            let at = ms + u64::try_from(told.as_millis()).unwrap().max(10);
            due.entry(at).or_default().push(caller);
        }
    }
    outcome
}

fn play_both(hosts: usize, outage_ms: u64, hasty: f64) -> (f64, f64) {
    let mean = |is_constant| {
        let shares =
            (0..SEEDS).map(|seed| play(hosts, outage_ms, hasty, is_constant, seed).share());
        shares.sum::<f64>() / SEEDS as f64
    };
    let (former, new) = (mean(true), mean(false));
    println!(
        "{hosts} hosts, {outage_ms} ms, {hasty} hasty: {new:.3} (constant delay: {former:.3})"
    );
    (former, new)
}

#[test]
fn all_hosts_back_with_all_callers_serve_more_than_with_a_constant_delay() {
    for hosts in [36, 82] {
        for outage_ms in [2_000, 4_000, 7_000] {
            let (former, new) = play_both(hosts, outage_ms, 0.0);
            assert!(new > former + 0.05, "{hosts} hosts, {outage_ms} ms: {new} against {former}");
        }
    }
}

#[test]
fn a_storm_of_repeats_leaves_those_that_wait_their_places() {
    let (former, new) = play_both(36, 4_000, 0.3);
    assert!(new > former + 0.05, "{new} against {former}");
}

//! A burst at three times the capacity: callers that are refused return when there is room.

use {
    cassiafield_core::{ids::Moment, returns::ReturnSchedule},
    fastrand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Streams that one host can run at the same time.
const CAPACITY: usize = 40;
const STREAM_TIME: Duration = Duration::from_secs(2);
const USUAL_PER_SECOND: f64 = 14.0;
const BURST_FACTOR: f64 = 3.0;
const BURST: std::ops::Range<u64> = 4_000..8_000;
const MAX_DELAY: Duration = Duration::from_secs(6);
const SEEDS: u64 = 12;

struct BurstOutcome {
    served_at_return: u32,
    refused_twice: u32,
}

/// Plays the burst; each caller returns once, as it is told.
fn play(seed: u64, mut delay: impl FnMut(&mut ReturnSchedule, Moment) -> Duration) -> BurstOutcome {
    let mut rng = Rng::with_seed(seed);
    let mut schedule = ReturnSchedule::default();
    let mut running: Vec<Moment> = Vec::new();
    let mut returning: BTreeMap<Moment, u32> = BTreeMap::new();
    let mut outcome = BurstOutcome { served_at_return: 0, refused_twice: 0 };
    for millis in 0..20_000 {
        let now = Moment::from_millis(millis);
        let ended = running.iter().filter(|&&ends_at| ends_at <= now).count();
        (0..ended).for_each(|_| schedule.record_end(now));
        running.retain(|&ends_at| ends_at > now);
        let rate = USUAL_PER_SECOND * if BURST.contains(&millis) { BURST_FACTOR } else { 1.0 };
        let later = returning.split_off(&(now + Duration::from_micros(1)));
        let returned: u32 = std::mem::replace(&mut returning, later).into_values().sum();
        for is_return in
            (0..returned).map(|_| true).chain((rng.f64() < rate / 1e3).then_some(false))
        {
            if running.len() < CAPACITY {
                running.push(now + STREAM_TIME.mul_f64(0.5 + rng.f64()));
                outcome.served_at_return += u32::from(is_return);
            } else if is_return {
                outcome.refused_twice += 1;
            } else {
                *returning.entry(now + delay(&mut schedule, now)).or_default() += 1;
            }
        }
    }
    outcome
}

#[test]
fn fewer_callers_are_refused_twice_than_with_a_fixed_delay() {
    let (mut scheduled, mut fixed) = (0, 0);
    for seed in 0..SEEDS {
        let by_schedule = play(seed, |schedule, now| schedule.next_return(now, MAX_DELAY));
        let mut jitter = Rng::with_seed(seed + 1_000);
        let by_delay =
            play(seed, |_, _| Duration::from_millis(1_500).mul_f64(1.0 + 2.0 * jitter.f64()));
        println!(
            "seed {seed}: refused twice {} (fixed delay: {}), served at return {} (fixed delay: {})",
            by_schedule.refused_twice,
            by_delay.refused_twice,
            by_schedule.served_at_return,
            by_delay.served_at_return,
        );
        scheduled += by_schedule.refused_twice;
        fixed += by_delay.refused_twice;
    }
    assert!(
        scheduled * 10 < fixed * 9,
        "{scheduled} with the schedule, {fixed} with a fixed delay"
    );
}

#[test]
fn callers_refused_first_return_first_and_apart() {
    let mut schedule = ReturnSchedule::default();
    let now = Moment::from_millis(10_000);
    for _ in 0..20 {
        schedule.record_end(now);
    }
    let delays: Vec<Duration> = (0..10).map(|_| schedule.next_return(now, MAX_DELAY)).collect();
    for pair in delays.windows(2) {
        let gap = pair[1].saturating_sub(pair[0]);
        assert!(gap >= Duration::from_millis(150), "{delays:?}");
    }
}

#[test]
fn no_caller_is_told_to_return_after_it_would_give_up() {
    let mut schedule = ReturnSchedule::default();
    let now = Moment::from_millis(10_000);
    let delays = (0..500).map(|_| schedule.next_return(now, MAX_DELAY));
    assert!(delays.max().expect("a delay") <= MAX_DELAY);
}

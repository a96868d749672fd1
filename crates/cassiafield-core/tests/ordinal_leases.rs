//! Two hosts never spend one ordinal's floors at the same time, under pauses, lost renewals and
//! skewed clocks, as long as the cut is not inside the zone.

use {
    cassiafield_core::{
        ids::Moment,
        process::{AllowanceLedger, OrdinalLease, RenewalResult},
    },
    fastrand::Rng,
    std::time::Duration,
};

const STEP_MS: u64 = 20;
const STEPS: u64 = 30_000;

/// Deliberately broken variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Sound,
    /// A holder does not look at its lease before it spends.
    NoLeaseCheck,
    /// A new holder spends at once though loans of the old one are out.
    NoQuarantine,
}

/// The store's view: who holds the ordinal, under which lease, and until when.
struct Ordinal {
    holder: Option<usize>,
    lease_ends: u64,
}

struct Host {
    holder: Option<OrdinalLease>,
    skew: f64,
    paused_until: u64,
    next_renewal: u64,
    last_spend: u64,
}

fn local(skew: f64, millis: u64) -> Moment {
    Moment::from_micros((millis as f64 * 1_000.0 * skew) as u64)
}

/// Returns the number of steps in which two hosts could spend, a lender's loans included.
fn overlaps(seed: u64, variant: Variant) -> u64 {
    let mut rng = Rng::with_seed(seed);
    let mut ordinal = Ordinal { holder: None, lease_ends: 0 };
    let mut hosts: Vec<Host> = (0..3)
        .map(|_| Host {
            holder: None,
            skew: 1.0 + 0.0004 * (rng.f64() * 2.0 - 1.0),
            paused_until: 0,
            next_renewal: 0,
            last_spend: 0,
        })
        .collect();
    let ttl = OrdinalLease::LEASE_TTL.as_millis() as u64;
    let loan = AllowanceLedger::LOAN_TERM.as_millis() as u64;
    let mut found = 0;
    for step in 0..STEPS {
        let now = step * STEP_MS;
        for (index, host) in hosts.iter_mut().enumerate() {
            if rng.f64() < 0.000_3 {
                host.paused_until = now + rng.u64(1_000..40_000);
            }
            if host.paused_until > now {
                continue;
            }
            advance(index, host, &mut ordinal, now, ttl, variant, &mut rng);
            let spends = host.holder.as_ref().is_some_and(|holder| {
                variant == Variant::NoLeaseCheck || holder.may_spend(local(host.skew, now))
            });
            if spends {
                host.last_spend = now;
            }
        }
        let spending: Vec<usize> =
            (0..3).filter(|&index| hosts[index].last_spend == now && now > 0).collect();
        let lent =
            |index: usize| now < hosts[index].last_spend + loan && hosts[index].last_spend > 0;
        let conflicts = spending.iter().any(|&one| (0..3).any(|other| other != one && lent(other)));
        found += u64::from(conflicts);
    }
    found
}

fn advance(
    index: usize,
    host: &mut Host,
    ordinal: &mut Ordinal,
    now: u64,
    ttl: u64,
    variant: Variant,
    rng: &mut Rng,
) {
    if now < host.next_renewal {
        return;
    }
    let sent = local(host.skew, now);
    let lost = rng.f64() < 0.1;
    let alive = ordinal.lease_ends > now;
    match &mut host.holder {
        Some(holder) => {
            let own = ordinal.holder == Some(index);
            if lost {
                host.next_renewal = now + 1_000;
            } else if own && alive {
                ordinal.lease_ends = now + ttl;
                holder.record_renewal(RenewalResult::Renewed, sent);
                host.next_renewal = now + 5_000;
            } else {
                host.holder = None;
                host.next_renewal = now + 1_000;
            }
        }
        None if !alive => {
            let fresh = ordinal.holder.is_none();
            *ordinal = Ordinal { holder: Some(index), lease_ends: now + ttl };
            let mut holder = OrdinalLease::acquired(0, sent, sent);
            if !fresh && variant != Variant::NoQuarantine {
                let wait = AllowanceLedger::LOAN_TERM + AllowanceLedger::LOAN_MARGIN;
                holder = holder.quarantine(wait, wait + Duration::from_secs(120));
            }
            host.holder = Some(holder);
            host.next_renewal = now + 5_000;
        }
        None => host.next_renewal = now + 1_000,
    }
}

#[test]
fn floors_are_never_spent_twice() {
    for seed in 0..200 {
        assert_eq!(overlaps(seed, Variant::Sound), 0, "seed {seed}");
    }
}

#[test]
fn each_broken_variant_is_caught() {
    for variant in [Variant::NoLeaseCheck, Variant::NoQuarantine] {
        let found: u64 = (0..200).map(|seed| overlaps(seed, variant)).sum();
        assert!(found > 0, "{variant:?} went unnoticed");
    }
}

#[test]
fn a_holder_whose_renewal_is_overdue_spends_only_after_a_round_without_the_store() {
    let start = Moment::from_millis(1_000);
    let mut holder = OrdinalLease::acquired(1, start, start);
    let late = start + OrdinalLease::LEASE_TTL;
    assert!(holder.may_spend(start));
    assert!(!holder.may_spend(late));
    holder.record_renewal(RenewalResult::Unreachable, late);
    assert!(holder.may_spend(late + Duration::from_millis(10)));
    assert!(!holder.may_spend(late + Duration::from_secs(10)));
    holder.record_renewal(RenewalResult::Gone, late);
    assert!(!holder.may_spend(late));
}

#[test]
fn permits_of_a_dead_holder_are_held_back_for_the_longest_request() {
    let start = Moment::from_millis(1_000);
    let holder = OrdinalLease::acquired(1, start, start)
        .quarantine(Duration::from_secs(2), Duration::from_secs(8));
    assert!(!holder.may_spend(start + Duration::from_secs(1)));
    assert!(holder.may_spend(start + Duration::from_secs(3)));
    assert!(!holder.may_use_permits(start + Duration::from_secs(3)));
    assert!(holder.may_use_permits(start + Duration::from_secs(9)));
}

/// Rounds run one after the other on a busy host while the store is silent.
#[test]
fn slow_rounds_without_the_store_leave_no_gap_in_the_floors() {
    const LATENESS: Duration = Duration::from_millis(250);
    const STEP: Duration = Duration::from_millis(10);
    let start = Moment::from_millis(1_000);
    let mut holder = OrdinalLease::acquired(1, start, start);
    let mut sent = start + OrdinalLease::RENEWAL_INTERVAL;
    for round in 0..20 {
        let end = sent + OrdinalLease::RENEWAL_TIMEOUT;
        let mut now = sent;
        while now < end {
            assert!(holder.may_use_permits(now), "round {round}: no permits at {now:?}");
            now = now + STEP;
        }
        holder.record_renewal(RenewalResult::Unreachable, sent);
        sent = OrdinalLease::next_renewal(RenewalResult::Unreachable, sent).max(end) + LATENESS;
    }
}

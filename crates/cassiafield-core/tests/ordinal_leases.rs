//! Two hosts never spend the floors of one ordinal at the same time, under pauses, lost renewals and
//! clock drift, as long as the zone itself is not partitioned.

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

/// The correct protocol, and variants that are incorrect on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// A holder spends without checking its lease.
    NoLeaseCheck,
    /// A new holder spends immediately, while loans of the previous holder are still in force.
    NoQuarantine,
}

/// The state of the ordinal in the store: its holder and the expiry of the lease.
struct Ordinal {
    holder: Option<usize>,
    lease_expires_at: u64,
}

struct Host {
    lease: Option<OrdinalLease>,
    clock_rate: f64,
    paused_until: u64,
    next_renewal: u64,
    last_spend: u64,
}

fn local_time(clock_rate: f64, millis: u64) -> Moment {
    Moment::from_micros((millis as f64 * 1_000.0 * clock_rate) as u64)
}

/// Returns the number of steps in which a host spends the floors while another one spends them too or
/// may still have loans in force.
fn overlaps(seed: u64, variant: Variant) -> u64 {
    let mut rng = Rng::with_seed(seed);
    let mut ordinal = Ordinal { holder: None, lease_expires_at: 0 };
    let mut hosts: Vec<Host> = (0..3)
        .map(|_| Host {
            lease: None,
            clock_rate: 1.0 + 0.0004 * (rng.f64() * 2.0 - 1.0),
            paused_until: 0,
            next_renewal: 0,
            last_spend: 0,
        })
        .collect();
    let ttl = OrdinalLease::LEASE_TTL.as_millis() as u64;
    let loan = AllowanceLedger::LOAN_TERM.as_millis() as u64;
    let mut overlap_count = 0;
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
            let spends = host.lease.as_ref().is_some_and(|lease| {
                variant == Variant::NoLeaseCheck
                    || lease.may_use_floors(local_time(host.clock_rate, now))
            });
            if spends {
                host.last_spend = now;
            }
        }
        let spending: Vec<usize> =
            (0..3).filter(|&index| hosts[index].last_spend == now && now > 0).collect();
        let lent =
            |index: usize| now < hosts[index].last_spend + loan && hosts[index].last_spend > 0;
        let conflicts =
            spending.iter().any(|&host| (0..3).any(|other| other != host && lent(other)));
        overlap_count += u64::from(conflicts);
    }
    overlap_count
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
    let sent_at = local_time(host.clock_rate, now);
    let is_renewal_lost = rng.f64() < 0.1;
    let is_lease_valid = ordinal.lease_expires_at > now;
    match &mut host.lease {
        Some(lease) => {
            let is_holder = ordinal.holder == Some(index);
            if is_renewal_lost {
                host.next_renewal = now + 1_000;
            } else if is_holder && is_lease_valid {
                ordinal.lease_expires_at = now + ttl;
                lease.record_renewal(RenewalResult::Renewed, sent_at);
                host.next_renewal = now + 5_000;
            } else {
                host.lease = None;
                host.next_renewal = now + 1_000;
            }
        }
        None if !is_lease_valid => {
            let is_unclaimed = ordinal.holder.is_none();
            *ordinal = Ordinal { holder: Some(index), lease_expires_at: now + ttl };
            let mut lease = OrdinalLease::acquired(0, sent_at, sent_at);
            if !is_unclaimed && variant != Variant::NoQuarantine {
                let wait = AllowanceLedger::LOAN_TERM + AllowanceLedger::LOAN_MARGIN;
                lease = lease.quarantine(wait, wait + Duration::from_secs(120));
            }
            host.lease = Some(lease);
            host.next_renewal = now + 5_000;
        }
        None => host.next_renewal = now + 1_000,
    }
}

#[test]
fn floors_are_never_spent_twice() {
    for seed in 0..200 {
        assert_eq!(overlaps(seed, Variant::Correct), 0, "seed {seed}");
    }
}

#[test]
fn each_incorrect_variant_is_detected() {
    for variant in [Variant::NoLeaseCheck, Variant::NoQuarantine] {
        let overlap_count: u64 = (0..200).map(|seed| overlaps(seed, variant)).sum();
        assert!(overlap_count > 0, "{variant:?} was not detected");
    }
}

#[test]
fn an_overdue_holder_spends_only_after_an_attempt_without_the_store() {
    let start = Moment::from_millis(1_000);
    let mut lease = OrdinalLease::acquired(1, start, start);
    let late = start + OrdinalLease::LEASE_TTL;
    assert!(lease.may_use_floors(start));
    assert!(!lease.may_use_floors(late));
    lease.record_renewal(RenewalResult::Unreachable, late);
    assert!(lease.may_use_floors(late + Duration::from_millis(10)));
    assert!(!lease.may_use_floors(late + Duration::from_secs(10)));
    lease.record_renewal(RenewalResult::Gone, late);
    assert!(!lease.may_use_floors(late));
}

#[test]
fn permits_of_a_dead_holder_are_held_back_for_the_longest_request() {
    let start = Moment::from_millis(1_000);
    let lease = OrdinalLease::acquired(1, start, start)
        .quarantine(Duration::from_secs(2), Duration::from_secs(8));
    assert!(!lease.may_use_floors(start + Duration::from_secs(1)));
    assert!(lease.may_use_floors(start + Duration::from_secs(3)));
    assert!(!lease.may_use_permits(start + Duration::from_secs(3)));
    assert!(lease.may_use_permits(start + Duration::from_secs(9)));
}

/// Guards against gaps in the use of permits while a busy host makes one slow renewal attempt after
/// the other and the store does not answer.
#[test]
fn slow_attempts_without_the_store_leave_no_gap_in_the_permits() {
    const SCHEDULING_DELAY: Duration = Duration::from_millis(250);
    const STEP: Duration = Duration::from_millis(10);
    let start = Moment::from_millis(1_000);
    let mut lease = OrdinalLease::acquired(1, start, start);
    let mut sent_at = start + OrdinalLease::RENEWAL_INTERVAL;
    for round in 0..20 {
        let end = sent_at + OrdinalLease::RENEWAL_TIMEOUT;
        let mut now = sent_at;
        while now < end {
            assert!(lease.may_use_permits(now), "round {round}: no permits at {now:?}");
            now = now + STEP;
        }
        lease.record_renewal(RenewalResult::Unreachable, sent_at);
        sent_at = OrdinalLease::next_renewal(RenewalResult::Unreachable, sent_at).max(end)
            + SCHEDULING_DELAY;
    }
}

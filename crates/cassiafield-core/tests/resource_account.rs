//! Who has to make room, and who keeps it, when callers hold much of a host.

use {
    cassiafield_core::{
        ids::{Moment, OrganisationId},
        resources::{
            AcceptVerdict, ByteCount, ConnectionShares, HolderId, HoldingKind, ListenerKind,
            MemoryAccount, ResourceLimits, ResourceSettings,
        },
    },
    std::time::Duration,
};

const BODY: ByteCount = ByteCount::from_mib(4);

fn limits() -> ResourceLimits {
    ResourceLimits::new(ResourceSettings::new(ByteCount::from_mib(100), 1_000))
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(10_000 + millis)
}

/// Opens bodies until there is no room, all at the same moment.
fn fill(account: &mut MemoryAccount, organisation: Option<&OrganisationId>) -> Vec<HolderId> {
    let mut held = Vec::new();
    loop {
        let id = account.open(HoldingKind::RequestBody, organisation.cloned(), at(0));
        if account.charge(id, BODY, at(0)).is_err() {
            account.close(id);
            return held;
        }
        held.push(id);
    }
}

#[test]
fn many_bodies_at_once_leave_room_for_answers_and_for_small_requests() {
    let mut account = MemoryAccount::new(limits());
    let held = fill(&mut account, None);
    assert!(held.len() >= 10 && account.used() <= limits().bodies());
    let small = account.open(HoldingKind::RequestBody, None, at(1));
    assert!(account.charge(small, ByteCount::new(4_096), at(1)).is_ok());
    let answer = account.open(HoldingKind::Answer, None, at(1));
    assert!(account.charge(answer, ByteCount::from_mib(8), at(1)).is_ok());
    assert!(held.iter().all(|id| !account.is_evicted(*id)), "nobody has stalled yet");
}

#[test]
fn bodies_that_stop_short_make_room_and_those_that_arrive_do_not() {
    let mut account = MemoryAccount::new(limits());
    let held = fill(&mut account, None);
    let (sending, stalled) = held.split_at(held.len() / 2);
    for step in 1..=20 {
        for id in sending {
            account.record_progress(*id, 32 * 1_024, at(step * 100));
        }
        // A trickle is less than the progress that is asked for.
        account.record_progress(stalled[0], 1, at(step * 100));
    }
    let next = account.open(HoldingKind::RequestBody, None, at(2_000));
    let refused = account.charge(next, BODY, at(2_000)).expect_err("no room yet");
    assert!(refused.evicted > 0);
    assert!(sending.iter().all(|id| !account.is_evicted(*id)));
    for id in stalled.iter().filter(|id| account.is_evicted(**id)).copied().collect::<Vec<_>>() {
        account.close(id);
    }
    assert!(account.charge(next, BODY, at(2_001)).is_ok());
}

#[test]
fn slow_bodies_stay_while_there_is_room() {
    let mut account = MemoryAccount::new(limits());
    let idle = account.open(HoldingKind::RequestBody, None, at(0));
    assert!(account.charge(idle, BODY, at(0)).is_ok());
    let other = account.open(HoldingKind::RequestBody, None, at(60_000));
    assert!(account.charge(other, BODY, at(60_000)).is_ok());
    assert!(!account.is_evicted(idle));
}

#[test]
fn the_organisation_over_its_share_makes_room_first() {
    let mut account = MemoryAccount::new(limits());
    let [large, small]: [OrganisationId; 2] =
        ["large", "small"].map(|name| name.parse().expect("a name"));
    let first = account.open(HoldingKind::RequestBody, Some(small.clone()), Moment::from_millis(1));
    assert!(account.charge(first, BODY, Moment::from_millis(1)).is_ok());
    let held = fill(&mut account, Some(&large));
    let next = account.open(HoldingKind::RequestBody, Some(small), at(5_000));
    assert!(account.charge(next, BODY, at(5_000)).is_err());
    assert!(!account.is_evicted(first), "although it has stalled for longest");
    assert!(held.iter().any(|id| account.is_evicted(*id)));
}

#[test]
fn requests_that_the_host_works_on_never_make_room() {
    let mut account = MemoryAccount::new(limits());
    let held = fill(&mut account, None);
    for id in &held {
        account.set_waiting(*id, false, at(1));
    }
    let next = account.open(HoldingKind::RequestBody, None, at(60_000));
    let refused = account.charge(next, BODY, at(60_000)).expect_err("no room");
    assert_eq!(refused.evicted, 0);
}

#[test]
fn silent_connections_cannot_take_the_connections_of_other_listeners() {
    let mut shares = ConnectionShares::new(limits());
    let mut trimmed = 0;
    for _ in 0..5_000 {
        match shares.open(ListenerKind::Callers) {
            AcceptVerdict::Accept => {}
            AcceptVerdict::AcceptAndTrim(count) | AcceptVerdict::Refuse(count) => trimmed += count,
        }
    }
    assert!(trimmed > 0, "quiet ones are to make room");
    assert!(shares.count(ListenerKind::Callers) < limits().request_connections());
    for listener in [ListenerKind::Hosts, ListenerKind::Readiness, ListenerKind::Metrics] {
        assert_eq!(shares.open(listener), AcceptVerdict::Accept, "{listener}");
    }
    let open: usize = ListenerKind::ALL.into_iter().map(|listener| shares.count(listener)).sum();
    assert!(open <= 500, "half of the descriptors stay for endpoints, the store and peers");
    shares.close(ListenerKind::Callers);
    assert_ne!(shares.open(ListenerKind::Callers), AcceptVerdict::Refuse(0));
}

#[test]
fn a_quiet_time_shorter_than_a_lost_packet_takes_is_no_stall() {
    assert!(limits().stall_time() > Duration::from_secs(1));
}

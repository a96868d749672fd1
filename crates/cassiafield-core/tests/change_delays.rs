//! How long a change of the configuration takes from the store to the last host, with a fault on
//! each hop. Virtual time, no network.

use {
    cassiafield_core::{
        ids::Moment,
        process::{
            ReadSchedule, ReaderRole, RevisionNotice, StoreReadOutcome, SyncIntervals,
            VersionOrder, VersionVerdict,
        },
    },
    std::{num::NonZeroU32, time::Duration},
};

/// Time of a call that is answered: a quarter of what the calls on the way may take together.
const CALL_TIME: Duration = Duration::from_millis(50);
/// Timeout of a call that gets no answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// What happens to a host's first call to the store after it needs a newer configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallFault {
    None,
    /// The connection is silent.
    Silent,
    /// The connection breaks.
    Broken,
    /// The store refuses the call.
    Refused,
    /// The call before went unanswered, and ended when the host came to need the configuration.
    EarlierUnanswered,
}

const FAULTS: [CallFault; 5] = [
    CallFault::None,
    CallFault::Silent,
    CallFault::Broken,
    CallFault::Refused,
    CallFault::EarlierUnanswered,
];

/// The limits of all deployments, halved and doubled.
fn all_limits() -> impl Iterator<Item = (Duration, SyncIntervals)> {
    let change_limits = [1_000, 1_500, 2_000, 3_000, 4_000, 6_000, 8_000];
    change_limits.into_iter().flat_map(|change_ms| {
        [2_500, 5_000, 10_000].into_iter().map(move |revocation_ms| {
            let change_limit = Duration::from_millis(change_ms);
            let revocation_limit = Duration::from_millis(revocation_ms);
            (change_limit, SyncIntervals::new(change_limit, revocation_limit))
        })
    })
}

/// Numbers of hosts and the store's rate of reads per second, if it has one: fleets of the design sizes,
/// and one for which the rate is far too low.
const FLEETS: [(usize, Option<NonZeroU32>); 5] = [
    (195, None),
    (9, NonZeroU32::new(400)),
    (195, NonZeroU32::new(2_000)),
    (380, NonZeroU32::new(2_000)),
    (10_000, NonZeroU32::new(1)),
];

/// Returns the time from `needed_at` until the host has the newer configuration.
fn read_time(
    schedule: &mut ReadSchedule,
    role: ReaderRole,
    is_awaited: bool,
    fault: CallFault,
    needed_at: Moment,
) -> Duration {
    if fault == CallFault::EarlierUnanswered {
        schedule.record(StoreReadOutcome::Unanswered, needed_at);
        if is_awaited {
            schedule.record_notice();
        }
    }
    let started_at = schedule.next_read_at(role, is_awaited).max(needed_at);
    let second_call_delay = schedule.second_call_delay();
    let (outcome, ended_at) = match (fault, second_call_delay) {
        (CallFault::None | CallFault::EarlierUnanswered, _) => (None, started_at + CALL_TIME),
        (CallFault::Silent, Some(delay)) => (None, started_at + delay + CALL_TIME),
        (CallFault::Broken, Some(_)) => (None, started_at + CALL_TIME + CALL_TIME),
        (CallFault::Silent, None) => {
            (Some(StoreReadOutcome::Unanswered), started_at + CALL_TIMEOUT)
        }
        (CallFault::Broken, None) => (Some(StoreReadOutcome::Unanswered), started_at + CALL_TIME),
        (CallFault::Refused, _) => (Some(StoreReadOutcome::Refused), started_at + CALL_TIME),
    };
    let Some(failure) = outcome else { return ended_at.since(needed_at) };
    schedule.record(failure, ended_at);
    let repeated_at = schedule.next_read_at(role, is_awaited).max(ended_at);
    (repeated_at + CALL_TIME).since(needed_at)
}

/// Returns the time until the reader has a change that just missed its last read.
fn reader_time(intervals: SyncIntervals, fault: CallFault) -> Duration {
    let mut schedule = ReadSchedule::new(intervals);
    let missed_at = Moment::from_millis(10_000);
    schedule.record(StoreReadOutcome::Answered(CALL_TIME), missed_at + CALL_TIME);
    read_time(&mut schedule, ReaderRole::Reader, false, fault, missed_at)
}

/// Returns the time from one host's having the change to the next host's having it, if one message
/// between them is lost.
fn hop_time(
    intervals: SyncIntervals,
    hosts: usize,
    role: ReaderRole,
    fault: CallFault,
) -> Duration {
    let mut schedule = ReadSchedule::new(intervals);
    let heard_at = Moment::from_millis(20_000);
    schedule.record(StoreReadOutcome::Answered(CALL_TIME), Moment::from_millis(15_000));
    let notice_delay = intervals.notice_delay(hosts);
    notice_delay + read_time(&mut schedule, role, true, fault, heard_at)
}

/// Guards against a change that is in force too late on a host behind its zone's leader because one
/// call got no answer.
#[test]
fn a_change_arrives_within_its_limit_despite_a_failed_call_on_each_hop() {
    let mut late = Vec::new();
    let fleets = || FLEETS.into_iter();
    for ((change_limit, intervals), (hosts, rate)) in
        all_limits().flat_map(|limits| fleets().map(move |fleet| (limits, fleet)))
    {
        let intervals = intervals.with_store_reads(rate);
        let has_fleet_reader = intervals.allows_fleet_reader();
        let leader_faults = if has_fleet_reader { &FAULTS[..] } else { &FAULTS[..1] };
        for first in FAULTS {
            for &second in leader_faults {
                for third in FAULTS {
                    let mut time = reader_time(intervals, first);
                    if has_fleet_reader {
                        time += hop_time(intervals, hosts, ReaderRole::Leader, second);
                    }
                    time += hop_time(intervals, hosts, ReaderRole::Member, third);
                    if time > change_limit {
                        late.push((time, change_limit, hosts, first, second, third));
                    }
                }
            }
        }
    }
    let worst = late.iter().max_by_key(|(time, change_limit, ..)| *time - *change_limit);
    assert!(late.is_empty(), "{} cases are late, the worst: {worst:?}", late.len());
}

/// Guards against a fleet whose reads after a notice use up the store's rate, so that it refuses calls.
#[test]
fn reads_after_a_notice_take_at_most_half_of_the_rate_of_the_store() {
    const WINDOW: Duration = Duration::from_millis(100);
    for (change_ms, revocation_ms) in [(2_000, 5_000), (4_000, 5_000)] {
        let change_limit = Duration::from_millis(change_ms);
        let limits = SyncIntervals::new(change_limit, Duration::from_millis(revocation_ms));
        for (hosts, rate) in [(9_u32, 400_u32), (195, 2_000), (380, 2_000)] {
            let intervals = limits.with_store_reads(NonZeroU32::new(rate));
            let fleet = usize::try_from(hosts).expect("small");
            let spread = intervals.notice_spread(fleet);
            // Each random delay is replaced by its mean among the ordered delays.
            let delay = |host| spread.mul_f64(f64::from(host) / f64::from(hosts + 1));
            let delays: Vec<_> = (1..=hosts).map(delay).collect();
            let reads_from = |start: Duration| {
                delays.iter().filter(|delay| (start..start + WINDOW).contains(*delay)).count()
            };
            let busiest = delays.iter().map(|start| reads_from(*start)).max().expect("hosts");
            let half = usize::try_from(rate / 10 / 2).expect("small");
            assert!(busiest < half, "{hosts} hosts, {spread:?}: {busiest} reads, half is {half}");
        }
    }
}

/// Guards against accepted ages that add up: a host takes the oldest data that it may take from its
/// leader, whose calls fail, and its next query is lost.
#[test]
fn a_change_arrives_within_its_limit_after_the_oldest_accepted_data() {
    let mut late = Vec::new();
    for (change_limit, intervals) in all_limits() {
        for fault in [CallFault::None, CallFault::Silent, CallFault::Broken] {
            let mut schedule = ReadSchedule::new(intervals);
            schedule.record(StoreReadOutcome::Answered(CALL_TIME), Moment::from_millis(10_000));
            let needed_at = Moment::from_millis(20_000);
            let time = intervals.max_peer_data_age()
                + intervals.query_interval()
                + SyncIntervals::QUERY_TIMEOUT
                + read_time(&mut schedule, ReaderRole::Member, false, fault, needed_at);
            if time > change_limit {
                late.push((time, change_limit, fault));
            }
        }
    }
    let worst = late.iter().max_by_key(|(time, change_limit, _)| *time - *change_limit);
    assert!(late.is_empty(), "{} cases are late, the worst: {worst:?}", late.len());
}

/// Guards against more calls in a calm fleet: the oldest data of a leader whose calls are answered
/// is accepted by its members.
#[test]
fn members_need_no_reads_of_their_own_while_their_leader_reads() {
    for (change_limit, intervals) in all_limits() {
        let oldest = CALL_TIME + intervals.read_interval();
        assert!(oldest <= intervals.max_peer_data_age(), "{change_limit:?}: {oldest:?}");
    }
}

/// Guards against a store that is slow or down and gets each call twice.
#[test]
fn a_slow_or_silent_store_gets_no_second_calls() {
    let intervals = SyncIntervals::new(Duration::from_secs(2), Duration::from_secs(5));
    let mut schedule = ReadSchedule::new(intervals);
    assert!(schedule.second_call_delay().is_some());
    let now = Moment::from_millis(1_000);
    for outcome in [StoreReadOutcome::Answered(CALL_TIMEOUT), StoreReadOutcome::Unanswered] {
        schedule.record(outcome, now);
        assert_eq!(schedule.second_call_delay(), None, "{outcome:?}");
        schedule.record(StoreReadOutcome::Answered(CALL_TIME), now);
        assert!(schedule.second_call_delay().is_some());
    }
}

/// Guards against a store that refuses the calls of many hosts and gets them at a constant rate.
#[test]
fn reads_of_an_awaited_revision_that_the_store_refuses_become_rare() {
    let intervals = SyncIntervals::new(Duration::from_secs(2), Duration::from_secs(5));
    let mut schedule = ReadSchedule::new(intervals);
    let mut now = Moment::from_millis(1_000);
    let mut reads = 0;
    while now < Moment::from_millis(21_000) {
        schedule.record(StoreReadOutcome::Refused, now);
        now = schedule.next_read_at(ReaderRole::Member, true);
        reads += 1;
    }
    let unawaited = 20_000 / u32::try_from(intervals.outage_backoff().as_millis()).expect("short");
    assert!(reads <= unawaited + 4, "{reads} reads, {unawaited} without notice");
}

/// Guards against a host that reads the store with each message of a peer whose revision the store
/// has lost.
#[test]
fn a_revision_that_the_store_does_not_have_is_read_once() {
    let mut notice = RevisionNotice::default();
    let at = Moment::from_millis;
    assert!(notice.record(9, 7, at(100)));
    assert!(!notice.record(9, 7, at(250)), "repeated by each message");
    // A read that began before the notice proves nothing.
    notice.record_answer(7, at(90));
    assert!(notice.is_awaited(7));
    notice.record_answer(7, at(110));
    assert!(!notice.is_awaited(7));
    // Peers that have different lost revisions mention them in turn.
    assert!(!notice.record(9, 7, at(400)));
    assert!(!notice.record(8, 7, at(500)));
    assert!(!notice.is_awaited(7));
    assert!(notice.record(10, 7, at(600)));
    assert!(notice.is_awaited(7));
    notice.record_answer(10, at(610));
    assert!(!notice.is_awaited(10));
    // Revisions may be given out again.
    assert!(notice.record(9, 8, at(700)));
    assert!(notice.is_awaited(8));
}

/// Guards against a revision that goes back: hosts with it would confirm an older version to each
/// other as the newest.
#[test]
fn a_slow_answer_does_not_lower_the_revision() {
    let at = Moment::from_millis;
    let mut order = VersionOrder::default();
    assert_eq!(order.record(2, 20, at(100), at(110)), VersionVerdict::Newer);
    assert_eq!(order.record(3, 30, at(200), at(210)), VersionVerdict::Newer);
    assert_eq!(order.record(2, 20, at(150), at(900)), VersionVerdict::Outdated);
    assert_eq!((order.version(), order.revision()), (3, 30));
    // The same version may be written again; an older one is not taken and confirms the newer one.
    assert_eq!(order.record(3, 31, at(1_000), at(1_010)), VersionVerdict::Confirmed);
    assert_eq!(order.record(1, 32, at(1_100), at(1_110)), VersionVerdict::Confirmed);
    assert_eq!((order.version(), order.revision()), (3, 32));
}

/// Guards against a host that stays behind after the store has lost its last revisions.
#[test]
fn a_newer_version_is_taken_from_a_store_that_has_gone_back() {
    let at = Moment::from_millis;
    let mut order = VersionOrder::default();
    assert_eq!(order.record(3, 30, at(100), at(110)), VersionVerdict::Newer);
    assert_eq!(order.record(2, 20, at(200), at(210)), VersionVerdict::Outdated);
    assert_eq!(order.record(3, 25, at(300), at(310)), VersionVerdict::Confirmed);
    assert_eq!(order.record(4, 28, at(400), at(410)), VersionVerdict::Newer);
    assert_eq!((order.version(), order.revision()), (4, 28));
}

/// Guards against hosts that never confirm a version to each other because some have it by the number
/// that the store gave it before a loss: each of them would read the store at every query.
#[test]
fn a_version_that_is_written_again_after_a_loss_gets_its_new_revision() {
    let at = Moment::from_millis;
    let mut order = VersionOrder::default();
    assert_eq!(order.record(3, 30, at(100), at(110)), VersionVerdict::Newer);
    assert_eq!(order.record(3, 25, at(300), at(310)), VersionVerdict::Confirmed);
    assert_eq!((order.version(), order.revision()), (3, 25));
    // An answer to an earlier call lowers nothing.
    assert_eq!(order.record(3, 28, at(400), at(410)), VersionVerdict::Confirmed);
    assert_eq!(order.record(3, 25, at(350), at(420)), VersionVerdict::Outdated);
    assert_eq!((order.version(), order.revision()), (3, 28));
}

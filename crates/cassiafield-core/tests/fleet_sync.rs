//! How hosts get the store's data at size: who reads the store, and how old the data of a host gets.
//! Virtual time, no network.

use {
    cassiafield_core::{
        ids::{HostId, Moment, ZoneId},
        process::{SyncIntervals, ZoneLeaders, ZoneMembers},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Interval between two messages of a zone's leader to the other zones.
const MESSAGE_INTERVAL_MS: u64 = 300;
const STEP_MS: u64 = 20;

fn zone(index: usize) -> ZoneId {
    format!("zone-{index:02}").parse().expect("a valid name")
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7_000 + u16::try_from(index).expect("few zones")))
}

fn large_limits() -> SyncIntervals {
    SyncIntervals::new(Duration::from_secs(4), Duration::from_secs(5))
}

/// The leaders of all zones, each with the time as of which its data is current.
struct LeaderFleet {
    intervals: SyncIntervals,
    leaders: Vec<ZoneLeaders>,
    current_at: Vec<Moment>,
    next_sync: Vec<Moment>,
    reads: BTreeMap<usize, u32>,
}

impl LeaderFleet {
    fn new(zones: usize, intervals: SyncIntervals) -> Self {
        Self {
            intervals,
            leaders: vec![ZoneLeaders::default(); zones],
            current_at: vec![Moment::ORIGIN; zones],
            next_sync: vec![Moment::ORIGIN; zones],
            reads: BTreeMap::new(),
        }
    }

    /// Runs from `from` to `until`; leaders that are not in the same part do not reach each other.
    ///
    /// Returns the greatest age of a leader's data.
    fn run(&mut self, from: u64, until: u64, part_of: impl Fn(usize) -> usize) -> Duration {
        let mut oldest = Duration::ZERO;
        for millis in (from..until).step_by(STEP_MS as usize) {
            let now = Moment::from_millis(millis);
            for one in 0..self.leaders.len() {
                for other in 0..self.leaders.len() {
                    let is_reached = one != other && part_of(one) == part_of(other);
                    if is_reached && millis % MESSAGE_INTERVAL_MS < STEP_MS {
                        self.leaders[one].record(zone(other), address(other), 1, now);
                    }
                }
                if now >= self.next_sync[one] {
                    self.sync(one, now, &part_of);
                }
                if millis > from + 2_000 {
                    oldest = oldest.max(now.since(self.current_at[one]));
                }
            }
        }
        oldest
    }

    fn sync(&mut self, one: usize, now: Moment, part_of: impl Fn(usize) -> usize) {
        let reader = self.leaders[one].reader(&zone(one), now);
        let reader = reader.filter(|_| self.intervals.allows_fleet_reader());
        if let Some(reader) = reader {
            let index = (0..self.leaders.len()).find(|index| address(*index) == reader);
            let index = index.expect("a known address");
            let age = now.since(self.current_at[index]);
            if part_of(index) == part_of(one) && age <= self.intervals.max_peer_data_age() {
                self.current_at[one] = self.current_at[one].max(self.current_at[index]);
                self.next_sync[one] = now + self.intervals.query_interval();
                return;
            }
        }
        *self.reads.entry(one).or_default() += 1;
        self.current_at[one] = now;
        self.next_sync[one] = now + self.intervals.read_interval();
    }

    fn take_reads(&mut self) -> u32 {
        std::mem::take(&mut self.reads).into_values().sum()
    }
}

#[test]
fn reads_of_the_store_do_not_grow_with_the_zones() {
    let mut reads = Vec::new();
    for zones in [2, 5, 19] {
        let mut fleet = LeaderFleet::new(zones, large_limits());
        fleet.run(0, 5_000, |_| 0);
        fleet.take_reads();
        let oldest = fleet.run(5_000, 25_000, |_| 0);
        let count = fleet.take_reads();
        println!(
            "{zones} zones: {count} reads in 20 s, data at most {} ms old",
            oldest.as_millis()
        );
        assert!(oldest <= large_limits().max_peer_data_age(), "{zones} zones: {oldest:?}");
        reads.push(count);
    }
    assert!(reads.iter().all(|count| *count <= 30), "{reads:?}");
}

#[test]
fn each_part_of_a_partitioned_fleet_has_a_reader() {
    let mut fleet = LeaderFleet::new(5, large_limits());
    fleet.run(0, 5_000, |_| 0);
    let oldest = fleet.run(5_000, 15_000, |zone| usize::from(zone < 2));
    assert!(oldest <= large_limits().max_peer_data_age(), "{oldest:?}");
    fleet.take_reads();
    let oldest = fleet.run(15_000, 25_000, |_| 0);
    assert!(oldest <= large_limits().max_peer_data_age(), "{oldest:?}");
    assert!(fleet.take_reads() <= 20, "one reader after the partition");
}

#[test]
fn without_time_for_another_query_each_zone_reads_for_itself() {
    let intervals = SyncIntervals::new(Duration::from_secs(2), Duration::from_secs(5));
    assert!(!intervals.allows_fleet_reader());
    let mut fleet = LeaderFleet::new(3, intervals);
    let oldest = fleet.run(0, 10_000, |_| 0);
    assert!(oldest <= intervals.read_interval() + Duration::from_millis(STEP_MS));
}

/// The limits of all deployments, halved and doubled.
#[test]
fn every_limit_leaves_time_for_the_whole_way_of_a_change() {
    for change_ms in [1_000, 1_500, 2_000, 3_000, 4_000, 6_000, 8_000] {
        for revocation_ms in [2_500, 5_000, 10_000] {
            let change_limit = Duration::from_millis(change_ms);
            let revocation_limit = Duration::from_millis(revocation_ms);
            let intervals = SyncIntervals::new(change_limit, revocation_limit);
            let queries = if intervals.allows_fleet_reader() { 2 } else { 1 };
            let way = intervals.read_interval() + intervals.query_interval() * queries;
            assert!(way <= change_limit * 7 / 10, "{change_ms} ms: {way:?}");
            // Data that is used until the next query must stay within both limits, and a host with it
            // counts as ready.
            let oldest = intervals.max_peer_data_age() + intervals.query_interval();
            assert!(oldest < change_limit, "{change_ms} ms: {oldest:?}");
            assert!(oldest <= revocation_limit / 2, "{revocation_ms} ms: {oldest:?}");
        }
    }
}

fn host(index: usize) -> HostId {
    format!("host-{index:03}").parse().expect("a valid name")
}

/// The streams of a zone are resumed out of the leader's budget; when the leader stops, the next host
/// must lead before it has gone.
#[test]
fn a_stopping_leader_is_replaced_while_it_still_runs() {
    let mut members = ZoneMembers::default();
    for millis in (0..5_000).step_by(150) {
        let now = Moment::from_millis(millis);
        members.record(&host(0), millis >= 3_000, now);
        members.record(&host(1), false, now);
        let leader = members.leader(&host(2), false, now).clone();
        assert_eq!(leader, if millis >= 3_000 { host(1) } else { host(0) }, "at {millis} ms");
        let first = host(0);
        let seen_by_itself = members.leader(&first, millis >= 3_000, now);
        assert_eq!(*seen_by_itself, leader, "at {millis} ms");
    }
}

#[test]
fn a_leader_that_falls_silent_is_replaced_within_a_second() {
    let mut members = ZoneMembers::default();
    members.record(&host(0), false, Moment::from_millis(10_000));
    members.record(&host(1), false, Moment::from_millis(10_900));
    assert_eq!(*members.leader(&host(2), false, Moment::from_millis(10_600)), host(0));
    assert_eq!(*members.leader(&host(2), false, Moment::from_millis(11_000)), host(1));
    assert_eq!(members.live(Moment::from_millis(11_000)).count(), 2);
}

#[test]
fn a_zone_of_stopping_hosts_still_has_a_leader() {
    let mut members = ZoneMembers::default();
    let now = Moment::from_millis(10_000);
    members.record(&host(1), true, now);
    assert_eq!(*members.leader(&host(0), true, now), host(0));
    assert_eq!(*members.leader(&host(2), true, now), host(1));
    assert_eq!(*members.leader(&host(2), false, now), host(2));
}

/// All hosts of a zone start at the same time, as after a loss of power.
#[test]
fn hosts_that_start_together_agree_on_one_leader() {
    for count in [1, 3, 39, 200] {
        let mut views: Vec<ZoneMembers> = vec![ZoneMembers::default(); count];
        let now = Moment::from_millis(1_000);
        for (index, view) in views.iter_mut().enumerate() {
            for other in (0..count).filter(|other| *other != index) {
                view.record(&host(other), false, now);
            }
        }
        for (index, view) in views.iter().enumerate() {
            assert_eq!(*view.leader(&host(index), false, now), host(0), "{count} hosts");
        }
    }
}

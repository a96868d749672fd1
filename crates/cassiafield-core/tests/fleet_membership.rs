//! Which hosts count as part of the fleet while the platform's store loses entries, is away or answers
//! with old ones, and while messages are lost.

use {
    cassiafield_core::{
        ids::{HostId, Moment, ZoneId},
        process::{FleetIntervals, FleetMembership, ListedHost},
    },
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    },
};

const ZONES: usize = 2;
const HOSTS: usize = 6;
/// Interval between two lists in these tests.
const INTERVAL_MS: u64 = 1_800;

fn at(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().expect("a name")
}

fn zone(number: usize) -> ZoneId {
    format!("z{}", number % ZONES).parse().expect("a name")
}

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + u16::try_from(number).expect("a port"))
}

fn list(numbers: impl IntoIterator<Item = usize>) -> BTreeMap<HostId, ListedHost> {
    let entry = |number| ListedHost {
        zone: zone(number),
        peer_address: address(number),
        carry_address: None,
        carry_token: 1,
    };
    numbers.into_iter().map(|number| (host(number), entry(number))).collect()
}

/// Records messages of hosts of the own zone, and the count of the other zone's leader.
fn hear(membership: &mut FleetMembership, numbers: &[usize], ms: u64) {
    for number in numbers.iter().filter(|number| **number % ZONES == 0) {
        membership.record_message(&host(*number), SocketAddr::V4(address(*number)), at(ms));
    }
    let foreign = numbers.iter().filter(|number| **number % ZONES == 1).count();
    if foreign > 0 {
        membership.record_zone_message(&zone(1), foreign, at(ms));
    }
}

/// Returns the membership of host 0, which has known all hosts for a while.
fn settled() -> FleetMembership {
    let mut membership = FleetMembership::new(host(0), zone(0), false);
    for round in 0..10 {
        let ms = round * INTERVAL_MS;
        membership.record_list(list(0..HOSTS), at(ms));
        hear(&mut membership, &[1, 2, 3, 4, 5], ms);
    }
    membership
}

/// Time after the last list of [`settled`].
const SETTLED_MS: u64 = 10 * INTERVAL_MS;

/// Guards against a list without hosts that run, of which each part takes itself for the whole fleet.
#[test]
fn no_list_ends_a_host_whose_messages_arrive() {
    for listed in [vec![], vec![0], vec![0, 3], vec![1, 2], vec![0, 1, 2, 4]] {
        let mut membership = settled();
        for round in 0..60 {
            let ms = SETTLED_MS + round * INTERVAL_MS;
            hear(&mut membership, &[1, 2, 3, 4, 5], ms);
            membership.record_list(list(listed.iter().copied()), at(ms));
            assert_eq!(membership.fleet_hosts(), HOSTS, "{listed:?} after {round} lists");
            assert_eq!(membership.zone_hosts(), HOSTS / ZONES);
            assert_eq!(membership.foreign_addresses().len(), HOSTS / ZONES);
        }
    }
}

/// Guards against zones that are cut from each other while the store has lost all entries, and forget
/// each other before the entries are back.
#[test]
fn hosts_that_are_silent_and_not_yet_listed_again_are_kept() {
    let mut membership = settled();
    let silent_ms = u64::try_from(FleetIntervals::ENTRY_TTL.as_millis()).expect("short");
    for ms in (SETTLED_MS..SETTLED_MS + silent_ms).step_by(1_800) {
        membership.record_disturbance(at(ms));
        hear(&mut membership, &[2, 4], ms);
    }
    let returned = SETTLED_MS + silent_ms;
    for (after, listed) in
        [(0, vec![]), (1_800, vec![0]), (3_600, vec![0, 2]), (5_400, vec![0, 2, 4, 1])]
    {
        hear(&mut membership, &[2, 4], returned + after);
        membership.record_list(list(listed), at(returned + after));
        assert_eq!(membership.fleet_hosts(), HOSTS, "{after} ms after the return");
    }
    membership.record_list(list(0..HOSTS), at(returned + 7_200));
    assert_eq!(membership.fleet_hosts(), HOSTS);
}

/// Guards against a limit that is divided by hosts that have ended long ago.
#[test]
fn hosts_that_have_ended_are_forgotten_with_their_lease() {
    let mut membership = settled();
    let lease_ms = u64::try_from(FleetIntervals::ENTRY_TTL.as_millis()).expect("short");
    let mut forgotten_ms = None;
    for ms in
        (SETTLED_MS..SETTLED_MS + 30_000).step_by(usize::try_from(INTERVAL_MS).expect("short"))
    {
        hear(&mut membership, &[2, 3], ms);
        let is_leased = ms < SETTLED_MS + lease_ms;
        let listed = if is_leased { vec![0, 1, 2, 3, 4, 5] } else { vec![0, 2, 3] };
        let ended = membership.record_list(list(listed), at(ms));
        if !ended.is_empty() {
            assert_eq!(ended, [host(1), host(4), host(5)].into());
            forgotten_ms.get_or_insert(ms - SETTLED_MS);
        }
    }
    assert_eq!(membership.fleet_hosts(), 3);
    let forgotten_ms = forgotten_ms.expect("the hosts are forgotten");
    assert!(forgotten_ms <= lease_ms + INTERVAL_MS, "{forgotten_ms} ms");
}

/// Guards against hosts that ended around a lapse and are counted for good.
#[test]
fn hosts_that_ended_while_the_store_was_away_are_forgotten_after_its_return() {
    let mut membership = settled();
    for ms in (SETTLED_MS..SETTLED_MS + 12_000).step_by(1_800) {
        membership.record_disturbance(at(ms));
    }
    let returned = SETTLED_MS + 12_600;
    let mut forgotten_ms = None;
    for after in (0..30_000).step_by(1_800) {
        hear(&mut membership, &[2], returned + after);
        // Single calls fail on.
        if after % 5_400 == 0 {
            membership.record_disturbance(at(returned + after));
        }
        membership.record_list(list([0, 2]), at(returned + after));
        if membership.fleet_hosts() == 2 {
            forgotten_ms.get_or_insert(after);
        }
    }
    let reentry_ms = u64::try_from(FleetMembership::REENTRY_TIME.as_millis()).expect("short");
    let forgotten_ms = forgotten_ms.expect("the hosts are forgotten");
    assert!((reentry_ms..=reentry_ms + INTERVAL_MS).contains(&forgotten_ms), "{forgotten_ms} ms");
}

/// Guards against a host that starts just after a lapse and takes an incomplete list for the fleet.
#[test]
fn a_host_that_starts_knows_the_fleet_once_all_others_must_be_listed() {
    let mut membership = FleetMembership::new(host(0), zone(0), false);
    assert!(!membership.is_known());
    for (ms, listed) in [(0, vec![]), (1_800, vec![0]), (3_600, vec![0, 1]), (7_200, vec![0, 1, 2])]
    {
        membership.record_list(list(listed), at(ms));
        assert!(!membership.is_known(), "{ms} ms");
        assert_eq!(membership.hosts_to_report(), None);
    }
    membership.record_list(list(0..HOSTS), at(10_000));
    assert!(membership.is_known());
    assert_eq!(membership.hosts_to_report(), Some(HOSTS));
}

/// Guards against time that counts although the host's own entry was lost in it.
#[test]
fn the_time_until_a_fleet_is_known_begins_anew_with_each_disturbance() {
    let mut membership = FleetMembership::new(host(0), zone(0), false);
    membership.record_list(list([0]), at(0));
    membership.record_disturbance(at(6_000));
    membership.record_list(list([0]), at(7_000));
    membership.record_list(list([0, 1]), at(12_000));
    assert!(!membership.is_known());
    membership.record_list(list(0..HOSTS), at(15_000));
    assert!(membership.is_known());
}

/// Guards against a new host that stops a zone's turns although its peers know the fleet, and against
/// numbers that never fall.
#[test]
fn a_host_that_starts_takes_the_number_of_its_peers_until_its_own_list_is_complete() {
    let mut membership = FleetMembership::new(host(0), zone(0), false);
    membership.record_reported_hosts(HOSTS);
    membership.record_reported_hosts(2);
    assert!(membership.is_known());
    assert_eq!(membership.fleet_hosts(), HOSTS);
    assert_eq!(membership.hosts_to_report(), None, "what peers have reported is not passed on");
    membership.record_list(list([0, 1]), at(0));
    assert_eq!(membership.fleet_hosts(), HOSTS);
    membership.record_list(list([0, 1]), at(8_000));
    membership.record_reported_hosts(HOSTS);
    assert_eq!(membership.fleet_hosts(), 2);
}

/// Guards against a fleet that starts for the first time and serves nothing until its lists settle.
#[test]
fn a_fleet_that_starts_for_the_first_time_is_known_once_this_host_is_listed() {
    let mut membership = FleetMembership::new(host(0), zone(0), true);
    membership.record_list(list([]), at(0));
    assert!(!membership.is_known());
    membership.record_list(list([0, 1, 2]), at(0));
    assert!(membership.is_known());
    assert_eq!(membership.fleet_hosts(), 3);
    membership.record_message(&host(4), SocketAddr::V4(address(4)), at(100));
    assert_eq!(membership.fleet_hosts(), 4);
    membership.record_reported_hosts(HOSTS);
    assert_eq!(membership.fleet_hosts(), HOSTS);
}

/// Guards against a host that is counted twice, or gets no messages, after it has started at another
/// address under its name.
#[test]
fn a_host_at_a_new_address_is_one_host() {
    let mut membership = settled();
    let moved = SocketAddr::V4(address(40));
    assert!(!membership.record_message(&host(2), moved, at(SETTLED_MS)));
    assert_eq!(membership.fleet_hosts(), HOSTS);
    membership.record_list(list([0, 1, 3, 4, 5]), at(SETTLED_MS));
    assert_eq!(membership.peer_address(&host(2)), Some(moved));
    let mut found = list(0..HOSTS);
    found.get_mut(&host(2)).expect("listed").peer_address = address(41);
    membership.record_list(found, at(SETTLED_MS + 100));
    assert_eq!(membership.peer_address(&host(2)), Some(SocketAddr::V4(address(41))));
    assert_eq!(membership.zone_addresses().len(), HOSTS / ZONES - 1);
}

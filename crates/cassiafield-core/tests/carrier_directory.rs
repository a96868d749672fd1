//! Which hosts carry requests for those that have no way to endpoints.

use {
    cassiafield_core::{
        ids::{HostId, Moment, ServiceId, ZoneId},
        process::{CarrierDirectory, CarrierStatus, ListedHost},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::{Ipv4Addr, SocketAddrV4},
        time::Duration,
    },
};

const NOW: Moment = Moment::from_millis(100_000);

fn host(number: usize) -> HostId {
    format!("host-{number:02}").parse().expect("a name")
}

fn zone(number: usize) -> ZoneId {
    format!("z{number}").parse().expect("a name")
}

fn service() -> ServiceId {
    "model".parse().expect("a name")
}

fn lost() -> CarrierStatus {
    CarrierStatus { is_stopping: false, lost: BTreeSet::from([service()]) }
}

/// Lists `hosts` hosts in turn over `zones` zones, without the host `own`.
fn listed(hosts: usize, zones: usize, own: usize) -> BTreeMap<HostId, ListedHost> {
    let others = (0..hosts).filter(|number| *number != own);
    let address = |number| {
        SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + u16::try_from(number).expect("a port"))
    };
    let entry = |number| ListedHost {
        zone: zone(number % zones),
        peer_address: address(number),
        carry_address: Some(address(number)),
        carry_token: 10 + u64::try_from(number).expect("a small number"),
    };
    others.map(|number| (host(number), entry(number))).collect()
}

/// Returns what host `own` knows if the hosts in `cut` have no way and all messages arrive.
fn directory(hosts: usize, zones: usize, own: usize, cut: &BTreeSet<usize>) -> CarrierDirectory {
    let mut known = CarrierDirectory::default();
    known.set_hosts(listed(hosts, zones, own));
    let status =
        |number: &usize| if cut.contains(number) { lost() } else { CarrierStatus::default() };
    for number in (0..hosts).filter(|number| number % zones == own % zones) {
        known.record_host(&host(number), status(&number), NOW);
    }
    for other in (0..zones).filter(|other| *other != own % zones) {
        let unfit: BTreeMap<HostId, CarrierStatus> = cut
            .iter()
            .filter(|number| *number % zones == other)
            .map(|number| (host(*number), lost()))
            .collect();
        known.record_zone(&zone(other), &unfit, NOW);
    }
    known
}

fn choose(known: &CarrierDirectory, own_zone: usize, spread: f64, now: Moment) -> Option<HostId> {
    known.choose(&service(), &zone(own_zone), &[], spread, now).map(|carrier| carrier.host)
}

#[test]
fn a_host_alone_has_no_carrier() {
    assert_eq!(choose(&directory(1, 1, 0, &BTreeSet::from([0])), 0, 0.5, NOW), None);
}

#[test]
fn hosts_of_the_own_zone_go_first() {
    let known = directory(9, 3, 0, &BTreeSet::from([0]));
    for step in 0..10 {
        let chosen = choose(&known, 0, f64::from(step) / 10.0, NOW).expect("a host");
        assert!([host(3), host(6)].contains(&chosen), "{chosen}");
    }
}

#[test]
fn the_hosts_of_other_zones_carry_for_a_whole_zone() {
    let known = directory(9, 3, 0, &BTreeSet::from([0, 3, 6]));
    let chosen = choose(&known, 0, 0.5, NOW).expect("a host");
    assert!(![host(3), host(6)].contains(&chosen), "{chosen}");
}

#[test]
fn no_host_is_chosen_that_is_cut_stopping_or_silent() {
    let cut: BTreeSet<usize> = (0..9).collect();
    assert_eq!(choose(&directory(9, 3, 0, &cut), 0, 0.5, NOW), None);
    let mut known = directory(3, 1, 0, &BTreeSet::from([0]));
    let stopping = CarrierStatus { is_stopping: true, lost: BTreeSet::new() };
    known.record_host(&host(1), stopping, NOW);
    assert_eq!(choose(&known, 0, 0.0, NOW), Some(host(2)));
    assert_eq!(choose(&known, 0, 0.0, NOW + Duration::from_secs(2)), None);
}

#[test]
fn a_host_that_takes_no_requests_of_others_is_asked_only_what_it_reaches() {
    let mut hosts = listed(2, 1, 0);
    for entry in hosts.values_mut() {
        entry.carry_address = None;
    }
    let mut known = CarrierDirectory::default();
    known.set_hosts(hosts);
    known.record_host(&host(1), CarrierStatus::default(), NOW);
    assert_eq!(choose(&known, 0, 0.0, NOW), None);
    assert_eq!(known.witnesses(&service(), &zone(0), 2, 0.5, NOW).len(), 1);
}

/// Guards against asking the same hosts each time: those that are cut as well know of no way.
#[test]
fn every_fit_host_is_asked_sooner_or_later() {
    for hosts in [9, 87] {
        let known = directory(hosts, 3, 0, &BTreeSet::new());
        let mut asked = BTreeSet::new();
        for step in 0..hosts {
            let spread = step as f64 / hosts as f64;
            let chosen = known.witnesses(&service(), &zone(0), 3, spread, NOW);
            assert!(chosen.len() <= 6);
            asked.extend(chosen);
        }
        assert_eq!(asked.len(), hosts - 1);
    }
}

#[test]
fn only_the_token_of_a_listed_host_shows_that_a_note_is_its_own() {
    let mut hosts = listed(3, 1, 0);
    hosts.get_mut(&host(2)).expect("a host").carry_token = 0;
    let mut known = CarrierDirectory::default();
    known.set_hosts(hosts);
    assert!(known.is_token_of(&host(1), 11));
    assert!(!known.is_token_of(&host(1), 12));
    assert!(!known.is_token_of(&host(2), 0));
    assert!(!known.is_token_of(&host(7), 17));
}

#[test]
fn a_host_that_refused_or_did_not_answer_is_left_alone_for_a_while() {
    let mut known = directory(3, 1, 0, &BTreeSet::from([0]));
    known.record_refusal(&host(1), NOW);
    known.record_failure(&host(2), NOW);
    assert_eq!(choose(&known, 0, 0.0, NOW), None);
    assert_eq!(choose(&known, 0, 0.0, NOW + Duration::from_millis(300)), Some(host(1)));
    assert_eq!(choose(&known, 0, 1.0, NOW + Duration::from_millis(1_000)), Some(host(2)));
}

#[test]
fn what_is_known_of_a_host_survives_a_new_list() {
    let mut known = directory(3, 1, 0, &BTreeSet::from([0, 1]));
    known.record_start(&host(2));
    known.set_hosts(listed(4, 1, 0));
    assert_eq!(choose(&known, 0, 0.0, NOW), Some(host(2)));
    known.set_hosts(listed(2, 1, 0));
    assert_eq!(choose(&known, 0, 0.0, NOW), None);
}

#[test]
fn a_zone_names_those_of_its_hosts_that_are_not_fit() {
    let known = directory(9, 3, 0, &BTreeSet::from([3]));
    let unfit = known.unfit(&zone(0), NOW);
    assert_eq!(unfit.keys().cloned().collect::<Vec<_>>(), [host(3)]);
    let later = known.unfit(&zone(0), NOW + Duration::from_secs(2));
    assert_eq!(later.keys().cloned().collect::<Vec<_>>(), [host(3), host(6)]);
}

/// Guards against one host that carries for all: with two thirds cut, in any zones, the fit hosts carry
/// alike, within their own zone and beyond it.
#[test]
fn fit_hosts_carry_alike() {
    for (hosts, zones) in [(9, 1), (9, 3), (87, 3), (87, 8)] {
        for offset in 0..zones {
            let cut: BTreeSet<usize> =
                (0..hosts).filter(|number| (number / zones + offset) % 3 != 0).collect();
            let mut directories: BTreeMap<usize, CarrierDirectory> =
                cut.iter().map(|own| (*own, directory(hosts, zones, *own, &cut))).collect();
            let mut carried: BTreeMap<HostId, u32> = BTreeMap::new();
            let mut generator = fastrand::Rng::with_seed(7);
            for _ in 0..60 {
                for (own, known) in &mut directories {
                    let chosen = choose(known, own % zones, generator.f64(), NOW).expect("a host");
                    known.record_start(&chosen);
                    *carried.entry(chosen).or_default() += 1;
                }
            }
            let by_zone = |wanted: usize| -> Vec<u32> {
                (0..hosts)
                    .filter(|number| number % zones == wanted && !cut.contains(number))
                    .map(|number| carried.get(&host(number)).copied().unwrap_or(0))
                    .collect()
            };
            for wanted in 0..zones {
                let counts = by_zone(wanted);
                let (least, most) = (counts.iter().min(), counts.iter().max());
                let (Some(least), Some(most)) = (least, most) else { continue };
                assert!(most - least <= most / 4 + 2, "{hosts}/{zones} {counts:?}");
            }
        }
    }
}

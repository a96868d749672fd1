//! Many hosts that share the connections of few first endpoints.

use {
    cassiafield_core::{
        connections::{ConnectionCap, ConnectionPlan, IdleAllowance},
        ids::{EndpointId, HostId},
    },
    std::{collections::BTreeMap, time::Duration},
};

const ADVERTISED: Duration = Duration::from_secs(3);
const STREAM: Duration = Duration::from_millis(2_400);

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|number| format!("host-{number}").parse().expect("a name")).collect()
}

fn endpoints(count: usize) -> Vec<EndpointId> {
    (0..count).map(|number| format!("endpoint-{number}").parse().expect("a name")).collect()
}

fn peers(all: &[HostId], own: &HostId) -> Vec<HostId> {
    all.iter().filter(|host| *host != own).cloned().collect()
}

/// Idle connections of one host: by endpoint, when each became idle.
#[derive(Default)]
struct IdleModel(BTreeMap<EndpointId, Vec<Duration>>);

/// Returns the new connections a request of one host whose paths may begin at any of `firsts` at equal cost.
fn connections_per_request(
    firsts: &[EndpointId],
    allowance: impl Fn(&EndpointId) -> IdleAllowance,
    prefers_idle: Option<&ConnectionPlan>,
) -> f64 {
    let mut random = fastrand::Rng::with_seed(7);
    let mut idle = IdleModel::default();
    let mut busy: Vec<(Duration, EndpointId)> = Vec::new();
    let (requests, mut opened) = (2_000_u32, 0_u32);
    for number in 0..requests {
        let now = Duration::from_millis(u64::from(number) * 240);
        let (ended, running) = busy.into_iter().partition(|(end, _)| *end <= now);
        busy = running;
        for (end, endpoint) in ended {
            let known: &mut Vec<Duration> = idle.0.entry(endpoint.clone()).or_default();
            known.push(end);
            if known.len() > allowance(&endpoint).max_idle {
                known.remove(0);
            }
        }
        for (endpoint, known) in &mut idle.0 {
            let longest = allowance(endpoint).idle_time(ADVERTISED);
            known.retain(|since| now.saturating_sub(*since) < longest);
        }
        let connected =
            |endpoint: &&EndpointId| idle.0.get(*endpoint).is_some_and(|k| !k.is_empty());
        let preferred = prefers_idle
            .and_then(|plan| firsts.iter().find(connected).or_else(|| plan.kept().iter().next()));
        let first = preferred.unwrap_or(&firsts[random.usize(..firsts.len())]).clone();
        opened += u32::from(idle.0.get_mut(&first).and_then(Vec::pop).is_none());
        busy.push((now + STREAM, first));
    }
    f64::from(opened) / f64::from(requests)
}

#[test]
fn many_hosts_on_many_equal_first_endpoints_open_few_connections() {
    for host_count in [36, 82] {
        let (hosts, firsts) = (hosts(host_count), endpoints(86));
        // Each endpoint takes fewer idle connections a host than the usual 16.
        let cap = ConnectionCap { max_connections: 1_000, hosts: host_count };
        let plan = ConnectionPlan::new(&hosts[0], &hosts[1..], &firsts);
        let equal = IdleAllowance { is_scarce: false, ..cap.equal_allowance() };
        let before = connections_per_request(&firsts, |_| equal, None);
        let after = connections_per_request(
            &firsts,
            |endpoint| plan.allowance(endpoint, true, cap),
            Some(&plan),
        );
        assert!(before > 0.8, "{host_count} hosts: {before} with the former rule");
        assert!(after < 0.1, "{host_count} hosts: {after}");
    }
}

#[test]
fn no_endpoint_is_left_to_one_host_and_no_host_keeps_many() {
    for (host_count, endpoint_count) in [(29, 24), (82, 86), (12, 86), (29, 3)] {
        let (hosts, endpoints) = (hosts(host_count), endpoints(endpoint_count));
        let mut keepers: BTreeMap<EndpointId, usize> = BTreeMap::new();
        for host in &hosts {
            let plan = ConnectionPlan::new(host, &peers(&hosts, host), &endpoints);
            assert!(plan.kept().len() >= 3);
            assert!(plan.kept().len() <= 3 + endpoint_count * 7 / host_count);
            for endpoint in plan.kept() {
                *keepers.entry(endpoint.clone()).or_default() += 1;
            }
        }
        assert_eq!(keepers.len(), endpoint_count);
        assert!(keepers.values().all(|count| *count >= 3.min(host_count)));
    }
}

#[test]
fn idle_connections_of_all_hosts_stay_within_the_cap() {
    let (hosts, endpoints) = (hosts(27), endpoints(24));
    let cap = ConnectionCap { max_connections: 1_000, hosts: 82 };
    let plans = hosts.iter().map(|own| ConnectionPlan::new(own, &peers(&hosts, own), &endpoints));
    let plans: Vec<ConnectionPlan> = plans.collect();
    for endpoint in &endpoints {
        let own_zone: usize =
            plans.iter().map(|plan| plan.allowance(endpoint, true, cap).max_idle).sum();
        let foreign = plans[0].allowance(&"other".parse().expect("a name"), false, cap).max_idle;
        let all = own_zone + foreign * (cap.hosts - hosts.len());
        assert!(all <= 1_000, "{endpoint}: {all}");
    }
}

#[test]
fn a_host_that_ends_moves_only_its_own_part() {
    let (hosts, endpoints) = (hosts(30), endpoints(24));
    for own in &hosts[1..] {
        let before = ConnectionPlan::new(own, &peers(&hosts, own), &endpoints);
        let after = ConnectionPlan::new(own, &peers(&hosts[1..], own), &endpoints);
        assert!(after.kept().is_superset(before.kept()));
        assert!(after.kept().len() <= before.kept().len() + 3);
    }
}

#[test]
fn few_hosts_keep_what_they_kept_before() {
    let (hosts, endpoints) = (hosts(9), endpoints(36));
    let cap = ConnectionCap { max_connections: 400, hosts: 9 };
    let plan = ConnectionPlan::new(&hosts[0], &hosts[1..], &endpoints);
    for endpoint in &endpoints {
        let allowance = plan.allowance(endpoint, true, cap);
        assert_eq!(allowance, IdleAllowance { max_idle: 16, is_scarce: false });
        assert_eq!(allowance.idle_time(ADVERTISED), Duration::from_millis(1_800));
    }
}

#[test]
fn scarce_connections_are_kept_until_shortly_before_the_endpoint_closes_them() {
    let scarce = IdleAllowance { max_idle: 4, is_scarce: true };
    assert_eq!(scarce.idle_time(Duration::from_secs(1)), Duration::from_millis(750));
    assert_eq!(scarce.idle_time(Duration::from_secs(10)), Duration::from_secs(9));
    assert_eq!(IdleAllowance::at_most_once_time(ADVERTISED), Duration::from_millis(1_200));
}

//! Retries of the whole fleet while every request fails on all hosts and callers retry on their own.

use {
    cassiafield_core::{
        ids::Moment,
        process::{RetryLimits, RetryPool, RetryQuota, ZoneTraffic},
    },
    std::time::Duration,
};

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, slack: 200.0, window: Duration::from_secs(10) };

/// Number of hosts in each zone of the simulated fleets; the first one leads the zone.
const ZONE_HOSTS: usize = 3;

/// The retry budgets of all hosts of a fleet and of its zones.
struct FleetBudget {
    quotas: Vec<RetryQuota>,
    pools: Vec<RetryPool>,
}

impl FleetBudget {
    fn new(hosts: usize) -> Self {
        let quotas = (0..hosts).map(|_| RetryQuota::new(LIMITS, None)).collect();
        let zones = hosts.div_ceil(ZONE_HOSTS);
        let pools = (0..zones).map(|_| RetryPool::new(LIMITS, Moment::ORIGIN)).collect();
        Self { quotas, pools }
    }

    /// Acquires a retry from the host's own quota, or else from the pool of its zone.
    fn try_acquire(&mut self, host: usize, now: Moment) -> bool {
        let hosts = self.quotas.len();
        if self.quotas[host].try_acquire(Some(hosts), now) {
            return true;
        }
        let zone = host / ZONE_HOSTS;
        let members = zone * ZONE_HOSTS..((zone + 1) * ZONE_HOSTS).min(hosts);
        let zone_hosts = members.len();
        let requests = members.map(|host| self.quotas[host].recent_requests(now)).sum();
        let traffic = ZoneTraffic { requests, hosts: zone_hosts, fleet_hosts: Some(hosts) };
        self.pools[zone].grant(1, traffic, now) > 0
    }

    /// Restarts a host; if it leads its zone, it inherits the record that its peers have.
    fn restart(&mut self, host: usize, now: Moment) {
        self.quotas[host] = RetryQuota::new(LIMITS, Some(now));
        if host.is_multiple_of(ZONE_HOSTS) {
            let zone = host / ZONE_HOSTS;
            let record = self.pools[zone].record(now);
            self.pools[zone] = RetryPool::new(LIMITS, now);
            self.pools[zone].inherit(record, now, now);
        }
    }
}

/// Returns the largest excess of retries over the bound in any window while every request fails.
fn worst_excess(hosts: usize, per_second: u64, seconds: u64) -> f64 {
    worst_excess_with(hosts, per_second, seconds, u64::MAX)
}

/// Returns the largest excess as [`worst_excess`] does, while the hosts restart in turn, one every
/// `restart_ms`.
fn worst_excess_with(hosts: usize, per_second: u64, seconds: u64, restart_ms: u64) -> f64 {
    let mut budget = FleetBudget::new(hosts);
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for millis in 0..seconds * 1_000 {
        let now = Moment::from_millis(millis);
        if millis > 0 && millis % restart_ms == 0 {
            let host = usize::try_from(millis / restart_ms).unwrap_or(0) % hosts;
            budget.restart(host, now);
        }
        if millis * per_second % 1_000 >= per_second {
            continue;
        }
        let host = requests.len() % hosts;
        requests.push(now);
        budget.quotas[host].record_request(now);
        for _ in 0..3 {
            if budget.try_acquire(host, now) {
                retries.push(now);
            }
        }
    }
    let in_window = |list: &[Moment], end: Moment| {
        list.iter().filter(|&&at| at <= end && end.since(at) < LIMITS.window).count() as f64
    };
    let excess = requests.iter().map(|&end| {
        in_window(&retries, end) - (LIMITS.ratio * in_window(&requests, end) + LIMITS.slack)
    });
    excess.fold(f64::MIN, f64::max)
}

#[test]
fn a_total_failure_stays_within_the_fleets_bound() {
    for (hosts, per_second) in [(1, 50), (9, 90), (9, 400), (40, 200)] {
        let excess = worst_excess(hosts, per_second, 25);
        assert!(
            excess <= 0.0,
            "{hosts} hosts, {per_second} requests per second: exceeded by {excess}"
        );
    }
}

/// Guards against excess retries during a rolling restart while an endpoint fails: a new process does
/// not know how much of the slack its predecessor has used.
#[test]
fn restarted_hosts_do_not_use_the_slack_twice() {
    for restart_ms in [300, 1_000, 2_000] {
        let excess = worst_excess_with(9, 90, 40, restart_ms);
        assert!(excess <= 0.0, "one restart every {restart_ms} ms: exceeded by {excess}");
    }
}

#[test]
fn a_host_without_requests_has_its_share_of_the_slack() {
    let mut quota = RetryQuota::new(LIMITS, None);
    let settled = Moment::ORIGIN + LIMITS.window;
    let taken = (0..1_000).filter(|_| quota.try_acquire(Some(10), settled)).count();
    assert!(!quota.try_acquire(Some(10), settled));
    assert!((1..=20).contains(&taken), "{taken}");
}

/// Guards against refused resumptions when an endpoint stops answering: all streams of one zone are
/// resumed elsewhere at once, after a period of normal traffic.
#[test]
fn the_streams_of_one_zone_may_all_go_on_at_once() {
    let mut budget = FleetBudget::new(9);
    for millis in (0..10_000).step_by(110) {
        budget.quotas[1].record_request(Moment::from_millis(millis));
    }
    let now = Moment::from_millis(10_000);
    // As many as one host could resume from a quota of its own alone, on a single host of the zone.
    let granted = (0..35).filter(|_| budget.try_acquire(1, now)).count();
    assert_eq!(granted, 35);
}

/// Failures concentrate on the hosts of one zone: one of them needs three times its own share.
#[test]
fn a_host_uses_the_unused_share_of_its_zone() {
    let mut budget = FleetBudget::new(9);
    let now = Moment::from_millis(20_000);
    let granted = (0..1_000).filter(|_| budget.try_acquire(4, now)).count() as f64;
    let equal_share = LIMITS.slack / 9.0;
    assert!(granted > 1.8 * equal_share, "{granted} of an equal share of {equal_share}");
}

/// A host that takes over its zone has no record of the former leader.
#[test]
fn a_new_leader_without_a_record_grants_the_slack_after_a_window() {
    let mut pool = RetryPool::new(LIMITS, Moment::from_millis(50_000));
    let traffic = ZoneTraffic { requests: 0, hosts: 3, fleet_hosts: Some(9) };
    assert_eq!(pool.grant(1, traffic, Moment::from_millis(59_000)), 0);
    assert_eq!(pool.grant(1, traffic, Moment::from_millis(60_000)), 1);
}

/// A leader is suspended, another host leads the zone meanwhile, and the first one wakes up.
#[test]
fn a_leader_that_wakes_up_counts_what_its_substitute_granted() {
    let traffic = ZoneTraffic { requests: 0, hosts: 3, fleet_hosts: Some(9) };
    let now = Moment::from_millis(50_000);
    let mut suspended = RetryPool::new(LIMITS, Moment::ORIGIN);
    suspended.grant(10, traffic, now);
    let mut substitute = RetryPool::new(LIMITS, now);
    substitute.inherit(suspended.record(now), now, now);
    let later = now + Duration::from_secs(3);
    let granted = substitute.grant(1_000, traffic, later);
    assert!(granted > 0);
    suspended.observe(substitute.record(later), later);
    assert_eq!(suspended.grant(1_000, traffic, later), 0);
}

#[test]
fn a_new_leader_with_a_record_continues_the_former_leaders_count() {
    let traffic = ZoneTraffic { requests: 0, hosts: 3, fleet_hosts: Some(9) };
    let now = Moment::from_millis(50_000);
    let mut former = RetryPool::new(LIMITS, Moment::ORIGIN);
    let granted = former.grant(20, traffic, now);
    let mut successor = RetryPool::new(LIMITS, now);
    successor.inherit(former.record(now), now, now);
    assert_eq!(successor.grant(1_000, traffic, now), former.grant(1_000, traffic, now));
    assert_eq!(granted, 20);
}

//! Retries of the whole fleet while every request fails on all hosts and callers retry on their own.

use {
    cassiafield_core::{ids::Moment, process::RetryQuota},
    std::time::Duration,
};

const RETRIES_PER_REQUEST: f64 = 0.2;
const SLACK_RETRIES: f64 = 200.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Returns the largest excess of retries over the bound in any window while every request fails.
fn worst_excess(hosts: usize, per_second: u64, seconds: u64) -> f64 {
    worst_excess_with(hosts, per_second, seconds, u64::MAX)
}

/// Returns the largest excess as [`worst_excess`] does, while the hosts restart in turn, one every
/// `restart_ms`.
fn worst_excess_with(hosts: usize, per_second: u64, seconds: u64, restart_ms: u64) -> f64 {
    let mut quotas: Vec<_> = (0..hosts)
        .map(|_| RetryQuota::new(RETRIES_PER_REQUEST, SLACK_RETRIES, WINDOW, None))
        .collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for millis in 0..seconds * 1_000 {
        let now = Moment::from_millis(millis);
        if millis > 0 && millis % restart_ms == 0 {
            let host = usize::try_from(millis / restart_ms).unwrap_or(0) % hosts;
            quotas[host] = RetryQuota::new(RETRIES_PER_REQUEST, SLACK_RETRIES, WINDOW, Some(now));
        }
        if millis * per_second % 1_000 >= per_second {
            continue;
        }
        let host = requests.len() % hosts;
        requests.push(now);
        quotas[host].record_request(now);
        for _ in 0..3 {
            if quotas[host].try_acquire(hosts, now) {
                retries.push(now);
            }
        }
    }
    let in_window = |list: &[Moment], end: Moment| {
        list.iter().filter(|&&at| at <= end && end.since(at) < WINDOW).count() as f64
    };
    let excess = requests.iter().map(|&end| {
        in_window(&retries, end) - (RETRIES_PER_REQUEST * in_window(&requests, end) + SLACK_RETRIES)
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
    let mut quota = RetryQuota::new(RETRIES_PER_REQUEST, SLACK_RETRIES, WINDOW, None);
    let settled = Moment::ORIGIN + WINDOW;
    let taken = (0..1_000).filter(|_| quota.try_acquire(10, settled)).count();
    assert!(!quota.try_acquire(10, settled));
    assert!((1..=20).contains(&taken), "{taken}");
}

/// Guards against refused resumptions when an endpoint stops answering: all streams of one zone are
/// resumed elsewhere at once, after a period of normal traffic.
#[test]
fn the_streams_of_one_zone_may_all_go_on_at_once() {
    let mut quota = RetryQuota::new(RETRIES_PER_REQUEST, SLACK_RETRIES, WINDOW, None);
    for millis in (0..10_000).step_by(110) {
        quota.record_request(Moment::from_millis(millis));
    }
    let now = Moment::from_millis(10_000);
    let granted = (0..35).filter(|_| quota.try_acquire(9, now)).count();
    assert_eq!(granted, 35);
}

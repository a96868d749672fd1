//! Outages of the platform that last longer than a lease.

use {
    crate::fleet::{file, wait_until, ProcessFleet, ProcessFleetSpec},
    cassiafield_core::version::{ListChange, PlanLimits},
    cassiafield_standin::RelayMode,
    serde_json::{json, Value},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than the lease of an ordinal.
const OUTAGE: Duration = Duration::from_secs(18);
/// Bound on the calls in the second after an outage: the store takes several hundred writes and two
/// thousand reads per second.
const MAX_STORE_CALLS_PER_SECOND: u64 = 2_000;

fn store_calls(fleet: &ProcessFleet) -> u64 {
    let url = format!("{}/standin/counts", fleet.platform_url());
    let counts: Value = ureq::get(&url).call().unwrap().into_json().unwrap();
    ["reads", "writes", "watches"].iter().map(|kind| counts[kind].as_u64().unwrap()).sum()
}

#[test]
fn hosts_serve_through_a_store_outage_and_recover_within_the_store_budget() {
    let fleet =
        ProcessFleet::start(ProcessFleetSpec { entry_hosts: 3, ..ProcessFleetSpec::default() });
    fleet.set_faults(&json!({ "outage": true }));
    ureq::post(&format!("{}/standin/list-outage", fleet.platform_url())).send_json(true).unwrap();
    let end = Instant::now() + OUTAGE;
    let mut served = 0;
    while Instant::now() < end {
        for entry in &fleet.entry_hosts {
            let response = entry.complete("outage", 2).unwrap();
            assert_eq!(response.status, 200, "after {served}: {}", response.body);
            served += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let refused = file(fleet.entry_hosts[0].address(), "outage").unwrap();
    assert_eq!((refused.status, refused.verdict.as_str()), (503, "may-have-run"));
    let before = store_calls(&fleet);
    fleet.set_faults(&json!({}));
    ureq::post(&format!("{}/standin/list-outage", fleet.platform_url())).send_json(false).unwrap();
    thread::sleep(Duration::from_secs(1));
    let after = store_calls(&fleet);
    assert!(after - before < MAX_STORE_CALLS_PER_SECOND, "{} calls in a second", after - before);
    wait_until("a filing is accepted", || {
        file(fleet.entry_hosts[0].address(), "outage").unwrap().status == 200
    });
    for entry in &fleet.entry_hosts {
        assert_eq!(entry.complete("after", 2).unwrap().status, 200);
    }
}

/// A zone that cannot reach the platform keeps serving, keeps its floor after its lease has expired
/// and receives edits from peers in other zones.
#[test]
fn a_zone_cut_off_from_the_platform_keeps_serving() {
    let fleet = ProcessFleet::start(ProcessFleetSpec {
        entry_hosts: 3,
        zones: 3,
        relayed: &[2],
        ..ProcessFleetSpec::default()
    });
    fleet.relay.set_mode(RelayMode::Silent);
    let end = Instant::now() + OUTAGE;
    let isolated = &fleet.entry_hosts[2];
    while Instant::now() < end {
        let response = isolated.complete("cut off", 2).unwrap();
        assert_eq!(response.status, 200, "{}", response.body);
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(isolated.status().unwrap()["spending"], true);
    let mut draft = ProcessFleet::limits();
    draft.max_tokens = 5;
    let limits = PlanLimits::try_from(draft).unwrap();
    let plan = "plan".parse().unwrap();
    let revision = fleet.edit(ListChange::SetPlan { plan, limits, base: None });
    wait_until("the edit reaches the isolated zone", || {
        isolated.status().is_some_and(|status| status["revision"] == revision)
    });
    assert_eq!(isolated.complete("x", 6).unwrap().status, 400);
    let refused = file(isolated.address(), "cut-off").unwrap();
    assert_eq!((refused.status, refused.verdict.as_str()), (503, "may-have-run"));
    fleet.relay.set_mode(RelayMode::Pass);
    wait_until("a filing is accepted again", || {
        file(isolated.address(), "cut-off").unwrap().status == 200
    });
    assert_eq!(fleet.run_counts()["cut-off"], 1);
}

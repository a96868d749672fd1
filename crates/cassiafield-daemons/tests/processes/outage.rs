//! The platform is away for longer than a lease lasts.

use {
    crate::fleet::{file, FleetShape, ProcessFleet},
    serde_json::{json, Value},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Longer than the lease of an ordinal.
const OUTAGE: Duration = Duration::from_secs(18);
/// Several hundred writes and two thousand reads a second.
const STORE_BUDGET: u64 = 2_000;

fn calls(fleet: &ProcessFleet) -> u64 {
    let url = format!("{}/standin/counts", fleet.platform_url());
    let counts: Value = ureq::get(&url).call().unwrap().into_json().unwrap();
    ["reads", "writes", "watches"].iter().map(|kind| counts[kind].as_u64().unwrap()).sum()
}

#[test]
fn hosts_serve_through_an_outage_and_return_without_a_stampede() {
    let fleet = ProcessFleet::start(FleetShape { entries: 3, ..FleetShape::default() });
    fleet.faults(&json!({ "outage": true }));
    ureq::post(&format!("{}/standin/list-outage", fleet.platform_url())).send_json(true).unwrap();
    let end = Instant::now() + OUTAGE;
    let mut served = 0;
    while Instant::now() < end {
        for entry in &fleet.entries {
            let reply = entry.complete("outage", 2).unwrap();
            assert_eq!(reply.status, 200, "after {served}: {}", reply.body);
            served += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let refused = file(fleet.entries[0].address(), "outage").unwrap();
    assert_eq!((refused.status, refused.verdict.as_str()), (503, "may-have-run"));
    let before = calls(&fleet);
    fleet.faults(&json!({}));
    ureq::post(&format!("{}/standin/list-outage", fleet.platform_url())).send_json(false).unwrap();
    thread::sleep(Duration::from_secs(1));
    let after = calls(&fleet);
    assert!(after - before < STORE_BUDGET, "{} calls in a second", after - before);
    crate::fleet::wait_until("a filing is taken", || {
        file(fleet.entries[0].address(), "outage").unwrap().status == 200
    });
    for entry in &fleet.entries {
        assert_eq!(entry.complete("after", 2).unwrap().status, 200);
    }
}

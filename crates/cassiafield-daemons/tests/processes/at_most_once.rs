//! At-most-once execution of filings: none runs twice, and none reported as not run has run.

use {
    crate::fleet::{file, wait_until, ProcessFleet, ProcessFleetSpec},
    serde_json::json,
    std::{
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const CALLERS: usize = 8;
const KEYS_PER_CALLER: usize = 25;
const MAX_ATTEMPTS: usize = 8;

/// Outcomes that a caller received for one idempotency key, in order.
#[derive(Clone, Debug, Default)]
struct KeyHistory {
    key: String,
    outcomes: Vec<String>,
}

fn file_until_done(addresses: &[String], key: String, first: usize) -> KeyHistory {
    let mut history = KeyHistory { key, ..KeyHistory::default() };
    for attempt in 0..MAX_ATTEMPTS {
        let address = &addresses[(first + attempt) % addresses.len()];
        let outcome = match file(address, &history.key) {
            Ok(response) if response.status == 200 => "served".to_owned(),
            Ok(response) => response.verdict,
            Err(_) => "disconnected".to_owned(),
        };
        let served = outcome == "served";
        history.outcomes.push(outcome);
        if served {
            break;
        }
        thread::sleep(Duration::from_millis(30));
    }
    history
}

#[test]
fn no_filing_runs_twice_while_hosts_and_services_are_killed() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec {
        services: 2,
        entry_hosts: 3,
        after_ms: 10,
        ..ProcessFleetSpec::default()
    });
    fleet.set_faults(&json!({ "lose_answers": 0.15, "lose_calls": 0.05 }));
    let addresses: Vec<String> =
        fleet.entry_hosts.iter().map(|entry| entry.address().to_owned()).collect();
    let addresses = Arc::new(addresses);
    let histories = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (addresses, histories) = (addresses.clone(), histories.clone());
            thread::spawn(move || {
                for number in 0..KEYS_PER_CALLER {
                    let key = format!("key-{caller}-{number}");
                    let history = file_until_done(&addresses, key, caller + number);
                    histories.lock().unwrap().push(history);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(400));
    fleet.services[0].kill();
    thread::sleep(Duration::from_millis(300));
    fleet.entry_hosts[1].kill();
    thread::sleep(Duration::from_millis(300));
    fleet.entry_hosts[2].signal("STOP");
    thread::sleep(Duration::from_millis(700));
    fleet.entry_hosts[2].signal("CONT");
    for caller in callers {
        caller.join().unwrap();
    }
    fleet.set_faults(&json!({}));
    let runs = fleet.run_counts();
    let histories = histories.lock().unwrap().clone();
    let (mut served, mut in_doubt) = (0, 0);
    for history in &histories {
        let count = runs[&history.key].as_u64().unwrap_or(0);
        assert!(count <= 1, "{history:?} ran {count} times");
        let all_not_run = history.outcomes.iter().all(|outcome| outcome == "not-run");
        assert!(!all_not_run || count == 0, "{history:?} ran");
        let served_last = history.outcomes.last().is_some_and(|outcome| outcome == "served");
        assert!(!served_last || count == 1, "{history:?} did not run");
        served += usize::from(served_last);
        in_doubt +=
            usize::from(history.outcomes.last().is_some_and(|outcome| outcome == "may-have-run"));
    }
    println!("{} keys, {served} served, {in_doubt} ended in doubt", histories.len());
    assert!(served * 2 > histories.len());
}

#[test]
fn an_unrecorded_outcome_is_recorded_when_the_store_recovers() {
    let fleet =
        ProcessFleet::start(ProcessFleetSpec { after_ms: 800, ..ProcessFleetSpec::default() });
    let address = fleet.entry_hosts[0].address().to_owned();
    let caller = thread::spawn(move || file(&address, "late").unwrap().status);
    wait_until("the call runs", || fleet.run_counts()["late"] == 1);
    fleet.set_faults(&json!({ "outage": true }));
    assert_eq!(caller.join().unwrap(), 200);
    let during = file(fleet.entry_hosts[0].address(), "late").unwrap();
    assert_eq!((during.status, during.verdict.as_str()), (503, "may-have-run"));
    fleet.set_faults(&json!({}));
    wait_until("the outcome is replayed", || {
        file(fleet.entry_hosts[0].address(), "late").unwrap().status == 200
    });
    assert_eq!(fleet.run_counts()["late"], 1);
}

//! Planned removal of endpoints and hosts.

use {
    crate::fleet::{
        complete, expected_completion, file, opened_streams, wait_until, ProcessFleet,
        ProcessFleetSpec,
    },
    std::{
        sync::{
            atomic::{AtomicBool, AtomicU32, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
};

/// Time within which hosts must stop sending new requests to a leaving endpoint.
const LEAVING_TARGET: Duration = Duration::from_secs(3);

/// Age of the list of hosts that a lagging host reads.
const LIST_LAG: Duration = Duration::from_secs(5);

#[test]
fn a_leaving_endpoint_gets_no_new_work_though_the_list_lags() {
    let fleet = ProcessFleet::start(ProcessFleetSpec {
        entry_hosts: 2,
        lagging: &[1],
        ..ProcessFleetSpec::default()
    });
    let url = fleet.platform_url();
    thread::sleep(LIST_LAG);
    ureq::post(&format!("{url}/standin/list-lag-ms")).send_json(LIST_LAG.as_millis()).unwrap();
    thread::sleep(Duration::from_millis(1_200));
    ureq::post(&format!("{url}/standin/leaving")).send_json("engine-0-0").unwrap();
    thread::sleep(LEAVING_TARGET);
    let before = opened_streams(fleet.engines[0].address());
    for request in 0..40 {
        let entry = &fleet.entry_hosts[request % 2];
        assert_eq!(entry.complete(&format!("prompt {request}"), 2).unwrap().status, 200);
    }
    assert_eq!(opened_streams(fleet.engines[0].address()), before);
    assert!(opened_streams(fleet.engines[1].address()) >= 40);
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec {
        entry_hosts: 2,
        settings: "[stop]\nnotice_ms = 300\n",
        after_ms: 1_500,
        ..ProcessFleetSpec::default()
    });
    let address = fleet.entry_hosts[0].address().to_owned();
    let stopping = Arc::new(AtomicBool::new(false));
    let completed = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..40)
        .map(|caller| {
            let (address, stopping, completed) =
                (address.clone(), stopping.clone(), completed.clone());
            thread::spawn(move || {
                let mut round = 0;
                while !stopping.load(Ordering::SeqCst) {
                    let prompt = format!("{caller} {round}");
                    let tokens = 20 + 40 * (round % 8);
                    let response = complete(&address, &prompt, tokens).unwrap();
                    assert_eq!(response.status, 200, "{}", response.body);
                    assert_eq!(
                        response.body["choices"][0]["text"],
                        expected_completion(&prompt, tokens)
                    );
                    completed.fetch_add(1, Ordering::SeqCst);
                    round += 1;
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let filings: Vec<_> = (0..10)
        .map(|number| {
            let address = address.clone();
            thread::spawn(move || file(&address, &format!("stop-{number}")).unwrap().status)
        })
        .collect();
    wait_until("the filings run", || {
        (0..10).all(|number| fleet.run_counts()[format!("stop-{number}")] == 1)
    });
    fleet.entry_hosts[0].signal("TERM");
    stopping.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.join().unwrap();
    }
    for filing in filings {
        assert_eq!(filing.join().unwrap(), 200);
    }
    assert!(fleet.entry_hosts[0].wait().success());
    println!("{} requests, none interrupted", completed.load(Ordering::SeqCst));
    let store = fleet.store();
    let entries =
        cassiafield::connection::PlatformStore::list(store.as_ref(), "cassiafield/floors/");
    let free = entries.unwrap().iter().filter(|(_, entry)| entry.value == b"\"free\"").count();
    assert_eq!(free, 1, "the ordinal was not released");
}

#[test]
fn a_successor_spends_a_released_ordinal_at_once() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec {
        settings: "[stop]\nnotice_ms = 0\n",
        ..ProcessFleetSpec::default()
    });
    fleet.entry_hosts[0].signal("TERM");
    assert!(fleet.entry_hosts[0].wait().success());
    fleet.start_entry(0);
    wait_until("the successor may spend its allowance", || {
        fleet.entry_hosts[0].status().is_some_and(|status| status["spending"] == true)
    });
    fleet.wait_serving(0);
}

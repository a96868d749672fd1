//! The usage report matches the answers that callers received.

use {
    crate::fleet::{file, ProcessFleet, ProcessFleetSpec},
    cassiafield_daemons::control::ControlProgram,
    serde_json::Value,
};

fn report(fleet: &ProcessFleet) -> Value {
    let arguments = ["--store", &fleet.platform_url(), "--json", "--hours", "2", "report"];
    let arguments: Vec<String> = arguments.iter().map(|argument| (*argument).to_string()).collect();
    serde_json::from_str(&ControlProgram::new().run(&arguments).unwrap()).unwrap()
}

fn total(report: &Value, class: &str, field: &str) -> u64 {
    let rows = report["rows"].as_array().unwrap();
    let rows = rows.iter().filter(|row| row["class"] == class);
    rows.map(|row| row[field].as_u64().unwrap()).sum()
}

#[test]
fn counts_match_the_answers_that_callers_received() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec {
        entry_hosts: 2,
        settings: "[stop]\nnotice_ms = 0\n",
        ..ProcessFleetSpec::default()
    });
    for request in 0..30 {
        let entry = &fleet.entry_hosts[request % 2];
        assert_eq!(entry.complete(&format!("r{request}"), 5).unwrap().status, 200);
        assert_eq!(file(entry.address(), &format!("k{request}")).unwrap().status, 200);
        assert_eq!(entry.complete("x", 1_000_000).unwrap().status, 400);
    }
    for entry in &mut fleet.entry_hosts {
        entry.signal("TERM");
        assert!(entry.wait().success());
    }
    let report = report(&fleet);
    let warm_up_requests = 2;
    assert_eq!(total(&report, "filing", "asked"), 30);
    assert_eq!(total(&report, "filing", "served"), 30);
    assert!(total(&report, "generation", "served") >= 30 + warm_up_requests);
    assert_eq!(
        total(&report, "generation", "asked") - total(&report, "generation", "served"),
        refused(&report)
    );
    assert_eq!(report["gaps"].as_array().unwrap().len(), 0);
}

fn refused(report: &Value) -> u64 {
    let rows = report["rows"].as_array().unwrap();
    let causes = rows.iter().flat_map(|row| row["refused"].as_object().unwrap().values());
    causes.map(|count| count.as_u64().unwrap()).sum()
}

#[test]
fn a_killed_host_loses_at_most_one_interval() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec {
        settings: "[report]\ncheckpoint_ms = 200\n",
        ..ProcessFleetSpec::default()
    });
    for request in 0..20 {
        assert_eq!(fleet.entry_hosts[0].complete(&format!("r{request}"), 2).unwrap().status, 200);
    }
    crate::fleet::wait_until("a checkpoint contains them", || {
        total(&report(&fleet), "generation", "served") >= 20
    });
    let before = total(&report(&fleet), "generation", "served");
    fleet.entry_hosts[0].kill();
    assert_eq!(total(&report(&fleet), "generation", "served"), before);
}

//! Edits reach every host, and the revision of a host never decreases.

use {
    crate::fleet::{wait_until, ProcessFleet, ProcessFleetSpec},
    cassiafield_core::version::{ListChange, PlanLimits},
    serde_json::json,
    std::thread,
};

const EDITORS: usize = 4;
const EDITS_PER_EDITOR: usize = 25;

fn set_plan(name: &str, max_tokens: u32) -> ListChange {
    let mut draft = ProcessFleet::limits();
    draft.max_tokens = max_tokens;
    let limits = PlanLimits::try_from(draft).unwrap();
    ListChange::SetPlan { plan: name.parse().unwrap(), limits, base: None }
}

#[test]
fn concurrent_edits_all_persist_and_reach_every_host() {
    let fleet =
        ProcessFleet::start(ProcessFleetSpec { entry_hosts: 3, ..ProcessFleetSpec::default() });
    fleet.set_faults(&json!({ "lose_answers": 0.2, "lose_calls": 0.1 }));
    let highest = thread::scope(|scope| {
        let editors: Vec<_> = (0..EDITORS)
            .map(|editor| {
                let fleet = &fleet;
                scope.spawn(move || {
                    let name = |edit| format!("plan-{editor}-{edit}");
                    (0..EDITS_PER_EDITOR)
                        .map(|edit| fleet.edit(set_plan(&name(edit), 7)))
                        .max()
                        .unwrap()
                })
            })
            .collect();
        editors.into_iter().map(|editor| editor.join().unwrap()).max().unwrap()
    });
    fleet.set_faults(&json!({}));
    let lists = cassiafield::version::ListEditor::new(fleet.store()).read().unwrap().lists;
    for editor in 0..EDITORS {
        for edit in 0..EDITS_PER_EDITOR {
            let plan = format!("plan-{editor}-{edit}").parse().unwrap();
            assert!(lists.plans.contains_key(&plan), "{plan} was lost");
        }
    }
    let mut last_seen = vec![0; fleet.entry_hosts.len()];
    wait_until("every host applies the edits", || {
        for (entry, last_seen) in fleet.entry_hosts.iter().zip(&mut last_seen) {
            let revision = entry.status().and_then(|status| status["revision"].as_u64()).unwrap();
            assert!(
                revision >= *last_seen,
                "the revision of a host decreased from {last_seen} to {revision}"
            );
            *last_seen = revision;
        }
        last_seen.iter().all(|revision| *revision >= highest)
    });
}

#[test]
fn a_lowered_limit_applies_and_a_host_without_the_store_fetches_it_from_a_peer() {
    let mut fleet =
        ProcessFleet::start(ProcessFleetSpec { entry_hosts: 2, ..ProcessFleetSpec::default() });
    let revision = fleet.edit(set_plan("plan", 5));
    wait_until("the limit applies on every host", || {
        fleet.entry_hosts.iter().all(|entry| entry.complete("x", 6).unwrap().status == 400)
    });
    fleet.entry_hosts[1].kill();
    let seed = format!("[peers]\nseeds = {}\n", fleet.entry_hosts[0].peer_address());
    let file = fleet.directory.join("seeded.ini");
    let text = format!(
        "[host]\nid = entry-9\nzone = zone-0\nlisten = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n[platform]\n\
         store_url = http://127.0.0.1:1\nhosts_url = {}/v1/hosts\n{seed}",
        fleet.platform_url()
    );
    std::fs::write(&file, text).unwrap();
    let entry = crate::fleet::ChildProcess::entry(&["--settings", file.to_str().unwrap()]);
    wait_until("the host receives the lists from its peer", || {
        entry.status().is_some_and(|status| status["revision"] == revision)
    });
}

//! Lists passed from the host that reads the store to others: lost messages, peers behind, ends.

mod engine_support;

use {
    cassiafield_core::process::{ListedEntries, ListedEntry},
    engine_support::{endpoint, entry, span},
    proptest::prelude::*,
};

fn listed(name: &str, revision: u64) -> ListedEntry {
    let held = span(0, 1 + u16::try_from(revision % 40).unwrap_or(0));
    ListedEntry { revision, entry: entry(name, "fast", "a", Some(held)) }
}

fn names(list: &ListedEntries) -> Vec<String> {
    list.entries().iter().map(|entry| entry.endpoint.to_string()).collect()
}

#[test]
fn only_what_changed_is_passed_on() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3), listed("e2", 7)]);
    let mut asker = ListedEntries::default();
    assert!(asker.apply(reader.changes_since(asker.newest())));
    reader.replace(vec![listed("e1", 9), listed("e2", 7)]);
    let changes = reader.changes_since(asker.newest());
    assert_eq!(changes.changed.len(), 1);
    assert!(asker.apply(changes));
    assert_eq!(asker.entries(), reader.entries());
}

#[test]
fn an_endpoint_that_is_gone_is_gone_for_the_asker_too() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3), listed("e2", 7)]);
    let mut asker = reader.clone();
    reader.replace(vec![listed("e2", 7)]);
    assert!(asker.apply(reader.changes_since(asker.newest())));
    assert_eq!(names(&asker), ["e2"]);
}

#[test]
fn an_entry_that_the_asker_never_had_makes_it_read_the_store() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3), listed("e2", 7)]);
    let mut asker = ListedEntries::default();
    asker.replace(vec![listed("e2", 7)]);
    assert!(!asker.apply(reader.changes_since(asker.newest())));
    assert_eq!(names(&asker), ["e2"]);
}

#[test]
fn a_peer_that_is_behind_does_not_take_an_entry_back() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3)]);
    let mut asker = ListedEntries::default();
    asker.replace(vec![listed("e1", 9)]);
    assert!(asker.apply(reader.changes_since(0)));
    assert_eq!(asker.newest(), 9);
    assert_eq!(asker.entries()[0].endpoint, endpoint("e1"));
}

proptest! {
    /// Whatever changes, and whichever answers are lost, an asker whose last answer was applied has
    /// the reader's list.
    #[test]
    fn applied_answers_give_the_readers_list(
        steps in prop::collection::vec((0_usize..6, any::<bool>(), any::<bool>()), 1..40),
    ) {
        let mut current = std::collections::BTreeMap::new();
        let (mut reader, mut asker) = (ListedEntries::default(), ListedEntries::default());
        for (revision, (number, is_removed, is_lost)) in (1_u64..).zip(steps) {
            let name = format!("e{number}");
            if is_removed {
                current.remove(&name);
            } else {
                current.insert(name.clone(), listed(&name, revision));
            }
            reader.replace(current.values().cloned().collect());
            if !is_lost && asker.apply(reader.changes_since(asker.newest())) {
                prop_assert_eq!(asker.entries(), reader.entries());
            }
        }
    }
}

//! Lists forwarded by the host that reads the store: lost messages, stale peers and removed entries.

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
fn only_changes_are_sent() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3), listed("e2", 7)]);
    let mut follower = ListedEntries::default();
    assert!(follower.apply(reader.changes_since(follower.newest())));
    reader.replace(vec![listed("e1", 9), listed("e2", 7)]);
    let changes = reader.changes_since(follower.newest());
    assert_eq!(changes.changed.len(), 1);
    assert!(follower.apply(changes));
    assert_eq!(follower.entries(), reader.entries());
}

#[test]
fn a_removed_endpoint_is_removed_at_the_follower() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3), listed("e2", 7)]);
    let mut follower = reader.clone();
    reader.replace(vec![listed("e2", 7)]);
    assert!(follower.apply(reader.changes_since(follower.newest())));
    assert_eq!(names(&follower), ["e2"]);
}

#[test]
fn changes_that_lack_an_entry_are_rejected() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3), listed("e2", 7)]);
    let mut follower = ListedEntries::default();
    follower.replace(vec![listed("e2", 7)]);
    assert!(!follower.apply(reader.changes_since(follower.newest())));
    assert_eq!(names(&follower), ["e2"]);
}

#[test]
fn a_stale_peer_does_not_revert_an_entry() {
    let mut reader = ListedEntries::default();
    reader.replace(vec![listed("e1", 3)]);
    let mut follower = ListedEntries::default();
    follower.replace(vec![listed("e1", 9)]);
    assert!(follower.apply(reader.changes_since(0)));
    assert_eq!(follower.newest(), 9);
    assert_eq!(follower.entries()[0].endpoint, endpoint("e1"));
}

proptest! {
    /// Whatever changes and whichever answers are lost, a follower that has applied the last answer
    /// has the list of the reader.
    #[test]
    fn applied_changes_give_the_followers_list(
        steps in prop::collection::vec((0_usize..6, any::<bool>(), any::<bool>()), 1..40),
    ) {
        let mut current = std::collections::BTreeMap::new();
        let (mut reader, mut follower) = (ListedEntries::default(), ListedEntries::default());
        for (revision, (number, is_removed, is_lost)) in (1_u64..).zip(steps) {
            let name = format!("e{number}");
            if is_removed {
                current.remove(&name);
            } else {
                current.insert(name.clone(), listed(&name, revision));
            }
            reader.replace(current.values().cloned().collect());
            if !is_lost && follower.apply(reader.changes_since(follower.newest())) {
                prop_assert_eq!(follower.entries(), reader.entries());
            }
        }
    }
}

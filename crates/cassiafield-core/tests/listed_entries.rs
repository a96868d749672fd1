//! Lists forwarded by the host that reads the store: lost messages, stale peers, removed entries, and a
//! store that is restored from an older copy.

mod engine_support;

use {
    cassiafield_core::{
        ids::Moment,
        process::{ListVerdict, ListedEntries, ListedEntry},
    },
    engine_support::{endpoint, entry, span},
    proptest::prelude::*,
    std::collections::BTreeMap,
};

fn listed(name: &str, revision: u64) -> ListedEntry {
    let held = span(0, 1 + u16::try_from(revision % 40).unwrap_or(0));
    ListedEntry { revision, entry: entry(name, "fast", "a", Some(held)) }
}

fn leaving(name: &str, revision: u64) -> ListedEntry {
    let mut leaving = listed(name, revision);
    leaving.entry.is_leaving = true;
    leaving
}

fn names(list: &ListedEntries) -> Vec<String> {
    list.entries().iter().map(|entry| entry.endpoint.to_string()).collect()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Returns a list that was read at a time, in milliseconds.
fn list_at(millis: u64, entries: Vec<ListedEntry>) -> ListedEntries {
    let mut list = ListedEntries::default();
    assert!(list.replace(entries, at(millis)));
    list
}

/// Has `follower` ask `reader` for changes, and for the whole list if they do not suffice.
fn follow(follower: &mut ListedEntries, reader: &ListedEntries, millis: u64) -> ListVerdict {
    let changes = reader.changes_since(follower.needed_since(true));
    match follower.apply(changes, Some(reader.digest()), at(millis)) {
        ListVerdict::Incomplete => {
            follower.apply(reader.changes_since(0), Some(reader.digest()), at(millis))
        }
        verdict => verdict,
    }
}

#[test]
fn only_changes_are_sent() {
    let mut reader = list_at(1, vec![listed("e1", 3), listed("e2", 7)]);
    let mut follower = ListedEntries::default();
    assert_eq!(follow(&mut follower, &reader, 1), ListVerdict::Applied);
    assert!(reader.replace(vec![listed("e1", 9), listed("e2", 7)], at(2)));
    let changes = reader.changes_since(follower.needed_since(true));
    assert_eq!(changes.changed.len(), 1);
    let verdict = follower.apply(changes, Some(reader.digest()), at(2));
    assert_eq!(verdict, ListVerdict::Applied);
    assert_eq!(follower.entries(), reader.entries());
}

#[test]
fn a_removed_endpoint_is_removed_at_the_follower() {
    let mut reader = list_at(1, vec![listed("e1", 3), listed("e2", 7)]);
    let mut follower = reader.clone();
    assert!(reader.replace(vec![listed("e2", 7)], at(2)));
    let changes = reader.changes_since(follower.newest());
    assert_eq!(follower.apply(changes, Some(reader.digest()), at(2)), ListVerdict::Applied);
    assert_eq!(names(&follower), ["e2"]);
}

#[test]
fn changes_that_lack_an_entry_are_rejected() {
    let reader = list_at(2, vec![listed("e1", 3), listed("e2", 7)]);
    let mut follower = list_at(1, vec![listed("e2", 7)]);
    let changes = reader.changes_since(follower.newest());
    assert_eq!(follower.apply(changes, Some(reader.digest()), at(2)), ListVerdict::Incomplete);
    assert_eq!(names(&follower), ["e2"]);
}

#[test]
fn a_stale_peer_does_not_revert_an_entry() {
    let reader = list_at(1, vec![listed("e1", 3)]);
    let mut follower = list_at(2, vec![listed("e1", 9)]);
    let changes = reader.changes_since(0);
    assert_eq!(follower.apply(changes, Some(reader.digest()), at(1)), ListVerdict::Outdated);
    assert_eq!(follower.newest(), 9);
    assert_eq!(follower.entries()[0].endpoint, endpoint("e1"));
}

/// Guards against an old answer that arrives late and takes the place of a newer list, whatever its
/// revisions say: that of a read, and that of a peer.
#[test]
fn a_late_answer_of_the_time_before_a_restore_is_not_applied() {
    let before = vec![listed("e1", 40)];
    let mut follower = list_at(5, vec![leaving("e1", 12)]);
    assert!(!follower.replace(before.clone(), at(3)));
    let stale = list_at(3, before);
    assert_eq!(follow(&mut follower, &stale, 3), ListVerdict::Outdated);
    assert!(follower.entries()[0].is_leaving);
}

/// Guards against a change that is never sent since a restored store gave it a lower revision, or one that
/// another change had.
#[test]
fn a_change_under_a_revision_that_was_given_out_before_is_not_missed() {
    for (lost, revision) in [(30, 20), (30, 30)] {
        let mut reader = list_at(1, vec![listed("e1", 5), listed("e2", lost)]);
        let mut follower = ListedEntries::default();
        assert_eq!(follow(&mut follower, &reader, 1), ListVerdict::Applied);
        assert!(reader.replace(vec![leaving("e1", revision), listed("e2", 6)], at(2)));
        assert_eq!(follow(&mut follower, &reader, 2), ListVerdict::Applied);
        assert_eq!(follower.entries(), reader.entries());
        assert_eq!(follower.newest(), revision);
    }
}

/// Guards against an entry that was restored to the same revision with other content.
#[test]
fn an_entry_with_other_content_at_the_same_revision_is_not_missed() {
    let mut reader = list_at(1, vec![listed("e1", 5)]);
    let mut follower = reader.clone();
    assert!(reader.replace(vec![leaving("e1", 5)], at(2)));
    assert_eq!(follow(&mut follower, &reader, 2), ListVerdict::Applied);
    assert!(follower.entries()[0].is_leaving);
}

/// Guards against trust in changes alone from a release that sends no digest of its list.
#[test]
fn without_a_digest_only_a_whole_list_is_applied() {
    let reader = list_at(2, vec![leaving("e1", 5), listed("e2", 6)]);
    let mut follower = list_at(1, vec![listed("e1", 8), listed("e2", 9)]);
    let changes = reader.changes_since(follower.newest());
    assert_eq!(follower.apply(changes, None, at(2)), ListVerdict::Incomplete);
    let changes = reader.changes_since(follower.needed_since(false));
    assert_eq!(follower.apply(changes, None, at(2)), ListVerdict::Applied);
    assert_eq!(follower.entries(), reader.entries());
}

/// What the store does in a step of a run.
#[derive(Clone, Copy, Debug)]
enum StoreStep {
    Write,
    Leave,
    Remove,
    /// A copy is taken, from which a later step restores.
    Copy,
    Restore,
}

fn store_step() -> impl Strategy<Value = StoreStep> {
    prop_oneof![
        4 => Just(StoreStep::Write),
        2 => Just(StoreStep::Leave),
        1 => Just(StoreStep::Remove),
        1 => Just(StoreStep::Copy),
        2 => Just(StoreStep::Restore),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Whatever changes, restores and lost answers, of two hosts that read the store a follower that has
    /// applied an answer has the list of the host that gave it, and never an older one than before.
    #[test]
    fn applied_changes_give_the_followers_list(
        steps in prop::collection::vec((0_usize..5, store_step(), 0_usize..3, 0_usize..4), 1..60),
    ) {
        let (mut current, mut revision) = (BTreeMap::new(), 0_u64);
        let mut copies = vec![(current.clone(), revision)];
        let mut readers = [ListedEntries::default(), ListedEntries::default()];
        let mut read_at = [0_u64; 2];
        let (mut follower, mut known_at) = (ListedEntries::default(), 0_u64);
        for (step, (number, change, reader, answer)) in (1_u64..).zip(steps) {
            let name = format!("e{number}");
            revision += 1;
            match change {
                StoreStep::Write => drop(current.insert(name.clone(), listed(&name, revision))),
                StoreStep::Leave => drop(current.insert(name.clone(), leaving(&name, revision))),
                StoreStep::Remove => drop(current.remove(&name)),
                StoreStep::Copy => copies.push((current.clone(), revision)),
                StoreStep::Restore => {
                    (current, revision) = copies[number % copies.len()].clone();
                }
            }
            if let Some(list) = readers.get_mut(reader) {
                prop_assert!(list.replace(current.values().cloned().collect(), at(step)));
                read_at[reader] = step;
            }
            if let Some(list) = readers.get(answer) {
                let expected = read_at[answer];
                if expected == 0 {
                    continue;
                }
                match follow(&mut follower, list, expected) {
                    ListVerdict::Applied => {
                        prop_assert!(expected >= known_at);
                        prop_assert_eq!(follower.entries(), list.entries());
                        prop_assert_eq!(follower.digest(), list.digest());
                        known_at = expected;
                    }
                    ListVerdict::Outdated => prop_assert!(expected < known_at),
                    ListVerdict::Incomplete => prop_assert!(false, "a whole list suffices"),
                }
            }
        }
    }
}

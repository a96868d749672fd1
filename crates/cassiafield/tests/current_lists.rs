//! The revision of a host's lists never decreases.

use {
    cassiafield::version::{CurrentLists, ListVersion},
    cassiafield_core::{ids::ListRevision, version::FleetLists},
};

fn version(revision: u64) -> ListVersion {
    ListVersion { revision: ListRevision(revision), lists: FleetLists::default() }
}

#[test]
fn a_lower_or_equal_revision_is_ignored() {
    let current_lists = CurrentLists::new();
    assert!(current_lists.replace_if_newer(version(5)));
    assert!(!current_lists.replace_if_newer(version(4)));
    assert!(!current_lists.replace_if_newer(version(5)));
    assert_eq!(current_lists.revision(), ListRevision(5));
    assert!(current_lists.replace_if_newer(version(6)));
}

#[test]
fn many_threads_end_at_the_highest_revision_and_never_see_a_lower_one() {
    let current_lists = CurrentLists::new();
    std::thread::scope(|scope| {
        for thread in 0..8_u64 {
            let current_lists = &current_lists;
            scope.spawn(move || {
                let mut seen = 0;
                for step in 0..2_000 {
                    current_lists.replace_if_newer(version((step * 7 + thread * 13) % 5_000));
                    let found = current_lists.revision().0;
                    assert!(found >= seen, "the revision decreased from {seen} to {found}");
                    seen = found;
                }
            });
        }
    });
    let highest = (0..8_u64).flat_map(|t| (0..2_000).map(move |s| (s * 7 + t * 13) % 5_000)).max();
    assert_eq!(Some(current_lists.revision().0), highest);
}

//! Lists on a host never go back.

use {
    cassiafield::version::{CurrentLists, ListVersion},
    cassiafield_core::{ids::ListRevision, version::FleetLists},
};

fn version(revision: u64) -> ListVersion {
    ListVersion { revision: ListRevision(revision), lists: FleetLists::default() }
}

#[test]
fn a_lower_or_equal_revision_is_ignored() {
    let holder = CurrentLists::new();
    assert!(holder.replace_if_newer(version(5)));
    assert!(!holder.replace_if_newer(version(4)));
    assert!(!holder.replace_if_newer(version(5)));
    assert_eq!(holder.revision(), ListRevision(5));
    assert!(holder.replace_if_newer(version(6)));
}

#[test]
fn many_threads_end_at_the_highest_revision_and_never_see_a_lower_one() {
    let holder = CurrentLists::new();
    std::thread::scope(|scope| {
        for thread in 0..8_u64 {
            let holder = &holder;
            scope.spawn(move || {
                let mut seen = 0;
                for step in 0..2_000 {
                    holder.replace_if_newer(version((step * 7 + thread * 13) % 5_000));
                    let found = holder.revision().0;
                    assert!(found >= seen, "went back from {seen} to {found}");
                    seen = found;
                }
            });
        }
    });
    let highest = (0..8_u64).flat_map(|t| (0..2_000).map(move |s| (s * 7 + t * 13) % 5_000)).max();
    assert_eq!(Some(holder.revision().0), highest);
}

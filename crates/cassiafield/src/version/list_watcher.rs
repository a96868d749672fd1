use {
    crate::{
        connection::{PlatformStore, StoreEntry, StoreError},
        process::LogEvent,
        version::{CurrentLists, ListVersion, LISTS_KEY},
    },
    cassiafield_core::ids::ListRevision,
    std::{sync::Arc, time::Duration},
};

/// How a host gets new revisions from the store; it also gets them from peers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchRole {
    /// Keeps a watch on the store.
    Watcher,
    /// Polls the store.
    Poller,
}

/// Loads new revisions of the lists from the platform store.
pub struct ListWatcher {
    store: Arc<dyn PlatformStore>,
    current_lists: Arc<CurrentLists>,
    reachable: bool,
}

impl ListWatcher {
    /// Maximum duration of one watch.
    pub const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
    /// Mean time between polls.
    pub const POLL_INTERVAL: Duration = Duration::from_secs(4);

    /// Creates a watcher.
    #[must_use]
    pub fn new(store: Arc<dyn PlatformStore>, current_lists: Arc<CurrentLists>) -> Self {
        Self { store, current_lists, reachable: true }
    }

    /// Loads a newer revision if there is one; returns `true` if the store responded.
    ///
    /// A watcher waits for a change up to [`Self::WATCH_TIMEOUT`]; a poller does not wait.
    pub fn sync(&mut self, role: WatchRole) -> bool {
        let current = self.current_lists.revision().0;
        let mut result = self.store.read_if_newer(LISTS_KEY, current);
        if role == WatchRole::Watcher && matches!(result, Ok(None)) && current > 0 {
            result = self.store.watch(LISTS_KEY, current + 1, Self::WATCH_TIMEOUT);
        }
        self.log_reachability(&result);
        match result {
            Ok(found) => {
                if let Some(entry) = found {
                    install_entry(&self.current_lists, &entry);
                }
                true
            }
            Err(_) => false,
        }
    }

    fn log_reachability(&mut self, result: &Result<Option<StoreEntry>, StoreError>) {
        match result {
            Err(error) if self.reachable => LogEvent::StoreUnreachable.log(error),
            Ok(_) if !self.reachable => LogEvent::StoreBack.log("lists"),
            _ => {}
        }
        self.reachable = result.is_ok();
    }
}

/// Installs the lists of an entry if they are newer; an entry that cannot be parsed is skipped.
fn install_entry(current_lists: &CurrentLists, entry: &StoreEntry) {
    match serde_json::from_slice(&entry.value) {
        Ok(lists) => {
            let revision = ListRevision(entry.revision);
            if current_lists.replace_if_newer(ListVersion { revision, lists }) {
                LogEvent::ListsTaken.log(revision);
            }
        }
        Err(error) => LogEvent::ListsRejected.log(error),
    }
}

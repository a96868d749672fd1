use {
    crate::{
        connection::{PlatformStore, StoreEntry, StoreError},
        process::LogEvent,
        version::{CurrentLists, ListVersion, LISTS_KEY},
    },
    cassiafield_core::ids::ListRevision,
    std::{sync::Arc, time::Duration},
};

/// How a host learns of new revisions from the store; peers tell it in any case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchRole {
    /// Keeps a watch on the store.
    Watcher,
    /// Asks the store now and then.
    Poller,
}

/// Brings new revisions of the lists from the platform store to the holder.
pub struct ListWatcher {
    store: Arc<dyn PlatformStore>,
    holder: Arc<CurrentLists>,
    reachable: bool,
}

impl ListWatcher {
    /// Time for which one watch waits.
    pub const WATCH_TIMEOUT: Duration = Duration::from_secs(4);
    /// Mean time between polls.
    pub const POLL_INTERVAL: Duration = Duration::from_secs(4);

    /// Creates a watcher.
    #[must_use]
    pub fn new(store: Arc<dyn PlatformStore>, holder: Arc<CurrentLists>) -> Self {
        Self { store, holder, reachable: true }
    }

    /// Makes one round and returns whether the store answered.
    ///
    /// A watcher's round waits for a change; a poller's round returns at once.
    pub fn sync(&mut self, role: WatchRole) -> bool {
        let current = self.holder.revision().0;
        let mut result = self.store.read_if_newer(LISTS_KEY, current);
        if role == WatchRole::Watcher && matches!(result, Ok(None)) && current > 0 {
            result = self.store.watch(LISTS_KEY, current + 1, Self::WATCH_TIMEOUT);
        }
        self.log_reachability(&result);
        match result {
            Ok(found) => {
                if let Some(entry) = found {
                    install_entry(&self.holder, &entry);
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

/// Reads an entry and takes it if it is newer; what cannot be read is left alone.
fn install_entry(holder: &CurrentLists, entry: &StoreEntry) {
    match serde_json::from_slice(&entry.value) {
        Ok(lists) => {
            let revision = ListRevision(entry.revision);
            if holder.replace_if_newer(ListVersion { revision, lists }) {
                LogEvent::ListsTaken.log(revision);
            }
        }
        Err(error) => LogEvent::ListsRejected.log(error),
    }
}

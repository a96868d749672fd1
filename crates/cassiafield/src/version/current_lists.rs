use {
    cassiafield_core::{ids::ListRevision, version::FleetLists},
    std::sync::{Arc, PoisonError, RwLock},
};

/// Key of the operators' lists in the platform store.
pub const LISTS_KEY: &str = "cassiafield/lists";

/// The lists at one revision.
#[derive(Clone, Debug, Default)]
pub struct ListVersion {
    /// The revision.
    pub revision: ListRevision,
    /// The lists.
    pub lists: FleetLists,
}

/// The lists in force on this host; their revision never goes back.
#[derive(Debug, Default)]
pub struct CurrentLists {
    current: RwLock<Arc<ListVersion>>,
}

impl CurrentLists {
    /// Creates a holder without lists, at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the lists in force.
    #[must_use]
    pub fn current(&self) -> Arc<ListVersion> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the revision in force; 0 means that there are no lists yet.
    #[must_use]
    pub fn revision(&self) -> ListRevision {
        self.current().revision
    }

    /// Takes a version if it is newer than the one in force; returns whether it was.
    pub fn replace_if_newer(&self, version: ListVersion) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let newer = version.revision > current.revision;
        if newer {
            *current = Arc::new(version);
        }
        newer
    }
}

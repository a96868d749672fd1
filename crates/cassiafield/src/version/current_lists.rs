use {
    cassiafield_core::{ids::ListRevision, version::FleetLists},
    std::sync::{Arc, PoisonError, RwLock},
};

/// Key of the operators' lists in the platform store.
pub const LISTS_KEY: &str = "cassiafield/lists";

/// The operators' lists at one revision.
#[derive(Clone, Debug, Default)]
pub struct ListVersion {
    /// The revision.
    pub revision: ListRevision,
    /// The lists.
    pub lists: FleetLists,
}

/// The lists that this host currently applies; their revision never decreases.
#[derive(Debug, Default)]
pub struct CurrentLists {
    current: RwLock<Arc<ListVersion>>,
}

impl CurrentLists {
    /// Creates empty lists at revision 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current lists.
    #[must_use]
    pub fn current(&self) -> Arc<ListVersion> {
        self.current.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the current revision; 0 means that no lists were loaded yet.
    #[must_use]
    pub fn revision(&self) -> ListRevision {
        self.current().revision
    }

    /// Replaces the current version if `version` is newer; returns `true` if it was replaced.
    pub fn replace_if_newer(&self, version: ListVersion) -> bool {
        let mut current = self.current.write().unwrap_or_else(PoisonError::into_inner);
        let newer = version.revision > current.revision;
        if newer {
            *current = Arc::new(version);
        }
        newer
    }
}

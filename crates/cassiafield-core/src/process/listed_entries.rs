use {
    crate::{ids::EndpointId, process::EndpointEntry},
    std::collections::BTreeMap,
};

/// An entry of the platform's list, with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListedEntry {
    /// The revision.
    pub revision: u64,
    /// The entry.
    pub entry: EndpointEntry,
}

/// The changes of the list since the newest revision that a peer has.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListChanges {
    /// Entries with higher revisions.
    pub changed: Vec<ListedEntry>,
    /// All listed endpoints.
    pub listed: Vec<EndpointId>,
}

/// The latest copy of the platform's list of endpoints.
///
/// The revisions of the entries allow hosts to send each other only the changes.
#[derive(Clone, Debug, Default)]
pub struct ListedEntries {
    entries: BTreeMap<EndpointId, ListedEntry>,
}

impl ListedEntries {
    /// Replaces all entries with a complete list.
    pub fn replace(&mut self, list: Vec<ListedEntry>) {
        let by_endpoint = list.into_iter().map(|listed| (listed.entry.endpoint.clone(), listed));
        self.entries = by_endpoint.collect();
    }

    /// Returns the newest revision of all entries, or 0 if there are none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.entries.values().map(|listed| listed.revision).max().unwrap_or(0)
    }

    /// Returns the changes for a peer that has all entries up to revision `newest`.
    #[must_use]
    pub fn changes_since(&self, newest: u64) -> ListChanges {
        let changed = self.entries.values().filter(|listed| listed.revision > newest);
        ListChanges {
            changed: changed.cloned().collect(),
            listed: self.entries.keys().cloned().collect(),
        }
    }

    /// Applies the changes sent by a peer; returns `true` if the list is complete afterwards.
    ///
    /// If an entry is missing, the list is left unchanged.
    pub fn apply(&mut self, changes: ListChanges) -> bool {
        let mut changed: BTreeMap<EndpointId, ListedEntry> = changes
            .changed
            .into_iter()
            .map(|listed| (listed.entry.endpoint.clone(), listed))
            .collect();
        let mut entries = BTreeMap::new();
        for endpoint in changes.listed {
            let known = self.entries.get(&endpoint);
            // An entry that this host has read itself may be newer than the peer's.
            let newer = changed
                .remove(&endpoint)
                .filter(|listed| known.is_none_or(|known| known.revision <= listed.revision));
            match newer.or_else(|| known.cloned()) {
                Some(listed) => drop(entries.insert(endpoint, listed)),
                None => return false,
            }
        }
        self.entries = entries;
        true
    }

    /// Returns all entries.
    #[must_use]
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().map(|listed| listed.entry.clone()).collect()
    }
}

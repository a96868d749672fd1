use {
    crate::{ids::EndpointId, process::EndpointEntry},
    std::collections::BTreeMap,
};

/// An entry of the platform's list and the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListedEntry {
    /// The revision.
    pub revision: u64,
    /// The entry.
    pub entry: EndpointEntry,
}

/// What changed in the list since the newest revision that a peer has.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListChanges {
    /// Entries with higher revisions.
    pub changed: Vec<ListedEntry>,
    /// Every endpoint that is listed.
    pub listed: Vec<EndpointId>,
}

/// The platform's list of endpoints as it was read last, with revisions, so that hosts can pass
/// changes on to each other.
#[derive(Clone, Debug, Default)]
pub struct ListedEntries {
    entries: BTreeMap<EndpointId, ListedEntry>,
}

impl ListedEntries {
    /// Takes a whole list.
    pub fn replace(&mut self, list: Vec<ListedEntry>) {
        let named = list.into_iter().map(|listed| (listed.entry.endpoint.clone(), listed));
        self.entries = named.collect();
    }

    /// Returns the newest revision of an entry; 0 without entries.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.entries.values().map(|listed| listed.revision).max().unwrap_or(0)
    }

    /// Returns what a peer needs that has every entry up to revision `newest`.
    #[must_use]
    pub fn changes_since(&self, newest: u64) -> ListChanges {
        let changed = self.entries.values().filter(|listed| listed.revision > newest);
        ListChanges {
            changed: changed.cloned().collect(),
            listed: self.entries.keys().cloned().collect(),
        }
    }

    /// Applies a peer's changes; returns whether the list is whole, else nothing has changed.
    pub fn apply(&mut self, changes: ListChanges) -> bool {
        let mut changed: BTreeMap<EndpointId, ListedEntry> = changes
            .changed
            .into_iter()
            .map(|listed| (listed.entry.endpoint.clone(), listed))
            .collect();
        let mut entries = BTreeMap::new();
        for endpoint in changes.listed {
            let known = self.entries.get(&endpoint);
            // What this host has read itself may be newer than what the peer has.
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

    /// Returns every entry.
    #[must_use]
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().map(|listed| listed.entry.clone()).collect()
    }
}

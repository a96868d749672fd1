use {
    crate::{
        ids::{EndpointId, Moment},
        process::{EndpointEntry, ListDigest},
    },
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

/// What a host has done with the changes that a peer sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListVerdict {
    /// The list is that of the peer now.
    Applied,
    /// The own list is newer and stays.
    Outdated,
    /// The changes do not lead to the peer's list; all its entries are needed.
    Incomplete,
}

/// The latest copy of the platform's list of endpoints, and as of when it is known.
///
/// Of two copies, the one whose read began later is newer. Revisions only select the entries that hosts send
/// each other: a restored store assigns them again, so the digest tells whether a copy equals the
/// sender's list.
#[derive(Clone, Debug, Default)]
pub struct ListedEntries {
    entries: BTreeMap<EndpointId, DigestedEntry>,
    digest: ListDigest,
    known_at: Option<Moment>,
}

#[derive(Clone, Debug)]
struct DigestedEntry {
    listed: ListedEntry,
    digest: ListDigest,
}

impl From<ListedEntry> for DigestedEntry {
    fn from(listed: ListedEntry) -> Self {
        Self { digest: ListDigest::of(&listed), listed }
    }
}

impl ListedEntries {
    /// Number of entries above which a complete list does not fit a message between hosts.
    const MAX_SENT_ENTRIES: usize = 400;

    /// Replaces all entries with a complete list that was requested at `requested_at`, unless a newer one
    /// is known; returns `true` if it did.
    pub fn replace(&mut self, list: Vec<ListedEntry>, requested_at: Moment) -> bool {
        if self.is_newer_than(requested_at) {
            return false;
        }
        let digested = list.into_iter().map(|listed| {
            let endpoint = listed.entry.endpoint.clone();
            let known = self.entries.remove(&endpoint).filter(|known| known.listed == listed);
            (endpoint, known.unwrap_or_else(|| listed.into()))
        });
        let entries = digested.collect();
        self.set(entries, requested_at);
        true
    }

    fn set(&mut self, entries: BTreeMap<EndpointId, DigestedEntry>, known_at: Moment) {
        self.digest = digest_of(&entries);
        self.entries = entries;
        self.known_at = Some(known_at);
    }

    fn is_newer_than(&self, moment: Moment) -> bool {
        self.known_at.is_some_and(|known_at| known_at > moment)
    }

    /// Returns the revision above which a peer's entries are needed.
    ///
    /// It is 0 for a peer of an earlier release, which sends no digest, unless the list is too long for a
    /// message.
    #[must_use]
    pub fn needed_since(&self, sends_digest: bool) -> u64 {
        let needs_all = !sends_digest && self.entries.len() <= Self::MAX_SENT_ENTRIES;
        if needs_all {
            0
        } else {
            self.newest()
        }
    }

    /// Returns the newest revision of all entries, or 0 if there are none.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.entries.values().map(|known| known.listed.revision).max().unwrap_or(0)
    }

    /// Returns the digest of the list.
    #[must_use]
    pub const fn digest(&self) -> ListDigest {
        self.digest
    }

    /// Returns the changes for a peer that has all entries up to revision `newest`.
    #[must_use]
    pub fn changes_since(&self, newest: u64) -> ListChanges {
        let all = self.entries.values().map(|known| &known.listed);
        let changed = all.filter(|listed| listed.revision > newest);
        ListChanges {
            changed: changed.cloned().collect(),
            listed: self.entries.keys().cloned().collect(),
        }
    }

    /// Applies the changes sent by a peer whose list has the given digest and is known as of `known_at`.
    ///
    /// Earlier releases send no digest; only complete lists of theirs are applied, unless the list is too
    /// long for a message. Nothing is applied if the result would differ from the peer's list.
    pub fn apply(
        &mut self,
        changes: ListChanges,
        digest: Option<ListDigest>,
        known_at: Moment,
    ) -> ListVerdict {
        if self.is_newer_than(known_at) {
            return ListVerdict::Outdated;
        }
        let ListChanges { changed, listed } = changes;
        let changed = changed.into_iter().map(|listed| (listed.entry.endpoint.clone(), listed));
        let mut changed: BTreeMap<EndpointId, ListedEntry> = changed.collect();
        let mut entries = BTreeMap::new();
        let mut is_complete = true;
        for endpoint in listed {
            let sent = changed.remove(&endpoint).map(DigestedEntry::from);
            is_complete &= sent.is_some();
            match sent.or_else(|| self.entries.get(&endpoint).cloned()) {
                Some(known) => drop(entries.insert(endpoint, known)),
                None => return ListVerdict::Incomplete,
            }
        }
        let is_same = match digest {
            Some(digest) => digest == digest_of(&entries),
            None => entries.len() > Self::MAX_SENT_ENTRIES,
        };
        if !is_complete && !is_same {
            return ListVerdict::Incomplete;
        }
        self.set(entries, known_at);
        ListVerdict::Applied
    }

    /// Returns all entries.
    #[must_use]
    pub fn entries(&self) -> Vec<EndpointEntry> {
        self.entries.values().map(|known| known.listed.entry.clone()).collect()
    }
}

fn digest_of(entries: &BTreeMap<EndpointId, DigestedEntry>) -> ListDigest {
    entries.values().fold(ListDigest::default(), |digest, known| digest.with(known.digest))
}

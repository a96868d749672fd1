use {
    crate::{
        admission::{AdmissionTicket, RequestPriority, WaitingRequest},
        ids::{HostId, Moment, OrganisationId},
    },
    std::{cmp::Reverse, collections::BTreeMap},
};

/// A waiting request with its host and the end of its wait.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderedRequest {
    /// The request.
    pub request: WaitingRequest,
    /// When its wait ends.
    pub expires_at: Moment,
    /// Number of requests that were granted room while it was first and found none.
    pub overtaken: u32,
}

/// Names a waiting request among those of all hosts.
pub type RequestKey = (HostId, AdmissionTicket);

/// The requests that wait, in the order in which they are granted room.
///
/// More urgent ranks go first. Within a rank, organisations go first that use less than twice the equal
/// share of the memory, then those under four times, and so on; among equals the one whose wait ends first.
/// One grant in several disregards ranks, so that no rank is never served.
#[derive(Clone, Debug, Default)]
pub struct AdmissionOrder {
    entries: BTreeMap<RequestKey, OrderedRequest>,
}

impl AdmissionOrder {
    /// Largest number of requests that wait in a zone; more would not be served within their waits.
    pub const MAX_WAITING: usize = 2_048;
    /// Largest number of bands of usage above the equal share; organisations beyond are equals.
    const MAX_BAND: f64 = 16.0;

    /// Adds or updates a request; returns `false` if no more fit.
    ///
    /// A request that is known keeps the end of its wait: reports arrive late at times.
    pub fn insert(&mut self, host: &HostId, request: WaitingRequest, now: Moment) -> bool {
        let key = (host.clone(), request.ticket);
        if self.entries.contains_key(&key) {
            return true;
        }
        if self.entries.len() >= Self::MAX_WAITING {
            return false;
        }
        let wait = std::time::Duration::from_millis(u64::from(request.wait_left_ms));
        let entry = OrderedRequest { request, expires_at: now + wait, overtaken: 0 };
        self.entries.insert(key, entry);
        true
    }

    /// Removes a request.
    pub fn remove(&mut self, key: &RequestKey) -> Option<OrderedRequest> {
        self.entries.remove(key)
    }

    /// Keeps the requests that `keep` returns `true` for.
    pub fn retain(&mut self, mut keep: impl FnMut(&RequestKey, &OrderedRequest) -> bool) {
        self.entries.retain(|key, entry| keep(key, entry));
    }

    /// Returns a request.
    #[must_use]
    pub fn get(&self, key: &RequestKey) -> Option<&OrderedRequest> {
        self.entries.get(key)
    }

    /// Counts a request as overtaken by one that was granted room before it.
    pub fn record_overtaken(&mut self, key: &RequestKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.overtaken = entry.overtaken.saturating_add(1);
        }
    }

    /// Returns all requests in order; `by_rank` says whether ranks count.
    pub fn sorted(
        &self,
        by_rank: bool,
        mut excess: impl FnMut(&OrganisationId) -> f64,
    ) -> Vec<RequestKey> {
        let mut bands: BTreeMap<&OrganisationId, u32> = BTreeMap::new();
        let mut keyed: Vec<_> = self
            .entries
            .iter()
            .map(|(key, entry)| {
                let band = entry.request.organisation.as_ref().map_or(0, |organisation| {
                    *bands.entry(organisation).or_insert_with(|| Self::band(excess(organisation)))
                });
                let rank = if by_rank { entry.request.priority } else { RequestPriority::LAST };
                // Of equals, the one that was overtaken most goes first.
                ((rank, band, entry.expires_at, Reverse(entry.overtaken)), key)
            })
            .collect();
        keyed.sort();
        keyed.into_iter().map(|(_, key)| key.clone()).collect()
    }

    /// Returns the number of doublings of an organisation's usage above the equal share.
    fn band(excess: f64) -> u32 {
        let doublings = excess.max(1.0).log2().min(Self::MAX_BAND);
        // In range by the bounds above.
        doublings as u32
    }

    /// Returns the requests, by host.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestKey, &OrderedRequest)> {
        self.entries.iter()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns `true` if no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

use {
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::RouteStage,
    },
    std::{
        cell::{Cell, RefCell},
        hash::{DefaultHasher, Hash as _, Hasher as _},
    },
};

/// Shows other streams of the host when a stream made progress, and through which endpoints.
#[derive(Debug, Default)]
pub struct StreamTrack {
    /// Hashes of the path's endpoints: streams compare them often.
    endpoints: RefCell<Vec<u64>>,
    progressed_at: Cell<Moment>,
}

impl StreamTrack {
    /// Records the stream's path; none if another host carries it.
    pub fn record_path(&self, stages: &[RouteStage]) {
        let hashes = stages.iter().map(|stage| Self::hash_of(&stage.endpoint));
        *self.endpoints.borrow_mut() = hashes.collect();
    }

    /// Records that events arrived at `now` over the recorded path.
    pub fn record_events(&self, now: Moment) {
        self.progressed_at.set(now);
    }

    /// Returns `true` if events arrived at `since` or later through the endpoint with that hash.
    #[must_use]
    pub fn has_progressed(&self, endpoint: u64, since: Moment) -> bool {
        self.progressed_at.get() >= since && self.endpoints.borrow().contains(&endpoint)
    }

    /// Returns the hash by which tracks know an endpoint.
    #[must_use]
    pub fn hash_of(endpoint: &EndpointId) -> u64 {
        let mut hasher = DefaultHasher::new();
        endpoint.as_str().hash(&mut hasher);
        hasher.finish()
    }
}

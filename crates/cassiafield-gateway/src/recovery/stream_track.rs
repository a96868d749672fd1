use {
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::RouteStage,
    },
    std::cell::{Cell, RefCell},
};

/// Shows other streams of the host when a stream made progress, and through which endpoints.
#[derive(Debug, Default)]
pub struct StreamTrack {
    endpoints: RefCell<Vec<EndpointId>>,
    progressed_at: Cell<Moment>,
}

impl StreamTrack {
    /// Records the stream's path; none if another host carries it.
    pub fn record_path(&self, stages: &[RouteStage]) {
        *self.endpoints.borrow_mut() = stages.iter().map(|stage| stage.endpoint.clone()).collect();
    }

    /// Records that events arrived at `now` over the recorded path.
    pub fn record_events(&self, now: Moment) {
        self.progressed_at.set(now);
    }

    /// Returns `true` if events arrived through an endpoint at `since` or later.
    #[must_use]
    pub fn has_progressed(&self, endpoint: &EndpointId, since: Moment) -> bool {
        self.progressed_at.get() >= since && self.endpoints.borrow().contains(endpoint)
    }
}

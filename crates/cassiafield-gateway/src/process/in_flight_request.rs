use {
    crate::process::GatewayState,
    cassiafield_core::{
        ids::{EndpointId, OrganisationId},
        pace::{PacedStream, PlannedPart},
        process::LoadReservation,
        request::StageRoute,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Counts a request as in flight on the host until it is dropped.
pub struct InFlightRequest {
    state: Rc<GatewayState>,
    is_complete: Cell<bool>,
    /// Whether another host handed the request over.
    is_carried: bool,
}

impl InFlightRequest {
    pub(super) fn new(state: Rc<GatewayState>, is_carried: bool) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        state.carried.set(state.carried.get() + u32::from(is_carried));
        Self { state, is_complete: Cell::new(false), is_carried }
    }

    /// Records that the response is complete.
    pub fn mark_complete(&self) {
        self.is_complete.set(true);
    }

    /// Returns `true` if the response is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let Self { state, is_carried, .. } = self;
        state.in_flight.set(state.in_flight.get().saturating_sub(1));
        state.carried.set(state.carried.get().saturating_sub(u32::from(*is_carried)));
    }
}

/// Memory and streams reserved for one attempt; released when it is dropped.
pub struct ReservedLoad {
    state: Rc<GatewayState>,
    reservation: Option<LoadReservation>,
    route: StageRoute,
    /// The organisation of the stream.
    organisation: Option<OrganisationId>,
    /// The reserved tokens.
    tokens: u32,
    /// The stream in the model of paces, if its route has an objective for them.
    paced: Option<PacedStream>,
}

impl ReservedLoad {
    pub(super) fn new(
        state: Rc<GatewayState>,
        reservation: LoadReservation,
        route: StageRoute,
        organisation: Option<OrganisationId>,
        tokens: u32,
    ) -> Self {
        if let Some(organisation) = &organisation {
            state.organisations.borrow_mut().reserve(organisation, tokens);
        }
        Self { state, reservation: Some(reservation), route, organisation, tokens, paced: None }
    }

    /// Lets the stream's events correct the pace of its path's parts; they should come within `objective`.
    pub fn track_pace(&mut self, parts: Vec<PlannedPart>, objective: Duration) {
        self.paced = Some(self.state.load.borrow_mut().pace.begin(parts, objective));
    }

    /// Records the time between two events of the stream, if its pace is tracked.
    pub fn record_gap(&self, gap: Duration) {
        if let Some(paced) = self.paced {
            let now = self.state.now();
            self.state.load.borrow_mut().pace.record_gap(paced, gap, now);
        }
    }

    /// Calls `plan` as if nothing were reserved.
    pub fn without<T>(&mut self, plan: impl FnOnce() -> T) -> T {
        let Some(reservation) = self.reservation.take() else { return plan() };
        self.state.load.borrow_mut().release(reservation);
        let planned = plan();
        self.reservation = Some(self.state.load.borrow_mut().reserve(&self.route, self.tokens));
        planned
    }

    /// Moves the reservation to another route of the same stream.
    ///
    /// The pace of the stream says nothing of the parts of its former route any more.
    pub fn move_to(&mut self, route: &StageRoute) {
        if let Some(paced) = self.paced.take() {
            self.state.load.borrow_mut().pace.close(paced);
        }
        if let Some(reservation) = self.reservation.take() {
            let mut load = self.state.load.borrow_mut();
            load.release(reservation);
            self.reservation = Some(load.reserve(route, self.tokens));
            self.route = route.clone();
        }
    }

    /// Releases the reservation.
    pub fn release(&mut self) {
        if let Some(paced) = self.paced.take() {
            self.state.load.borrow_mut().pace.close(paced);
        }
        if let Some(reservation) = self.reservation.take() {
            if let Some(organisation) = &self.organisation {
                self.state.organisations.borrow_mut().release(organisation, self.tokens);
            }
            self.state.admission.record_stream_end(reservation, self.tokens, &self.state);
        }
    }
}

impl Drop for ReservedLoad {
    fn drop(&mut self) {
        self.release();
    }
}

/// Counts a request as in flight at an endpoint until it is dropped.
pub struct DispatchedRequest {
    state: Rc<GatewayState>,
    endpoint: EndpointId,
}

impl DispatchedRequest {
    pub(super) fn new(state: Rc<GatewayState>, endpoint: EndpointId) -> Self {
        state.directory.borrow_mut().record_dispatch(&endpoint);
        Self { state, endpoint }
    }
}

impl Drop for DispatchedRequest {
    fn drop(&mut self) {
        self.state.directory.borrow_mut().record_end(&self.endpoint);
    }
}

use {
    crate::process::GatewayState,
    cassiafield_core::{ids::EndpointId, process::LoadReservation},
    std::{cell::Cell, rc::Rc},
};

/// Counts a request as running on the host until it is dropped.
pub struct RunningRequest {
    state: Rc<GatewayState>,
    is_complete: Cell<bool>,
}

impl RunningRequest {
    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        state.running.set(state.running.get() + 1);
        Self { state, is_complete: Cell::new(false) }
    }

    /// Records that the answer is complete.
    pub fn complete(&self) {
        self.is_complete.set(true);
    }

    /// Says whether the answer is complete.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete.get()
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.running.set(self.state.running.get().saturating_sub(1));
    }
}

/// Memory and streams booked for one attempt; given back when it is dropped.
pub struct ReservedLoad {
    state: Rc<GatewayState>,
    ticket: Option<LoadReservation>,
}

impl ReservedLoad {
    pub(super) const fn new(state: Rc<GatewayState>, ticket: LoadReservation) -> Self {
        Self { state, ticket: Some(ticket) }
    }

    /// Gives back what was booked.
    pub fn close(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.state.load.borrow_mut().release(ticket);
            self.state.waiting.stream_ended(self.state.now());
        }
    }
}

impl Drop for ReservedLoad {
    fn drop(&mut self) {
        self.close();
    }
}

/// Counts a request as running at an endpoint until it is dropped.
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

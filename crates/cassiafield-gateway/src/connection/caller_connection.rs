use {
    cassiafield_core::{ids::Moment, process::ConnectionActivity},
    compact_str::CompactString,
    std::{cell::RefCell, rc::Rc},
    tokio::net::TcpStream,
};

/// A connection from a caller.
pub struct CallerConnection {
    pub(super) socket: RefCell<TcpStream>,
    pub(super) activity: RefCell<ConnectionActivity>,
    request: RefCell<Option<RequestLabel>>,
}

/// What the log says about the request that a connection carries.
#[derive(Clone, Debug)]
pub struct RequestLabel {
    /// The caller's id of the request.
    pub id: CompactString,
    /// The name of the route.
    pub route: CompactString,
    /// When the head was complete.
    pub received_at: Moment,
}

/// Marks a response as not yet complete until it is dropped.
pub struct ResponseGuard(Rc<CallerConnection>);

impl CallerConnection {
    pub(super) fn new(socket: TcpStream) -> Self {
        let socket = RefCell::new(socket);
        Self { socket, activity: RefCell::default(), request: RefCell::default() }
    }

    /// Returns the activity so far.
    #[must_use]
    pub fn activity(&self) -> ConnectionActivity {
        *self.activity.borrow()
    }

    /// Returns the label of the latest request.
    #[must_use]
    pub fn request(&self) -> Option<RequestLabel> {
        self.request.borrow().clone()
    }

    /// Sets the label of the current request.
    pub fn set_request(&self, label: RequestLabel) {
        *self.request.borrow_mut() = Some(label);
    }

    /// Records that the body of the current request was read completely.
    pub fn record_body_end(&self) {
        self.activity.borrow_mut().record_body_end();
    }

    /// Records that a head is complete; the response lasts until the guard is dropped.
    pub(super) fn begin_request(self: &Rc<Self>) -> ResponseGuard {
        self.activity.borrow_mut().record_request();
        *self.request.borrow_mut() = None;
        ResponseGuard(Rc::clone(self))
    }
}

impl std::fmt::Debug for ResponseGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ResponseGuard").finish_non_exhaustive()
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.activity.borrow_mut().record_response_end();
    }
}

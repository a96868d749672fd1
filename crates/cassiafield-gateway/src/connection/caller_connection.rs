use {
    crate::resources::{MemoryCharge, WriteGate},
    cassiafield_core::{
        ids::Moment,
        process::{ClosePolicy, CloseReason, ConnectionActivity},
    },
    compact_str::CompactString,
    socket2::SockRef,
    std::{
        cell::{Cell, RefCell},
        future::poll_fn,
        io,
        mem::MaybeUninit,
        net::Shutdown,
        pin::Pin,
        rc::{Rc, Weak},
        task::{ready, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead as _, ReadBuf},
        net::TcpStream,
        time::timeout,
    },
};

/// A connection from a caller.
pub struct CallerConnection {
    pub(super) socket: RefCell<TcpStream>,
    pub(super) activity: RefCell<ConnectionActivity>,
    request: RefCell<Option<RequestLabel>>,
    is_closing: Cell<bool>,
    pub(super) gate: WriteGate,
    /// The charge of the answer that is being written, if it has one.
    answer: RefCell<Weak<MemoryCharge>>,
    /// Whether others need the connection's room.
    is_unwanted: Cell<bool>,
}

/// Labels of a connection's current request in the log.
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
    /// Size of the buffer for bytes that are discarded.
    const DISCARD_BUFFER_BYTES: usize = 4 * 1_024;

    pub(super) fn new(socket: TcpStream) -> Self {
        let socket = RefCell::new(socket);
        Self {
            socket,
            activity: RefCell::default(),
            request: RefCell::default(),
            is_closing: Cell::new(false),
            gate: WriteGate::default(),
            answer: RefCell::default(),
            is_unwanted: Cell::new(false),
        }
    }

    /// Sets the charge of the answer that is being written.
    pub fn set_answer(&self, charge: &Rc<MemoryCharge>) {
        *self.answer.borrow_mut() = Rc::downgrade(charge);
    }

    /// Has the connection closed as soon as nothing passes on it.
    pub(super) fn set_unwanted(&self) {
        self.is_unwanted.set(true);
    }

    pub(super) fn is_unwanted(&self) -> bool {
        self.is_unwanted.get()
    }

    /// Returns `true` if a part of a held answer has not been written.
    pub(super) fn has_unread_answer(&self) -> bool {
        self.answer.borrow().strong_count() > 0
    }

    /// Returns `true` if others need the memory of the answer that is being written.
    pub(super) fn is_answer_evicted(&self) -> bool {
        self.answer.borrow().upgrade().is_some_and(|charge| charge.is_evicted())
    }

    /// Returns `true` if a part of a request has been read and the request not been answered
    /// completely.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        !self.is_closing.get() && !self.activity.borrow().is_between_requests()
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

    /// Returns `true` if the socket holds bytes, an error or the end of the input that have not been
    /// read yet.
    pub(super) fn has_unread_input(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.socket.borrow()).peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the connection without losing what the caller has still to read.
    ///
    /// A socket that is closed while it holds unread bytes, or that receives bytes after its close,
    /// resets the connection, and the reset discards what is on its way to the caller. So the host
    /// ends its own side first, and then discards input until the caller has ended the other, for
    /// `linger_timeout` at most.
    pub(super) async fn close(&self, linger_timeout: Duration) {
        self.is_closing.set(true);
        // It fails only if the connection is broken, and then there is nothing to wait for.
        if SockRef::from(&*self.socket.borrow()).shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut buffer = [0; Self::DISCARD_BUFFER_BYTES];
        let discarded = poll_fn(|context| loop {
            let mut unread = ReadBuf::new(&mut buffer);
            let mut socket = self.socket.borrow_mut();
            let read = ready!(Pin::new(&mut *socket).poll_read(context, &mut unread));
            if read.is_err() || unread.filled().is_empty() {
                return Poll::Ready(());
            }
        });
        // A caller that keeps its side open has had enough time to read the response.
        drop(timeout(linger_timeout, discarded).await);
    }

    /// Returns why the connection should be closed now, if it should.
    pub(super) fn check(&self, policy: &ClosePolicy, now: Moment) -> Option<CloseReason> {
        self.activity.borrow_mut().check(policy, now)
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

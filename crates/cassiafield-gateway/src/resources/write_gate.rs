use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    io,
    task::{Context, Poll, Waker},
};

/// Holds the next request of a connection back while its caller does not read the answers before.
///
/// The HTTP library buffers the answers to requests that were sent ahead without a bound.
#[derive(Debug, Default)]
pub struct WriteGate {
    is_closed: Cell<bool>,
    waiting: RefCell<Option<Waker>>,
}

impl WriteGate {
    /// Records what a write to the socket returned.
    pub fn record_write<T>(&self, written: &Poll<io::Result<T>>) {
        if written.is_pending() {
            self.is_closed.set(true);
        }
    }

    /// Records what a flush returned, which is tried only when the library's own buffer is empty.
    pub fn record_flush(&self, flushed: &Poll<io::Result<()>>) {
        if flushed.is_ready() {
            self.is_closed.set(false);
            if let Some(waker) = self.waiting.borrow_mut().take() {
                waker.wake();
            }
        }
    }

    /// Returns `true` if a request waits for its caller to read.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        self.waiting.borrow().is_some()
    }

    /// Waits until the socket has taken all that was written.
    pub async fn opened(&self) {
        poll_fn(|context| self.poll_opened(context)).await;
    }

    fn poll_opened(&self, context: &Context<'_>) -> Poll<()> {
        if !self.is_closed.get() {
            return Poll::Ready(());
        }
        *self.waiting.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}

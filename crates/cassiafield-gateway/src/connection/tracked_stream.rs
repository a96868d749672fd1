use {
    crate::connection::CallerConnection,
    bytes::{Buf as _, Bytes},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// The socket of a caller's connection, which records what passes through it.
pub(super) struct TrackedStream {
    connection: Rc<CallerConnection>,
    /// Bytes that were taken from the socket before and are read first.
    unread: Bytes,
}

impl TrackedStream {
    pub(super) const fn new(connection: Rc<CallerConnection>, unread: Bytes) -> Self {
        Self { connection, unread }
    }

    fn poll_socket<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        poll(Pin::new(&mut *self.connection.socket.borrow_mut()))
    }

    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.connection.gate.record_write(&written);
        if let Poll::Ready(Ok(count)) = &written {
            self.connection.activity.borrow_mut().record_write(*count);
        }
        written
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = if self.unread.is_empty() {
            self.poll_socket(|socket| socket.poll_read(context, buffer))
        } else {
            let count = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread[..count]);
            self.unread.advance(count);
            Poll::Ready(Ok(()))
        };
        if let Poll::Ready(Ok(())) = &read {
            self.connection.activity.borrow_mut().record_read(buffer.filled().len() - filled);
        }
        read
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.poll_socket(|socket| socket.poll_write(context, bytes));
        self.record_write(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.poll_socket(|socket| socket.poll_write_vectored(context, slices));
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.socket.borrow().is_write_vectored()
    }

    /// The HTTP library calls this only when its own buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = self.poll_socket(|socket| socket.poll_flush(context));
        self.connection.gate.record_flush(&flushed);
        if let Poll::Ready(Ok(())) = &flushed {
            self.connection.activity.borrow_mut().record_flush();
        }
        flushed
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_socket(|socket| socket.poll_shutdown(context))
    }
}

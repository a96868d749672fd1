use {
    crate::{
        connection::{CallerConnection, ResponseGuard},
        resources::{HeldBytes, MemoryCharge},
    },
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// The response was aborted before its end; the connection is closed without an end marker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted before its end")
    }
}

impl std::error::Error for ResponseAborted {}

#[derive(Debug)]
enum BodySource {
    Full(Option<Bytes>),
    /// The rest of an answer that is charged to the host's account until it is written.
    Held(Bytes, Rc<MemoryCharge>),
    Chunks(mpsc::Receiver<Result<Bytes, ResponseAborted>>),
}

/// The body of a response to a caller.
#[derive(Debug)]
pub struct ResponseBody {
    source: BodySource,
    guard: Option<ResponseGuard>,
}

impl ResponseBody {
    /// Size of the pieces in which a held answer is written, in bytes; more is left unwritten only while the caller
    /// does not read.
    const PIECE_BYTES: usize = 64 * 1_024;

    /// Creates a body from bytes.
    #[must_use]
    pub const fn from_bytes(bytes: Bytes) -> Self {
        Self { source: BodySource::Full(Some(bytes)), guard: None }
    }

    /// Creates a body from an answer that is held.
    #[must_use]
    pub fn from_held(held: HeldBytes) -> Self {
        match held.into_parts() {
            (bytes, Some(charge)) => Self { source: BodySource::Held(bytes, charge), guard: None },
            (bytes, None) => Self::from_bytes(bytes),
        }
    }

    /// Lets a connection know what its answer takes, so that it is closed if others need that.
    pub fn charge_to(&self, connection: &CallerConnection) {
        if let BodySource::Held(_, charge) = &self.source {
            charge.set_waiting(true);
            connection.set_answer(charge);
        }
    }

    /// Creates a body from a channel of chunks; it ends when the sender is dropped.
    #[must_use]
    pub const fn from_chunks(chunks: mpsc::Receiver<Result<Bytes, ResponseAborted>>) -> Self {
        Self { source: BodySource::Chunks(chunks), guard: None }
    }

    /// Keeps `guard` until the body has been sent or dropped.
    #[must_use]
    pub fn with_guard(mut self, guard: ResponseGuard) -> Self {
        self.guard = Some(guard);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut self.source {
            BodySource::Full(bytes) => Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all)))),
            BodySource::Held(rest, _) if rest.is_empty() => Poll::Ready(None),
            BodySource::Held(rest, charge) => {
                let piece = rest.split_to(rest.len().min(Self::PIECE_BYTES));
                charge.record_taken(piece.len());
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            BodySource::Chunks(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|found| found.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Held(rest, _) => rest.is_empty(),
            BodySource::Chunks(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Full(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            BodySource::Full(None) => SizeHint::with_exact(0),
            BodySource::Held(rest, _) => SizeHint::with_exact(rest.len() as u64),
            BodySource::Chunks(_) => SizeHint::default(),
        }
    }
}

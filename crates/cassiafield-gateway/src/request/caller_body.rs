use {
    crate::connection::RunningGuard,
    bytes::Bytes,
    hyper::body::{Body, Frame, SizeHint},
    std::{
        fmt,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::mpsc,
};

/// Says that an answer ends before it is complete; the connection is closed without an end mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AnswerAborted;

impl fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer ends before it is complete")
    }
}

impl std::error::Error for AnswerAborted {}

#[derive(Debug)]
enum BodySource {
    Whole(Option<Bytes>),
    Pieces(mpsc::Receiver<Result<Bytes, AnswerAborted>>),
}

/// The body of an answer to a caller.
#[derive(Debug)]
pub struct CallerBody {
    source: BodySource,
    guard: Option<RunningGuard>,
}

impl CallerBody {
    /// Creates a body of which all bytes are known.
    #[must_use]
    pub const fn whole(bytes: Bytes) -> Self {
        Self { source: BodySource::Whole(Some(bytes)), guard: None }
    }

    /// Creates a body that ends when the sender of `pieces` is dropped.
    #[must_use]
    pub const fn pieces(pieces: mpsc::Receiver<Result<Bytes, AnswerAborted>>) -> Self {
        Self { source: BodySource::Pieces(pieces), guard: None }
    }

    /// Keeps `guard` until the body has been sent or dropped.
    #[must_use]
    pub fn holding(mut self, guard: RunningGuard) -> Self {
        self.guard = Some(guard);
        self
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        match &mut self.source {
            BodySource::Whole(bytes) => Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all)))),
            BodySource::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|found| found.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            BodySource::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            BodySource::Whole(None) => SizeHint::with_exact(0),
            BodySource::Pieces(_) => SizeHint::default(),
        }
    }
}

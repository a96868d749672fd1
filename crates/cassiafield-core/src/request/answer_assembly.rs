use {
    crate::{
        ids::StreamId,
        request::{LayerSpan, StageRoute, TokenFrame},
    },
    compact_str::CompactString,
};

/// Why a frame was dropped without harm to the stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// The frame belongs to another stream.
    OtherStream,
    /// The frame belongs to another attempt of this stream.
    OtherAttempt,
    /// The position was already delivered.
    Repeated,
    /// The answer was already complete.
    AfterEnd,
}

/// What to do with a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameAction {
    /// The token is next in order; pass its text to the caller.
    Deliver(CompactString),
    /// The answer is complete.
    Complete,
    /// Ignore the frame.
    Drop(DropReason),
    /// The attempt cannot be trusted any more: a position is missing or layers ran wrongly.
    Abort,
}

/// Checks frames against the request and the route, and keeps what has been delivered.
///
/// A token is delivered only if it belongs to this stream and attempt, stands at the next
/// position, and was made by exactly the route's layer spans in order.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    stream: StreamId,
    attempt: u32,
    spans: Vec<LayerSpan>,
    tokens: Vec<CompactString>,
    complete: bool,
}

impl AnswerAssembly {
    /// Creates an assembly with no attempt begun.
    #[must_use]
    pub const fn new(stream: StreamId) -> Self {
        Self { stream, attempt: 0, spans: Vec::new(), tokens: Vec::new(), complete: false }
    }

    /// Begins the next attempt over `route` and returns its number.
    pub fn begin_attempt(&mut self, route: &StageRoute) -> u32 {
        self.attempt += 1;
        self.spans.clear();
        self.spans.extend(route.spans());
        self.attempt
    }

    /// Returns the tokens delivered so far, in order.
    #[must_use]
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Says whether the whole answer has been delivered.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Checks one frame and records it if it is to be delivered.
    pub fn accept(&mut self, frame: TokenFrame) -> FrameAction {
        if frame.stream != self.stream {
            return FrameAction::Drop(DropReason::OtherStream);
        }
        if frame.attempt != self.attempt {
            return FrameAction::Drop(DropReason::OtherAttempt);
        }
        if self.complete {
            return FrameAction::Drop(DropReason::AfterEnd);
        }
        let position = frame.position as usize;
        if position < self.tokens.len() {
            return FrameAction::Drop(DropReason::Repeated);
        }
        if position > self.tokens.len() {
            return FrameAction::Abort;
        }
        let Some(text) = frame.text else {
            self.complete = true;
            return FrameAction::Complete;
        };
        if frame.spans != self.spans {
            return FrameAction::Abort;
        }
        self.tokens.push(text.clone());
        FrameAction::Deliver(text)
    }
}

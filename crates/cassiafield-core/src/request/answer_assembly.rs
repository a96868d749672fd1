use {
    crate::{
        ids::StreamId,
        request::{LayerSpan, StageRoute, TokenFrame},
    },
    compact_str::CompactString,
};

/// Reason why a frame was ignored while its attempt goes on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DropReason {
    /// The frame belongs to another stream.
    OtherStream,
    /// The frame belongs to another attempt of this stream.
    OtherAttempt,
    /// The token at this position was already delivered.
    Repeated,
    /// The answer was already complete.
    AfterEnd,
}

/// Action to take for a frame.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FrameAction {
    /// Send the text of the next token to the caller.
    Deliver(CompactString),
    /// The answer is complete.
    Complete,
    /// Ignore the frame for this reason.
    Drop(DropReason),
    /// End the attempt: a position is missing, or the token did not pass through the layers of the
    /// route.
    Abort,
}

/// Validates token frames against their stream and route, and records the delivered tokens.
///
/// A token is delivered only if it belongs to this stream and attempt, has the next position, and
/// was computed by exactly the route's layer spans in order. Late or repeated frames of a failed
/// attempt therefore never reach the caller.
#[derive(Clone, Debug)]
pub struct AnswerAssembly {
    stream: StreamId,
    attempt: u32,
    spans: Vec<LayerSpan>,
    tokens: Vec<CompactString>,
    complete: bool,
}

impl AnswerAssembly {
    /// Creates an empty assembly; [`Self::begin_attempt`] must be called before the first frame.
    #[must_use]
    pub const fn new(stream: StreamId) -> Self {
        Self { stream, attempt: 0, spans: Vec::new(), tokens: Vec::new(), complete: false }
    }

    /// Starts the next attempt over `route` and returns its number, counted from 1.
    pub fn begin_attempt(&mut self, route: &StageRoute) -> u32 {
        self.attempt += 1;
        self.spans.clear();
        self.spans.extend(route.spans());
        self.attempt
    }

    /// Returns the delivered tokens in order.
    #[must_use]
    pub fn tokens(&self) -> &[CompactString] {
        &self.tokens
    }

    /// Returns `true` if the end of the answer has been received.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Validates a frame and records its token if the token is to be delivered.
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

use std::fmt;

/// One whole event of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Its id.
    pub id: u64,
    /// Its bytes with the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// Why an event cannot be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// The event has no id, or one that is not a number.
    MissingId,
    /// An event is missing, doubled or out of order.
    OutOfOrder {
        /// The id that should come next.
        expected: u64,
        /// The id that came.
        found: u64,
    },
    /// An event is longer than the limit.
    TooLong,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::MissingId => f.write_str("an event has no numeric id"),
            EventError::OutOfOrder { expected, found } => {
                write!(f, "event {found} came where {expected} was due")
            }
            EventError::TooLong => f.write_str("an event is too long"),
        }
    }
}

impl std::error::Error for EventError {}

/// Cuts the bytes of a stream into whole events and checks that none is missing or doubled.
///
/// ```
/// use cassiafield_core::request::EventSplitter;
/// let mut splitter = EventSplitter::after(0);
/// splitter.push(b"id: 1\ndata: x\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().unwrap().id, 1);
/// assert!(splitter.next_event().unwrap().is_none());
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Clone, Debug)]
pub struct EventSplitter {
    rest: Vec<u8>,
    last: Option<u64>,
}

impl EventSplitter {
    /// Longest event, in bytes; far above what engines send, so that memory stays bounded.
    const MAX_EVENT_BYTES: usize = 256 * 1_024;

    /// Creates a splitter for a stream that goes on after event `last`.
    #[must_use]
    pub const fn after(last: u64) -> Self {
        Self { rest: Vec::new(), last: Some(last) }
    }

    /// Creates a splitter for a stream whose first id is not known.
    #[must_use]
    pub const fn with_unknown_start() -> Self {
        Self { rest: Vec::new(), last: None }
    }

    /// Adds bytes that arrived.
    pub fn push(&mut self, bytes: &[u8]) {
        self.rest.extend_from_slice(bytes);
    }

    /// Returns the id of the last event returned.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Says whether an event has begun and not ended.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops an event that has begun and not ended.
    pub fn discard_partial_event(&mut self) {
        self.rest.clear();
    }

    /// Returns the next whole event, or `None` if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns why the next event must not be passed on.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventError> {
        let Some(end) = self.rest.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.rest.len() > Self::MAX_EVENT_BYTES {
                Err(EventError::TooLong)
            } else {
                Ok(None)
            };
        };
        let bytes: Vec<u8> = self.rest.drain(..end + 2).collect();
        let id = event_id(&bytes).ok_or(EventError::MissingId)?;
        if let Some(last) = self.last {
            let expected = last + 1;
            if id != expected {
                return Err(EventError::OutOfOrder { expected, found: id });
            }
        }
        self.last = Some(id);
        Ok(Some(StreamEvent { id, bytes }))
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("id:"))?;
    line.trim().parse().ok()
}

use {
    crate::{
        ids::EventId,
        request::{
            id_spacing::{IdSpacing, IdVerdict},
            StreamPosition,
        },
    },
    std::fmt,
};

/// A complete event of a server-sent event stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Value of the event's `id` field.
    pub id: EventId,
    /// Bytes of the event, including the empty line that terminates it.
    pub bytes: Vec<u8>,
}

/// Reason why an event cannot be forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// The event has no `id` field or a non-numeric one.
    MissingId,
    /// An event is missing, duplicated or out of order.
    OutOfOrder {
        /// Id that was expected next.
        expected: EventId,
        /// Id that was received.
        found: EventId,
    },
    /// The second event of a stream whose first id is not known does not follow the first event.
    ///
    /// Either of them may be wrong, so no event of the stream counts.
    UncertainStart {
        /// Id of the first event.
        first: EventId,
        /// Id of the second event.
        second: EventId,
    },
    /// The event has more than one `id` field: it may be two events without the line between them.
    RepeatedId,
    /// An event follows the one with the highest possible id.
    IdOverflow,
    /// An event exceeds the size limit.
    TooLong,
}

impl EventError {
    /// Returns `true` if the error says that events which were returned before may be wrong.
    #[must_use]
    pub const fn voids_events(self) -> bool {
        matches!(self, EventError::UncertainStart { .. })
    }
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::MissingId => f.write_str("an event has no numeric id"),
            EventError::OutOfOrder { expected, found } => {
                write!(f, "received event {found}, expected event {expected}")
            }
            EventError::UncertainStart { first, second } => {
                write!(f, "the stream started with event {first}, followed by event {second}")
            }
            EventError::RepeatedId => f.write_str("an event has more than one id"),
            EventError::IdOverflow => f.write_str("an event follows the highest possible id"),
            EventError::TooLong => f.write_str("an event exceeds the size limit"),
        }
    }
}

impl std::error::Error for EventError {}

/// Splits the bytes of a server-sent event stream into complete events and checks that none is missing or
/// comes twice.
///
/// The ids of a stream increase. Where they are consecutive or evenly spaced, an id that is skipped is a
/// missing event. The first event behind a gap waits for the next one, which shows whether the ids have gaps.
///
/// ```
/// use cassiafield_core::{
///     ids::EventId,
///     request::{EventSplitter, StreamPosition},
/// };
/// let mut splitter = EventSplitter::new(StreamPosition::after(EventId(0)));
/// splitter.push(b"id: 1\ndata: x\n\nid: 2\nda");
/// assert_eq!(splitter.next_event().unwrap().unwrap().id, EventId(1));
/// assert!(splitter.next_event().unwrap().is_none());
/// assert!(splitter.has_partial_event());
/// ```
#[derive(Clone, Debug)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    position: StreamPosition,
    /// The first event behind a gap, until the next one or the end of the stream.
    held: Option<StreamEvent>,
    /// The event that has confirmed the one returned last.
    confirming: Option<StreamEvent>,
    /// Whether the id of the stream's first event is known, or two events have confirmed it.
    is_start_known: bool,
    has_events: bool,
    /// Number of events returned since [`Self::take_event_count`].
    unreported: u32,
    /// The first error; no event is returned after it.
    error: Option<EventError>,
}

impl EventSplitter {
    /// Largest accepted event, which bounds the buffer; engines send far smaller events.
    const MAX_EVENT_BYTES: usize = 256 * 1_024;

    /// Creates a splitter for a stream that goes on at a position.
    ///
    /// At the beginning of a stream, it accepts any id as the first one.
    #[must_use]
    pub const fn new(position: StreamPosition) -> Self {
        Self {
            buffer: Vec::new(),
            position,
            held: None,
            confirming: None,
            is_start_known: position.last_event().is_some(),
            has_events: false,
            unreported: 0,
            error: None,
        }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the position after the last event that [`Self::next_event`] returned.
    #[must_use]
    pub const fn position(&self) -> StreamPosition {
        self.position
    }

    /// Returns `true` if an event was returned since the splitter was created.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// Returns the number of events that [`Self::next_event`] returned since the last call.
    pub fn take_event_count(&mut self) -> u32 {
        std::mem::take(&mut self.unreported)
    }

    /// Returns `true` if the buffer holds bytes of an incomplete event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the next complete event, or `None` if more bytes are needed to complete one.
    ///
    /// # Errors
    ///
    /// Returns an [`EventError`] if the next event has no valid id, is out of order or is too long, and the
    /// same error from then on: the stream cannot go on after a missing event.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventError> {
        if let Some(error) = self.error {
            return Err(error);
        }
        let event = self.take_event();
        self.error = event.as_ref().err().copied();
        event
    }

    /// Returns the event that still waits for the next one at the end of the stream, if one does.
    ///
    /// Call this once all events are returned.
    ///
    /// # Errors
    ///
    /// Returns an error if such an event waits and the stream may have been broken off.
    pub fn finish(&mut self, is_whole: bool) -> Result<Option<StreamEvent>, EventError> {
        match self.held.take() {
            Some(event) if is_whole => Ok(Some(self.accept(event, IdSpacing::Unknown))),
            Some(event) => {
                let error = self.gap_error(event.id);
                self.error = Some(error);
                Err(error)
            }
            None => Ok(None),
        }
    }

    fn take_event(&mut self) -> Result<Option<StreamEvent>, EventError> {
        let spacing = self.position.spacing();
        if let Some(event) = self.confirming.take() {
            return Ok(Some(self.accept(event, spacing)));
        }
        while let Some(event) = self.split_event()? {
            let Some(last) = self.position.last_event() else {
                return Ok(Some(self.accept(event, spacing)));
            };
            if let Some(held) = self.held.take() {
                let spacing = IdSpacing::between(last, held.id, event.id)
                    .ok_or_else(|| self.gap_error(held.id))?;
                self.confirming = Some(event);
                self.is_start_known = true;
                return Ok(Some(self.accept(held, spacing)));
            }
            let verdict = spacing.judge(last, event.id).map_err(|error| match error {
                EventError::OutOfOrder { .. } if !self.is_start_known => self.gap_error(event.id),
                other => other,
            })?;
            match verdict {
                IdVerdict::Follows(spacing) => {
                    self.is_start_known = true;
                    return Ok(Some(self.accept(event, spacing)));
                }
                IdVerdict::Unconfirmed => self.held = Some(event),
            }
        }
        Ok(None)
    }

    /// Takes a complete event out of the buffer.
    fn split_event(&mut self) -> Result<Option<StreamEvent>, EventError> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") else {
            return if self.buffer.len() > Self::MAX_EVENT_BYTES {
                Err(EventError::TooLong)
            } else {
                Ok(None)
            };
        };
        let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
        let id = event_id(&bytes)?;
        Ok(Some(StreamEvent { id, bytes }))
    }

    fn accept(&mut self, event: StreamEvent, spacing: IdSpacing) -> StreamEvent {
        self.position = StreamPosition::after_event(event.id, spacing);
        self.has_events = true;
        self.unreported = self.unreported.saturating_add(1);
        event
    }

    /// Returns the error of an event that does not follow the last one.
    fn gap_error(&self, found: EventId) -> EventError {
        let last = self.position.last_event().unwrap_or(found);
        if self.is_start_known {
            EventError::OutOfOrder { expected: last.plus(1), found }
        } else {
            EventError::UncertainStart { first: last, second: found }
        }
    }
}

fn event_id(bytes: &[u8]) -> Result<EventId, EventError> {
    let text = std::str::from_utf8(bytes).map_err(|_| EventError::MissingId)?;
    let mut values = text.lines().filter_map(|line| line.strip_prefix("id:"));
    let value = values.next().ok_or(EventError::MissingId)?;
    if values.next().is_some() {
        return Err(EventError::RepeatedId);
    }
    value.trim().parse().map_err(|_| EventError::MissingId)
}

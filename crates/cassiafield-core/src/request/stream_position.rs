use {
    crate::{ids::EventId, request::id_spacing::IdSpacing},
    std::fmt,
};

/// The place in a stream from which a request goes on, with what the ids before it have shown.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    last: Option<EventId>,
    spacing: IdSpacing,
}

impl StreamPosition {
    /// The beginning of a stream, before any event.
    pub const START: Self = Self { last: None, spacing: IdSpacing::Unknown };

    /// Returns the position after an event.
    #[must_use]
    pub const fn after(last: EventId) -> Self {
        Self { last: Some(last), spacing: IdSpacing::Unknown }
    }

    /// Returns the position after an event, with the spacing of the ids up to it.
    pub(super) const fn after_event(last: EventId, spacing: IdSpacing) -> Self {
        Self { last: Some(last), spacing }
    }

    pub(super) const fn spacing(self) -> IdSpacing {
        self.spacing
    }

    /// Returns the last event before the position; `None` at the beginning.
    #[must_use]
    pub const fn last_event(self) -> Option<EventId> {
        self.last
    }
}

/// Writes `event 5`, or `event none` at the beginning.
impl fmt::Display for StreamPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.last {
            Some(last) => write!(f, "event {last}"),
            None => f.write_str("event none"),
        }
    }
}

use crate::{ids::EventId, request::EventError};

/// How the ids of a stream's events follow each other, as far as the events have shown it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum IdSpacing {
    /// No event has confirmed a spacing.
    #[default]
    Unknown,
    /// Each id is the one before plus this number.
    Even(u64),
    /// The ids increase.
    Uneven,
}

/// What an id says about its event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum IdVerdict {
    /// The event follows the last one.
    Follows(IdSpacing),
    /// The event follows if the ids have gaps; the next event decides.
    Unconfirmed,
}

impl IdSpacing {
    /// Judges the id of the event after `last`.
    ///
    /// # Errors
    ///
    /// Returns an error if the id does not increase, or skips one that the spacing calls for.
    pub(super) const fn judge(self, last: EventId, id: EventId) -> Result<IdVerdict, EventError> {
        let Some(next) = last.next() else { return Err(EventError::IdOverflow) };
        let step = match self {
            IdSpacing::Even(step) => step,
            IdSpacing::Unknown | IdSpacing::Uneven => 1,
        };
        if id.0 <= last.0 {
            return Err(EventError::OutOfOrder { expected: last.plus(step), found: id });
        }
        let gap = id.0 - last.0;
        match self {
            IdSpacing::Unknown if id.0 == next.0 => Ok(IdVerdict::Follows(IdSpacing::Even(1))),
            IdSpacing::Unknown => Ok(IdVerdict::Unconfirmed),
            IdSpacing::Even(step) if gap == step => Ok(IdVerdict::Follows(self)),
            IdSpacing::Even(step) if gap > step => {
                Err(EventError::OutOfOrder { expected: last.plus(step), found: id })
            }
            IdSpacing::Even(_) | IdSpacing::Uneven => Ok(IdVerdict::Follows(IdSpacing::Uneven)),
        }
    }

    /// Returns the spacing that three increasing ids show; `None` if an event may be missing among them.
    ///
    /// One event that is lost from an evenly spaced stream leaves a gap that is a multiple of the one beside it.
    pub(super) const fn between(first: EventId, second: EventId, third: EventId) -> Option<Self> {
        if second.0 <= first.0 || third.0 <= second.0 {
            return None;
        }
        let (first_gap, second_gap) = (second.0 - first.0, third.0 - second.0);
        if first_gap == second_gap {
            Some(IdSpacing::Even(first_gap))
        } else if first_gap % second_gap == 0 || second_gap % first_gap == 0 {
            None
        } else {
            Some(IdSpacing::Uneven)
        }
    }
}

use std::{fmt, num::ParseIntError, str::FromStr};

/// Id of an event in a stream, as its endpoint numbers them; 0 is an id like any other.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EventId(pub u64);

impl EventId {
    /// Returns the id after this one; `None` for the highest one.
    #[must_use]
    pub const fn next(self) -> Option<Self> {
        match self.0.checked_add(1) {
            Some(next) => Some(Self(next)),
            None => None,
        }
    }

    /// Returns the id that is higher by `step`, or the highest one.
    #[must_use]
    pub const fn plus(self, step: u64) -> Self {
        Self(self.0.saturating_add(step))
    }
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for EventId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

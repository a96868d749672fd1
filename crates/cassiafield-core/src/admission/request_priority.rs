use std::{fmt, str::FromStr};

/// The rank of a request among those that wait; 0 goes first.
///
/// Operators rank routes and organisations by any number; ranks after the last one count as the last.
///
/// ```
/// use cassiafield_core::admission::RequestPriority;
///
/// assert!(RequestPriority::from(0) < RequestPriority::from(3));
/// assert_eq!(RequestPriority::from(40), RequestPriority::LAST);
/// ```
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(from = "u32", into = "u32")]
pub struct RequestPriority(u8);

/// A text is no priority.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PriorityError;

impl fmt::Display for PriorityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a priority is a whole number from 0 on")
    }
}

impl std::error::Error for PriorityError {}

impl RequestPriority {
    /// The rank that is served last; endpoints know no later one.
    pub const LAST: Self = Self(9);
}

impl Default for RequestPriority {
    /// Returns the rank that endpoints give to requests without one.
    fn default() -> Self {
        Self(5)
    }
}

impl From<u32> for RequestPriority {
    fn from(rank: u32) -> Self {
        u8::try_from(rank).map_or(Self::LAST, |rank| Self(rank.min(Self::LAST.0)))
    }
}

impl From<RequestPriority> for u32 {
    fn from(priority: RequestPriority) -> Self {
        u32::from(priority.0)
    }
}

impl fmt::Display for RequestPriority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestPriority {
    type Err = PriorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse::<u32>().map(Self::from).map_err(|_| PriorityError)
    }
}

use std::{
    fmt,
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time on a host's monotonic clock, in microseconds since that clock's origin.
///
/// Moments of different hosts are not comparable.
///
/// ```
/// use {cassiafield_core::ids::Moment, std::time::Duration};
/// let start = Moment::ORIGIN;
/// assert_eq!(start + Duration::from_millis(5) - start, Duration::from_millis(5));
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Moment(u64);

impl Moment {
    /// Origin of the host's clock.
    pub const ORIGIN: Moment = Moment(0);

    /// Creates a moment from the number of microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a moment from the number of milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the number of microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the moment `duration` earlier, but not before [`Moment::ORIGIN`].
    #[must_use]
    pub fn earlier_by(self, duration: Duration) -> Moment {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_sub(micros))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}

impl Sub for Moment {
    type Output = Duration;

    fn sub(self, earlier: Moment) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

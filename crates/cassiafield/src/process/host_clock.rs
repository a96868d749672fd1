use {
    cassiafield_core::ids::Moment,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The process's monotonic clock and the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    origin: Instant,
}

impl HostClock {
    /// Starts a clock at [`Moment::ORIGIN`].
    #[must_use]
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Returns the present.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::ORIGIN + self.origin.elapsed()
    }

    /// Returns seconds since the Unix epoch, for records and timestamps only.
    #[must_use]
    pub fn unix_seconds() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs()
    }
}

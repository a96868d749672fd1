use {
    cassiafield_core::ids::Moment,
    std::time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Monotonic clock of the process, and access to the wall clock.
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

    /// Returns the current monotonic time.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::ORIGIN + self.origin.elapsed()
    }

    /// Returns the wall-clock time in seconds since the Unix epoch.
    ///
    /// Only for records and timestamps: the wall clock may step.
    #[must_use]
    pub fn unix_seconds() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_secs()
    }
}

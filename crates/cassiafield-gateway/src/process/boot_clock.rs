use {
    cassiafield_core::ids::Moment,
    rustix::time::{clock_gettime, ClockId},
};

/// A monotonic clock that includes the time during which the host is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl BootClock {
    /// Returns the current time.
    #[must_use]
    pub fn now(self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let micros = u64::try_from(time.tv_nsec / 1_000).unwrap_or(0);
        Moment::from_micros(seconds * 1_000_000 + micros)
    }
}

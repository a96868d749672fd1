use std::time::Duration;

/// The intervals at which a host renews its entry in the platform's store and reads all entries.
///
/// They grow with the number of hosts, which bounds the call rate of the whole fleet.
///
/// ```
/// use {cassiafield_core::process::FleetIntervals, std::time::Duration};
///
/// assert_eq!(FleetIntervals { hosts: 9 }.renewal_interval(), Duration::from_millis(1_800));
/// assert_eq!(FleetIntervals { hosts: 380 }.renewal_interval(), Duration::from_secs(4));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetIntervals {
    /// Number of listed hosts.
    pub hosts: usize,
}

impl FleetIntervals {
    /// Shortest interval; a host that joins or leaves a small fleet is noticed within it.
    const MIN_INTERVAL: Duration = Duration::from_millis(1_800);
    /// Interval per host, which results in at most twenty reads per second by the whole fleet.
    const INTERVAL_PER_HOST: Duration = Duration::from_millis(50);
    /// Longest interval between renewals, a third of the entry's time to live.
    const MAX_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

    /// Time to live of a host's entry.
    pub const ENTRY_TTL: Duration = Duration::from_secs(12);

    /// Returns the interval between renewals of the host's entry.
    #[must_use]
    pub fn renewal_interval(self) -> Duration {
        self.read_interval().min(Self::MAX_RENEWAL_INTERVAL)
    }

    /// Returns the interval between reads of all entries.
    #[must_use]
    pub fn read_interval(self) -> Duration {
        let hosts = u32::try_from(self.hosts).unwrap_or(u32::MAX);
        Self::INTERVAL_PER_HOST.saturating_mul(hosts).max(Self::MIN_INTERVAL)
    }
}

use std::time::Duration;

/// How often a host renews its entry in the platform's store and reads those of the others, by
/// how many hosts there are, so that the calls of all hosts together stay few in a large fleet.
///
/// ```
/// use {cassiafield_core::process::FleetIntervals, std::time::Duration};
///
/// assert_eq!(FleetIntervals { hosts: 9 }.renewal_interval(), Duration::from_millis(1_800));
/// assert_eq!(FleetIntervals { hosts: 380 }.renewal_interval(), Duration::from_secs(4));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetIntervals {
    /// Hosts that are listed.
    pub hosts: usize,
}

impl FleetIntervals {
    /// Shortest pause: a host that joins or leaves a small fleet is noticed within it.
    const SHORTEST: Duration = Duration::from_millis(1_800);
    /// Pause for each host, which makes twenty calls of a kind a second at any size.
    const PER_HOST: Duration = Duration::from_millis(50);
    /// Longest pause between renewals, a third of the entry's time to live.
    const LONGEST_RENEWAL: Duration = Duration::from_secs(4);

    /// Time to live of a host's entry.
    pub const ENTRY_TTL: Duration = Duration::from_secs(12);

    /// Returns the pause between two renewals of the host's entry.
    #[must_use]
    pub fn renewal_interval(self) -> Duration {
        self.read_interval().min(Self::LONGEST_RENEWAL)
    }

    /// Returns the pause between two readings of all entries.
    #[must_use]
    pub fn read_interval(self) -> Duration {
        let hosts = u32::try_from(self.hosts).unwrap_or(u32::MAX);
        Self::PER_HOST.saturating_mul(hosts).max(Self::SHORTEST)
    }
}

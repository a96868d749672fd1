use {
    crate::resources::{ByteCount, ListenerKind},
    std::time::Duration,
};

/// What the settings of a host say about its memory and its descriptors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceSettings {
    /// Memory of the process.
    pub memory: ByteCount,
    /// Open descriptors of the process.
    pub max_descriptors: usize,
    /// Percentage of the memory that bodies and answers may take together.
    pub held_percent: u64,
    /// Progress below which a body or an answer may have to make room, in bytes a second.
    pub min_bytes_per_second: u64,
    /// Time without that progress after which it may have to.
    pub stall_time: Duration,
}

/// What a host may hold for others, derived from its settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceLimits {
    settings: ResourceSettings,
}

impl ResourceSettings {
    /// Percentage of the memory for bodies and answers, where the settings name none.
    ///
    /// The rest is for the program, its tables, heads and the buffers of connections.
    pub const DEFAULT_HELD_PERCENT: u64 = 55;
    /// Progress, in bytes a second, where the settings name none.
    ///
    /// A caller on a poor mobile link sends more.
    pub const DEFAULT_MIN_BYTES_PER_SECOND: u64 = 16 * 1_024;
    /// Time without progress where the settings name none; a lost packet is repeated within it.
    pub const DEFAULT_STALL_TIME: Duration = Duration::from_millis(1_500);

    /// Returns the settings of a process with the default limits.
    #[must_use]
    pub const fn new(memory: ByteCount, max_descriptors: usize) -> Self {
        Self {
            memory,
            max_descriptors,
            held_percent: Self::DEFAULT_HELD_PERCENT,
            min_bytes_per_second: Self::DEFAULT_MIN_BYTES_PER_SECOND,
            stall_time: Self::DEFAULT_STALL_TIME,
        }
    }
}

impl ResourceLimits {
    /// Percentage of the held memory that bodies of requests may take; answers have the rest at least, since
    /// their requests have run.
    const BODY_PERCENT: u64 = 75;
    /// Percentage of the held memory that one organisation may take while another one needs room.
    const ORGANISATION_PERCENT: u64 = 50;
    /// Percentage of the held memory for what is not small, so that small requests find room.
    const LARGE_PERCENT: u64 = 95;
    /// Size up to which bodies and answers may use all of the held memory: most are smaller.
    const SMALL_SIZE: ByteCount = ByteCount::new(16 * 1_024);
    /// Descriptors for endpoints, the store, peers and files.
    const RESERVED_DESCRIPTORS: usize = 600;
    /// Part of all descriptors that are reserved at most.
    const MAX_RESERVED_PERCENT: usize = 50;
    /// Connections to each listener for the platform and for operators.
    const MONITORING_CONNECTIONS: usize = 32;
    /// Fewest connections of callers.
    const MIN_CALLERS: usize = 64;
    /// Percentage of the connections that one of the listeners for requests may take.
    const LISTENER_PERCENT: usize = 90;

    /// Derives the limits from the settings.
    #[must_use]
    pub const fn new(settings: ResourceSettings) -> Self {
        Self { settings }
    }

    /// Returns the memory for bodies and answers together.
    #[must_use]
    pub const fn held(&self) -> ByteCount {
        self.settings.memory.percent(self.settings.held_percent)
    }

    /// Returns the memory for bodies of requests.
    #[must_use]
    pub const fn bodies(&self) -> ByteCount {
        self.held().percent(Self::BODY_PERCENT)
    }

    /// Returns the memory for bodies and answers that are not small.
    #[must_use]
    pub const fn large(&self) -> ByteCount {
        self.held().percent(Self::LARGE_PERCENT)
    }

    /// Returns the memory of one organisation while others need room.
    #[must_use]
    pub const fn organisation_share(&self) -> ByteCount {
        self.held().percent(Self::ORGANISATION_PERCENT)
    }

    /// Returns `true` if a body or an answer of this size may use all memory that is held for others.
    #[must_use]
    pub fn is_small(&self, bytes: ByteCount) -> bool {
        bytes <= Self::SMALL_SIZE
    }

    /// Returns the progress that a holder must make while room is short, in bytes a second.
    #[must_use]
    pub const fn min_bytes_per_second(&self) -> u64 {
        self.settings.min_bytes_per_second
    }

    /// Returns the time without progress after which a holder may have to make room.
    #[must_use]
    pub const fn stall_time(&self) -> Duration {
        self.settings.stall_time
    }

    /// Returns the number of connections to the listeners for requests together.
    #[must_use]
    pub fn request_connections(&self) -> usize {
        let all = self.settings.max_descriptors;
        let reserved = Self::RESERVED_DESCRIPTORS.min(all * Self::MAX_RESERVED_PERCENT / 100);
        let monitoring = 2 * Self::MONITORING_CONNECTIONS;
        all.saturating_sub(reserved + monitoring).max(Self::MIN_CALLERS)
    }

    /// Returns the number of connections to one listener.
    #[must_use]
    pub fn connections(&self, listener: ListenerKind) -> usize {
        match listener {
            ListenerKind::Callers | ListenerKind::Hosts => {
                self.request_connections() * Self::LISTENER_PERCENT / 100
            }
            ListenerKind::Readiness | ListenerKind::Metrics => Self::MONITORING_CONNECTIONS,
        }
    }
}

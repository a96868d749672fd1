use std::{num::NonZeroU32, time::Duration};

/// The intervals at which hosts read the platform's store and query each other.
///
/// They follow from the time within which a change must be in force on every host, and from the time
/// after which no request with a revoked key may run.
///
/// ```
/// use {cassiafield_core::process::SyncIntervals, std::time::Duration};
///
/// let intervals = SyncIntervals::new(Duration::from_secs(2), Duration::from_secs(5));
/// assert_eq!(intervals.read_interval(), Duration::from_millis(800));
/// assert_eq!(intervals.max_peer_data_age(), Duration::from_millis(1_180));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SyncIntervals {
    change_limit: Duration,
    revocation_limit: Duration,
    /// Reads per second that the store accepts from all hosts, if known.
    store_reads: Option<NonZeroU32>,
}

impl SyncIntervals {
    /// Part of the revocation limit that the base of the intervals is at most, in percent.
    ///
    /// Hosts that query others must have data that is recent enough to be ready.
    const REVOCATION_BASE_PERCENT: u32 = 40;
    /// Part of the revocation limit that bounds the age of a peer's data, in percent.
    const REVOCATION_AGE_PERCENT: u32 = 60;
    /// Pause between two reads of the store, in percent of the base.
    const READ_PERCENT: u32 = 40;
    /// Pause between two queries to another host, in percent of the base.
    const QUERY_PERCENT: u32 = 20;
    /// Delay after a failed read, in percent of the base.
    const ERROR_PERCENT: u32 = 10;
    /// Pause between two reads during an outage of the store on hosts that do not lead their zone, in
    /// percent of the base.
    const OUTAGE_PERCENT: u32 = 80;
    /// Delay of the second call of a read, in percent of the base.
    const SECOND_CALL_PERCENT: u32 = 10;
    /// Minimum of the longest random delay of a read after a notice, in percent of the base.
    const NOTICE_SPREAD_PERCENT: u32 = 5;
    /// Divisor of the store's rate that gives the mean rate of the reads after a notice.
    ///
    /// The delays are random, and the reads should stay under half of the rate.
    const NOTICE_RATE_DIVISOR: u32 = 3;
    /// Maximum age of a peer's data, in percent of the limit.
    ///
    /// A host whose data gets as old until its next query still counts as ready.
    const AGE_PERCENT: u32 = 65;
    /// Time that the calls on the way from the store to a host may take together.
    const TRANSIT_TIME: Duration = Duration::from_millis(200);
    /// Time of one answered call on the way of a change, a quarter of the transit time.
    const ANSWER_TIME: Duration = Duration::from_millis(50);
    /// Time that a host's own call to the store may take.
    const CALL_TIME: Duration = Duration::from_millis(100);
    /// Shortest interval.
    const MIN_INTERVAL: Duration = Duration::from_millis(50);

    /// Pause before an urgent message to peers, in which further news are collected.
    pub const URGENT_MESSAGE_DELAY: Duration = Duration::from_millis(10);
    /// Time after which a message about a new revision is repeated, as messages may be lost.
    pub const REPEATED_MESSAGE_DELAY: Duration = Duration::from_millis(50);
    /// Timeout of a query to another host.
    pub const QUERY_TIMEOUT: Duration = Duration::from_millis(120);

    /// Creates the intervals for the time within which a change must be in force, and the time after
    /// which no request with a revoked key may run.
    #[must_use]
    pub const fn new(change_limit: Duration, revocation_limit: Duration) -> Self {
        Self { change_limit, revocation_limit, store_reads: None }
    }

    /// Sets the reads per second that the store accepts from all hosts.
    #[must_use]
    pub const fn with_store_reads(self, store_reads: Option<NonZeroU32>) -> Self {
        Self { store_reads, ..self }
    }

    fn base(&self) -> Duration {
        self.change_limit.min(self.revocation_limit * Self::REVOCATION_BASE_PERCENT / 100)
    }

    fn of_base(&self, percent: u32) -> Duration {
        (self.base() * percent / 100).max(Self::MIN_INTERVAL)
    }

    /// Returns the pause between two reads of the store.
    #[must_use]
    pub fn read_interval(&self) -> Duration {
        self.of_base(Self::READ_PERCENT)
    }

    /// Returns the pause between two queries to another host.
    #[must_use]
    pub fn query_interval(&self) -> Duration {
        self.of_base(Self::QUERY_PERCENT)
    }

    /// Returns the delay after a failed read.
    #[must_use]
    pub fn error_backoff(&self) -> Duration {
        self.of_base(Self::ERROR_PERCENT)
    }

    /// Returns the pause between two reads during an outage of the store, on hosts that do not lead
    /// their availability zone.
    #[must_use]
    pub fn outage_backoff(&self) -> Duration {
        self.of_base(Self::OUTAGE_PERCENT)
    }

    /// Returns the time after which a call without an answer is made once more.
    #[must_use]
    pub fn second_call_delay(&self) -> Duration {
        self.of_base(Self::SECOND_CALL_PERCENT)
    }

    /// Returns the longest random delay of a read after a notice of a newer revision.
    ///
    /// All `hosts` read then. Their reads take at most a part of the store's rate, as far as the
    /// change still arrives within its limit.
    #[must_use]
    pub fn notice_spread(&self, hosts: usize) -> Duration {
        let min_spread = self.base() * Self::NOTICE_SPREAD_PERCENT / 100;
        let Some(rate) = self.store_reads else { return min_spread };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let rate_spread =
            Duration::from_secs(1).saturating_mul(hosts) * Self::NOTICE_RATE_DIVISOR / rate.get();
        rate_spread.min(self.max_notice_spread()).max(min_spread)
    }

    /// Returns the part of the change limit that is left for the spread of each hop, if the store
    /// refuses each host's first read and one message of each hop is lost.
    fn max_notice_spread(&self) -> Duration {
        let hops = if self.allows_fleet_reader() { 2 } else { 1 };
        let failed_read = self.error_backoff() + Self::ANSWER_TIME * 2;
        // The change just missed the read before, whose answer is on its way.
        let reader_time = Self::ANSWER_TIME + self.read_interval() + failed_read;
        let hop_time = Self::URGENT_MESSAGE_DELAY + Self::REPEATED_MESSAGE_DELAY + failed_read;
        self.change_limit.saturating_sub(reader_time + hop_time * hops) / hops
    }

    /// Returns the time within which a host starts to read a change that a zone's leader has, if one
    /// message between them is lost.
    #[must_use]
    pub fn notice_delay(&self, hosts: usize) -> Duration {
        Self::URGENT_MESSAGE_DELAY + Self::REPEATED_MESSAGE_DELAY + self.notice_spread(hosts)
    }

    /// Returns the maximum age of a peer's data that makes a read of the store unnecessary.
    ///
    /// It leaves time for the next query, for its timeout and for a read of the store whose first
    /// call gets no answer.
    #[must_use]
    pub fn max_peer_data_age(&self) -> Duration {
        let by_revocation = self.revocation_limit * Self::REVOCATION_AGE_PERCENT / 100;
        let by_age = self.change_limit.min(by_revocation) * Self::AGE_PERCENT / 100;
        let reserve = self.query_interval()
            + Self::QUERY_TIMEOUT
            + self.second_call_delay()
            + Self::CALL_TIME;
        by_age.min(self.change_limit.saturating_sub(reserve))
    }

    /// Returns `true` if one host may read the store for all availability zones.
    ///
    /// Its data reaches the other hosts by way of their zone's leader, one query later.
    #[must_use]
    pub fn allows_fleet_reader(&self) -> bool {
        let age = self.read_interval() + self.query_interval() * 2 + Self::TRANSIT_TIME;
        age <= self.max_peer_data_age()
    }
}

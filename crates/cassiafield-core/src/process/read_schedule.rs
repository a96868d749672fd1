use {
    crate::{ids::Moment, process::SyncIntervals},
    std::time::Duration,
};

/// How a host gets the store's data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderRole {
    /// Reads the store periodically, also for other hosts.
    Reader,
    /// Leads its availability zone and queries the host that reads for all zones.
    Leader,
    /// Queries the leader of its availability zone.
    Member,
}

/// How a read of the store ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreReadOutcome {
    /// The store answered; the call with the answer took this long.
    Answered(Duration),
    /// The store refused the read or sent an unreadable answer.
    Refused,
    /// No answer arrived.
    Unanswered,
}

/// Decides when a host reads one kind of data from the store, and when it repeats a call that has
/// no answer yet.
///
/// ```
/// use {
///     cassiafield_core::{
///         ids::Moment,
///         process::{StoreReadOutcome, ReadSchedule, ReaderRole, SyncIntervals},
///     },
///     std::time::Duration,
/// };
///
/// let intervals = SyncIntervals::new(Duration::from_secs(2), Duration::from_secs(5));
/// let mut schedule = ReadSchedule::new(intervals);
/// schedule.record(StoreReadOutcome::Refused, Moment::from_millis(1_000));
/// let next_read_at = schedule.next_read_at(ReaderRole::Member, false);
/// assert_eq!(next_read_at, Moment::from_millis(2_600));
/// let next_read_at = schedule.next_read_at(ReaderRole::Member, true);
/// assert_eq!(next_read_at, Moment::from_millis(1_200));
/// ```
#[derive(Clone, Debug)]
pub struct ReadSchedule {
    intervals: SyncIntervals,
    /// When the last read ended.
    ended_at: Option<Moment>,
    /// Number of reads that have failed since the last answer or the last notice.
    failures: u32,
    is_slow: bool,
}

impl ReadSchedule {
    /// Creates the schedule of a host that has not read yet.
    #[must_use]
    pub const fn new(intervals: SyncIntervals) -> Self {
        Self { intervals, ended_at: None, failures: 0, is_slow: false }
    }

    /// Records the end of a read.
    pub fn record(&mut self, outcome: StoreReadOutcome, now: Moment) {
        self.ended_at = Some(now);
        match outcome {
            StoreReadOutcome::Answered(call_time) => {
                self.failures = 0;
                self.is_slow = call_time > self.intervals.second_call_delay();
            }
            StoreReadOutcome::Refused => self.failures = self.failures.saturating_add(1),
            StoreReadOutcome::Unanswered => {
                self.failures = self.failures.saturating_add(1);
                self.is_slow = true;
            }
        }
    }

    /// Records that newer data is known to exist, which shortens the delay after earlier failures.
    pub fn record_notice(&mut self) {
        self.failures = self.failures.min(1);
    }

    /// Returns `true` if the last read failed.
    #[must_use]
    pub const fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns the time from which the next read may start; `is_awaited` says that newer data is
    /// known to exist.
    #[must_use]
    pub fn next_read_at(&self, role: ReaderRole, is_awaited: bool) -> Moment {
        let Some(ended_at) = self.ended_at else { return Moment::ORIGIN };
        let (intervals, backoff) = (&self.intervals, self.intervals.error_backoff());
        let pause = match (self.failures, role) {
            (0, ReaderRole::Reader) if !is_awaited => intervals.read_interval(),
            (0, _) => Duration::ZERO,
            (_, ReaderRole::Reader | ReaderRole::Leader) => backoff,
            (failures, ReaderRole::Member) if is_awaited => {
                let factor = 2_u32.saturating_pow(failures - 1);
                backoff.saturating_mul(factor).min(intervals.outage_backoff())
            }
            (_, ReaderRole::Member) => intervals.outage_backoff(),
        };
        ended_at + pause
    }

    /// Returns the time after which a call without an answer is made once more over a new
    /// connection, or `None` if it is not.
    ///
    /// A store that answers slowly or not at all would get twice the calls for nothing.
    #[must_use]
    pub fn second_call_delay(&self) -> Option<Duration> {
        (!self.is_slow).then(|| self.intervals.second_call_delay())
    }
}

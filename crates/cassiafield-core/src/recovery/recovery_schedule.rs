use {crate::request::StreamTimeouts, std::time::Duration};

/// Works out when a late stream is probed and when its replacement must be on its way, so that the next event
/// still arrives within the route's gap objective.
///
/// All times count from the last event.
///
/// ```
/// use {cassiafield_core::recovery::RecoverySchedule, std::time::Duration};
///
/// let ms = Duration::from_millis;
/// let schedule = RecoverySchedule { gap_objective: ms(200), typical_gap: ms(40), restart: ms(60) };
/// assert_eq!(schedule.probe_after(), ms(70));
/// assert_eq!(schedule.act_by(), ms(120));
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RecoverySchedule {
    /// Longest time between two events that meets the route's objective.
    pub gap_objective: Duration,
    /// Typical time between two events on the path.
    pub typical_gap: Duration,
    /// Planned time from the decision to the next event over a replacement.
    pub restart: Duration,
}

impl RecoverySchedule {
    /// Time without an answer after which a probed endpoint of a late path is a suspect of that stream.
    ///
    /// Endpoints answer probes without queueing, within a few milliseconds.
    pub const SUSPECT_AFTER: Duration = Duration::from_millis(20);
    /// Part of the objective that is left for the way to the caller, in percent.
    const RESERVE_PERCENT: u32 = 10;
    /// Gap at which an event is late, in percent of the typical gap; prompts that are read in between delay
    /// events by less.
    const LATE_PERCENT: u32 = 175;
    /// Part of the objective within which no event counts as late, in percent; the rest is enough to find the
    /// endpoint that failed and to replace it.
    const ON_TIME_PERCENT: u32 = 35;
    /// Gap at which an event may count as late if little time is left, in percent of the typical gap.
    const MIN_LATE_PERCENT: u32 = 125;
    /// Shortest wait before a probe; jitter between hosts and endpoints is shorter.
    const MIN_PROBE_DELAY: Duration = Duration::from_millis(30);
    /// Time for a connection and an order, besides the prompt and the first event.
    const ORDER_TIME: Duration = Duration::from_millis(15);

    /// Returns the schedule of a stream whose replacement reads tokens for `read_time`; `None` without a gap
    /// objective.
    #[must_use]
    pub fn of(
        timeouts: &StreamTimeouts,
        typical_gap: Duration,
        read_time: Duration,
    ) -> Option<Self> {
        let gap_objective = timeouts.event_gap_objective?;
        let restart = Self::ORDER_TIME + read_time + typical_gap;
        Some(Self { gap_objective, typical_gap, restart })
    }

    /// Returns the latest time at which a replacement that starts in the planned time meets the objective.
    #[must_use]
    pub fn act_by(&self) -> Duration {
        let reserve = self.gap_objective * Self::RESERVE_PERCENT / 100;
        self.gap_objective.saturating_sub(reserve + self.restart)
    }

    /// Returns the time without an event after which the path's endpoints are probed.
    #[must_use]
    pub fn probe_after(&self) -> Duration {
        let on_time = self.gap_objective * Self::ON_TIME_PERCENT / 100;
        let late = on_time.max(self.typical_gap * Self::LATE_PERCENT / 100);
        let floor = self.typical_gap * Self::MIN_LATE_PERCENT / 100;
        let by_objective = self.act_by().saturating_sub(Self::SUSPECT_AFTER);
        late.min(by_objective).max(floor).max(Self::MIN_PROBE_DELAY)
    }

    /// Returns the time without an event after which endpoints that are already known to be unresponsive are
    /// replaced; no later than [`RecoverySchedule::probe_after`].
    #[must_use]
    pub fn verdict_after(&self) -> Duration {
        let floor = self.typical_gap * Self::MIN_LATE_PERCENT / 100;
        floor.max(Self::MIN_PROBE_DELAY)
    }

    /// Returns what is left of the objective for a restart, `waited` after the last event.
    #[must_use]
    pub fn time_left(&self, waited: Duration) -> Duration {
        let reserve = self.gap_objective * Self::RESERVE_PERCENT / 100;
        self.gap_objective.saturating_sub(reserve + waited)
    }
}

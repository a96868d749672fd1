use {
    crate::ids::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// What a host knows of a service that it can't use for a reason that is not the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryView {
    /// Whether other hosts are likely to serve the caller: only this one is starting or stopping.
    pub is_alone: bool,
    /// Requests a second that hosts of the zone begin to serve together after an outage, if known.
    pub rate: f64,
    /// Hosts that refuse callers in the same way.
    pub hosts: usize,
}

/// Schedules the returns of callers that were refused because a host can't know yet what holds.
///
/// The longer an outage has lasted, the later it is likely to end; callers that were refused first return
/// first, at a rate that the zone serves. Callers of a host that is the only one to refuse return to
/// another one almost at once.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, returns::{RecoverySchedule, RecoveryView}},
///     std::time::Duration,
/// };
///
/// let view = RecoveryView { is_alone: false, rate: 100.0, hosts: 10 };
/// let mut schedule = RecoverySchedule::default();
/// let early = schedule.next_return(view, Moment::from_millis(1_000));
/// let late = schedule.next_return(view, Moment::from_millis(3_000));
/// assert!(early < late);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecoverySchedule {
    began_at: Option<Moment>,
    refused_at: Option<Moment>,
    last_return: Option<Moment>,
    /// When callers were refused lately.
    recent: VecDeque<Moment>,
}

impl RecoverySchedule {
    /// Time without refusals after which an outage counts as over.
    const OUTAGE_GAP: Duration = Duration::from_secs(2);
    /// Shortest wait of a caller that another host will serve; its new connection takes as long.
    const ALONE_DELAY: Duration = Duration::from_millis(60);
    /// Shortest wait in an outage: a host knows again within two of its queries.
    const MIN_DELAY: Duration = Duration::from_millis(300);
    /// Longest wait until the outage is expected to be over; callers try a few times only.
    const MAX_DELAY: Duration = Duration::from_millis(1_500);
    /// Longest time over which the callers of one host return.
    const MAX_SPREAD: Duration = Duration::from_millis(1_500);
    /// Largest number of refusals that are remembered.
    const MAX_RECENT: usize = 1_024;

    /// Returns after which delay a caller that is refused now should return.
    pub fn next_return(&mut self, view: RecoveryView, now: Moment) -> Duration {
        if self.refused_at.is_none_or(|at| now.since(at) >= Self::OUTAGE_GAP) {
            *self = Self { began_at: Some(now), ..Self::default() };
        }
        self.refused_at = Some(now);
        while self.recent.front().is_some_and(|&at| now.since(at) >= Self::MAX_DELAY) {
            self.recent.pop_front();
        }
        if self.recent.len() < Self::MAX_RECENT {
            self.recent.push_back(now);
        }
        let spacing = 1.0 / (view.rate.max(1.0) / view.hosts.max(1) as f64);
        let spacing = Duration::from_secs_f64(spacing.clamp(0.0, 0.2));
        if view.is_alone {
            let place = u32::try_from(self.recent.len() % 8).unwrap_or_default();
            return Self::ALONE_DELAY + Duration::from_millis(10) * place;
        }
        let elapsed = self.began_at.map_or(Duration::ZERO, |at| now.since(at));
        let expected = now + (elapsed / 2).clamp(Self::MIN_DELAY, Self::MAX_DELAY);
        let after_last = self.last_return.map_or(expected, |last| last + spacing);
        let at = after_last.max(expected).min(expected + Self::MAX_SPREAD);
        self.last_return = Some(at);
        at.since(now)
    }
}

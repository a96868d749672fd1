use {crate::ids::Moment, std::time::Duration};

/// Schedules the returns of callers that were refused because a host can't know yet what holds.
///
/// The longer an outage has lasted, the later it is likely to end; callers that were refused first return
/// first. Callers of a host that is the only one to refuse return to
/// another one almost at once.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, returns::RecoverySchedule},
///     std::time::Duration,
/// };
///
/// let mut schedule = RecoverySchedule::default();
/// let early = schedule.next_return(false, Moment::from_millis(1_000));
/// let late = schedule.next_return(false, Moment::from_millis(2_500));
/// assert!(early < late);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecoverySchedule {
    began_at: Option<Moment>,
    refused_at: Option<Moment>,
    last_return: Option<Moment>,
    /// Number of callers that were refused.
    refused: u32,
}

impl RecoverySchedule {
    /// Time without refusals after which an outage counts as over.
    const OUTAGE_GAP: Duration = Duration::from_secs(2);
    /// Shortest wait of a caller that another host will serve; its new connection takes as long.
    const ALONE_DELAY: Duration = Duration::from_millis(60);
    /// Number of different waits of such callers.
    const ALONE_PLACES: u32 = 8;
    /// Shortest wait in an outage: a host knows again within two of its queries.
    const MIN_DELAY: Duration = Duration::from_millis(300);
    /// Longest wait until the outage is expected to be over; callers try a few times only.
    const MAX_DELAY: Duration = Duration::from_millis(1_500);
    /// Time between two returns; a host serves as many requests with ease.
    const SPACING: Duration = Duration::from_millis(10);
    /// Longest time over which the callers of one host return.
    const MAX_SPREAD: Duration = Duration::from_millis(1_500);

    /// Returns after which delay a caller that is refused now should return; `is_alone` says that other hosts
    /// are likely to serve it.
    pub fn next_return(&mut self, is_alone: bool, now: Moment) -> Duration {
        if self.refused_at.is_none_or(|at| now.since(at) >= Self::OUTAGE_GAP) {
            *self = Self { began_at: Some(now), ..Self::default() };
        }
        self.refused_at = Some(now);
        if is_alone {
            self.refused = self.refused.wrapping_add(1);
            return Self::ALONE_DELAY + Self::SPACING * (self.refused % Self::ALONE_PLACES);
        }
        let elapsed = self.began_at.map_or(Duration::ZERO, |at| now.since(at));
        let expected = now + (elapsed / 2).clamp(Self::MIN_DELAY, Self::MAX_DELAY);
        let after_last = self.last_return.map_or(expected, |last| last + Self::SPACING);
        let at = after_last.max(expected).min(expected + Self::MAX_SPREAD);
        self.last_return = Some(at);
        at.since(now)
    }
}

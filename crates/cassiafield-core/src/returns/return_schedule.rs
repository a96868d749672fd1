use {
    crate::ids::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// Schedules the returns of refused callers over the time in which capacity becomes free.
///
/// Capacity becomes free at the rate at which streams end. A caller is told to return when all
/// callers that were refused before it and return until then can have been served, so callers
/// refused first return first, and not all at the same time.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, returns::ReturnSchedule},
///     std::time::Duration,
/// };
///
/// let mut schedule = ReturnSchedule::default();
/// let now = Moment::from_millis(10_000);
/// let first = schedule.next_return(now, Duration::from_secs(6));
/// let second = schedule.next_return(now, Duration::from_secs(6));
/// assert!(first < second);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    /// When streams ended, and how many, within the window.
    recent_ends: VecDeque<(Moment, u32)>,
    /// Returns that were promised and are not due yet.
    promised: VecDeque<Moment>,
    /// The latest return that was promised.
    last_return: Option<Moment>,
}

impl ReturnSchedule {
    /// Time window in which ended streams are counted.
    const RATE_WINDOW: Duration = Duration::from_secs(2);
    /// Shortest time until a return; a request that was refused finds nothing new earlier.
    const MIN_DELAY: Duration = Duration::from_millis(300);
    /// Assumed rate of ends if there were none, per second.
    const MIN_RATE: f64 = 1.0;
    /// Fraction of the ending streams whose capacity is left for returning callers.
    ///
    /// New callers take the rest.
    const RETURN_FRACTION: f64 = 0.5;

    /// Largest number of promised returns that are remembered.
    const MAX_PROMISED: usize = 4_096;

    /// Records that a stream has ended.
    pub fn record_end(&mut self, now: Moment) {
        self.record_ends(1, now);
    }

    /// Records that several streams have ended.
    pub fn record_ends(&mut self, count: u32, now: Moment) {
        if count > 0 {
            self.recent_ends.push_back((now, count));
        }
        self.remove_expired(now);
    }

    /// Returns how many promised returns are due within `span`; each should find room.
    #[must_use]
    pub fn promised_within(&self, span: Duration, now: Moment) -> usize {
        self.promised.iter().filter(|&&at| at >= now && at.since(now) <= span).count()
    }

    /// Returns how many streams are expected to end within `span`.
    #[must_use]
    pub fn expected_ends(&self, span: Duration, now: Moment) -> f64 {
        let recent = self.recent_ends.iter().filter(|(at, _)| now.since(*at) <= Self::RATE_WINDOW);
        let ends: f64 = recent.map(|(_, count)| f64::from(*count)).sum();
        ends * span.as_secs_f64() / Self::RATE_WINDOW.as_secs_f64()
    }

    /// Returns after which delay the next refused caller should return, at most `max_delay`.
    pub fn next_return(&mut self, now: Moment, max_delay: Duration) -> Duration {
        self.remove_expired(now);
        let rate = self.expected_ends(Duration::from_secs(1), now).max(Self::MIN_RATE);
        let spacing = Duration::from_secs_f64(1.0 / (rate * Self::RETURN_FRACTION));
        let earliest = now + Self::MIN_DELAY;
        let after_last = self.last_return.map_or(earliest, |last| last + spacing);
        let at = after_last.max(earliest).min(now + max_delay.max(Self::MIN_DELAY));
        self.last_return = Some(at);
        self.promised.retain(|&due| due >= now);
        if self.promised.len() < Self::MAX_PROMISED {
            self.promised.push_back(at);
        }
        at.since(now)
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.recent_ends.front().is_some_and(|(at, _)| now.since(*at) > Self::RATE_WINDOW) {
            self.recent_ends.pop_front();
        }
    }
}

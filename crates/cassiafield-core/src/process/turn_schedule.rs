use {
    crate::{ids::Moment, request::RequestRate},
    std::time::Duration,
};

/// Whether a request gets a turn at an endpoint that takes a limited rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum TurnReply {
    /// It may be sent after a delay.
    Granted {
        /// The delay.
        delay: Duration,
    },
    /// No turn is free within the time that it can wait.
    Refused {
        /// Time after which a request that can wait as long gets a turn, if no other one does.
        free_in: Duration,
    },
}

/// Grants the turns at one endpoint, in the order in which requests ask.
///
/// Turns are an interval apart, but for two that may follow each other after a time without any. A
/// new schedule grants its first turn after one interval, or after a few seconds if that is longer:
/// the one before it, on another host, may just have granted some. Only a host that reaches most of
/// the fleet keeps one, so that there are no two of them.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, process::{TurnReply, TurnSchedule}},
///     std::time::Duration,
/// };
///
/// let now = Moment::from_millis(5_000);
/// let rate = "2".parse().unwrap();
/// let mut schedule = TurnSchedule::new(rate, now);
/// let first = schedule.acquire(rate, Duration::from_secs(1), now);
/// assert_eq!(first, TurnReply::Granted { delay: Duration::from_millis(500) });
/// let second = schedule.acquire(rate, Duration::from_millis(800), now);
/// assert_eq!(second, TurnReply::Refused { free_in: Duration::from_millis(200) });
/// ```
#[derive(Clone, Copy, Debug)]
pub struct TurnSchedule {
    interval: Duration,
    next_at: Moment,
}

impl TurnSchedule {
    /// Longest time until the first turn; at low rates, each new schedule would else begin the wait
    /// anew.
    const MAX_FIRST_DELAY: Duration = Duration::from_secs(3);

    /// Creates a schedule that has granted nothing yet.
    #[must_use]
    pub fn new(rate: RequestRate, now: Moment) -> Self {
        let interval = interval_of(rate);
        Self { interval, next_at: now + interval.min(Self::MAX_FIRST_DELAY) }
    }

    /// Asks for a turn, for a request that can wait for `max_wait`.
    pub fn acquire(&mut self, rate: RequestRate, max_wait: Duration, now: Moment) -> TurnReply {
        self.set_rate(rate, now);
        // Of the turns that nobody asked for, one is kept.
        let turn_at = self.next_at.max(now.earlier_by(self.interval));
        let delay = turn_at.since(now);
        if delay > max_wait {
            return TurnReply::Refused { free_in: delay - max_wait };
        }
        self.next_at = turn_at + self.interval;
        TurnReply::Granted { delay }
    }

    /// Takes a turn back that was not used.
    pub fn give_back(&mut self) {
        self.next_at = self.next_at.earlier_by(self.interval);
    }

    /// Changes the rate; the turns that are granted already count at the new one.
    fn set_rate(&mut self, rate: RequestRate, now: Moment) {
        let interval = interval_of(rate);
        if interval != self.interval {
            let turns = self.next_at.since(now).as_secs_f64() / self.interval.as_secs_f64();
            if turns > 0.0 {
                self.next_at = now + interval.mul_f64(turns);
            }
            self.interval = interval;
        }
    }
}

/// The turns that a host takes by itself, while it does not reach the one that grants them.
///
/// The same holds for the leader of a zone that reaches few hosts. Nothing is kept for later: a turn
/// opens at a random time about one interval after it was first asked for, and lapses an interval
/// after that. So hosts that lose touch at the same time do not send at the same time.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostShare {
    opens_at: Moment,
    closes_at: Moment,
}

impl HostShare {
    /// Asks for a turn, for a request that can wait for `max_wait`.
    ///
    /// `rate` is the part of the limit of this host, or of those that it reaches; `spread`, from 0 to 1, should differ between hosts.
    pub fn acquire(
        &mut self,
        rate: RequestRate,
        spread: f64,
        max_wait: Duration,
        now: Moment,
    ) -> TurnReply {
        if now >= self.closes_at {
            self.open_after(now, rate, spread);
        }
        let delay = self.opens_at.since(now);
        if delay > max_wait {
            return TurnReply::Refused { free_in: delay - max_wait };
        }
        self.open_after(now + delay, rate, spread);
        TurnReply::Granted { delay }
    }

    fn open_after(&mut self, from: Moment, rate: RequestRate, spread: f64) {
        let interval = interval_of(rate);
        self.opens_at = from + interval.mul_f64(0.5 + spread.clamp(0.0, 1.0));
        self.closes_at = self.opens_at + interval;
    }
}

/// Returns the time between two turns; limits are never lower than the rate of trials, but a part of
/// one may be.
fn interval_of(rate: RequestRate) -> Duration {
    const MAX_INTERVAL: Duration = Duration::from_secs(3_600);
    rate.interval().unwrap_or(MAX_INTERVAL).clamp(Duration::from_micros(1), MAX_INTERVAL)
}

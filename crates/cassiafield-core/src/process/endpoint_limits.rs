use {
    crate::{
        ids::{EndpointId, Moment},
        process::{EndpointIncarnation, LimitReport},
        request::RequestRate,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The latest statements of endpoints about their limits, by endpoint.
pub type LimitReports = BTreeMap<EndpointId, LimitReport>;

/// The rates of requests that endpoints take from all hosts together.
///
/// A limit belongs to one incarnation of an endpoint and outlives its entry in the list. It is in
/// force from the first answer that names it, at whichever host, until an answer without it to a
/// request that was sent after the last answer with it. After that requests return in steps.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, process::{EndpointIncarnation, EndpointLimits}},
///     std::time::Duration,
/// };
///
/// let (mut limits, now) = (EndpointLimits::default(), Moment::from_millis(5_000));
/// let (endpoint, incarnation) = ("i-1".parse().unwrap(), EndpointIncarnation(1));
/// let rate = "3".parse().unwrap();
/// assert!(limits.record_named(&endpoint, incarnation, rate, now));
/// assert_eq!(limits.rate(&endpoint, incarnation, now), Some(rate));
/// assert!(!limits.record_unnamed(&endpoint, incarnation, now));
/// assert!(limits.record_unnamed(&endpoint, incarnation, now + Duration::from_millis(1)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointLimits {
    limits: BTreeMap<EndpointId, EndpointLimit>,
}

#[derive(Clone, Copy, Debug)]
struct EndpointLimit {
    incarnation: EndpointIncarnation,
    rate: RequestRate,
    /// Time of the latest statement: when an answer with the limit arrived, or when the request was
    /// sent that was answered without one.
    stated_at: Moment,
    is_over: bool,
    changed_at: Moment,
    /// Time until which no turn is free, as far as this host knows.
    full_until: Moment,
    /// Time of the last turn that this host was granted.
    turn_at: Moment,
}

impl EndpointLimits {
    /// The lowest rate in use: trial requests are the only way to learn that an endpoint with a limit
    /// of zero accepts requests again.
    pub const TRIAL_RATE: RequestRate = RequestRate::per_million_seconds(100_000);
    /// Time in which requests return after a limit has ended.
    const RETURN_TIME: Duration = Duration::from_secs(2);
    /// Time in which the rate doubles meanwhile, and the rate at which that begins at least.
    const DOUBLING_TIME: Duration = Duration::from_millis(250);
    const MIN_RETURN_RATE: RequestRate = RequestRate::per_million_seconds(1_000_000);
    /// Time for which the limit of an endpoint that is not listed is kept.
    const RETENTION: Duration = Duration::from_secs(600);
    /// Time for which a change is reported.
    const REPORT_TIME: Duration = Duration::from_secs(1);
    /// Interval at which all limits are reported again, and the time in which they are.
    const REPEAT_INTERVAL: Duration = Duration::from_secs(3);
    const REPEAT_TIME: Duration = Duration::from_millis(320);
    /// Difference below which two times from peers are the same one, delayed on its way.
    const MESSAGE_DELAY: Duration = Duration::from_millis(400);
    /// Upper bounds of the table and of a report.
    const MAX_LIMITS: usize = 4_096;
    const MAX_REPORTED: usize = 256;

    /// Records that an endpoint named its limit in an answer that came at `now`; returns `true` if
    /// that changes the limit.
    pub fn record_named(
        &mut self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        rate: RequestRate,
        now: Moment,
    ) -> bool {
        let report = LimitReport { incarnation, rate, is_over: false, age_ms: 0 };
        self.apply(endpoint, report, now, now)
    }

    /// Records that an endpoint answered a request that was sent at `sent_at` without naming a limit;
    /// returns `true` if that ends the limit.
    pub fn record_unnamed(
        &mut self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        sent_at: Moment,
    ) -> bool {
        let Some(limit) = self.limits.get_mut(endpoint) else { return false };
        let is_news =
            limit.incarnation == incarnation && !limit.is_over && sent_at > limit.stated_at;
        if is_news {
            *limit = EndpointLimit::new(incarnation, limit.rate, true, sent_at, sent_at);
        }
        is_news
    }

    /// Adds what a peer knows of an endpoint; returns `true` if that changes the limit.
    ///
    /// An older statement never overrides a newer one.
    pub fn merge(&mut self, endpoint: &EndpointId, report: LimitReport, now: Moment) -> bool {
        let age = Duration::from_millis(u64::from(report.age_ms));
        self.apply(endpoint, report, now.earlier_by(age), now)
    }

    fn apply(
        &mut self,
        endpoint: &EndpointId,
        report: LimitReport,
        stated_at: Moment,
        now: Moment,
    ) -> bool {
        let LimitReport { incarnation, rate, is_over, .. } = report;
        let Some(limit) = self.limits.get_mut(endpoint) else {
            let is_past = is_over && now.since(stated_at) >= Self::RETURN_TIME;
            if is_past || self.limits.len() >= Self::MAX_LIMITS {
                return false;
            }
            let limit = EndpointLimit::new(incarnation, rate, is_over, stated_at, now);
            self.limits.insert(endpoint.clone(), limit);
            return true;
        };
        if incarnation != limit.incarnation {
            if incarnation > limit.incarnation {
                *limit = EndpointLimit::new(incarnation, rate, is_over, stated_at, now);
            }
            return incarnation == limit.incarnation;
        }
        let is_same = rate == limit.rate && is_over == limit.is_over;
        if is_same {
            // A statement of this host may come back from a peer.
            let is_own = now == stated_at;
            if is_own || stated_at > limit.stated_at + Self::MESSAGE_DELAY {
                limit.stated_at = limit.stated_at.max(stated_at);
            }
            return false;
        }
        let is_news = stated_at > limit.stated_at || stated_at == limit.stated_at && !is_over;
        if is_news {
            // What was known of free turns held for the rate before.
            *limit = EndpointLimit::new(incarnation, rate, is_over, stated_at, now);
        }
        is_news
    }

    /// Returns the rate of requests that all hosts together may send to an endpoint's incarnation
    /// now; `None` without a limit.
    #[must_use]
    pub fn rate(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> Option<RequestRate> {
        let limit = self.limits.get(endpoint).filter(|found| found.incarnation >= incarnation)?;
        if !limit.is_over {
            return Some(limit.rate.max(Self::TRIAL_RATE));
        }
        let since_end = now.since(limit.stated_at);
        (since_end < Self::RETURN_TIME).then(|| {
            let doublings = since_end.as_secs_f64() / Self::DOUBLING_TIME.as_secs_f64();
            limit.rate.max(Self::MIN_RETURN_RATE).scaled(doublings.exp2())
        })
    }

    /// Records that a turn at an endpoint was granted for `turn_at`.
    pub fn record_turn(&mut self, endpoint: &EndpointId, turn_at: Moment) {
        if let Some(limit) = self.limits.get_mut(endpoint) {
            limit.turn_at = limit.turn_at.max(turn_at);
            limit.full_until = Moment::ORIGIN;
        }
    }

    /// Records that an endpoint has no turn free before `full_until`.
    pub fn record_full(&mut self, endpoint: &EndpointId, full_until: Moment) {
        if let Some(limit) = self.limits.get_mut(endpoint) {
            limit.full_until = full_until;
        }
    }

    /// Returns until when an endpoint's incarnation has no turn free, as far as this host knows;
    /// `None` if it may have one.
    #[must_use]
    pub fn full_until(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> Option<Moment> {
        self.rate(endpoint, incarnation, now)?;
        let until = self.limits.get(endpoint)?.full_until;
        (until > now).then_some(until)
    }

    /// Returns how long a request is likely to wait for a turn at an endpoint.
    #[must_use]
    pub fn expected_wait(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> Duration {
        let is_limited = self.rate(endpoint, incarnation, now).is_some();
        let limit = self.limits.get(endpoint).filter(|_| is_limited);
        limit.map_or(Duration::ZERO, |limit| limit.turn_at.since(now))
    }

    /// Returns the latest statement of an endpoint, for the host that grants its turns.
    #[must_use]
    pub fn report_of(&self, endpoint: &EndpointId, now: Moment) -> Option<LimitReport> {
        self.limits.get(endpoint).map(|limit| limit.report(now))
    }

    /// Returns what peers should know: changes, and from time to time, or if `is_complete`, all limits
    /// in force.
    #[must_use]
    pub fn report(&self, is_complete: bool, now: Moment) -> LimitReports {
        let is_news = |limit: &EndpointLimit| {
            let since_change = now.since(limit.changed_at);
            let since_repeat = since_change.as_millis() % Self::REPEAT_INTERVAL.as_millis();
            since_change < Self::REPORT_TIME
                || !limit.is_over && (is_complete || since_repeat < Self::REPEAT_TIME.as_millis())
        };
        let mut news: Vec<_> = self.limits.iter().filter(|(_, limit)| is_news(limit)).collect();
        news.sort_by_key(|(_, limit)| std::cmp::Reverse(limit.changed_at));
        let news = news.into_iter().take(Self::MAX_REPORTED);
        news.map(|(endpoint, limit)| (endpoint.clone(), limit.report(now))).collect()
    }

    /// Evicts endpoints that are not listed and have made no statement within the retention time.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&EndpointId) -> bool, now: Moment) {
        self.limits.retain(|endpoint, limit| {
            let is_recent = now.since(limit.stated_at) < Self::RETENTION;
            is_recent || !limit.is_over && is_listed(endpoint)
        });
    }
}

impl EndpointLimit {
    fn new(
        incarnation: EndpointIncarnation,
        rate: RequestRate,
        is_over: bool,
        stated_at: Moment,
        now: Moment,
    ) -> Self {
        Self {
            incarnation,
            rate,
            stated_at,
            is_over,
            changed_at: now,
            full_until: Moment::ORIGIN,
            turn_at: Moment::ORIGIN,
        }
    }

    fn report(&self, now: Moment) -> LimitReport {
        LimitReport {
            incarnation: self.incarnation,
            rate: self.rate,
            is_over: self.is_over,
            age_ms: u32::try_from(now.since(self.stated_at).as_millis()).unwrap_or(u32::MAX),
        }
    }
}

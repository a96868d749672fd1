use {
    crate::{
        ids::Moment,
        process::{RetryLimits, RetryQuota},
    },
    std::{collections::VecDeque, time::Duration},
};

/// The hosts and requests of an availability zone, as its leader knows them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ZoneTraffic {
    /// First attempts of requests to the service within the window, on all hosts of the zone.
    pub requests: u32,
    /// Number of hosts of the zone.
    pub hosts: usize,
    /// Number of hosts of the fleet, if it is known; without it, none of the slack is used.
    pub fleet_hosts: Option<usize>,
}

/// What a leader has granted within the window, for its successor.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct GrantRecord {
    /// Number of granted retries.
    pub granted: u32,
    /// Time for which all grants are known, up to the window, in milliseconds.
    pub known_ms: u32,
}

/// The part of the retry budget that the leader of an availability zone grants on request.
///
/// Failures concentrate the need for retries on a few hosts, which soon use up their own
/// [`RetryQuota`]. The pool holds the other part of the zone's share. A new leader that does not
/// know what its predecessor has granted uses the slack only after a full window.
///
/// ```
/// use {
///     cassiafield_core::{
///         ids::Moment,
///         process::{RetryLimits, RetryPool, ZoneTraffic},
///     },
///     std::time::Duration,
/// };
///
/// let limits = RetryLimits { ratio: 0.2, slack: 90.0, window: Duration::from_secs(10) };
/// let mut pool = RetryPool::new(limits, Moment::ORIGIN);
/// let traffic = ZoneTraffic { requests: 100, hosts: 3, fleet_hosts: Some(9) };
/// let granted = pool.grant(1_000, traffic, Moment::from_millis(20_000));
/// assert!((20..=30).contains(&granted));
/// assert_eq!(pool.grant(1, traffic, Moment::from_millis(20_001)), 0);
/// ```
#[derive(Clone, Debug)]
pub struct RetryPool {
    limits: RetryLimits,
    /// Time since which all grants are known; [`Moment::ORIGIN`] if there was no other leader.
    known_since: Moment,
    /// Grants within the window, with their times.
    grants: VecDeque<(Moment, u32)>,
}

impl RetryPool {
    /// Creates the pool of a leader that knows all grants since `known_since`.
    #[must_use]
    pub const fn new(limits: RetryLimits, known_since: Moment) -> Self {
        Self { limits, known_since, grants: VecDeque::new() }
    }

    /// Takes the grants of a predecessor into account, whose record arrived at `received_at`.
    ///
    /// They count as granted now, since their times are unknown.
    pub fn inherit(&mut self, record: GrantRecord, received_at: Moment, now: Moment) {
        self.remove_expired(now);
        if now.since(received_at) >= self.limits.window {
            return;
        }
        self.grants.push_back((now, record.granted));
        let known = Duration::from_millis(u64::from(record.known_ms));
        self.known_since = self.known_since.min(received_at.earlier_by(known));
    }

    /// Takes into account what another leader of the zone has granted, which led while this host was
    /// suspended; its record includes the grants that it had inherited.
    pub fn observe(&mut self, record: GrantRecord, now: Moment) {
        self.remove_expired(now);
        let unknown = record.granted.saturating_sub(self.granted());
        if unknown > 0 {
            self.grants.push_back((now, unknown));
        }
    }

    /// Returns the record for a successor.
    pub fn record(&mut self, now: Moment) -> GrantRecord {
        self.remove_expired(now);
        let known = self.known_time(now);
        let known_ms = u32::try_from(known.as_millis()).unwrap_or(u32::MAX);
        GrantRecord { granted: self.granted(), known_ms }
    }

    /// Grants up to `wanted` retries; returns how many.
    pub fn grant(&mut self, wanted: u32, traffic: ZoneTraffic, now: Moment) -> u32 {
        self.remove_expired(now);
        let window = self.limits.window;
        let known = self.known_time(now);
        let known_fraction = known.as_secs_f64() / window.as_secs_f64().max(1e-9);
        let earned = self.limits.ratio * f64::from(traffic.requests) * known_fraction.min(1.0);
        let fleet_hosts = traffic.fleet_hosts.filter(|_| known >= window);
        let slack = fleet_hosts.map_or(0.0, |fleet_hosts| {
            let fleet_hosts = fleet_hosts.max(traffic.hosts).max(1);
            self.limits.slack * traffic.hosts as f64 / fleet_hosts as f64
        });
        let bound = (earned + slack) * RetryQuota::SAFETY_FACTOR * RetryQuota::POOLED_FRACTION;
        // The difference is finite and not negative.
        let granted = wanted.min((bound - f64::from(self.granted())).max(0.0) as u32);
        if granted > 0 {
            self.grants.push_back((now, granted));
        }
        granted
    }

    /// Returns the time for which all grants are known, up to the window.
    fn known_time(&self, now: Moment) -> Duration {
        if self.known_since == Moment::ORIGIN {
            return self.limits.window;
        }
        now.since(self.known_since).min(self.limits.window)
    }

    fn granted(&self) -> u32 {
        self.grants.iter().map(|(_, count)| count).sum()
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.grants.front().is_some_and(|(at, _)| now.since(*at) >= self.limits.window) {
            self.grants.pop_front();
        }
    }
}

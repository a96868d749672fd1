use {
    crate::ids::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// The fleet's bound for retries to a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries per window.
    pub slack: f64,
    /// The window in which requests and retries are counted.
    pub window: Duration,
}

/// One host's own share of the retries that the fleet may send to a service within a window.
///
/// In any window, the fleet may send `ratio` times the number of its requests plus `slack` retries.
/// A part of this is pooled by availability zone, see [`RetryPool`](super::RetryPool). Of the rest, a
/// host may send `ratio` times its own requests plus an equal share of the slack, minus a safety
/// margin. After a restart, the share of the slack is available only after a full window, since the
/// previous process at the host may have used it.
#[derive(Clone, Debug)]
pub struct RetryQuota {
    limits: RetryLimits,
    /// When the process started, if another one ran at the host before.
    started_at: Option<Moment>,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryQuota {
    /// Fraction of the bound that is used; the rest covers windows that are counted differently
    /// elsewhere than at this host.
    pub const SAFETY_FACTOR: f64 = 0.88;
    /// Fraction of the budget that zone leaders grant on request.
    pub const POOLED_FRACTION: f64 = 0.6;

    /// Creates the quota of one host.
    ///
    /// `started_at` is when the process started, or `None` if no other process ran at the host before.
    #[must_use]
    pub const fn new(limits: RetryLimits, started_at: Option<Moment>) -> Self {
        Self { limits, started_at, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Returns the number of first attempts within the window.
    pub fn recent_requests(&mut self, now: Moment) -> u32 {
        self.remove_expired(now);
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Moment) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Acquires the right to send one retry; returns `true` if the quota allows it.
    ///
    /// The slack is divided equally over `hosts`; without their number, none of it is used.
    pub fn try_acquire(&mut self, hosts: Option<usize>, now: Moment) -> bool {
        self.remove_expired(now);
        let earned = self.limits.ratio * self.requests.len() as f64;
        let is_slack_available =
            self.started_at.is_none_or(|started_at| now.since(started_at) >= self.limits.window);
        let hosts = hosts.filter(|_| is_slack_available);
        let slack = hosts.map_or(0.0, |hosts| self.limits.slack / hosts.max(1) as f64);
        let own_fraction = 1.0 - Self::POOLED_FRACTION;
        let bound = (earned + slack) * Self::SAFETY_FACTOR * own_fraction;
        let is_granted = (self.retries.len() as f64) + 1.0 <= bound;
        if is_granted {
            self.retries.push_back(now);
        }
        is_granted
    }

    fn remove_expired(&mut self, now: Moment) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|&at| now.since(at) >= self.limits.window) {
                queue.pop_front();
            }
        }
    }
}

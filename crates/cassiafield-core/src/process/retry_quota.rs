use {
    crate::ids::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// One host's share of the retries that the fleet may send to a service within a window.
///
/// In any window, the fleet may send `ratio` times the number of its requests plus `slack` retries.
/// A host may send `ratio` times its own requests plus an equal share of the slack, minus a safety
/// margin. After a restart, the share of the slack is available only after a full window, since the
/// previous process at the host may have used it.
#[derive(Clone, Debug)]
pub struct RetryQuota {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// When the process started, if another one ran at the host before.
    started_at: Option<Moment>,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryQuota {
    /// Fraction of the bound that is used; the rest covers windows that are counted differently
    /// elsewhere than at this host.
    const SAFETY_FACTOR: f64 = 0.88;

    /// Creates the quota of one host.
    ///
    /// `started_at` is when the process started, or `None` if no other process ran at the host before.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration, started_at: Option<Moment>) -> Self {
        Self {
            ratio,
            slack,
            window,
            started_at,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Moment) {
        self.remove_expired(now);
        self.requests.push_back(now);
    }

    /// Acquires the right to send one retry; returns `true` if the quota allows it.
    ///
    /// The slack is divided equally over `hosts`.
    pub fn try_acquire(&mut self, hosts: usize, now: Moment) -> bool {
        self.remove_expired(now);
        let earned = self.ratio * self.requests.len() as f64;
        let is_slack_available =
            self.started_at.is_none_or(|started_at| now.since(started_at) >= self.window);
        let slack = if is_slack_available { self.slack / hosts.max(1) as f64 } else { 0.0 };
        let bound = (earned + slack) * Self::SAFETY_FACTOR;
        let is_granted = (self.retries.len() as f64) + 1.0 <= bound;
        if is_granted {
            self.retries.push_back(now);
        }
        is_granted
    }

    fn remove_expired(&mut self, now: Moment) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|&at| now.since(at) >= self.window) {
                queue.pop_front();
            }
        }
    }
}

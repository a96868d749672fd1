use {
    crate::ids::Moment,
    std::{collections::VecDeque, time::Duration},
};

/// A host's part of the retries that all hosts together may send to a service in a window.
///
/// The fleet's bound in any window is `ratio` of the requests plus `slack`. A host spends `ratio`
/// of its own requests and an equal part of the slack, less a margin. The part of the slack counts
/// only after a whole window, since the process before at the same host may have spent it.
#[derive(Clone, Debug)]
pub struct RetryQuota {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// When the process started, if another one ran at the host before it.
    began: Option<Moment>,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryQuota {
    /// Part of the bound that is used; the rest covers windows that are counted differently.
    const SAFETY: f64 = 0.88;

    /// Creates the part of one host whose process started at `began`; `None` if no process ran there
    /// before it.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration, began: Option<Moment>) -> Self {
        Self { ratio, slack, window, began, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Records a request's first attempt.
    pub fn record_request(&mut self, now: Moment) {
        self.trim(now);
        self.requests.push_back(now);
    }

    /// Takes the right to send one retry, if there is one, with the slack split over `hosts`.
    pub fn try_acquire(&mut self, hosts: usize, now: Moment) -> bool {
        self.trim(now);
        let own = self.ratio * self.requests.len() as f64;
        let is_settled = self.began.is_none_or(|began| now.since(began) >= self.window);
        let slack = if is_settled { self.slack / hosts.max(1) as f64 } else { 0.0 };
        let bound = (own + slack) * Self::SAFETY;
        let is_granted = (self.retries.len() as f64) + 1.0 <= bound;
        if is_granted {
            self.retries.push_back(now);
        }
        is_granted
    }

    fn trim(&mut self, now: Moment) {
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|&at| now.since(at) >= self.window) {
                queue.pop_front();
            }
        }
    }
}

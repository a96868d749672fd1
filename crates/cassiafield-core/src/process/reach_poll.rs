/// Replies of other hosts to a reachability query for a service.
///
/// A host sends the query when its own connections to the service's endpoints fail. A missing reply is no
/// evidence, since hosts may be slow and replies lost; only negative replies show that the endpoints
/// themselves have failed.
///
/// ```
/// use cassiafield_core::process::ReachPoll;
///
/// let mut poll = ReachPoll::new(3);
/// assert!(!poll.shows_general_failure());
/// poll.record(false);
/// poll.record(false);
/// assert!(poll.shows_general_failure());
/// poll.record(true);
/// assert!(!poll.shows_general_failure());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReachPoll {
    asked: usize,
    confirmed: usize,
    denied: usize,
}

impl ReachPoll {
    /// Creates a poll of `asked` hosts.
    #[must_use]
    pub const fn new(asked: usize) -> Self {
        Self { asked, confirmed: 0, denied: 0 }
    }

    /// Records the reply of a host.
    pub const fn record(&mut self, is_reached: bool) {
        if is_reached {
            self.confirmed += 1;
        } else {
            self.denied += 1;
        }
    }

    /// Returns `true` if further replies cannot change the result.
    #[must_use]
    pub const fn is_decided(&self) -> bool {
        self.confirmed > 0 || self.confirmed + self.denied >= self.asked
    }

    /// Returns `true` if the endpoints have failed for all hosts: no reply is positive, and at least half of
    /// the hosts replied, or there is no other host.
    #[must_use]
    pub const fn shows_general_failure(&self) -> bool {
        self.confirmed == 0 && self.denied * 2 >= self.asked
    }
}

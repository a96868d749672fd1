use {
    crate::ids::{EndpointId, Moment},
    std::{collections::BTreeMap, time::Duration},
};

/// The prompts that endpoints are reading again for streams of this host, as planned.
#[derive(Clone, Debug, Default)]
pub struct ReadBacklog {
    /// When each endpoint will have read them all.
    until: BTreeMap<EndpointId, Moment>,
}

impl ReadBacklog {
    /// Longest backlog that streams add to which miss their objective in any case; other prompts wait
    /// behind it.
    const MAX_LATE_BACKLOG: Duration = Duration::from_millis(40);

    /// Records that endpoints begin to read tokens again, each for the given time.
    pub fn record(&mut self, reads: &[(EndpointId, Duration)], now: Moment) {
        self.until.retain(|_, until| *until > now);
        for (endpoint, time) in reads {
            let until = self.until.entry(endpoint.clone()).or_insert(now);
            *until = (*until).max(now) + *time;
        }
    }

    /// Returns how long each endpoint still reads.
    #[must_use]
    pub fn waits(&self, now: Moment) -> BTreeMap<EndpointId, Duration> {
        let busy = self.until.iter().filter(|(_, until)| **until > now);
        busy.map(|(endpoint, until)| (endpoint.clone(), until.since(now))).collect()
    }

    /// Returns how long a stream should wait before these endpoints read for it; zero if they may now.
    ///
    /// A stream that will be in time goes first. One that is late in any case waits until the backlog is
    /// short, so that it delays no other one.
    #[must_use]
    pub fn delay<'a>(
        &self,
        endpoints: impl IntoIterator<Item = &'a EndpointId>,
        is_in_time: bool,
        now: Moment,
    ) -> Duration {
        if is_in_time {
            return Duration::ZERO;
        }
        let waits = endpoints.into_iter().filter_map(|endpoint| self.until.get(endpoint));
        let longest = waits.map(|until| until.since(now)).max().unwrap_or_default();
        longest.saturating_sub(Self::MAX_LATE_BACKLOG)
    }
}

use {crate::ids::Moment, std::time::Duration};

/// How old the newest knowledge of something is, counted from when it was asked for.
///
/// The clock must count the time that the host is suspended.
///
/// ```
/// use {cassiafield_core::{ids::Moment, process::DataAge}, std::time::Duration};
/// let mut age = DataAge::default();
/// assert!(!age.is_within(Duration::from_secs(3), Moment::ORIGIN));
/// age.renew(Moment::ORIGIN);
/// assert!(age.is_within(Duration::from_secs(3), Moment::from_millis(2_900)));
/// assert!(!age.is_within(Duration::from_secs(3), Moment::from_millis(3_100)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DataAge {
    asked: Option<Moment>,
}

impl DataAge {
    /// Records an answer that was current at some time after `asked`.
    pub fn renew(&mut self, asked: Moment) {
        self.asked = self.asked.max(Some(asked));
    }

    /// Returns the age at `now`, or `None` if nothing was ever known.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.asked.map(|asked| now.since(asked))
    }

    /// Says whether the knowledge is at most `limit` old.
    #[must_use]
    pub fn is_within(&self, limit: Duration, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}

use {crate::ids::Moment, std::time::Duration};

/// The age of the latest data, counted from when it was requested.
///
/// The clock must include the time for which the host is suspended.
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
    requested_at: Option<Moment>,
}

impl DataAge {
    /// Records data that was current at some time after `requested_at`.
    pub fn renew(&mut self, requested_at: Moment) {
        self.requested_at = self.requested_at.max(Some(requested_at));
    }

    /// Returns the age at `now`, or `None` if no data has been recorded.
    #[must_use]
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.requested_at.map(|requested_at| now.since(requested_at))
    }

    /// Returns `true` if the data is at most `max_age` old.
    #[must_use]
    pub fn is_within(&self, max_age: Duration, now: Moment) -> bool {
        self.age(now).is_some_and(|age| age <= max_age)
    }
}

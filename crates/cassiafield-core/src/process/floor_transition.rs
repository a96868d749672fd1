use {
    crate::{ids::Moment, version::FloorFraction},
    std::time::Duration,
};

/// The fraction of every plan that this host may spend, across changes of the zone layout.
///
/// While a new layout propagates, some hosts still use the old one. A smaller fraction takes effect
/// immediately; a larger one is delayed until the layout is in force on all hosts, so that the
/// fractions of all hosts never add up to more than one.
#[derive(Clone, Copy, Debug, Default)]
pub struct FloorTransition {
    layout: u64,
    fraction: Option<FloorFraction>,
    growing_since: Option<Moment>,
}

impl FloorTransition {
    /// Time within which an accepted edit is in force on all hosts.
    pub const PROPAGATION_TIME: Duration = Duration::from_secs(10);

    /// Creates a transition without a fraction.
    #[must_use]
    pub const fn new() -> Self {
        Self { layout: 0, fraction: None, growing_since: None }
    }

    /// Takes the fraction that the lists assign to this host, and returns the one that it may spend now.
    pub fn update(
        &mut self,
        layout: u64,
        assigned: Option<FloorFraction>,
        now: Moment,
    ) -> Option<FloorFraction> {
        let size = |fraction: Option<FloorFraction>| {
            fraction.map_or(0.0, |fraction| fraction.of_amount(1.0))
        };
        if layout != self.layout && self.layout != 0 && size(assigned) > size(self.fraction) {
            self.growing_since = Some(now);
        }
        self.layout = layout;
        if self.growing_since.is_some_and(|since| now.since(since) < Self::PROPAGATION_TIME) {
            return self.fraction.filter(|_| assigned.is_some());
        }
        self.growing_since = None;
        self.fraction = assigned;
        self.fraction
    }

    /// Returns `true` if a delayed larger fraction may take effect now.
    #[must_use]
    pub fn is_growth_due(&self, now: Moment) -> bool {
        self.growing_since.is_some_and(|since| now.since(since) >= Self::PROPAGATION_TIME)
    }

    /// Clears the fraction, for example after the ordinal is lost.
    pub fn clear(&mut self) {
        self.fraction = None;
        self.growing_since = None;
    }
}

use {
    crate::{ids::Moment, version::FloorFraction},
    std::time::Duration,
};

/// The part of every plan that this host spends, across changes of the zones' layout.
///
/// While a new layout spreads, some hosts still go by the old one. A part that shrinks does so at
/// once; one that grows waits until the layout is in force everywhere, so that the parts of all
/// hosts never sum to more than the whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct FloorTransition {
    layout: u64,
    part: Option<FloorFraction>,
    growing_since: Option<Moment>,
}

impl FloorTransition {
    /// Time within which an accepted edit is in force on every host.
    pub const PROPAGATION_TIME: Duration = Duration::from_secs(10);

    /// Creates a hold on nothing.
    #[must_use]
    pub const fn new() -> Self {
        Self { layout: 0, part: None, growing_since: None }
    }

    /// Takes the part that the lists give this host and returns the one it may spend now.
    pub fn update(
        &mut self,
        layout: u64,
        wanted: Option<FloorFraction>,
        now: Moment,
    ) -> Option<FloorFraction> {
        let size = |part: Option<FloorFraction>| part.map_or(0.0, |part| part.of_amount(1.0));
        if layout != self.layout && self.layout != 0 && size(wanted) > size(self.part) {
            self.growing_since = Some(now);
        }
        self.layout = layout;
        if self.growing_since.is_some_and(|since| now.since(since) < Self::PROPAGATION_TIME) {
            return self.part.filter(|_| wanted.is_some());
        }
        self.growing_since = None;
        self.part = wanted;
        self.part
    }

    /// Says whether a part that waits to grow may do so now.
    #[must_use]
    pub fn is_growth_due(&self, now: Moment) -> bool {
        self.growing_since.is_some_and(|since| now.since(since) >= Self::PROPAGATION_TIME)
    }

    /// Gives the part up, as when the ordinal is lost.
    pub fn clear(&mut self) {
        self.part = None;
        self.growing_since = None;
    }
}

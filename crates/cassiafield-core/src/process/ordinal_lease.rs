use {crate::ids::Moment, std::time::Duration};

/// What a renewal round found out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalResult {
    /// The store, directly or through a peer, renewed the lease.
    Renewed,
    /// The store says that the lease has ended.
    Gone,
    /// Neither this host nor any peer it reaches has the store.
    Unreachable,
}

/// One host's hold on its ordinal in the zone, and thereby on its floors.
///
/// The hold is a lease. A new holder waits until every loan of the holder before it has ended. A
/// holder whose renewal is overdue spends nothing until a renewal round is over; if no peer it
/// reaches has the store, it keeps its floor, since nobody can take the ordinal without the
/// store.
#[derive(Clone, Copy, Debug)]
pub struct OrdinalLease {
    ordinal: u16,
    renewed: Moment,
    spends_from: Moment,
    permits_from: Moment,
    isolated: Option<Moment>,
    lost: bool,
}

impl OrdinalLease {
    /// Time that a lease lasts without renewal.
    pub const LEASE_TTL: Duration = Duration::from_secs(15);
    /// Time from the start of a round that renewed the lease to the next one.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
    /// Time from the start of a round without the store to the next one.
    const RETRY_INTERVAL: Duration = Duration::from_secs(1);
    /// Longest time that a round may take while the store is out of reach.
    ///
    /// Two such rounds with the pause between them fit into the time for which a round without
    /// the store permits to go on.
    pub const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1_250);
    /// Time by which the holder's view of its lease ends before the store's.
    const LEASE_MARGIN: Duration = Duration::from_millis(500);
    /// Time for which a round without the store permits to go on.
    const ISOLATION_TERM: Duration = Duration::from_secs(3);

    /// Creates the hold on an ordinal that was taken by a write sent at `sent`.
    ///
    /// The floors may be spent at once; see [`OrdinalLease::quarantine`].
    #[must_use]
    pub const fn acquired(ordinal: u16, sent: Moment, now: Moment) -> Self {
        Self {
            ordinal,
            renewed: sent,
            spends_from: now,
            permits_from: now,
            isolated: None,
            lost: false,
        }
    }

    /// Holds the floors back, since the previous holder did not hand the ordinal back.
    ///
    /// `loans` is the longest time for which its loans may be out, and `permits` the longest time
    /// for which requests may run on its permits.
    #[must_use]
    pub fn quarantine(mut self, loans: Duration, permits: Duration) -> Self {
        self.spends_from = self.spends_from + loans;
        self.permits_from = self.permits_from + permits;
        self
    }

    /// Returns the ordinal.
    #[must_use]
    pub const fn ordinal(&self) -> u16 {
        self.ordinal
    }

    /// Says whether the hold has ended for good.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Says whether the floors that belong to the ordinal may be spent at `now`.
    #[must_use]
    pub fn may_spend(&self, now: Moment) -> bool {
        let leased = now < self.renewed + (Self::LEASE_TTL - Self::LEASE_MARGIN);
        let isolated = self.isolated.is_some_and(|at| now < at + Self::ISOLATION_TERM);
        !self.lost && now >= self.spends_from && (leased || isolated)
    }

    /// Says whether the permits that belong to the ordinal may be used at `now`.
    #[must_use]
    pub fn may_use_permits(&self, now: Moment) -> bool {
        self.may_spend(now) && now >= self.permits_from
    }

    /// Returns when the round after one that began at `sent` is due.
    ///
    /// Rounds are paced by their starts, so that slow answers do not use up the time for which
    /// the last round without the store permits to go on.
    #[must_use]
    pub fn next_renewal(result: RenewalResult, sent: Moment) -> Moment {
        match result {
            RenewalResult::Renewed => sent + Self::RENEWAL_INTERVAL,
            RenewalResult::Unreachable | RenewalResult::Gone => sent + Self::RETRY_INTERVAL,
        }
    }

    /// Takes the result of a renewal round that began at `sent`.
    pub fn record_renewal(&mut self, result: RenewalResult, sent: Moment) {
        match result {
            RenewalResult::Renewed => {
                self.renewed = self.renewed.max(sent);
                self.isolated = None;
            }
            RenewalResult::Gone => self.lost = true,
            RenewalResult::Unreachable => self.isolated = Some(sent),
        }
    }
}

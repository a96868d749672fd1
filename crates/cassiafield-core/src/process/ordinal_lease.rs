use {crate::ids::Moment, std::time::Duration};

/// The result of a renewal attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RenewalResult {
    /// The lease was renewed by the store, directly or through a peer.
    Renewed,
    /// The store reports that the lease has ended.
    Gone,
    /// Neither this host nor any reachable peer can reach the store.
    Unreachable,
}

/// One host's lease on its ordinal in the zone, and thereby on its floors.
///
/// A new holder waits until all loans of the previous holder have expired. A holder whose renewal is
/// overdue spends nothing until a renewal attempt is complete. If no reachable peer can reach the
/// store either, it keeps its floors, since no other host can acquire the ordinal without the store.
#[derive(Clone, Copy, Debug)]
pub struct OrdinalLease {
    ordinal: u16,
    renewed_at: Moment,
    floors_usable_from: Moment,
    permits_usable_from: Moment,
    last_unreachable_attempt: Option<Moment>,
    lost: bool,
}

impl OrdinalLease {
    /// Time to live of the lease.
    pub const LEASE_TTL: Duration = Duration::from_secs(15);
    /// Time from the start of a successful renewal attempt to the next attempt.
    pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
    /// Time from the start of an attempt that did not reach the store to the next attempt.
    const RETRY_INTERVAL: Duration = Duration::from_secs(1);
    /// Timeout of a renewal attempt while the store is unreachable.
    ///
    /// Two such attempts and the pause between them fit into the time for which an attempt without
    /// the store extends the right to spend.
    pub const RENEWAL_TIMEOUT: Duration = Duration::from_millis(1_250);
    /// Time by which the lease expires earlier at the holder than at the store.
    const LEASE_MARGIN: Duration = Duration::from_millis(500);
    /// Time for which an attempt that did not reach the store extends the right to spend.
    const ISOLATION_GRACE: Duration = Duration::from_secs(3);

    /// Creates the lease on an ordinal that was acquired by a write sent at `sent_at`.
    ///
    /// The floors may be spent immediately; see [`OrdinalLease::quarantine`].
    #[must_use]
    pub const fn acquired(ordinal: u16, sent_at: Moment, now: Moment) -> Self {
        Self {
            ordinal,
            renewed_at: sent_at,
            floors_usable_from: now,
            permits_usable_from: now,
            last_unreachable_attempt: None,
            lost: false,
        }
    }

    /// Delays the use of the floors because the previous holder did not release the ordinal.
    ///
    /// `loans` bounds the time for which its loans may still be in force, and `permits` the time for
    /// which requests may still run on its permits.
    #[must_use]
    pub fn quarantine(mut self, loans: Duration, permits: Duration) -> Self {
        self.floors_usable_from = self.floors_usable_from + loans;
        self.permits_usable_from = self.permits_usable_from + permits;
        self
    }

    /// Returns the ordinal.
    #[must_use]
    pub const fn ordinal(&self) -> u16 {
        self.ordinal
    }

    /// Returns `true` if the lease has been lost.
    #[must_use]
    pub const fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns `true` if the floors of the ordinal may be spent at `now`.
    #[must_use]
    pub fn may_use_floors(&self, now: Moment) -> bool {
        let is_leased = now < self.renewed_at + (Self::LEASE_TTL - Self::LEASE_MARGIN);
        let is_isolated =
            self.last_unreachable_attempt.is_some_and(|at| now < at + Self::ISOLATION_GRACE);
        !self.lost && now >= self.floors_usable_from && (is_leased || is_isolated)
    }

    /// Returns `true` if the permits of the ordinal may be used at `now`.
    #[must_use]
    pub fn may_use_permits(&self, now: Moment) -> bool {
        self.may_use_floors(now) && now >= self.permits_usable_from
    }

    /// Returns when the next renewal attempt is due after one that started at `sent_at`.
    ///
    /// Attempts are scheduled from start to start, so that slow answers do not use up the time for
    /// which the last attempt without the store extends the right to spend.
    #[must_use]
    pub fn next_renewal(result: RenewalResult, sent_at: Moment) -> Moment {
        match result {
            RenewalResult::Renewed => sent_at + Self::RENEWAL_INTERVAL,
            RenewalResult::Unreachable | RenewalResult::Gone => sent_at + Self::RETRY_INTERVAL,
        }
    }

    /// Records the result of a renewal attempt that started at `sent_at`.
    pub fn record_renewal(&mut self, result: RenewalResult, sent_at: Moment) {
        match result {
            RenewalResult::Renewed => {
                self.renewed_at = self.renewed_at.max(sent_at);
                self.last_unreachable_attempt = None;
            }
            RenewalResult::Gone => self.lost = true,
            RenewalResult::Unreachable => self.last_unreachable_attempt = Some(sent_at),
        }
    }
}

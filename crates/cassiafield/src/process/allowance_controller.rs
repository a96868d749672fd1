use {
    crate::{
        process::{lock, HostClock},
        version::ListVersion,
    },
    cassiafield_core::{
        ids::{HostId, Moment, OrganisationId, ZoneId},
        process::{
            AllowanceLedger, AllowanceRefusal, FloorTransition, LoanDemand, LoanRequest,
            LoanResponse, OrdinalLease, RenewalResult,
        },
        version::FloorFraction,
    },
    std::{
        collections::BTreeSet,
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// This host's allowances, whose floors may be spent only under the lease on an ordinal.
pub struct AllowanceController {
    clock: HostClock,
    zone: ZoneId,
    state: Mutex<AllowanceState>,
}

struct AllowanceState {
    ledger: AllowanceLedger,
    version: Arc<ListVersion>,
    ordinal_lease: Option<OrdinalLease>,
    floor_transition: FloorTransition,
    may_use_floors: bool,
    may_use_permits: bool,
}

impl AllowanceController {
    /// Creates a controller without lists and without the lease on an ordinal.
    #[must_use]
    pub fn new(clock: HostClock, zone: ZoneId, max_request_time: Duration) -> Self {
        let ledger = AllowanceLedger::new(fastrand::u64(..), max_request_time);
        let version = Arc::new(ListVersion::default());
        let state = AllowanceState {
            ledger,
            version,
            ordinal_lease: None,
            floor_transition: FloorTransition::new(),
            may_use_floors: false,
            may_use_permits: false,
        };
        Self { clock, zone, state: Mutex::new(state) }
    }

    /// Sets the lists and recomputes the floors.
    pub fn set_lists(&self, version: Arc<ListVersion>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.version = version;
        state.set_floors(&self.zone, now);
    }

    /// Sets the lease on this host's ordinal; `None` sets the floors to zero.
    pub fn set_ordinal_lease(&self, ordinal_lease: Option<OrdinalLease>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.ordinal_lease = ordinal_lease;
        state.set_floors(&self.zone, now);
    }

    /// Returns the lease on this host's ordinal, if it has one.
    #[must_use]
    pub fn ordinal_lease(&self) -> Option<OrdinalLease> {
        lock(&self.state).ordinal_lease
    }

    /// Records the result of a lease renewal that began at `sent_at`.
    ///
    /// Returns `true` if the host still holds its ordinal.
    pub fn record_renewal(&self, result: RenewalResult, sent_at: Moment) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if let Some(lease) = &mut state.ordinal_lease {
            lease.record_renewal(result, sent_at);
        }
        state.refresh(&self.zone, now);
        state.ordinal_lease.is_some_and(|lease| !lease.is_lost())
    }

    /// Admits a request if its organisation's allowances suffice.
    ///
    /// # Errors
    ///
    /// Returns the exhausted allowance and when to retry.
    pub fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u32,
    ) -> Result<(), AllowanceRefusal> {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.ledger.admit(organisation, tokens, now)
    }

    /// Ends an admitted request and refunds its `unused` tokens, which were not generated.
    pub fn release(&self, organisation: &OrganisationId, unused: u32) {
        let now = self.clock.now();
        lock(&self.state).ledger.release(organisation, unused, now);
    }

    /// Records that the process is running; a gap shows that it was paused.
    pub fn record_heartbeat(&self) {
        let now = self.clock.now();
        lock(&self.state).ledger.record_heartbeat(now);
    }

    /// Returns the demands that this host cannot meet without loans from peers.
    pub fn loan_demands(&self) -> Vec<LoanDemand> {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.ledger.loan_demands(now)
    }

    /// Builds a loan request to a peer and returns it with its send time.
    pub fn loan_request(&self, peer: &HostId, demands: &[LoanDemand]) -> (LoanRequest, Moment) {
        let now = self.clock.now();
        (lock(&self.state).ledger.build_request(peer, demands, now), now)
    }

    /// Handles a peer's loan request.
    pub fn handle_loan_request(&self, peer: &HostId, request: &LoanRequest) -> LoanResponse {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.ledger.handle_request(peer, request, now)
    }

    /// Applies a peer's response to a loan request that was sent at `sent_at`.
    pub fn apply_loan_response(&self, peer: &HostId, response: &LoanResponse, sent_at: Moment) {
        let now = self.clock.now();
        lock(&self.state).ledger.apply_response(peer, response, sent_at, now);
    }

    /// Returns the hosts that have borrowed from this one or lent to it.
    pub fn loan_peers(&self) -> BTreeSet<HostId> {
        lock(&self.state).ledger.loan_peers()
    }

    /// Returns the time until the last loan to a peer ends.
    #[must_use]
    pub fn time_until_loans_end(&self) -> Duration {
        let now = self.clock.now();
        let end = lock(&self.state).ledger.last_lent_expiry();
        end.map_or(Duration::ZERO, |end| end.since(now))
    }
}

impl AllowanceState {
    fn set_floors(&mut self, zone: &ZoneId, now: Moment) {
        let ordinal_lease = self.ordinal_lease.filter(|lease| lease.may_use_floors(now));
        self.may_use_floors = ordinal_lease.is_some();
        self.may_use_permits = ordinal_lease.is_some_and(|lease| lease.may_use_permits(now));
        let lists = &self.version.lists;
        let assigned =
            ordinal_lease.and_then(|lease| FloorFraction::of(&lists.zones, zone, lease.ordinal()));
        let fraction = match ordinal_lease {
            Some(_) => self.floor_transition.update(lists.layout, assigned, now),
            None => {
                self.floor_transition.clear();
                None
            }
        };
        self.ledger.set_floors(&self.version.lists, fraction.as_ref(), self.may_use_permits, now);
    }

    /// Recomputes the floors if the right to spend them has changed or a pending increase is due.
    fn refresh(&mut self, zone: &ZoneId, now: Moment) {
        let may_use_floors = self.ordinal_lease.is_some_and(|lease| lease.may_use_floors(now));
        let may_use_permits = self.ordinal_lease.is_some_and(|lease| lease.may_use_permits(now));
        let changed =
            may_use_floors != self.may_use_floors || may_use_permits != self.may_use_permits;
        if changed || self.floor_transition.is_growth_due(now) {
            self.set_floors(zone, now);
        }
    }
}

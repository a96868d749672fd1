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

/// This host's allowances, whose floors may be spent only while it holds an ordinal.
pub struct AllowanceController {
    clock: HostClock,
    zone: ZoneId,
    state: Mutex<AllowanceState>,
}

struct AllowanceState {
    book: AllowanceLedger,
    version: Arc<ListVersion>,
    holder: Option<OrdinalLease>,
    floor: FloorTransition,
    may_spend: bool,
    may_permit: bool,
}

impl AllowanceController {
    /// Creates a controller without lists and without an ordinal.
    #[must_use]
    pub fn new(clock: HostClock, zone: ZoneId, max_request_time: Duration) -> Self {
        let book = AllowanceLedger::new(fastrand::u64(..), max_request_time);
        let version = Arc::new(ListVersion::default());
        let state = AllowanceState {
            book,
            version,
            holder: None,
            floor: FloorTransition::new(),
            may_spend: false,
            may_permit: false,
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

    /// Sets the ordinal that this host holds; `None` releases the floors.
    pub fn set_ordinal_lease(&self, holder: Option<OrdinalLease>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.holder = holder;
        state.set_floors(&self.zone, now);
    }

    /// Returns the ordinal that this host holds.
    #[must_use]
    pub fn ordinal_lease(&self) -> Option<OrdinalLease> {
        lock(&self.state).holder
    }

    /// Records the result of a lease renewal that began at `sent`.
    ///
    /// Returns `true` if the host still holds its ordinal.
    pub fn record_renewal(&self, result: RenewalResult, sent: Moment) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if let Some(holder) = &mut state.holder {
            holder.record_renewal(result, sent);
        }
        state.refresh(&self.zone, now);
        state.holder.is_some_and(|holder| !holder.is_lost())
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
        state.book.admit(organisation, tokens, now)
    }

    /// Ends an admitted request and returns its `unused` tokens, which were not generated.
    pub fn release(&self, organisation: &OrganisationId, unused: u32) {
        let now = self.clock.now();
        lock(&self.state).book.release(organisation, unused, now);
    }

    /// Records that the process is running; a gap reveals that it was frozen.
    pub fn record_heartbeat(&self) {
        let now = self.clock.now();
        lock(&self.state).book.record_heartbeat(now);
    }

    /// Returns the allowances that this host needs to borrow.
    pub fn loan_demands(&self) -> Vec<LoanDemand> {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.book.loan_demands(now)
    }

    /// Builds a loan request to a peer and returns it with its send time.
    pub fn loan_request(&self, peer: &HostId, wants: &[LoanDemand]) -> (LoanRequest, Moment) {
        let now = self.clock.now();
        (lock(&self.state).book.build_request(peer, wants, now), now)
    }

    /// Answers a peer's loan request.
    pub fn handle_loan_request(&self, peer: &HostId, ask: &LoanRequest) -> LoanResponse {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.book.handle_request(peer, ask, now)
    }

    /// Applies a peer's answer to a loan request that was sent at `sent`.
    pub fn apply_loan_response(&self, peer: &HostId, answer: &LoanResponse, sent: Moment) {
        let now = self.clock.now();
        lock(&self.state).book.apply_response(peer, answer, sent, now);
    }

    /// Returns the hosts that have borrowed from this one or lent to it.
    pub fn loan_peers(&self) -> BTreeSet<HostId> {
        lock(&self.state).book.loan_peers()
    }

    /// Returns the time until the last loan to a peer ends.
    #[must_use]
    pub fn time_until_loans_end(&self) -> Duration {
        let now = self.clock.now();
        let end = lock(&self.state).book.last_lent_expiry();
        end.map_or(Duration::ZERO, |end| end.since(now))
    }
}

impl AllowanceState {
    fn set_floors(&mut self, zone: &ZoneId, now: Moment) {
        let holder = self.holder.filter(|holder| holder.may_use_floors(now));
        self.may_spend = holder.is_some();
        self.may_permit = holder.is_some_and(|holder| holder.may_use_permits(now));
        let lists = &self.version.lists;
        let target =
            holder.and_then(|holder| FloorFraction::of(&lists.zones, zone, holder.ordinal()));
        let fraction = match holder {
            Some(_) => self.floor.update(lists.layout, target, now),
            None => {
                self.floor.clear();
                None
            }
        };
        self.book.set_floors(&self.version.lists, fraction.as_ref(), self.may_permit, now);
    }

    /// Recomputes the floors if the right to spend them has changed or a pending increase is due.
    fn refresh(&mut self, zone: &ZoneId, now: Moment) {
        let may_spend = self.holder.is_some_and(|holder| holder.may_use_floors(now));
        let may_permit = self.holder.is_some_and(|holder| holder.may_use_permits(now));
        let changed = may_spend != self.may_spend || may_permit != self.may_permit;
        if changed || self.floor.is_growth_due(now) {
            self.set_floors(zone, now);
        }
    }
}

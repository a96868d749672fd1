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

/// This host's allowances behind its hold on an ordinal.
pub struct AllowanceGate {
    clock: HostClock,
    zone: ZoneId,
    state: Mutex<GateState>,
}

struct GateState {
    book: AllowanceLedger,
    version: Arc<ListVersion>,
    holder: Option<OrdinalLease>,
    floor: FloorTransition,
    spending: bool,
    permitting: bool,
}

impl AllowanceGate {
    /// Creates a gate without lists and without an ordinal.
    #[must_use]
    pub fn new(clock: HostClock, zone: ZoneId, longest_request: Duration) -> Self {
        let book = AllowanceLedger::new(fastrand::u64(..), longest_request);
        let version = Arc::new(ListVersion::default());
        let state = GateState {
            book,
            version,
            holder: None,
            floor: FloorTransition::new(),
            spending: false,
            permitting: false,
        };
        Self { clock, zone, state: Mutex::new(state) }
    }

    /// Sets the lists.
    pub fn set_lists(&self, version: Arc<ListVersion>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.version = version;
        state.set_floors(&self.zone, now);
    }

    /// Sets the hold on an ordinal; `None` gives the floors up.
    pub fn set_holder(&self, holder: Option<OrdinalLease>) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state.holder = holder;
        state.set_floors(&self.zone, now);
    }

    /// Returns the hold on an ordinal.
    #[must_use]
    pub fn holder(&self) -> Option<OrdinalLease> {
        lock(&self.state).holder
    }

    /// Takes the result of a renewal round that began at `sent`; returns whether the hold goes on.
    pub fn renewal(&self, result: RenewalResult, sent: Moment) -> bool {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if let Some(holder) = &mut state.holder {
            holder.record_renewal(result, sent);
        }
        state.refresh(&self.zone, now);
        state.holder.is_some_and(|holder| !holder.is_lost())
    }

    /// Admits a request or says what is used up.
    ///
    /// # Errors
    ///
    /// Returns the allowance that is used up and when to come back.
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

    /// Ends an admitted request, of whose tokens `unused` were not generated.
    pub fn release(&self, organisation: &OrganisationId, unused: u32) {
        let now = self.clock.now();
        lock(&self.state).book.release(organisation, unused, now);
    }

    /// Notes that the process runs.
    pub fn beat(&self) {
        let now = self.clock.now();
        lock(&self.state).book.record_heartbeat(now);
    }

    /// Returns what is missing here.
    pub fn wants(&self) -> Vec<LoanDemand> {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.book.loan_demands(now)
    }

    /// Builds the message to a peer and returns it with its time of sending.
    pub fn ask(&self, peer: &HostId, wants: &[LoanDemand]) -> (LoanRequest, Moment) {
        let now = self.clock.now();
        (lock(&self.state).book.build_request(peer, wants, now), now)
    }

    /// Answers a peer's message.
    pub fn answer(&self, peer: &HostId, ask: &LoanRequest) -> LoanResponse {
        let mut state = lock(&self.state);
        let now = self.clock.now();
        state.refresh(&self.zone, now);
        state.book.handle_request(peer, ask, now)
    }

    /// Takes a peer's answer to a message that was sent at `sent`.
    pub fn take_answer(&self, peer: &HostId, answer: &LoanResponse, sent: Moment) {
        let now = self.clock.now();
        lock(&self.state).book.apply_response(peer, answer, sent, now);
    }

    /// Returns the hosts with which loans are open.
    pub fn loan_peers(&self) -> BTreeSet<HostId> {
        lock(&self.state).book.loan_peers()
    }

    /// Returns the time until the last loan given has ended.
    #[must_use]
    pub fn lent_for(&self) -> Duration {
        let now = self.clock.now();
        let end = lock(&self.state).book.last_lent_expiry();
        end.map_or(Duration::ZERO, |end| end.since(now))
    }
}

impl GateState {
    fn set_floors(&mut self, zone: &ZoneId, now: Moment) {
        let holder = self.holder.filter(|holder| holder.may_use_floors(now));
        self.spending = holder.is_some();
        self.permitting = holder.is_some_and(|holder| holder.may_use_permits(now));
        let lists = &self.version.lists;
        let wanted =
            holder.and_then(|holder| FloorFraction::of(&lists.zones, zone, holder.ordinal()));
        let part = match holder {
            Some(_) => self.floor.update(lists.layout, wanted, now),
            None => {
                self.floor.clear();
                None
            }
        };
        self.book.set_floors(&self.version.lists, part.as_ref(), self.permitting, now);
    }

    /// Takes floors away or gives them back when the right to spend them has changed.
    fn refresh(&mut self, zone: &ZoneId, now: Moment) {
        let may_spend = self.holder.is_some_and(|holder| holder.may_use_floors(now));
        let may_permit = self.holder.is_some_and(|holder| holder.may_use_permits(now));
        let changed = may_spend != self.spending || may_permit != self.permitting;
        if changed || self.floor.is_growth_due(now) {
            self.set_floors(zone, now);
        }
    }
}

use {
    crate::{
        ids::{HostId, Moment, OrganisationId},
        process::{
            AllowanceKey, AllowanceKind, AllowanceLoan, AllowanceShare, LoanDemand, LoanGrant,
            LoanId, LoanRef, LoanRequest, LoanResponse, LoanReturn,
        },
        request::RefusalCause,
        version::{FleetLists, FloorFraction, PlanLimits},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The reason why a request was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceRefusal {
    /// The allowance that is exhausted.
    pub cause: RefusalCause,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// All allowances of one host, with their floors, loans and usage.
///
/// A floor is the part of a plan that a host may spend without asking others. Hosts lend unused
/// parts of their floors to each other for short terms.
#[derive(Clone, Debug)]
pub struct AllowanceLedger {
    shares: BTreeMap<AllowanceKey, AllowanceShare>,
    next_loan_id: u64,
    max_request_time: Duration,
    last_heartbeat: Option<Moment>,
    resumed_at: Option<Moment>,
}

impl AllowanceLedger {
    /// Term of a loan, by the clock of the lender.
    pub const LOAN_TERM: Duration = Duration::from_millis(2_000);
    /// Time by which a loan expires earlier at the borrower than at the lender; covers clock drift.
    pub const LOAN_MARGIN: Duration = Duration::from_millis(50);
    /// Fraction of a plan's rate that is distributed; covers clocks that run fast by up to 500 ppm.
    const CLOCK_DRIFT_FACTOR: f64 = 0.999_5;
    /// Time without a heartbeat after which the process counts as paused.
    pub const PAUSE_LIMIT: Duration = Duration::from_millis(400);
    /// Time after a pause during which nothing is lent.
    const RESUME_DELAY: Duration = Duration::from_millis(300);
    /// Remaining term at which a loan that is still needed is renewed.
    const RENEWAL_THRESHOLD: Duration = Duration::from_millis(1_200);
    /// Retry time that is reported when the wait is unknown, because it depends on when requests
    /// release permits or other hosts lend or return a part of the allowance.
    const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);

    /// Creates an empty ledger.
    ///
    /// `first_loan_id` is a random number that keeps loan identifiers of this process distinct from
    /// those of earlier ones. `max_request_time` bounds the time for which a request may hold a
    /// borrowed permit.
    #[must_use]
    pub const fn new(first_loan_id: u64, max_request_time: Duration) -> Self {
        Self {
            shares: BTreeMap::new(),
            next_loan_id: first_loan_id,
            max_request_time,
            last_heartbeat: None,
            resumed_at: None,
        }
    }

    /// Records that the process is running.
    ///
    /// This must be called several times per [`AllowanceLedger::PAUSE_LIMIT`]. After a pause the
    /// demand is unknown and the senders of queued requests may have timed out, so nothing is lent
    /// until the demand has been measured again.
    pub fn record_heartbeat(&mut self, now: Moment) {
        if self.last_heartbeat.is_some_and(|last| now.since(last) > Self::PAUSE_LIMIT) {
            self.resumed_at = Some(now);
        }
        self.last_heartbeat = Some(now);
    }

    /// Sets all floors to a fraction of the plans; `None` sets them to zero.
    ///
    /// Floors of permits are zero unless `permits` is set.
    pub fn set_floors(
        &mut self,
        lists: &FleetLists,
        fraction: Option<&FloorFraction>,
        permits: bool,
        now: Moment,
    ) {
        for (organisation, entry) in &lists.organisations {
            if let Some(plan) = lists.plans.get(&entry.plan) {
                self.set_floor(organisation, &plan.limits, fraction, permits, now);
            }
        }
        for (key, share) in &mut self.shares {
            if !lists.organisations.contains_key(&key.organisation) {
                share.set_floor(0.0, 0.0, now);
            }
        }
    }

    /// Admits a request that may generate up to `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns the first allowance that does not cover the request; nothing is spent in that case.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        tokens: u32,
        now: Moment,
    ) -> Result<(), AllowanceRefusal> {
        if !self.share(organisation, AllowanceKind::Concurrency, now).acquire_permit(now) {
            let cause = RefusalCause::Concurrency;
            return Err(AllowanceRefusal { cause, retry_after: Self::DEFAULT_RETRY_AFTER });
        }
        if let Err(wait) = self.share(organisation, AllowanceKind::Requests, now).spend(1.0, now) {
            self.share(organisation, AllowanceKind::Concurrency, now).release_permit();
            return Err(refusal(RefusalCause::RequestRate, wait));
        }
        let amount = f64::from(tokens);
        if let Err(wait) = self.share(organisation, AllowanceKind::Tokens, now).spend(amount, now) {
            self.share(organisation, AllowanceKind::Requests, now).refund(1.0, now);
            self.share(organisation, AllowanceKind::Concurrency, now).release_permit();
            return Err(refusal(RefusalCause::TokenRate, wait));
        }
        Ok(())
    }

    /// Ends an admitted request and refunds the `unused` tokens that were not generated.
    pub fn release(&mut self, organisation: &OrganisationId, unused: u32, now: Moment) {
        self.share(organisation, AllowanceKind::Concurrency, now).release_permit();
        let amount = f64::from(unused);
        self.share(organisation, AllowanceKind::Tokens, now).refund(amount, now);
    }

    /// Returns the share of one allowance, if the ledger has it.
    #[must_use]
    pub fn share_of(&self, key: &AllowanceKey) -> Option<&AllowanceShare> {
        self.shares.get(key)
    }

    /// Returns the unmet demands, for which peers are asked in turn.
    pub fn loan_demands(&mut self, now: Moment) -> Vec<LoanDemand> {
        let mut demands = Vec::new();
        for (key, share) in &mut self.shares {
            share.expire_loans(now);
            let amount = match key.kind {
                AllowanceKind::Concurrency => f64::from(share.missing_permits(now)),
                _ => share.missing_rate(now),
            };
            if amount > 0.0 {
                demands.push(LoanDemand { key: key.clone(), amount });
            }
        }
        demands
    }

    /// Builds the request to one peer: demands, renewals, returns and recalls.
    ///
    /// Loans that are returned end here before the request is sent.
    pub fn build_request(
        &mut self,
        peer: &HostId,
        demands: &[LoanDemand],
        now: Moment,
    ) -> LoanRequest {
        let mut request = LoanRequest { wants: demands.to_vec(), ..LoanRequest::default() };
        for (key, share) in &mut self.shares {
            share.expire_loans(now);
            for loan in share.surplus_loans(now).into_iter().filter(|loan| &loan.peer == peer) {
                if let Some(accrued) = share.end_borrowed(loan.id, peer, now) {
                    let loan = LoanRef { key: key.clone(), id: loan.id };
                    request.returns.push(LoanReturn { loan, accrued });
                }
            }
            let is_due = |loan: &&AllowanceLoan| {
                &loan.peer == peer && loan.expires_at.since(now) < Self::RENEWAL_THRESHOLD
            };
            let renewals = share.borrowed().iter().filter(is_due);
            request.renewals.extend(renewals.map(|l| LoanRef { key: key.clone(), id: l.id }));
            if share.needs_recall(now) {
                let lent = share.lent().iter().filter(|loan| &loan.peer == peer);
                request.recalls.extend(lent.map(|l| LoanRef { key: key.clone(), id: l.id }));
            }
        }
        request
    }

    /// Handles a peer's request; granted loans are deducted here before the response is sent.
    pub fn handle_request(
        &mut self,
        peer: &HostId,
        request: &LoanRequest,
        now: Moment,
    ) -> LoanResponse {
        let mut response = LoanResponse::default();
        for returned in &request.returns {
            self.end_lent(peer, returned, now);
        }
        for loan in &request.recalls {
            let share = self.share(&loan.key.organisation, loan.key.kind, now);
            if let Some(accrued) = share.end_borrowed(loan.id, peer, now) {
                response.returned.push(LoanReturn { loan: loan.clone(), accrued });
            }
        }
        for loan in &request.renewals {
            let expires_at = now + self.term(loan.key.kind);
            let share = self.share(&loan.key.organisation, loan.key.kind, now);
            if share.extend_lent(loan.id, peer, expires_at, now) {
                response.renewed.push(loan.clone());
            }
        }
        if self.may_lend(now) {
            for demand in &request.wants {
                response.grants.extend(self.lend(peer, demand, now));
            }
        }
        response
    }

    fn may_lend(&self, now: Moment) -> bool {
        let is_running =
            self.last_heartbeat.is_none_or(|last| now.since(last) <= Self::PAUSE_LIMIT);
        is_running
            && self.resumed_at.is_none_or(|resumed_at| now.since(resumed_at) >= Self::RESUME_DELAY)
    }

    /// Applies a peer's response to a request that was sent at `sent_at`.
    ///
    /// Terms start at `sent_at`, so that a loan expires here before it expires at the lender.
    pub fn apply_response(
        &mut self,
        peer: &HostId,
        response: &LoanResponse,
        sent_at: Moment,
        now: Moment,
    ) {
        let expires_at = sent_at + (Self::LOAN_TERM - Self::LOAN_MARGIN);
        for returned in &response.returned {
            self.end_lent(peer, returned, now);
        }
        for loan in &response.renewed {
            let share = self.share(&loan.key.organisation, loan.key.kind, now);
            share.extend_borrowed(loan.id, peer, expires_at, now);
        }
        for grant in &response.grants {
            let key = &grant.loan.key;
            let loan = AllowanceLoan {
                id: grant.loan.id,
                peer: peer.clone(),
                rate: grant.rate,
                size: grant.size,
                expires_at,
            };
            self.share(&key.organisation, key.kind, now).borrow(loan, grant.accrued, now);
        }
    }

    /// Returns the latest expiry of the loans granted, if there are any.
    #[must_use]
    pub fn last_lent_expiry(&self) -> Option<Moment> {
        self.shares.values().flat_map(AllowanceShare::lent).map(|loan| loan.expires_at).max()
    }

    /// Returns the hosts to which this host has granted loans or from which it has borrowed.
    #[must_use]
    pub fn loan_peers(&self) -> std::collections::BTreeSet<HostId> {
        let shares = self.shares.values();
        let loans = shares.flat_map(|share| share.lent().iter().chain(share.borrowed()));
        loans.map(|loan| loan.peer.clone()).collect()
    }

    fn set_floor(
        &mut self,
        organisation: &OrganisationId,
        limits: &PlanLimits,
        fraction: Option<&FloorFraction>,
        permits: bool,
        now: Moment,
    ) {
        let amount = |amount: f64| fraction.map_or(0.0, |fraction| fraction.of_amount(amount));
        let permit_fraction = fraction.filter(|_| permits);
        let permits = permit_fraction.map_or(0, |fraction| fraction.of_permits(limits.concurrent));
        let drift_adjusted = |rate: f64| amount(rate) * Self::CLOCK_DRIFT_FACTOR;
        let (request_rate, request_size) =
            (drift_adjusted(limits.request_rate), amount(limits.request_burst));
        let (token_rate, token_size) =
            (drift_adjusted(limits.token_rate), amount(limits.token_burst));
        let requests = self.share(organisation, AllowanceKind::Requests, now);
        requests.set_floor(request_rate, request_size, now);
        let tokens = self.share(organisation, AllowanceKind::Tokens, now);
        tokens.set_floor(token_rate, token_size, now);
        let concurrency = self.share(organisation, AllowanceKind::Concurrency, now);
        concurrency.set_floor(0.0, f64::from(permits), now);
    }

    fn share(
        &mut self,
        organisation: &OrganisationId,
        kind: AllowanceKind,
        now: Moment,
    ) -> &mut AllowanceShare {
        let key = AllowanceKey { organisation: organisation.clone(), kind };
        self.shares.entry(key).or_insert_with(|| AllowanceShare::new(now))
    }

    fn end_lent(&mut self, peer: &HostId, returned: &LoanReturn, now: Moment) {
        let loan = &returned.loan;
        let share = self.share(&loan.key.organisation, loan.key.kind, now);
        share.end_lent(loan.id, peer, returned.accrued, now);
    }

    /// Returns the time after which the lender may use what it lent again.
    fn term(&self, kind: AllowanceKind) -> Duration {
        match kind {
            AllowanceKind::Concurrency => Self::LOAN_TERM + self.max_request_time,
            _ => Self::LOAN_TERM,
        }
    }

    fn lend(&mut self, peer: &HostId, demand: &LoanDemand, now: Moment) -> Option<LoanGrant> {
        let expires_at = now + self.term(demand.key.kind);
        let id = LoanId(self.next_loan_id);
        let share = self.shares.get_mut(&demand.key)?;
        share.expire_loans(now);
        let (rate, size) = match demand.key.kind {
            AllowanceKind::Concurrency => {
                (0.0, demand.amount.floor().min(f64::from(share.spare_permits(now))))
            }
            _ => {
                let rate = demand.amount.min(share.spare_rate(now));
                let (floor_rate, floor_size) = share.floor();
                (rate, floor_size * rate / floor_rate.max(f64::MIN_POSITIVE))
            }
        };
        if size.is_nan() || size <= 0.0 {
            return None;
        }
        let accrued =
            share.lend(AllowanceLoan { id, peer: peer.clone(), rate, size, expires_at }, now);
        self.next_loan_id = self.next_loan_id.wrapping_add(1);
        Some(LoanGrant { loan: LoanRef { key: demand.key.clone(), id }, rate, size, accrued })
    }
}

fn refusal(cause: RefusalCause, wait: Option<Duration>) -> AllowanceRefusal {
    AllowanceRefusal { cause, retry_after: wait.unwrap_or(AllowanceLedger::DEFAULT_RETRY_AFTER) }
}

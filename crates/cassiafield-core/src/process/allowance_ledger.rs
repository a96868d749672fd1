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

/// Why an allowance does not cover a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AllowanceRefusal {
    /// The allowance that is used up.
    pub cause: RefusalCause,
    /// When to come back.
    pub retry_after: Duration,
}

/// All allowances of one host: floors, loans and what is in use.
#[derive(Clone, Debug)]
pub struct AllowanceLedger {
    shares: BTreeMap<AllowanceKey, AllowanceShare>,
    next_loan: u64,
    permit_grace: Duration,
    last_beat: Option<Moment>,
    woke: Option<Moment>,
}

impl AllowanceLedger {
    /// Term of a loan, by the lender's clock.
    pub const LOAN_TERM: Duration = Duration::from_millis(2_000);
    /// Part of the term by which the borrower ends earlier; covers clock drift.
    pub const LOAN_MARGIN: Duration = Duration::from_millis(50);
    /// Part of a plan's rate that is given out; covers clocks that run fast by up to 500 ppm.
    const CLOCK_GUARD: f64 = 0.999_5;
    /// Time without a beat after which the process counts as frozen.
    pub const PAUSE_LIMIT: Duration = Duration::from_millis(400);
    /// Time after a freeze for which nothing is lent.
    const WAKING_TIME: Duration = Duration::from_millis(300);
    /// Remaining time at which a loan that is needed is renewed.
    const RENEWAL_LEAD: Duration = Duration::from_millis(1_200);
    /// Retry time when only another host's hand-back can help.
    const UNKNOWN_WAIT: Duration = Duration::from_millis(1_000);

    /// Creates a book.
    ///
    /// `first_loan` is a random number that sets the loans of this process apart from those of
    /// earlier ones; `longest_request` bounds how long a request may hold a borrowed permit.
    #[must_use]
    pub const fn new(first_loan: u64, longest_request: Duration) -> Self {
        Self {
            shares: BTreeMap::new(),
            next_loan: first_loan,
            permit_grace: longest_request,
            last_beat: None,
            woke: None,
        }
    }

    /// Notes that the process runs; to be called several times in [`AllowanceLedger::PAUSE_LIMIT`].
    ///
    /// A host that was frozen knows neither its demand nor whether the messages that piled up
    /// are still waited for, so it lends nothing until it has measured anew.
    pub fn record_heartbeat(&mut self, now: Moment) {
        if self.last_beat.is_some_and(|last| now.since(last) > Self::PAUSE_LIMIT) {
            self.woke = Some(now);
        }
        self.last_beat = Some(now);
    }

    /// Sets all floors from the lists; `None` takes every floor away.
    ///
    /// Permits are given only if `permits` says so.
    pub fn set_floors(
        &mut self,
        lists: &FleetLists,
        part: Option<&FloorFraction>,
        permits: bool,
        now: Moment,
    ) {
        for (organisation, entry) in &lists.organisations {
            if let Some(plan) = lists.plans.get(&entry.plan) {
                self.set_floor(organisation, &plan.limits, part, permits, now);
            }
        }
        for (key, share) in &mut self.shares {
            if !lists.organisations.contains_key(&key.organisation) {
                share.set_floor(0.0, 0.0, now);
            }
        }
    }

    /// Admits a request that may generate `tokens`, or says what is used up.
    ///
    /// # Errors
    ///
    /// Returns the first allowance that does not cover the request; nothing is spent then.
    pub fn admit(
        &mut self,
        organisation: &OrganisationId,
        tokens: u32,
        now: Moment,
    ) -> Result<(), AllowanceRefusal> {
        if !self.share(organisation, AllowanceKind::Concurrency, now).acquire_permit(now) {
            let cause = RefusalCause::Concurrency;
            return Err(AllowanceRefusal { cause, retry_after: Self::UNKNOWN_WAIT });
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

    /// Ends a request; `unused` tokens of those admitted were not generated.
    pub fn release(&mut self, organisation: &OrganisationId, unused: u32, now: Moment) {
        self.share(organisation, AllowanceKind::Concurrency, now).release_permit();
        let amount = f64::from(unused);
        self.share(organisation, AllowanceKind::Tokens, now).refund(amount, now);
    }

    /// Returns one share, if the host has it.
    #[must_use]
    pub fn share_of(&self, key: &AllowanceKey) -> Option<&AllowanceShare> {
        self.shares.get(key)
    }

    /// Returns what is missing here, to be asked of peers in turn.
    pub fn loan_demands(&mut self, now: Moment) -> Vec<LoanDemand> {
        let mut wants = Vec::new();
        for (key, share) in &mut self.shares {
            share.expire_loans(now);
            let amount = match key.kind {
                AllowanceKind::Concurrency => f64::from(share.missing_permits(now)),
                _ => share.missing_rate(now),
            };
            if amount > 0.0 {
                wants.push(LoanDemand { key: key.clone(), amount });
            }
        }
        wants
    }

    /// Builds the message to one peer: wants, renewals, returns and recalls.
    ///
    /// Loans that are returned end here before the message leaves.
    pub fn build_request(
        &mut self,
        peer: &HostId,
        wants: &[LoanDemand],
        now: Moment,
    ) -> LoanRequest {
        let mut ask = LoanRequest { wants: wants.to_vec(), ..LoanRequest::default() };
        for (key, share) in &mut self.shares {
            share.expire_loans(now);
            for loan in share.surplus(now).into_iter().filter(|loan| &loan.peer == peer) {
                if let Some(accrued) = share.end_borrowed(loan.id, peer, now) {
                    let loan = LoanRef { key: key.clone(), id: loan.id };
                    ask.returns.push(LoanReturn { loan, accrued });
                }
            }
            let due = |loan: &&AllowanceLoan| {
                &loan.peer == peer && loan.expires_at.since(now) < Self::RENEWAL_LEAD
            };
            let renewals = share.borrowed().iter().filter(due);
            ask.renewals.extend(renewals.map(|l| LoanRef { key: key.clone(), id: l.id }));
            if share.wants_recall(now) {
                let lent = share.lent().iter().filter(|loan| &loan.peer == peer);
                ask.recalls.extend(lent.map(|l| LoanRef { key: key.clone(), id: l.id }));
            }
        }
        ask
    }

    /// Answers a peer's message; what is lent leaves this host before the answer does.
    pub fn handle_request(
        &mut self,
        peer: &HostId,
        ask: &LoanRequest,
        now: Moment,
    ) -> LoanResponse {
        let mut answer = LoanResponse::default();
        for ended in &ask.returns {
            self.end_lent(peer, ended, now);
        }
        for loan in &ask.recalls {
            let share = self.share(&loan.key.organisation, loan.key.kind, now);
            if let Some(accrued) = share.end_borrowed(loan.id, peer, now) {
                answer.returned.push(LoanReturn { loan: loan.clone(), accrued });
            }
        }
        for loan in &ask.renewals {
            let ends = now + self.term(loan.key.kind);
            let share = self.share(&loan.key.organisation, loan.key.kind, now);
            if share.extend_lent(loan.id, peer, ends, now) {
                answer.renewed.push(loan.clone());
            }
        }
        if self.is_awake(now) {
            for want in &ask.wants {
                answer.grants.extend(self.lend(peer, want, now));
            }
        }
        answer
    }

    fn is_awake(&self, now: Moment) -> bool {
        let beats = self.last_beat.is_none_or(|last| now.since(last) <= Self::PAUSE_LIMIT);
        beats && self.woke.is_none_or(|woke| now.since(woke) >= Self::WAKING_TIME)
    }

    /// Takes a peer's answer to a message that was sent at `sent`.
    pub fn apply_response(
        &mut self,
        peer: &HostId,
        answer: &LoanResponse,
        sent: Moment,
        now: Moment,
    ) {
        let ends = sent + (Self::LOAN_TERM - Self::LOAN_MARGIN);
        for ended in &answer.returned {
            self.end_lent(peer, ended, now);
        }
        for loan in &answer.renewed {
            let share = self.share(&loan.key.organisation, loan.key.kind, now);
            share.extend_borrowed(loan.id, peer, ends, now);
        }
        for grant in &answer.grants {
            let key = &grant.loan.key;
            let loan = AllowanceLoan {
                id: grant.loan.id,
                peer: peer.clone(),
                rate: grant.rate,
                size: grant.size,
                expires_at: ends,
            };
            self.share(&key.organisation, key.kind, now).borrow(loan, grant.accrued, now);
        }
    }

    /// Returns the moment at which the last loan given ends, if there is one.
    #[must_use]
    pub fn last_lent_expiry(&self) -> Option<Moment> {
        self.shares.values().flat_map(AllowanceShare::lent).map(|loan| loan.expires_at).max()
    }

    /// Returns the hosts that hold a loan of this one or have given it one.
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
        part: Option<&FloorFraction>,
        permits: bool,
        now: Moment,
    ) {
        let amount = |amount: f64| part.map_or(0.0, |part| part.of_amount(amount));
        let part_of_permits = part.filter(|_| permits);
        let permits = part_of_permits.map_or(0, |part| part.of_permits(limits.concurrent));
        let guarded = |rate: f64| amount(rate) * Self::CLOCK_GUARD;
        let (request_rate, request_size) =
            (guarded(limits.request_rate), amount(limits.request_burst));
        let (token_rate, token_size) = (guarded(limits.token_rate), amount(limits.token_burst));
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

    fn end_lent(&mut self, peer: &HostId, ended: &LoanReturn, now: Moment) {
        let loan = &ended.loan;
        let share = self.share(&loan.key.organisation, loan.key.kind, now);
        share.end_lent(loan.id, peer, ended.accrued, now);
    }

    /// Returns how long the lender counts a loan of this kind as out.
    fn term(&self, kind: AllowanceKind) -> Duration {
        match kind {
            AllowanceKind::Concurrency => Self::LOAN_TERM + self.permit_grace,
            _ => Self::LOAN_TERM,
        }
    }

    fn lend(&mut self, peer: &HostId, want: &LoanDemand, now: Moment) -> Option<LoanGrant> {
        let ends = now + self.term(want.key.kind);
        let id = LoanId(self.next_loan);
        let share = self.shares.get_mut(&want.key)?;
        share.expire_loans(now);
        let (rate, size) = match want.key.kind {
            AllowanceKind::Concurrency => {
                (0.0, want.amount.floor().min(f64::from(share.spare_permits(now))))
            }
            _ => {
                let rate = want.amount.min(share.spare_rate(now));
                let (floor_rate, floor_size) = share.floor();
                (rate, floor_size * rate / floor_rate.max(f64::MIN_POSITIVE))
            }
        };
        if size.is_nan() || size <= 0.0 {
            return None;
        }
        let accrued =
            share.lend(AllowanceLoan { id, peer: peer.clone(), rate, size, expires_at: ends }, now);
        self.next_loan = self.next_loan.wrapping_add(1);
        Some(LoanGrant { loan: LoanRef { key: want.key.clone(), id }, rate, size, accrued })
    }
}

fn refusal(cause: RefusalCause, wait: Option<Duration>) -> AllowanceRefusal {
    AllowanceRefusal { cause, retry_after: wait.unwrap_or(AllowanceLedger::UNKNOWN_WAIT) }
}

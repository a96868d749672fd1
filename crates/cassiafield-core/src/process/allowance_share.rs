use {
    crate::{
        ids::{HostId, Moment, OrganisationId},
        process::{demand_meter::DemandMeter, RateBucket},
    },
    std::{fmt, time::Duration},
};

/// The resource that an allowance limits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum AllowanceKind {
    /// Requests per second.
    Requests,
    /// Generated tokens per second.
    Tokens,
    /// Concurrent requests.
    Concurrency,
}

/// Identifies one allowance of one organisation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AllowanceKey {
    /// The organisation.
    pub organisation: OrganisationId,
    /// The limited resource.
    pub kind: AllowanceKind,
}

/// Identifies a loan; unique per lender, also across restarts of the lender.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanId(pub u64);

impl fmt::Display for LoanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A part of an allowance that one host lends to another for a limited time.
///
/// For rate allowances, `rate` is in units per second and `size` is the bucket size in units. For
/// concurrency, `rate` is zero and `size` is a number of permits.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceLoan {
    /// Identifier of the loan.
    pub id: LoanId,
    /// The other party: the borrower of a granted loan, the lender of a borrowed one.
    pub peer: HostId,
    /// Refill rate.
    pub rate: f64,
    /// Bucket size, or number of permits.
    pub size: f64,
    /// When the loan expires, by the clock of this host.
    pub expires_at: Moment,
}

/// One host's share of one allowance: its floor, minus the loans granted, plus the loans borrowed.
#[derive(Clone, Debug)]
pub struct AllowanceShare {
    floor_rate: f64,
    floor_size: f64,
    lent: Vec<AllowanceLoan>,
    borrowed: Vec<AllowanceLoan>,
    bucket: RateBucket,
    running: u32,
    demand: DemandMeter,
}

impl AllowanceShare {
    /// Fraction of its floor that a lender never lends.
    const RESERVED_FLOOR_FRACTION: f64 = 0.02;
    /// Multiple of its measured demand that a host keeps for itself.
    const KEPT_DEMAND_FACTOR: f64 = 1.2;
    /// Multiple of its measured demand that a host tries to obtain.
    ///
    /// The demand includes refused requests, so that little headroom is needed; more would be
    /// borrowed and stay unused.
    const TARGET_DEMAND_FACTOR: f64 = 1.02;
    /// Smallest loan, as a fraction of the lender's floor.
    const MIN_LOAN_FRACTION: f64 = 0.05;

    /// Creates a share without a floor or loans.
    #[must_use]
    pub const fn new(now: Moment) -> Self {
        Self {
            floor_rate: 0.0,
            floor_size: 0.0,
            lent: Vec::new(),
            borrowed: Vec::new(),
            bucket: RateBucket::empty(0.0, 0.0, now),
            running: 0,
            demand: DemandMeter::new(now),
        }
    }

    /// Sets the rate and size of the floor.
    pub fn set_floor(&mut self, rate: f64, size: f64, now: Moment) {
        self.expire_loans(now);
        self.floor_rate = rate;
        self.floor_size = size;
        self.resize_bucket(now);
    }

    /// Returns the rate and size of the floor.
    #[must_use]
    pub const fn floor(&self) -> (f64, f64) {
        (self.floor_rate, self.floor_size)
    }

    /// Returns the current refill rate, loans included.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.bucket.rate()
    }

    /// Returns the current bucket size, or number of permits, loans included.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.bucket.size()
    }

    /// Returns the number of permits in use.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the loans borrowed from other hosts.
    #[must_use]
    pub fn borrowed(&self) -> &[AllowanceLoan] {
        &self.borrowed
    }

    /// Returns the loans granted to other hosts.
    #[must_use]
    pub fn lent(&self) -> &[AllowanceLoan] {
        &self.lent
    }

    /// Ends every expired loan, in order of expiry, each as of its own expiry time.
    pub fn expire_loans(&mut self, now: Moment) {
        loop {
            let expiries = self.lent.iter().chain(&self.borrowed).map(|loan| loan.expires_at);
            let Some(next) = expiries.min().filter(|&expiry| expiry <= now) else { break };
            self.lent.retain(|loan| loan.expires_at > next);
            self.borrowed.retain(|loan| loan.expires_at > next);
            self.resize_bucket(next);
        }
        self.demand.advance(now);
    }

    /// Spends `amount` units from the bucket and counts them as demand.
    ///
    /// # Errors
    ///
    /// Returns the time until the amount will be available, or `None` if the bucket cannot provide
    /// it.
    pub fn spend(&mut self, amount: f64, now: Moment) -> Result<(), Option<Duration>> {
        self.expire_loans(now);
        self.demand.add(amount, now);
        let spent = self.bucket.spend(amount, now);
        if spent.is_err() {
            self.demand.record_refusal(now);
        }
        spent
    }

    /// Returns unused units to the bucket.
    pub fn refund(&mut self, amount: f64, now: Moment) {
        self.expire_loans(now);
        self.bucket.refund(amount, now);
    }

    /// Acquires a permit; returns `true` if one was free.
    pub fn acquire_permit(&mut self, now: Moment) -> bool {
        self.expire_loans(now);
        let free = f64::from(self.running) + 1.0 <= self.size();
        if free {
            self.running += 1;
        } else {
            self.demand.record_refusal(now);
        }
        free
    }

    /// Releases a permit.
    pub fn release_permit(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the rate that this host lacks to meet its demand.
    #[must_use]
    pub fn missing_rate(&self, now: Moment) -> f64 {
        if !self.demand.is_unmet(now) {
            return 0.0;
        }
        (self.demand.rate() * Self::TARGET_DEMAND_FACTOR - self.rate()).max(0.0)
    }

    /// Returns the number of permits that this host requests from peers; zero unless all of its own are
    /// in use and it has recently refused a request.
    ///
    /// The demand for permits is not measured, so half of the permits in use and one more are
    /// requested at a time.
    #[must_use]
    pub fn missing_permits(&self, now: Moment) -> u32 {
        let full = f64::from(self.running) + 1.0 > self.size();
        if full && self.demand.is_unmet(now) {
            1 + self.running / 2
        } else {
            0
        }
    }

    /// Returns `true` if this host has granted loans and needs them back.
    #[must_use]
    pub fn needs_recall(&self, now: Moment) -> bool {
        !self.lent.is_empty() && self.demand.is_unmet(now)
    }

    /// Returns the rate that this host can lend now.
    #[must_use]
    pub fn spare_rate(&self, now: Moment) -> f64 {
        if self.demand.is_unmet(now) {
            return 0.0;
        }
        let lent: f64 = self.lent.iter().map(|loan| loan.rate).sum();
        let kept = (self.demand.rate() * Self::KEPT_DEMAND_FACTOR)
            .max(self.floor_rate * Self::RESERVED_FLOOR_FRACTION);
        let spare = self.floor_rate - lent - kept;
        if spare < self.floor_rate * Self::MIN_LOAN_FRACTION {
            0.0
        } else {
            spare
        }
    }

    /// Returns the number of permits that this host can lend now; it keeps a free one while any is in
    /// use.
    #[must_use]
    pub fn spare_permits(&self, now: Moment) -> u32 {
        if self.demand.is_unmet(now) {
            return 0;
        }
        let lent: f64 = self.lent.iter().map(|loan| loan.size).sum();
        let spare = (self.floor_size - lent - f64::from(self.running)).max(0.0);
        (spare as u32).saturating_sub(u32::from(self.running > 0))
    }

    /// Records a loan granted to a peer; this host stops using its rate and size at once.
    ///
    /// Returns the accrued units that are transferred with it: the loan's proportion of the bucket
    /// level.
    pub fn lend(&mut self, loan: AllowanceLoan, now: Moment) -> f64 {
        self.expire_loans(now);
        let accrued = self.withdraw_proportion(loan.size, now);
        self.lent.push(loan);
        self.resize_bucket(now);
        accrued
    }

    /// Records a loan borrowed from a peer, and adds the accrued units that came with it.
    pub fn borrow(&mut self, loan: AllowanceLoan, accrued: f64, now: Moment) {
        self.expire_loans(now);
        if loan.expires_at > now {
            let accrued = accrued.clamp(0.0, loan.size);
            self.borrowed.push(loan);
            self.resize_bucket(now);
            self.bucket.refund(accrued, now);
        }
    }

    /// Extends a loan granted to a peer; returns `true` if it was extended.
    ///
    /// A loan that has ended, or that this host needs back, is not extended.
    pub fn extend_lent(
        &mut self,
        id: LoanId,
        peer: &HostId,
        expires_at: Moment,
        now: Moment,
    ) -> bool {
        self.expire_loans(now);
        let needed_here = self.demand.is_unmet(now);
        let found = self.lent.iter_mut().find(|loan| loan.id == id && &loan.peer == peer);
        match found {
            Some(loan) if !needed_here => {
                loan.expires_at = loan.expires_at.max(expires_at);
                true
            }
            _ => false,
        }
    }

    /// Extends a loan borrowed from a peer.
    pub fn extend_borrowed(&mut self, id: LoanId, peer: &HostId, expires_at: Moment, now: Moment) {
        self.expire_loans(now);
        for loan in &mut self.borrowed {
            if loan.id == id && &loan.peer == peer {
                loan.expires_at = loan.expires_at.max(expires_at);
            }
        }
    }

    /// Ends a loan that its borrower has returned, and adds the accrued units that came back.
    pub fn end_lent(&mut self, id: LoanId, peer: &HostId, accrued: f64, now: Moment) {
        self.expire_loans(now);
        let found = self.lent.iter().position(|loan| loan.id == id && &loan.peer == peer);
        let Some(index) = found else { return };
        let loan = self.lent.remove(index);
        self.resize_bucket(now);
        self.bucket.refund(accrued.clamp(0.0, loan.size), now);
    }

    /// Ends a loan borrowed from a peer; returns the accrued units to transfer back.
    ///
    /// Returns `None` if there is no such loan, or if running requests occupy its permits.
    pub fn end_borrowed(&mut self, id: LoanId, peer: &HostId, now: Moment) -> Option<f64> {
        self.expire_loans(now);
        let found = self.borrowed.iter().position(|loan| loan.id == id && &loan.peer == peer);
        let index = found?;
        let size = self.borrowed[index].size;
        if f64::from(self.running) > self.size() - size {
            return None;
        }
        let accrued = self.withdraw_proportion(size, now);
        self.borrowed.remove(index);
        self.resize_bucket(now);
        Some(accrued)
    }

    /// Returns the loans borrowed that are no longer needed to meet the demand.
    #[must_use]
    pub fn surplus_loans(&self, now: Moment) -> Vec<AllowanceLoan> {
        if self.demand.is_unmet(now) {
            return Vec::new();
        }
        let used = f64::from(self.running) * Self::KEPT_DEMAND_FACTOR;
        let needed = self.demand.rate() * Self::TARGET_DEMAND_FACTOR;
        let (mut rate, mut size) = (self.rate(), self.size());
        let mut surplus = Vec::new();
        for loan in self.borrowed.iter().rev() {
            let idle_rate = loan.rate > 0.0 && rate - loan.rate >= needed;
            let idle_permits = loan.rate == 0.0 && size - loan.size >= used;
            if idle_rate || idle_permits {
                rate -= loan.rate;
                size -= loan.size;
                surplus.push(loan.clone());
            }
        }
        surplus
    }

    /// Withdraws the proportion of the bucket level that corresponds to `size`.
    fn withdraw_proportion(&mut self, size: f64, now: Moment) -> f64 {
        let total_size = self.size().max(f64::MIN_POSITIVE);
        let amount = self.bucket.level(now) * (size / total_size).min(1.0);
        self.bucket.withdraw(amount, now)
    }

    /// Recomputes the rate and size of the bucket from the floor and the loans.
    fn resize_bucket(&mut self, now: Moment) {
        let sum = |loans: &[AllowanceLoan], field: fn(&AllowanceLoan) -> f64| -> f64 {
            loans.iter().map(field).sum()
        };
        let own_rate = (self.floor_rate - sum(&self.lent, |loan| loan.rate)).max(0.0);
        let own_size = (self.floor_size - sum(&self.lent, |loan| loan.size)).max(0.0);
        let rate = own_rate + sum(&self.borrowed, |loan| loan.rate);
        let size = own_size + sum(&self.borrowed, |loan| loan.size);
        self.bucket.resize(rate, size, now);
    }
}

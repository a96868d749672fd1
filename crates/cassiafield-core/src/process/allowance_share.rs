use {
    crate::{
        ids::{HostId, Moment, OrganisationId},
        process::{demand_meter::DemandMeter, RateBucket},
    },
    std::{fmt, time::Duration},
};

/// What an allowance counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum AllowanceKind {
    /// Requests a second.
    Requests,
    /// Generated tokens a second.
    Tokens,
    /// Requests that run at the same time.
    Concurrency,
}

/// One allowance of one organisation.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AllowanceKey {
    /// The organisation.
    pub organisation: OrganisationId,
    /// What is counted.
    pub kind: AllowanceKind,
}

/// Identifies a loan; unique for its lender, across restarts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanId(pub u64);

impl fmt::Display for LoanId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A part of an allowance that one host holds for another for a time.
///
/// For rates, `rate` is in units a second and `size` in units; for concurrency `rate` is zero and
/// `size` counts permits.
#[derive(Clone, Debug, PartialEq)]
pub struct AllowanceLoan {
    /// The loan.
    pub id: LoanId,
    /// The other host: the borrower of what is lent, the lender of what is borrowed.
    pub peer: HostId,
    /// Refill rate.
    pub rate: f64,
    /// Bucket size or permits.
    pub size: f64,
    /// When this side counts the loan as ended.
    pub expires_at: Moment,
}

/// One host's part of one allowance: its floor, less what it lends, plus what it borrows.
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
    /// Part of its floor that a lender always keeps.
    const KEPT_PART: f64 = 0.02;
    /// Headroom over the measured demand that a host keeps for itself, as a factor.
    const HEADROOM: f64 = 1.2;
    /// Headroom over the measured demand that a host asks for, as a factor.
    ///
    /// Demand counts refused requests too, so it needs little; more would idle here.
    const WANTED_HEADROOM: f64 = 1.02;
    /// Smallest loan, as a part of the lender's floor.
    const SMALLEST_PART: f64 = 0.05;

    /// Creates a share with nothing in it.
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

    /// Sets the floor.
    pub fn set_floor(&mut self, rate: f64, size: f64, now: Moment) {
        self.expire_loans(now);
        self.floor_rate = rate;
        self.floor_size = size;
        self.refit(now);
    }

    /// Returns the floor's rate and size.
    #[must_use]
    pub const fn floor(&self) -> (f64, f64) {
        (self.floor_rate, self.floor_size)
    }

    /// Returns the rate that this host may spend now.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.bucket.rate()
    }

    /// Returns the bucket size, or the permits, that this host has now.
    #[must_use]
    pub fn size(&self) -> f64 {
        self.bucket.size()
    }

    /// Returns the number of permits in use.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Returns the loans taken.
    #[must_use]
    pub fn borrowed(&self) -> &[AllowanceLoan] {
        &self.borrowed
    }

    /// Returns the loans given.
    #[must_use]
    pub fn lent(&self) -> &[AllowanceLoan] {
        &self.lent
    }

    /// Ends every loan whose time has come, each at its own moment.
    pub fn expire_loans(&mut self, now: Moment) {
        loop {
            let ends = self.lent.iter().chain(&self.borrowed).map(|loan| loan.expires_at);
            let Some(next) = ends.min().filter(|&ends| ends <= now) else { break };
            self.lent.retain(|loan| loan.expires_at > next);
            self.borrowed.retain(|loan| loan.expires_at > next);
            self.refit(next);
        }
        self.demand.advance(now);
    }

    /// Spends from the bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the amount will be there, if that can be told.
    pub fn spend(&mut self, amount: f64, now: Moment) -> Result<(), Option<Duration>> {
        self.expire_loans(now);
        self.demand.add(amount, now);
        let spent = self.bucket.spend(amount, now);
        if spent.is_err() {
            self.demand.refuse(now);
        }
        spent
    }

    /// Gives back to the bucket what was not used.
    pub fn refund(&mut self, amount: f64, now: Moment) {
        self.expire_loans(now);
        self.bucket.refund(amount, now);
    }

    /// Takes a permit, if one is free.
    pub fn acquire_permit(&mut self, now: Moment) -> bool {
        self.expire_loans(now);
        let free = f64::from(self.running) + 1.0 <= self.size();
        if free {
            self.running += 1;
        } else {
            self.demand.refuse(now);
        }
        free
    }

    /// Gives a permit back.
    pub fn release_permit(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the rate that is missing here.
    #[must_use]
    pub fn missing_rate(&self, now: Moment) -> f64 {
        if !self.demand.is_unmet(now) {
            return 0.0;
        }
        (self.demand.rate() * Self::WANTED_HEADROOM - self.rate()).max(0.0)
    }

    /// Returns the permits that are missing here.
    #[must_use]
    pub fn missing_permits(&self, now: Moment) -> u32 {
        let full = f64::from(self.running) + 1.0 > self.size();
        if full && self.demand.is_unmet(now) {
            1 + self.running / 2
        } else {
            0
        }
    }

    /// Says whether this host wants its lent floor back.
    #[must_use]
    pub fn wants_recall(&self, now: Moment) -> bool {
        !self.lent.is_empty() && self.demand.is_unmet(now)
    }

    /// Returns the rate that this host can lend.
    #[must_use]
    pub fn spare_rate(&self, now: Moment) -> f64 {
        if self.demand.is_unmet(now) {
            return 0.0;
        }
        let lent: f64 = self.lent.iter().map(|loan| loan.rate).sum();
        let kept = (self.demand.rate() * Self::HEADROOM).max(self.floor_rate * Self::KEPT_PART);
        let spare = self.floor_rate - lent - kept;
        if spare < self.floor_rate * Self::SMALLEST_PART {
            0.0
        } else {
            spare
        }
    }

    /// Returns the permits that this host can lend.
    #[must_use]
    pub fn spare_permits(&self, now: Moment) -> u32 {
        if self.demand.is_unmet(now) {
            return 0;
        }
        let lent: f64 = self.lent.iter().map(|loan| loan.size).sum();
        let spare = (self.floor_size - lent - f64::from(self.running)).max(0.0);
        (spare as u32).saturating_sub(u32::from(self.running > 0))
    }

    /// Records a loan given; its part leaves this host at once.
    ///
    /// Returns the accrued units that go with it: the loan's part of what is in the bucket.
    pub fn lend(&mut self, loan: AllowanceLoan, now: Moment) -> f64 {
        self.expire_loans(now);
        let accrued = self.withdraw_part(loan.size, now);
        self.lent.push(loan);
        self.refit(now);
        accrued
    }

    /// Records a loan taken, with the accrued units that came with it.
    pub fn borrow(&mut self, loan: AllowanceLoan, accrued: f64, now: Moment) {
        self.expire_loans(now);
        if loan.expires_at > now {
            let accrued = accrued.clamp(0.0, loan.size);
            self.borrowed.push(loan);
            self.refit(now);
            self.bucket.refund(accrued, now);
        }
    }

    /// Moves the end of a loan given; returns whether it is still open.
    pub fn extend_lent(&mut self, id: LoanId, peer: &HostId, ends: Moment, now: Moment) -> bool {
        self.expire_loans(now);
        let wanted = self.demand.is_unmet(now);
        let found = self.lent.iter_mut().find(|loan| loan.id == id && &loan.peer == peer);
        match found {
            Some(loan) if !wanted => {
                loan.expires_at = loan.expires_at.max(ends);
                true
            }
            _ => false,
        }
    }

    /// Moves the end of a loan taken.
    pub fn extend_borrowed(&mut self, id: LoanId, peer: &HostId, ends: Moment, now: Moment) {
        self.expire_loans(now);
        for loan in &mut self.borrowed {
            if loan.id == id && &loan.peer == peer {
                loan.expires_at = loan.expires_at.max(ends);
            }
        }
    }

    /// Ends a loan given, on its borrower's word, with the accrued units that come back.
    pub fn end_lent(&mut self, id: LoanId, peer: &HostId, accrued: f64, now: Moment) {
        self.expire_loans(now);
        let found = self.lent.iter().position(|loan| loan.id == id && &loan.peer == peer);
        let Some(index) = found else { return };
        let loan = self.lent.remove(index);
        self.refit(now);
        self.bucket.refund(accrued.clamp(0.0, loan.size), now);
    }

    /// Ends a loan taken; returns the accrued units that go back with it.
    ///
    /// Returns `None` if the loan is not open, or if running requests stand on its permits.
    pub fn end_borrowed(&mut self, id: LoanId, peer: &HostId, now: Moment) -> Option<f64> {
        self.expire_loans(now);
        let found = self.borrowed.iter().position(|loan| loan.id == id && &loan.peer == peer);
        let index = found?;
        let size = self.borrowed[index].size;
        if f64::from(self.running) > self.size() - size {
            return None;
        }
        let accrued = self.withdraw_part(size, now);
        self.borrowed.remove(index);
        self.refit(now);
        Some(accrued)
    }

    /// Returns the loans taken that demand no longer needs.
    #[must_use]
    pub fn surplus(&self, now: Moment) -> Vec<AllowanceLoan> {
        if self.demand.is_unmet(now) {
            return Vec::new();
        }
        let used = f64::from(self.running) * Self::HEADROOM;
        let needed = self.demand.rate() * Self::WANTED_HEADROOM;
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

    /// Takes out of the bucket what belongs to `size` of its size.
    fn withdraw_part(&mut self, size: f64, now: Moment) -> f64 {
        let whole = self.size().max(f64::MIN_POSITIVE);
        let amount = self.bucket.level(now) * (size / whole).min(1.0);
        self.bucket.withdraw(amount, now)
    }

    /// Fits the bucket to the floor and the loans.
    fn refit(&mut self, now: Moment) {
        let sum = |loans: &[AllowanceLoan], part: fn(&AllowanceLoan) -> f64| -> f64 {
            loans.iter().map(part).sum()
        };
        let own_rate = (self.floor_rate - sum(&self.lent, |loan| loan.rate)).max(0.0);
        let own_size = (self.floor_size - sum(&self.lent, |loan| loan.size)).max(0.0);
        let rate = own_rate + sum(&self.borrowed, |loan| loan.rate);
        let size = own_size + sum(&self.borrowed, |loan| loan.size);
        self.bucket.resize(rate, size, now);
    }
}

use crate::process::{AllowanceKey, LoanId};

/// Asks a peer for a part of an allowance.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanDemand {
    /// The allowance.
    pub key: AllowanceKey,
    /// Wanted rate in units a second, or wanted permits.
    pub amount: f64,
}

/// Names one loan of one allowance.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanRef {
    /// The allowance.
    pub key: AllowanceKey,
    /// The loan.
    pub id: LoanId,
}

/// Word that a loan has ended, with the accrued units that go back to its lender.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanReturn {
    /// The loan.
    pub loan: LoanRef,
    /// Accrued units.
    pub accrued: f64,
}

/// What one host asks of another: loans, renewals, and word of loans that have ended.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanRequest {
    /// New loans wanted.
    pub wants: Vec<LoanDemand>,
    /// Loans to renew.
    pub renewals: Vec<LoanRef>,
    /// Loans that the sender has given up.
    pub returns: Vec<LoanReturn>,
    /// Loans that the sender wants back.
    pub recalls: Vec<LoanRef>,
}

impl LoanRequest {
    /// Says whether there is nothing to ask.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.wants.is_empty()
            && self.renewals.is_empty()
            && self.returns.is_empty()
            && self.recalls.is_empty()
    }
}

/// A loan as its lender grants it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanGrant {
    /// The allowance and the loan.
    pub loan: LoanRef,
    /// Refill rate.
    pub rate: f64,
    /// Bucket size or permits.
    pub size: f64,
    /// Accrued units that come with the loan.
    pub accrued: f64,
}

/// The answer to a [`LoanRequest`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanResponse {
    /// New loans.
    pub grants: Vec<LoanGrant>,
    /// Loans whose term starts anew.
    pub renewed: Vec<LoanRef>,
    /// Loans that the answerer had taken and has given up.
    pub returned: Vec<LoanReturn>,
}

use crate::process::{AllowanceKey, LoanId};

/// A demand for a loan of one allowance.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanDemand {
    /// The allowance.
    pub key: AllowanceKey,
    /// Rate in units per second, or number of permits.
    pub amount: f64,
}

/// Identifies one loan of one allowance.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanRef {
    /// The allowance.
    pub key: AllowanceKey,
    /// Identifier of the loan.
    pub id: LoanId,
}

/// The return of a loan by its borrower, with the accrued units that go back to the lender.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanReturn {
    /// The loan.
    pub loan: LoanRef,
    /// Accrued units that are transferred back.
    pub accrued: f64,
}

/// A request of one host to another: new loans, renewals, returns and recalls.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanRequest {
    /// Demands for new loans.
    pub wants: Vec<LoanDemand>,
    /// Loans borrowed by the sender that it asks to renew.
    pub renewals: Vec<LoanRef>,
    /// Loans borrowed by the sender that it returns.
    pub returns: Vec<LoanReturn>,
    /// Loans granted by the sender that it recalls.
    pub recalls: Vec<LoanRef>,
}

impl LoanRequest {
    /// Returns `true` if the request contains nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.wants.is_empty()
            && self.renewals.is_empty()
            && self.returns.is_empty()
            && self.recalls.is_empty()
    }
}

/// A loan granted by its lender.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanGrant {
    /// The allowance and the loan.
    pub loan: LoanRef,
    /// Refill rate.
    pub rate: f64,
    /// Bucket size, or number of permits.
    pub size: f64,
    /// Accrued units that are transferred with the loan.
    pub accrued: f64,
}

/// The response to a [`LoanRequest`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoanResponse {
    /// New loans granted by the responder.
    pub grants: Vec<LoanGrant>,
    /// Loans that were renewed for a full term.
    pub renewed: Vec<LoanRef>,
    /// Recalled loans that the responder returns.
    pub returned: Vec<LoanReturn>,
}

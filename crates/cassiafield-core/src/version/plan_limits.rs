use {
    crate::ids::{ModelId, ServiceId},
    std::{collections::BTreeSet, fmt},
};

/// Unchecked limits of a plan, as an operator writes them.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDraft {
    /// Requests a second.
    pub request_rate: f64,
    /// Requests that may come at once after a pause.
    pub request_burst: f64,
    /// Generated tokens a second.
    pub token_rate: f64,
    /// Generated tokens that may be asked for at once after a pause.
    pub token_burst: f64,
    /// Requests that may run at the same time.
    pub concurrent: u32,
    /// Most tokens that one request may ask for.
    pub max_tokens: u32,
    /// Weight of each organisation of the plan when endpoints are contended.
    pub weight: u32,
    /// Models that the plan may use.
    #[serde(default)]
    pub models: BTreeSet<ModelId>,
    /// Services that the plan may use.
    #[serde(default)]
    pub services: BTreeSet<ServiceId>,
}

/// Checked limits of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "PlanDraft", into = "PlanDraft")]
pub struct PlanLimits(PlanDraft);

/// Names the field of a plan that is out of range.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitError {
    /// The field.
    pub field: &'static str,
    /// What the field must be.
    pub expected: &'static str,
    /// What the field is.
    pub found: f64,
}

impl std::ops::Deref for PlanLimits {
    type Target = PlanDraft;

    fn deref(&self) -> &PlanDraft {
        &self.0
    }
}

impl TryFrom<PlanDraft> for PlanLimits {
    type Error = LimitError;

    fn try_from(draft: PlanDraft) -> Result<Self, LimitError> {
        check_range("request_rate", draft.request_rate, 0.001, 1e6)?;
        check_range("request_burst", draft.request_burst, 1.0, 1e7)?;
        check_range("token_rate", draft.token_rate, 0.001, 1e9)?;
        check_range("token_burst", draft.token_burst, 1.0, 1e10)?;
        check_range("concurrent", f64::from(draft.concurrent), 1.0, 1e6)?;
        check_range("max_tokens", f64::from(draft.max_tokens), 1.0, 1e6)?;
        check_range("weight", f64::from(draft.weight), 1.0, 1e4)?;
        if draft.token_burst < f64::from(draft.max_tokens) {
            return Err(LimitError {
                field: "token_burst",
                expected: "at least max_tokens, or the largest request could never run",
                found: draft.token_burst,
            });
        }
        Ok(Self(draft))
    }
}

impl From<PlanLimits> for PlanDraft {
    fn from(limits: PlanLimits) -> Self {
        limits.0
    }
}

impl fmt::Display for LimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: expected {}, found {}", self.field, self.expected, self.found)
    }
}

impl std::error::Error for LimitError {}

fn check_range(field: &'static str, found: f64, low: f64, high: f64) -> Result<(), LimitError> {
    if found.is_finite() && (low..=high).contains(&found) {
        return Ok(());
    }
    let expected = if low < 1.0 { "a positive number in range" } else { "1 or more, in range" };
    Err(LimitError { field, expected, found })
}

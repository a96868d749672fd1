use {
    crate::ids::{ModelId, ServiceId},
    std::{collections::BTreeSet, fmt},
};

/// Limits of a plan as an operator writes them, before validation.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanDraft {
    /// Requests per second.
    pub request_rate: f64,
    /// Size of the request bucket: requests accepted at once after an idle period.
    pub request_burst: f64,
    /// Generated tokens per second.
    pub token_rate: f64,
    /// Size of the token bucket: generated tokens granted at once after an idle period.
    pub token_burst: f64,
    /// Maximum number of concurrent requests.
    pub concurrent: u32,
    /// Maximum number of generated tokens that one request may ask for.
    pub max_tokens: u32,
    /// Weight of each organisation of the plan in fair queueing for endpoints.
    pub weight: u32,
    /// Models that the plan may use.
    #[serde(default)]
    pub models: BTreeSet<ModelId>,
    /// Services that the plan may use.
    #[serde(default)]
    pub services: BTreeSet<ServiceId>,
}

/// Validated limits of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "PlanDraft", into = "PlanDraft")]
pub struct PlanLimits(PlanDraft);

/// Error for a field of a plan that is out of range.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitError {
    /// Name of the field.
    pub field: &'static str,
    /// Description of the accepted values.
    pub expected: &'static str,
    /// Value of the field.
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

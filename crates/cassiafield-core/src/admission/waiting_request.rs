use {
    crate::{
        admission::RequestPriority,
        ids::{OrganisationId, ServiceId},
    },
    std::fmt,
};

/// Names a waiting request among those of its host.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct AdmissionTicket(u64);

impl AdmissionTicket {
    /// The ticket before the first one.
    pub const ZERO: Self = Self(0);

    /// Returns the next ticket of the same host.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0.wrapping_add(1))
    }
}

impl From<u64> for AdmissionTicket {
    fn from(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for AdmissionTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A request that waits for room, as its host reports it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct WaitingRequest {
    /// Its ticket.
    pub ticket: AdmissionTicket,
    /// The service that it needs room of.
    pub service: ServiceId,
    /// The organisation that it counts for, if any.
    pub organisation: Option<OrganisationId>,
    /// Its rank.
    pub priority: RequestPriority,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// How much longer it can wait, in milliseconds.
    pub wait_left_ms: u32,
}

impl WaitingRequest {
    /// Returns the memory that the request needs, in tokens; half of the output on average.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        self.prompt_tokens.saturating_add(self.output_tokens / 2)
    }
}

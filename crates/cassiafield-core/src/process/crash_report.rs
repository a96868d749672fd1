use crate::{ids::CrashSubject, process::EndpointLife};

/// What a host knows of the requests under which endpoints ended, for peers.
///
/// Times are ages, since the clocks of hosts differ.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CrashReport {
    /// What these requests have in common.
    pub subjects: Vec<SubjectReport>,
}

/// The evidence on one part of prompts, or on one request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubjectReport {
    /// What the requests have in common.
    pub subject: CrashSubject,
    /// The ends of endpoints at which such requests had just been sent.
    pub ends: Vec<SubjectEndReport>,
    /// Time since such a request last got an answer under way, in milliseconds.
    pub survived_ms: Option<u32>,
    /// Time since the evidence before was set aside, in milliseconds.
    pub cleared_ms: Option<u32>,
    /// What a request must have as well to be blocked.
    pub companions: Vec<CrashSubject>,
    /// Time since they were blocked, in milliseconds.
    pub blocked_ms: Option<u32>,
    /// Time since such a request last came while they were blocked, in milliseconds.
    pub requested_ms: Option<u32>,
}

/// The end of an endpoint, as evidence.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SubjectEndReport {
    /// The run of the endpoint that ended.
    pub life: EndpointLife,
    /// Time since its end, in milliseconds.
    pub age_ms: u32,
    /// Tells requests apart: by the last part of their prompts, or attempts of one request by their ids.
    pub own: u64,
    /// Position of the part in the prompt.
    pub position: u8,
}

impl CrashReport {
    /// Returns `true` if there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.subjects.is_empty()
    }
}

use crate::{process::EndpointIncarnation, request::RequestRate};

/// The latest statement of an endpoint about its limit, as hosts report it; it has an age since their
/// clocks differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LimitReport {
    /// The run of the endpoint that made it.
    pub incarnation: EndpointIncarnation,
    /// The latest rate.
    pub rate: RequestRate,
    /// Whether an answer without a limit followed.
    pub is_over: bool,
    /// Time since the statement, in milliseconds.
    pub age_ms: u32,
}

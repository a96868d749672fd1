use crate::{process::EndpointIncarnation, request::RequestRate};

/// The last word of an endpoint on its limit, as hosts report it; it has an age since their clocks
/// differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LimitReport {
    /// The run of the endpoint whose word it is.
    pub incarnation: EndpointIncarnation,
    /// The rate that it named last.
    pub rate: RequestRate,
    /// Whether it has answered without a limit since.
    pub is_over: bool,
    /// Time since that word, in milliseconds.
    pub age_ms: u32,
}

use std::{fmt, str::FromStr};

/// Kind of a generated request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A streamed completion.
    Stream,
    /// A service call with an effect, sent with an idempotency key.
    Filing,
    /// A service call without an effect.
    Lookup,
}

impl FromStr for CallKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "stream" => Ok(CallKind::Stream),
            "filing" => Ok(CallKind::Filing),
            "lookup" => Ok(CallKind::Lookup),
            other => Err(format!("expected stream, filing or lookup, found {other:?}")),
        }
    }
}

impl fmt::Display for CallKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallKind::Stream => "stream",
            CallKind::Filing => "filing",
            CallKind::Lookup => "lookup",
        })
    }
}

/// One request of a load history.
///
/// Times are in microseconds since the start of the load.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallRecord {
    /// Unique name, used as the prompt of a stream, the idempotency key of a filing or the path of
    /// a lookup.
    pub name: String,
    /// Kind of the request.
    pub kind: CallKind,
    /// Time at which the request was due to be sent.
    pub scheduled: u64,
    /// Time at which the request ended.
    pub ended: u64,
    /// HTTP status; 0 if there was no response.
    pub status: u16,
    /// Verdict reported to the caller; empty if none was.
    pub verdict: String,
    /// Whether the answer was complete and, for a stream, its text was correct.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether the text of a stream was wrong.
    pub wrong: bool,
    /// Arrival time of each token.
    pub tokens: Vec<u64>,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
}

impl CallRecord {
    /// Returns the longest time between two consecutive tokens, in microseconds.
    #[must_use]
    pub fn longest_gap(&self) -> u64 {
        self.tokens.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0)
    }
}

use std::{fmt, str::FromStr};

/// What a request asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A streamed completion.
    Stream,
    /// A filing under an idempotency key.
    Filing,
    /// A lookup.
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

/// One request of a history; times are in microseconds since the load began.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallRecord {
    /// Unique name; the prompt of a stream, the key of a filing.
    pub name: String,
    /// What it asked for.
    pub kind: CallKind,
    /// When it should have been sent.
    pub scheduled: u64,
    /// When it ended.
    pub ended: u64,
    /// HTTP status; 0 if the connection broke.
    pub status: u16,
    /// Verdict that the caller was told.
    pub verdict: String,
    /// Whether a whole and right answer came.
    #[serde(rename = "whole")]
    pub complete: bool,
    /// Whether a wrong answer came.
    pub wrong: bool,
    /// When each token came.
    pub tokens: Vec<u64>,
    /// Time to come back that was told, in seconds.
    pub retry_after: Option<u64>,
}

impl CallRecord {
    /// Returns the longest time between two tokens, in microseconds.
    #[must_use]
    pub fn longest_gap(&self) -> u64 {
        self.tokens.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0)
    }
}

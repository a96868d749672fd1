use std::{fmt, str::FromStr};

/// Whether a request was executed by an endpoint.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestVerdict {
    /// No byte of the request can have reached an endpoint.
    NotRun,
    /// The request may have run; its outcome is unknown.
    MayHaveRun,
    /// The request ran and its outcome is known.
    Ran,
}

impl fmt::Display for RequestVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RequestVerdict::NotRun => "not-run",
            RequestVerdict::MayHaveRun => "may-have-run",
            RequestVerdict::Ran => "ran",
        })
    }
}

impl FromStr for RequestVerdict {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "not-run" => Ok(RequestVerdict::NotRun),
            "may-have-run" => Ok(RequestVerdict::MayHaveRun),
            "ran" => Ok(RequestVerdict::Ran),
            other => Err(format!("unknown verdict {other:?}")),
        }
    }
}

use {
    crate::{
        ids::{PromptPart, PromptPartError},
        request::RequestFingerprint,
    },
    compact_str::{format_compact, CompactString},
    std::{fmt, str::FromStr},
};

/// What requests under which endpoints end may have in common.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub enum CrashSubject {
    /// A part of their prompts, whatever else they hold.
    Part(PromptPart),
    /// All of them are the same request.
    Request(RequestFingerprint),
}

impl CrashSubject {
    const REQUEST_PREFIX: &'static str = "request-";

    /// Returns `true` for a request, `false` for a part of prompts.
    #[must_use]
    pub const fn is_request(&self) -> bool {
        matches!(self, CrashSubject::Request(_))
    }
}

impl FromStr for CrashSubject {
    type Err = PromptPartError;

    fn from_str(text: &str) -> Result<Self, PromptPartError> {
        match text.strip_prefix(Self::REQUEST_PREFIX) {
            Some(rest) => rest.parse().map(CrashSubject::Request).map_err(|_| PromptPartError),
            None => text.parse().map(CrashSubject::Part),
        }
    }
}

impl fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashSubject::Part(part) => part.fmt(f),
            CrashSubject::Request(fingerprint) => {
                write!(f, "{}{fingerprint}", Self::REQUEST_PREFIX)
            }
        }
    }
}

impl TryFrom<CompactString> for CrashSubject {
    type Error = PromptPartError;

    fn try_from(text: CompactString) -> Result<Self, PromptPartError> {
        text.parse()
    }
}

impl From<CrashSubject> for CompactString {
    fn from(subject: CrashSubject) -> Self {
        format_compact!("{subject}")
    }
}

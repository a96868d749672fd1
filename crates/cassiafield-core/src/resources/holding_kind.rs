use std::fmt;

/// What memory is held for.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HoldingKind {
    /// The body of a request, until the request is answered.
    RequestBody,
    /// An answer of an endpoint, until its caller has taken it.
    Answer,
}

impl HoldingKind {
    /// All kinds, for metrics.
    pub const ALL: [HoldingKind; 2] = [HoldingKind::RequestBody, HoldingKind::Answer];

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            HoldingKind::RequestBody => "request-body",
            HoldingKind::Answer => "answer",
        }
    }
}

impl fmt::Display for HoldingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

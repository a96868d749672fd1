use std::fmt;

/// Why a stream was ended although its caller still waited for it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum GiveUpReason {
    /// The deadline of the caller or of the route has passed.
    DeadlineExceeded,
    /// Requests of this kind may not be sent again.
    NotResumable,
    /// The request was sent as often as a request may be.
    SendLimit,
    /// The retry budget granted no retry in time.
    RetryBudget,
    /// Layers of the model have no usable endpoint.
    NoEndpoint,
    /// The endpoints that could take the stream are full or too slow.
    Overloaded,
    /// The endpoints that the stream was resumed at failed it.
    EndpointFailed,
    /// Endpoints have ended under requests with a part of this one's prompt.
    PromptBlocked,
    /// This host has lost its way to endpoints, and the one that handed the stream over goes on elsewhere.
    OutOfReach,
}

impl GiveUpReason {
    /// All reasons, for metrics and documentation.
    pub const ALL: [GiveUpReason; 9] = [
        GiveUpReason::DeadlineExceeded,
        GiveUpReason::NotResumable,
        GiveUpReason::SendLimit,
        GiveUpReason::RetryBudget,
        GiveUpReason::NoEndpoint,
        GiveUpReason::Overloaded,
        GiveUpReason::EndpointFailed,
        GiveUpReason::PromptBlocked,
        GiveUpReason::OutOfReach,
    ];

    /// Returns `true` if the stream will not be sent again however long its caller waits.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(
            self,
            GiveUpReason::DeadlineExceeded
                | GiveUpReason::NotResumable
                | GiveUpReason::SendLimit
                | GiveUpReason::PromptBlocked
                | GiveUpReason::OutOfReach
        )
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            GiveUpReason::DeadlineExceeded => "deadline",
            GiveUpReason::NotResumable => "not-resumable",
            GiveUpReason::SendLimit => "send-limit",
            GiveUpReason::RetryBudget => "retry-budget",
            GiveUpReason::NoEndpoint => "no-endpoint",
            GiveUpReason::Overloaded => "overloaded",
            GiveUpReason::EndpointFailed => "endpoint-failed",
            GiveUpReason::PromptBlocked => "prompt-blocked",
            GiveUpReason::OutOfReach => "out-of-reach",
        }
    }
}

impl fmt::Display for GiveUpReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

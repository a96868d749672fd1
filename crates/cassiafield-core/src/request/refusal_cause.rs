use std::fmt;

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalCause {
    /// The request is malformed.
    BadRequest,
    /// The caller's API key is missing or unknown.
    Unauthorised,
    /// The plan does not include the model or service.
    NotInPlan,
    /// The path, model or service does not exist.
    NotFound,
    /// The path does not support this method.
    MethodNotAllowed,
    /// The body is larger than the limit.
    TooLarge,
    /// The idempotency key was used before, and the outcome of that call is unknown.
    KeyInDoubt,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The plan's request rate limit is exceeded.
    RequestRate,
    /// The plan's token rate limit is exceeded.
    TokenRate,
    /// The plan's limit on concurrent requests is reached.
    Concurrency,
    /// No endpoint can take the request before its deadline.
    Overloaded,
    /// No endpoint is available.
    NoEndpoint,
    /// No endpoint could be reached from this host, nor another host that reaches one.
    Unreachable,
    /// Endpoints have ended under requests with a part of this one's prompt.
    PromptBlocked,
    /// Endpoints have ended under this request each time it came.
    RequestBlocked,
    /// The endpoint failed after the request was sent.
    EndpointFailed,
    /// The call needs the platform store, which is unreachable.
    StoreUnavailable,
    /// The host has no memory left for the request, or needs it for others while the request arrives slowly.
    NoRoom,
    /// The host is stopping or has not loaded its lists yet.
    NotReady,
}

impl RefusalCause {
    /// All causes, for metrics and documentation.
    pub const ALL: [RefusalCause; 20] = [
        RefusalCause::BadRequest,
        RefusalCause::Unauthorised,
        RefusalCause::NotInPlan,
        RefusalCause::NotFound,
        RefusalCause::MethodNotAllowed,
        RefusalCause::TooLarge,
        RefusalCause::KeyInDoubt,
        RefusalCause::KeyReused,
        RefusalCause::RequestRate,
        RefusalCause::TokenRate,
        RefusalCause::Concurrency,
        RefusalCause::Overloaded,
        RefusalCause::NoEndpoint,
        RefusalCause::Unreachable,
        RefusalCause::PromptBlocked,
        RefusalCause::RequestBlocked,
        RefusalCause::EndpointFailed,
        RefusalCause::StoreUnavailable,
        RefusalCause::NoRoom,
        RefusalCause::NotReady,
    ];

    /// Returns the HTTP status code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            RefusalCause::BadRequest => 400,
            RefusalCause::Unauthorised => 401,
            RefusalCause::NotInPlan => 403,
            RefusalCause::NotFound => 404,
            RefusalCause::MethodNotAllowed => 405,
            RefusalCause::KeyInDoubt => 409,
            RefusalCause::TooLarge => 413,
            RefusalCause::KeyReused => 422,
            RefusalCause::RequestRate | RefusalCause::TokenRate | RefusalCause::Concurrency => 429,
            RefusalCause::EndpointFailed => 502,
            RefusalCause::Overloaded
            | RefusalCause::NoEndpoint
            | RefusalCause::Unreachable
            | RefusalCause::PromptBlocked
            | RefusalCause::RequestBlocked
            | RefusalCause::StoreUnavailable
            | RefusalCause::NoRoom
            | RefusalCause::NotReady => 503,
        }
    }

    /// Returns the name used in problem documents and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            RefusalCause::BadRequest => "bad-request",
            RefusalCause::Unauthorised => "unauthorised",
            RefusalCause::NotInPlan => "not-in-plan",
            RefusalCause::NotFound => "not-found",
            RefusalCause::MethodNotAllowed => "method-not-allowed",
            RefusalCause::TooLarge => "too-large",
            RefusalCause::KeyInDoubt => "key-in-doubt",
            RefusalCause::KeyReused => "key-reused",
            RefusalCause::RequestRate => "request-rate",
            RefusalCause::TokenRate => "token-rate",
            RefusalCause::Concurrency => "concurrency",
            RefusalCause::Overloaded => "overloaded",
            RefusalCause::NoEndpoint => "no-endpoint",
            RefusalCause::Unreachable => "unreachable",
            RefusalCause::PromptBlocked => "prompt-blocked",
            RefusalCause::RequestBlocked => "request-blocked",
            RefusalCause::EndpointFailed => "endpoint-failed",
            RefusalCause::StoreUnavailable => "store-unavailable",
            RefusalCause::NoRoom => "no-room",
            RefusalCause::NotReady => "not-ready",
        }
    }
}

impl fmt::Display for RefusalCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

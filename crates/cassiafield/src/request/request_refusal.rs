use {
    cassiafield_core::request::{RefusalCause, RequestVerdict},
    serde_json::{json, Value},
    std::time::Duration,
};

/// A refusal that is returned to the caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRefusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Whether the request may have run.
    pub verdict: RequestVerdict,
    /// Explanation for the caller.
    pub detail: String,
    /// Delay after which the caller may retry; `None` if none is suggested.
    pub retry_after: Option<Duration>,
}

impl RequestRefusal {
    const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Creates a refusal of a request that did not run.
    pub fn not_run(cause: RefusalCause, detail: impl Into<String>) -> Self {
        let retryable = matches!(cause.status(), 409 | 429 | 502 | 503);
        let retry_after = retryable.then_some(Self::DEFAULT_RETRY_AFTER);
        Self { cause, verdict: RequestVerdict::NotRun, detail: detail.into(), retry_after }
    }

    /// Sets the verdict.
    #[must_use]
    pub const fn with_verdict(mut self, verdict: RequestVerdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Returns the retry delay, rounded up to whole seconds and at least 1.
    #[must_use]
    pub fn retry_after_seconds(&self) -> Option<u64> {
        let after = self.retry_after?;
        Some((after.as_secs() + u64::from(after.subsec_nanos() > 0)).max(1))
    }

    /// Returns the problem document, with the `error` member that OpenAI-compatible clients read.
    #[must_use]
    pub fn problem_document(&self) -> Value {
        let status = self.cause.status();
        let mut document = json!({
            "type": format!("urn:cassiafield:refusal:{}", self.cause),
            "title": self.cause.name(),
            "status": status,
            "detail": self.detail,
            "cause": self.cause.name(),
            "verdict": self.verdict.to_string(),
            "error": {
                "message": self.detail,
                "type": if status < 500 { "invalid_request_error" } else { "server_error" },
                "code": self.cause.name(),
            },
        });
        if let Some(seconds) = self.retry_after_seconds() {
            document["retry_after"] = seconds.into();
        }
        document
    }
}

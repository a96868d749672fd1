use {
    crate::process::{EventLevel, LogEvent},
    cassiafield_core::{
        ids::EndpointId,
        request::{RefusalCause, RequestVerdict},
    },
    std::{fmt, time::Duration},
};

/// Configuration and endpoints known to a host when it made a decision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostSnapshot {
    /// Version of the configuration in force; 0 if there is none.
    pub configuration: u64,
    /// Time since the configuration was last confirmed to be current.
    pub configuration_age: Option<Duration>,
    /// Number of known endpoints.
    pub endpoints: usize,
    /// Time since the list of endpoints was last confirmed to be current.
    pub endpoints_age: Option<Duration>,
}

/// A log entry about a decision on one request.
///
/// ```
/// use {
///     cassiafield::process::{HostSnapshot, LogEvent, RequestDecision},
///     cassiafield_core::request::{RefusalCause, RequestVerdict},
/// };
///
/// RequestDecision::new(LogEvent::RequestRefused, "8bfe543b", HostSnapshot::default())
///     .cause(RefusalCause::Overloaded)
///     .verdict(RequestVerdict::NotRun)
///     .log("no path has room beyond layer 71");
/// ```
#[derive(Clone, Copy, Debug)]
#[must_use = "a decision is written by `log`"]
pub struct RequestDecision<'a> {
    event: LogEvent,
    request: &'a str,
    snapshot: HostSnapshot,
    cause: Option<RefusalCause>,
    verdict: Option<RequestVerdict>,
    sends: Option<u32>,
    endpoint: Option<&'a EndpointId>,
}

impl<'a> RequestDecision<'a> {
    /// Creates an entry about the request with the caller's id `request`.
    pub const fn new(event: LogEvent, request: &'a str, snapshot: HostSnapshot) -> Self {
        Self { event, request, snapshot, cause: None, verdict: None, sends: None, endpoint: None }
    }

    /// Sets why the request was refused or has failed.
    pub const fn cause(mut self, cause: RefusalCause) -> Self {
        self.cause = Some(cause);
        self
    }

    /// Sets whether the request may have run.
    pub const fn verdict(mut self, verdict: RequestVerdict) -> Self {
        self.verdict = Some(verdict);
        self
    }

    /// Sets the number of times that the request was sent to endpoints so far.
    pub const fn sends(mut self, sends: u32) -> Self {
        self.sends = Some(sends);
        self
    }

    /// Sets the endpoint concerned.
    pub const fn endpoint(mut self, endpoint: &'a EndpointId) -> Self {
        self.endpoint = Some(endpoint);
        self
    }

    /// Logs the decision with a detail, unless the event's rate limit is exceeded.
    pub fn log(self, detail: impl fmt::Display) {
        if !self.event.try_acquire_line() {
            return;
        }
        let age = |age: Option<Duration>| {
            age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
        };
        // `tracing` needs the level at compile time.
        macro_rules! write_at {
            ($level:ident) => {
                tracing::$level!(
                    number = self.event.number(),
                    name = ?self.event,
                    request = self.request,
                    cause = self.cause.map(tracing::field::display),
                    verdict = self.verdict.map(tracing::field::display),
                    sends = self.sends,
                    endpoint = self.endpoint.map(tracing::field::display),
                    %detail,
                    configuration = self.snapshot.configuration,
                    configuration_age_ms = age(self.snapshot.configuration_age),
                    endpoints = self.snapshot.endpoints,
                    endpoints_age_ms = age(self.snapshot.endpoints_age),
                )
            };
        }
        match self.event.level() {
            EventLevel::Info => write_at!(info),
            EventLevel::Warning => write_at!(warn),
            EventLevel::Error => write_at!(error),
        }
    }
}

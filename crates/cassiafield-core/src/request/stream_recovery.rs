use {
    crate::ids::{EndpointId, Moment},
    std::time::Duration,
};

/// Number of consecutive failures without a new token at which a stream is given up.
pub(super) const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// Source of an attempt's failure.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailureSource {
    /// The endpoint failed; later attempts of the stream avoid it.
    Endpoint(EndpointId),
    /// The stream failed at this endpoint although the endpoint responds; the next attempt avoids
    /// it if another route exists.
    Suspect(EndpointId),
    /// No endpoint could be identified as the source.
    Unknown,
}

/// Action after a failed attempt of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoveryStep {
    /// Start the next attempt after this back-off time, from the last delivered position.
    Resume(Duration),
    /// End the stream with an error: no attempt, retry budget or time is left.
    GiveUp,
}

/// Decides whether and when a failed stream resumes, and which endpoints it avoids.
#[derive(Clone, Debug)]
pub struct StreamRecovery {
    deadline: Moment,
    failures: u32,
    failed_endpoints: Vec<EndpointId>,
    suspect: Option<EndpointId>,
}

impl StreamRecovery {
    /// Upper bound of the first back-off time; it doubles with each consecutive failure.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
    /// Upper bound of every back-off time.
    const MAX_BACKOFF: Duration = Duration::from_millis(200);

    /// Creates the recovery state of a stream that must end by `deadline`.
    #[must_use]
    pub const fn new(deadline: Moment) -> Self {
        Self { deadline, failures: 0, failed_endpoints: Vec::new(), suspect: None }
    }

    /// Returns the endpoints that failed during this stream.
    #[must_use]
    pub fn failed_endpoints(&self) -> &[EndpointId] {
        &self.failed_endpoints
    }

    /// Returns the endpoint that the next attempt avoids if another route exists.
    #[must_use]
    pub const fn suspect(&self) -> Option<&EndpointId> {
        self.suspect.as_ref()
    }

    /// Returns the endpoint that failed last, as a slice of at most one element.
    #[must_use]
    pub fn last_failed_endpoint(&self) -> &[EndpointId] {
        self.failed_endpoints.last().map_or(&[], std::slice::from_ref)
    }

    /// Returns the number of failed attempts since the last token.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns `true` if one more failure would leave an attempt.
    #[must_use]
    pub const fn has_attempts_left(&self) -> bool {
        self.failures + 1 < MAX_CONSECUTIVE_FAILURES
    }

    /// Resets the failure count after an attempt that delivered tokens.
    ///
    /// The number of attempts stays bounded, because each such attempt brings the stream closer to
    /// its end.
    pub const fn record_progress(&mut self) {
        self.failures = 0;
    }

    /// Records a failed attempt and returns the next step.
    ///
    /// `permitted` says whether the retry budget allows another attempt. `jitter` is a random
    /// number in `0.0..1.0` that scales the back-off time (full jitter).
    pub fn record_failure(
        &mut self,
        now: Moment,
        source: FailureSource,
        permitted: bool,
        jitter: f64,
    ) -> RecoveryStep {
        self.failures += 1;
        self.suspect = None;
        match source {
            FailureSource::Endpoint(endpoint) => self.failed_endpoints.push(endpoint),
            FailureSource::Suspect(endpoint) => self.suspect = Some(endpoint),
            FailureSource::Unknown => {}
        }
        if !permitted || self.failures >= MAX_CONSECUTIVE_FAILURES {
            return RecoveryStep::GiveUp;
        }
        let ceiling = (Self::INITIAL_BACKOFF * 2u32.pow(self.failures - 1)).min(Self::MAX_BACKOFF);
        let backoff = ceiling.mul_f64(jitter.clamp(0.0, 1.0));
        if now + backoff >= self.deadline {
            return RecoveryStep::GiveUp;
        }
        RecoveryStep::Resume(backoff)
    }
}

use {
    crate::ids::{EndpointId, Moment},
    std::time::Duration,
};

/// Attempts in a row that may fail without a token, the last one included.
pub(super) const MAX_ATTEMPTS: u32 = 4;

/// Who is to blame for a failed attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailureSource {
    /// The endpoint failed; no attempt of this stream goes there again.
    Endpoint(EndpointId),
    /// The endpoint's stream failed though it answers; the next attempt goes elsewhere if it can.
    Suspect(EndpointId),
    /// Nobody can be named.
    Unknown,
}

/// What to do after a stream's attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecoveryStep {
    /// Open the next attempt after this pause, from the last delivered position.
    Resume(Duration),
    /// Answer the caller now: no attempt or no time is left.
    GiveUp,
}

/// Decides whether and when a failed stream is resumed, and which endpoints it avoids.
#[derive(Clone, Debug)]
pub struct StreamRecovery {
    deadline: Moment,
    failures: u32,
    avoided: Vec<EndpointId>,
    suspect: Option<EndpointId>,
}

impl StreamRecovery {
    const BASE_PAUSE: Duration = Duration::from_millis(10);
    const MAX_PAUSE: Duration = Duration::from_millis(200);

    /// Creates the recovery of a stream that must end by `deadline`.
    #[must_use]
    pub const fn new(deadline: Moment) -> Self {
        Self { deadline, failures: 0, avoided: Vec::new(), suspect: None }
    }

    /// Returns the endpoints that failed this stream.
    #[must_use]
    pub fn avoided(&self) -> &[EndpointId] {
        &self.avoided
    }

    /// Returns the endpoint that the next attempt should avoid if it can.
    #[must_use]
    pub const fn suspect(&self) -> Option<&EndpointId> {
        self.suspect.as_ref()
    }

    /// Returns the endpoint that failed last.
    #[must_use]
    pub fn last_avoided(&self) -> &[EndpointId] {
        self.avoided.last().map_or(&[], std::slice::from_ref)
    }

    /// Returns the number of failed attempts since the last token.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that the attempt has brought tokens, so that failures are counted anew.
    ///
    /// Each attempt that progresses brings the stream nearer to its end, so this cannot go on for
    /// ever.
    pub const fn record_progress(&mut self) {
        self.failures = 0;
    }

    /// Records a failed attempt.
    ///
    /// `permitted` is the retry budget's word; `jitter` is a random number in `0.0..1.0` that
    /// spreads the pause over its whole range.
    pub fn record_failure(
        &mut self,
        now: Moment,
        blame: FailureSource,
        permitted: bool,
        jitter: f64,
    ) -> RecoveryStep {
        self.failures += 1;
        self.suspect = None;
        match blame {
            FailureSource::Endpoint(endpoint) => self.avoided.push(endpoint),
            FailureSource::Suspect(endpoint) => self.suspect = Some(endpoint),
            FailureSource::Unknown => {}
        }
        if !permitted || self.failures >= MAX_ATTEMPTS {
            return RecoveryStep::GiveUp;
        }
        let ceiling = (Self::BASE_PAUSE * 2u32.pow(self.failures - 1)).min(Self::MAX_PAUSE);
        let pause = ceiling.mul_f64(jitter.clamp(0.0, 1.0));
        if now + pause >= self.deadline {
            return RecoveryStep::GiveUp;
        }
        RecoveryStep::Resume(pause)
    }
}

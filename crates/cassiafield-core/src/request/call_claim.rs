use {
    crate::request::{RefusalCause, RequestVerdict},
    compact_str::CompactString,
    std::time::Duration,
};

/// Recorded response of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallOutcome {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response.
    pub content_type: CompactString,
    /// Response body, or `None` if it was too large to record.
    pub body: Option<Vec<u8>>,
}

/// State of a claimed call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ClaimState {
    /// An attempt holds the claim and may have sent the call.
    Claimed,
    /// The attempt ended before it sent a byte; another attempt may claim the key.
    Released,
    /// The call ran and returned this response.
    Done(CallOutcome),
}

/// Value stored under an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimRecord {
    /// Attempt that wrote the record; unique for each request that a host receives.
    pub attempt: u128,
    /// Digest of the request, which detects reuse of the key for a different request.
    pub digest: CompactString,
    /// State of the call.
    pub state: ClaimState,
}

/// Next action for the driver of a [`CallClaim`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Compare-and-swap: write `record` if the key's revision is `expected`; `None` means that
    /// the key must be absent.
    Swap {
        /// Expected revision of the key.
        expected: Option<u64>,
        /// Record to write.
        record: ClaimRecord,
    },
    /// Read the key.
    Read,
    /// Wait for this time, because another attempt holds the claim and may end soon.
    Backoff(Duration),
    /// Send the call, at most once, on a new connection.
    Dispatch,
    /// Respond to the caller with the recorded or new outcome.
    Respond(CallOutcome),
    /// Refuse the caller.
    Refuse(RefusalCause, RequestVerdict),
}

/// Result of the last step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The swap was applied and created this revision.
    SwapWon(u64),
    /// The swap was not applied because the revision differed.
    SwapLost,
    /// The read returned the key's revision and record, or `None` if the key is absent.
    ReadDone(Option<(u64, ClaimRecord)>),
    /// The back-off time has passed.
    BackoffElapsed,
    /// The store did not respond; a write may have taken effect, may still do so, or is lost.
    StoreOutcomeUnknown,
    /// No endpoint received a byte of the call.
    NotSent,
    /// At least a part of the call was sent, and no complete response was received.
    ResponseLost,
    /// The endpoint returned this response.
    ResponseReceived(CallOutcome),
}

/// Step whose result the claim expects next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimPhase {
    Claiming,
    Reading,
    BackingOff,
    Dispatching,
    Settling,
    Ended,
}

/// State machine that runs a non-idempotent call at most once under an idempotency key.
///
/// It claims the key, dispatches the call and records the outcome. The claim is written before the
/// first byte is sent to an endpoint. If the outcome of a write is unknown, the key is read back;
/// a retried write carries the same attempt, so it is recognised even if the first write is applied
/// late. A claim dispatches its call at most once.
#[derive(Clone, Debug)]
pub struct CallClaim {
    attempt: u128,
    digest: CompactString,
    phase: ClaimPhase,
    revision: Option<u64>,
    unknown_outcomes: u32,
    lost_races: u32,
    backoffs: u32,
    seen_unclaimed: bool,
    final_step: Option<ClaimStep>,
    unsettled: Option<ClaimRecord>,
}

impl CallClaim {
    /// Limit on store calls without a response, after which the claim is abandoned.
    const MAX_UNKNOWN_OUTCOMES: u32 = 4;
    /// Limit on swaps lost to other attempts, after which the claim is abandoned.
    const MAX_LOST_RACES: u32 = 4;
    /// Limit on waits for another attempt to end; each one is twice as long as the one before.
    const MAX_BACKOFFS: u32 = 4;
    /// First wait for another attempt to end.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

    /// Creates the claim of a request.
    pub fn new(attempt: u128, digest: impl Into<CompactString>) -> Self {
        Self {
            attempt,
            digest: digest.into(),
            phase: ClaimPhase::Claiming,
            revision: None,
            unknown_outcomes: 0,
            lost_races: 0,
            backoffs: 0,
            seen_unclaimed: false,
            final_step: None,
            unsettled: None,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.swap_claim()
    }

    /// Handles the result of the last step and returns the next step.
    ///
    /// An event that does not fit the last step refuses the call as in doubt.
    pub fn advance(&mut self, event: ClaimEvent) -> ClaimStep {
        match (self.phase, event) {
            (ClaimPhase::Claiming, ClaimEvent::SwapWon(revision)) => self.dispatch(revision),
            (ClaimPhase::Claiming, ClaimEvent::SwapLost) => self.read_after_lost_race(),
            (ClaimPhase::Claiming | ClaimPhase::Reading, ClaimEvent::StoreOutcomeUnknown) => {
                self.read_after_unknown_outcome()
            }
            (ClaimPhase::Reading, ClaimEvent::ReadDone(found)) => self.handle_read(found),
            (ClaimPhase::BackingOff, ClaimEvent::BackoffElapsed) => self.read(),
            (ClaimPhase::Dispatching, ClaimEvent::NotSent) => self.settle(
                ClaimState::Released,
                ClaimStep::Refuse(RefusalCause::NoEndpoint, RequestVerdict::NotRun),
            ),
            (ClaimPhase::Dispatching, ClaimEvent::ResponseLost) => self
                .end(ClaimStep::Refuse(RefusalCause::EndpointFailed, RequestVerdict::MayHaveRun)),
            (ClaimPhase::Dispatching, ClaimEvent::ResponseReceived(outcome)) => {
                self.settle(ClaimState::Done(outcome.clone()), ClaimStep::Respond(outcome))
            }
            (ClaimPhase::Settling, ClaimEvent::SwapWon(_)) => self.finish_after_settling(),
            (ClaimPhase::Settling, _) => self.take_final_step(),
            _ => self.end(ClaimStep::Refuse(RefusalCause::KeyInDoubt, RequestVerdict::MayHaveRun)),
        }
    }

    /// Returns the final record if it may not have been stored.
    ///
    /// The host stores it later by means of [`CallClaim::resolve`], so that a retry finds the
    /// outcome.
    #[must_use]
    pub const fn unsettled(&self) -> Option<&ClaimRecord> {
        self.unsettled.as_ref()
    }

    /// Returns the swap that stores `record`, given the current revision and record of the key.
    ///
    /// Returns `None` if the current record is not an open claim of the same attempt.
    #[must_use]
    pub fn resolve(record: &ClaimRecord, found: &(u64, ClaimRecord)) -> Option<ClaimStep> {
        let (revision, current) = found;
        let open = current.attempt == record.attempt && current.state == ClaimState::Claimed;
        open.then(|| ClaimStep::Swap { expected: Some(*revision), record: record.clone() })
    }

    fn record(&self, state: ClaimState) -> ClaimRecord {
        ClaimRecord { attempt: self.attempt, digest: self.digest.clone(), state }
    }

    fn swap_claim(&mut self) -> ClaimStep {
        self.phase = ClaimPhase::Claiming;
        ClaimStep::Swap { expected: self.revision, record: self.record(ClaimState::Claimed) }
    }

    fn dispatch(&mut self, revision: u64) -> ClaimStep {
        self.revision = Some(revision);
        self.phase = ClaimPhase::Dispatching;
        ClaimStep::Dispatch
    }

    fn read_after_lost_race(&mut self) -> ClaimStep {
        self.lost_races += 1;
        if self.lost_races > Self::MAX_LOST_RACES {
            return self.abandon();
        }
        self.read()
    }

    fn read_after_unknown_outcome(&mut self) -> ClaimStep {
        self.unknown_outcomes += 1;
        if self.unknown_outcomes > Self::MAX_UNKNOWN_OUTCOMES {
            return self.abandon();
        }
        self.read()
    }

    fn read(&mut self) -> ClaimStep {
        self.phase = ClaimPhase::Reading;
        ClaimStep::Read
    }

    fn handle_read(&mut self, found: Option<(u64, ClaimRecord)>) -> ClaimStep {
        let Some((revision, record)) = found else {
            self.revision = None;
            self.seen_unclaimed = true;
            return self.swap_claim();
        };
        if record.attempt == self.attempt {
            return self.dispatch(revision);
        }
        if record.digest != self.digest {
            return self.end(ClaimStep::Refuse(RefusalCause::KeyReused, RequestVerdict::NotRun));
        }
        match record.state {
            ClaimState::Done(outcome) => self.end(ClaimStep::Respond(outcome)),
            ClaimState::Claimed => self.back_off(),
            ClaimState::Released => {
                self.seen_unclaimed = true;
                self.revision = Some(revision);
                self.swap_claim()
            }
        }
    }

    /// Waits for another attempt's outcome, or refuses the call when the waits are used up.
    fn back_off(&mut self) -> ClaimStep {
        if self.backoffs >= Self::MAX_BACKOFFS {
            let cause = RefusalCause::KeyInDoubt;
            return self.end(ClaimStep::Refuse(cause, RequestVerdict::MayHaveRun));
        }
        let backoff = Self::INITIAL_BACKOFF * 2u32.pow(self.backoffs);
        self.backoffs += 1;
        self.phase = ClaimPhase::BackingOff;
        ClaimStep::Backoff(backoff)
    }

    fn settle(&mut self, state: ClaimState, final_step: ClaimStep) -> ClaimStep {
        self.phase = ClaimPhase::Settling;
        self.final_step = Some(final_step);
        let record = self.record(state);
        self.unsettled = Some(record.clone());
        ClaimStep::Swap { expected: self.revision, record }
    }

    fn finish_after_settling(&mut self) -> ClaimStep {
        self.unsettled = None;
        self.take_final_step()
    }

    fn take_final_step(&mut self) -> ClaimStep {
        let in_doubt = ClaimStep::Refuse(RefusalCause::KeyInDoubt, RequestVerdict::MayHaveRun);
        let final_step = self.final_step.take().unwrap_or(in_doubt);
        self.end(final_step)
    }

    /// Refuses the call before dispatch.
    ///
    /// A claim write may still be applied later, so the host has to store a release afterwards; see
    /// [`CallClaim::unsettled`]. The verdict is "not run" only if the key was seen without a claim;
    /// otherwise an earlier request with the same key may have run.
    fn abandon(&mut self) -> ClaimStep {
        self.unsettled = Some(self.record(ClaimState::Released));
        let verdict =
            if self.seen_unclaimed { RequestVerdict::NotRun } else { RequestVerdict::MayHaveRun };
        self.end(ClaimStep::Refuse(RefusalCause::StoreUnavailable, verdict))
    }

    fn end(&mut self, step: ClaimStep) -> ClaimStep {
        self.phase = ClaimPhase::Ended;
        step
    }
}

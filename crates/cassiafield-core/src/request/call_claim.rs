use {
    crate::request::{RefusalCause, RequestVerdict},
    compact_str::CompactString,
    std::time::Duration,
};

/// The recorded answer of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CallOutcome {
    /// HTTP status that the endpoint answered.
    pub status: u16,
    /// Content type that the endpoint answered.
    pub content_type: CompactString,
    /// The answer's body, or `None` if it was too large to record.
    pub body: Option<Vec<u8>>,
}

/// How far a claimed call has come.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum ClaimState {
    /// An attempt holds the claim and may have sent the call.
    Claimed,
    /// The attempt ended without sending a byte; the claim may be taken again.
    Released,
    /// The call ran with this outcome.
    Done(CallOutcome),
}

/// The value stored under an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ClaimRecord {
    /// The attempt that wrote the record; unique for each request that reaches a host.
    pub attempt: u128,
    /// Digest of the request; a key is never used for two different requests.
    pub digest: CompactString,
    /// How far the call has come.
    pub state: ClaimState,
}

/// What the driver of a [`CallClaim`] does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep {
    /// Write `record` if the key's revision is `expected`; `None` means that the key is absent.
    Swap {
        /// Revision that the key must have.
        expected: Option<u64>,
        /// The record to write.
        record: ClaimRecord,
    },
    /// Read the key.
    Read,
    /// Wait for this time; another attempt holds the claim and may end soon.
    Backoff(Duration),
    /// Send the call, at most once, on a fresh connection.
    Dispatch,
    /// Answer the caller with the recorded or fresh outcome.
    Respond(CallOutcome),
    /// Refuse the caller.
    Refuse(RefusalCause, RequestVerdict),
}

/// What happened to the last step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The swap took effect at this revision.
    SwapWon(u64),
    /// The swap did not take effect because the revision differed.
    SwapLost,
    /// The read returned the key's revision and record, or nothing.
    ReadDone(Option<(u64, ClaimRecord)>),
    /// The pause is over.
    BackoffElapsed,
    /// The store did not answer; a write may or may not take effect, now or later.
    StoreOutcomeUnknown,
    /// No endpoint received a byte of the call.
    NotSent,
    /// The call was sent in part or whole and no whole answer came.
    ResponseLost,
    /// The endpoint answered.
    ResponseReceived(CallOutcome),
}

/// What the claim is waiting for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClaimPhase {
    Claiming,
    Reading,
    Waiting,
    Dispatching,
    Settling,
    Ended,
}

/// Runs one call that may not be repeated through claim, dispatch and record.
///
/// The claim is written before the first byte goes to an endpoint. A write whose answer is lost
/// is settled by reading the key back; a write that is repeated carries the same attempt, so it
/// is recognised however late the first one lands. Once the call has been dispatched it is never
/// dispatched again by this value.
#[derive(Clone, Debug)]
pub struct CallClaim {
    attempt: u128,
    digest: CompactString,
    phase: ClaimPhase,
    revision: Option<u64>,
    unknowns: u32,
    races: u32,
    pauses: u32,
    seen_free: bool,
    finish: Option<ClaimStep>,
    unsettled: Option<ClaimRecord>,
}

impl CallClaim {
    /// Unanswered store calls after which the claim gives up.
    const MAX_UNKNOWNS: u32 = 4;
    /// Lost races after which the claim gives up.
    const MAX_RACES: u32 = 4;
    /// Pauses for another attempt to end; each one is twice as long as the one before.
    const MAX_PAUSES: u32 = 4;
    const FIRST_PAUSE: Duration = Duration::from_millis(50);

    /// Creates the claim of one request.
    pub fn new(attempt: u128, digest: impl Into<CompactString>) -> Self {
        Self {
            attempt,
            digest: digest.into(),
            phase: ClaimPhase::Claiming,
            revision: None,
            unknowns: 0,
            races: 0,
            pauses: 0,
            seen_free: false,
            finish: None,
            unsettled: None,
        }
    }

    /// Returns the first step.
    pub fn start(&mut self) -> ClaimStep {
        self.swap_claim()
    }

    /// Takes the result of the last step and returns the next one.
    ///
    /// An event that does not belong to the last step ends the claim as in doubt.
    pub fn advance(&mut self, event: ClaimEvent) -> ClaimStep {
        match (self.phase, event) {
            (ClaimPhase::Claiming, ClaimEvent::SwapWon(revision)) => self.dispatch(revision),
            (ClaimPhase::Claiming, ClaimEvent::SwapLost) => self.read_after_race(),
            (ClaimPhase::Claiming | ClaimPhase::Reading, ClaimEvent::StoreOutcomeUnknown) => {
                self.read_after_unknown()
            }
            (ClaimPhase::Reading, ClaimEvent::ReadDone(found)) => self.judge(found),
            (ClaimPhase::Waiting, ClaimEvent::BackoffElapsed) => self.read(),
            (ClaimPhase::Dispatching, ClaimEvent::NotSent) => self.settle(
                ClaimState::Released,
                ClaimStep::Refuse(RefusalCause::NoEndpoint, RequestVerdict::NotRun),
            ),
            (ClaimPhase::Dispatching, ClaimEvent::ResponseLost) => self
                .end(ClaimStep::Refuse(RefusalCause::EndpointFailed, RequestVerdict::MayHaveRun)),
            (ClaimPhase::Dispatching, ClaimEvent::ResponseReceived(outcome)) => {
                self.settle(ClaimState::Done(outcome.clone()), ClaimStep::Respond(outcome))
            }
            (ClaimPhase::Settling, ClaimEvent::SwapWon(_)) => self.finish_settled(),
            (ClaimPhase::Settling, _) => self.finish_unsettled(),
            _ => self.end(ClaimStep::Refuse(RefusalCause::KeyInDoubt, RequestVerdict::MayHaveRun)),
        }
    }

    /// Returns the final record if it may not have reached the store.
    ///
    /// The host writes it later with [`CallClaim::resolve`], so that a retry learns the outcome.
    #[must_use]
    pub const fn unsettled(&self) -> Option<&ClaimRecord> {
        self.unsettled.as_ref()
    }

    /// Returns the swap that settles `record`, given what the key holds now.
    ///
    /// Returns `None` if the key does not hold the claim of the same attempt.
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

    fn read_after_race(&mut self) -> ClaimStep {
        self.races += 1;
        if self.races > Self::MAX_RACES {
            return self.abandon();
        }
        self.read()
    }

    fn read_after_unknown(&mut self) -> ClaimStep {
        self.unknowns += 1;
        if self.unknowns > Self::MAX_UNKNOWNS {
            return self.abandon();
        }
        self.read()
    }

    fn read(&mut self) -> ClaimStep {
        self.phase = ClaimPhase::Reading;
        ClaimStep::Read
    }

    fn judge(&mut self, found: Option<(u64, ClaimRecord)>) -> ClaimStep {
        let Some((revision, record)) = found else {
            self.revision = None;
            self.seen_free = true;
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
            ClaimState::Claimed => self.wait(),
            ClaimState::Released => {
                self.seen_free = true;
                self.revision = Some(revision);
                self.swap_claim()
            }
        }
    }

    /// Waits a little for the other attempt's outcome, then refuses.
    fn wait(&mut self) -> ClaimStep {
        if self.pauses >= Self::MAX_PAUSES {
            let cause = RefusalCause::KeyInDoubt;
            return self.end(ClaimStep::Refuse(cause, RequestVerdict::MayHaveRun));
        }
        let pause = Self::FIRST_PAUSE * 2u32.pow(self.pauses);
        self.pauses += 1;
        self.phase = ClaimPhase::Waiting;
        ClaimStep::Backoff(pause)
    }

    fn settle(&mut self, state: ClaimState, finish: ClaimStep) -> ClaimStep {
        self.phase = ClaimPhase::Settling;
        self.finish = Some(finish);
        let record = self.record(state);
        self.unsettled = Some(record.clone());
        ClaimStep::Swap { expected: self.revision, record }
    }

    fn finish_settled(&mut self) -> ClaimStep {
        self.unsettled = None;
        self.finish_unsettled()
    }

    fn finish_unsettled(&mut self) -> ClaimStep {
        let doubt = ClaimStep::Refuse(RefusalCause::KeyInDoubt, RequestVerdict::MayHaveRun);
        let finish = self.finish.take().unwrap_or(doubt);
        self.end(finish)
    }

    /// Gives up before dispatch: a claim that may still land is released later.
    ///
    /// The call is "not run" only if its key was seen free; otherwise an earlier request with the
    /// key may have run.
    fn abandon(&mut self) -> ClaimStep {
        self.unsettled = Some(self.record(ClaimState::Released));
        let verdict =
            if self.seen_free { RequestVerdict::NotRun } else { RequestVerdict::MayHaveRun };
        self.end(ClaimStep::Refuse(RefusalCause::StoreUnavailable, verdict))
    }

    fn end(&mut self, step: ClaimStep) -> ClaimStep {
        self.phase = ClaimPhase::Ended;
        step
    }
}

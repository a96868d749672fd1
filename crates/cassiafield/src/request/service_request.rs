use {
    crate::{
        connection::{ServiceCall, ServiceReply, ServiceResult},
        process::{lock, EntryHost, LogEvent},
        request::{
            claimed_call::store_event,
            http_reply::{respond, respond_refusal},
            RequestRefusal,
        },
    },
    cassiafield_core::{
        ids::{Moment, OrganisationId, ServiceId},
        process::{EndpointRecord, RequestClass, UsageOutcome},
        request::{CallClaim, CallOutcome, ClaimEvent, ClaimStep, RefusalCause, RequestVerdict},
        version::PlanLimits,
    },
    sha2::{Digest as _, Sha256},
    std::{thread, time::Duration},
    tiny_http::Request,
};

/// One caller's call to a plain service.
pub(crate) struct ServiceRequest<'a> {
    pub(crate) host: &'a EntryHost,
    pub(crate) organisation: &'a OrganisationId,
    pub(crate) limits: &'a PlanLimits,
    pub(crate) service: ServiceId,
    pub(crate) call: ServiceCall,
    pub(crate) began: Moment,
}

/// The outcome of a call, or its refusal.
type CallEnd = Result<CallOutcome, RequestRefusal>;

impl ServiceRequest<'_> {
    /// Endpoints tried for a call that may be repeated.
    const MAX_TRIES: usize = 3;
    /// Longest wait for an endpoint's answer to a call that may be repeated.
    const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
    /// Retry time of a call whose outcome is not known.
    const IN_DOUBT_RETRY: Duration = Duration::from_secs(5);

    /// Answers the call.
    pub(crate) fn run(&self, http: Request) {
        let class = self.class();
        let hour = self.host.usage.arrived(self.organisation, class);
        self.host.metrics.began(self.organisation, class);
        let result = self.admit();
        self.host.metrics.ended(self.organisation, class);
        let end = self.account(class, &result);
        self.host.usage.ended(hour, self.organisation, class, end);
        match result {
            Ok(outcome) => respond_outcome(http, outcome),
            Err(refusal) => respond_refusal(http, &refusal),
        }
    }

    fn class(&self) -> RequestClass {
        if self.call.is_repeatable() {
            RequestClass::Lookup
        } else {
            RequestClass::Filing
        }
    }

    fn account(&self, class: RequestClass, result: &CallEnd) -> UsageOutcome {
        let time = self.host.clock.now().since(self.began);
        match result {
            Ok(_) => {
                self.host.metrics.served(self.organisation, class, time);
                UsageOutcome::Served(0, time)
            }
            Err(refusal) => {
                let (cause, verdict) = (refusal.cause, refusal.verdict);
                self.host.metrics.refused(self.organisation, class, cause, verdict);
                UsageOutcome::Refused(cause, verdict, 0)
            }
        }
    }

    fn admit(&self) -> CallEnd {
        if !self.limits.services.contains(&self.service) {
            let detail = format!("the plan does not include service {}", self.service);
            return Err(RequestRefusal::not_run(RefusalCause::NotInPlan, detail));
        }
        self.host.admit(self.organisation, 0).map_err(|used_up| {
            let detail = format!("the plan's {} is used up", used_up.cause);
            RequestRefusal::not_run(used_up.cause, detail).retry_after(used_up.retry_after)
        })?;
        let end = match &self.call.idempotency_key {
            Some(key) if !self.call.is_repeatable() => self.run_claimed(key),
            _ if self.call.is_repeatable() => self.run_repeatable(),
            _ => self.run_once(),
        };
        self.host.allowances.release(self.organisation, 0);
        end
    }

    fn remaining(&self) -> Duration {
        let deadline = self.began + self.host.settings.request_timeout;
        deadline.since(self.host.clock.now())
    }

    fn endpoints(&self) -> Vec<EndpointRecord> {
        let now = self.host.clock.now();
        lock(&self.host.table).service_endpoints(&self.service, now)
    }

    /// Sends to one endpoint and records how it went.
    fn send(&self, record: &EndpointRecord, patience: Duration) -> ServiceResult {
        let now = self.host.clock.now();
        lock(&self.host.table).record_dispatch(&record.endpoint, now);
        let result = self.host.services.send(&record.address, &self.call, patience);
        let now = self.host.clock.now();
        let mut table = lock(&self.host.table);
        table.record_end(&record.endpoint);
        match &result {
            ServiceResult::Replied(_) => table.record_success(&record.endpoint),
            ServiceResult::Failed(_, reason) => {
                table.record_failure(&record.endpoint, now);
                LogEvent::EndpointFailed.log(format_args!("{}: {reason}", record.endpoint));
            }
        }
        result
    }

    /// Tries endpoints in turn; each further try after a sent one is paid from the retry budget.
    fn run_repeatable(&self) -> CallEnd {
        lock(&self.host.retries).record_request();
        let mut verdict = RequestVerdict::NotRun;
        for record in self.endpoints().iter().take(Self::MAX_TRIES) {
            if verdict != RequestVerdict::NotRun && !lock(&self.host.retries).try_acquire() {
                break;
            }
            match self.send(record, self.remaining().min(Self::LOOKUP_TIMEOUT)) {
                ServiceResult::Replied(reply) => return Ok(whole_outcome(reply)),
                ServiceResult::Failed(found, _) => verdict = verdict.max(found),
            }
        }
        Err(Self::unavailable(verdict))
    }

    /// Sends the call once; another endpoint is tried only while no byte has been sent.
    fn run_once(&self) -> CallEnd {
        match self.dispatch() {
            ServiceResult::Replied(reply) => Ok(whole_outcome(reply)),
            ServiceResult::Failed(verdict, _) => Err(Self::unavailable(verdict)),
        }
    }

    fn dispatch(&self) -> ServiceResult {
        for record in self.endpoints().iter().take(Self::MAX_TRIES) {
            match self.send(record, self.remaining()) {
                ServiceResult::Failed(RequestVerdict::NotRun, _) => {}
                result => return result,
            }
        }
        ServiceResult::Failed(RequestVerdict::NotRun, "no endpoint can be reached".into())
    }

    fn unavailable(verdict: RequestVerdict) -> RequestRefusal {
        match verdict {
            RequestVerdict::NotRun => {
                RequestRefusal::not_run(RefusalCause::NoEndpoint, "no endpoint can be reached")
            }
            _ => Self::in_doubt(RefusalCause::EndpointFailed, verdict),
        }
    }

    fn in_doubt(cause: RefusalCause, verdict: RequestVerdict) -> RequestRefusal {
        let detail = "the endpoint was sent the call and gave no whole answer";
        RequestRefusal::not_run(cause, detail).verdict(verdict).retry_after(Self::IN_DOUBT_RETRY)
    }

    /// Runs a call under a claim on its key.
    fn run_claimed(&self, key: &str) -> CallEnd {
        let store_key = claim_key(self.organisation, key);
        let mut claim = CallClaim::new(fastrand::u128(..), self.digest());
        let Some(lease) = self.host.claim_lease() else {
            let cause = RefusalCause::StoreUnavailable;
            return Err(Self::claim_refusal(cause, RequestVerdict::MayHaveRun));
        };
        let mut step = claim.start();
        let mut reply = None;
        loop {
            let event = match step {
                ClaimStep::Answer(outcome) => {
                    self.keep_unsettled(&store_key, &claim);
                    return Ok(reply.map_or(outcome, whole_outcome));
                }
                ClaimStep::Refuse(cause, verdict) => {
                    self.keep_unsettled(&store_key, &claim);
                    return Err(Self::claim_refusal(cause, verdict));
                }
                ClaimStep::Dispatch => match self.dispatch() {
                    ServiceResult::Replied(found) => {
                        let outcome = found.outcome();
                        reply = Some(found);
                        ClaimEvent::Answered(outcome)
                    }
                    ServiceResult::Failed(RequestVerdict::NotRun, _) => ClaimEvent::NotSent,
                    ServiceResult::Failed(..) => ClaimEvent::AnswerLost,
                },
                ClaimStep::Pause(pause) => {
                    thread::sleep(pause.min(self.remaining()));
                    ClaimEvent::Paused
                }
                ref store_step => {
                    store_event(self.host.store.as_ref(), &store_key, Some(lease), store_step)
                }
            };
            step = claim.advance(event);
        }
    }

    fn keep_unsettled(&self, store_key: &str, claim: &CallClaim) {
        if let Some(record) = claim.unsettled() {
            LogEvent::ClaimUnsettled.log(&record.digest);
            self.host.keep_unsettled(store_key.to_owned(), record.clone());
        }
    }

    fn claim_refusal(cause: RefusalCause, verdict: RequestVerdict) -> RequestRefusal {
        match cause {
            RefusalCause::KeyInDoubt => {
                let detail = "the key was used before and the outcome is not known";
                RequestRefusal::not_run(cause, detail)
                    .verdict(verdict)
                    .retry_after(Self::IN_DOUBT_RETRY)
            }
            RefusalCause::KeyReused => RequestRefusal::not_run(
                cause,
                "Idempotency-Key: the key was used before with another request",
            ),
            RefusalCause::StoreUnavailable => {
                let detail = match verdict {
                    RequestVerdict::NotRun => "the platform store cannot be reached",
                    _ => {
                        "the platform store cannot be reached; this request was not sent, but an \
                         earlier one with the same key may have run"
                    }
                };
                RequestRefusal::not_run(cause, detail).verdict(verdict)
            }
            RefusalCause::EndpointFailed => Self::in_doubt(cause, verdict),
            _ => RequestRefusal::not_run(cause, "no endpoint can be reached").verdict(verdict),
        }
    }

    /// Digests what makes two calls the same.
    fn digest(&self) -> String {
        let mut hasher = Sha256::new();
        let content_type = self.call.content_type.as_deref().unwrap_or("");
        for part in [self.service.as_str(), &self.call.method, &self.call.path, content_type] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&self.call.body);
        hex(&hasher.finalize())
    }
}

/// Returns the store key of a claim; the caller's key is hashed, so any text will do.
fn claim_key(organisation: &OrganisationId, key: &str) -> String {
    format!("cassiafield/claims/{organisation}/{}", hex(&Sha256::digest(key)))
}

/// Writes bytes as lower-case hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn whole_outcome(reply: ServiceReply) -> CallOutcome {
    CallOutcome { status: reply.status, content_type: reply.content_type, body: Some(reply.body) }
}

fn respond_outcome(http: Request, outcome: CallOutcome) {
    let verdict = [("Cassiafield-Verdict", "ran")];
    match outcome.body {
        Some(body) => respond(http, outcome.status, &outcome.content_type, body, &verdict),
        None => {
            let body = br#"{"title":"ran","detail":"the call ran; its answer was too large to keep","verdict":"ran"}"#;
            respond(http, 200, "application/problem+json", body.to_vec(), &verdict);
        }
    }
}

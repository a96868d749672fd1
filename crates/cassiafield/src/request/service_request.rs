use {
    crate::{
        connection::{ServiceCall, ServiceResponse, ServiceResult},
        process::{lock, EntryHost, LogEvent},
        request::{
            claim_store::run_store_step,
            http_response::{respond, respond_refusal},
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

/// A caller's request to a service.
pub(crate) struct ServiceRequest<'a> {
    pub(crate) host: &'a EntryHost,
    pub(crate) organisation: &'a OrganisationId,
    pub(crate) limits: &'a PlanLimits,
    pub(crate) service: ServiceId,
    pub(crate) call: ServiceCall,
    pub(crate) received_at: Moment,
}

/// The outcome of a call, or its refusal.
type CallResult = Result<CallOutcome, RequestRefusal>;

impl ServiceRequest<'_> {
    /// Maximum number of endpoints tried for a call.
    const MAX_ATTEMPTS: usize = 3;
    /// Maximum wait for an endpoint's response to a call with a safe method, which may be retried.
    const LOOKUP_TIMEOUT: Duration = Duration::from_secs(2);
    /// Retry delay suggested to the caller if the outcome of a call is unknown.
    const IN_DOUBT_RETRY_AFTER: Duration = Duration::from_secs(5);

    /// Handles the request and records its usage.
    pub(crate) fn run(&self, http: Request) {
        let class = self.class();
        let hour = self.host.usage.record_arrival(self.organisation, class);
        self.host.metrics.request_started(self.organisation, class);
        let result = self.admit();
        self.host.metrics.request_ended(self.organisation, class);
        let usage_outcome = self.record_result(class, &result);
        self.host.usage.record_end(hour, self.organisation, class, usage_outcome);
        match result {
            Ok(outcome) => respond_outcome(http, outcome),
            Err(refusal) => respond_refusal(http, &refusal),
        }
    }

    fn class(&self) -> RequestClass {
        if self.call.is_safe() {
            RequestClass::Lookup
        } else {
            RequestClass::Filing
        }
    }

    fn record_result(&self, class: RequestClass, result: &CallResult) -> UsageOutcome {
        let time = self.host.clock.now().since(self.received_at);
        match result {
            Ok(_) => {
                self.host.metrics.observe_request_time(self.organisation, class, time);
                UsageOutcome::Served(0, time)
            }
            Err(refusal) => {
                let (cause, verdict) = (refusal.cause, refusal.verdict);
                self.host.metrics.count_refusal(self.organisation, class, cause, verdict);
                UsageOutcome::Refused(cause, verdict, 0)
            }
        }
    }

    fn admit(&self) -> CallResult {
        if !self.limits.services.contains(&self.service) {
            let detail = format!("the plan does not include service {}", self.service);
            return Err(RequestRefusal::not_run(RefusalCause::NotInPlan, detail));
        }
        self.host.admit(self.organisation, 0).map_err(|exhausted| {
            let detail = format!("the plan's {} is used up", exhausted.cause);
            RequestRefusal::not_run(exhausted.cause, detail).with_retry_after(exhausted.retry_after)
        })?;
        let result = match &self.call.idempotency_key {
            Some(key) if !self.call.is_safe() => self.run_claimed(key),
            _ if self.call.is_safe() => self.run_safe(),
            _ => self.run_at_most_once(),
        };
        self.host.allowances.release(self.organisation, 0);
        result
    }

    fn remaining_time(&self) -> Duration {
        let deadline = self.received_at + self.host.settings.request_timeout;
        deadline.since(self.host.clock.now())
    }

    fn endpoints(&self) -> Vec<EndpointRecord> {
        let now = self.host.clock.now();
        lock(&self.host.table).service_endpoints(&self.service, now)
    }

    /// Sends the call to one endpoint and records the result in the endpoint table.
    fn send(&self, record: &EndpointRecord, timeout: Duration) -> ServiceResult {
        let now = self.host.clock.now();
        lock(&self.host.table).record_dispatch(&record.endpoint, now);
        let result = self.host.services.send(&record.address, &self.call, timeout);
        let now = self.host.clock.now();
        let mut table = lock(&self.host.table);
        table.record_end(&record.endpoint);
        match &result {
            ServiceResult::Answered(_) => table.record_success(&record.endpoint),
            ServiceResult::Failed(_, reason) => {
                table.record_failure(&record.endpoint, now);
                LogEvent::EndpointFailed.log(format_args!("{}: {reason}", record.endpoint));
            }
        }
        result
    }

    /// Tries endpoints in turn; a retry after a call that may have run draws on the retry budget.
    fn run_safe(&self) -> CallResult {
        lock(&self.host.retry_budget).record_request();
        let mut verdict = RequestVerdict::NotRun;
        for record in self.endpoints().iter().take(Self::MAX_ATTEMPTS) {
            if verdict != RequestVerdict::NotRun && !lock(&self.host.retry_budget).try_acquire() {
                break;
            }
            match self.send(record, self.remaining_time().min(Self::LOOKUP_TIMEOUT)) {
                ServiceResult::Answered(response) => return Ok(full_outcome(response)),
                ServiceResult::Failed(found, _) => verdict = verdict.max(found),
            }
        }
        Err(Self::failure_refusal(verdict))
    }

    /// Sends the call at most once; another endpoint is tried only if no byte was sent.
    fn run_at_most_once(&self) -> CallResult {
        match self.dispatch() {
            ServiceResult::Answered(response) => Ok(full_outcome(response)),
            ServiceResult::Failed(verdict, _) => Err(Self::failure_refusal(verdict)),
        }
    }

    fn dispatch(&self) -> ServiceResult {
        for record in self.endpoints().iter().take(Self::MAX_ATTEMPTS) {
            match self.send(record, self.remaining_time()) {
                ServiceResult::Failed(RequestVerdict::NotRun, _) => {}
                result => return result,
            }
        }
        ServiceResult::Failed(RequestVerdict::NotRun, "no endpoint can be reached".into())
    }

    fn failure_refusal(verdict: RequestVerdict) -> RequestRefusal {
        match verdict {
            RequestVerdict::NotRun => {
                RequestRefusal::not_run(RefusalCause::NoEndpoint, "no endpoint can be reached")
            }
            _ => Self::in_doubt_refusal(RefusalCause::EndpointFailed, verdict),
        }
    }

    fn in_doubt_refusal(cause: RefusalCause, verdict: RequestVerdict) -> RequestRefusal {
        let detail = "the endpoint was sent the call and gave no whole answer";
        RequestRefusal::not_run(cause, detail)
            .with_verdict(verdict)
            .with_retry_after(Self::IN_DOUBT_RETRY_AFTER)
    }

    /// Runs a call under a claim on its idempotency key.
    fn run_claimed(&self, key: &str) -> CallResult {
        let store_key = claim_key(self.organisation, key);
        let mut claim = CallClaim::new(fastrand::u128(..), self.request_digest());
        let Some(lease) = self.host.claim_lease() else {
            let cause = RefusalCause::StoreUnavailable;
            return Err(Self::claim_refusal(cause, RequestVerdict::MayHaveRun));
        };
        let mut step = claim.start();
        let mut response = None;
        loop {
            let event = match step {
                ClaimStep::Respond(outcome) => {
                    self.queue_unsettled(&store_key, &claim);
                    return Ok(response.map_or(outcome, full_outcome));
                }
                ClaimStep::Refuse(cause, verdict) => {
                    self.queue_unsettled(&store_key, &claim);
                    return Err(Self::claim_refusal(cause, verdict));
                }
                ClaimStep::Dispatch => match self.dispatch() {
                    ServiceResult::Answered(found) => {
                        let outcome = found.outcome();
                        response = Some(found);
                        ClaimEvent::ResponseReceived(outcome)
                    }
                    ServiceResult::Failed(RequestVerdict::NotRun, _) => ClaimEvent::NotSent,
                    ServiceResult::Failed(..) => ClaimEvent::ResponseLost,
                },
                ClaimStep::Backoff(delay) => {
                    thread::sleep(delay.min(self.remaining_time()));
                    ClaimEvent::BackoffElapsed
                }
                ref store_step => {
                    run_store_step(self.host.store.as_ref(), &store_key, Some(lease), store_step)
                }
            };
            step = claim.advance(event);
        }
    }

    fn queue_unsettled(&self, store_key: &str, claim: &CallClaim) {
        if let Some(record) = claim.unsettled() {
            LogEvent::ClaimUnsettled.log(&record.digest);
            self.host.queue_unsettled_claim(store_key.to_owned(), record.clone());
        }
    }

    fn claim_refusal(cause: RefusalCause, verdict: RequestVerdict) -> RequestRefusal {
        match cause {
            RefusalCause::KeyInDoubt => {
                let detail = "the key was used before and the outcome is not known";
                RequestRefusal::not_run(cause, detail)
                    .with_verdict(verdict)
                    .with_retry_after(Self::IN_DOUBT_RETRY_AFTER)
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
                RequestRefusal::not_run(cause, detail).with_verdict(verdict)
            }
            RefusalCause::EndpointFailed => Self::in_doubt_refusal(cause, verdict),
            _ => RequestRefusal::not_run(cause, "no endpoint can be reached").with_verdict(verdict),
        }
    }

    /// Returns a digest of the service, method, path, content type and body, by which a key that is
    /// reused for a different request is detected.
    fn request_digest(&self) -> String {
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

/// Returns the store key of a claim; the caller's key is hashed, so it may contain any text.
fn claim_key(organisation: &OrganisationId, key: &str) -> String {
    format!("cassiafield/claims/{organisation}/{}", hex(&Sha256::digest(key)))
}

/// Formats bytes as lower-case hexadecimal.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn full_outcome(response: ServiceResponse) -> CallOutcome {
    CallOutcome {
        status: response.status,
        content_type: response.content_type,
        body: Some(response.body),
    }
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

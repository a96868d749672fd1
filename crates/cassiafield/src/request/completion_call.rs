use {
    crate::{
        connection::ChunkedResponse,
        process::{AdmissionRefusal, AdmissionRequest, EntryHost, HostClock, TokenLatencies},
        request::{
            http_response::{respond_json, respond_refusal},
            CompletionFormat, CompletionRequest, RequestRefusal, StreamJob, StreamOutcome,
            TokenSink,
        },
    },
    cassiafield_core::{
        ids::{Moment, OrganisationId, StreamId},
        process::{RequestClass, RoutingError, UsageOutcome},
        request::RefusalCause,
        version::PlanLimits,
    },
    serde_json::{json, Value},
    std::io,
    tiny_http::Request,
};

/// A caller's completion request, from admission to the end of the answer.
pub(crate) struct CompletionCall<'a> {
    pub(crate) host: &'a EntryHost,
    pub(crate) organisation: &'a OrganisationId,
    pub(crate) limits: &'a PlanLimits,
    pub(crate) chat: bool,
    pub(crate) received_at: Moment,
}

impl CompletionCall<'_> {
    const DEFAULT_MAX_TOKENS: u32 = 128;

    /// Handles the request and records its usage.
    pub(crate) fn run(&self, http: Request, body: &[u8]) {
        let class = RequestClass::Generation;
        let hour = self.host.usage.record_arrival(self.organisation, class);
        self.host.metrics.request_started(self.organisation, class);
        let outcome = match self.validate(body) {
            Ok(request) => self.admit(http, &request),
            Err(refusal) => self.refuse(http, &refusal),
        };
        self.host.metrics.request_ended(self.organisation, class);
        self.host.usage.record_end(hour, self.organisation, class, outcome);
    }

    fn validate(&self, body: &[u8]) -> Result<CompletionRequest, RequestRefusal> {
        let parsed = if self.chat {
            CompletionRequest::from_chat(body)
        } else {
            CompletionRequest::from_completion(body)
        };
        let request = parsed.map_err(|error| {
            RequestRefusal::not_run(RefusalCause::BadRequest, error.to_string())
        })?;
        if !self.limits.models.contains(&request.model) {
            let detail = format!("the plan does not include model {}", request.model);
            return Err(RequestRefusal::not_run(RefusalCause::NotInPlan, detail));
        }
        if self.max_tokens(&request) > self.limits.max_tokens {
            let detail = format!("max_tokens: the plan allows at most {}", self.limits.max_tokens);
            return Err(RequestRefusal::not_run(RefusalCause::BadRequest, detail));
        }
        Ok(request)
    }

    fn max_tokens(&self, request: &CompletionRequest) -> u32 {
        let default = Self::DEFAULT_MAX_TOKENS.min(self.limits.max_tokens);
        request.max_tokens.unwrap_or(default)
    }

    fn admit(&self, http: Request, request: &CompletionRequest) -> UsageOutcome {
        let max_tokens = self.max_tokens(request);
        if let Err(exhausted) = self.host.admit(self.organisation, max_tokens) {
            let detail = format!("the plan's {} is used up", exhausted.cause);
            let refusal = RequestRefusal::not_run(exhausted.cause, detail);
            return self.refuse(http, &refusal.with_retry_after(exhausted.retry_after));
        }
        let (outcome, delivered) = self.route(http, request, max_tokens);
        self.host.allowances.release(self.organisation, max_tokens.saturating_sub(delivered));
        outcome
    }

    fn route(
        &self,
        http: Request,
        request: &CompletionRequest,
        max_tokens: u32,
    ) -> (UsageOutcome, u32) {
        let admission = AdmissionRequest {
            organisation: self.organisation,
            weight: self.limits.weight,
            model: &request.model,
            cost: max_tokens,
            prefix_hash: request.prefix_hash(),
            max_wait: self.host.settings.queue_timeout,
        };
        let granted = self.host.admission.acquire_route(&admission);
        let waited = self.host.clock.now().since(self.received_at);
        self.host.metrics.observe_queue_wait(self.organisation, waited);
        let mut guard = match granted {
            Ok(guard) => guard,
            Err(refusal) => return (self.refuse(http, &admission_refusal(refusal)), 0),
        };
        let job = StreamJob {
            stream: StreamId(fastrand::u128(..)),
            prompt: request.prompt.clone(),
            max_tokens,
            deadline: self.received_at + self.host.settings.request_timeout,
        };
        let format = CompletionFormat::new(
            self.chat,
            job.stream,
            request.model.clone(),
            HostClock::unix_seconds(),
        );
        let mut sink = AnswerSink::new(self, http, format, request.stream);
        let (outcome, delivered) = self.host.runner.run(&job, &mut guard, &mut sink);
        guard.close();
        (sink.finish(outcome, delivered, request, max_tokens), delivered)
    }

    fn refuse(&self, http: Request, refusal: &RequestRefusal) -> UsageOutcome {
        self.count_refusal(refusal);
        respond_refusal(http, refusal);
        UsageOutcome::Refused(refusal.cause, refusal.verdict, 0)
    }

    fn count_refusal(&self, refusal: &RequestRefusal) {
        let class = RequestClass::Generation;
        self.host.metrics.count_refusal(self.organisation, class, refusal.cause, refusal.verdict);
    }
}

fn admission_refusal(refusal: AdmissionRefusal) -> RequestRefusal {
    match refusal {
        AdmissionRefusal::NoRoute(RoutingError::UnknownModel) => {
            RequestRefusal::not_run(RefusalCause::NotFound, "no endpoint runs the model")
        }
        AdmissionRefusal::NoRoute(error) => {
            RequestRefusal::not_run(RefusalCause::NoEndpoint, error.to_string())
        }
        AdmissionRefusal::Overloaded(after) => {
            let detail = "no endpoint can take the request in time";
            RequestRefusal::not_run(RefusalCause::Overloaded, detail).with_retry_after(after)
        }
    }
}

/// Writes the answer to the caller, streamed or as one document.
///
/// The response head of a stream is sent with the first token, so that a request that fails before
/// it is refused with an HTTP status.
struct AnswerSink<'a> {
    call: &'a CompletionCall<'a>,
    format: CompletionFormat,
    latencies: TokenLatencies,
    event_buffer: Vec<u8>,
    streamed: bool,
    http: Option<Request>,
    response: Option<ChunkedResponse>,
    text: String,
    last_token_at: Option<Moment>,
}

impl<'a> AnswerSink<'a> {
    fn new(
        call: &'a CompletionCall<'a>,
        http: Request,
        format: CompletionFormat,
        streamed: bool,
    ) -> Self {
        Self {
            call,
            latencies: call.host.metrics.token_latencies(call.organisation),
            event_buffer: Vec::new(),
            format,
            streamed,
            http: Some(http),
            response: None,
            text: String::new(),
            last_token_at: None,
        }
    }

    fn record_token_time(&mut self) {
        let now = self.call.host.clock.now();
        match self.last_token_at {
            None => self.latencies.observe_first_token(now.since(self.call.received_at)),
            Some(last) => self.latencies.observe_between_tokens(now.since(last)),
        }
        self.last_token_at = Some(now);
    }

    /// Returns the response stream, sending its head and first chunk if it is not open yet.
    fn open_stream(&mut self) -> io::Result<&mut ChunkedResponse> {
        if let Some(http) = self.http.take() {
            let mut response = ChunkedResponse::begin(http.into_writer(), "text/event-stream")?;
            if let Some(first_chunk) = self.format.first_chunk() {
                response.send(&event_bytes(&first_chunk))?;
            }
            self.response = Some(response);
        }
        self.response.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn finish(
        mut self,
        outcome: StreamOutcome,
        delivered: u32,
        request: &CompletionRequest,
        max_tokens: u32,
    ) -> UsageOutcome {
        let tokens = u64::from(delivered);
        let host = self.call.host;
        host.metrics.add_tokens(self.call.organisation, RequestClass::Generation, tokens);
        match outcome {
            StreamOutcome::CallerGone => UsageOutcome::Abandoned(tokens),
            StreamOutcome::Failed(cause, verdict) => {
                let detail = "the answer could not be completed";
                let refusal = RequestRefusal::not_run(cause, detail).with_verdict(verdict);
                self.call.count_refusal(&refusal);
                self.send_refusal(&refusal);
                UsageOutcome::Refused(cause, verdict, tokens)
            }
            StreamOutcome::Complete => {
                let finish_reason = if delivered >= max_tokens { "length" } else { "stop" };
                let usage = usage_document(&request.prompt, delivered);
                let sent = if self.streamed {
                    self.close_stream(finish_reason, request.stream_usage.then_some(&usage))
                } else {
                    self.send_completion(finish_reason, &usage);
                    Ok(())
                };
                if sent.is_err() {
                    return UsageOutcome::Abandoned(tokens);
                }
                let time = host.clock.now().since(self.call.received_at);
                host.metrics.observe_request_time(
                    self.call.organisation,
                    RequestClass::Generation,
                    time,
                );
                UsageOutcome::Served(tokens, time)
            }
        }
    }

    fn close_stream(&mut self, finish_reason: &str, usage: Option<&Value>) -> io::Result<()> {
        let final_chunk = event_bytes(&self.format.final_chunk(finish_reason));
        let usage = usage.map(|usage| event_bytes(&self.format.usage_chunk(usage)));
        let response = self.open_stream()?;
        response.send(&final_chunk)?;
        if let Some(usage) = usage {
            response.send(&usage)?;
        }
        response.send(b"data: [DONE]\n\n")?;
        self.response.take().map_or(Ok(()), ChunkedResponse::close)
    }

    fn send_completion(&mut self, finish_reason: &str, usage: &Value) {
        if let Some(http) = self.http.take() {
            respond_json(http, 200, &self.format.completion(&self.text, finish_reason, usage));
        }
    }

    /// Refuses the request with an HTTP status, or ends an open stream with an error event and
    /// without `[DONE]`.
    fn send_refusal(&mut self, refusal: &RequestRefusal) {
        if let Some(http) = self.http.take() {
            respond_refusal(http, refusal);
        } else if let Some(mut response) = self.response.take() {
            let _ = response.send(&event_bytes(&refusal.problem_document()));
            let _ = response.close();
        }
    }
}

impl TokenSink for AnswerSink<'_> {
    fn token(&mut self, text: &str) -> io::Result<()> {
        self.record_token_time();
        if !self.streamed {
            self.text.push_str(text);
            return Ok(());
        }
        let mut event = std::mem::take(&mut self.event_buffer);
        event.clear();
        self.format.write_token_event(text, &mut event);
        let sent = self.open_stream()?.send(&event);
        self.event_buffer = event;
        sent
    }
}

fn event_bytes(event: &Value) -> Vec<u8> {
    format!("data: {event}\n\n").into_bytes()
}

/// Returns the usage object; prompt tokens are estimated as the number of words.
fn usage_document(prompt: &str, completion: u32) -> Value {
    let words = prompt.split_whitespace().count();
    json!({
        "prompt_tokens": words,
        "completion_tokens": completion,
        "total_tokens": words as u64 + u64::from(completion),
    })
}

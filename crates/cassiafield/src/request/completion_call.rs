use {
    crate::{
        connection::ChunkedReply,
        process::{AdmissionRefusal, AdmissionRequest, EntryHost, HostClock, TokenTimes},
        request::{
            http_reply::{respond_json, respond_refusal},
            AnswerShape, CompletionRequest, RequestRefusal, RunEnd, StreamJob, TokenSink,
        },
    },
    cassiafield_core::{
        ids::{Moment, OrganisationId, StreamId},
        process::{PlanError, RequestClass, UsageOutcome},
        request::RefusalCause,
        version::PlanLimits,
    },
    serde_json::{json, Value},
    std::io,
    tiny_http::Request,
};

/// One caller's request for generated text, from admission to the end of its answer.
pub(crate) struct CompletionCall<'a> {
    pub(crate) host: &'a EntryHost,
    pub(crate) organisation: &'a OrganisationId,
    pub(crate) limits: &'a PlanLimits,
    pub(crate) chat: bool,
    pub(crate) began: Moment,
}

impl CompletionCall<'_> {
    const DEFAULT_MAX_TOKENS: u32 = 128;

    /// Answers the request.
    pub(crate) fn run(&self, http: Request, body: &[u8]) {
        let class = RequestClass::Generation;
        let hour = self.host.usage.arrived(self.organisation, class);
        self.host.metrics.began(self.organisation, class);
        let end = match self.check(body) {
            Ok(request) => self.admit(http, &request),
            Err(refusal) => self.refuse(http, &refusal),
        };
        self.host.metrics.ended(self.organisation, class);
        self.host.usage.ended(hour, self.organisation, class, end);
    }

    fn check(&self, body: &[u8]) -> Result<CompletionRequest, RequestRefusal> {
        let parsed = if self.chat {
            CompletionRequest::from_chat(body)
        } else {
            CompletionRequest::from_completion(body)
        };
        let request = parsed.map_err(|fault| {
            RequestRefusal::not_run(RefusalCause::BadRequest, fault.to_string())
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
        if let Err(used_up) = self.host.admit(self.organisation, max_tokens) {
            let detail = format!("the plan's {} is used up", used_up.cause);
            let refusal = RequestRefusal::not_run(used_up.cause, detail);
            return self.refuse(http, &refusal.retry_after(used_up.retry_after));
        }
        let (end, delivered) = self.route(http, request, max_tokens);
        self.host.allowances.release(self.organisation, max_tokens.saturating_sub(delivered));
        end
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
            prefix: request.prefix(),
            patience: self.host.settings.queue_timeout,
        };
        let entered = self.host.gate.enter(&admission);
        let waited = self.host.clock.now().since(self.began);
        self.host.metrics.queue_wait(self.organisation, waited);
        let mut hold = match entered {
            Ok(hold) => hold,
            Err(refusal) => return (self.refuse(http, &gate_refusal(refusal)), 0),
        };
        let job = StreamJob {
            stream: StreamId(fastrand::u128(..)),
            prompt: request.prompt.clone(),
            max_tokens,
            deadline: self.began + self.host.settings.request_timeout,
        };
        let shape = AnswerShape::new(
            self.chat,
            job.stream,
            request.model.clone(),
            HostClock::unix_seconds(),
        );
        let mut sink = AnswerSink::new(self, http, shape, request.stream);
        let (end, delivered) = self.host.runner.run(&job, &mut hold, &mut sink);
        hold.close();
        (sink.finish(end, delivered, request, max_tokens), delivered)
    }

    fn refuse(&self, http: Request, refusal: &RequestRefusal) -> UsageOutcome {
        self.count_refusal(refusal);
        respond_refusal(http, refusal);
        UsageOutcome::Refused(refusal.cause, refusal.verdict, 0)
    }

    fn count_refusal(&self, refusal: &RequestRefusal) {
        let class = RequestClass::Generation;
        self.host.metrics.refused(self.organisation, class, refusal.cause, refusal.verdict);
    }
}

fn gate_refusal(refusal: AdmissionRefusal) -> RequestRefusal {
    match refusal {
        AdmissionRefusal::NoRoute(PlanError::UnknownModel) => {
            RequestRefusal::not_run(RefusalCause::NotFound, "no endpoint runs the model")
        }
        AdmissionRefusal::NoRoute(error) => {
            RequestRefusal::not_run(RefusalCause::NoEndpoint, error.to_string())
        }
        AdmissionRefusal::Overloaded(after) => {
            let detail = "no endpoint can take the request in time";
            RequestRefusal::not_run(RefusalCause::Overloaded, detail).retry_after(after)
        }
    }
}

/// Writes an answer to the caller, streamed or whole.
///
/// A stream's head is written with the first token, so that a request that fails before it still
/// gets a status of its own.
struct AnswerSink<'a> {
    call: &'a CompletionCall<'a>,
    shape: AnswerShape,
    times: TokenTimes,
    event: Vec<u8>,
    streamed: bool,
    http: Option<Request>,
    reply: Option<ChunkedReply>,
    text: String,
    last_token: Option<Moment>,
}

impl<'a> AnswerSink<'a> {
    fn new(
        call: &'a CompletionCall<'a>,
        http: Request,
        shape: AnswerShape,
        streamed: bool,
    ) -> Self {
        Self {
            call,
            times: call.host.metrics.token_times(call.organisation),
            event: Vec::new(),
            shape,
            streamed,
            http: Some(http),
            reply: None,
            text: String::new(),
            last_token: None,
        }
    }

    fn measure(&mut self) {
        let now = self.call.host.clock.now();
        match self.last_token {
            None => self.times.first(now.since(self.call.began)),
            Some(last) => self.times.between(now.since(last)),
        }
        self.last_token = Some(now);
    }

    /// Returns the stream to the caller, opened if it is not yet open.
    fn open(&mut self) -> io::Result<&mut ChunkedReply> {
        if let Some(http) = self.http.take() {
            let mut reply = ChunkedReply::begin(http.into_writer(), "text/event-stream")?;
            if let Some(opening) = self.shape.opening() {
                reply.send(&event_bytes(&opening))?;
            }
            self.reply = Some(reply);
        }
        self.reply.as_mut().ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn finish(
        mut self,
        end: RunEnd,
        delivered: u32,
        request: &CompletionRequest,
        max_tokens: u32,
    ) -> UsageOutcome {
        let tokens = u64::from(delivered);
        let host = self.call.host;
        host.metrics.tokens(self.call.organisation, RequestClass::Generation, tokens);
        match end {
            RunEnd::CallerGone => UsageOutcome::Abandoned(tokens),
            RunEnd::GivenUp(cause, verdict) => {
                let detail = "the answer could not be completed";
                let refusal = RequestRefusal::not_run(cause, detail).verdict(verdict);
                self.call.count_refusal(&refusal);
                self.send_refusal(&refusal);
                UsageOutcome::Refused(cause, verdict, tokens)
            }
            RunEnd::Complete => {
                let finish = if delivered >= max_tokens { "length" } else { "stop" };
                let usage = usage_document(&request.prompt, delivered);
                let sent = if self.streamed {
                    self.close_stream(finish, request.stream_usage.then_some(&usage))
                } else {
                    self.send_whole(finish, &usage);
                    Ok(())
                };
                if sent.is_err() {
                    return UsageOutcome::Abandoned(tokens);
                }
                let time = host.clock.now().since(self.call.began);
                host.metrics.served(self.call.organisation, RequestClass::Generation, time);
                UsageOutcome::Served(tokens, time)
            }
        }
    }

    fn close_stream(&mut self, finish: &str, usage: Option<&Value>) -> io::Result<()> {
        let closing = event_bytes(&self.shape.closing(finish));
        let usage = usage.map(|usage| event_bytes(&self.shape.usage(usage)));
        let reply = self.open()?;
        reply.send(&closing)?;
        if let Some(usage) = usage {
            reply.send(&usage)?;
        }
        reply.send(b"data: [DONE]\n\n")?;
        self.reply.take().map_or(Ok(()), ChunkedReply::close)
    }

    fn send_whole(&mut self, finish: &str, usage: &Value) {
        if let Some(http) = self.http.take() {
            respond_json(http, 200, &self.shape.whole(&self.text, finish, usage));
        }
    }

    /// Refuses with a status, or ends an open stream with an error event and without `[DONE]`.
    fn send_refusal(&mut self, refusal: &RequestRefusal) {
        if let Some(http) = self.http.take() {
            respond_refusal(http, refusal);
        } else if let Some(mut reply) = self.reply.take() {
            let _ = reply.send(&event_bytes(&refusal.document()));
            let _ = reply.close();
        }
    }
}

impl TokenSink for AnswerSink<'_> {
    fn token(&mut self, text: &str) -> io::Result<()> {
        self.measure();
        if !self.streamed {
            self.text.push_str(text);
            return Ok(());
        }
        let mut event = std::mem::take(&mut self.event);
        event.clear();
        self.shape.write_token(text, &mut event);
        let sent = self.open()?.send(&event);
        self.event = event;
        sent
    }
}

fn event_bytes(event: &Value) -> Vec<u8> {
    format!("data: {event}\n\n").into_bytes()
}

/// Tells the usage; prompt tokens are estimated by words.
fn usage_document(prompt: &str, completion: u32) -> Value {
    let words = prompt.split_whitespace().count();
    json!({
        "prompt_tokens": words,
        "completion_tokens": completion,
        "total_tokens": words as u64 + u64::from(completion),
    })
}

use {
    crate::{
        connection::{ChannelFault, PooledChannel},
        request::{
            call_context::CallContext, caller_request::strip_hop_headers, refusal_reply::refusal,
            CallerBody,
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::EndpointId,
        process::{EndpointEntry, ServiceChoice},
        request::{RefusalCause, RequestVerdict},
    },
    http::{header, HeaderValue, Response, StatusCode},
    http_body_util::{BodyExt as _, Limited},
    hyper::body::Incoming,
    std::{fmt, time::Duration},
    tokio::time::timeout,
};

/// A request to a plain service: sent whole, answered whole.
pub(super) struct PlainCall {
    context: CallContext,
}

/// How one try at an endpoint ended.
enum TryOutcome {
    /// The endpoint's answer.
    Answer(Response<CallerBody>),
    /// The endpoint failed the request and said so; another may do better.
    Failed(Response<CallerBody>),
    /// No byte of the request can have run.
    NotRun,
    /// The request may have run and there is no answer.
    Lost,
}

impl PlainCall {
    /// Longest time for a new connection to an endpoint.
    const CONNECT_LIMIT: Duration = Duration::from_millis(250);
    /// Time for a channel to notice that its answer has been read to the end.
    const SETTLE_LIMIT: Duration = Duration::from_millis(2);
    /// Largest answer, in bytes.
    const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
    /// Endpoints that may refuse or be out of reach before the call is given up.
    const MAX_TRIES: u32 = 4;
    /// Pause after which a caller is told to retry, doubled at random.
    const RETRY_AFTER: Duration = Duration::from_millis(60);

    pub(super) const fn new(context: CallContext) -> Self {
        Self { context }
    }

    pub(super) async fn run(self) -> Response<CallerBody> {
        self.context.state.note_request(&self.context.service.service);
        let mut avoided: Vec<EndpointId> = Vec::new();
        let mut verdict = RequestVerdict::NotRun;
        let mut failed = None;
        let mut sent = 0;
        for _ in 0..Self::MAX_TRIES {
            if sent >= self.context.rule.attempts.max(1) || self.context.time_left().is_zero() {
                break;
            }
            if sent > 0 && !self.context.state.take_retry(&self.context.service.service) {
                break;
            }
            let Some(entry) = self.choose(&avoided) else { break };
            avoided.push(entry.endpoint.clone());
            let outcome = self.try_once(&entry, &mut sent).await;
            self.note_try(sent, &entry, &outcome);
            match outcome {
                TryOutcome::Answer(answer) => return answer,
                TryOutcome::NotRun => {}
                TryOutcome::Failed(answer) => {
                    verdict = RequestVerdict::Ran;
                    failed = Some(answer);
                }
                TryOutcome::Lost => verdict = RequestVerdict::MayHaveRun,
            }
            if verdict != RequestVerdict::NotRun && !self.context.rule.kind.is_repeatable() {
                break;
            }
        }
        let Some(answer) = failed else { return self.give_up(verdict, avoided.len()) };
        let status = answer.status().as_u16();
        self.context.note_answered(sent, format_args!("status {status} passed on"));
        answer
    }

    fn note_try(&self, sent: u32, entry: &EndpointEntry, outcome: &TryOutcome) {
        if let TryOutcome::Answer(answer) = outcome {
            let status = answer.status().as_u16();
            self.context.note_answered(sent, format_args!("status {status} of {}", entry.endpoint));
            return;
        }
        self.context
            .decision(LogEvent::TryFailed)
            .verdict(outcome.verdict())
            .sends(sent)
            .endpoint(&entry.endpoint)
            .log(outcome);
    }

    /// Answers a request that no endpoint has answered.
    fn give_up(&self, verdict: RequestVerdict, tried: usize) -> Response<CallerBody> {
        let cause = match verdict {
            RequestVerdict::NotRun if tried == 0 => RefusalCause::NoEndpoint,
            RequestVerdict::NotRun => RefusalCause::Overloaded,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => RefusalCause::EndpointFailed,
        };
        self.context.state.metrics.refused(cause);
        self.context
            .decision(LogEvent::RequestRefused)
            .cause(cause)
            .verdict(verdict)
            .log(format_args!("route {}, {tried} endpoints tried", self.context.rule.name));
        let pause = Self::RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
        refusal(cause, (verdict == RequestVerdict::NotRun).then_some(pause))
    }

    fn choose(&self, avoided: &[EndpointId]) -> Option<EndpointEntry> {
        let choice = ServiceChoice {
            service: &self.context.service.service,
            zone: &self.context.state.profile.zone,
            excluded: avoided,
            at_most_once: !self.context.rule.kind.is_repeatable(),
        };
        self.context.state.directory.borrow().choose(&choice, self.context.state.now()).cloned()
    }

    async fn try_once(&self, entry: &EndpointEntry, sent: &mut u32) -> TryOutcome {
        let guard = self.context.state.dispatched(&entry.endpoint);
        let began = self.context.state.now();
        let runs_once = !self.context.rule.kind.is_repeatable();
        let limit = Self::CONNECT_LIMIT.min(self.context.time_left());
        let opened = self.context.state.pool.checkout(entry.address, runs_once, began, limit).await;
        let mut channel = match opened {
            Ok(channel) => channel,
            Err(fault) => return self.failed(entry, &fault),
        };
        if !channel.is_reused {
            self.context.state.metrics.channel_opened();
        }
        let Some(request) = self.context.message(&entry.endpoint) else {
            return TryOutcome::NotRun;
        };
        *sent += 1;
        self.context.note_sent();
        let answer = match channel.channel.send(request, self.context.time_left()).await {
            Ok(answer) => answer,
            Err(ChannelFault::Unsent) => {
                *sent -= 1;
                return TryOutcome::NotRun;
            }
            Err(fault) => return self.failed(entry, &fault),
        };
        let outcome = self.read_answer(entry, channel, answer).await;
        if let TryOutcome::Answer(_) = &outcome {
            let latency = self.context.state.now().since(began);
            self.context
                .state
                .directory
                .borrow_mut()
                .record_success(&entry.endpoint, Some(latency));
        }
        drop(guard);
        outcome
    }

    fn failed(&self, entry: &EndpointEntry, fault: &ChannelFault) -> TryOutcome {
        self.context.state.endpoint_failed(&entry.endpoint, fault);
        match fault.verdict() {
            RequestVerdict::NotRun => TryOutcome::NotRun,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => TryOutcome::Lost,
        }
    }

    async fn read_answer(
        &self,
        entry: &EndpointEntry,
        mut channel: PooledChannel,
        answer: Response<Incoming>,
    ) -> TryOutcome {
        if self.context.is_of_another(answer.headers()) {
            return self.failed(entry, &ChannelFault::Silent);
        }
        let may_keep = channel.note_head(answer.headers());
        let (mut parts, body) = answer.into_parts();
        let reading = Limited::new(body, Self::MAX_ANSWER_BYTES).collect();
        let body = match timeout(self.context.time_left(), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => return self.failed(entry, &ChannelFault::Silent),
        };
        if may_keep && channel.channel.settle(Self::SETTLE_LIMIT).await {
            let most = self.context.state.idle_share(&self.context.service);
            channel.close(&self.context.state.pool, most, self.context.state.now());
        }
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        let not_run = &self.context.state.codec.header_names().not_run;
        if is_misdirected || parts.headers.contains_key(not_run) {
            self.context.state.endpoint_refused(&entry.endpoint, is_misdirected);
            return TryOutcome::NotRun;
        }
        strip_hop_headers(&mut parts.headers);
        parts.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        let is_failure = parts.status.is_server_error();
        let answer = Response::from_parts(parts, CallerBody::whole(body));
        if is_failure {
            TryOutcome::Failed(answer)
        } else {
            TryOutcome::Answer(answer)
        }
    }
}

impl TryOutcome {
    /// Says whether the request may have run at the endpoint.
    const fn verdict(&self) -> RequestVerdict {
        match self {
            TryOutcome::Answer(_) | TryOutcome::Failed(_) => RequestVerdict::Ran,
            TryOutcome::NotRun => RequestVerdict::NotRun,
            TryOutcome::Lost => RequestVerdict::MayHaveRun,
        }
    }
}

impl fmt::Display for TryOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TryOutcome::Answer(_) => f.write_str("answered"),
            TryOutcome::Failed(answer) => write!(f, "failed with {}", answer.status()),
            TryOutcome::NotRun => f.write_str("not run"),
            TryOutcome::Lost => f.write_str("no answer"),
        }
    }
}

use {
    crate::{
        connection::{ChannelFault, PooledChannel},
        process::{GatewayState, RunningRequest},
        request::{
            caller_request::strip_hop_headers, refusal_reply::refusal, CallerBody, CallerRequest,
        },
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::EndpointId,
        process::{EndpointEntry, ServiceChoice},
        request::{RefusalCause, RequestVerdict},
        version::{RouteRule, ServiceRule},
    },
    http::{header, HeaderValue, Request, Response, StatusCode},
    http_body_util::{BodyExt as _, Full, Limited},
    hyper::body::Incoming,
    std::{fmt, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// A request to a plain service: sent whole, answered whole.
pub(super) struct PlainCall {
    state: Rc<GatewayState>,
    rule: RouteRule,
    service: ServiceRule,
    request: CallerRequest,
    running: RunningRequest,
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

    pub(super) fn new(
        state: Rc<GatewayState>,
        rule: RouteRule,
        service: ServiceRule,
        request: CallerRequest,
        running: RunningRequest,
    ) -> Self {
        Self { state, rule, service, request, running }
    }

    pub(super) async fn run(self) -> Response<CallerBody> {
        let _running = &self.running;
        self.state.note_request(&self.service.service);
        let mut avoided: Vec<EndpointId> = Vec::new();
        let mut verdict = RequestVerdict::NotRun;
        let mut failed = None;
        let mut sent = 0;
        for number in 0..Self::MAX_TRIES {
            if sent >= self.rule.attempts.max(1) || self.time_left().is_zero() {
                break;
            }
            if sent > 0 && !self.state.take_retry(&self.service.service) {
                break;
            }
            let Some(entry) = self.choose(&avoided) else { break };
            avoided.push(entry.endpoint.clone());
            let outcome = self.try_once(&entry, &mut sent).await;
            self.note_try(number, &entry, &outcome);
            match outcome {
                TryOutcome::Answer(answer) => return answer,
                TryOutcome::NotRun => {}
                TryOutcome::Failed(answer) => {
                    verdict = RequestVerdict::Ran;
                    failed = Some(answer);
                }
                TryOutcome::Lost => verdict = RequestVerdict::MayHaveRun,
            }
            if verdict != RequestVerdict::NotRun && !self.rule.kind.is_repeatable() {
                break;
            }
        }
        failed.unwrap_or_else(|| self.give_up(verdict, avoided.len()))
    }

    fn note_try(&self, number: u32, entry: &EndpointEntry, outcome: &TryOutcome) {
        if !matches!(outcome, TryOutcome::Answer(_)) {
            LogEvent::TryFailed.log(format_args!(
                "request {} try {number} at {}: {outcome}; {}",
                self.request.id,
                entry.endpoint,
                self.state.knowledge(),
            ));
        }
    }

    /// Answers a request that no endpoint has answered.
    fn give_up(&self, verdict: RequestVerdict, tried: usize) -> Response<CallerBody> {
        let cause = match verdict {
            RequestVerdict::NotRun if tried == 0 => RefusalCause::NoEndpoint,
            RequestVerdict::NotRun => RefusalCause::Overloaded,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => RefusalCause::EndpointFailed,
        };
        self.state.metrics.refused(cause);
        LogEvent::RequestRefused.log(format_args!(
            "request {} route {}: {cause}, {verdict} after {tried} tries; {}",
            self.request.id,
            self.rule.name,
            self.state.knowledge(),
        ));
        let pause = Self::RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
        refusal(cause, (verdict == RequestVerdict::NotRun).then_some(pause))
    }

    fn time_left(&self) -> Duration {
        self.request.time_left(self.rule.timeout, self.state.now())
    }

    fn choose(&self, avoided: &[EndpointId]) -> Option<EndpointEntry> {
        let choice = ServiceChoice {
            service: &self.service.service,
            zone: &self.state.profile.zone,
            avoided,
            runs_once: !self.rule.kind.is_repeatable(),
        };
        self.state.directory.borrow().choose(&choice, self.state.now()).cloned()
    }

    async fn try_once(&self, entry: &EndpointEntry, sent: &mut u32) -> TryOutcome {
        let guard = self.state.dispatched(&entry.endpoint);
        let began = self.state.now();
        let runs_once = !self.rule.kind.is_repeatable();
        let limit = Self::CONNECT_LIMIT.min(self.time_left());
        let opened = self.state.pool.checkout(entry.address, runs_once, began, limit).await;
        let mut channel = match opened {
            Ok(channel) => channel,
            Err(fault) => return self.failed(entry, &fault),
        };
        if !channel.is_reused {
            self.state.metrics.channel_opened();
        }
        let Some(request) = self.outgoing(entry) else { return TryOutcome::NotRun };
        *sent += 1;
        let answer = match channel.channel.send(request, self.time_left()).await {
            Ok(answer) => answer,
            Err(ChannelFault::Unsent) => {
                *sent -= 1;
                return TryOutcome::NotRun;
            }
            Err(fault) => return self.failed(entry, &fault),
        };
        let outcome = self.read_answer(entry, channel, answer).await;
        if let TryOutcome::Answer(_) = &outcome {
            let latency = self.state.now().since(began);
            self.state.directory.borrow_mut().succeeded(&entry.endpoint, Some(latency));
        }
        drop(guard);
        outcome
    }

    fn failed(&self, entry: &EndpointEntry, fault: &ChannelFault) -> TryOutcome {
        self.state.endpoint_failed(&entry.endpoint, fault);
        match fault.verdict() {
            RequestVerdict::NotRun => TryOutcome::NotRun,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => TryOutcome::Lost,
        }
    }

    fn outgoing(&self, entry: &EndpointEntry) -> Option<Request<Full<Bytes>>> {
        let names = self.state.codec.header_names();
        let headers =
            self.request.outgoing_headers(names, entry.endpoint.as_str(), self.state.now());
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    async fn read_answer(
        &self,
        entry: &EndpointEntry,
        mut channel: PooledChannel,
        answer: Response<Incoming>,
    ) -> TryOutcome {
        let names = self.state.codec.header_names();
        let echoed = answer.headers().get(&names.request_id);
        if echoed.is_some_and(|id| id.as_bytes() != self.request.id.as_bytes()) {
            return self.failed(entry, &ChannelFault::Silent);
        }
        let may_keep = channel.note_head(answer.headers());
        let (mut parts, body) = answer.into_parts();
        let reading = Limited::new(body, Self::MAX_ANSWER_BYTES).collect();
        let body = match timeout(self.time_left(), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(_)) | Err(_) => return self.failed(entry, &ChannelFault::Silent),
        };
        if may_keep && channel.channel.settle(Self::SETTLE_LIMIT).await {
            let most = self.state.idle_share(&self.service);
            channel.close(&self.state.pool, most, self.state.now());
        }
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        if is_misdirected || parts.headers.contains_key(&names.not_run) {
            self.state.endpoint_refused(&entry.endpoint, is_misdirected);
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

impl fmt::Display for TryOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TryOutcome::Answer(_) => f.write_str("answered"),
            TryOutcome::Failed(answer) => write!(f, "failed with {}", answer.status()),
            TryOutcome::NotRun => f.write_str("not run"),
            TryOutcome::Lost => f.write_str("no answer, may have run"),
        }
    }
}

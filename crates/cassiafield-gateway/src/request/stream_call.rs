use {
    crate::{
        connection::{ChannelFault, PooledChannel},
        request::{
            call_context::CallContext,
            caller_request::strip_hop_headers,
            refusal_reply::refusal,
            stream_pump::{PieceOutcome, StreamAttempt, StreamPump},
            CallerBody,
        },
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, ModelId},
        process::{PathError, PlannedPath},
        request::{EventSplitter, RefusalCause, RequestVerdict, StageRoute},
        version::{RequestKind, ServiceRule},
    },
    http::{HeaderValue, Request, Response, StatusCode},
    http_body_util::{BodyExt as _, Full},
    hyper::body::Incoming,
    std::{cell::Cell, net::SocketAddrV4, pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// A request whose answer is a stream of events from a path of model endpoints.
pub(super) struct StreamCall {
    pub(super) context: CallContext,
    /// Endpoints that failed this request.
    pub(super) avoided: Vec<EndpointId>,
    /// Endpoints of paths that fell silent though all their endpoints live; they are used again if
    /// there is no other path.
    pub(super) suspected: Vec<EndpointId>,
    /// Times that the request was sent.
    pub(super) sent: u32,
    /// Endpoints that the request was sent to.
    pub(super) sent_to: Vec<EndpointId>,
    /// Why there was no path when one was last sought in vain.
    pub(super) bottleneck: Cell<Option<PathError>>,
    pub(super) model: ModelId,
    pub(super) prompt: u32,
    pub(super) answer: u32,
}

/// Why an attempt gave no stream.
pub(super) enum AttemptFault {
    /// No path can take the request now.
    NoPath(RefusalCause),
    /// The endpoint did not run the request.
    NotRun,
    /// The request may have run, and nothing came of it.
    Lost,
    /// The endpoint answered with a failure of its own.
    Failed(Box<Response<CallerBody>>),
}

impl StreamCall {
    /// Longest time for a new connection to an endpoint.
    const CONNECT_LIMIT: Duration = Duration::from_millis(250);
    /// Longest time from sending a request to the head of its answer; above the time that a
    /// working path takes under load, below the pause after which callers leave.
    const HEAD_LIMIT: Duration = Duration::from_millis(1_700);
    /// Shortest wait for the head of an answer before the endpoints of its path are asked whether
    /// they live; a request that meets a dead one then still has half of a usual objective.
    const HEAD_CHECK_MIN: Duration = Duration::from_millis(150);
    /// Further wait, in multiples of the expected time to the first event; prompts that came before
    /// are read first.
    const HEAD_CHECK_FACTOR: u32 = 2;
    /// Times that a request may be sent in all, whichever endpoints it goes to.
    const MAX_SENDS: u32 = 5;
    /// Part of the objective for which a request waits for memory; the rest is for the first event.
    const WAIT_PART: f64 = 0.5;
    /// Shortest pause after which a caller is told to retry; the longest is three times that. Most
    /// streams that run now end within it, and callers return one by one.
    const RETRY_AFTER: Duration = Duration::from_millis(1_500);
    /// Pieces of an answer that may wait for a slow caller.
    const PIECES_WAITING: usize = 16;

    pub(super) fn new(context: CallContext) -> Self {
        let CallContext { state, service, request, .. } = &context;
        let names = state.codec.header_names();
        let counts = request.token_counts(names);
        let usual = service
            .engine
            .as_ref()
            .map_or((0, 0), |e| (e.mean_prompt_tokens, e.mean_answer_tokens));
        let (prompt, most) = counts.unwrap_or((usual.0, usual.1));
        let hint = request.number(&names.answer_hint).and_then(|hint| u32::try_from(hint).ok());
        let answer = hint.unwrap_or(usual.1).min(most.max(1));
        let model = request
            .headers
            .get(&names.model)
            .and_then(|value| value.to_str().ok())
            .and_then(|name| name.parse().ok());
        // A path is planned by service; the model's name only labels the route.
        let model = model.unwrap_or_else(|| unnamed_model(service));
        Self {
            context,
            avoided: Vec::new(),
            suspected: Vec::new(),
            sent: 0,
            sent_to: Vec::new(),
            bottleneck: Cell::new(None),
            model,
            prompt,
            answer,
        }
    }

    pub(super) async fn run(mut self) -> Response<CallerBody> {
        self.context.state.note_request(&self.context.service.service);
        let start = self
            .context
            .request
            .number(&self.context.state.codec.header_names().last_event)
            .unwrap_or(0);
        let mut verdict = RequestVerdict::NotRun;
        let mut cause = RefusalCause::NoEndpoint;
        for number in 0..Self::MAX_SENDS {
            if !self.may_send() {
                break;
            }
            match self.attempt(start, self.first_wait()).await {
                Ok((head, attempt, first)) => return self.relay(head, attempt, first),
                Err(AttemptFault::NoPath(found)) => {
                    if number == 0 {
                        cause = found;
                    }
                    break;
                }
                Err(AttemptFault::NotRun) => cause = RefusalCause::Overloaded,
                Err(AttemptFault::Lost) => verdict = RequestVerdict::MayHaveRun,
                Err(AttemptFault::Failed(answer)) => {
                    let status = answer.status().as_u16();
                    self.context
                        .note_answered(self.sent, format_args!("status {status} passed on"));
                    return *answer;
                }
            }
            if verdict != RequestVerdict::NotRun && !self.context.rule.kind.is_repeatable() {
                break;
            }
        }
        self.give_up(verdict, cause)
    }

    /// Says whether the request may be sent once more.
    pub(super) fn may_send(&self) -> bool {
        let has_time = !self.context.time_left().is_zero();
        has_time
            && self.sent < Self::MAX_SENDS
            && (self.sent == 0 || self.context.state.take_retry(&self.context.service.service))
    }

    pub(super) fn may_resume(&self) -> bool {
        self.context.rule.kind == RequestKind::ResumableStream && self.may_send()
    }

    /// Returns how long a request that just came may wait for memory.
    fn first_wait(&self) -> Duration {
        let waited = self.context.state.now().since(self.context.request.arrived);
        self.context.rule.objective.mul_f64(Self::WAIT_PART).saturating_sub(waited)
    }

    fn give_up(&self, verdict: RequestVerdict, cause: RefusalCause) -> Response<CallerBody> {
        let is_not_run = verdict == RequestVerdict::NotRun;
        let cause = if is_not_run { cause } else { RefusalCause::EndpointFailed };
        self.context.state.metrics.refused(cause);
        let bottleneck = match self.bottleneck.get() {
            Some(error) => format!("{error}{}", self.describe_bottleneck(error)),
            None => self.last_word().to_owned(),
        };
        self.context
            .decision(LogEvent::RequestRefused)
            .cause(cause)
            .verdict(verdict)
            .sends(self.sent)
            .log(format_args!(
                "{bottleneck}; route {}, tokens {}+{}",
                self.context.rule.name, self.prompt, self.answer,
            ));
        let pause = Self::RETRY_AFTER.mul_f64(1.0 + 2.0 * fastrand::f64());
        refusal(cause, is_not_run.then_some(pause))
    }

    /// Says why the request is not sent once more though there may be a path.
    fn last_word(&self) -> &'static str {
        if self.context.time_left().is_zero() {
            "its time is over"
        } else if self.sent >= Self::MAX_SENDS {
            "it was sent as often as allowed"
        } else {
            "the retry budget is used up"
        }
    }

    /// Sends the request over a path and waits for the first events after `last_event`; waits up to
    /// `wait` for memory.
    pub(super) async fn attempt(
        &mut self,
        last_event: u64,
        wait: Duration,
    ) -> Result<(Response<()>, StreamAttempt, Bytes), AttemptFault> {
        let path = self.plan_in_time(wait).await?;
        let Some(first) = path.route.stages().first().cloned() else {
            return Err(AttemptFault::NoPath(RefusalCause::NoEndpoint));
        };
        let Ok(address) = first.address.parse::<SocketAddrV4>() else {
            return Err(AttemptFault::NoPath(RefusalCause::NoEndpoint));
        };
        let booked = self.context.state.book(&path.route, self.prompt + self.answer / 2);
        let now = self.context.state.now();
        let limit = Self::CONNECT_LIMIT.min(self.context.time_left());
        let opened = self.context.state.pool.checkout(address, false, now, limit).await;
        let mut channel = match opened {
            Ok(channel) => channel,
            Err(fault) => return Err(self.channel_failed(&first.endpoint, &fault)),
        };
        if !channel.is_reused {
            self.context.state.metrics.channel_opened();
        }
        let request = self
            .outgoing(&path, last_event)
            .ok_or(AttemptFault::NoPath(RefusalCause::BadRequest))?;
        self.sent += 1;
        self.context.note_sent();
        if !self.sent_to.contains(&first.endpoint) {
            self.sent_to.push(first.endpoint.clone());
        }
        let sent_at = self.context.state.now();
        let answer = match self.await_head(&mut channel, request, &path).await {
            Ok(answer) => answer,
            Err(ChannelFault::Unsent) => {
                self.sent -= 1;
                return Err(AttemptFault::NotRun);
            }
            // A path may be silent because of any of its endpoints; those at fault were found.
            Err(ChannelFault::Silent) => {
                let stages = path.route.stages().iter();
                self.suspected.extend(stages.map(|stage| stage.endpoint.clone()));
                return Err(AttemptFault::Lost);
            }
            Err(fault) => return Err(self.channel_failed(&first.endpoint, &fault)),
        };
        if self.context.is_of_another(answer.headers()) {
            return Err(self.channel_failed(&first.endpoint, &ChannelFault::Silent));
        }
        let may_keep = channel.note_head(answer.headers());
        if answer.status() != StatusCode::OK {
            return Err(self.refused(&path.route, answer).await);
        }
        let (parts, body) = answer.into_parts();
        let splitter = if last_event == 0 {
            EventSplitter::anywhere()
        } else {
            EventSplitter::after(last_event)
        };
        let mut attempt =
            StreamAttempt { channel, may_keep, body, splitter, route: path.route.clone(), booked };
        let head = Response::from_parts(parts, ());
        match attempt.next_piece(&self.context.state, self.context.time_left()).await {
            PieceOutcome::Events(first) => {
                let now = self.context.state.now();
                self.context.decision(LogEvent::StreamStarted).sends(self.sent).log(format_args!(
                    "{} ms after its arrival, {} ms after it was sent; planned first {:.1} ms, token {:.1} ms; tokens {}+{}; route {}",
                    now.since(self.context.request.arrived).as_millis(),
                    now.since(sent_at).as_millis(),
                    path.first_token_ms,
                    path.token_ms,
                    self.prompt,
                    self.answer,
                    attempt.describe(),
                ));
                Ok((head, attempt, first))
            }
            PieceOutcome::End => Ok((head, attempt, Bytes::new())),
            PieceOutcome::Fault(fault) => {
                self.note_fault(&attempt, &fault);
                Err(AttemptFault::Lost)
            }
        }
    }

    /// Sends a request and waits for the head of its answer for as long as the path's endpoints
    /// live.
    async fn await_head(
        &mut self,
        channel: &mut PooledChannel,
        request: Request<Full<Bytes>>,
        path: &PlannedPath,
    ) -> Result<Response<Incoming>, ChannelFault> {
        let route = &path.route;
        let check = Self::head_check(path);
        let began = self.context.state.now();
        let limit = Self::HEAD_LIMIT.min(self.context.time_left());
        let state = Rc::clone(&self.context.state);
        let mut sending = pin!(channel.channel.send(request, limit));
        loop {
            let silent = tokio::select! {
                result = sending.as_mut() => return result,
                silent = state.found_silent(route) => silent,
                () = sleep(check) => state.silent_endpoints(route).await,
            };
            if !silent.is_empty() {
                let time = state.now().since(began);
                self.context.decision(LogEvent::StreamBroken).sends(self.sent).log(format_args!(
                    "no answer after {} ms; silent: {}",
                    time.as_millis(),
                    names_of(&silent),
                ));
                self.avoided.extend(silent);
                return Err(ChannelFault::Silent);
            }
        }
    }

    /// Returns how long a request waits for the head of its answer before the endpoints of its
    /// path are asked whether they live.
    fn head_check(path: &PlannedPath) -> Duration {
        let expected = Duration::from_secs_f64(path.first_token_ms.max(0.0) / 1e3);
        let check = Self::HEAD_CHECK_MIN + expected * Self::HEAD_CHECK_FACTOR;
        check.min(StreamAttempt::STALL_CHECK)
    }

    fn outgoing(&self, path: &PlannedPath, last_event: u64) -> Option<Request<Full<Bytes>>> {
        let codec = &self.context.state.codec;
        let first = path.route.stages().first()?;
        let mut message = self.context.message(&first.endpoint)?;
        let headers = message.headers_mut();
        let hops = HeaderValue::from_str(&codec.layer_path(&path.route)).ok()?;
        headers.insert(codec.header_names().layer_path.clone(), hops);
        if last_event > 0 {
            let last = HeaderValue::from(last_event);
            headers.insert(codec.header_names().last_event.clone(), last);
        }
        Some(message)
    }

    fn channel_failed(&mut self, endpoint: &EndpointId, fault: &ChannelFault) -> AttemptFault {
        self.context.state.endpoint_failed(endpoint, fault);
        self.avoided.push(endpoint.clone());
        match fault.verdict() {
            RequestVerdict::NotRun => AttemptFault::NotRun,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => AttemptFault::Lost,
        }
    }

    /// Takes an answer that is no stream.
    async fn refused(&mut self, route: &StageRoute, answer: Response<Incoming>) -> AttemptFault {
        let names = self.context.state.codec.header_names();
        let address = answer.headers().get(&names.failed_address);
        let address = address.and_then(|value| value.to_str().ok()).map(str::trim);
        // Another endpoint may be listed at the address of one that is gone.
        let stages = route.stages();
        let failed = stages.iter().find(|stage| Some(stage.address.as_str()) == address);
        let Some(endpoint) = failed.or(stages.first()).map(|stage| stage.endpoint.clone()) else {
            return AttemptFault::Lost;
        };
        let is_misdirected = answer.status() == StatusCode::MISDIRECTED_REQUEST;
        let not_run = is_misdirected || answer.headers().contains_key(&names.not_run);
        let verdict = if not_run { RequestVerdict::NotRun } else { RequestVerdict::Ran };
        self.context
            .decision(LogEvent::TryFailed)
            .verdict(verdict)
            .sends(self.sent)
            .endpoint(&endpoint)
            .log(format_args!("status {}; {}", answer.status(), self.describe_endpoint(&endpoint)));
        if not_run {
            self.context.state.endpoint_refused(&endpoint, is_misdirected);
            if is_misdirected || !self.context.state.is_alive(&endpoint).await {
                self.avoided.push(endpoint);
            } else if self.is_nearly_full(&endpoint) {
                let now = self.context.state.now();
                self.context.state.load.borrow_mut().mark_full(endpoint, now);
            } else {
                // The list may not say yet that it leaves or gives up its layers.
                let now = self.context.state.now();
                self.context.state.directory.borrow_mut().record_failure(&endpoint, now);
                self.avoided.push(endpoint);
            }
            return AttemptFault::NotRun;
        }
        let (mut parts, body) = answer.into_parts();
        match timeout(Self::HEAD_LIMIT.min(self.context.time_left()), body.collect()).await {
            Ok(Ok(body)) => {
                strip_hop_headers(&mut parts.headers);
                let body = CallerBody::whole(body.to_bytes());
                AttemptFault::Failed(Box::new(Response::from_parts(parts, body)))
            }
            Ok(Err(_)) | Err(_) => AttemptFault::Lost,
        }
    }

    /// Answers with a stream whose first events have come.
    fn relay(
        self,
        head: Response<()>,
        attempt: StreamAttempt,
        first: Bytes,
    ) -> Response<CallerBody> {
        let (sender, receiver) = mpsc::channel(Self::PIECES_WAITING);
        let (mut parts, ()) = head.into_parts();
        let length = parts.headers.get(http::header::CONTENT_LENGTH).cloned();
        strip_hop_headers(&mut parts.headers);
        if let Some(length) = length {
            parts.headers.insert(http::header::CONTENT_LENGTH, length);
        }
        tokio::task::spawn_local(StreamPump::new(self, attempt, sender).run(first));
        Response::from_parts(parts, CallerBody::pieces(receiver))
    }

    pub(super) fn note_fault(
        &mut self,
        attempt: &StreamAttempt,
        fault: &super::stream_pump::PieceFault,
    ) {
        self.context.decision(LogEvent::StreamBroken).sends(self.sent).log(format_args!(
            "{fault} after event {}; route {}",
            attempt.splitter.last().unwrap_or(0),
            attempt.describe(),
        ));
        self.avoided.extend(fault.blamed(attempt));
        if fault.has_no_culprit() {
            let stages = attempt.route.stages().iter();
            self.suspected.extend(stages.map(|stage| stage.endpoint.clone()));
        }
    }
}

/// Returns endpoints as text for the log.
pub(super) fn names_of(endpoints: &[EndpointId]) -> String {
    let names: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
    names.join(", ")
}

/// Returns a label for routes of a service whose requests name no model.
fn unnamed_model(service: &ServiceRule) -> ModelId {
    let name = service.service.as_str();
    name.parse().unwrap_or_else(|_| unreachable!("service names and model names are alike"))
}

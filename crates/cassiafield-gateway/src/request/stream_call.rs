use {
    crate::{
        admission::WaitSummary,
        connection::{ConnectionError, ConnectionNeed, PooledConnection},
        process::{EndpointExchange, ReservedLoad, SendTurn, SenderKind},
        request::{
            call_context::CallContext,
            caller_request::strip_hop_headers,
            carried_call::is_promise,
            failed_endpoints::FailedEndpoints,
            stream_path::QueueWait,
            stream_relay::{ReadOutcome, StreamAttempt, StreamRelay},
            stream_source::{StallCause, StreamSource},
            ResponseBody,
        },
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        connections::ConnectionPurpose,
        ids::{EndpointId, EventId, HostId, ModelId},
        process::{BlockedSubject, PathError, PlannedPath},
        request::{
            EventSplitter, GiveUpReason, RefusalCause, RequestVerdict, StageRoute, StreamPosition,
            StreamTimeouts,
        },
        version::{RequestKind, ServiceRule},
    },
    http::{header, HeaderMap, HeaderValue, Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddrV4,
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::mpsc, time::sleep},
};

/// Media type of a stream of events.
const EVENT_STREAM: &[u8] = b"text/event-stream";

/// A request whose response is a stream of events from a path of model endpoints.
pub(super) struct StreamCall {
    pub(super) context: CallContext,
    /// Endpoints that the request must not be sent to again.
    pub(super) excluded: Vec<EndpointId>,
    /// Endpoints that a stream may return to once they respond, if there is no other path.
    pub(super) failed: FailedEndpoints,
    /// Endpoints of paths that stalled although all their endpoints responded to probes.
    ///
    /// They are used only if there is no other path.
    pub(super) suspects: Vec<EndpointId>,
    /// Number of times that the request was sent.
    pub(super) sends: u32,
    /// First endpoints of the paths that the request was sent over, or may be by hosts that carry it.
    pub(super) sent_to: Vec<EndpointId>,
    /// Whether paths must start at an endpoint in `sent_to`.
    pub(super) is_limited_to_sent_to: bool,
    /// Number of hosts that accepted the request and did not respond; each may have sent it.
    pub(super) unanswered: u32,
    /// Reservation of a stalled path that the next one may replace.
    pub(super) replaced: RefCell<Option<ReservedLoad>>,
    /// Why the last failed planning found no path.
    pub(super) bottleneck: Cell<Option<PathError>>,
    /// How the request waited for room in vain, if it did.
    pub(super) last_wait: Cell<Option<WaitSummary>>,
    pub(super) model: ModelId,
    /// Number of endpoints that ended under this request before its answer was under way.
    pub(super) ends: u32,
    /// Whether the caller has got a part of the answer.
    pub(super) has_begun: Cell<bool>,
    /// `Content-Type` of the answer that the caller is receiving.
    content_type: Option<HeaderValue>,
    /// Hosts that failed to carry this request.
    pub(super) failed_carriers: Vec<HostId>,
    /// What of the request is kept from endpoints, if that was found.
    pub(super) blocked: Option<BlockedSubject>,
    pub(super) prompt_tokens: u32,
    /// Expected number of output tokens.
    pub(super) output_tokens: u32,
}

/// Why an attempt yielded no stream.
pub(super) enum AttemptError {
    /// No path is available.
    NoPath(RefusalCause),
    /// No host carries the request, and this one has no way to endpoints.
    OutOfReach,
    /// The retry budget is used up.
    NoRetry,
    /// The endpoint did not run the request.
    NotRun,
    /// No connection to the endpoint could be opened.
    Unreachable,
    /// The request may have run, but there is no response.
    MayHaveRun,
    /// The endpoint responded with an error.
    Failed(Box<Response<ResponseBody>>),
}

impl StreamCall {
    /// Timeout of opening a connection to an endpoint.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
    /// Maximum size of an endpoint's description of an error, in bytes.
    pub(super) const MAX_ERROR_BYTES: usize = 256 * 1_024;
    /// Maximum number of sends of a request, over all endpoints.
    pub(super) const MAX_SENDS: u32 = 5;
    /// Time after which callers may return whose prompt is kept from endpoints.
    pub(super) const BLOCKED_RETRY_DELAY: Duration = Duration::from_secs(60);
    /// Minimum retry delay advised to callers while this host has no way to endpoints; jitter raises it
    /// up to twofold. Callers return to other hosts.
    pub(super) const OUT_OF_REACH_RETRY_DELAY: Duration = Duration::from_millis(400);
    /// Maximum number of response chunks buffered for a slow caller.
    const MAX_BUFFERED_CHUNKS: usize = 16;

    pub(super) fn new(context: CallContext) -> Self {
        let CallContext { state, service, request, .. } = &context;
        let names = state.codec.header_names();
        let counts = request.token_counts(names);
        let mean_counts = service
            .engine
            .as_ref()
            .map_or((0, 0), |e| (e.mean_prompt_tokens, e.mean_output_tokens));
        let (prompt_tokens, max_output_tokens) = counts.unwrap_or((mean_counts.0, mean_counts.1));
        let hint = request.header_u64(&names.length_hint).and_then(|hint| u32::try_from(hint).ok());
        let output_tokens = hint.unwrap_or(mean_counts.1).min(max_output_tokens.max(1));
        let model = request
            .headers
            .get(&names.model)
            .and_then(|value| value.to_str().ok())
            .and_then(|name| name.parse().ok());
        // Paths are planned per service; the model name only labels the route.
        let model = model.unwrap_or_else(|| fallback_model(service));
        let note = context.note.as_ref();
        let (sends, ends) = note.map_or((0, 0), |note| (note.sends, note.ends));
        let unanswered = note.map_or(0, |note| note.unanswered);
        let sent_to = note.map(|note| note.sent_to.clone()).unwrap_or_default();
        Self {
            context,
            excluded: Vec::new(),
            failed: FailedEndpoints::default(),
            suspects: Vec::new(),
            sends,
            sent_to,
            is_limited_to_sent_to: false,
            unanswered,
            replaced: RefCell::default(),
            bottleneck: Cell::new(None),
            last_wait: Cell::new(None),
            model,
            ends,
            has_begun: Cell::new(false),
            content_type: None,
            failed_carriers: Vec::new(),
            blocked: None,
            prompt_tokens,
            output_tokens,
        }
    }

    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        if self.context.note.is_none() {
            self.context.state.record_request(&self.context.service.service);
        }
        let start = self.context.request.stream_position(self.context.state.codec.header_names());
        let mut verdict = RequestVerdict::NotRun;
        let mut cause = RefusalCause::NoEndpoint;
        if self.is_blocked() {
            return self.refuse(verdict, RefusalCause::PromptBlocked);
        }
        for number in 0..Self::MAX_SENDS {
            if self.context.needs_carrier() {
                // The other host asks for a retry once it has a path.
                if self.context.remaining_time().is_zero() {
                    break;
                }
            } else {
                // A retry without a path would waste the budget.
                match self.plan_repeat(start).await {
                    Ok(()) => {}
                    Err(_) if self.context.needs_carrier() => continue,
                    Err(found) => {
                        if number == 0 {
                            cause = found;
                        }
                        break;
                    }
                }
                if !self.acquire_send().await {
                    break;
                }
            }
            match self.attempt(start, self.queue_wait(start)).await {
                Ok((head, attempt, first)) => return self.start_relay(head, attempt, first),
                Err(AttemptError::NoPath(found)) => {
                    if number == 0 || found == RefusalCause::PromptBlocked {
                        cause = found;
                    }
                    break;
                }
                Err(AttemptError::NotRun) => cause = RefusalCause::Overloaded,
                Err(AttemptError::Unreachable) => cause = RefusalCause::Unreachable,
                Err(AttemptError::OutOfReach) => {
                    cause = RefusalCause::Unreachable;
                    break;
                }
                Err(AttemptError::NoRetry) => break,
                Err(AttemptError::MayHaveRun) => verdict = RequestVerdict::MayHaveRun,
                Err(AttemptError::Failed(response))
                    if verdict != RequestVerdict::NotRun && is_promise(response.status()) =>
                {
                    // It holds for what another host did, not for what this one had done before.
                    break;
                }
                Err(AttemptError::Failed(response)) => {
                    let status = response.status().as_u16();
                    self.context
                        .record_completion(self.sends, format_args!("status {status} forwarded"));
                    return *response;
                }
            }
            if verdict != RequestVerdict::NotRun && !self.context.rule.kind.is_retryable() {
                break;
            }
        }
        self.refuse(verdict, cause)
    }

    /// Returns `true` if the request may be sent now.
    ///
    /// Every send but the first takes from the retry budget.
    pub(super) async fn acquire_send(&self) -> bool {
        let has_time = !self.context.remaining_time().is_zero();
        has_time
            && self.sends < Self::MAX_SENDS
            && self.may_repeat()
            && (self.sends == 0 || self.context.acquire_retry().await)
    }

    /// Takes what the stream needs to be sent again.
    ///
    /// # Errors
    ///
    /// Returns why it must not be sent again now.
    pub(super) async fn acquire_resume(&self) -> Result<(), GiveUpReason> {
        if let Some(reason) = self.resume_refusal() {
            return Err(reason);
        }
        if self.acquire_send().await {
            return Ok(());
        }
        Err(self.resume_refusal().unwrap_or(GiveUpReason::RetryBudget))
    }

    /// Returns why the stream must not be sent again, apart from the retry budget; `None` if it may.
    pub(super) fn resume_refusal(&self) -> Option<GiveUpReason> {
        if self.context.remaining_time().is_zero() {
            Some(GiveUpReason::DeadlineExceeded)
        } else if self.context.rule.kind != RequestKind::ResumableStream {
            Some(GiveUpReason::NotResumable)
        } else if self.sends >= Self::MAX_SENDS || !self.may_repeat() {
            Some(GiveUpReason::SendLimit)
        } else if self.context.state.blocked_subject(self.context.known_identity()).is_some() {
            Some(GiveUpReason::PromptBlocked)
        } else if self.context.note.is_some()
            && self.context.state.is_out_of_reach(&self.context.service.service)
        {
            Some(GiveUpReason::OutOfReach)
        } else {
            None
        }
    }

    /// Plans a path, sends the request over it and waits for the first events after `position`.
    ///
    /// Planning waits for memory as `wait` allows.
    pub(super) async fn attempt(
        &mut self,
        position: StreamPosition,
        wait: QueueWait,
    ) -> Result<(Response<()>, StreamAttempt, Bytes), AttemptError> {
        if self.context.needs_carrier() {
            return self.attempt_elsewhere(position).await;
        }
        if self.context.state.is_out_of_reach(&self.context.service.service) {
            return Err(AttemptError::OutOfReach);
        }
        self.context.is_carried.set(false);
        let state = Rc::clone(&self.context.state);
        // Held until the answer has begun or has failed to.
        let _suspect_turn = state.suspect_turn(self.context.known_identity(), self.ends).await;
        if self.is_blocked() {
            return Err(AttemptError::NoPath(RefusalCause::PromptBlocked));
        }
        let planned = self.plan_with_turn(wait).await;
        if planned.is_err() && self.context.needs_carrier() {
            return self.attempt_elsewhere(position).await;
        }
        let (path, turn) = planned?;
        let Some(first) = path.route.stages().first().cloned() else {
            return Err(AttemptError::NoPath(RefusalCause::NoEndpoint));
        };
        let Ok(address) = first.address.parse::<SocketAddrV4>() else {
            return Err(AttemptError::NoPath(RefusalCause::NoEndpoint));
        };
        let tokens = self.prompt_tokens + self.output_tokens / 2;
        let organisation = self.context.request.organisation.as_ref();
        let mut reservation = self.context.state.reserve(&path.route, tokens, organisation);
        if let Some(objective) = self.context.rule.event_gap_objective {
            reservation.track_pace(path.parts.clone(), objective);
        }
        let now = self.context.state.now();
        let connect_timeout = Self::CONNECT_TIMEOUT.min(self.context.remaining_time());
        let need = ConnectionNeed { at_most_once: false, request_id: &self.context.request.id };
        let opened = self.context.state.pool.checkout(address, need, now, connect_timeout).await;
        let connection = match opened {
            Ok(connection) => connection,
            Err(error) => {
                return Err(self.record_connection_failure(&first.endpoint, error, now).await)
            }
        };
        let is_reused = connection.is_reused;
        self.context.state.record_connection_use(ConnectionPurpose::Stream, is_reused);
        if !is_reused {
            self.context.state.metrics.count_connection();
            self.context.state.record_connection(&self.context.service.service, now);
        }
        let request = self
            .stream_request(&path, position)
            .ok_or(AttemptError::NoPath(RefusalCause::BadRequest))?;
        // The part may have been blocked while the request waited for memory or a connection.
        if self.is_blocked() {
            return Err(AttemptError::NoPath(RefusalCause::PromptBlocked));
        }
        if !self.begin_send(&path.route, &turn) {
            let state = &self.context.state;
            let allowance = state.idle_allowance(&self.context.service, &first.endpoint);
            let now = state.now();
            connection.return_to(&state.pool, allowance, now);
            return Err(AttemptError::NotRun);
        }
        self.sends += 1;
        self.context.record_send();
        if self.ends > 0 {
            self.context.state.metrics.count_send_after_end();
        }
        self.record_transfers(&path);
        self.context.record_prefix_request(&self.model, &path);
        if !self.sent_to.contains(&first.endpoint) {
            self.sent_to.push(first.endpoint.clone());
        }
        let sent_at = self.context.state.now();
        let life = self.context.state.life_of(&first.endpoint);
        let exchange = self.context.exchange(life.clone(), SenderKind::Stream);
        let answered = self.await_response_head(exchange, connection, request, &path).await;
        let (response, mut connection) = match answered {
            Ok(answered) => answered,
            Err(ConnectionError::Unsent) => {
                self.sends -= 1;
                turn.close();
                return Err(AttemptError::NotRun);
            }
            Err(ConnectionError::TimedOut) if self.context.needs_carrier() => {
                return Err(AttemptError::MayHaveRun)
            }
            // Any endpoint of the path may be the cause; those that failed a probe are in `failed`
            // already.
            Err(ConnectionError::TimedOut) => {
                self.context
                    .decision(LogEvent::TryFailed)
                    .verdict(RequestVerdict::MayHaveRun)
                    .sends(self.sends)
                    .endpoint(&first.endpoint)
                    .log(format_args!("no answer in time; route {}", describe_route(&path.route)));
                let stages = path.route.stages().iter();
                let is_unexplained =
                    !stages.clone().any(|stage| self.failed.contains(&stage.endpoint));
                self.suspects.extend(stages.map(|stage| stage.endpoint.clone()));
                if is_unexplained {
                    self.context.state.record_stall(path.route.stages(), sent_at);
                }
                return Err(AttemptError::MayHaveRun);
            }
            Err(error) => {
                self.record_break(&first.endpoint, &path.route).await;
                return Err(self.record_connection_failure(&first.endpoint, error, sent_at).await);
            }
        };
        self.context.state.record_answer(&self.context.service.service);
        let status = response.status();
        if !self.context.is_own_answer(response.headers()) {
            let error = ConnectionError::TimedOut;
            return Err(self.record_connection_failure(&first.endpoint, error, sent_at).await);
        }
        let is_reusable = connection.apply_response_head(response.headers());
        if status != StatusCode::OK {
            return Err(self.handle_error_response(&path.route, response).await);
        }
        if !self.continues_stream(response.headers()) {
            self.excluded.push(first.endpoint.clone());
            self.context
                .decision(LogEvent::TryFailed)
                .verdict(RequestVerdict::Ran)
                .sends(self.sends)
                .endpoint(&first.endpoint)
                .log("its answer is of another media type than the stream");
            return Err(AttemptError::MayHaveRun);
        }
        let (mut parts, body) = response.into_parts();
        self.context.pass_leaving_on(&life, &mut parts.headers);
        let is_framed = parts.headers.contains_key(header::CONTENT_LENGTH)
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        let mut attempt = StreamAttempt {
            connection,
            is_reusable,
            body,
            is_framed,
            splitter: EventSplitter::new(position),
            source: StreamSource::Path(path.route.clone()),
            reservation: Some(reservation),
            timeouts: self.timeouts(),
            typical_gap: self.expected_gap(&path),
            began_at: None,
            is_under_way: false,
        };
        let head = Response::from_parts(parts, ());
        let remaining_time = self.context.remaining_time();
        let may_leave = self.may_leave_stalled_path();
        match attempt.next_events(&self.context.state, remaining_time, may_leave, None).await {
            ReadOutcome::Events(first) => {
                let now = self.context.state.now();
                self.context.state.record_progress(path.route.stages());
                self.context.record_prefix_answer(&self.model, &path, sent_at);
                let received = attempt.splitter.position();
                self.context.decision(LogEvent::StreamStarted).sends(self.sends).log(format_args!(
                    "{} ms after its arrival, {} ms after it was sent; planned first {:.1} ms, token {:.1} ms; tokens {}+{}; asked after {position}, received up to {received}; route {}",
                    now.since(self.context.request.received_at).as_millis(),
                    now.since(sent_at).as_millis(),
                    path.first_token_ms,
                    path.token_ms,
                    self.prompt_tokens,
                    self.output_tokens,
                    attempt.source,
                ));
                Ok((head, attempt, first))
            }
            ReadOutcome::End | ReadOutcome::Doubtful(_) => Ok((head, attempt, Bytes::new())),
            ReadOutcome::Failed(error) => {
                let waited = self.context.state.now().since(sent_at);
                self.record_stream_error(&attempt, &error, waited);
                if error.is_break() {
                    self.record_break(&first.endpoint, &path.route).await;
                }
                Err(AttemptError::MayHaveRun)
            }
        }
    }

    /// Returns `true` unless the caller is receiving a stream that the answer cannot continue.
    pub(super) fn continues_stream(&self, head: &HeaderMap) -> bool {
        let found = head.get(header::CONTENT_TYPE);
        let is_event_stream = found.is_some_and(|value| {
            let media_type = value.as_bytes().split(|byte| *byte == b';').next();
            media_type.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(EVENT_STREAM))
        });
        !self.has_begun.get() || is_event_stream || found == self.content_type.as_ref()
    }

    /// Returns `true` if the request may be sent again after an endpoint did not respond.
    ///
    /// The unresponsive endpoint may have run it, and may still respond.
    pub(super) const fn may_leave_stalled_path(&self) -> bool {
        self.context.rule.kind.is_retryable()
    }

    /// Returns `true` unless too many endpoints ended under this request and others like it.
    pub(super) fn may_repeat(&self) -> bool {
        self.context.state.may_repeat(self.context.known_identity(), self.ends)
    }

    /// Returns `true` if the request, or a part of its prompt, is kept from endpoints.
    fn is_blocked(&mut self) -> bool {
        self.blocked = self.context.state.blocked_subject(self.context.known_identity());
        self.blocked.is_some()
    }

    /// Returns `true` if the request may be sent over a path now: no endpoint on it has asked for a
    /// pause, and the first one takes any rate of requests or the request has a turn.
    fn begin_send(&self, route: &StageRoute, turn: &SendTurn) -> bool {
        let state = &self.context.state;
        let Some((first, rest)) = route.stages().split_first() else { return false };
        !rest.iter().any(|stage| state.is_paused(&stage.endpoint))
            && state.begin_request(&first.endpoint, SenderKind::Stream, turn)
    }

    /// Sends a request and waits for the response head; if the request may be sent again, only
    /// while the path's endpoints respond to probes.
    async fn await_response_head(
        &mut self,
        exchange: EndpointExchange,
        connection: PooledConnection,
        request: Request<Full<Bytes>>,
        path: &PlannedPath,
    ) -> Result<(Response<Incoming>, PooledConnection), ConnectionError> {
        let (route, timeouts) = (&path.route, self.timeouts());
        let expected = planned_time(path.first_token_ms);
        let probe_delay = timeouts.head_probe_delay(expected);
        let may_leave = self.may_leave_stalled_path();
        let head_timeout = if may_leave { timeouts.head_timeout() } else { Duration::MAX };
        let response_timeout = head_timeout.min(self.context.remaining_time());
        let state = Rc::clone(&self.context.state);
        let started_at = state.now();
        let mut sending = pin!(exchange.send(connection, request, response_timeout));
        let mut failure = pin!(state.wait_for_path_failure(route.stages(), probe_delay));
        let mut has_stalled = false;
        loop {
            let failure = tokio::select! {
                result = sending.as_mut() => return result,
                failure = failure.as_mut(), if may_leave => failure,
                () = sleep(probe_delay) => {
                    state.start_probes(route.stages(), started_at);
                    let is_late = state.now().since(started_at) >= timeouts.head_timeout();
                    if is_late && !has_stalled {
                        has_stalled = true;
                        state.record_stall(route.stages(), started_at);
                    }
                    continue;
                }
            };
            let time = state.now().since(started_at).as_millis();
            let cause = StallCause::from(failure);
            self.context
                .decision(LogEvent::StreamBroken)
                .sends(self.sends)
                .log(format_args!("no answer after {time} ms; {cause}"));
            if let StallCause::Unresponsive(endpoints) = cause {
                self.record_failures(endpoints);
            }
            return Err(ConnectionError::TimedOut);
        }
    }

    /// Records the activations that the stream will send between availability zones.
    fn record_transfers(&self, path: &PlannedPath) {
        let Some(engine) = &self.context.service.engine else { return };
        let tokens = f64::from(self.prompt_tokens) + f64::from(self.output_tokens);
        let bytes = tokens * engine.activation_bytes;
        let now = self.context.state.now();
        let mut load = self.context.state.load.borrow_mut();
        for pair in &path.crossings {
            load.links.record(pair.clone(), bytes, now);
        }
    }

    pub(super) const fn timeouts(&self) -> StreamTimeouts {
        StreamTimeouts::of(&self.context.rule)
    }

    /// Returns the expected time between two events on a path.
    fn expected_gap(&self, path: &PlannedPath) -> Duration {
        let tokens = self.context.service.engine.as_ref().map_or(1, |e| e.tokens_per_event.max(1));
        planned_time(path.token_ms * f64::from(tokens))
    }

    fn stream_request(
        &self,
        path: &PlannedPath,
        position: StreamPosition,
    ) -> Option<Request<Full<Bytes>>> {
        let codec = &self.context.state.codec;
        let first = path.route.stages().first()?;
        let mut request = self.context.endpoint_request(&first.endpoint)?;
        let headers = request.headers_mut();
        let hops = HeaderValue::from_str(&codec.layer_path(&path.route)).ok()?;
        headers.insert(codec.header_names().layer_path.clone(), hops);
        if let Some(EventId(last)) = position.last_event() {
            headers.insert(codec.header_names().last_event_id.clone(), HeaderValue::from(last));
        }
        Some(request)
    }

    /// Returns a response that relays the stream, starting with the events received so far.
    fn start_relay(
        mut self,
        head: Response<()>,
        attempt: StreamAttempt,
        first: Bytes,
    ) -> Response<ResponseBody> {
        self.has_begun.set(true);
        let (sender, receiver) = mpsc::channel(Self::MAX_BUFFERED_CHUNKS);
        let (mut parts, ()) = head.into_parts();
        self.content_type = parts.headers.get(header::CONTENT_TYPE).cloned();
        let length = parts.headers.get(header::CONTENT_LENGTH).cloned();
        strip_hop_headers(&mut parts.headers);
        self.announce_endpoints(&mut parts.headers);
        if let Some(length) = length {
            parts.headers.insert(header::CONTENT_LENGTH, length);
        }
        tokio::task::spawn_local(StreamRelay::new(self, attempt, sender).run(first));
        Response::from_parts(parts, ResponseBody::from_chunks(receiver))
    }
}

/// Converts a planned time; it is limited to a day, since endpoints may report absurd values.
fn planned_time(millis: f64) -> Duration {
    const MAX_MILLIS: f64 = 24.0 * 3_600.0 * 1e3;
    let millis = if millis.is_nan() { 0.0 } else { millis.clamp(0.0, MAX_MILLIS) };
    Duration::from_secs_f64(millis / 1e3)
}

/// Returns a path's endpoints and layers, for the log.
pub(super) fn describe_route(route: &StageRoute) -> String {
    let stages = route.stages().iter();
    let described: Vec<String> =
        stages.map(|stage| format!("{}={}", stage.endpoint, stage.span)).collect();
    described.join(",")
}

/// Joins endpoint names for the log.
pub(super) fn join_ids(endpoints: &[EndpointId]) -> String {
    let names: Vec<&str> = endpoints.iter().map(EndpointId::as_str).collect();
    names.join(", ")
}

/// Returns the route label for requests that name no model.
fn fallback_model(service: &ServiceRule) -> ModelId {
    let name = service.service.as_str();
    name.parse().unwrap_or_else(|_| unreachable!("every service name is a valid model name"))
}

use {
    crate::{
        connection::{ConnectionError, ConnectionNeed, PooledConnection},
        process::{EndpointFate, SendTurn, SenderKind},
        request::{
            call_context::CallContext,
            caller_request::strip_hop_headers,
            carried_call::{
                is_promise, strip_internal_headers, CarriedAnswer, CarryError, CarryProgress,
            },
            host_service::CarriedMark,
            stream_call::StreamCall,
            ResponseBody,
        },
        resources::{HeldBytes, HoldError},
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        connections::{ConnectionPurpose, IdleAllowance},
        ids::{EndpointId, Moment},
        process::{BlockedSubject, EndpointEntry, ServiceChoice},
        request::{RefusalCause, RequestVerdict},
        resources::HoldingKind,
        version::RequestKind,
    },
    http::{header, HeaderValue, Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{cell::Cell, fmt, pin::pin, rc::Rc, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// A request to a plain service, whose response is buffered completely.
pub(super) struct PlainCall {
    context: CallContext,
    /// Number of endpoints that ended under this request.
    ends: Cell<u32>,
}

/// Outcome of one attempt at an endpoint.
enum EndpointOutcome {
    /// The endpoint's response.
    Response(Response<ResponseBody>),
    /// The endpoint responded with a server error; another endpoint may succeed.
    Failed(Response<ResponseBody>),
    /// The request did not run.
    NotRun,
    /// The request did not run: no connection to the endpoint could be opened.
    Unreachable,
    /// The request may have run, but there is no response.
    MayHaveRun,
}

/// What has become of a request so far.
struct CallProgress {
    verdict: RequestVerdict,
    /// The response of an endpoint that failed.
    failed_response: Option<Response<ResponseBody>>,
    /// Number of sends to endpoints.
    sends: u32,
    /// Number of endpoints to which no connection could be opened.
    unreachable: usize,
    /// Endpoints that were tried.
    excluded: Vec<EndpointId>,
}

impl CallProgress {
    /// Returns `true` if the request may go to another endpoint.
    fn may_go_on(&self, kind: RequestKind) -> bool {
        self.verdict == RequestVerdict::NotRun || kind.is_retryable()
    }
}

impl PlainCall {
    /// Timeout of opening a connection to an endpoint.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
    /// Time for a connection to become ready again after its response was read.
    const READY_TIMEOUT: Duration = Duration::from_millis(2);
    /// Maximum size of a response, in bytes.
    const MAX_RESPONSE_BYTES: usize = 16 * 1_024 * 1_024;
    /// Maximum number of endpoints that are tried, including those that refuse or are unreachable.
    const MAX_ENDPOINTS_TRIED: u32 = 4;
    /// Maximum number of endpoints that are asked for a turn.
    const MAX_CHOICES: u32 = 16;
    /// Time that a request waits for a turn while other endpoints may stand free.
    const SHORT_TURN_WAIT: Duration = Duration::from_millis(20);
    /// Maximum time that a request waits for a turn at an endpoint that takes a limited rate.
    const MAX_TURN_WAIT: Duration = Duration::from_millis(250);
    /// Minimum retry delay of a request under which endpoints have just ended; jitter raises it up to
    /// twofold.
    const SUSPECT_RETRY_DELAY: Duration = Duration::from_secs(2);
    /// Minimum retry delay advised to callers; jitter raises it up to twofold.
    const RETRY_AFTER: Duration = Duration::from_millis(60);

    pub(super) fn new(context: CallContext) -> Self {
        Self { context, ends: Cell::default() }
    }

    pub(super) async fn run(self) -> Response<ResponseBody> {
        let note = self.context.note.as_ref();
        if note.is_none() {
            self.context.state.record_request(&self.context.service.service);
        }
        self.ends.set(note.map_or(0, |note| note.ends));
        let mut progress = CallProgress {
            verdict: RequestVerdict::NotRun,
            failed_response: None,
            sends: note.map_or(0, |note| note.sends),
            unreachable: 0,
            excluded: Vec::new(),
        };
        for _ in 0..Self::MAX_ENDPOINTS_TRIED {
            if self.context.state.is_out_of_reach(&self.context.service.service) {
                break;
            }
            let sends = progress.sends;
            if sends >= self.context.rule.attempts.max(1) || self.context.remaining_time().is_zero()
            {
                break;
            }
            let blocked = self.context.state.blocked_subject(self.context.known_identity());
            if let Some(blocked) = blocked {
                return self.refuse_blocked(&progress, &blocked);
            }
            if !self.context.state.may_repeat(self.context.known_identity(), self.ends.get()) {
                break;
            }
            let service = &self.context.service.service;
            let identity = self.context.known_identity();
            if self.context.state.spares_last_endpoint(service, identity) {
                return self.refuse_suspect(&progress);
            }
            let Some((entry, turn)) = self.choose_with_turn(&progress.excluded).await else {
                break;
            };
            if sends > 0 && !self.context.acquire_retry().await {
                break;
            }
            progress.excluded.push(entry.endpoint.clone());
            let outcome = self.attempt(&entry, turn, &mut progress.sends).await;
            self.log_attempt(progress.sends, &entry, &outcome);
            match outcome {
                EndpointOutcome::Response(response) => return response,
                EndpointOutcome::NotRun => {}
                EndpointOutcome::Unreachable => progress.unreachable += 1,
                EndpointOutcome::Failed(response) => {
                    progress.verdict = RequestVerdict::Ran;
                    progress.failed_response = Some(response);
                }
                EndpointOutcome::MayHaveRun => progress.verdict = RequestVerdict::MayHaveRun,
            }
            if !progress.may_go_on(self.context.rule.kind) {
                break;
            }
        }
        if self.context.needs_carrier() && progress.may_go_on(self.context.rule.kind) {
            if let Some(response) = self.hand_over(&mut progress).await {
                return response;
            }
        }
        let Some(response) = progress.failed_response.take() else { return self.refuse(&progress) };
        let status = response.status().as_u16();
        self.context.record_completion(progress.sends, format_args!("status {status} forwarded"));
        response
    }

    /// Hands the request to another host, and returns the answer if there is one.
    async fn hand_over(&self, progress: &mut CallProgress) -> Option<Response<ResponseBody>> {
        let mut carry = CarryProgress {
            sends: progress.sends,
            ends: self.ends.get(),
            response_timeout: Duration::MAX,
            ..CarryProgress::default()
        };
        while !self.context.remaining_time().is_zero() {
            let failed = match self.context.carry(&carry).await {
                Ok(answer) => {
                    let host = answer.load.carrier.host.clone();
                    match self.read_carried(answer, progress.verdict).await {
                        Some(response) => return Some(response),
                        None => host,
                    }
                }
                Err(CarryError::Unanswered(host)) => host,
                Err(CarryError::NoCarrier | CarryError::NoRetry | CarryError::NoPath) => {
                    return None
                }
            };
            progress.verdict = RequestVerdict::MayHaveRun;
            if !self.context.rule.kind.is_retryable() {
                return None;
            }
            carry.sends += 1;
            carry.excluded.push(failed);
        }
        None
    }

    /// Reads the answer of another host to its end; `None` if that does not come.
    async fn read_carried(
        &self,
        answer: CarriedAnswer,
        verdict: RequestVerdict,
    ) -> Option<Response<ResponseBody>> {
        let CarriedAnswer { response, mut connection, load } = answer;
        let state = &self.context.state;
        let is_reusable = connection.apply_response_head(response.headers());
        let (mut parts, body) = response.into_parts();
        let charge =
            state.resources.open(HoldingKind::Answer, self.context.request.organisation.as_ref());
        let reading = HeldBytes::collect(body, Self::MAX_RESPONSE_BYTES, charge);
        let body = match timeout(self.context.remaining_time(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) | Err(_) => return None,
        };
        if is_reusable && connection.http.wait_ready(Self::READY_TIMEOUT).await {
            let max_idle = CallContext::MAX_IDLE_CARRIER_CONNECTIONS;
            let allowance = IdleAllowance { max_idle, is_scarce: false };
            connection.return_to(&state.pool, allowance, state.now());
        }
        if verdict != RequestVerdict::NotRun && is_promise(parts.status) {
            // It holds for what the other host did, not for what this one had done before.
            return None;
        }
        strip_hop_headers(&mut parts.headers);
        strip_internal_headers(&mut parts.headers);
        parts.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        parts.extensions.insert(CarriedMark);
        let status = parts.status.as_u16();
        let host = &load.carrier.host;
        self.context.record_completion(0, format_args!("status {status} from host {host}"));
        Some(Response::from_parts(parts, ResponseBody::from_held(body)))
    }

    fn log_attempt(&self, sends: u32, entry: &EndpointEntry, outcome: &EndpointOutcome) {
        if let EndpointOutcome::Response(response) = outcome {
            let status = response.status().as_u16();
            self.context
                .record_completion(sends, format_args!("status {status} from {}", entry.endpoint));
            return;
        }
        self.context
            .decision(LogEvent::TryFailed)
            .verdict(outcome.verdict())
            .sends(sends)
            .endpoint(&entry.endpoint)
            .log(outcome);
    }

    /// Refuses a request with a part in its prompt that is kept from endpoints.
    fn refuse_blocked(
        &self,
        progress: &CallProgress,
        blocked: &BlockedSubject,
    ) -> Response<ResponseBody> {
        let CallProgress { verdict, sends, .. } = *progress;
        let is_not_run = verdict == RequestVerdict::NotRun;
        let cause = if is_not_run { blocked.refusal_cause() } else { RefusalCause::EndpointFailed };
        self.context.state.metrics.count_refusal(cause);
        self.context
            .decision(LogEvent::RequestRefused)
            .cause(cause)
            .verdict(verdict)
            .log(format_args!("blocked: {blocked}; route {}", self.context.rule.name));
        self.context.refusal(cause, is_not_run.then_some(StreamCall::BLOCKED_RETRY_DELAY), sends)
    }

    /// Refuses a request that may have ended all endpoints of its service but one.
    fn refuse_suspect(&self, progress: &CallProgress) -> Response<ResponseBody> {
        let CallProgress { verdict, sends, .. } = *progress;
        let is_not_run = verdict == RequestVerdict::NotRun;
        let cause =
            if is_not_run { RefusalCause::Overloaded } else { RefusalCause::EndpointFailed };
        self.context.state.metrics.count_refusal(cause);
        self.context.decision(LogEvent::RequestRefused).cause(cause).verdict(verdict).log(
            format_args!(
                "route {}, endpoints ended under the request and one is left",
                self.context.rule.name
            ),
        );
        let retry_after = Self::SUSPECT_RETRY_DELAY.mul_f64(1.0 + fastrand::f64());
        self.context.refusal(cause, is_not_run.then_some(retry_after), sends)
    }

    /// Refuses a request that got no response from any endpoint.
    fn refuse(&self, progress: &CallProgress) -> Response<ResponseBody> {
        let CallProgress { verdict, sends, unreachable, excluded, .. } = progress;
        let (verdict, tried) = (*verdict, excluded.len());
        let now = self.context.state.now();
        let service = &self.context.service.service;
        let blocked_until =
            self.context.state.directory.borrow().service_unavailable_until(service, now);
        let is_out_of_reach = self.context.state.is_out_of_reach(service);
        let cause = match verdict {
            RequestVerdict::NotRun if is_out_of_reach => RefusalCause::Unreachable,
            RequestVerdict::NotRun if tried == 0 && blocked_until.is_none() => {
                RefusalCause::NoEndpoint
            }
            RequestVerdict::NotRun if tried > 0 && *unreachable == tried => {
                RefusalCause::Unreachable
            }
            RequestVerdict::NotRun => RefusalCause::Overloaded,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => RefusalCause::EndpointFailed,
        };
        self.context.state.metrics.count_refusal(cause);
        self.context.decision(LogEvent::RequestRefused).cause(cause).verdict(verdict).log(
            format_args!(
                "route {}, {tried} endpoints tried, all unavailable for {} ms",
                self.context.rule.name,
                blocked_until.unwrap_or(now).since(now).as_millis(),
            ),
        );
        // Callers that were refused at the same time return apart.
        let min_delay =
            if is_out_of_reach { StreamCall::OUT_OF_REACH_RETRY_DELAY } else { Self::RETRY_AFTER };
        let spread =
            min_delay.mul_f64(1.0 + fastrand::f64()) + self.context.state.return_spread(service);
        let retry_after = blocked_until.unwrap_or(now).since(now) + spread;
        let retry_after = (verdict == RequestVerdict::NotRun).then_some(retry_after);
        self.context.refusal(cause, retry_after, *sends)
    }

    fn choice<'a>(&'a self, excluded: &'a [EndpointId]) -> ServiceChoice<'a> {
        ServiceChoice {
            service: &self.context.service.service,
            zone: &self.context.state.settings.zone,
            excluded,
            at_most_once: !self.context.rule.kind.is_retryable(),
        }
    }

    fn choose(&self, excluded: &[EndpointId]) -> Option<EndpointEntry> {
        let now = self.context.state.now();
        self.context.state.directory.borrow().choose(&self.choice(excluded), now).cloned()
    }

    /// Chooses an endpoint and takes a turn there, if it takes a limited rate.
    ///
    /// The request waits for a turn only if no endpoint stands free.
    async fn choose_with_turn(&self, excluded: &[EndpointId]) -> Option<(EndpointEntry, SendTurn)> {
        let state = &self.context.state;
        for _ in 0..Self::MAX_CHOICES {
            // An endpoint without a free turn is not chosen again until one may be free.
            let Some(entry) = self.choose(excluded) else { break };
            if let Some(turn) = state.acquire_turn(&entry.endpoint, Self::SHORT_TURN_WAIT).await {
                return Some((entry, turn));
            }
        }
        let max_wait = Self::MAX_TURN_WAIT.min(self.context.remaining_time() / 2);
        let (entry, until) = {
            let directory = state.directory.borrow();
            let (entry, until) = directory.choose_soonest(&self.choice(excluded), state.now())?;
            (entry.clone(), until)
        };
        if until.since(state.now()) > max_wait {
            return None;
        }
        let turn = state.acquire_turn(&entry.endpoint, max_wait).await?;
        Some((entry, turn))
    }

    async fn attempt(
        &self,
        entry: &EndpointEntry,
        turn: SendTurn,
        sends: &mut u32,
    ) -> EndpointOutcome {
        let _suspect_turn =
            self.context.state.suspect_turn(self.context.known_identity(), self.ends.get()).await;
        if self.context.state.blocked_subject(self.context.known_identity()).is_some() {
            return EndpointOutcome::NotRun;
        }
        let guard = self.context.state.track_dispatch(&entry.endpoint);
        let started_at = self.context.state.now();
        let need = ConnectionNeed {
            at_most_once: !self.context.rule.kind.is_retryable(),
            request_id: &self.context.request.id,
        };
        let connect_timeout = Self::CONNECT_TIMEOUT.min(self.context.remaining_time());
        let opened = self
            .context
            .state
            .pool
            .checkout(entry.address, need, started_at, connect_timeout)
            .await;
        let connection = match opened {
            Ok(connection) => connection,
            Err(error) => return self.record_failure(entry, error, started_at).await,
        };
        let is_reused = connection.is_reused;
        self.context.state.record_connection_use(ConnectionPurpose::Call, is_reused);
        if !is_reused {
            self.context.state.metrics.count_connection();
            self.context.state.record_connection(&self.context.service.service, started_at);
        }
        let Some(request) = self.context.endpoint_request(&entry.endpoint) else {
            return EndpointOutcome::NotRun;
        };
        let state = &self.context.state;
        if !state.begin_request(&entry.endpoint, SenderKind::Call, &turn) {
            let allowance = state.idle_allowance(&self.context.service, &entry.endpoint);
            connection.return_to(&state.pool, allowance, state.now());
            return EndpointOutcome::NotRun;
        }
        *sends += 1;
        self.context.record_send();
        let sent_at = state.now();
        let Some(sent) = self.send(connection, request, entry, sent_at).await else {
            // Another host may still answer in time; nobody is blamed.
            return EndpointOutcome::MayHaveRun;
        };
        let (response, connection) = match sent {
            Ok(answered) => answered,
            Err(ConnectionError::Unsent) => {
                *sends -= 1;
                turn.close();
                return EndpointOutcome::NotRun;
            }
            Err(error) => {
                if matches!(error, ConnectionError::Broken(_)) {
                    self.record_break(entry).await;
                }
                return self.record_failure(entry, error, sent_at).await;
            }
        };
        state.record_answer(&self.context.service.service);
        let outcome = self.read_response(entry, connection, response, sent_at).await;
        if let EndpointOutcome::Response(_) = &outcome {
            let latency = self.context.state.now().since(started_at);
            self.context
                .state
                .directory
                .borrow_mut()
                .record_success(&entry.endpoint, Some(latency));
        }
        drop(guard);
        outcome
    }

    /// Sends the request and waits for the response head; `None` if the request may be sent again and
    /// the host turns out to have no way to the endpoint.
    async fn send(
        &self,
        connection: PooledConnection,
        request: Request<Full<Bytes>>,
        entry: &EndpointEntry,
        sent_at: Moment,
    ) -> Option<Result<(Response<Incoming>, PooledConnection), ConnectionError>> {
        let may_leave = self.context.rule.kind.is_retryable();
        let exchange = self.context.exchange(entry.life(), SenderKind::Call);
        let mut sending = pin!(exchange.send(connection, request, self.context.remaining_time()));
        tokio::select! {
            sent = sending.as_mut() => return Some(sent),
            () = self.context.state.wait_for_loss(&entry.endpoint, sent_at) => {}
        }
        if may_leave {
            None
        } else {
            Some(sending.await)
        }
    }

    async fn record_failure(
        &self,
        entry: &EndpointEntry,
        error: ConnectionError,
        started_at: Moment,
    ) -> EndpointOutcome {
        let verdict = error.verdict();
        let is_unreachable = matches!(error, ConnectionError::Connect(_));
        let has_timed_out = matches!(error, ConnectionError::TimedOut);
        let (state, endpoint) = (Rc::clone(&self.context.state), entry.endpoint.clone());
        let recording =
            async move { state.record_endpoint_failure(&endpoint, &error, started_at).await };
        if has_timed_out {
            // The caller need not wait until it is known whose failure it is.
            spawn_local(recording);
        } else {
            recording.await;
        }
        if is_unreachable {
            return EndpointOutcome::Unreachable;
        }
        match verdict {
            RequestVerdict::NotRun => EndpointOutcome::NotRun,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => EndpointOutcome::MayHaveRun,
        }
    }

    /// Records that the request's connection broke, and finds out whether the endpoint has ended.
    async fn record_break(&self, entry: &EndpointEntry) {
        let state = &self.context.state;
        if state.record_request_break(&entry.endpoint, None, self.context.full_identity()).await {
            self.ends.set(self.ends.get() + 1);
        }
    }

    async fn read_response(
        &self,
        entry: &EndpointEntry,
        mut connection: PooledConnection,
        response: Response<Incoming>,
        sent_at: Moment,
    ) -> EndpointOutcome {
        if !self.context.is_own_answer(response.headers()) {
            return self.record_failure(entry, ConnectionError::TimedOut, sent_at).await;
        }
        let is_reusable = connection.apply_response_head(response.headers());
        let (mut parts, body) = response.into_parts();
        let organisation = self.context.request.organisation.as_ref();
        let charge = self.context.state.resources.open(HoldingKind::Answer, organisation);
        let reading = HeldBytes::collect(body, Self::MAX_RESPONSE_BYTES, charge);
        let body = match timeout(self.context.remaining_time(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(HoldError::Broken(_))) => {
                self.record_break(entry).await;
                return self.record_failure(entry, ConnectionError::TimedOut, sent_at).await;
            }
            Ok(Err(HoldError::TooLarge | HoldError::NoRoom | HoldError::Evicted)) | Err(_) => {
                return self.record_failure(entry, ConnectionError::TimedOut, sent_at).await;
            }
        };
        let is_framed = parts.headers.contains_key(header::CONTENT_LENGTH)
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        if !is_framed
            && self.context.state.endpoint_fate(&entry.endpoint).await != EndpointFate::Running
        {
            // The end of the connection may be that of the endpoint in the middle of its answer.
            self.record_break(entry).await;
            return self.record_failure(entry, ConnectionError::TimedOut, sent_at).await;
        }
        let verdict = self.context.verdict_of(parts.status, &parts.headers);
        if verdict == RequestVerdict::MayHaveRun {
            // The answer to the request may follow on the connection.
            return self.record_failure(entry, ConnectionError::TimedOut, sent_at).await;
        }
        if verdict == RequestVerdict::NotRun {
            connection.record_refusal(&self.context.request.id);
        }
        if is_reusable && connection.http.wait_ready(Self::READY_TIMEOUT).await {
            let state = &self.context.state;
            let allowance = state.idle_allowance(&self.context.service, &entry.endpoint);
            connection.return_to(&state.pool, allowance, state.now());
        }
        if verdict == RequestVerdict::NotRun {
            let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
            self.context.state.record_endpoint_refusal(&entry.endpoint, is_misdirected);
            return EndpointOutcome::NotRun;
        }
        self.context.state.record_survival(self.context.known_identity());
        strip_hop_headers(&mut parts.headers);
        self.context.pass_leaving_on(&entry.life(), &mut parts.headers);
        parts.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(body.len()));
        let is_failure = parts.status.is_server_error();
        let response = Response::from_parts(parts, ResponseBody::from_held(body));
        if is_failure {
            EndpointOutcome::Failed(response)
        } else {
            EndpointOutcome::Response(response)
        }
    }
}

impl EndpointOutcome {
    /// Returns whether the request may have run at the endpoint.
    const fn verdict(&self) -> RequestVerdict {
        match self {
            EndpointOutcome::Response(_) | EndpointOutcome::Failed(_) => RequestVerdict::Ran,
            EndpointOutcome::NotRun | EndpointOutcome::Unreachable => RequestVerdict::NotRun,
            EndpointOutcome::MayHaveRun => RequestVerdict::MayHaveRun,
        }
    }
}

impl fmt::Display for EndpointOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EndpointOutcome::Response(_) => f.write_str("answered"),
            EndpointOutcome::Failed(response) => write!(f, "failed with {}", response.status()),
            EndpointOutcome::NotRun => f.write_str("not run"),
            EndpointOutcome::Unreachable => f.write_str("no connection"),
            EndpointOutcome::MayHaveRun => f.write_str("no answer"),
        }
    }
}

//! Handing a request to another host, for a host that has no way to endpoints itself.

use {
    crate::{
        connection::{CarriedRequest, ConnectionError, PooledConnection},
        process::GatewayState,
        request::{
            call_context::CallContext, carry_refusal::CarryRefusal, retry_grant::RetryGrant,
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, EventId, HostId},
        process::RequestCarrier,
        request::{CarryNote, RequestVerdict, StreamPosition},
    },
    http::{header, HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{rc::Rc, time::Duration},
};

/// Header in which a host describes a request that it hands over, as a [`CarryNote`].
pub(super) const CARRY_HEADER: HeaderName =
    HeaderName::from_static("x-cassiafield-internal-carried");
/// Header in which a host says why it does not carry a request; nobody has run the request then.
pub(super) const REFUSAL_HEADER: HeaderName =
    HeaderName::from_static("x-cassiafield-internal-not-carried");
/// Header in which a host states a newer revision of the configuration.
pub(super) const REVISION_HEADER: HeaderName =
    HeaderName::from_static("x-cassiafield-internal-revision");

/// Header in which a host names the run of an endpoint, as an
/// [`EndpointLife`](cassiafield_core::process::EndpointLife), that said in its answer that it is leaving.
pub(super) const LEAVING_HEADER: HeaderName =
    HeaderName::from_static("x-cassiafield-internal-leaving");

/// Header in which a host announces the first endpoints of a stream that it carries, fallbacks included.
pub(super) const SENT_TO_HEADER: HeaderName =
    HeaderName::from_static("x-cassiafield-internal-sent-to");

/// What became of a request before it is handed over.
#[derive(Clone, Debug, Default)]
pub(super) struct CarryProgress {
    pub(super) sends: u32,
    pub(super) ends: u32,
    pub(super) unanswered: u32,
    pub(super) sent_to: Vec<EndpointId>,
    /// How far the caller has the stream, if the answer is one.
    pub(super) position: StreamPosition,
    /// Whether this host has counted the answer for the organisation.
    pub(super) is_counted: bool,
    /// Hosts that have failed the request.
    pub(super) excluded: Vec<HostId>,
    /// Time until the response head must have arrived.
    pub(super) response_timeout: Duration,
}

/// The answer of a host that carries a request.
pub(super) struct CarriedAnswer {
    pub(super) response: Response<Incoming>,
    pub(super) connection: PooledConnection,
    pub(super) load: CarriedLoad,
}

/// Why no host carries a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum CarryError {
    /// No host takes it; it has not run.
    NoCarrier,
    /// The hosts that could take it have no retry left; it has not been sent again.
    NoRetry,
    /// No endpoint can take it; it has not been sent again.
    NoPath,
    /// This host did not answer; the request may have run.
    Unanswered(HostId),
}

/// Counts a request as carried by a host until it is dropped.
pub(super) struct CarriedLoad {
    state: Rc<GatewayState>,
    pub(super) carrier: RequestCarrier,
}

impl CarriedLoad {
    fn new(state: Rc<GatewayState>, carrier: RequestCarrier) -> Self {
        state.carriers.borrow_mut().record_start(&carrier.host);
        Self { state, carrier }
    }
}

impl Drop for CarriedLoad {
    fn drop(&mut self) {
        self.state.carriers.borrow_mut().record_end(&self.carrier.host);
    }
}

impl CallContext {
    /// Number of hosts that are asked to carry a request.
    const MAX_CARRIERS: usize = 4;
    /// Time for which a host's own answer to a deadline is awaited.
    const DEADLINE_MARGIN: Duration = Duration::from_millis(100);
    /// Number of idle connections to each other host.
    pub(super) const MAX_IDLE_CARRIER_CONNECTIONS: usize = 8;

    /// Returns `true` if the request goes to another host: this one has no way to its endpoints.
    ///
    /// Requests received from another host are not handed over again.
    pub(super) fn needs_carrier(&self) -> bool {
        self.note.is_none() && self.state.is_out_of_reach(&self.service.service)
    }

    /// Hands the request to another host and returns the response head.
    ///
    /// A refusal guarantees that nothing has run; the next host is then tried.
    pub(super) async fn carry(
        &self,
        progress: &CarryProgress,
    ) -> Result<CarriedAnswer, CarryError> {
        // The request counts towards this host's budget; without a retry here, the other host takes one.
        if progress.sends > 0 && self.acquire_retry().await {
            self.retry.set(RetryGrant::Granted);
        }
        let mut excluded = progress.excluded.clone();
        let mut no_carrier = CarryError::NoCarrier;
        let mut asked = 0;
        while asked < Self::MAX_CARRIERS && !self.remaining_time().is_zero() {
            let Some(load) = self.choose_carrier(&excluded) else { break };
            asked += 1;
            let host = load.carrier.host.clone();
            match self.send_to_carrier(&load, progress).await {
                Ok((response, connection)) => {
                    let Some(reason) = refusal_reason(&response) else {
                        self.retry.set(RetryGrant::Unasked);
                        self.record_carried(&host);
                        return Ok(CarriedAnswer { response, connection, load });
                    };
                    let refusal = reason.parse::<CarryRefusal>().ok();
                    self.log_failure(&host, RequestVerdict::NotRun, reason);
                    if refusal.is_none_or(CarryRefusal::concerns_host) {
                        self.state.carriers.borrow_mut().record_refusal(&host, self.state.now());
                    }
                    match refusal {
                        Some(CarryRefusal::NoPath) => return Err(CarryError::NoPath),
                        Some(CarryRefusal::NoRetry) => no_carrier = CarryError::NoRetry,
                        _ => {}
                    }
                }
                Err(error) => {
                    let verdict = error.verdict();
                    self.log_failure(&host, verdict, error);
                    self.state.carriers.borrow_mut().record_failure(&host, self.state.now());
                    if verdict != RequestVerdict::NotRun {
                        self.retry.set(RetryGrant::Unasked);
                        return Err(CarryError::Unanswered(host));
                    }
                }
            }
            excluded.push(host);
        }
        Err(no_carrier)
    }

    fn choose_carrier(&self, excluded: &[HostId]) -> Option<CarriedLoad> {
        let state = &self.state;
        let (service, zone) = (&self.service.service, &state.settings.zone);
        let spread = fastrand::f64();
        let carrier =
            state.carriers.borrow().choose(service, zone, excluded, spread, state.now())?;
        Some(CarriedLoad::new(Rc::clone(state), carrier))
    }

    async fn send_to_carrier(
        &self,
        load: &CarriedLoad,
        progress: &CarryProgress,
    ) -> Result<(Response<Incoming>, PooledConnection), ConnectionError> {
        let state = &self.state;
        let Some(request) = self.carried_request(progress) else {
            return Err(ConnectionError::Unsent);
        };
        let response_timeout =
            progress.response_timeout.min(self.remaining_time() + Self::DEADLINE_MARGIN);
        let carried = CarriedRequest {
            request,
            address: load.carrier.address,
            at_most_once: !self.rule.kind.is_retryable(),
            response_timeout,
        };
        let (response, connection) =
            state.connector.send(&state.pool, carried, state.now()).await?;
        if self.belongs_to_other_request(response.headers()) {
            return Err(ConnectionError::TimedOut);
        }
        let leaving = response.headers().get(&LEAVING_HEADER);
        if let Some(life) = leaving.and_then(|value| value.to_str().ok()?.parse().ok()) {
            state.record_leaving(&life, "request that another host carried");
        }
        let revision = response.headers().get(&REVISION_HEADER);
        let revision = revision.and_then(|value| value.to_str().ok()?.parse().ok());
        if let Some(revision) = revision {
            state.record_carrier_revision(revision, &load.carrier.host);
        }
        Ok((response, connection))
    }

    /// Builds the request to another host; `None` if a header cannot be encoded.
    fn carried_request(&self, progress: &CarryProgress) -> Option<Request<Full<bytes::Bytes>>> {
        let (state, names) = (&self.state, self.state.codec.header_names());
        let note = CarryNote {
            host: state.settings.host.clone(),
            token: state.carry_token,
            elapsed: state.now().since(self.request.received_at),
            sends: progress.sends,
            ends: progress.ends,
            revision: state.configuration_revision(),
            is_counted: progress.is_counted,
            has_retry: self.retry.get() == RetryGrant::Granted,
            unanswered: progress.unanswered,
            sent_to: progress.sent_to.clone(),
        };
        let mut request = Request::new(Full::new(self.request.body.bytes().clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.parse().ok()?;
        let mut headers = self.request.headers.clone();
        headers.insert(CARRY_HEADER, HeaderValue::from_str(&note.to_string()).ok()?);
        if let Some(credentials) = &self.request.credentials {
            headers.insert(header::AUTHORIZATION, credentials.clone());
        }
        if let Some(EventId(last)) = progress.position.last_event() {
            headers.insert(names.last_event_id.clone(), HeaderValue::from(last));
        }
        *request.headers_mut() = headers;
        Some(request)
    }

    fn record_carried(&self, host: &HostId) {
        self.is_carried.set(true);
        self.state.metrics.count_carried("answered");
        let elapsed = self.state.now().since(self.request.received_at);
        self.decision(LogEvent::RequestCarried)
            .log(format_args!("by {host}, {} ms after its arrival", elapsed.as_millis()));
    }

    fn log_failure(&self, host: &HostId, verdict: RequestVerdict, reason: impl std::fmt::Display) {
        let is_refusal = verdict == RequestVerdict::NotRun;
        self.state.metrics.count_carried(if is_refusal { "refused" } else { "failed" });
        self.decision(LogEvent::CarryFailed)
            .verdict(verdict)
            .log(format_args!("host {host}: {reason}"));
    }
}

/// Removes what hosts tell each other from an answer.
pub(super) fn strip_internal_headers(headers: &mut HeaderMap) {
    for name in [&REFUSAL_HEADER, &REVISION_HEADER, &LEAVING_HEADER, &SENT_TO_HEADER] {
        headers.remove(name);
    }
}

/// Returns `true` if a status promises that the request has not run and will not.
pub(super) fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns why a host does not carry a request, if it does not.
fn refusal_reason(response: &Response<Incoming>) -> Option<String> {
    let value = response.headers().get(&REFUSAL_HEADER)?;
    Some(String::from_utf8_lossy(value.as_bytes()).into_owned())
}

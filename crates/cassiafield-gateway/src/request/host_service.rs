use {
    crate::{
        connection::{CallerConnection, CallerService, RequestLabel},
        process::GatewayState,
        request::{
            call_context::CallContext,
            caller_request::strip_hop_headers,
            carried_call::{CARRY_HEADER, REFUSAL_HEADER, REVISION_HEADER},
            carry_refusal::CarryRefusal,
            plain_call::PlainCall,
            refusal_response::refusal_response,
            retry_grant::RetryGrant,
            stream_call::StreamCall,
            CallerRequest, ResponseBody,
        },
        resources::{HeldBytes, HoldError},
    },
    cassiafield::process::{LogEvent, RequestDecision},
    cassiafield_core::{
        ids::{Moment, OrganisationId},
        process::CloseReason,
        request::{CarryNote, RefusalCause, RequestVerdict},
        resources::HoldingKind,
        version::{RouteRule, RouteTable},
    },
    http::{header, request::Parts, Request, Response},
    hyper::body::{Body as _, Incoming},
    std::{cell::Cell, future::Future, pin::Pin, rc::Rc, time::Duration},
};

/// Serves the requests of callers on one host.
pub struct HostService {
    state: Rc<GatewayState>,
}

/// A request that the configuration permits, with its route.
struct AdmittedRequest {
    table: Rc<RouteTable>,
    rule: RouteRule,
    request: CallerRequest,
    /// What the host said that handed the request over, if one did.
    note: Option<CarryNote>,
}

/// Marks a response that another host has counted for the organisation.
#[derive(Clone, Copy, Debug)]
pub(super) struct CarriedMark;

impl HostService {
    /// Part of its deadline that a caller waits at most before it returns, in percent.
    const MAX_RETRY_DELAY_PERCENT: u32 = 30;
    /// Retry delay advised to hosts that hand over a request which this one cannot carry.
    const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);
    /// Minimum retry delay of a request without room, after which bodies that have stalled have made room; jitter
    /// raises it up to twofold.
    const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(1_500);

    /// Creates the service on a host's state.
    #[must_use]
    pub const fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        let received_at = self.state.now();
        let (parts, body) = request.into_parts();
        match self.admit(&parts, received_at) {
            Ok(admitted) => self.serve(&parts, body, admitted, connection).await,
            Err(cause) => self.refuse(&parts, cause),
        }
    }

    /// Handles a request that another host hands over.
    pub(super) async fn handle_carried(
        &self,
        request: Request<Incoming>,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        let (parts, body) = request.into_parts();
        let note = parts.headers.get(&CARRY_HEADER).and_then(|value| value.to_str().ok());
        let note = match note.unwrap_or_default().parse::<CarryNote>() {
            Ok(note) => self.verified(note),
            Err(error) => {
                LogEvent::PeerRefused.log(format_args!("a request that is handed over: {error}"));
                return self.refuse(&parts, RefusalCause::BadRequest);
            }
        };
        let mut response = match self.carry_refusal(&parts, &note) {
            Some(refusal) => self.refuse_to_carry(refusal),
            None => {
                self.state.metrics.count_carried_for_other(true);
                let received_at = self.state.now().earlier_by(note.elapsed);
                match self.admit(&parts, received_at) {
                    Ok(mut admitted) => {
                        admitted.note = Some(note.clone());
                        self.serve(&parts, body, admitted, connection).await
                    }
                    Err(cause) => self.refuse(&parts, cause),
                }
            }
        };
        let revision = self.state.configuration_revision();
        if revision > note.revision {
            response.headers_mut().insert(REVISION_HEADER, header::HeaderValue::from(revision));
        }
        response
    }

    /// Returns a note without what only a host of the fleet may say: that the answer has been counted, and
    /// that a retry is granted.
    fn verified(&self, note: CarryNote) -> CarryNote {
        let is_own = self.state.carriers.borrow().is_token_of(&note.host, note.token);
        let (is_counted, has_retry) = (note.is_counted && is_own, note.has_retry && is_own);
        CarryNote { is_counted, has_retry, ..note }
    }

    /// Returns why this host cannot carry a request, if it cannot.
    fn carry_refusal(&self, parts: &Parts, note: &CarryNote) -> Option<CarryRefusal> {
        let state = &self.state;
        if state.is_stopping() {
            return Some(CarryRefusal::Stopping);
        }
        if state.is_full_of_carried() {
            return Some(CarryRefusal::Full);
        }
        if state.record_revision(note.revision, format_args!("request of {}", note.host)) {
            state.wake_synchronisation();
        }
        if state.configuration_revision() < note.revision || !state.keys_are_fresh() {
            return Some(CarryRefusal::OutdatedConfiguration);
        }
        let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok());
        let table = state.route_table()?;
        let rule = table.route(host.unwrap_or_default(), parts.uri.path())?;
        let mut services = rule.targets.iter().map(|target| &target.service);
        services.any(|service| state.is_out_of_reach(service)).then_some(CarryRefusal::OutOfReach)
    }

    fn refuse_to_carry(&self, refusal: CarryRefusal) -> Response<ResponseBody> {
        self.state.metrics.count_carried_for_other(false);
        let mut response =
            refusal_response(RefusalCause::NotReady, Some(Self::NOT_READY_RETRY_AFTER));
        let reason = header::HeaderValue::from_static(refusal.name());
        response.headers_mut().insert(REFUSAL_HEADER, reason);
        response
    }

    /// Reads the body of an admitted request, and answers it.
    async fn serve(
        &self,
        parts: &Parts,
        body: Incoming,
        mut admitted: AdmittedRequest,
        connection: &CallerConnection,
    ) -> Response<ResponseBody> {
        connection.set_request(RequestLabel {
            id: admitted.request.id.clone(),
            route: admitted.rule.name.as_str().into(),
            received_at: admitted.request.received_at,
        });
        let limit = admitted.table.limits().max_body_bytes;
        if !body.is_end_stream() {
            let organisation = admitted.request.organisation.as_ref();
            let charge = self.state.resources.open(HoldingKind::RequestBody, organisation);
            match HeldBytes::collect(body, limit, charge).await {
                Ok(held) => admitted.request.body = held,
                Err(error) => {
                    let cause = match error {
                        HoldError::TooLarge => RefusalCause::TooLarge,
                        HoldError::NoRoom | HoldError::Evicted => RefusalCause::NoRoom,
                        HoldError::Broken(_) => RefusalCause::BadRequest,
                    };
                    return self.refuse(parts, cause);
                }
            }
        }
        connection.record_body_end();
        // The body may have taken so long that the response no longer fits before the exit.
        if !self.fits_remaining_service(&admitted.request, &admitted.rule) {
            return self.refuse(parts, RefusalCause::NotReady);
        }
        self.dispatch(parts, admitted).await
    }

    /// Sets `Connection: close` if the caller should reconnect to another host.
    fn set_connection_close(&self, response: &mut Response<ResponseBody>) {
        if self.state.should_close_connections() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }

    /// Determines the route and the organisation of a request from the current configuration.
    fn admit(&self, parts: &Parts, received_at: Moment) -> Result<AdmittedRequest, RefusalCause> {
        if self.state.remaining_service_time().is_zero() {
            return Err(RefusalCause::NotReady);
        }
        let table = self.state.route_table().ok_or(RefusalCause::NotReady)?;
        let names = self.state.codec.header_names();
        let header_text = |name: &header::HeaderName| {
            parts.headers.get(name).and_then(|value| value.to_str().ok())
        };
        let host = header_text(&header::HOST).unwrap_or_default();
        let path = parts.uri.path();
        let rule = table.route(host, path).ok_or(RefusalCause::NotFound)?.clone();
        let organisation = if table.requires_key() && !rule.is_public {
            Some(self.authenticate(&table, header_text(&header::AUTHORIZATION))?)
        } else {
            None
        };
        let id = header_text(&names.request_id).ok_or(RefusalCause::BadRequest)?.into();
        let timeout = header_text(&names.deadline).and_then(|value| value.trim().parse().ok());
        let target = parts.uri.path_and_query().map_or(path, |target| target.as_str()).into();
        let mut headers = parts.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::EXPECT);
        for name in
            [&names.expected_endpoint, &names.organisation, &names.layer_path, &CARRY_HEADER]
        {
            headers.remove(name);
        }
        let credentials = match &organisation {
            Some(_) => headers.remove(header::AUTHORIZATION),
            None => None,
        };
        let request = CallerRequest {
            id,
            received_at,
            method: parts.method.clone(),
            target,
            headers,
            credentials,
            body: HeldBytes::default(),
            timeout: timeout.map(Duration::from_millis),
            organisation,
        };
        if !self.fits_remaining_service(&request, &rule) {
            return Err(RefusalCause::NotReady);
        }
        Ok(AdmittedRequest { table, rule, request, note: None })
    }

    /// Returns `true` if the host will serve long enough for the request's deadline.
    fn fits_remaining_service(&self, request: &CallerRequest, rule: &RouteRule) -> bool {
        let remaining_time = request.remaining_time(rule.timeout, self.state.now());
        remaining_time <= self.state.remaining_service_time()
    }

    fn authenticate(
        &self,
        table: &RouteTable,
        credentials: Option<&str>,
    ) -> Result<OrganisationId, RefusalCause> {
        if !self.state.keys_are_fresh() {
            return Err(RefusalCause::StoreUnavailable);
        }
        let key = credentials
            .and_then(|value| value.split_once(' '))
            .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
            .map(|(_, key)| key.trim());
        let found = key.and_then(|key| table.organisation(key));
        found.cloned().ok_or(RefusalCause::Unauthorised)
    }

    async fn dispatch(&self, parts: &Parts, admitted: AdmittedRequest) -> Response<ResponseBody> {
        let AdmittedRequest { table, rule, mut request, note } = admitted;
        let draw = fastrand::u64(..);
        let Some(service) = rule.target(draw).and_then(|service| table.service(service)) else {
            return self.refuse(parts, RefusalCause::NoEndpoint);
        };
        let service = service.clone();
        let priority = table.priority(&rule, &service.service, request.organisation.as_ref());
        if let Some(priority) = priority.filter(|_| service.engine.is_some()) {
            let name = self.state.codec.header_names().request_priority.clone();
            request.headers.insert(name, header::HeaderValue::from(u32::from(priority)));
        }
        let (organisation, kind) = (request.organisation.clone(), rule.kind);
        let received_at = request.received_at;
        let is_stream = service.engine.is_some() && kind.is_stream();
        let state = Rc::clone(&self.state);
        let in_flight = self.state.track_request(note.is_some());
        let identity = request.identity(state.codec.header_names());
        let is_counted_elsewhere = note.as_ref().is_some_and(|note| note.is_counted);
        let has_retry = note.as_ref().is_some_and(|note| note.has_retry);
        let retry = if has_retry { RetryGrant::Granted } else { RetryGrant::Unasked };
        let is_carried = Cell::new(false);
        let context = CallContext {
            state,
            rule,
            service,
            request,
            priority: priority.unwrap_or_default(),
            in_flight,
            identity,
            note,
            retry: Cell::new(retry),
            is_carried,
        };
        let response = if is_stream {
            StreamCall::new(context).run().await
        } else {
            PlainCall::new(context).run().await
        };
        let time = self.state.now().since(received_at);
        let status = response.status().as_u16();
        let is_carried = response.extensions().get::<CarriedMark>().is_some();
        if !is_carried && !is_counted_elsewhere {
            self.state.metrics.record_response(organisation.as_ref(), kind, status, time);
        }
        response
    }

    /// Returns when a caller should return that this host can't serve yet, within its deadline.
    fn recovery_delay(&self, parts: &Parts) -> Duration {
        let state = &self.state;
        let delay = state.admission.next_recovery(state.has_ready_peers(), state.now());
        let names = state.codec.header_names();
        let deadline = parts.headers.get(&names.deadline).and_then(|value| value.to_str().ok());
        let deadline = deadline.and_then(|value| value.trim().parse().ok());
        let max_delay = deadline.map_or(Duration::MAX, |millis| {
            Duration::from_millis(millis) / 100 * Self::MAX_RETRY_DELAY_PERCENT
        });
        delay.min(max_delay)
    }

    fn refuse(&self, parts: &Parts, cause: RefusalCause) -> Response<ResponseBody> {
        let names = self.state.codec.header_names();
        let id = parts.headers.get(&names.request_id).and_then(|value| value.to_str().ok());
        self.state.metrics.count_refusal(cause);
        let retry_after = match cause {
            RefusalCause::NoRoom => Some(Self::NO_ROOM_RETRY_AFTER.mul_f64(1.0 + fastrand::f64())),
            RefusalCause::NotReady | RefusalCause::StoreUnavailable | RefusalCause::NoEndpoint => {
                Some(self.recovery_delay(parts))
            }
            _ => None,
        };
        RequestDecision::new(LogEvent::RequestRefused, id.unwrap_or("-"), self.state.snapshot())
            .cause(cause)
            .verdict(RequestVerdict::NotRun)
            .log(format_args!(
                "path {}, return after {} ms",
                parts.uri.path(),
                retry_after.unwrap_or_default().as_millis()
            ));
        refusal_response(cause, retry_after)
    }
}

impl CallerService for HostService {
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
        connection: Rc<CallerConnection>,
    ) -> Pin<Box<dyn Future<Output = Response<ResponseBody>>>> {
        Box::pin(async move {
            let mut response = self.handle(request, &connection).await;
            response.body().charge_to(&connection);
            self.set_connection_close(&mut response);
            response
        })
    }

    fn idle_timeout(&self) -> Duration {
        self.state.caller_limits().idle_timeout
    }

    fn header_timeout(&self) -> Duration {
        self.state.caller_limits().header_timeout
    }

    fn now(&self) -> Moment {
        self.state.now()
    }

    fn max_header_bytes(&self) -> usize {
        self.state.caller_limits().max_header_bytes
    }

    fn close_wish(&self) -> Option<CloseReason> {
        let reason =
            if self.state.is_stopping() { CloseReason::Stopping } else { CloseReason::NotReady };
        self.state.should_close_connections().then_some(reason)
    }

    fn record_close(&self, connection: &CallerConnection, reason: CloseReason) {
        let activity = connection.activity();
        let is_request_cut = activity.has_open_request();
        self.state.metrics.count_close(reason, is_request_cut);
        let request = connection.request().filter(|_| is_request_cut);
        RequestDecision::new(
            LogEvent::ConnectionClosed,
            request.as_ref().map_or("-", |request| &request.id),
            self.state.snapshot(),
        )
        .log(format_args!(
            "{}, {}, {} requests, request cut: {is_request_cut}, {} bytes read and {} written",
            reason.name(),
            activity.phase(),
            activity.request_count(),
            activity.request_bytes(),
            activity.response_bytes(),
        ));
    }
}

use {
    crate::{
        process::{EndpointExchange, GatewayState, InFlightRequest, SenderKind},
        request::{
            carried_call::{is_promise, LEAVING_HEADER, REFUSAL_HEADER},
            carry_refusal::CarryRefusal,
            refusal_response::refusal_response,
            retry_grant::RetryGrant,
            CallerRequest, ResponseBody,
        },
    },
    bytes::Bytes,
    cassiafield::process::{LogEvent, RequestDecision},
    cassiafield_core::{
        admission::RequestPriority,
        ids::EndpointId,
        process::EndpointLife,
        request::{CarryNote, RefusalCause, RequestIdentity, RequestVerdict},
        version::{RouteRule, ServiceRule},
    },
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode},
    http_body_util::Full,
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// A caller's request together with its route and service.
pub(super) struct CallContext {
    pub(super) state: Rc<GatewayState>,
    pub(super) rule: RouteRule,
    pub(super) service: ServiceRule,
    pub(super) request: CallerRequest,
    /// The request's rank among those that wait.
    pub(super) priority: RequestPriority,
    /// Counts the request as in flight.
    pub(super) in_flight: InFlightRequest,
    /// What the request has in common with others.
    pub(super) identity: RequestIdentity,
    /// What the host said that handed the request over, if one did.
    pub(super) note: Option<CarryNote>,
    /// The retry that the next send needs.
    pub(super) retry: Cell<RetryGrant>,
    /// Whether another host carries the request, and counts its answer.
    pub(super) is_carried: Cell<bool>,
}

impl CallContext {
    /// Returns what the request has in common with others, its fingerprint included if that matters
    /// now.
    pub(super) fn known_identity(&self) -> &RequestIdentity {
        if self.state.needs_fingerprints() {
            return self.full_identity();
        }
        &self.identity
    }

    /// Returns what the request has in common with others, its fingerprint included.
    pub(super) fn full_identity(&self) -> &RequestIdentity {
        self.identity.identify(|| self.request.fingerprint(self.state.codec.header_names()));
        &self.identity
    }

    /// Returns the time until the caller or the route times out.
    pub(super) fn remaining_time(&self) -> Duration {
        self.request.remaining_time(self.rule.timeout, self.state.now())
    }

    /// Returns a decision record for the request, with the version and age of the host's data.
    pub(super) fn decision(&self, event: LogEvent) -> RequestDecision<'_> {
        RequestDecision::new(event, &self.request.id, self.state.snapshot())
    }

    /// Builds the request to an endpoint; `None` if the caller's target is not a valid URI.
    pub(super) fn endpoint_request(&self, endpoint: &EndpointId) -> Option<Request<Full<Bytes>>> {
        let names = self.state.codec.header_names();
        let headers = self.request.outgoing_headers(names, endpoint.as_str(), self.state.now());
        let mut request = Request::new(Full::new(self.request.body.bytes().clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns the exchange of the request with an endpoint.
    pub(super) fn exchange(&self, life: EndpointLife, sender: SenderKind) -> EndpointExchange {
        EndpointExchange {
            state: Rc::clone(&self.state),
            life,
            sender,
            request_id: HeaderValue::from_str(&self.request.id).ok(),
        }
    }

    /// Tells the host that handed the request over that the endpoint's run is leaving, if it said so.
    pub(super) fn pass_leaving_on(&self, life: &EndpointLife, headers: &mut HeaderMap) {
        if self.note.is_some() && self.state.says_leaving(headers) {
            if let Ok(value) = HeaderValue::from_str(&life.to_string()) {
                headers.insert(LEAVING_HEADER, value);
            }
        }
    }

    /// Returns `true` if the response head of a host carries the identifier of another request.
    pub(super) fn belongs_to_other_request(&self, head: &HeaderMap) -> bool {
        let echoed = head.get(&self.state.codec.header_names().request_id);
        echoed.is_some_and(|id| id.as_bytes() != self.request.id.as_bytes())
    }

    /// Returns `true` if an endpoint's response head carries the identifier of this request and no other.
    ///
    /// Endpoints echo it; what lacks it belongs to no request.
    pub(super) fn is_own_answer(&self, head: &HeaderMap) -> bool {
        let mut echoed =
            head.get_all(&self.state.codec.header_names().request_id).iter().peekable();
        echoed.peek().is_some() && echoed.all(|id| id.as_bytes() == self.request.id.as_bytes())
    }

    /// Returns whether the request has run, by a response head.
    ///
    /// A refusal counts only with the id of this request, since an endpoint may repeat an earlier one on a
    /// kept connection. A status that promises "not run" does not count without the statement.
    pub(super) fn verdict_of(&self, status: StatusCode, head: &HeaderMap) -> RequestVerdict {
        let names = self.state.codec.header_names();
        let echoed = head.get(&names.request_id);
        let is_own = echoed.is_some_and(|id| id.as_bytes() == self.request.id.as_bytes());
        let is_stated =
            status == StatusCode::MISDIRECTED_REQUEST || head.contains_key(&names.not_run);
        match (is_stated, is_own) {
            (true, true) => RequestVerdict::NotRun,
            (true, false) => RequestVerdict::MayHaveRun,
            (false, _) if is_promise(status) => RequestVerdict::MayHaveRun,
            (false, _) => RequestVerdict::Ran,
        }
    }

    /// Takes a retry from the budget of the service, unless one is granted already; returns `true` if the
    /// request may be sent again.
    pub(super) async fn acquire_retry(&self) -> bool {
        if self.retry.take() == RetryGrant::Granted
            || self.state.acquire_retry(&self.service.service).await
        {
            return true;
        }
        self.retry.set(RetryGrant::Denied);
        false
    }

    /// Records that the request is being sent to an endpoint.
    pub(super) fn record_send(&self) {
        let time = self.state.now().since(self.request.received_at);
        self.state.metrics.record_send(self.rule.kind, time);
    }

    /// Returns the response to a request that was refused or failed.
    ///
    /// If another host handed the request over, it learns why this one has not sent it.
    pub(super) fn refusal(
        &self,
        cause: RefusalCause,
        retry_after: Option<Duration>,
        sends: u32,
    ) -> Response<ResponseBody> {
        let mut response = refusal_response(cause, retry_after);
        if let Some(refusal) = self.carry_refusal(cause, sends) {
            let reason = HeaderValue::from_static(refusal.name());
            response.headers_mut().insert(REFUSAL_HEADER, reason);
        }
        response
    }

    /// Returns why this host has not sent a request that it carries, if that is for the other host to know:
    /// what was sent before may go on elsewhere or later.
    fn carry_refusal(&self, cause: RefusalCause, sends: u32) -> Option<CarryRefusal> {
        let note = self.note.as_ref()?;
        let is_unsent_repeat = note.sends > 0 && sends == note.sends;
        match cause {
            RefusalCause::Unreachable => Some(CarryRefusal::OutOfReach),
            RefusalCause::NoEndpoint | RefusalCause::Overloaded if is_unsent_repeat => {
                let is_denied = self.retry.get() == RetryGrant::Denied;
                Some(if is_denied { CarryRefusal::NoRetry } else { CarryRefusal::NoPath })
            }
            _ => None,
        }
    }

    /// Returns `true` if this host counts the request's answer for its organisation.
    pub(super) fn counts_answer(&self) -> bool {
        !self.is_carried.get() && self.note.as_ref().is_none_or(|note| !note.is_counted)
    }

    /// Records that the request got a complete response.
    pub(super) fn record_completion(&self, sends: u32, detail: impl std::fmt::Display) {
        let time = self.state.now().since(self.request.received_at);
        let organisation = self.request.organisation.as_ref();
        if self.counts_answer() {
            self.state.metrics.record_completion(organisation, self.rule.kind, time);
        }
        self.decision(LogEvent::RequestAnswered).sends(sends).log(format_args!(
            "route {}, {detail}, {} ms after its arrival",
            self.rule.name,
            time.as_millis(),
        ));
    }
}

use {
    crate::{
        process::{GatewayState, InFlightRequest},
        request::CallerRequest,
    },
    bytes::Bytes,
    cassiafield::process::{LogEvent, RequestDecision},
    cassiafield_core::{
        ids::EndpointId,
        request::RequestIdentity,
        version::{RouteRule, ServiceRule},
    },
    http::{HeaderMap, Request},
    http_body_util::Full,
    std::{rc::Rc, time::Duration},
};

/// A caller's request together with its route and service.
pub(super) struct CallContext {
    pub(super) state: Rc<GatewayState>,
    pub(super) rule: RouteRule,
    pub(super) service: ServiceRule,
    pub(super) request: CallerRequest,
    /// Counts the request as in flight.
    pub(super) in_flight: InFlightRequest,
    /// What the request has in common with others.
    pub(super) identity: RequestIdentity,
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
        let mut request = Request::new(Full::new(self.request.body.clone()));
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = self.request.target.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }

    /// Returns `true` if a response head carries the identifier of another request.
    pub(super) fn belongs_to_other_request(&self, head: &HeaderMap) -> bool {
        let echoed = head.get(&self.state.codec.header_names().request_id);
        echoed.is_some_and(|id| id.as_bytes() != self.request.id.as_bytes())
    }

    /// Records that the request is being sent to an endpoint.
    pub(super) fn record_send(&self) {
        let time = self.state.now().since(self.request.received_at);
        self.state.metrics.record_send(self.rule.kind, time);
    }

    /// Records that the request got a complete response.
    pub(super) fn record_completion(&self, sends: u32, detail: impl std::fmt::Display) {
        let time = self.state.now().since(self.request.received_at);
        let organisation = self.request.organisation.as_ref();
        self.state.metrics.record_completion(organisation, self.rule.kind, time);
        self.decision(LogEvent::RequestAnswered).sends(sends).log(format_args!(
            "route {}, {detail}, {} ms after its arrival",
            self.rule.name,
            time.as_millis(),
        ));
    }
}

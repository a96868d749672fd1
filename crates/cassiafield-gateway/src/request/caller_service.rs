use {
    crate::{
        connection::CallerService,
        process::GatewayState,
        request::{
            call_context::CallContext, caller_request::strip_hop_headers, plain_call::PlainCall,
            refusal_reply::refusal, stream_call::StreamCall, CallerBody, CallerRequest,
        },
    },
    cassiafield::process::{LogEvent, RequestDecision},
    cassiafield_core::{
        ids::OrganisationId,
        request::{RefusalCause, RequestVerdict},
        version::{RouteRule, RouteTable},
    },
    http::{header, request::Parts, Request, Response},
    http_body_util::{BodyExt as _, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::{future::Future, pin::Pin, rc::Rc, time::Duration},
};

/// Answers the requests of callers on one host.
pub struct HostService {
    state: Rc<GatewayState>,
}

/// A request that the configuration allows, and the rules that it falls under.
struct AllowedRequest {
    table: Rc<RouteTable>,
    rule: RouteRule,
    request: CallerRequest,
}

impl HostService {
    /// Pause after which a caller is told to retry when the host cannot serve at all.
    const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(400);

    /// Creates the service over a host's state.
    #[must_use]
    pub const fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<CallerBody> {
        let arrived = self.state.now();
        let (parts, body) = request.into_parts();
        let allowed = match self.admit(&parts, arrived) {
            Ok(allowed) => allowed,
            Err(cause) => return self.refuse(&parts, cause),
        };
        let mut allowed = allowed;
        let limit = allowed.table.limits().max_body_bytes;
        match Limited::new(body, limit).collect().await {
            Ok(collected) => allowed.request.body = collected.to_bytes(),
            Err(error) => {
                let is_too_large = error.downcast_ref::<LengthLimitError>().is_some();
                let cause =
                    if is_too_large { RefusalCause::TooLarge } else { RefusalCause::BadRequest };
                return self.refuse(&parts, cause);
            }
        }
        self.dispatch(&parts, allowed).await
    }

    /// Tells a caller to use another connection for its next request if other hosts serve it better.
    fn mark_close(&self, answer: &mut Response<CallerBody>) {
        if self.state.redirects_callers() {
            let close = header::HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
    }

    /// Finds the route and the organisation of a request in the configuration in force.
    fn admit(
        &self,
        parts: &Parts,
        arrived: cassiafield_core::ids::Moment,
    ) -> Result<AllowedRequest, RefusalCause> {
        let serving = self.state.serving_time();
        if serving.is_zero() {
            return Err(RefusalCause::NotReady);
        }
        let table = self.state.table().ok_or(RefusalCause::NotReady)?;
        let names = self.state.codec.header_names();
        let text = |name: &header::HeaderName| {
            parts.headers.get(name).and_then(|value| value.to_str().ok())
        };
        let host = text(&header::HOST).unwrap_or_default();
        let path = parts.uri.path();
        let rule = table.route(host, path).ok_or(RefusalCause::NotFound)?.clone();
        let organisation = if table.requires_key() && !rule.is_public {
            Some(self.organisation(&table, text(&header::AUTHORIZATION))?)
        } else {
            None
        };
        let id = text(&names.request_id).ok_or(RefusalCause::BadRequest)?.into();
        let deadline = text(&names.deadline).and_then(|value| value.trim().parse().ok());
        let target = parts.uri.path_and_query().map_or(path, |target| target.as_str()).into();
        let mut headers = parts.headers.clone();
        strip_hop_headers(&mut headers);
        headers.remove(header::EXPECT);
        for name in [&names.expected_endpoint, &names.organisation, &names.layer_path] {
            headers.remove(name);
        }
        if organisation.is_some() {
            headers.remove(header::AUTHORIZATION);
        }
        let request = CallerRequest {
            id,
            arrived,
            method: parts.method.clone(),
            target,
            headers,
            body: bytes::Bytes::new(),
            deadline: deadline.map(Duration::from_millis),
            organisation,
        };
        if request.time_left(rule.timeout, arrived) > serving {
            return Err(RefusalCause::NotReady);
        }
        Ok(AllowedRequest { table, rule, request })
    }

    fn organisation(
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

    async fn dispatch(&self, parts: &Parts, allowed: AllowedRequest) -> Response<CallerBody> {
        let AllowedRequest { table, rule, request } = allowed;
        let draw = fastrand::u64(..);
        let Some(service) = rule.target(draw).and_then(|service| table.service(service)) else {
            return self.refuse(parts, RefusalCause::NoEndpoint);
        };
        let service = service.clone();
        let (organisation, kind) = (request.organisation.clone(), rule.kind);
        let arrived = request.arrived;
        let is_stream = service.engine.is_some() && kind.is_stream();
        let state = Rc::clone(&self.state);
        let running = self.state.running();
        let context = CallContext { state, rule, service, request, running };
        let answer = if is_stream {
            StreamCall::new(context).run().await
        } else {
            PlainCall::new(context).run().await
        };
        let time = self.state.now().since(arrived);
        let status = answer.status().as_u16();
        self.state.metrics.answered(organisation.as_ref(), kind, status, time);
        answer
    }

    fn refuse(&self, parts: &Parts, cause: RefusalCause) -> Response<CallerBody> {
        let names = self.state.codec.header_names();
        let id = parts.headers.get(&names.request_id).and_then(|value| value.to_str().ok());
        self.state.metrics.refused(cause);
        RequestDecision::new(LogEvent::RequestRefused, id.unwrap_or("-"), self.state.knowledge())
            .cause(cause)
            .verdict(RequestVerdict::NotRun)
            .log(format_args!("path {}", parts.uri.path()));
        let retry_after = match cause {
            RefusalCause::NotReady | RefusalCause::StoreUnavailable | RefusalCause::NoEndpoint => {
                Some(Self::NOT_READY_RETRY_AFTER)
            }
            _ => None,
        };
        refusal(cause, retry_after)
    }
}

impl CallerService for HostService {
    fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<CallerBody>>>> {
        Box::pin(async move {
            let mut answer = self.respond(request).await;
            self.mark_close(&mut answer);
            answer
        })
    }

    fn idle_limit(&self) -> Duration {
        self.state.limits().idle_timeout
    }

    fn head_limit(&self) -> usize {
        self.state.limits().max_header_bytes
    }

    fn redirects_callers(&self) -> bool {
        self.state.redirects_callers()
    }
}

use {
    crate::{
        connection::{RequestHandler, ServiceCall},
        process::EntryHost,
        request::{
            completion_call::CompletionCall,
            http_response::{header, respond, respond_json, respond_refusal},
            service_request::{hex, ServiceRequest},
            RequestRefusal,
        },
        version::ListVersion,
    },
    cassiafield_core::{
        ids::{Moment, OrganisationId, ServiceId},
        request::RefusalCause,
        version::PlanLimits,
    },
    serde_json::json,
    sha2::{Digest as _, Sha256},
    std::{io::Read as _, sync::Arc},
    tiny_http::{Method, Request},
};

/// The HTTP API for callers.
pub struct CallerApi {
    host: Arc<EntryHost>,
}

/// The organisation of an authenticated caller and the limits of its plan.
struct CallerIdentity {
    organisation: OrganisationId,
    limits: PlanLimits,
}

impl CallerApi {
    const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

    /// Creates the API of a host.
    #[must_use]
    pub const fn new(host: Arc<EntryHost>) -> Self {
        Self { host }
    }

    fn route(&self, mut http: Request, received_at: Moment) {
        let url = http.url().to_owned();
        let path = url.split('?').next().unwrap_or("");
        match path {
            "/healthz" => return respond(http, 200, "text/plain", b"ok\n".to_vec(), &[]),
            "/readyz" => return self.respond_readiness(http),
            _ => {}
        }
        let accepted = self.authenticate(&http).and_then(|caller| {
            check_method(&http, path)?;
            let body = self.read_body(&mut http)?;
            Ok((caller, body))
        });
        let (caller, body) = match accepted {
            Ok(accepted) => accepted,
            Err(refusal) => {
                self.host.metrics.count_event(refusal.cause.name());
                return respond_refusal(http, &refusal);
            }
        };
        match path {
            "/v1/models" => list_models(http, &caller),
            "/v1/completions" => self.complete(http, &caller, &body, received_at, false),
            "/v1/chat/completions" => self.complete(http, &caller, &body, received_at, true),
            _ => self.call_service(http, &caller, &url, body, received_at),
        }
    }

    fn respond_readiness(&self, http: Request) {
        match self.host.readiness() {
            Ok(()) => respond(http, 200, "text/plain", b"ready\n".to_vec(), &[]),
            Err(reason) => {
                respond_refusal(http, &RequestRefusal::not_run(RefusalCause::NotReady, reason));
            }
        }
    }

    fn authenticate(&self, http: &Request) -> Result<CallerIdentity, RequestRefusal> {
        let version = self.host.lists.current();
        if version.revision.0 == 0 {
            let detail = "the host has no lists yet";
            return Err(RequestRefusal::not_run(RefusalCause::NotReady, detail));
        }
        let unauthorised = || {
            let detail = "Authorization: expected a bearer key of an organisation";
            RequestRefusal::not_run(RefusalCause::Unauthorised, detail)
        };
        let key = header(http, "Authorization").and_then(|value| value.strip_prefix("Bearer "));
        identify(&version, key.ok_or_else(unauthorised)?).ok_or_else(unauthorised)
    }

    fn read_body(&self, http: &mut Request) -> Result<Vec<u8>, RequestRefusal> {
        let limit = self.host.settings.max_body_bytes;
        let too_large = || {
            let detail = format!("the body has more than {limit} bytes");
            RequestRefusal::not_run(RefusalCause::TooLarge, detail)
        };
        if http.body_length().is_some_and(|length| length > limit) {
            return Err(too_large());
        }
        let mut body = Vec::new();
        let mut reader = http.as_reader().take(limit as u64 + 1);
        reader.read_to_end(&mut body).map_err(|error| {
            RequestRefusal::not_run(RefusalCause::BadRequest, format!("body: {error}"))
        })?;
        if body.len() > limit {
            return Err(too_large());
        }
        Ok(body)
    }

    fn complete(
        &self,
        http: Request,
        caller: &CallerIdentity,
        body: &[u8],
        received_at: Moment,
        chat: bool,
    ) {
        let call = CompletionCall {
            host: &self.host,
            organisation: &caller.organisation,
            limits: &caller.limits,
            chat,
            received_at,
        };
        call.run(http, body);
    }

    fn call_service(
        &self,
        http: Request,
        caller: &CallerIdentity,
        url: &str,
        body: Vec<u8>,
        received_at: Moment,
    ) {
        let Some((service, path)) = split_service(url) else {
            let detail = format!("no such path: {}", url.split('?').next().unwrap_or(""));
            return respond_refusal(http, &RequestRefusal::not_run(RefusalCause::NotFound, detail));
        };
        let idempotency_key = header(&http, "Idempotency-Key").map(str::to_owned);
        if idempotency_key.as_ref().is_some_and(|key| !is_valid_idempotency_key(key)) {
            let detail = "Idempotency-Key: expected 1 to 255 characters";
            let refusal = RequestRefusal::not_run(RefusalCause::BadRequest, detail);
            return respond_refusal(http, &refusal);
        }
        let request = ServiceRequest {
            host: &self.host,
            organisation: &caller.organisation,
            limits: &caller.limits,
            service,
            call: ServiceCall {
                method: http.method().to_string(),
                path,
                content_type: header(&http, "Content-Type").map(str::to_owned),
                idempotency_key,
                body,
            },
            received_at,
        };
        request.run(http);
    }
}

impl RequestHandler for CallerApi {
    fn handle(&self, request: Request) {
        let received_at = self.host.clock.now();
        self.route(request, received_at);
    }
}

fn identify(version: &ListVersion, key: &str) -> Option<CallerIdentity> {
    let hash = hash_bearer_key(key);
    let organisation = version.lists.organisation_by_key_hash(&hash)?;
    let limits = version.lists.plan_limits(organisation)?;
    Some(CallerIdentity { organisation: organisation.clone(), limits: limits.clone() })
}

/// Returns the SHA-256 hash of a bearer key in hexadecimal, as stored in the lists.
#[must_use]
pub fn hash_bearer_key(key: &str) -> String {
    hex(&Sha256::digest(key.trim()))
}

fn is_valid_idempotency_key(key: &str) -> bool {
    !key.is_empty() && key.len() <= CallerApi::MAX_IDEMPOTENCY_KEY_BYTES
}

fn check_method(http: &Request, path: &str) -> Result<(), RequestRefusal> {
    let expected = match path {
        "/v1/models" => Method::Get,
        "/v1/completions" | "/v1/chat/completions" => Method::Post,
        _ => return Ok(()),
    };
    if http.method() == &expected {
        return Ok(());
    }
    let detail = format!("{path} takes {expected}");
    Err(RequestRefusal::not_run(RefusalCause::MethodNotAllowed, detail))
}

/// Splits `/v1/services/{service}/{path}` into the service and the path with its query.
fn split_service(url: &str) -> Option<(ServiceId, String)> {
    let rest = url.strip_prefix("/v1/services/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    Some((service.parse().ok()?, path))
}

fn list_models(http: Request, caller: &CallerIdentity) {
    let models: Vec<_> = caller
        .limits
        .models
        .iter()
        .map(|model| json!({ "id": model, "object": "model", "created": 0, "owned_by": "cassiafield" }))
        .collect();
    respond_json(http, 200, &json!({ "object": "list", "data": models }));
}

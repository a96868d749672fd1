use {
    cassiafield_core::request::{CallOutcome, RequestVerdict},
    compact_str::CompactString,
    std::{io::Read as _, time::Duration},
    ureq::{Agent, AgentBuilder, ErrorKind},
};

/// An HTTP call to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path below the service, including the query string.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl ServiceCall {
    /// Returns `true` if HTTP defines the method as safe, and so as idempotent.
    #[must_use]
    pub fn is_safe(&self) -> bool {
        matches!(self.method.as_str(), "GET" | "HEAD" | "OPTIONS")
    }
}

/// A complete response of a service.
#[derive(Clone, Debug)]
pub struct ServiceResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: CompactString,
    /// The body.
    pub body: Vec<u8>,
}

impl ServiceResponse {
    /// Maximum size of a body that is stored in the record of a claimed call.
    const MAX_RECORDED_BODY_BYTES: usize = 64 << 10;

    /// Returns the outcome to record, without the body if it is too large.
    #[must_use]
    pub fn outcome(&self) -> CallOutcome {
        let fits = self.body.len() <= Self::MAX_RECORDED_BODY_BYTES;
        CallOutcome {
            status: self.status,
            content_type: self.content_type.clone(),
            body: fits.then(|| self.body.clone()),
        }
    }
}

/// The result of a call to a service.
#[derive(Clone, Debug)]
pub enum ServiceResult {
    /// The service sent a complete response.
    Answered(ServiceResponse),
    /// No complete response was received; the verdict says whether the call may have run.
    Failed(RequestVerdict, String),
}

/// Client of the services.
pub trait ServiceClient: Send + Sync {
    /// Sends a call at most once, on a new connection.
    fn send(&self, address: &str, call: &ServiceCall, timeout: Duration) -> ServiceResult;
}

/// A [`ServiceClient`] over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpServiceClient;

impl HttpServiceClient {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
    /// Maximum size of a response body that is read.
    const MAX_RESPONSE_BYTES: u64 = 8 << 20;

    /// Creates an agent without a connection pool.
    ///
    /// A pooled connection may be dead without notice, and the HTTP library retries some requests
    /// that fail on one, so a call could be sent twice.
    fn unpooled_agent(timeout: Duration) -> Agent {
        AgentBuilder::new()
            .timeout_connect(Self::CONNECT_TIMEOUT.min(timeout))
            .timeout_read(timeout)
            .timeout_write(timeout)
            .max_idle_connections(0)
            .redirects(0)
            .build()
    }
}

impl ServiceClient for HttpServiceClient {
    fn send(&self, address: &str, call: &ServiceCall, timeout: Duration) -> ServiceResult {
        let url = format!("http://{address}{}", call.path);
        let mut request = Self::unpooled_agent(timeout).request(&call.method, &url);
        if let Some(content_type) = &call.content_type {
            request = request.set("Content-Type", content_type);
        }
        if let Some(key) = &call.idempotency_key {
            request = request.set("Idempotency-Key", key);
        }
        let sent = if call.body.is_empty() && call.is_safe() {
            request.call()
        } else {
            request.send_bytes(&call.body)
        };
        match sent {
            Ok(response) | Err(ureq::Error::Status(_, response)) => {
                read_response(response, &call.method)
            }
            Err(ureq::Error::Transport(transport)) => {
                ServiceResult::Failed(transport_verdict(&transport), transport.to_string())
            }
        }
    }
}

/// Returns whether a call that failed in transport may have reached the endpoint.
fn transport_verdict(transport: &ureq::Transport) -> RequestVerdict {
    match transport.kind() {
        ErrorKind::Dns
        | ErrorKind::ConnectionFailed
        | ErrorKind::InvalidUrl
        | ErrorKind::UnknownScheme => RequestVerdict::NotRun,
        _ => RequestVerdict::MayHaveRun,
    }
}

fn read_response(response: ureq::Response, method: &str) -> ServiceResult {
    let status = response.status();
    let content_type = CompactString::from(response.content_type());
    let content_length =
        response.header("Content-Length").and_then(|text| text.parse::<usize>().ok());
    let content_length = content_length.filter(|_| method != "HEAD");
    let mut body = Vec::new();
    let mut reader = response.into_reader().take(HttpServiceClient::MAX_RESPONSE_BYTES + 1);
    if let Err(error) = reader.read_to_end(&mut body) {
        return ServiceResult::Failed(RequestVerdict::MayHaveRun, error.to_string());
    }
    let limit = usize::try_from(HttpServiceClient::MAX_RESPONSE_BYTES).unwrap_or(usize::MAX);
    if body.len() > limit {
        return ServiceResult::Failed(
            RequestVerdict::MayHaveRun,
            "the response is too large".into(),
        );
    }
    if content_length.is_some_and(|length| length != body.len()) {
        return ServiceResult::Failed(
            RequestVerdict::MayHaveRun,
            "the response is truncated".into(),
        );
    }
    ServiceResult::Answered(ServiceResponse { status, content_type, body })
}

use {
    crate::connection::{
        platform_codec::next_page_start, HttpConnection, PlatformCodec, StoreCall, StoreCallError,
        StoreItem, StoreResponse,
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    http::{header, Request},
    http_body_util::{BodyExt as _, Full, Limited},
    prometheus::IntCounterVec,
    std::{net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::time::{timeout, Instant},
};

/// A client of the platform's store with its own connection, for one call at a time.
///
/// A connection is dropped when a call gets no complete response on it, since nothing more can be
/// read from it.
pub struct StoreClient {
    codec: Rc<dyn PlatformCodec>,
    address: SocketAddrV4,
    connection: Option<HttpConnection>,
    /// When the last call on the connection ended.
    used_at: Option<Instant>,
    /// What the calls are for, in the log.
    purpose: &'static str,
    /// Counts calls by call and result.
    calls: IntCounterVec,
}

impl StoreClient {
    /// Timeout of one call.
    ///
    /// A store that is a hundred times slower than usual still answers within it.
    pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);
    /// Duration from which an answered call is logged.
    ///
    /// It is half of the time that a change may spend in all calls on its way to a host.
    const SLOW_CALL_TIME: Duration = Duration::from_millis(100);
    /// Timeout of opening a connection.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    /// Maximum size of a response, in bytes.
    ///
    /// One page of the store holds at most a megabyte of values.
    const MAX_RESPONSE_BYTES: usize = 4 * 1_024 * 1_024;

    /// Creates a client that connects on its first call.
    #[must_use]
    pub fn new(
        codec: Rc<dyn PlatformCodec>,
        address: SocketAddrV4,
        calls: IntCounterVec,
        purpose: &'static str,
    ) -> Self {
        Self { codec, address, connection: None, used_at: None, purpose, calls }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    ///
    /// Except for [`StoreCallError::Refused`], the store may have applied the call.
    pub async fn call(&mut self, call: &StoreCall) -> Result<StoreResponse, StoreCallError> {
        let mut record = CallRecord { calls: &self.calls.clone(), name: call.name(), result: None };
        let idle_time = match &self.connection {
            Some(connection) if connection.is_ready() => self.used_at.map(|at| at.elapsed()),
            _ => None,
        };
        let started_at = Instant::now();
        let response = self.call_with_timeout(call).await;
        self.used_at = Some(Instant::now());
        self.log_delay(call, started_at.elapsed(), idle_time, response.as_ref().err());
        record.result = Some(match &response {
            Ok(_) => "done",
            Err(StoreCallError::Refused(_)) => "refused",
            Err(StoreCallError::Unreachable(_)) => "unreachable",
            Err(StoreCallError::Unreadable(_)) => "unreadable",
        });
        response
    }

    /// Makes a call and returns the response with the call's duration.
    ///
    /// # Errors
    ///
    /// As [`StoreClient::call`].
    pub async fn timed_call(
        &mut self,
        call: &StoreCall,
    ) -> Result<(StoreResponse, Duration), StoreCallError> {
        let started_at = Instant::now();
        self.call(call).await.map(|response| (response, started_at.elapsed()))
    }

    fn log_delay(
        &self,
        call: &StoreCall,
        duration: Duration,
        idle_time: Option<Duration>,
        error: Option<&StoreCallError>,
    ) {
        if error.is_none() && duration < Self::SLOW_CALL_TIME {
            return;
        }
        let connection = match idle_time {
            Some(idle_time) => format!("a connection idle for {} ms", idle_time.as_millis()),
            None => "a new connection".to_owned(),
        };
        let outcome = error.map_or_else(|| "answered".to_owned(), ToString::to_string);
        LogEvent::StoreCallDelayed.log(format_args!(
            "{}: {} on {connection} took {} ms: {outcome}",
            self.purpose,
            call.name(),
            duration.as_millis(),
        ));
    }

    async fn call_with_timeout(
        &mut self,
        call: &StoreCall,
    ) -> Result<StoreResponse, StoreCallError> {
        let result = timeout(Self::CALL_TIMEOUT, self.exchange(call)).await;
        let (status, body) = match result {
            Ok(Ok(found)) => found,
            Ok(Err(error)) => {
                self.connection = None;
                return Err(error);
            }
            Err(_) => {
                self.connection = None;
                return Err(StoreCallError::Unreachable("no answer in time".to_owned()));
            }
        };
        self.codec.parse_store_response(call, status, &body)
    }

    async fn exchange(&mut self, call: &StoreCall) -> Result<(u16, Bytes), StoreCallError> {
        let unreachable =
            |error: &dyn std::fmt::Display| StoreCallError::Unreachable(error.to_string());
        if self.connection.as_ref().is_none_or(|connection| !connection.is_ready()) {
            let opened = HttpConnection::connect(self.address, Self::CONNECT_TIMEOUT).await;
            self.connection = Some(opened.map_err(|error| unreachable(&error))?);
        }
        let Some(connection) = self.connection.as_mut() else {
            return Err(StoreCallError::Unreachable("no connection to the store".to_owned()));
        };
        let wire = self.codec.store_request(call);
        let mut request = Request::builder()
            .method(wire.method)
            .uri(wire.target)
            .header(header::HOST, self.address.to_string());
        if !wire.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, self.codec.content_type());
        }
        let request = request
            .body(Full::new(Bytes::from(wire.body)))
            .map_err(|error| StoreCallError::Unreadable(error.to_string()))?;
        let sent = connection.send(request, Self::CALL_TIMEOUT).await;
        let response = sent.map_err(|error| unreachable(&error))?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), Self::MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| unreachable(&error))?.to_bytes();
        connection.wait_ready(Duration::ZERO).await;
        Ok((status, body))
    }

    /// Reads all items whose keys start with `prefix`, page by page.
    ///
    /// # Errors
    ///
    /// Returns the first error of a page.
    pub async fn list(
        &mut self,
        prefix: &str,
        allow_stale: bool,
    ) -> Result<Vec<StoreItem>, StoreCallError> {
        let mut found = Vec::new();
        let mut after = String::new();
        loop {
            let prefix = prefix.to_owned();
            let call = StoreCall::List { prefix, after: after.clone(), allow_stale };
            match self.call(&call).await? {
                StoreResponse::Page { items, has_more } => {
                    let next = next_page_start(&after, &items, has_more)?;
                    found.extend(items);
                    match next {
                        Some(key) => after = key,
                        None => return Ok(found),
                    }
                }
                other => {
                    return Err(StoreCallError::Unreadable(format!("expected a page: {other:?}")))
                }
            }
        }
    }
}

/// Counts a call when it ends, also if its future is dropped.
struct CallRecord<'a> {
    calls: &'a IntCounterVec,
    name: &'static str,
    result: Option<&'static str>,
}

impl Drop for CallRecord<'_> {
    fn drop(&mut self) {
        let result = self.result.unwrap_or("abandoned");
        self.calls.with_label_values(&[self.name, result]).inc();
    }
}

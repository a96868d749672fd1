use {
    crate::{
        connection::{ConnectionError, HttpConnection},
        process::{GatewayState, SenderKind},
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::{EndpointIncarnation, EndpointLife},
    },
    http::{HeaderMap, HeaderValue, Request, Response, StatusCode},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{pin::pin, rc::Rc, time::Duration},
    tokio::{sync::oneshot, task::spawn_local, time::timeout},
};

/// Sends a request to an endpoint and records the backpressure signals of its response: pauses, limits
/// and departures.
///
/// They concern later requests, so they are recorded even if the caller disconnects or its deadline
/// passes before the response arrives.
pub struct EndpointExchange {
    /// The state of the host.
    pub state: Rc<GatewayState>,
    /// The run of the endpoint to which the request is sent; what the response says holds for it.
    pub life: EndpointLife,
    /// What sends to it.
    pub sender: SenderKind,
    /// Identifies the request; an answer to another one says nothing of limits. `None` for reports and
    /// orders.
    pub request_id: Option<HeaderValue>,
}

impl EndpointExchange {
    /// Time for which an abandoned request's response is awaited.
    ///
    /// After it the connection is closed, which cancels the work: within half a second of the caller's
    /// leaving, with time for the way there.
    const LATE_ANSWER_TIME: Duration = Duration::from_millis(300);

    /// Sends a request and returns the response head, with the connection, if it arrives in time.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    pub async fn send<C>(
        self,
        mut connection: C,
        request: Request<Full<Bytes>>,
        response_timeout: Duration,
    ) -> Result<(Response<Incoming>, C), ConnectionError>
    where
        C: AsMut<HttpConnection> + 'static,
    {
        let (mut sender, receiver) = oneshot::channel();
        spawn_local(async move {
            let sent_at = self.state.now();
            let result = {
                let mut sending = pin!(connection.as_mut().send(request, Duration::MAX));
                tokio::select! {
                    result = sending.as_mut() => result,
                    () = sender.closed() => {
                        let late = timeout(Self::LATE_ANSWER_TIME, sending).await;
                        late.unwrap_or(Err(ConnectionError::TimedOut))
                    }
                }
            };
            if let Ok(response) = &result {
                self.record_signals(response.status(), response.headers(), sent_at);
            }
            // Dropping a late response closes its connection.
            drop(sender.send(result.map(|response| (response, connection))));
        });
        match timeout(response_timeout, receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(ConnectionError::TimedOut),
        }
    }

    /// Records the backpressure signals of a response head.
    fn record_signals(&self, status: StatusCode, headers: &HeaderMap, sent_at: Moment) {
        let Self { state, life, sender, request_id } = self;
        let names = state.codec.header_names();
        let is_other = request_id.as_ref().is_some_and(|id| {
            headers.get(&names.request_id).is_some_and(|echoed| echoed.as_bytes() != id.as_bytes())
        });
        state.record_pause(life, status, headers);
        if !is_other {
            state.record_limit(&life.endpoint, *sender, headers, sent_at);
            if state.says_leaving(headers) {
                state.record_leaving(life, sender.name());
            }
        }
    }
}

impl GatewayState {
    /// Returns `true` if a response head says that its endpoint is leaving.
    #[must_use]
    pub fn says_leaving(&self, headers: &HeaderMap) -> bool {
        let values = headers.get_all(&self.codec.header_names().leaving);
        values.iter().any(|value| value.as_bytes().trim_ascii() != b"0")
    }

    /// Records that a run of an endpoint has said in an answer that it is leaving: it gets no new work.
    pub fn record_leaving(&self, life: &EndpointLife, source: &str) {
        let now = self.now();
        if self.directory.borrow_mut().record_leaving(life, now) {
            LogEvent::EndpointLeaving
                .log(format_args!("endpoint {}, by its answer to a {source}", life.endpoint));
        }
    }

    /// Returns the run of an endpoint; the first one if it is not listed.
    #[must_use]
    pub fn life_of(&self, endpoint: &EndpointId) -> EndpointLife {
        let listed = self.directory.borrow().life(endpoint);
        let incarnation = EndpointIncarnation::default();
        listed.unwrap_or_else(|| EndpointLife { endpoint: endpoint.clone(), incarnation })
    }
}

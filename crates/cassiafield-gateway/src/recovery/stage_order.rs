use {
    crate::{
        connection::{ConnectionError, ConnectionNeed},
        process::{EndpointExchange, GatewayState, SenderKind},
    },
    bytes::Bytes,
    cassiafield_core::{
        connections::ConnectionPurpose,
        request::{RouteStage, StageRoute},
        version::ServiceRule,
    },
    compact_str::{CompactString, ToCompactString as _},
    http::{header, HeaderValue, Request, StatusCode},
    http_body_util::Full,
    std::{net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// An order to the first endpoint of a running request to go on over another path.
pub struct StageOrder {
    /// The state of the host.
    pub state: Rc<GatewayState>,
    /// The service of the path's endpoints.
    pub service: ServiceRule,
    /// The request's id.
    pub request_id: CompactString,
    /// The new path.
    pub route: StageRoute,
}

/// What came of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The endpoint has begun to carry it out, or has done so.
    Accepted,
    /// The endpoint does not know the request.
    Unknown,
    /// The endpoint refused it.
    Refused {
        /// The status of its answer.
        status: StatusCode,
        /// The endpoint of the new path that cannot take its part, if the answer names one.
        address: Option<CompactString>,
    },
    /// It may have been accepted, or be carried out at any later time.
    Unanswered,
    /// It was not sent.
    Unsent,
}

impl OrderOutcome {
    /// Returns the label in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            OrderOutcome::Accepted => "accepted",
            OrderOutcome::Unknown => "unknown-request",
            OrderOutcome::Refused { .. } => "refused",
            OrderOutcome::Unanswered => "unanswered",
            OrderOutcome::Unsent => "unsent",
        }
    }
}

impl StageOrder {
    /// Time for a connection and for the answer, each; endpoints answer orders without queueing.
    ///
    /// Later the stream has to start elsewhere to meet its objective.
    const TIMEOUT: Duration = Duration::from_millis(50);

    /// Sends the order and waits for its answer.
    pub async fn send(self) -> OrderOutcome {
        let Self { state, service, request_id, route } = self;
        let Some((first, rest)) = route.stages().split_first() else { return OrderOutcome::Unsent };
        let Ok(address) = first.address.parse::<SocketAddrV4>() else {
            return OrderOutcome::Unsent;
        };
        let allowance = state.idle_allowance(&service, &first.endpoint);
        let now = state.now();
        let need = ConnectionNeed { at_most_once: true, request_id: &request_id };
        let opened = state.pool.checkout(address, need, now, Self::TIMEOUT).await;
        let Ok(connection) = opened else { return OrderOutcome::Unsent };
        state.record_connection_use(ConnectionPurpose::Order, connection.is_reused);
        if !connection.is_reused {
            state.metrics.count_connection();
            state.record_connection(&service.service, now);
        }
        let wire = state.codec.replacement_order(&request_id, &route);
        let names = state.codec.header_names();
        let request = Request::builder()
            .method(wire.method)
            .uri(wire.target)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, state.codec.content_type())
            .header(names.expected_endpoint.clone(), first.endpoint.as_str())
            .body(Full::new(Bytes::from(wire.body)));
        let is_useful = !rest.iter().any(|stage| state.is_paused(&stage.endpoint));
        let Ok(request) = request else { return OrderOutcome::Unsent };
        if !is_useful || !state.begin_send(&first.endpoint, SenderKind::Order) {
            connection.return_to(&state.pool, allowance, state.now());
            return OrderOutcome::Unsent;
        }
        let exchange = EndpointExchange {
            state: Rc::clone(&state),
            life: state.life_of(&first.endpoint),
            sender: SenderKind::Order,
            request_id: None,
        };
        let (response, mut connection) =
            match exchange.send(connection, request, Self::TIMEOUT).await {
                Ok(answered) => answered,
                Err(ConnectionError::Unsent) => return OrderOutcome::Unsent,
                Err(_) => return OrderOutcome::Unanswered,
            };
        let (parts, body) = response.into_parts();
        let text = |value: Option<&HeaderValue>| {
            value.and_then(|value| value.to_str().ok()).map(|text| text.trim().to_compact_string())
        };
        // A late extra answer to an earlier request on the connection.
        let echoed = text(parts.headers.get(&names.request_id));
        if echoed.is_some_and(|echoed| echoed != request_id) {
            return OrderOutcome::Unanswered;
        }
        let is_reusable = connection.apply_response_head(&parts.headers);
        let reading = state.bodies.collect(body, GatewayState::MAX_REPORT_BYTES);
        let body = timeout(Self::TIMEOUT, reading).await.ok().and_then(Result::ok);
        let named = body.as_ref().and_then(|body| state.codec.parse_refused_address(body));
        let address = text(parts.headers.get(&names.failed_address)).or(named);
        if is_reusable && body.is_some() {
            connection.return_to(&state.pool, allowance, state.now());
        }
        match parts.status {
            StatusCode::OK | StatusCode::ACCEPTED => OrderOutcome::Accepted,
            StatusCode::NOT_FOUND => OrderOutcome::Unknown,
            status => OrderOutcome::Refused { status, address },
        }
    }
}

/// Returns the endpoint of a path at an address.
pub(crate) fn stage_at<'a>(route: &'a StageRoute, address: &str) -> Option<&'a RouteStage> {
    route.stages().iter().find(|stage| stage.address == address)
}

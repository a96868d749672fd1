use {
    crate::{
        connection::{
            BodyError, ConnectionError, EndpointReport, HttpConnection, StoreCall, StoreClient,
            StoreResponse, WireRequest,
        },
        process::{EndpointExchange, GatewayState, SenderKind},
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        connections::ConnectionPurpose,
        ids::{EndpointId, Moment},
        process::{
            EndpointEntry, EndpointIncarnation, LayerAssignment, LayerPlacement, PlacementCandidate,
        },
        request::{LayerSpan, RequestVerdict},
        version::ServiceRule,
    },
    http::{header, Request, StatusCode},
    http_body_util::Full,
    std::{collections::HashMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Assigns layers to empty model endpoints, on the one host that holds the placer's lease.
pub struct LayerPlacer {
    state: Rc<GatewayState>,
    client: StoreClient,
    lease: Option<HeldLease>,
    orders: HashMap<(EndpointId, EndpointIncarnation), PendingOrder>,
    /// When each endpoint last rejected an order.
    rejected_at: HashMap<EndpointId, Moment>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: u64,
    /// When the last successful renewal was requested.
    renewed_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    span: LayerSpan,
    issued_at: Moment,
}

impl LayerPlacer {
    /// Key that is attached to the lease.
    const LEASE_KEY: &'static str = "cassiafield/layer-placer";
    /// Time to live of the lease.
    const LEASE_TTL: Duration = Duration::from_secs(4);
    /// Time after a renewal for which the holder acts on the lease.
    ///
    /// It is shorter than the time to live, so that a holder stops before another host can acquire
    /// the lease.
    const LEASE_VALIDITY: Duration = Duration::from_secs(3);
    /// Interval between two checks of the endpoints while the host holds the lease.
    const HOLDER_INTERVAL: Duration = Duration::from_millis(500);
    /// Interval between two attempts to acquire the lease.
    const ACQUIRE_INTERVAL: Duration = Duration::from_millis(1_200);
    /// Average number of rounds per attempt to acquire the lease, on a host that does not lead its
    /// availability zone.
    const NON_LEADER_ROUNDS_PER_ATTEMPT: u32 = 6;
    /// Time for which the number of endpoints must be stable before the first orders.
    const ENDPOINT_SETTLE_TIME: Duration = Duration::from_millis(900);
    /// Age after which an order whose effect is not listed is no longer treated as pending.
    const MAX_PENDING_ORDER_AGE: Duration = Duration::from_secs(20);
    /// Time for which a new endpoint stays empty while one that it may replace is listed.
    const REPLACEMENT_WAIT: Duration = Duration::from_millis(1_600);
    /// Time for which an endpoint that rejected an order gets no new one.
    const REJECTED_ORDER_BACKOFF: Duration = Duration::from_secs(3);
    /// Used fraction of a link between zones above which the links count as scarce.
    const SCARCE_LINK_FRACTION: f64 = 0.35;
    /// Timeout of sending an order.
    const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

    /// Creates the placer of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let client = StoreClient::new(
            Rc::clone(&state.codec),
            state.settings.store_address,
            state.metrics.store_calls(),
            "the placer's lease",
        );
        Self { state, client, lease: None, orders: HashMap::new(), rejected_at: HashMap::new() }
    }

    /// Runs until the host stops.
    pub async fn run(mut self) {
        let mut last_change = (0, self.state.now());
        loop {
            if self.state.is_stopping() {
                self.release_lease().await;
                return;
            }
            if !self.ensure_lease().await {
                let interval = if self.lease.is_some() {
                    Self::HOLDER_INTERVAL
                } else {
                    Self::ACQUIRE_INTERVAL
                };
                sleep(interval.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
                continue;
            }
            let now = self.state.now();
            let (count, holders) = self.count_endpoints();
            if count != last_change.0 {
                last_change = (count, now);
            }
            // The first placement should cover all endpoints; endpoints that join later need not
            // wait.
            if holders > 0 || now.since(last_change.1) >= Self::ENDPOINT_SETTLE_TIME {
                self.place_layers().await;
            }
            sleep(Self::HOLDER_INTERVAL).await;
        }
    }

    /// Returns the number of endpoints and the number of those that hold layers.
    fn count_endpoints(&self) -> (usize, usize) {
        let directory = self.state.directory.borrow();
        let holders = directory.entries().filter(|entry| entry.span.is_some()).count();
        (directory.len(), holders)
    }

    async fn release_lease(&mut self) {
        if let Some(held) = self.lease.take() {
            let response = self.client.call(&StoreCall::Revoke { lease: held.lease }).await;
            LogEvent::PlacerLeaseLost.log(format_args!("released: {response:?}"));
        }
    }

    /// Renews the lease or attempts to acquire it; returns `true` if the host may act on it.
    async fn ensure_lease(&mut self) -> bool {
        let requested_at = self.state.now();
        if self.state.gives_up_lead() {
            // A host that reaches endpoints places layers instead.
            self.release_lease().await;
            return false;
        }
        if let Some(held) = self.lease {
            if requested_at.since(held.renewed_at) < Self::LEASE_TTL / 4 {
                return true;
            }
            match self.client.call(&StoreCall::Renew { lease: held.lease }).await {
                Ok(StoreResponse::LeaseDone) => {
                    self.lease = Some(HeldLease { renewed_at: requested_at, ..held });
                }
                Ok(_) => self.drop_lease("the lease has expired"),
                // The lease may still exist in the store; it is renewed once the store is back.
                Err(error) => {
                    LogEvent::StoreUnreachable
                        .log(format_args!("the placer's lease was not renewed: {error}"));
                }
            }
            return self.is_lease_valid();
        }
        // Only zone leaders try regularly, which limits the load on the store. The other hosts try
        // now and then, since a leader may be unable to reach the store.
        let is_due = self.state.is_zone_leader()
            || fastrand::u32(..Self::NON_LEADER_ROUNDS_PER_ATTEMPT) == 0;
        is_due && self.acquire_lease(requested_at).await
    }

    /// Returns `true` if the lease was renewed so recently that no other host can hold it.
    fn is_lease_valid(&self) -> bool {
        self.lease
            .is_some_and(|held| self.state.now().since(held.renewed_at) < Self::LEASE_VALIDITY)
    }

    fn drop_lease(&mut self, reason: &str) {
        LogEvent::PlacerLeaseLost.log(reason);
        self.lease = None;
    }

    async fn acquire_lease(&mut self, requested_at: Moment) -> bool {
        // A stale response is sufficient, since the write below is conditional.
        match self.client.list(Self::LEASE_KEY, true).await {
            Ok(items) if items.is_empty() => {}
            Ok(_) => return false,
            Err(error) => {
                LogEvent::StoreUnreachable.log(format_args!("the placer's lease: {error}"));
                return false;
            }
        }
        let ttl_ms = u64::try_from(Self::LEASE_TTL.as_millis()).unwrap_or(u64::MAX);
        let lease = match self.client.call(&StoreCall::Grant { ttl_ms }).await {
            Ok(StoreResponse::Lease { lease, .. }) => lease,
            response => {
                LogEvent::StoreUnreachable
                    .log(format_args!("the placer's lease was not granted: {response:?}"));
                return false;
            }
        };
        let put = StoreCall::Put {
            key: Self::LEASE_KEY.to_owned(),
            value: self.state.settings.host.as_str().as_bytes().to_vec(),
            lease,
            expected_revision: Some(0),
        };
        // A write without a response may have been applied; the lease then expires unused.
        let response = self.client.call(&put).await;
        if response != Ok(StoreResponse::Written) {
            LogEvent::PlacerLeaseMissed.log(format_args!("{response:?}"));
            return false;
        }
        LogEvent::PlacerLeaseTaken.log(format_args!("lease {lease}"));
        self.lease = Some(HeldLease { lease, renewed_at: requested_at });
        true
    }

    /// Sends orders for layers to empty endpoints.
    async fn place_layers(&mut self) {
        let Some(table) = self.state.route_table() else { return };
        for service in table.services().filter(|service| service.engine.is_some()) {
            for assignment in self.assignments(service) {
                if !self.is_lease_valid() {
                    return;
                }
                self.issue_order(&assignment).await;
            }
        }
    }

    fn assignments(&mut self, service: &ServiceRule) -> Vec<LayerAssignment> {
        let Some(engine) = &service.engine else { return Vec::new() };
        let now = self.state.now();
        let directory = self.state.directory.borrow();
        let entries: Vec<&EndpointEntry> = directory.live_entries(&service.service).collect();
        self.orders.retain(|(endpoint, incarnation), order| {
            let entry = directory.entry(endpoint).filter(|entry| entry.incarnation == *incarnation);
            let is_done = entry.is_none_or(|entry| entry.span == Some(order.span));
            !is_done && now.since(order.issued_at) < Self::MAX_PENDING_ORDER_AGE
        });
        let mut candidates = Vec::with_capacity(entries.len());
        for entry in &entries {
            let profile = entry.accelerator.as_ref().and_then(|kind| engine.accelerator(kind));
            let Some(profile) = profile else { continue };
            let ordered = self.orders.get(&(entry.endpoint.clone(), entry.incarnation));
            let seen = directory.first_listed_at(&entry.endpoint).unwrap_or(now);
            let may_wait = now.since(seen) < Self::REPLACEMENT_WAIT;
            let was_rejected = self
                .rejected_at
                .get(&entry.endpoint)
                .is_some_and(|&at| now.since(at) < Self::REJECTED_ORDER_BACKOFF);
            candidates.push(PlacementCandidate {
                endpoint: entry.endpoint.clone(),
                zone: entry.zone.clone(),
                profile: profile.clone(),
                held: ordered.map(|order| order.span).or(entry.span),
                is_loading: ordered.is_some() || was_rejected,
                is_busy: self.state.load.borrow().total_usage(&entry.endpoint, now).streams > 0,
                is_deferred: was_rejected
                    || directory.blocked_until(&entry.endpoint, now).is_some()
                    || may_wait && entries.iter().any(|old| may_be_replaced_by(old, entry)),
            });
        }
        let load = self.state.load.borrow();
        let are_links_scarce =
            load.links.largest_fraction(engine, now) > Self::SCARCE_LINK_FRACTION;
        LayerPlacement { engine, are_links_scarce }.assign(&candidates)
    }

    async fn issue_order(&mut self, assignment: &LayerAssignment) {
        let entry = self.state.directory.borrow().entry(&assignment.endpoint).cloned();
        let Some(entry) = entry else { return };
        let key = (entry.endpoint.clone(), entry.incarnation);
        let issued_at = self.state.now();
        self.orders.insert(key.clone(), PendingOrder { span: assignment.span, issued_at });
        let result = timeout(Self::ORDER_TIMEOUT, self.send_order(&entry, assignment.span)).await;
        let outcome = match result {
            Ok(Ok(status)) if status.is_success() => "accepted".to_owned(),
            // The endpoint is busy with an order of another host, or its state differs from the
            // list.
            Ok(Ok(status)) => {
                self.orders.remove(&key);
                self.rejected_at.insert(key.0, issued_at);
                format!("status {status}")
            }
            Ok(Err(error)) if error.verdict() == RequestVerdict::NotRun => {
                self.orders.remove(&key);
                self.rejected_at.insert(key.0, issued_at);
                error.to_string()
            }
            // The order may have been accepted; it counts as pending until it expires.
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.state.metrics.count_layer_order(outcome == "accepted");
        LogEvent::LayersOrdered.log(format_args!(
            "endpoint {} layers {} after {} orders: {outcome}",
            entry.endpoint, assignment.span, entry.orders,
        ));
    }

    async fn send_order(
        &self,
        entry: &EndpointEntry,
        span: LayerSpan,
    ) -> Result<StatusCode, ConnectionError> {
        let connection = HttpConnection::connect(entry.address, Self::ORDER_TIMEOUT).await?;
        self.state.record_connection_use(ConnectionPurpose::Order, false);
        let (orders, connection) = self.current_orders(connection, entry).await?;
        self.begin_send(entry)?;
        let wire = self.state.codec.placement_order(span, orders);
        let request = self.endpoint_request(entry, wire)?;
        let exchange = self.exchange(entry);
        let (response, _) = exchange.send(connection, request, Self::ORDER_TIMEOUT).await?;
        Ok(response.status())
    }

    /// Returns an error if the endpoint has asked for a pause.
    fn begin_send(&self, entry: &EndpointEntry) -> Result<(), ConnectionError> {
        let may_send = self.state.begin_send(&entry.endpoint, SenderKind::Order);
        may_send.then_some(()).ok_or(ConnectionError::Unsent)
    }

    /// Fetches the number of orders that an endpoint has accepted.
    async fn current_orders(
        &self,
        connection: HttpConnection,
        entry: &EndpointEntry,
    ) -> Result<(u64, HttpConnection), ConnectionError> {
        if entry.orders == 0 {
            return Ok((0, connection));
        }
        self.begin_send(entry)?;
        let request = self.endpoint_request(entry, self.state.codec.report_request())?;
        let exchange = self.exchange(entry);
        let (response, connection) =
            exchange.send(connection, request, Self::ORDER_TIMEOUT).await?;
        let reading =
            self.state.bodies.collect(response.into_body(), GatewayState::MAX_REPORT_BYTES);
        let body = match reading.await {
            Ok(body) => body,
            Err(BodyError::Broken(error)) => return Err(ConnectionError::Broken(error)),
            Err(BodyError::TooLarge | BodyError::NoMemory) => return Err(ConnectionError::Unsent),
        };
        let report: Option<EndpointReport> = match self.state.codec.parse_report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                LogEvent::EntryRejected
                    .log(format_args!("report of {}: {error:#}", entry.endpoint));
                None
            }
        };
        Ok((report.map_or(entry.orders, |report| report.orders), connection))
    }

    fn exchange(&self, entry: &EndpointEntry) -> EndpointExchange {
        EndpointExchange {
            state: Rc::clone(&self.state),
            life: entry.life(),
            sender: SenderKind::Order,
            request_id: None,
        }
    }

    fn endpoint_request(
        &self,
        entry: &EndpointEntry,
        wire: WireRequest,
    ) -> Result<Request<Full<Bytes>>, ConnectionError> {
        let names = self.state.codec.header_names();
        let address: SocketAddrV4 = entry.address;
        let mut request = Request::builder()
            .method(wire.method)
            .uri(wire.target)
            .header(header::HOST, address.to_string())
            .header(names.expected_endpoint.clone(), entry.endpoint.as_str());
        if !wire.body.is_empty() {
            request = request.header(header::CONTENT_TYPE, self.state.codec.content_type());
        }
        request.body(Full::new(Bytes::from(wire.body))).map_err(|_| ConnectionError::Unsent)
    }
}

/// Returns `true` if `new` may be the replacement of `old`.
///
/// Both are in the same availability zone and of the same kind, only `old` holds layers, and it did
/// not start after `new`.
fn may_be_replaced_by(old: &EndpointEntry, new: &EndpointEntry) -> bool {
    let is_alike = old.zone == new.zone && old.accelerator == new.accelerator;
    is_alike && old.span.is_some() && new.span.is_none() && old.incarnation <= new.incarnation
}

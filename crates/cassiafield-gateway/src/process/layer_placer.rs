use {
    crate::{
        connection::{
            ConnectionError, EndpointReport, HttpConnection, StoreCall, StoreClient, StoreResponse,
            WireRequest,
        },
        process::GatewayState,
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::{
            EndpointEntry, EndpointIncarnation, LayerAssignment, LayerPlacement, PlacementCandidate,
        },
        request::LayerSpan,
        version::ServiceRule,
    },
    http::{header, Request, StatusCode},
    http_body_util::{BodyExt as _, Full},
    std::{collections::HashMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Tells empty model endpoints which layers to hold, on the one host that holds the lease.
pub struct LayerPlacer {
    state: Rc<GatewayState>,
    client: StoreClient,
    lease: Option<HeldLease>,
    orders: HashMap<(EndpointId, EndpointIncarnation), PendingOrder>,
    /// When an order was last not taken by each endpoint.
    rejected_at: HashMap<EndpointId, Moment>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: u64,
    /// When the lease was last renewed, counted from when that was asked for.
    renewed_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PendingOrder {
    span: LayerSpan,
    at: Moment,
}

impl LayerPlacer {
    /// Key that the host with the lease holds.
    const LEASE_KEY: &'static str = "cassiafield/layer-placer";
    /// Time to live of the lease.
    const LEASE_TTL: Duration = Duration::from_secs(4);
    /// Part of the lease's life for which its holder acts, so that it stops before another starts.
    const LEASE_VALIDITY: Duration = Duration::from_secs(3);
    /// Pause between two looks at the endpoints while holding the lease.
    const HOLDER_INTERVAL: Duration = Duration::from_millis(500);
    /// Pause between two tries to get the lease.
    const ACQUIRE_INTERVAL: Duration = Duration::from_millis(1_200);
    /// Tries of a host that leads no availability zone of which one is made, on average.
    const NON_LEADER_ACQUIRE_ONE_IN: u32 = 6;
    /// Time for which the list of endpoints must not grow before the first orders.
    const ENDPOINT_SETTLE_TIME: Duration = Duration::from_millis(900);
    /// Time after which an order whose effect is not listed is looked into.
    const MAX_PENDING_ORDER_AGE: Duration = Duration::from_secs(20);
    /// Time for which a new endpoint waits for the one that it replaces to leave, if any does.
    const REPLACEMENT_WAIT: Duration = Duration::from_millis(1_600);
    /// Time for which an endpoint that did not take an order gets none.
    const REJECTED_ORDER_BACKOFF: Duration = Duration::from_secs(3);
    /// Longest time for an order's answer.
    const ORDER_TIMEOUT: Duration = Duration::from_millis(600);

    /// Creates the placer of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let client = StoreClient::new(
            Rc::clone(&state.codec),
            state.profile.store_address,
            state.metrics.store_calls(),
        );
        Self { state, client, lease: None, orders: HashMap::new(), rejected_at: HashMap::new() }
    }

    /// Runs for as long as the host.
    pub async fn run(mut self) {
        let mut last_change = (0, self.state.now());
        loop {
            if self.state.is_stopping() {
                self.release_lease().await;
                return;
            }
            if !self.ensure_lease().await {
                let pause = if self.lease.is_some() {
                    Self::HOLDER_INTERVAL
                } else {
                    Self::ACQUIRE_INTERVAL
                };
                sleep(pause.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
                continue;
            }
            let now = self.state.now();
            let (count, holders) = self.count_endpoints();
            if count != last_change.0 {
                last_change = (count, now);
            }
            // The first layers are placed once for all; later endpoints are not kept waiting.
            if holders > 0 || now.since(last_change.1) >= Self::ENDPOINT_SETTLE_TIME {
                self.place_layers().await;
            }
            sleep(Self::HOLDER_INTERVAL).await;
        }
    }

    /// Returns the number of endpoints, and of those that hold layers.
    fn count_endpoints(&self) -> (usize, usize) {
        let directory = self.state.directory.borrow();
        let holders = directory.entries().filter(|entry| entry.span.is_some()).count();
        (directory.len(), holders)
    }

    async fn release_lease(&mut self) {
        if let Some(held) = self.lease.take() {
            let ended = self.client.call(&StoreCall::Revoke { lease: held.lease }).await;
            LogEvent::PlacerLeaseLost.log(format_args!("handed back: {ended:?}"));
        }
    }

    /// Renews the lease or tries to get it; returns whether the host may act on it.
    async fn ensure_lease(&mut self) -> bool {
        let requested_at = self.state.now();
        if let Some(held) = self.lease {
            if requested_at.since(held.renewed_at) < Self::LEASE_TTL / 4 {
                return true;
            }
            match self.client.call(&StoreCall::Renew { lease: held.lease }).await {
                Ok(StoreResponse::LeaseDone) => {
                    self.lease = Some(HeldLease { renewed_at: requested_at, ..held });
                }
                Ok(_) => self.drop_lease("the lease has ended"),
                // The lease may live on in the store; it is renewed when the store is back.
                Err(error) => {
                    LogEvent::StoreUnreachable.log(format_args!("lease not renewed: {error}"));
                }
            }
            return self.is_lease_valid();
        }
        // One host of each availability zone seeks it, which spares the store; the others now and
        // then, since that one may be cut off from the store.
        let is_due =
            self.state.is_zone_leader() || fastrand::u32(..Self::NON_LEADER_ACQUIRE_ONE_IN) == 0;
        is_due && self.acquire_lease(requested_at).await
    }

    /// Says whether the lease was renewed so lately that no other host can hold it.
    fn is_lease_valid(&self) -> bool {
        self.lease
            .is_some_and(|held| self.state.now().since(held.renewed_at) < Self::LEASE_VALIDITY)
    }

    fn drop_lease(&mut self, why: &str) {
        LogEvent::PlacerLeaseLost.log(why);
        self.lease = None;
    }

    async fn acquire_lease(&mut self, requested_at: Moment) -> bool {
        // A stale answer will do: the write below is under a condition.
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
                LogEvent::StoreUnreachable.log(format_args!("no lease to place: {response:?}"));
                return false;
            }
        };
        let put = StoreCall::Put {
            key: Self::LEASE_KEY.to_owned(),
            value: self.state.profile.host.as_str().as_bytes().to_vec(),
            lease,
            expected_revision: Some(0),
        };
        // An unanswered write may have been done; then the lease runs out unused.
        let response = self.client.call(&put).await;
        if response != Ok(StoreResponse::Written) {
            LogEvent::PlacerLeaseMissed.log(format_args!("{response:?}"));
            return false;
        }
        LogEvent::PlacerLeaseTaken.log(format_args!("lease {lease}"));
        self.lease = Some(HeldLease { lease, renewed_at: requested_at });
        true
    }

    /// Orders layers for every empty endpoint.
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
            !is_done && now.since(order.at) < Self::MAX_PENDING_ORDER_AGE
        });
        let mut candidates = Vec::with_capacity(entries.len());
        for entry in &entries {
            let profile = entry.accelerator.as_ref().and_then(|kind| engine.accelerator(kind));
            let Some(profile) = profile else { continue };
            let ordered = self.orders.get(&(entry.endpoint.clone(), entry.incarnation));
            let seen = directory.known_since(&entry.endpoint).unwrap_or(now);
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
                is_busy: self.state.load.borrow().total(&entry.endpoint, now).streams > 0,
                is_waiting: was_rejected
                    || may_wait && entries.iter().any(|old| may_be_replaced_by(old, entry)),
            });
        }
        LayerPlacement { engine }.assign(&candidates)
    }

    async fn issue_order(&mut self, assignment: &LayerAssignment) {
        let entry = self.state.directory.borrow().entry(&assignment.endpoint).cloned();
        let Some(entry) = entry else { return };
        let key = (entry.endpoint.clone(), entry.incarnation);
        let at = self.state.now();
        self.orders.insert(key.clone(), PendingOrder { span: assignment.span, at });
        let result = timeout(Self::ORDER_TIMEOUT, self.send_order(&entry, assignment.span)).await;
        let outcome = match result {
            Ok(Ok(status)) if status.is_success() => "accepted".to_owned(),
            // It is busy with an order of another host, or not in the state that was listed.
            Ok(Ok(status)) => {
                self.orders.remove(&key);
                self.rejected_at.insert(key.0, at);
                format!("status {status}")
            }
            Ok(Err(ConnectionError::Connect(error))) => {
                self.orders.remove(&key);
                self.rejected_at.insert(key.0, at);
                format!("not reached: {error}")
            }
            // It may have been accepted: it counts as given until it is old.
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
        let mut connection = HttpConnection::connect(entry.address, Self::ORDER_TIMEOUT).await?;
        let orders = self.current_orders(&mut connection, entry).await?;
        let wire = self.state.codec.placement_order(span, orders);
        let request = self.endpoint_request(entry, wire)?;
        let response = connection.send(request, Self::ORDER_TIMEOUT).await?;
        Ok(response.status())
    }

    /// Asks an endpoint for the number of orders that it has accepted.
    async fn current_orders(
        &self,
        connection: &mut HttpConnection,
        entry: &EndpointEntry,
    ) -> Result<u64, ConnectionError> {
        if entry.orders == 0 {
            return Ok(0);
        }
        let request = self.endpoint_request(entry, self.state.codec.report_request())?;
        let response = connection.send(request, Self::ORDER_TIMEOUT).await?;
        let body =
            response.into_body().collect().await.map_err(ConnectionError::Broken)?.to_bytes();
        let report: Option<EndpointReport> = match self.state.codec.parse_report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                LogEvent::EntryRejected
                    .log(format_args!("report of {}: {error:#}", entry.endpoint));
                None
            }
        };
        Ok(report.map_or(entry.orders, |report| report.orders))
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

/// Says whether an endpoint that holds layers may be about to be replaced by an empty one: it is
/// of the same availability zone and kind, and has not started after it.
fn may_be_replaced_by(old: &EndpointEntry, new: &EndpointEntry) -> bool {
    let is_alike = old.zone == new.zone && old.accelerator == new.accelerator;
    is_alike && old.span.is_some() && new.span.is_none() && old.incarnation <= new.incarnation
}

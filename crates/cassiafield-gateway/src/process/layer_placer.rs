use {
    crate::{
        connection::{
            ChannelFault, EndpointReport, HttpChannel, StoreAnswer, StoreCall, StoreClient,
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
    orders: HashMap<(EndpointId, EndpointIncarnation), PlacedOrder>,
    /// When an order was last not taken by each endpoint.
    unready: HashMap<EndpointId, Moment>,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: u64,
    /// When the lease was last renewed, counted from when that was asked for.
    renewed: Moment,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    span: LayerSpan,
    at: Moment,
}

impl LayerPlacer {
    /// Key that the host with the lease holds.
    const KEY: &'static str = "cassiafield/layer-placer";
    /// Time to live of the lease.
    const LEASE_TTL: Duration = Duration::from_secs(4);
    /// Part of the lease's life for which its holder acts, so that it stops before another starts.
    const ACTING_TIME: Duration = Duration::from_secs(3);
    /// Pause between two looks at the endpoints while holding the lease.
    const KEEP_PAUSE: Duration = Duration::from_millis(500);
    /// Pause between two tries to get the lease.
    const SEEK_PAUSE: Duration = Duration::from_millis(1_200);
    /// Tries of a host that leads no availability zone of which one is made, on average.
    const SPARE_SEEKS: u32 = 6;
    /// Time for which the list of endpoints must not grow before the first orders.
    const SETTLE_TIME: Duration = Duration::from_millis(900);
    /// Time after which an order whose effect is not listed is looked into.
    const ORDER_AGE: Duration = Duration::from_secs(20);
    /// Time for which a new endpoint waits for the one that it replaces to leave, if any does.
    const SUCCESSOR_WAIT: Duration = Duration::from_millis(1_600);
    /// Time for which an endpoint that did not take an order gets none.
    const UNREADY_PAUSE: Duration = Duration::from_secs(3);
    /// Longest time for an order's answer.
    const ORDER_LIMIT: Duration = Duration::from_millis(600);

    /// Creates the placer of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let client = StoreClient::new(
            Rc::clone(&state.codec),
            state.profile.store_address,
            state.metrics.store_calls(),
        );
        Self { state, client, lease: None, orders: HashMap::new(), unready: HashMap::new() }
    }

    /// Runs for as long as the host.
    pub async fn run(mut self) {
        let mut settled = (0, self.state.now());
        loop {
            if self.state.is_stopping() {
                self.hand_back().await;
                return;
            }
            if !self.hold_lease().await {
                let pause = if self.lease.is_some() { Self::KEEP_PAUSE } else { Self::SEEK_PAUSE };
                sleep(pause.mul_f64(0.8 + 0.4 * fastrand::f64())).await;
                continue;
            }
            let now = self.state.now();
            let (count, holders) = self.count_endpoints();
            if count != settled.0 {
                settled = (count, now);
            }
            // The first layers are placed once for all; later endpoints are not kept waiting.
            if holders > 0 || now.since(settled.1) >= Self::SETTLE_TIME {
                self.place().await;
            }
            sleep(Self::KEEP_PAUSE).await;
        }
    }

    /// Returns the number of endpoints, and of those that hold layers.
    fn count_endpoints(&self) -> (usize, usize) {
        let directory = self.state.directory.borrow();
        let holders = directory.entries().filter(|entry| entry.span.is_some()).count();
        (directory.len(), holders)
    }

    async fn hand_back(&mut self) {
        if let Some(held) = self.lease.take() {
            let ended = self.client.call(&StoreCall::Revoke { lease: held.lease }).await;
            LogEvent::PlacerLeaseLost.log(format_args!("handed back: {ended:?}"));
        }
    }

    /// Renews the lease or tries to get it; returns whether the host may act on it.
    async fn hold_lease(&mut self) -> bool {
        let asked = self.state.now();
        if let Some(held) = self.lease {
            if asked.since(held.renewed) < Self::LEASE_TTL / 4 {
                return true;
            }
            match self.client.call(&StoreCall::Renew { lease: held.lease }).await {
                Ok(StoreAnswer::LeaseDone) => {
                    self.lease = Some(HeldLease { renewed: asked, ..held });
                }
                Ok(_) => self.lose("the lease has ended"),
                // The lease may live on in the store; it is renewed when the store is back.
                Err(fault) => {
                    LogEvent::StoreUnreachable.log(format_args!("lease not renewed: {fault}"));
                }
            }
            return self.is_acting();
        }
        // One host of each availability zone seeks it, which spares the store; the others now and
        // then, since that one may be cut off from the store.
        let is_due = self.state.is_zone_leader() || fastrand::u32(..Self::SPARE_SEEKS) == 0;
        is_due && self.seek(asked).await
    }

    /// Says whether the lease was renewed so lately that no other host can hold it.
    fn is_acting(&self) -> bool {
        self.lease.is_some_and(|held| self.state.now().since(held.renewed) < Self::ACTING_TIME)
    }

    fn lose(&mut self, why: &str) {
        LogEvent::PlacerLeaseLost.log(why);
        self.lease = None;
    }

    async fn seek(&mut self, asked: Moment) -> bool {
        // A stale answer will do: the write below is under a condition.
        match self.client.list(Self::KEY, true).await {
            Ok(items) if items.is_empty() => {}
            Ok(_) => return false,
            Err(fault) => {
                LogEvent::StoreUnreachable.log(format_args!("the placer's lease: {fault}"));
                return false;
            }
        }
        let ttl_ms = u64::try_from(Self::LEASE_TTL.as_millis()).unwrap_or(u64::MAX);
        let lease = match self.client.call(&StoreCall::Grant { ttl_ms }).await {
            Ok(StoreAnswer::Lease { lease, .. }) => lease,
            answer => {
                LogEvent::StoreUnreachable.log(format_args!("no lease to place: {answer:?}"));
                return false;
            }
        };
        let put = StoreCall::Put {
            key: Self::KEY.to_owned(),
            value: self.state.profile.host.as_str().as_bytes().to_vec(),
            lease,
            expected: Some(0),
        };
        // An unanswered write may have been done; then the lease runs out unused.
        let answer = self.client.call(&put).await;
        if answer != Ok(StoreAnswer::Written) {
            LogEvent::PlacerLeaseMissed.log(format_args!("{answer:?}"));
            return false;
        }
        LogEvent::PlacerLeaseTaken.log(format_args!("lease {lease}"));
        self.lease = Some(HeldLease { lease, renewed: asked });
        true
    }

    /// Orders layers for every empty endpoint.
    async fn place(&mut self) {
        let Some(table) = self.state.table() else { return };
        for service in table.services().filter(|service| service.engine.is_some()) {
            for assignment in self.assignments(service) {
                if !self.is_acting() {
                    return;
                }
                self.order(&assignment).await;
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
            !is_done && now.since(order.at) < Self::ORDER_AGE
        });
        let mut candidates = Vec::with_capacity(entries.len());
        for entry in &entries {
            let profile = entry.accelerator.as_ref().and_then(|kind| engine.accelerator(kind));
            let Some(profile) = profile else { continue };
            let ordered = self.orders.get(&(entry.endpoint.clone(), entry.incarnation));
            let seen = directory.first_listed_at(&entry.endpoint).unwrap_or(now);
            let may_wait = now.since(seen) < Self::SUCCESSOR_WAIT;
            let is_unready = self
                .unready
                .get(&entry.endpoint)
                .is_some_and(|&at| now.since(at) < Self::UNREADY_PAUSE);
            candidates.push(PlacementCandidate {
                endpoint: entry.endpoint.clone(),
                zone: entry.zone.clone(),
                profile: profile.clone(),
                held: ordered.map(|order| order.span).or(entry.span),
                is_loading: ordered.is_some() || is_unready,
                is_busy: self.state.load.borrow().total_usage(&entry.endpoint, now).streams > 0,
                is_deferred: is_unready
                    || may_wait && entries.iter().any(|old| may_be_replaced_by(old, entry)),
            });
        }
        LayerPlacement { engine }.assign(&candidates)
    }

    async fn order(&mut self, assignment: &LayerAssignment) {
        let entry = self.state.directory.borrow().entry(&assignment.endpoint).cloned();
        let Some(entry) = entry else { return };
        let key = (entry.endpoint.clone(), entry.incarnation);
        let at = self.state.now();
        self.orders.insert(key.clone(), PlacedOrder { span: assignment.span, at });
        let result = timeout(Self::ORDER_LIMIT, self.send_order(&entry, assignment.span)).await;
        let outcome = match result {
            Ok(Ok(status)) if status.is_success() => "accepted".to_owned(),
            // It is busy with an order of another host, or not in the state that was listed.
            Ok(Ok(status)) => {
                self.orders.remove(&key);
                self.unready.insert(key.0, at);
                format!("status {status}")
            }
            Ok(Err(ChannelFault::Connect(fault))) => {
                self.orders.remove(&key);
                self.unready.insert(key.0, at);
                format!("not reached: {fault}")
            }
            // It may have been accepted: it counts as given until it is old.
            Ok(Err(fault)) => fault.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        self.state.metrics.layers_ordered(outcome == "accepted");
        LogEvent::LayersOrdered.log(format_args!(
            "endpoint {} layers {} after {} orders: {outcome}",
            entry.endpoint, assignment.span, entry.orders,
        ));
    }

    async fn send_order(
        &self,
        entry: &EndpointEntry,
        span: LayerSpan,
    ) -> Result<StatusCode, ChannelFault> {
        let mut channel = HttpChannel::connect(entry.address, Self::ORDER_LIMIT).await?;
        let orders = self.current_orders(&mut channel, entry).await?;
        let wire = self.state.codec.placement_order(span, orders);
        let request = self.request(entry, wire)?;
        let answer = channel.send(request, Self::ORDER_LIMIT).await?;
        Ok(answer.status())
    }

    /// Asks an endpoint for the number of orders that it has accepted.
    async fn current_orders(
        &self,
        channel: &mut HttpChannel,
        entry: &EndpointEntry,
    ) -> Result<u64, ChannelFault> {
        if entry.orders == 0 {
            return Ok(0);
        }
        let request = self.request(entry, self.state.codec.report_request())?;
        let answer = channel.send(request, Self::ORDER_LIMIT).await?;
        let body = answer.into_body().collect().await.map_err(ChannelFault::Broken)?.to_bytes();
        let report: Option<EndpointReport> = match self.state.codec.report(&body) {
            Ok(report) => Some(report),
            Err(error) => {
                LogEvent::EntryRejected
                    .log(format_args!("report of {}: {error:#}", entry.endpoint));
                None
            }
        };
        Ok(report.map_or(entry.orders, |report| report.orders))
    }

    fn request(
        &self,
        entry: &EndpointEntry,
        wire: WireRequest,
    ) -> Result<Request<Full<Bytes>>, ChannelFault> {
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
        request.body(Full::new(Bytes::from(wire.body))).map_err(|_| ChannelFault::Unsent)
    }
}

/// Says whether an endpoint that holds layers may be about to be replaced by an empty one: it is
/// of the same availability zone and kind, and has not started after it.
fn may_be_replaced_by(old: &EndpointEntry, new: &EndpointEntry) -> bool {
    let is_alike = old.zone == new.zone && old.accelerator == new.accelerator;
    is_alike && old.span.is_some() && new.span.is_none() && old.incarnation <= new.incarnation
}

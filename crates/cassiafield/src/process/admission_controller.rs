use {
    crate::{
        connection::DemandMap,
        process::{
            lock,
            model_queue::{ModelQueue, RouteWaiter},
            HostClock, RouteGuard,
        },
    },
    cassiafield_core::{
        ids::{EndpointId, HostId, ModelId, Moment, OrganisationId, ZoneId},
        process::{
            EndpointTable, LocalLimit, RouteCapacity, RoutePlanner, RouteRequest, RoutingError,
            SlotAllocator, SlotDemand,
        },
        request::StageRoute,
    },
    std::{
        collections::BTreeMap,
        sync::{
            mpsc::{channel, Receiver},
            Arc, Mutex,
        },
        time::Duration,
    },
};

/// A request for a route.
#[derive(Clone, Debug)]
pub struct AdmissionRequest<'a> {
    /// Organisation that sent the request.
    pub organisation: &'a OrganisationId,
    /// Weight of the organisation's plan.
    pub weight: u32,
    /// Requested model.
    pub model: &'a ModelId,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// Longest time to wait for a route.
    pub max_wait: Duration,
}

/// Why a request got no route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// No endpoints can form a route.
    NoRoute(RoutingError),
    /// The expected wait is too long; the caller may retry after this time.
    Overloaded(Duration),
}

/// Queues requests for routes and grants them by weighted fair sharing among organisations.
pub struct AdmissionController {
    clock: HostClock,
    host: HostId,
    zone: ZoneId,
    table: Arc<Mutex<EndpointTable>>,
    state: Mutex<AdmissionState>,
}

#[derive(Default)]
struct AdmissionState {
    models: BTreeMap<ModelId, ModelQueue>,
    remote: BTreeMap<HostId, RemoteDemand>,
    weights: BTreeMap<OrganisationId, u32>,
    last_number: u64,
}

struct RemoteDemand {
    received_at: Moment,
    demands: DemandMap,
}

impl AdmissionController {
    /// Time after which a peer's reported demand is ignored; spans several digest rounds.
    const REMOTE_DEMAND_RETENTION: Duration = Duration::from_secs(12);
    /// Fraction of `max_wait` that the expected wait may reach; the rest covers the error of the
    /// estimate, so that few queued requests time out.
    const MAX_WAIT_FRACTION: f64 = 0.7;
    /// Shortest retry delay returned with [`AdmissionRefusal::Overloaded`].
    const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
    /// Period after which the rounding of slot shares shifts between hosts and organisations.
    const ROUNDING_PERIOD_SECONDS: u64 = 2;

    /// Creates a controller for the endpoints of `table`.
    #[must_use]
    pub fn new(
        clock: HostClock,
        host: HostId,
        zone: ZoneId,
        table: Arc<Mutex<EndpointTable>>,
    ) -> Self {
        Self { clock, host, zone, table, state: Mutex::new(AdmissionState::default()) }
    }

    /// Waits until a route is granted.
    ///
    /// # Errors
    ///
    /// Returns an error at once if no route exists or the expected wait is too long, and after
    /// `max_wait` if no slot became free.
    pub fn acquire_route(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
    ) -> Result<RouteGuard, AdmissionRefusal> {
        let (number, receiver) = self.enqueue(request)?;
        let granted = match receiver.recv_timeout(request.max_wait) {
            Ok(granted) => granted,
            Err(_) => self.cancel_waiter(request, number, &receiver)?,
        };
        let route = granted.map_err(AdmissionRefusal::NoRoute)?;
        Ok(RouteGuard {
            admission: self.clone(),
            organisation: request.organisation.clone(),
            prefix_hash: request.prefix_hash,
            route: Some(route),
            granted_at: self.clock.now(),
        })
    }

    /// Grants routes to waiting requests while endpoints have free slots.
    pub fn dispatch_waiting(&self) {
        let mut state = lock(&self.state);
        let models: Vec<ModelId> = state.models.keys().cloned().collect();
        for model in models {
            self.dispatch_model(&mut state, &model);
        }
    }

    /// Sets the weights of organisations' plans.
    pub(crate) fn set_weights(&self, weights: BTreeMap<OrganisationId, u32>) {
        lock(&self.state).weights = weights;
    }

    /// Updates the moving average of demand; must be called every half second.
    pub(crate) fn update_average_demand(&self) {
        for model_queue in lock(&self.state).models.values_mut() {
            model_queue.update_average_demand();
        }
    }

    /// Returns this host's average demand, as reported to its peers.
    pub(crate) fn average_demands(&self) -> DemandMap {
        let state = lock(&self.state);
        let models = state
            .models
            .iter()
            .map(|(model, model_queue)| (model.clone(), model_queue.average_demand.clone()));
        models.filter(|(_, demand)| !demand.is_empty()).collect()
    }

    /// Records the demand that a peer reported.
    pub(crate) fn record_remote_demand(&self, host: HostId, demands: DemandMap) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        state
            .remote
            .retain(|_, remote| now.since(remote.received_at) < Self::REMOTE_DEMAND_RETENTION);
        state.remote.insert(host, RemoteDemand { received_at: now, demands });
    }

    fn enqueue(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> Result<(u64, Receiver<Result<StageRoute, RoutingError>>), AdmissionRefusal> {
        let (sender, receiver) = channel();
        let mut state = lock(&self.state);
        state.last_number += 1;
        let number = state.last_number;
        let waiter = RouteWaiter { number, prefix_hash: request.prefix_hash, sender };
        let model_queue = state.models.entry(request.model.clone()).or_default();
        let cost = f64::from(request.cost.max(1));
        model_queue.queue.push(request.organisation, request.weight, cost, waiter);
        self.dispatch_model(&mut state, request.model);
        if let Some(wait) = self.excess_wait(&state, request) {
            if let Some(model_queue) = state.models.get_mut(request.model) {
                model_queue.queue.remove(|waiter| waiter.number == number);
                model_queue.record_refusal(request.organisation);
            }
            if let Ok(Ok(route)) = receiver.try_recv() {
                self.finish_request(&mut state, request.organisation, &route);
            }
            return Err(AdmissionRefusal::Overloaded(wait));
        }
        Ok((number, receiver))
    }

    /// Returns the retry delay if the expected wait is too long for the request.
    ///
    /// An organisation below its share gets the next slot that any organisation frees; one at its
    /// share waits for one of its own slots.
    fn excess_wait(
        &self,
        state: &AdmissionState,
        request: &AdmissionRequest<'_>,
    ) -> Option<Duration> {
        let model_queue = state.models.get(request.model)?;
        let ahead = model_queue.queue.backlog().get(request.organisation).copied().unwrap_or(0);
        if ahead == 0 {
            return None;
        }
        let limits = self.limits(state, request.model);
        let limit = limits.get(request.organisation)?;
        let running: u32 = model_queue.running.values().sum();
        let usable_slots =
            if limit.below_share { running.max(limit.requests) } else { limit.requests };
        let wait = model_queue.service_seconds * ahead as f64 / f64::from(usable_slots);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        let bound = request.max_wait.mul_f64(Self::MAX_WAIT_FRACTION);
        (wait > bound).then(|| (wait - bound).max(Self::MIN_RETRY_AFTER))
    }

    /// Removes a waiter whose wait has timed out, unless its route was granted in the meantime.
    fn cancel_waiter(
        &self,
        request: &AdmissionRequest<'_>,
        number: u64,
        receiver: &Receiver<Result<StageRoute, RoutingError>>,
    ) -> Result<Result<StageRoute, RoutingError>, AdmissionRefusal> {
        let mut state = lock(&self.state);
        if let Ok(granted) = receiver.try_recv() {
            return Ok(granted);
        }
        if let Some(model_queue) = state.models.get_mut(request.model) {
            model_queue.queue.remove(|waiter| waiter.number == number);
            model_queue.record_refusal(request.organisation);
        }
        Err(AdmissionRefusal::Overloaded(Self::MIN_RETRY_AFTER))
    }

    fn limits(
        &self,
        state: &AdmissionState,
        model: &ModelId,
    ) -> BTreeMap<OrganisationId, LocalLimit> {
        let now = self.clock.now();
        let slots = lock(&self.table).model_slots(model, now);
        let Some(model_queue) = state.models.get(model) else { return BTreeMap::new() };
        let mut demands: BTreeMap<OrganisationId, SlotDemand> = BTreeMap::new();
        for (organisation, current) in model_queue.current_demand() {
            demands.entry(organisation).or_default().current = current;
        }
        for (organisation, average) in &model_queue.average_demand {
            let demand = demands.entry(organisation.clone()).or_default();
            demand.local = *average;
            demand.total = *average;
        }
        let is_current = |(_, remote): &(&HostId, &RemoteDemand)| {
            now.since(remote.received_at) < Self::REMOTE_DEMAND_RETENTION
        };
        for (host, remote) in state.remote.iter().filter(is_current) {
            for (organisation, amount) in remote.demands.get(model).into_iter().flatten() {
                let demand = demands.entry(organisation.clone()).or_default();
                demand.total += amount;
                demand.preceding += if host < &self.host { *amount } else { 0.0 };
            }
        }
        for (organisation, demand) in &mut demands {
            demand.weight = state.weights.get(organisation).copied().unwrap_or(1);
            demand.total = demand.total.max(f64::MIN_POSITIVE);
        }
        SlotAllocator::new(slots).local_limits(&demands, rounding_phase())
    }

    fn dispatch_model(&self, state: &mut AdmissionState, model: &ModelId) {
        let limits = self.limits(state, model);
        let Some(model_queue) = state.models.get_mut(model) else { return };
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let mut capacity = RouteCapacity::Slots;
        loop {
            let running = &model_queue.running;
            let eligible = |organisation: &OrganisationId| {
                let count = running.get(organisation).copied().unwrap_or(0);
                limits.get(organisation).is_some_and(|limit| {
                    count < limit.requests
                        && (limit.below_share || capacity == RouteCapacity::Slots)
                })
            };
            let Some((organisation, waiter)) = model_queue.queue.peek(eligible) else { break };
            let below_share = limits.get(organisation).is_some_and(|limit| limit.below_share);
            let request = RouteRequest {
                model,
                excluded: &[],
                zone: &self.zone,
                prefix_hash: waiter.prefix_hash,
                capacity: if below_share { RouteCapacity::Headroom } else { RouteCapacity::Slots },
            };
            match RoutePlanner.plan(&table, &request, now) {
                Ok(route) => {
                    let Some((organisation, waiter)) = model_queue.queue.pop(eligible) else {
                        break;
                    };
                    dispatch_route(&mut table, &route, now);
                    *model_queue.running.entry(organisation.clone()).or_default() += 1;
                    if let Err(unsent) = waiter.sender.send(Ok(route)) {
                        model_queue.finish_request(&organisation);
                        finish_route(&mut table, unsent.0.ok().as_ref());
                    }
                }
                // Only organisations below their share, which may use the headroom, can still be
                // served.
                Err(RoutingError::Saturated)
                    if !below_share && capacity == RouteCapacity::Slots =>
                {
                    capacity = RouteCapacity::Headroom;
                }
                Err(RoutingError::Saturated) => break,
                Err(error) => {
                    model_queue.fail_all(&error);
                    break;
                }
            }
        }
    }

    fn finish_request(
        &self,
        state: &mut AdmissionState,
        organisation: &OrganisationId,
        route: &StageRoute,
    ) {
        finish_route(&mut lock(&self.table), Some(route));
        if let Some(model_queue) = state.models.get_mut(route.model()) {
            model_queue.finish_request(organisation);
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Replaces `old` with another route, even if no slots are free.
    pub(super) fn exchange_route(
        &self,
        old: &StageRoute,
        prefix_hash: u64,
        excluded: &[EndpointId],
    ) -> Result<StageRoute, RoutingError> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let request = self.other_route_request(old, prefix_hash, excluded);
        let route = RoutePlanner.plan(&table, &request, now)?;
        dispatch_route(&mut table, &route, now);
        finish_route(&mut table, Some(old));
        Ok(route)
    }

    /// Plans a route in place of `old` without reserving it.
    pub(super) fn plan_other_route(
        &self,
        old: &StageRoute,
        prefix_hash: u64,
        excluded: &[EndpointId],
    ) -> Result<StageRoute, RoutingError> {
        let request = self.other_route_request(old, prefix_hash, excluded);
        RoutePlanner.plan(&lock(&self.table), &request, self.clock.now())
    }

    fn other_route_request<'a>(
        &'a self,
        old: &'a StageRoute,
        prefix_hash: u64,
        excluded: &'a [EndpointId],
    ) -> RouteRequest<'a> {
        RouteRequest {
            model: old.model(),
            excluded,
            zone: &self.zone,
            prefix_hash,
            capacity: RouteCapacity::Any,
        }
    }

    /// Releases a route and records the time for which it was in use.
    pub(super) fn release(
        &self,
        organisation: &OrganisationId,
        route: &StageRoute,
        service_time: Duration,
    ) {
        let mut state = lock(&self.state);
        self.finish_request(&mut state, organisation, route);
        if let Some(model_queue) = state.models.get_mut(route.model()) {
            model_queue.record_service_time(service_time);
        }
        self.dispatch_model(&mut state, route.model());
    }
}

/// Returns a number in `0.0..1.0` that is the same on all hosts and changes pseudo-randomly with
/// time.
fn rounding_phase() -> f64 {
    const STEPS: u64 = 1 << 16;
    let period = HostClock::unix_seconds() / AdmissionController::ROUNDING_PERIOD_SECONDS;
    let mixed = period.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    (mixed % STEPS) as f64 / STEPS as f64
}

fn dispatch_route(table: &mut EndpointTable, route: &StageRoute, now: Moment) {
    for stage in route.stages() {
        table.record_dispatch(&stage.endpoint, now);
    }
}

fn finish_route(table: &mut EndpointTable, route: Option<&StageRoute>) {
    for stage in route.into_iter().flat_map(StageRoute::stages) {
        table.record_end(&stage.endpoint);
    }
}

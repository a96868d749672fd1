use {
    crate::{
        connection::DemandMap,
        process::{
            lock,
            model_line::{ModelLine, RouteTicket},
            HostClock, RouteHold,
        },
    },
    cassiafield_core::{
        ids::{EndpointId, HostId, ModelId, Moment, OrganisationId, ZoneId},
        process::{
            EndpointTable, LocalLimit, PlanError, RouteCapacity, RoutePlanner, RouteRequest,
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
    /// Whose request it is.
    pub organisation: &'a OrganisationId,
    /// Weight of the organisation's plan.
    pub weight: u32,
    /// The model.
    pub model: &'a ModelId,
    /// Estimated cost, in tokens.
    pub cost: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Longest time to wait.
    pub patience: Duration,
}

/// Why a request got no route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// No route can be had.
    NoRoute(PlanError),
    /// The wait would be too long; come back after this time.
    Overloaded(Duration),
}

/// Shares endpoints over organisations: waiting requests get routes in fair order.
pub struct AdmissionGate {
    clock: HostClock,
    host: HostId,
    zone: ZoneId,
    table: Arc<Mutex<EndpointTable>>,
    lines: Mutex<GateLines>,
}

#[derive(Default)]
struct GateLines {
    models: BTreeMap<ModelId, ModelLine>,
    remote: BTreeMap<HostId, RemoteDemand>,
    weights: BTreeMap<OrganisationId, u32>,
    tickets: u64,
}

struct RemoteDemand {
    heard: Moment,
    demands: DemandMap,
}

impl AdmissionGate {
    /// Time after which a peer's demand counts for nothing; several rounds of digests.
    const REMOTE_RETENTION: Duration = Duration::from_secs(12);
    /// Part of its patience that a request may be expected to wait; the rest covers the error of
    /// the estimate, so that few requests wait in vain.
    const PATIENCE_PART: f64 = 0.7;
    const SHORTEST_RETRY: Duration = Duration::from_secs(1);
    /// Time for which the cuts between hosts' shares stay where they are, in seconds.
    const PHASE_SECONDS: u64 = 2;

    /// Creates a gate to the endpoints of `table`.
    #[must_use]
    pub fn new(
        clock: HostClock,
        host: HostId,
        zone: ZoneId,
        table: Arc<Mutex<EndpointTable>>,
    ) -> Self {
        Self { clock, host, zone, table, lines: Mutex::new(GateLines::default()) }
    }

    /// Waits for a route.
    ///
    /// # Errors
    ///
    /// Refuses at once when no route can be had or the wait would be too long.
    pub fn enter(
        self: &Arc<Self>,
        request: &AdmissionRequest<'_>,
    ) -> Result<RouteHold, AdmissionRefusal> {
        let (number, reply) = self.enqueue(request)?;
        let granted = match reply.recv_timeout(request.patience) {
            Ok(granted) => granted,
            Err(_) => self.withdraw(request, number, &reply)?,
        };
        let route = granted.map_err(AdmissionRefusal::NoRoute)?;
        Ok(RouteHold {
            gate: self.clone(),
            organisation: request.organisation.clone(),
            prefix: request.prefix,
            route: Some(route),
            granted: self.clock.now(),
        })
    }

    /// Gives routes to waiting requests, as far as endpoints have slots.
    pub fn pump(&self) {
        let mut lines = lock(&self.lines);
        let models: Vec<ModelId> = lines.models.keys().cloned().collect();
        for model in models {
            self.pump_model(&mut lines, &model);
        }
    }

    /// Sets the weights of organisations' plans.
    pub(crate) fn set_weights(&self, weights: BTreeMap<OrganisationId, u32>) {
        lock(&self.lines).weights = weights;
    }

    /// Brings the average demand up to date; to be called every half second.
    pub(crate) fn measure_demand(&self) {
        for line in lock(&self.lines).models.values_mut() {
            line.smooth();
        }
    }

    /// Returns this host's average demand, for its peers.
    pub(crate) fn demands(&self) -> DemandMap {
        let lines = lock(&self.lines);
        let models =
            lines.models.iter().map(|(model, line)| (model.clone(), line.smoothed.clone()));
        models.filter(|(_, demand)| !demand.is_empty()).collect()
    }

    /// Takes a peer's demand.
    pub(crate) fn note_remote(&self, host: HostId, demands: DemandMap) {
        let now = self.clock.now();
        let mut lines = lock(&self.lines);
        lines.remote.retain(|_, remote| now.since(remote.heard) < Self::REMOTE_RETENTION);
        lines.remote.insert(host, RemoteDemand { heard: now, demands });
    }

    fn enqueue(
        &self,
        request: &AdmissionRequest<'_>,
    ) -> Result<(u64, Receiver<Result<StageRoute, PlanError>>), AdmissionRefusal> {
        let (sender, receiver) = channel();
        let mut lines = lock(&self.lines);
        lines.tickets += 1;
        let number = lines.tickets;
        let ticket = RouteTicket { number, prefix: request.prefix, reply: sender };
        let line = lines.models.entry(request.model.clone()).or_default();
        let cost = f64::from(request.cost.max(1));
        line.queue.push(request.organisation, request.weight, cost, ticket);
        self.pump_model(&mut lines, request.model);
        if let Some(wait) = self.excess_wait(&lines, request) {
            if let Some(line) = lines.models.get_mut(request.model) {
                line.queue.remove(|ticket| ticket.number == number);
                line.refuse(request.organisation);
            }
            if let Ok(Ok(route)) = receiver.try_recv() {
                self.release_route(&mut lines, request.organisation, &route);
            }
            return Err(AdmissionRefusal::Overloaded(wait));
        }
        Ok((number, receiver))
    }

    /// Returns when to come back if the request would wait longer than its patience.
    ///
    /// An organisation below its share gets the next slot that anyone frees; one that has its
    /// share waits for slots of its own.
    fn excess_wait(&self, lines: &GateLines, request: &AdmissionRequest<'_>) -> Option<Duration> {
        let line = lines.models.get(request.model)?;
        let ahead = line.queue.backlog().get(request.organisation).copied().unwrap_or(0);
        if ahead == 0 {
            return None;
        }
        let limits = self.limits(lines, request.model);
        let limit = limits.get(request.organisation)?;
        let all: u32 = line.running.values().sum();
        let servers = if limit.below_share { all.max(limit.requests) } else { limit.requests };
        let wait = line.service_seconds * ahead as f64 / f64::from(servers);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        let bound = request.patience.mul_f64(Self::PATIENCE_PART);
        (wait > bound).then(|| (wait - bound).max(Self::SHORTEST_RETRY))
    }

    /// Takes a ticket back whose time is over, unless it was granted at the last moment.
    fn withdraw(
        &self,
        request: &AdmissionRequest<'_>,
        number: u64,
        reply: &Receiver<Result<StageRoute, PlanError>>,
    ) -> Result<Result<StageRoute, PlanError>, AdmissionRefusal> {
        let mut lines = lock(&self.lines);
        if let Ok(granted) = reply.try_recv() {
            return Ok(granted);
        }
        if let Some(line) = lines.models.get_mut(request.model) {
            line.queue.remove(|ticket| ticket.number == number);
            line.refuse(request.organisation);
        }
        Err(AdmissionRefusal::Overloaded(Self::SHORTEST_RETRY))
    }

    fn limits(&self, lines: &GateLines, model: &ModelId) -> BTreeMap<OrganisationId, LocalLimit> {
        let now = self.clock.now();
        let slots = lock(&self.table).model_slots(model, now);
        let Some(line) = lines.models.get(model) else { return BTreeMap::new() };
        let mut demands: BTreeMap<OrganisationId, SlotDemand> = BTreeMap::new();
        for (organisation, current) in line.demand() {
            demands.entry(organisation).or_default().current = current;
        }
        for (organisation, here) in &line.smoothed {
            let demand = demands.entry(organisation.clone()).or_default();
            demand.local = *here;
            demand.total = *here;
        }
        let fresh = |(_, remote): &(&HostId, &RemoteDemand)| {
            now.since(remote.heard) < Self::REMOTE_RETENTION
        };
        for (host, remote) in lines.remote.iter().filter(fresh) {
            for (organisation, amount) in remote.demands.get(model).into_iter().flatten() {
                let demand = demands.entry(organisation.clone()).or_default();
                demand.total += amount;
                demand.preceding += if host < &self.host { *amount } else { 0.0 };
            }
        }
        for (organisation, demand) in &mut demands {
            demand.weight = lines.weights.get(organisation).copied().unwrap_or(1);
            demand.total = demand.total.max(f64::MIN_POSITIVE);
        }
        SlotAllocator::new(slots).local_limits(&demands, split_phase())
    }

    fn pump_model(&self, lines: &mut GateLines, model: &ModelId) {
        let limits = self.limits(lines, model);
        let Some(line) = lines.models.get_mut(model) else { return };
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let mut room = RouteCapacity::Slots;
        loop {
            let running = &line.running;
            let eligible = |organisation: &OrganisationId| {
                let count = running.get(organisation).copied().unwrap_or(0);
                limits.get(organisation).is_some_and(|limit| {
                    count < limit.requests && (limit.below_share || room == RouteCapacity::Slots)
                })
            };
            let Some((organisation, ticket)) = line.queue.peek(eligible) else { break };
            let below_share = limits.get(organisation).is_some_and(|limit| limit.below_share);
            let request = RouteRequest {
                model,
                excluded: &[],
                zone: &self.zone,
                prefix_hash: ticket.prefix,
                capacity: if below_share { RouteCapacity::Headroom } else { RouteCapacity::Slots },
            };
            match RoutePlanner.plan(&table, &request, now) {
                Ok(route) => {
                    let Some((organisation, ticket)) = line.queue.pop(eligible) else { break };
                    dispatch_route(&mut table, &route, now);
                    *line.running.entry(organisation.clone()).or_default() += 1;
                    if let Err(unsent) = ticket.reply.send(Ok(route)) {
                        line.end(&organisation);
                        finish_route(&mut table, unsent.0.ok().as_ref());
                    }
                }
                Err(PlanError::Saturated) if !below_share && room == RouteCapacity::Slots => {
                    room = RouteCapacity::Headroom;
                }
                Err(PlanError::Saturated) => break,
                Err(error) => {
                    line.fail_all(&error);
                    break;
                }
            }
        }
    }

    fn release_route(
        &self,
        lines: &mut GateLines,
        organisation: &OrganisationId,
        route: &StageRoute,
    ) {
        finish_route(&mut lock(&self.table), Some(route));
        if let Some(line) = lines.models.get_mut(route.model()) {
            line.end(organisation);
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Chooses another route in place of `old`, whether or not slots are free.
    pub(super) fn exchange_route(
        &self,
        old: &StageRoute,
        prefix: u64,
        avoided: &[EndpointId],
    ) -> Result<StageRoute, PlanError> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        let request = RouteRequest {
            model: old.model(),
            excluded: avoided,
            zone: &self.zone,
            prefix_hash: prefix,
            capacity: RouteCapacity::Any,
        };
        let route = RoutePlanner.plan(&table, &request, now)?;
        dispatch_route(&mut table, &route, now);
        finish_route(&mut table, Some(old));
        Ok(route)
    }

    /// Takes a route back after `served`.
    pub(super) fn leave(
        &self,
        organisation: &OrganisationId,
        route: &StageRoute,
        served: Duration,
    ) {
        let mut lines = lock(&self.lines);
        self.release_route(&mut lines, organisation, route);
        if let Some(line) = lines.models.get_mut(route.model()) {
            line.measure(served);
        }
        self.pump_model(&mut lines, route.model());
    }
}

/// Returns a number in `0.0..1.0` that is the same on all hosts and changes with time.
fn split_phase() -> f64 {
    const STEPS: u64 = 1 << 16;
    let period = HostClock::unix_seconds() / AdmissionGate::PHASE_SECONDS;
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

use {
    crate::process::{lock, HostClock},
    cassiafield_core::{
        ids::{EndpointId, HostId, ModelId, Moment, OrganisationId},
        process::{
            EndpointTable, FairQueue, PlanError, RoutePlanner, RouteRequest, SlotDemand, SlotShare,
        },
        request::StageRoute,
    },
    std::{
        collections::BTreeMap,
        sync::{
            mpsc::{channel, Receiver, Sender},
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
    zone: cassiafield_core::ids::ZoneId,
    table: Arc<Mutex<EndpointTable>>,
    lines: Mutex<GateLines>,
}

#[derive(Default)]
struct GateLines {
    models: BTreeMap<ModelId, ModelLine>,
    remote: BTreeMap<HostId, RemoteDemand>,
    tickets: u64,
}

/// One model's waiting and running requests on this host.
#[derive(Default)]
struct ModelLine {
    queue: FairQueue<RouteTicket>,
    running: BTreeMap<OrganisationId, u32>,
    weights: BTreeMap<OrganisationId, u32>,
    service_seconds: f64,
}

struct RouteTicket {
    number: u64,
    prefix: u64,
    reply: Sender<Result<StageRoute, PlanError>>,
}

/// Requests that run or wait on a host, by model and organisation.
pub(crate) type DemandMap = BTreeMap<ModelId, BTreeMap<OrganisationId, u32>>;

struct RemoteDemand {
    heard: Moment,
    demands: DemandMap,
}

impl AdmissionGate {
    /// Time after which a peer's demand counts for nothing.
    const REMOTE_RETENTION: Duration = Duration::from_secs(3);
    /// Part of the old value kept in the average service time.
    const SERVICE_KEPT: f64 = 0.9;
    const SHORTEST_RETRY: Duration = Duration::from_secs(1);

    /// Creates a gate to the endpoints of `table`.
    #[must_use]
    pub fn new(
        clock: HostClock,
        zone: cassiafield_core::ids::ZoneId,
        table: Arc<Mutex<EndpointTable>>,
    ) -> Self {
        Self { clock, zone, table, lines: Mutex::new(GateLines::default()) }
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
            Err(_) => self.withdraw(request.model, number, &reply)?,
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

    /// Returns this host's demand, for its peers.
    pub(crate) fn demands(&self) -> DemandMap {
        let lines = lock(&self.lines);
        let models = lines.models.iter().map(|(model, line)| (model.clone(), line.demand()));
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
        line.weights.insert(request.organisation.clone(), request.weight);
        let cost = f64::from(request.cost.max(1));
        line.queue.push(request.organisation, request.weight, cost, ticket);
        self.pump_model(&mut lines, request.model);
        if let Some(wait) = self.excess_wait(&lines, request) {
            if let Some(line) = lines.models.get_mut(request.model) {
                line.queue.remove(|ticket| ticket.number == number);
            }
            if let Ok(Ok(route)) = receiver.try_recv() {
                self.release_route(&mut lines, request.organisation, &route);
            }
            return Err(AdmissionRefusal::Overloaded(wait));
        }
        Ok((number, receiver))
    }

    /// Returns when to come back if the request would wait longer than its patience.
    fn excess_wait(&self, lines: &GateLines, request: &AdmissionRequest<'_>) -> Option<Duration> {
        let line = lines.models.get(request.model)?;
        let ahead = line.queue.backlog().get(request.organisation).copied().unwrap_or(0);
        if ahead == 0 {
            return None;
        }
        let limits = self.limits(lines, request.model);
        let limit = limits.get(request.organisation).copied().unwrap_or(1).max(1);
        let wait = line.service_seconds * ahead as f64 / f64::from(limit);
        let wait = Duration::try_from_secs_f64(wait).unwrap_or(Duration::MAX);
        (wait > request.patience).then(|| (wait - request.patience).max(Self::SHORTEST_RETRY))
    }

    /// Takes a ticket back whose time is over, unless it was granted at the last moment.
    fn withdraw(
        &self,
        model: &ModelId,
        number: u64,
        reply: &Receiver<Result<StageRoute, PlanError>>,
    ) -> Result<Result<StageRoute, PlanError>, AdmissionRefusal> {
        let mut lines = lock(&self.lines);
        if let Ok(granted) = reply.try_recv() {
            return Ok(granted);
        }
        if let Some(line) = lines.models.get_mut(model) {
            line.queue.remove(|ticket| ticket.number == number);
        }
        Err(AdmissionRefusal::Overloaded(Self::SHORTEST_RETRY))
    }

    fn limits(&self, lines: &GateLines, model: &ModelId) -> BTreeMap<OrganisationId, u32> {
        let now = self.clock.now();
        let slots = lock(&self.table).model_slots(model, now);
        let Some(line) = lines.models.get(model) else { return BTreeMap::new() };
        let mut demands: BTreeMap<OrganisationId, SlotDemand> = BTreeMap::new();
        for (organisation, here) in line.demand() {
            let weight = line.weights.get(&organisation).copied().unwrap_or(1);
            demands.insert(organisation, SlotDemand { weight, here, everywhere: here });
        }
        let fresh = |remote: &&RemoteDemand| now.since(remote.heard) < Self::REMOTE_RETENTION;
        for remote in lines.remote.values().filter(fresh) {
            for (organisation, count) in remote.demands.get(model).into_iter().flatten() {
                let demand = demands.entry(organisation.clone()).or_default();
                demand.weight = demand.weight.max(1);
                demand.everywhere += count;
            }
        }
        SlotShare::new(slots).local_limits(&demands)
    }

    fn pump_model(&self, lines: &mut GateLines, model: &ModelId) {
        let limits = self.limits(lines, model);
        let Some(line) = lines.models.get_mut(model) else { return };
        let now = self.clock.now();
        let mut table = lock(&self.table);
        loop {
            let running = &line.running;
            let eligible = |organisation: &OrganisationId| {
                let count = running.get(organisation).copied().unwrap_or(0);
                count < limits.get(organisation).copied().unwrap_or(1)
            };
            let Some(prefix) = line.queue.peek(eligible).map(|ticket| ticket.prefix) else { break };
            let request =
                RouteRequest { model, avoided: &[], zone: &self.zone, prefix, over_slots: false };
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

    fn leave(&self, organisation: &OrganisationId, route: &StageRoute, served: Duration) {
        let mut lines = lock(&self.lines);
        self.release_route(&mut lines, organisation, route);
        if let Some(line) = lines.models.get_mut(route.model()) {
            line.measure(served);
        }
        self.pump_model(&mut lines, route.model());
    }
}

impl ModelLine {
    fn demand(&self) -> BTreeMap<OrganisationId, u32> {
        let mut demand = self.running.clone();
        for (organisation, waiting) in self.queue.backlog() {
            *demand.entry(organisation).or_default() += u32::try_from(waiting).unwrap_or(u32::MAX);
        }
        demand
    }

    fn end(&mut self, organisation: &OrganisationId) {
        if let Some(count) = self.running.get_mut(organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running.remove(organisation);
            }
        }
    }

    fn measure(&mut self, served: Duration) {
        let kept = if self.service_seconds == 0.0 { 0.0 } else { AdmissionGate::SERVICE_KEPT };
        self.service_seconds = kept * self.service_seconds + (1.0 - kept) * served.as_secs_f64();
    }

    /// Answers all waiting requests at once, since none of them can get a route.
    fn fail_all(&mut self, error: &PlanError) {
        while let Some((_, ticket)) = self.queue.pop(|_| true) {
            let _ = ticket.reply.send(Err(error.clone()));
        }
    }
}

fn dispatch_route(table: &mut EndpointTable, route: &StageRoute, now: Moment) {
    for stage in route.stages() {
        table.dispatched(&stage.endpoint, now);
    }
}

fn finish_route(table: &mut EndpointTable, route: Option<&StageRoute>) {
    for stage in route.into_iter().flat_map(StageRoute::stages) {
        table.finished(&stage.endpoint);
    }
}

/// A route that a request holds until it is closed.
pub struct RouteHold {
    gate: Arc<AdmissionGate>,
    organisation: OrganisationId,
    prefix: u64,
    route: Option<StageRoute>,
    granted: Moment,
}

impl RouteHold {
    /// Returns the route.
    ///
    /// # Panics
    ///
    /// Never: the route is present until the hold is closed.
    #[must_use]
    #[allow(clippy::expect_used)]
    pub fn route(&self) -> &StageRoute {
        self.route.as_ref().expect("the route is present until the hold is closed")
    }

    /// Exchanges the route for one that avoids `avoided`, whether or not slots are free.
    ///
    /// # Errors
    ///
    /// Returns why there is no other route; the old one stays.
    pub fn reroute(&mut self, avoided: &[EndpointId]) -> Result<(), PlanError> {
        let now = self.gate.clock.now();
        let mut table = lock(&self.gate.table);
        let request = RouteRequest {
            model: self.route().model(),
            avoided,
            zone: &self.gate.zone,
            prefix: self.prefix,
            over_slots: true,
        };
        let route = RoutePlanner.plan(&table, &request, now)?;
        dispatch_route(&mut table, &route, now);
        finish_route(&mut table, self.route.as_ref());
        self.route = Some(route);
        Ok(())
    }

    /// Gives the route back.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for RouteHold {
    fn drop(&mut self) {
        if let Some(route) = self.route.take() {
            let served = self.gate.clock.now().since(self.granted);
            self.gate.leave(&self.organisation, &route, served);
        }
    }
}

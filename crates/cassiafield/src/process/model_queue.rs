use {
    cassiafield_core::{
        ids::OrganisationId,
        process::{FairQueue, RoutingError, SlotDemand},
        request::StageRoute,
    },
    std::{collections::BTreeMap, sync::mpsc::Sender, time::Duration},
};

/// One model's waiting and running requests on this host.
#[derive(Default)]
pub(super) struct ModelQueue {
    pub(super) queue: FairQueue<RouteWaiter>,
    pub(super) running: BTreeMap<OrganisationId, u32>,
    pub(super) average_demand: BTreeMap<OrganisationId, f64>,
    /// Requests refused for lack of capacity since the last update of the average demand.
    pub(super) refused: BTreeMap<OrganisationId, u32>,
    /// Moving average of the time for which a request uses its route; zero before the first one.
    pub(super) service_seconds: f64,
}

/// A request that waits for a route.
pub(super) struct RouteWaiter {
    pub(super) number: u64,
    pub(super) prefix_hash: u64,
    pub(super) sender: Sender<Result<StageRoute, RoutingError>>,
}

impl ModelQueue {
    /// Weight of the previous value in the moving average of service times.
    const SERVICE_TIME_DECAY: f64 = 0.9;
    /// Time between updates of the average demand.
    const DEMAND_INTERVAL_SECONDS: f64 = 0.5;
    /// Weight of the previous value in the moving average of demand.
    const DEMAND_DECAY: f64 = 0.85;
    /// Average demand, in requests, below which an organisation's entry is removed.
    const MIN_DEMAND: f64 = 0.01;

    pub(super) fn current_demand(&self) -> BTreeMap<OrganisationId, f64> {
        let running = self.running.iter();
        let mut demand: BTreeMap<_, _> = running
            .map(|(organisation, count)| (organisation.clone(), f64::from(*count)))
            .collect();
        for (organisation, waiting) in self.queue.backlog() {
            *demand.entry(organisation).or_default() += waiting as f64 * SlotDemand::WAITING_WEIGHT;
        }
        demand
    }

    /// Updates the moving average of demand.
    ///
    /// Refused requests count with the slots that they would have used; otherwise an organisation
    /// limited to its share would appear to demand no more than that.
    pub(super) fn update_average_demand(&mut self) {
        let mut demand = self.current_demand();
        for (organisation, count) in std::mem::take(&mut self.refused) {
            let rate = f64::from(count) / Self::DEMAND_INTERVAL_SECONDS;
            *demand.entry(organisation).or_default() += rate * self.service_seconds;
        }
        for (organisation, current) in &demand {
            self.average_demand.entry(organisation.clone()).or_insert(*current);
        }
        for (organisation, average) in &mut self.average_demand {
            let current = demand.get(organisation).copied().unwrap_or(0.0);
            *average = Self::DEMAND_DECAY * *average + (1.0 - Self::DEMAND_DECAY) * current;
        }
        self.average_demand.retain(|_, average| *average > Self::MIN_DEMAND);
    }

    /// Counts a request that was refused for lack of capacity.
    pub(super) fn record_refusal(&mut self, organisation: &OrganisationId) {
        *self.refused.entry(organisation.clone()).or_default() += 1;
    }

    pub(super) fn finish_request(&mut self, organisation: &OrganisationId) {
        if let Some(count) = self.running.get_mut(organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running.remove(organisation);
            }
        }
    }

    pub(super) fn record_service_time(&mut self, service_time: Duration) {
        let decay = if self.service_seconds == 0.0 { 0.0 } else { Self::SERVICE_TIME_DECAY };
        self.service_seconds =
            decay * self.service_seconds + (1.0 - decay) * service_time.as_secs_f64();
    }

    /// Fails all waiting requests, since none of them can get a route.
    pub(super) fn fail_all(&mut self, error: &RoutingError) {
        while let Some((_, waiter)) = self.queue.pop(|_| true) {
            let _ = waiter.sender.send(Err(error.clone()));
        }
    }
}

use {
    cassiafield_core::{
        ids::OrganisationId,
        process::{FairQueue, PlanError, SlotDemand},
        request::StageRoute,
    },
    std::{collections::BTreeMap, sync::mpsc::Sender, time::Duration},
};

/// One model's waiting and running requests on this host.
#[derive(Default)]
pub(super) struct ModelLine {
    pub(super) queue: FairQueue<RouteTicket>,
    pub(super) running: BTreeMap<OrganisationId, u32>,
    pub(super) smoothed: BTreeMap<OrganisationId, f64>,
    /// Requests refused for want of endpoints since the demand was measured last.
    pub(super) refused: BTreeMap<OrganisationId, u32>,
    pub(super) service_seconds: f64,
}

/// A request that waits for a route.
pub(super) struct RouteTicket {
    pub(super) number: u64,
    pub(super) prefix: u64,
    pub(super) reply: Sender<Result<StageRoute, PlanError>>,
}

impl ModelLine {
    /// Part of the old value kept in the average service time.
    const SERVICE_KEPT: f64 = 0.9;
    /// Time between measurements of demand, in seconds.
    const MEASURE_SECONDS: f64 = 0.5;
    /// Part of the old value kept in the average demand at each measurement.
    const DEMAND_KEPT: f64 = 0.85;
    /// Average demand below which an organisation is forgotten.
    const SMALLEST_DEMAND: f64 = 0.01;

    pub(super) fn demand(&self) -> BTreeMap<OrganisationId, f64> {
        let running = self.running.iter();
        let mut demand: BTreeMap<_, _> = running
            .map(|(organisation, count)| (organisation.clone(), f64::from(*count)))
            .collect();
        for (organisation, waiting) in self.queue.backlog() {
            *demand.entry(organisation).or_default() += waiting as f64 * SlotDemand::WAITING_WEIGHT;
        }
        demand
    }

    /// Brings the average demand up to date.
    ///
    /// Refused requests count with the slots that they would have taken; without them an
    /// organisation that is held to its share would seem to want no more than that.
    pub(super) fn smooth(&mut self) {
        let mut demand = self.demand();
        for (organisation, count) in std::mem::take(&mut self.refused) {
            let rate = f64::from(count) / Self::MEASURE_SECONDS;
            *demand.entry(organisation).or_default() += rate * self.service_seconds;
        }
        for (organisation, current) in &demand {
            self.smoothed.entry(organisation.clone()).or_insert(*current);
        }
        for (organisation, smoothed) in &mut self.smoothed {
            let current = demand.get(organisation).copied().unwrap_or(0.0);
            *smoothed = Self::DEMAND_KEPT * *smoothed + (1.0 - Self::DEMAND_KEPT) * current;
        }
        self.smoothed.retain(|_, smoothed| *smoothed > Self::SMALLEST_DEMAND);
    }

    /// Notes that a request was refused for want of endpoints.
    pub(super) fn refuse(&mut self, organisation: &OrganisationId) {
        *self.refused.entry(organisation.clone()).or_default() += 1;
    }

    pub(super) fn end(&mut self, organisation: &OrganisationId) {
        if let Some(count) = self.running.get_mut(organisation) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.running.remove(organisation);
            }
        }
    }

    pub(super) fn measure(&mut self, served: Duration) {
        let kept = if self.service_seconds == 0.0 { 0.0 } else { Self::SERVICE_KEPT };
        self.service_seconds = kept * self.service_seconds + (1.0 - kept) * served.as_secs_f64();
    }

    /// Answers all waiting requests at once, since none of them can get a route.
    pub(super) fn fail_all(&mut self, error: &PlanError) {
        while let Some((_, ticket)) = self.queue.pop(|_| true) {
            let _ = ticket.reply.send(Err(error.clone()));
        }
    }
}

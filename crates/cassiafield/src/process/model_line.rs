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
    /// Part of the old value kept in the average demand every half second.
    const DEMAND_KEPT: f64 = 0.85;
    /// Average demand below which an organisation is forgotten.
    const SMALLEST_DEMAND: f64 = 0.01;

    pub(super) fn demand(&self) -> BTreeMap<OrganisationId, f64> {
        let running = self.running.iter();
        let mut demand: BTreeMap<_, _> = running
            .map(|(organisation, count)| (organisation.clone(), f64::from(*count)))
            .collect();
        for (organisation, waiting) in self.queue.backlog() {
            *demand.entry(organisation).or_default() += waiting as f64 * SlotDemand::WAITING_PART;
        }
        demand
    }

    pub(super) fn smooth(&mut self) {
        let demand = self.demand();
        for (organisation, current) in &demand {
            self.smoothed.entry(organisation.clone()).or_insert(*current);
        }
        for (organisation, smoothed) in &mut self.smoothed {
            let current = demand.get(organisation).copied().unwrap_or(0.0);
            *smoothed = Self::DEMAND_KEPT * *smoothed + (1.0 - Self::DEMAND_KEPT) * current;
        }
        self.smoothed.retain(|_, smoothed| *smoothed > Self::SMALLEST_DEMAND);
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

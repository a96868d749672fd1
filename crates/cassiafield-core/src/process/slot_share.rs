use {crate::ids::OrganisationId, std::collections::BTreeMap};

/// What one organisation wants of a model's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotDemand {
    /// Weight of the organisation's plan.
    pub weight: u32,
    /// Requests that run or wait on this host.
    pub here: u32,
    /// Requests that run or wait on all hosts, this one included.
    pub everywhere: u32,
}

/// Splits a model's slots over organisations and hosts.
///
/// Every organisation gets its weighted max-min share of all slots, and every host gets of it
/// what its part of the organisation's demand is. Where requests arrive does not matter.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    slots: u32,
}

impl SlotShare {
    /// Creates a splitter of `slots` slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self { slots }
    }

    /// Returns each organisation's weighted max-min share of all slots.
    #[must_use]
    pub fn fair_shares(
        &self,
        demands: &BTreeMap<OrganisationId, SlotDemand>,
    ) -> BTreeMap<OrganisationId, f64> {
        let mut shares = BTreeMap::new();
        let mut open: Vec<_> = demands.iter().filter(|(_, d)| d.everywhere > 0).collect();
        let need =
            |demand: &SlotDemand| f64::from(demand.everywhere) / f64::from(demand.weight.max(1));
        open.sort_by(|a, b| need(a.1).total_cmp(&need(b.1)));
        let mut left = f64::from(self.slots);
        let mut weights: f64 = open.iter().map(|(_, d)| f64::from(d.weight.max(1))).sum();
        for (organisation, demand) in open {
            let weight = f64::from(demand.weight.max(1));
            let share = f64::from(demand.everywhere).min(left * weight / weights);
            shares.insert(organisation.clone(), share);
            left -= share;
            weights -= weight;
        }
        shares
    }

    /// Returns how many requests of each organisation may run on this host.
    ///
    /// An organisation that wants anything here may run at least one, so that rounding starves
    /// nobody.
    #[must_use]
    pub fn local_limits(
        &self,
        demands: &BTreeMap<OrganisationId, SlotDemand>,
    ) -> BTreeMap<OrganisationId, u32> {
        let shares = self.fair_shares(demands);
        let local = |(organisation, share): (&OrganisationId, &f64)| {
            let demand = demands[organisation];
            let part = f64::from(demand.here) / f64::from(demand.everywhere.max(1));
            let limit = (share * part).round().max(f64::from(u32::from(demand.here > 0)));
            (organisation.clone(), limit as u32)
        };
        shares.iter().map(local).collect()
    }
}

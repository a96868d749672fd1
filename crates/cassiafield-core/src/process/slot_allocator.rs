use {crate::ids::OrganisationId, std::collections::BTreeMap};

/// The demand of one organisation for the slots of a model.
///
/// All hosts must compute the shares from the same numbers. Therefore the demand of every host,
/// including this one, is the average over a few seconds that the host publishes to its peers; only
/// `current` is more recent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotDemand {
    /// Weight of the organisation's plan.
    pub weight: u32,
    /// Requests that run or wait on this host now.
    pub current: f64,
    /// Published average of the requests that run or wait on this host.
    pub local: f64,
    /// Sum of the published averages of the hosts with a smaller id than this one.
    pub preceding: f64,
    /// Sum of the published averages of all hosts, including this one.
    pub total: f64,
}

impl SlotDemand {
    /// Weight of a waiting request relative to a running one.
    ///
    /// With full weight, waiting time would count against an organisation below its share.
    pub const WAITING_WEIGHT: f64 = 0.25;
}

/// The limit of one organisation on one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalLimit {
    /// Maximum number of concurrent requests.
    pub requests: u32,
    /// Whether the demand of the organisation is within its share; it may then use the headroom of
    /// endpoints without a free slot.
    pub below_share: bool,
}

/// Allocates the slots of a model to organisations and hosts.
///
/// Every organisation gets its weighted max-min fair share of all slots, which is split over the
/// hosts in proportion to the organisation's demand there. The share does not depend on which hosts
/// the requests arrive at.
#[derive(Clone, Copy, Debug)]
pub struct SlotAllocator {
    slots: u32,
}

impl SlotAllocator {
    /// Multiple of its demand that an organisation below its share may run.
    const HEADROOM_FACTOR: f64 = 1.5;

    /// Number of slots for which an endpoint accepts one additional request, so that an organisation
    /// below its share does not have to wait for a long request of another one.
    const SLOTS_PER_HEADROOM: u32 = 16;

    /// Returns the number of requests below which an endpoint with `slots` slots accepts another one.
    ///
    /// Half of the headroom is reserved for organisations below their share.
    #[must_use]
    pub const fn capacity(slots: u32, below_share: bool) -> u32 {
        let headroom = slots.div_ceil(Self::SLOTS_PER_HEADROOM);
        if below_share {
            slots + headroom
        } else {
            slots + headroom / 2
        }
    }

    /// Creates an allocator of `slots` slots.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self { slots }
    }

    /// Returns the weighted max-min fair share of each organisation.
    #[must_use]
    pub fn fair_shares(
        &self,
        demands: &BTreeMap<OrganisationId, SlotDemand>,
    ) -> BTreeMap<OrganisationId, f64> {
        let mut shares = BTreeMap::new();
        let mut unallocated: Vec<_> = demands.iter().filter(|(_, d)| d.total > 0.0).collect();
        let weighted_demand = |demand: &SlotDemand| demand.total / f64::from(demand.weight.max(1));
        unallocated.sort_by(|a, b| weighted_demand(a.1).total_cmp(&weighted_demand(b.1)));
        let mut remaining = f64::from(self.slots);
        let mut weights: f64 = unallocated.iter().map(|(_, d)| f64::from(d.weight.max(1))).sum();
        for (organisation, demand) in unallocated {
            let weight = f64::from(demand.weight.max(1));
            let share = demand.total.min(remaining * weight / weights);
            shares.insert(organisation.clone(), share);
            remaining -= share;
            weights -= weight;
        }
        shares
    }

    /// Returns the limit of each organisation on this host.
    ///
    /// An organisation below its share gets headroom; one that demands more is limited to its share.
    /// The shares of all organisations on all hosts are concatenated and divided at whole numbers, so
    /// that the limits of all hosts add up to the slots. `phase`, in `0.0..1.0`, shifts the dividing
    /// points; it is the same on all hosts and changes over time, so that rounding favours no
    /// organisation and no host. The limit of an organisation with any demand is at least one request.
    #[must_use]
    pub fn local_limits(
        &self,
        demands: &BTreeMap<OrganisationId, SlotDemand>,
        phase: f64,
    ) -> BTreeMap<OrganisationId, LocalLimit> {
        let shares = self.fair_shares(demands);
        let mut offset = phase;
        let mut limits = BTreeMap::new();
        for (organisation, share) in &shares {
            let demand = demands[organisation];
            let share_per_request = share / demand.total.max(f64::MIN_POSITIVE);
            let start = offset + share_per_request * demand.preceding;
            let below_share = *share >= demand.total;
            let limit = if !below_share {
                (start + share_per_request * demand.local).floor() - start.floor()
            } else {
                (demand.local.max(demand.current) * Self::HEADROOM_FACTOR + 1.0).ceil()
            };
            let requests = limit.max(1.0) as u32;
            limits.insert(organisation.clone(), LocalLimit { requests, below_share });
            offset += share;
        }
        limits
    }
}

use {crate::ids::OrganisationId, std::collections::BTreeMap};

/// What one organisation wants of a model's slots.
///
/// All hosts must split by the same numbers, so the published averages of a few seconds are used
/// for every host, this one included; only `now` is fresher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotDemand {
    /// Weight of the organisation's plan.
    pub weight: u32,
    /// Requests that run or wait on this host at this moment.
    pub current: f64,
    /// Requests that run or wait on this host.
    pub local: f64,
    /// Requests that run or wait on hosts whose id is smaller than this one's.
    pub preceding: f64,
    /// Requests that run or wait on all hosts, this one included.
    pub total: f64,
}

impl SlotDemand {
    /// What a waiting request counts for against a running one.
    ///
    /// Counting it whole would charge an organisation below its share for the time that it waits.
    pub const WAITING_WEIGHT: f64 = 0.25;
}

/// What one organisation may run on one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalLimit {
    /// Requests at the same time.
    pub requests: u32,
    /// Whether the organisation wants no more than its share; it may then use the headroom of
    /// endpoints whose slots are taken.
    pub below_share: bool,
}

/// Splits a model's slots over organisations and hosts.
///
/// Every organisation gets its weighted max-min share of all slots, and every host gets of it
/// what its part of the organisation's demand is. Where requests arrive does not matter.
#[derive(Clone, Copy, Debug)]
pub struct SlotAllocator {
    slots: u32,
}

impl SlotAllocator {
    /// Headroom over its demand that an organisation below its share has, as a factor.
    const HEADROOM: f64 = 1.5;

    /// Endpoints take one request more for each of this many slots, so that an organisation below
    /// its share does not wait until another's long request ends.
    const SLOTS_PER_HEADROOM: u32 = 16;

    /// Returns the requests up to which an endpoint of `slots` slots takes one of an organisation.
    ///
    /// Half of the headroom is kept for organisations below their share.
    #[must_use]
    pub const fn capacity(slots: u32, below_share: bool) -> u32 {
        let headroom = slots.div_ceil(Self::SLOTS_PER_HEADROOM);
        if below_share {
            slots + headroom
        } else {
            slots + headroom / 2
        }
    }

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
        let mut open: Vec<_> = demands.iter().filter(|(_, d)| d.total > 0.0).collect();
        let need = |demand: &SlotDemand| demand.total / f64::from(demand.weight.max(1));
        open.sort_by(|a, b| need(a.1).total_cmp(&need(b.1)));
        let mut left = f64::from(self.slots);
        let mut weights: f64 = open.iter().map(|(_, d)| f64::from(d.weight.max(1))).sum();
        for (organisation, demand) in open {
            let weight = f64::from(demand.weight.max(1));
            let share = demand.total.min(left * weight / weights);
            shares.insert(organisation.clone(), share);
            left -= share;
            weights -= weight;
        }
        shares
    }

    /// Returns how many requests of each organisation may run on this host.
    ///
    /// An organisation below its share has headroom; one that wants more than its share is held
    /// to it. The shares of all organisations on all hosts are laid end to end and cut at whole
    /// numbers, so that the limits of all hosts sum to the slots. `phase`, in `0.0..1.0`, shifts
    /// the cuts; it is the same on all hosts and changes with time, so that no organisation and
    /// no host is favoured by rounding. An organisation that wants anything here may run at least
    /// one.
    #[must_use]
    pub fn local_limits(
        &self,
        demands: &BTreeMap<OrganisationId, SlotDemand>,
        phase: f64,
    ) -> BTreeMap<OrganisationId, LocalLimit> {
        let shares = self.fair_shares(demands);
        let mut laid = phase;
        let mut limits = BTreeMap::new();
        for (organisation, share) in &shares {
            let demand = demands[organisation];
            let unit = share / demand.total.max(f64::MIN_POSITIVE);
            let from = laid + unit * demand.preceding;
            let below_share = *share >= demand.total;
            let limit = if !below_share {
                (from + unit * demand.local).floor() - from.floor()
            } else {
                (demand.local.max(demand.current) * Self::HEADROOM + 1.0).ceil()
            };
            let requests = limit.max(1.0) as u32;
            limits.insert(organisation.clone(), LocalLimit { requests, below_share });
            laid += share;
        }
        limits
    }
}

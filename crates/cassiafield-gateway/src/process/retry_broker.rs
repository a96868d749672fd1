use {
    crate::process::GatewaySettings,
    cassiafield_core::{
        ids::{HostId, Moment, ServiceId},
        process::{GrantRecord, RetryLimits, RetryPool, RetryQuota, ZoneTraffic},
    },
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, HashMap},
    },
};

/// Number of recent requests by service, as hosts report it to their zone leader.
pub(super) type RequestCounts = BTreeMap<ServiceId, u32>;

/// What a zone leader has granted lately, by service.
pub(super) type GrantRecords = BTreeMap<ServiceId, GrantRecord>;

/// The retry budgets of a host: its own, and those that it grants from while it leads its zone.
#[derive(Debug)]
pub(super) struct RetryBroker {
    limits: RetryLimits,
    is_first_start: bool,
    /// Start time of the process.
    started_at: Moment,
    quotas: RefCell<HashMap<ServiceId, RetryQuota>>,
    /// When this host became the leader of its zone.
    leading_since: Cell<Option<Moment>>,
    /// The pools from which this host grants while it leads its zone.
    pools: RefCell<HashMap<ServiceId, RetryPool>>,
    /// The last record of another leader, and when it arrived.
    former_grants: RefCell<Option<(Moment, GrantRecords)>>,
    /// The counts that peers of the zone reported last.
    peer_requests: RefCell<HashMap<HostId, (Moment, RequestCounts)>>,
}

impl RetryBroker {
    pub(super) fn new(settings: &GatewaySettings, started_at: Moment) -> Self {
        let limits = RetryLimits {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        };
        Self {
            limits,
            is_first_start: settings.is_first_start,
            started_at,
            quotas: RefCell::default(),
            leading_since: Cell::new(None),
            pools: RefCell::default(),
            former_grants: RefCell::default(),
            peer_requests: RefCell::default(),
        }
    }

    /// Records the first attempt of a request to a service, which adds to its budget.
    pub(super) fn record_request(&self, service: &ServiceId, now: Moment) {
        self.with_quota(service, |quota| quota.record_request(now));
    }

    /// Takes one retry from the host's own quota; returns `true` if it is granted.
    pub(super) fn acquire_own(
        &self,
        service: &ServiceId,
        fleet_hosts: Option<usize>,
        now: Moment,
    ) -> bool {
        self.with_quota(service, |quota| quota.try_acquire(fleet_hosts, now))
    }

    /// Records whether this host leads its zone.
    pub(super) fn set_leader(&self, is_leader: bool, now: Moment) {
        if !is_leader {
            self.leading_since.set(None);
            self.pools.borrow_mut().clear();
        } else if self.leading_since.get().is_none() {
            self.leading_since.set(Some(now));
        }
    }

    /// Takes one retry from the zone's pool; returns `false` on hosts that do not lead the zone.
    pub(super) fn grant(
        &self,
        service: &ServiceId,
        fleet_hosts: Option<usize>,
        now: Moment,
    ) -> bool {
        let Some(leading_since) = self.leading_since.get() else { return false };
        let own_requests = self.with_quota(service, |quota| quota.recent_requests(now));
        let traffic = self.zone_traffic(service, own_requests, fleet_hosts, now);
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .entry(service.clone())
            .or_insert_with(|| self.new_pool(service, leading_since, now));
        pool.grant(1, traffic, now) > 0
    }

    fn new_pool(&self, service: &ServiceId, leading_since: Moment, now: Moment) -> RetryPool {
        if self.is_first_start && self.former_grants.borrow().is_none() {
            return RetryPool::new(self.limits, Moment::ORIGIN);
        }
        let mut pool = RetryPool::new(self.limits, leading_since);
        if let Some((received_at, records)) = &*self.former_grants.borrow() {
            if let Some(record) = records.get(service) {
                pool.inherit(*record, *received_at, now);
            }
        }
        pool
    }

    /// Returns the host's counts of recent requests.
    pub(super) fn request_counts(&self, now: Moment) -> RequestCounts {
        let mut quotas = self.quotas.borrow_mut();
        let counts = quotas.iter_mut();
        counts.map(|(service, quota)| (service.clone(), quota.recent_requests(now))).collect()
    }

    /// Returns what this host has granted as the leader of its zone.
    pub(super) fn grant_records(&self, now: Moment) -> GrantRecords {
        if self.leading_since.get().is_none() {
            return GrantRecords::new();
        }
        let mut pools = self.pools.borrow_mut();
        pools.iter_mut().map(|(service, pool)| (service.clone(), pool.record(now))).collect()
    }

    /// Records what a peer of the zone reports.
    pub(super) fn record_peer(
        &self,
        host: HostId,
        counts: RequestCounts,
        grants: GrantRecords,
        now: Moment,
    ) {
        self.peer_requests.borrow_mut().insert(host, (now, counts));
        for (service, record) in &grants {
            if let Some(pool) = self.pools.borrow_mut().get_mut(service) {
                pool.observe(*record, now);
            }
        }
        if !grants.is_empty() {
            *self.former_grants.borrow_mut() = Some((now, grants));
        }
    }

    fn zone_traffic(
        &self,
        service: &ServiceId,
        own_requests: u32,
        fleet_hosts: Option<usize>,
        now: Moment,
    ) -> ZoneTraffic {
        let mut peers = self.peer_requests.borrow_mut();
        peers.retain(|_, (at, _)| now.since(*at) < self.limits.window);
        let counts = peers.values().filter_map(|(_, counts)| counts.get(service));
        let requests = own_requests + counts.sum::<u32>();
        ZoneTraffic { requests, hosts: peers.len() + 1, fleet_hosts }
    }

    fn with_quota<T>(&self, service: &ServiceId, act: impl FnOnce(&mut RetryQuota) -> T) -> T {
        let mut quotas = self.quotas.borrow_mut();
        let quota = quotas.entry(service.clone()).or_insert_with(|| {
            RetryQuota::new(self.limits, (!self.is_first_start).then_some(self.started_at))
        });
        act(quota)
    }
}

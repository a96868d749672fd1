use {
    crate::{
        ids::{EndpointId, HostId, ModelId, Moment, ServiceId},
        process::{EndpointHealth, EndpointRecord, EndpointRole, EndpointState, InterTokenLatency},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The state of all endpoints: the platform's list, combined with observations of this host and
/// reports of peers.
///
/// "Leaving" takes precedence over "live" whatever its source, as long as the endpoint keeps its id
/// and address: the platform's list lags behind, so a later "live" may be out of date.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    records: BTreeMap<EndpointId, EndpointRecord>,
    health: BTreeMap<EndpointId, EndpointHealth>,
    leaving: BTreeMap<EndpointId, LeavingNotice>,
    in_flight: BTreeMap<EndpointId, u32>,
    remote: BTreeMap<HostId, RemoteLoad>,
    token_latencies: BTreeMap<EndpointId, InterTokenLatency>,
}

/// The requests in flight that a peer reported last.
#[derive(Clone, Debug)]
struct RemoteLoad {
    received_at: Moment,
    in_flight: BTreeMap<EndpointId, u32>,
}

/// A notice that an endpoint is leaving.
#[derive(Clone, Debug)]
struct LeavingNotice {
    /// When the notice was received, or the endpoint was last listed.
    received_at: Moment,
    listed: bool,
}

impl EndpointTable {
    /// Time after which a notice about an endpoint that is no longer listed is discarded.
    const NOTICE_RETENTION: Duration = Duration::from_secs(120);
    /// Time after which the load reported by a peer is ignored.
    const REMOTE_RETENTION: Duration = Duration::from_secs(12);
    /// Largest percentage of a pool that may be ejected at once.
    const MAX_EJECTED_PERCENT: usize = 50;

    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the platform's list.
    pub fn replace_list(&mut self, list: Vec<EndpointRecord>, now: Moment) {
        let listed_records: BTreeMap<_, _> =
            list.into_iter().map(|record| (record.endpoint.clone(), record)).collect();
        for (endpoint, record) in &listed_records {
            let address_changed =
                self.records.get(endpoint).is_some_and(|old| old.address != record.address);
            if address_changed {
                self.leaving.remove(endpoint);
                self.health.remove(endpoint);
            }
            if record.state == EndpointState::Leaving {
                self.mark_leaving(endpoint.clone(), now);
            }
        }
        for (endpoint, notice) in &mut self.leaving {
            notice.listed = listed_records.contains_key(endpoint);
            if notice.listed {
                notice.received_at = now;
            }
        }
        self.leaving.retain(|_, notice| now.since(notice.received_at) < Self::NOTICE_RETENTION);
        self.health.retain(|endpoint, _| listed_records.contains_key(endpoint));
        self.token_latencies.retain(|endpoint, _| listed_records.contains_key(endpoint));
        self.records = listed_records;
    }

    /// Records that an endpoint is leaving, as stated by the list, a peer or the endpoint itself.
    ///
    /// Returns `true` if this was not known before.
    pub fn mark_leaving(&mut self, endpoint: EndpointId, now: Moment) -> bool {
        let listed = self.records.contains_key(&endpoint);
        self.leaving.insert(endpoint, LeavingNotice { received_at: now, listed }).is_none()
    }

    /// Returns the endpoints known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> BTreeSet<EndpointId> {
        self.leaving.keys().cloned().collect()
    }

    /// Returns all listed endpoints.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// Returns one listed endpoint.
    #[must_use]
    pub fn record(&self, endpoint: &EndpointId) -> Option<&EndpointRecord> {
        self.records.get(endpoint)
    }

    /// Returns the endpoints that may receive new requests now.
    ///
    /// If more than half of the endpoints of a pool would be ejected, ejection is ignored for that
    /// pool, since so many failures are more likely to be caused by this host.
    #[must_use]
    pub fn usable(&self, now: Moment) -> Vec<&EndpointRecord> {
        let remaining: Vec<_> =
            self.records.values().filter(|r| !self.leaving.contains_key(&r.endpoint)).collect();
        let mut pools: BTreeMap<PoolKey<'_>, (usize, usize)> = BTreeMap::new();
        for record in &remaining {
            let (members, ejected) = pools.entry(PoolKey::of(record)).or_default();
            *members += 1;
            *ejected += usize::from(!self.admits(&record.endpoint, now));
        }
        remaining
            .into_iter()
            .filter(|record| {
                let (members, ejected) = pools[&PoolKey::of(record)];
                let ejection_ignored = ejected * 100 > members * Self::MAX_EJECTED_PERCENT;
                ejection_ignored || self.admits(&record.endpoint, now)
            })
            .collect()
    }

    /// Returns the other usable endpoints of the same pool.
    #[must_use]
    pub fn substitutes(&self, endpoint: &EndpointId, now: Moment) -> Vec<EndpointId> {
        let Some(record) = self.records.get(endpoint) else { return Vec::new() };
        let pool = PoolKey::of(record);
        let usable = self.usable(now).into_iter();
        let others =
            usable.filter(|other| &other.endpoint != endpoint && PoolKey::of(other) == pool);
        others.map(|other| other.endpoint.clone()).collect()
    }

    /// Returns the usable endpoints of a service, the least loaded first.
    #[must_use]
    pub fn service_endpoints(&self, service: &ServiceId, now: Moment) -> Vec<EndpointRecord> {
        let matches = |record: &&EndpointRecord| matches!(&record.role, EndpointRole::Service { service: found } if found == service);
        let mut records: Vec<_> = self.usable(now).into_iter().filter(matches).cloned().collect();
        records.sort_by_key(|record| self.in_flight(&record.endpoint));
        records
    }

    /// Returns the number of requests that this host has in flight at an endpoint.
    #[must_use]
    pub fn in_flight(&self, endpoint: &EndpointId) -> u32 {
        self.in_flight.get(endpoint).copied().unwrap_or(0)
    }

    /// Records the time between tokens of a stream through an endpoint.
    pub fn record_token_latency(
        &mut self,
        endpoint: &EndpointId,
        between_tokens: Duration,
        now: Moment,
    ) {
        let latency = self
            .token_latencies
            .entry(endpoint.clone())
            .or_insert_with(|| InterTokenLatency::new(now));
        latency.record(between_tokens, now);
    }

    /// Returns the expected time between tokens of streams through an endpoint; zero if unknown.
    #[must_use]
    pub fn token_latency(&self, endpoint: &EndpointId, now: Moment) -> Duration {
        self.token_latencies.get(endpoint).map_or(Duration::ZERO, |latency| latency.expected(now))
    }

    /// Returns the requests that this host has in flight, by endpoint.
    #[must_use]
    pub fn local_load(&self) -> BTreeMap<EndpointId, u32> {
        self.in_flight.clone()
    }

    /// Records the requests in flight that a peer reports.
    pub fn record_remote_load(
        &mut self,
        host: HostId,
        in_flight: BTreeMap<EndpointId, u32>,
        now: Moment,
    ) {
        self.remote.retain(|_, load| now.since(load.received_at) < Self::REMOTE_RETENTION);
        self.remote.insert(host, RemoteLoad { received_at: now, in_flight });
    }

    /// Returns the requests in flight at an endpoint, over this host and its peers.
    #[must_use]
    pub fn total_in_flight(&self, endpoint: &EndpointId) -> u32 {
        let remote = self.remote.values().filter_map(|load| load.in_flight.get(endpoint));
        self.in_flight(endpoint) + remote.sum::<u32>()
    }

    /// Returns the number of concurrent requests of a model, which is the number of slots of its
    /// scarcest layer.
    #[must_use]
    pub fn model_slots(&self, model: &ModelId, now: Moment) -> u32 {
        let mut slots: Vec<u32> = Vec::new();
        for record in self.usable(now) {
            if let EndpointRole::Stage { model: found, layers, span, .. } = &record.role {
                if found == model {
                    slots.resize(usize::from(*layers), 0);
                    let covered = usize::from(span.start())..usize::from(span.end());
                    for layer in slots.iter_mut().take(covered.end).skip(covered.start) {
                        *layer += record.slots;
                    }
                }
            }
        }
        slots.into_iter().min().unwrap_or(0)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_dispatch(&mut self, endpoint: &EndpointId, now: Moment) {
        *self.in_flight.entry(endpoint.clone()).or_default() += 1;
        if let Some(health) = self.health.get_mut(endpoint) {
            health.record_dispatch(now);
        }
    }

    /// Records that a request at an endpoint has ended, whether it succeeded or not.
    pub fn record_end(&mut self, endpoint: &EndpointId) {
        if let Some(health) = self.health.get_mut(endpoint) {
            health.record_end();
        }
        if let Some(count) = self.in_flight.get_mut(endpoint) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(endpoint);
            }
        }
    }

    /// Records that a request at an endpoint succeeded.
    pub fn record_success(&mut self, endpoint: &EndpointId) {
        self.health.remove(endpoint);
    }

    /// Records that a request at an endpoint failed, and ejects the endpoint.
    pub fn record_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        self.health.entry(endpoint.clone()).or_default().record_failure(now);
    }

    /// Returns `true` if an endpoint is ejected or on trial.
    #[must_use]
    pub fn is_suspect(&self, endpoint: &EndpointId) -> bool {
        self.health.get(endpoint).is_some_and(EndpointHealth::is_suspect)
    }

    /// Returns `true` if the health of an endpoint allows a request.
    #[must_use]
    pub fn admits(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.health.get(endpoint).is_none_or(|health| health.admits(now))
    }
}

/// Identifies a pool of interchangeable endpoints.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct PoolKey<'a>(&'a str, u16, u16);

impl<'a> PoolKey<'a> {
    fn of(record: &'a EndpointRecord) -> Self {
        match &record.role {
            EndpointRole::Stage { model, span, .. } => {
                PoolKey(model.as_str(), span.start(), span.end())
            }
            EndpointRole::Service { service } => PoolKey(service.as_str(), 0, 0),
        }
    }
}

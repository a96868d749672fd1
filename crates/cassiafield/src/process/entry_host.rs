use {
    crate::{
        connection::{
            EngineClient, HostList, HostListing, LeaseId, LoadDigest, PeerDigest, PlatformStore,
            ServiceClient,
        },
        process::{
            lock, AdmissionGate, AllowanceGate, EntryMetrics, EntrySettings, HostClock, LogEvent,
            PeerBook, UsageKeeper,
        },
        request::{settle_claim, StreamRunner},
        version::{ListHolder, ListVersion},
    },
    cassiafield_core::{
        ids::{EndpointId, HostId, Moment, OrganisationId, ZoneId},
        process::{AllowanceRefusal, EndpointTable, RetryBudget},
        request::ClaimRecord,
    },
    compact_str::CompactString,
    serde_json::{json, Value},
    std::{
        collections::BTreeSet,
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc, Mutex,
        },
        time::Duration,
    },
};

/// The outside systems of an entry host.
pub struct EntryBorders {
    /// The platform's key-value service.
    pub store: Arc<dyn PlatformStore>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostList>,
    /// The engines.
    pub engines: Arc<dyn EngineClient>,
    /// The plain services.
    pub services: Arc<dyn ServiceClient>,
}

/// One entry host: what its listeners and background threads share.
pub struct EntryHost {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: HostClock,
    pub(crate) lists: Arc<ListHolder>,
    pub(crate) table: Arc<Mutex<EndpointTable>>,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) host_list: Arc<dyn HostList>,
    pub(crate) services: Arc<dyn ServiceClient>,
    pub(crate) allowances: AllowanceGate,
    pub(crate) gate: Arc<AdmissionGate>,
    pub(crate) runner: StreamRunner,
    pub(crate) retries: Arc<Mutex<RetryBudget>>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) usage: UsageKeeper,
    pub(crate) peers: PeerBook,
    unsettled: Mutex<Vec<UnsettledClaim>>,
    claim_lease: Mutex<Option<(LeaseId, Moment)>>,
    listed: AtomicBool,
    ordinal_tried: AtomicBool,
    news: AtomicBool,
    newer_lists: Mutex<Option<CompactString>>,
    stopping: AtomicBool,
}

/// A call whose final record has not reached the store.
struct UnsettledClaim {
    key: String,
    record: ClaimRecord,
    since: Moment,
}

impl EntryHost {
    /// Time for which the claim of a call is kept.
    const CLAIM_RETENTION: Duration = Duration::from_secs(86_400);
    /// Time for which one lease is given to new claims.
    const CLAIM_LEASE_USE: Duration = Duration::from_secs(3_600);
    /// Time after which an unsettled claim is left as it is.
    const SETTLE_PATIENCE: Duration = Duration::from_secs(600);

    /// Creates a host that is not yet serving.
    ///
    /// # Errors
    ///
    /// Returns the error of the metrics library.
    pub fn new(settings: EntrySettings, borders: EntryBorders) -> anyhow::Result<Self> {
        let clock = HostClock::start();
        let table = Arc::new(Mutex::new(EndpointTable::new()));
        let metrics = EntryMetrics::new()?;
        let retries = Arc::new(Mutex::new(RetryBudget::new()));
        let runner = StreamRunner {
            clock,
            engines: borders.engines,
            table: table.clone(),
            retries: retries.clone(),
            metrics: metrics.clone(),
        };
        let (host, zone) = (settings.host.clone(), settings.zone.clone());
        Ok(Self {
            allowances: AllowanceGate::new(clock, zone.clone(), settings.request_timeout),
            gate: Arc::new(AdmissionGate::new(clock, host.clone(), zone.clone(), table.clone())),
            usage: UsageKeeper::new(host.clone(), fastrand::u64(..)),
            peers: PeerBook::new(host, zone, settings.peer_seeds.clone()),
            lists: Arc::new(ListHolder::new()),
            store: borders.store,
            host_list: borders.host_list,
            services: borders.services,
            unsettled: Mutex::new(Vec::new()),
            claim_lease: Mutex::new(None),
            listed: AtomicBool::new(false),
            ordinal_tried: AtomicBool::new(false),
            news: AtomicBool::new(false),
            newer_lists: Mutex::new(None),
            stopping: AtomicBool::new(false),
            settings,
            clock,
            table,
            runner,
            retries,
            metrics,
        })
    }

    /// Says whether the host is ready for callers, or why it is not.
    ///
    /// # Errors
    ///
    /// Returns the reason.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if self.is_stopping() {
            return Err("the host is stopping");
        }
        if self.lists.revision().0 == 0 {
            return Err("the host has no lists yet");
        }
        if !self.listed.load(Ordering::SeqCst) {
            return Err("the host has no list of endpoints yet");
        }
        if !self.ordinal_tried.load(Ordering::SeqCst) {
            return Err("the host has not asked for an ordinal yet");
        }
        Ok(())
    }

    /// Says whether the host was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Notes that the host holds an ordinal, or found none free, or has no store to ask.
    pub(crate) fn note_ordinal_tried(&self) {
        self.ordinal_tried.store(true, Ordering::SeqCst);
    }

    pub(crate) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.note_news();
    }

    /// Admits a request under the organisation's plan.
    pub(crate) fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u32,
    ) -> Result<(), AllowanceRefusal> {
        self.allowances.admit(organisation, tokens)
    }

    /// Takes newer lists; older ones are ignored.
    pub(crate) fn take_lists(&self, version: ListVersion) {
        let revision = version.revision;
        if self.lists.take(version) {
            LogEvent::ListsTaken.log(revision);
            self.apply_lists();
        }
    }

    /// Puts the lists in force into the allowances.
    pub(crate) fn apply_lists(&self) {
        let version = self.lists.current();
        let weights = version.lists.organisations.keys().filter_map(|organisation| {
            let limits = version.lists.limits_of(organisation)?;
            Some((organisation.clone(), limits.weight))
        });
        self.gate.set_weights(weights.collect());
        self.allowances.set_lists(version.clone());
    }

    /// Reads the platform's list of hosts.
    pub(crate) fn refresh_hosts(&self) {
        match self.host_list.fetch() {
            Ok(Some(listing)) => self.take_listing(listing),
            Ok(None) => {}
            Err(failure) => {
                self.metrics.event("host-list-failed");
                LogEvent::HostListFailed.log(failure);
            }
        }
    }

    fn take_listing(&self, listing: HostListing) {
        let now = self.clock.now();
        self.peers.replace_list(&listing.entries);
        let mut table = lock(&self.table);
        let before = table.leaving().len();
        table.replace_list(listing.endpoints, now);
        if table.leaving().len() > before {
            self.note_news();
        }
        drop(table);
        self.listed.store(true, Ordering::SeqCst);
        self.gate.pump();
    }

    /// Returns all metrics, with the present state of endpoints.
    ///
    /// # Errors
    ///
    /// Returns the error of the metrics library.
    pub(crate) fn encode_metrics(&self) -> prometheus::Result<String> {
        let now = self.clock.now();
        let table = lock(&self.table);
        let usable: BTreeSet<&EndpointId> =
            table.usable(now).into_iter().map(|record| &record.endpoint).collect();
        let all = table.records().map(|record| &record.endpoint);
        self.metrics.endpoints("usable", usable.len());
        self.metrics.endpoints("unusable", table.records().count() - usable.len());
        self.metrics.endpoint_states(all.map(|endpoint| (endpoint, usable.contains(endpoint))));
        drop(table);
        self.metrics.encode()
    }

    /// Returns what this host tells a peer; only peers of its own zone are told its load.
    pub(crate) fn digest(&self, zone: &ZoneId) -> PeerDigest {
        let version = self.lists.current();
        let table = lock(&self.table);
        let (leaving, in_flight) = (table.leaving(), table.local_load());
        drop(table);
        let near = zone == &self.settings.zone;
        let load = near.then(|| LoadDigest::pack(&version.lists, &in_flight, &self.gate.demands()));
        PeerDigest {
            address: self.settings.peer_listen.to_string().into(),
            zone: self.settings.zone.clone(),
            revision: version.revision,
            stopping: self.is_stopping(),
            leaving,
            load,
        }
    }

    /// Takes what a peer tells.
    pub(crate) fn take_digest(&self, sender: &HostId, digest: &PeerDigest) {
        let now = self.clock.now();
        self.peers.heard(sender, digest, now);
        if digest.revision > self.lists.revision() {
            *lock(&self.newer_lists) = Some(digest.address.clone());
        }
        let mut table = lock(&self.table);
        for endpoint in &digest.leaving {
            if table.mark_leaving(endpoint.clone(), now) {
                self.note_news();
                LogEvent::EndpointLeaving.log(endpoint);
            }
        }
        if let Some(load) = &digest.load {
            let in_flight = load.in_flight(table.records());
            table.record_remote_load(sender.clone(), in_flight, now);
        }
        drop(table);
        let version = self.lists.current();
        if let Some(load) = digest.load.as_ref().filter(|_| version.revision == digest.revision) {
            self.gate.note_remote(sender.clone(), load.demands(&version.lists));
        }
    }

    /// Returns a peer that has newer lists than this host, once.
    pub(crate) fn take_newer_lists(&self) -> Option<CompactString> {
        lock(&self.newer_lists).take()
    }

    /// Notes news that peers should hear at once.
    pub(crate) fn note_news(&self) {
        self.news.store(true, Ordering::SeqCst);
    }

    /// Says whether there is news that peers should hear at once.
    pub(crate) fn has_news(&self) -> bool {
        self.news.load(Ordering::SeqCst)
    }

    /// Says whether there is news and takes note that peers hear it now.
    pub(crate) fn take_news(&self) -> bool {
        self.news.swap(false, Ordering::SeqCst)
    }

    /// Returns the lease under which new claims are kept, or `None` if the store is out of reach.
    pub(crate) fn claim_lease(&self) -> Option<LeaseId> {
        let now = self.clock.now();
        let mut current = lock(&self.claim_lease);
        if let Some((lease, since)) = *current {
            if now.since(since) < Self::CLAIM_LEASE_USE {
                return Some(lease);
            }
        }
        let lease = self.store.grant_lease(Self::CLAIM_RETENTION).ok()?;
        *current = Some((lease, now));
        Some(lease)
    }

    /// Keeps the final record of a call until it can be written.
    pub(crate) fn keep_unsettled(&self, key: String, record: ClaimRecord) {
        let since = self.clock.now();
        lock(&self.unsettled).push(UnsettledClaim { key, record, since });
    }

    /// Tries to write the final records that have not reached the store.
    pub(crate) fn settle_claims(&self) {
        let claims = std::mem::take(&mut *lock(&self.unsettled));
        let now = self.clock.now();
        let mut open = Vec::new();
        for claim in claims {
            if settle_claim(self.store.as_ref(), &claim.key, &claim.record) {
                LogEvent::ClaimSettled.log(&claim.record.digest);
            } else if now.since(claim.since) < Self::SETTLE_PATIENCE {
                open.push(claim);
            }
        }
        lock(&self.unsettled).extend(open);
    }

    /// Returns the host's state for operators.
    pub(crate) fn status(&self) -> Value {
        let holder = self.allowances.holder();
        let now = self.clock.now();
        let table = lock(&self.table);
        let endpoints: Vec<Value> = table
            .records()
            .map(|record| {
                json!({
                    "endpoint": record.endpoint,
                    "zone": record.zone,
                    "in_flight": table.in_flight(&record.endpoint),
                    "suspect": table.is_suspect(&record.endpoint),
                    "leaving": table.leaving().contains(&record.endpoint),
                })
            })
            .collect();
        drop(table);
        json!({
            "host": self.settings.host,
            "zone": self.settings.zone,
            "revision": self.lists.revision(),
            "ready": self.readiness().is_ok(),
            "stopping": self.is_stopping(),
            "ordinal": holder.map(|holder| holder.ordinal()),
            "spending": holder.is_some_and(|holder| holder.may_use_floors(now)),
            "unsettled_claims": lock(&self.unsettled).len(),
            "endpoints": endpoints,
        })
    }
}

use {
    crate::{
        connection::{
            EngineClient, HostListClient, HostListing, LeaseId, LoadDigest, PeerDigest,
            PlatformStore, ServiceClient,
        },
        process::{
            lock, AdmissionController, AllowanceController, EntryMetrics, EntrySettings, HostClock,
            LogEvent, PeerDirectory, UsageRecorder,
        },
        request::{settle_claim, StreamRunner},
        version::{CurrentLists, ListVersion},
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

/// Clients for the external systems of an entry host.
pub struct EntryDependencies {
    /// The platform's key-value store.
    pub store: Arc<dyn PlatformStore>,
    /// The platform's list of hosts.
    pub host_list: Arc<dyn HostListClient>,
    /// Inference engines.
    pub engines: Arc<dyn EngineClient>,
    /// Services that are called without token streaming.
    pub services: Arc<dyn ServiceClient>,
}

/// State of one entry host, shared by its listeners and background threads.
pub struct EntryHost {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: HostClock,
    pub(crate) lists: Arc<CurrentLists>,
    pub(crate) table: Arc<Mutex<EndpointTable>>,
    pub(crate) store: Arc<dyn PlatformStore>,
    pub(crate) host_list: Arc<dyn HostListClient>,
    pub(crate) services: Arc<dyn ServiceClient>,
    pub(crate) allowances: AllowanceController,
    pub(crate) admission: Arc<AdmissionController>,
    pub(crate) runner: StreamRunner,
    pub(crate) retry_budget: Arc<Mutex<RetryBudget>>,
    pub(crate) metrics: EntryMetrics,
    pub(crate) usage: UsageRecorder,
    pub(crate) peers: PeerDirectory,
    unsettled: Mutex<Vec<UnsettledClaim>>,
    claim_lease: Mutex<Option<(LeaseId, Moment)>>,
    has_host_list: AtomicBool,
    ordinal_attempted: AtomicBool,
    urgent_digest: AtomicBool,
    newer_lists_address: Mutex<Option<CompactString>>,
    stopping: AtomicBool,
}

/// A claimed call whose final record is not yet written to the store.
struct UnsettledClaim {
    key: String,
    record: ClaimRecord,
    since: Moment,
}

impl EntryHost {
    /// Time for which the store keeps the claim of a call.
    const CLAIM_RETENTION: Duration = Duration::from_secs(86_400);
    /// Time for which new claims share one lease.
    const CLAIM_LEASE_REUSE: Duration = Duration::from_secs(3_600);
    /// Time after which the host stops retrying to write the record of an unsettled claim.
    const SETTLE_TIMEOUT: Duration = Duration::from_secs(600);

    /// Creates a host that does not serve requests yet.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub fn new(settings: EntrySettings, dependencies: EntryDependencies) -> anyhow::Result<Self> {
        let clock = HostClock::start();
        let table = Arc::new(Mutex::new(EndpointTable::new()));
        let metrics = EntryMetrics::new()?;
        let retry_budget = Arc::new(Mutex::new(RetryBudget::new()));
        let runner = StreamRunner {
            clock,
            engines: dependencies.engines,
            table: table.clone(),
            retry_budget: retry_budget.clone(),
            metrics: metrics.clone(),
        };
        let (host, zone) = (settings.host.clone(), settings.zone.clone());
        Ok(Self {
            allowances: AllowanceController::new(clock, zone.clone(), settings.request_timeout),
            admission: Arc::new(AdmissionController::new(
                clock,
                host.clone(),
                zone.clone(),
                table.clone(),
            )),
            usage: UsageRecorder::new(host.clone(), fastrand::u64(..)),
            peers: PeerDirectory::new(host, zone, settings.peer_seeds.clone()),
            lists: Arc::new(CurrentLists::new()),
            store: dependencies.store,
            host_list: dependencies.host_list,
            services: dependencies.services,
            unsettled: Mutex::new(Vec::new()),
            claim_lease: Mutex::new(None),
            has_host_list: AtomicBool::new(false),
            ordinal_attempted: AtomicBool::new(false),
            urgent_digest: AtomicBool::new(false),
            newer_lists_address: Mutex::new(None),
            stopping: AtomicBool::new(false),
            settings,
            clock,
            table,
            runner,
            retry_budget,
            metrics,
        })
    }

    /// Checks whether the host is ready for callers.
    ///
    /// # Errors
    ///
    /// Returns why the host is not ready.
    pub fn readiness(&self) -> Result<(), &'static str> {
        if self.is_stopping() {
            return Err("the host is stopping");
        }
        if self.lists.revision().0 == 0 {
            return Err("the host has no lists yet");
        }
        if !self.has_host_list.load(Ordering::SeqCst) {
            return Err("the host has no list of endpoints yet");
        }
        if !self.ordinal_attempted.load(Ordering::SeqCst) {
            return Err("the host has not asked for an ordinal yet");
        }
        Ok(())
    }

    /// Returns `true` if the host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Records that an attempt to take an ordinal has ended: it was taken, none was free or the
    /// store did not answer.
    pub(crate) fn mark_ordinal_attempted(&self) {
        self.ordinal_attempted.store(true, Ordering::SeqCst);
    }

    pub(crate) fn begin_shutdown(&self) {
        self.stopping.store(true, Ordering::SeqCst);
        self.request_urgent_digest();
    }

    /// Admits a request under the organisation's plan.
    pub(crate) fn admit(
        &self,
        organisation: &OrganisationId,
        tokens: u32,
    ) -> Result<(), AllowanceRefusal> {
        self.allowances.admit(organisation, tokens)
    }

    /// Installs newer lists; older ones are ignored.
    pub(crate) fn install_lists(&self, version: ListVersion) {
        let revision = version.revision;
        if self.lists.replace_if_newer(version) {
            LogEvent::ListsTaken.log(revision);
            self.apply_lists();
        }
    }

    /// Applies the current lists to admission weights and allowances.
    pub(crate) fn apply_lists(&self) {
        let version = self.lists.current();
        let weights = version.lists.organisations.keys().filter_map(|organisation| {
            let limits = version.lists.plan_limits(organisation)?;
            Some((organisation.clone(), limits.weight))
        });
        self.admission.set_weights(weights.collect());
        self.allowances.set_lists(version.clone());
    }

    /// Fetches the platform's list of hosts and applies it if it has changed.
    pub(crate) fn refresh_hosts(&self) {
        match self.host_list.fetch() {
            Ok(Some(listing)) => self.apply_host_list(listing),
            Ok(None) => {}
            Err(failure) => {
                self.metrics.count_event("host-list-failed");
                LogEvent::HostListFailed.log(failure);
            }
        }
    }

    fn apply_host_list(&self, listing: HostListing) {
        let now = self.clock.now();
        self.peers.replace_list(&listing.entries);
        let mut table = lock(&self.table);
        let before = table.leaving().len();
        table.replace_list(listing.endpoints, now);
        if table.leaving().len() > before {
            self.request_urgent_digest();
        }
        drop(table);
        self.has_host_list.store(true, Ordering::SeqCst);
        self.admission.dispatch_waiting();
    }

    /// Encodes all metrics, with the current state of endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub(crate) fn encode_metrics(&self) -> prometheus::Result<String> {
        let now = self.clock.now();
        let table = lock(&self.table);
        let usable: BTreeSet<&EndpointId> =
            table.usable(now).into_iter().map(|record| &record.endpoint).collect();
        let all = table.records().map(|record| &record.endpoint);
        self.metrics.set_endpoint_count("usable", usable.len());
        self.metrics.set_endpoint_count("unusable", table.records().count() - usable.len());
        self.metrics.set_endpoint_usable(all.map(|endpoint| (endpoint, usable.contains(endpoint))));
        drop(table);
        self.metrics.encode()
    }

    /// Builds the digest for peers in `zone`; only peers in this host's zone receive its load.
    pub(crate) fn digest(&self, zone: &ZoneId) -> PeerDigest {
        let version = self.lists.current();
        let table = lock(&self.table);
        let (leaving, in_flight) = (table.leaving(), table.local_load());
        drop(table);
        let same_zone = zone == &self.settings.zone;
        let load = same_zone.then(|| {
            LoadDigest::pack(&version.lists, &in_flight, &self.admission.average_demands())
        });
        PeerDigest {
            address: self.settings.peer_listen.to_string().into(),
            zone: self.settings.zone.clone(),
            revision: version.revision,
            stopping: self.is_stopping(),
            leaving,
            load,
        }
    }

    /// Applies a peer's digest.
    pub(crate) fn apply_digest(&self, sender: &HostId, digest: &PeerDigest) {
        let now = self.clock.now();
        self.peers.record_digest(sender, digest, now);
        if digest.revision > self.lists.revision() {
            *lock(&self.newer_lists_address) = Some(digest.address.clone());
        }
        let mut table = lock(&self.table);
        for endpoint in &digest.leaving {
            if table.mark_leaving(endpoint.clone(), now) {
                self.request_urgent_digest();
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
            self.admission.record_remote_demand(sender.clone(), load.demands(&version.lists));
        }
    }

    /// Takes the address of a peer that has newer lists than this host, if one is known.
    pub(crate) fn take_newer_lists_address(&self) -> Option<CompactString> {
        lock(&self.newer_lists_address).take()
    }

    /// Requests an immediate digest round, after a change that peers should learn of at once.
    pub(crate) fn request_urgent_digest(&self) {
        self.urgent_digest.store(true, Ordering::SeqCst);
    }

    /// Returns `true` if an immediate digest round is requested.
    pub(crate) fn has_urgent_digest(&self) -> bool {
        self.urgent_digest.load(Ordering::SeqCst)
    }

    /// Clears the request for an immediate digest round.
    ///
    /// Returns `true` if there was one.
    pub(crate) fn take_urgent_digest(&self) -> bool {
        self.urgent_digest.swap(false, Ordering::SeqCst)
    }

    /// Returns the lease for new claims, or `None` if the store cannot grant one.
    pub(crate) fn claim_lease(&self) -> Option<LeaseId> {
        let now = self.clock.now();
        let mut current = lock(&self.claim_lease);
        if let Some((lease, since)) = *current {
            if now.since(since) < Self::CLAIM_LEASE_REUSE {
                return Some(lease);
            }
        }
        let lease = self.store.grant_lease(Self::CLAIM_RETENTION).ok()?;
        *current = Some((lease, now));
        Some(lease)
    }

    /// Queues the final record of a call until it can be written to the store.
    pub(crate) fn queue_unsettled_claim(&self, key: String, record: ClaimRecord) {
        let since = self.clock.now();
        lock(&self.unsettled).push(UnsettledClaim { key, record, since });
    }

    /// Retries writing the queued final records of calls to the store.
    pub(crate) fn settle_claims(&self) {
        let claims = std::mem::take(&mut *lock(&self.unsettled));
        let now = self.clock.now();
        let mut still_unsettled = Vec::new();
        for claim in claims {
            if settle_claim(self.store.as_ref(), &claim.key, &claim.record) {
                LogEvent::ClaimSettled.log(&claim.record.digest);
            } else if now.since(claim.since) < Self::SETTLE_TIMEOUT {
                still_unsettled.push(claim);
            }
        }
        lock(&self.unsettled).extend(still_unsettled);
    }

    /// Returns the host's state as shown to operators.
    pub(crate) fn status(&self) -> Value {
        let ordinal_lease = self.allowances.ordinal_lease();
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
            "ordinal": ordinal_lease.map(|lease| lease.ordinal()),
            "spending": ordinal_lease.is_some_and(|lease| lease.may_use_floors(now)),
            "unsettled_claims": lock(&self.unsettled).len(),
            "endpoints": endpoints,
        })
    }
}

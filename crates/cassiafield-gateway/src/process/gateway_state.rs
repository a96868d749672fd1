use {
    crate::{
        admission::AdmissionDesk,
        connection::{
            BodyBudget, CarrierConnector, ConnectionPool, HttpCarrierConnector, PlatformCodec,
        },
        prefix::PrefixTracker,
        process::{
            connection_tracking::ConnectionPlans,
            dropped_line_count,
            freshness_sync::FreshnessWatch,
            health_probe::{HealthProbe, PathFailure},
            in_flight_request::DispatchedRequest,
            reach_tracking::ReachChecks,
            retry_broker::RetryBroker,
            state_exchange::StateExchange,
            BootClock, GatewayMetrics, GatewaySettings, GaugeValues, InFlightRequest, ReservedLoad,
        },
        recovery::RecoveryDesk,
        resources::ResourceKeeper,
    },
    cassiafield::process::{HostSnapshot, LogEvent, LogRateLimiter},
    cassiafield_core::{
        ids::{EndpointId, HostId, Moment, OrganisationId, ServiceId},
        process::{
            CarrierDirectory, CrashLedger, DataAge, EndpointDirectory, EndpointReach, EngineLoad,
            FailureReport, FleetMembership, FleetReach, ListedEntries, OrganisationLoad,
            RevisionNotice, TurnBroker, VersionOrder, VersionVerdict, ZoneMembers,
        },
        request::{RouteStage, StageRoute},
        version::{CallerLimits, RouteTable},
    },
    std::{
        cell::{Cell, RefCell},
        fmt,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::{Mutex, Notify},
};

/// State of one host.
pub struct GatewayState {
    /// Settings and identity of the host.
    pub settings: GatewaySettings,
    /// Translates to and from the platform's formats.
    pub codec: Rc<dyn PlatformCodec>,
    /// Idle connections to endpoints.
    pub pool: ConnectionPool,
    /// Which idle connections this host keeps.
    pub(super) connection_plans: ConnectionPlans,
    /// Memory for the reports and errors of endpoints that are read whole.
    pub bodies: BodyBudget,
    /// The account of what is held for callers.
    pub resources: Rc<ResourceKeeper>,
    /// The known endpoints.
    pub directory: RefCell<EndpointDirectory>,
    /// Load of the model endpoints.
    pub load: RefCell<EngineLoad>,
    /// The other hosts of the availability zone.
    pub(super) members: RefCell<ZoneMembers>,
    /// The hosts that may carry requests for this one.
    pub carriers: RefCell<CarrierDirectory>,
    /// The address at which this host takes requests of others, once it does.
    pub(super) carry_address: Cell<Option<SocketAddrV4>>,
    /// Shows other hosts that a request is handed over by this one.
    pub carry_token: u64,
    /// Opens connections to hosts that carry requests.
    pub connector: Box<dyn CarrierConnector>,
    /// The ways of this host to endpoints.
    pub(super) reach: RefCell<EndpointReach>,
    pub(super) reach_checks: RefCell<ReachChecks>,
    /// What speaks for and against the parts of prompts.
    pub(super) crashes: RefCell<CrashLedger>,
    /// Held by the one request under suspicion that is being sent.
    pub(super) suspect_turns: Mutex<()>,
    /// Memory in use by organisation.
    pub organisations: RefCell<OrganisationLoad>,
    /// What endpoints are believed to hold of prompts.
    pub prefixes: PrefixTracker,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Requests that wait for memory at model endpoints.
    pub admission: AdmissionDesk,
    pub(super) in_flight: Cell<u32>,
    /// Requests in flight that other hosts have handed over.
    pub(super) carried: Cell<u32>,
    /// The hosts of the fleet.
    pub(super) membership: RefCell<FleetMembership>,
    /// What the last log line on the fleet said.
    pub(super) logged_reach: Cell<Option<FleetReach>>,
    pub(super) exchange: StateExchange,
    pub(super) endpoint_list: RefCell<ListedEntries>,
    configuration_order: Cell<VersionOrder>,
    revision_notice: Cell<RevisionNotice>,
    /// Wakes the synchronisation when a peer's message mentions a newer configuration.
    pub(super) revision_heard: Notify,
    pub(super) probe: HealthProbe,
    /// What streams know of each other for the recovery of their paths.
    pub recovery: RecoveryDesk,
    /// Wakes the peer link when an endpoint was found unresponsive, or a zone's leader has a newer
    /// configuration.
    pub(crate) urgent_message: Notify,
    /// Wakes the engine monitor when a peer found an endpoint unresponsive.
    pub(super) poll_requested: Notify,
    pub(super) freshness: FreshnessWatch,
    clock: BootClock,
    table: RefCell<Option<Rc<RouteTable>>>,
    configuration_age: Cell<DataAge>,
    endpoints_age: Cell<DataAge>,
    pub(super) retries: RetryBroker,
    pub(super) turns: RefCell<TurnBroker>,
    stop_started: Cell<Option<Moment>>,
    is_exiting: Cell<bool>,
}

impl GatewayState {
    /// Maximum age of a configuration whose keys are accepted, in percent of the revocation limit.
    ///
    /// The rest covers the time from reading a key to the endpoint's receipt of the request.
    const MAX_KEY_AGE_PERCENT: u32 = 88;
    /// Maximum age of a ready host's configuration, in percent of the revocation limit.
    const MAX_READY_AGE_PERCENT: u32 = 50;

    /// Percentage of the memory for reports and errors of endpoints that are read whole at the same time.
    const BODIES_PERCENT: u64 = 10;
    /// Memory for all of them, in bytes.
    ///
    /// An endpoint may send bytes without end; the memory of a host is a few hundred MB.
    const MAX_BODIES_BYTES: usize = 64 * 1_024 * 1_024;
    /// Maximum size of an endpoint's report, in bytes.
    pub(crate) const MAX_REPORT_BYTES: usize = 256 * 1_024;

    /// Time for which a stopping host still accepts every request.
    ///
    /// The load balancer checks readiness once a second and needs two failed checks.
    pub const DRAIN_PERIOD: Duration = Duration::from_millis(2_400);

    /// Fraction of the request memory of other zones' endpoints that new streams may fill.
    ///
    /// The rest is for requests of the other zone's own callers.
    const FOREIGN_MEMORY_FRACTION: f64 = 0.88;

    /// Time before the platform's stop limit at which no request may be in flight any more.
    const STOP_RESERVE: Duration = Duration::from_millis(750);

    /// Creates the state of a host without configuration or endpoints.
    #[must_use]
    pub fn new(settings: GatewaySettings, codec: Rc<dyn PlatformCodec>) -> Self {
        let retries = RetryBroker::new(&settings, BootClock.now());
        let membership = FleetMembership::new(
            settings.host.clone(),
            settings.zone.clone(),
            settings.is_first_start,
        );
        let resources = Rc::new(ResourceKeeper::new(settings.resources));
        let metrics = GatewayMetrics::new();
        metrics.register(Box::new(resources.refusals()));
        let max_bodies_bytes = Self::MAX_BODIES_BYTES
            .min(settings.resources.memory.percent(Self::BODIES_PERCENT).bytes() as usize);
        Self {
            settings,
            codec,
            pool: ConnectionPool::default(),
            connection_plans: ConnectionPlans::default(),
            bodies: BodyBudget::new(max_bodies_bytes),
            resources,
            directory: RefCell::default(),
            load: RefCell::default(),
            members: RefCell::default(),
            carriers: RefCell::default(),
            carry_address: Cell::default(),
            carry_token: fastrand::u64(1..),
            connector: Box::new(HttpCarrierConnector),
            reach: RefCell::default(),
            reach_checks: RefCell::default(),
            crashes: RefCell::default(),
            suspect_turns: Mutex::default(),
            organisations: RefCell::default(),
            prefixes: PrefixTracker::default(),
            metrics,
            admission: AdmissionDesk::default(),
            in_flight: Cell::new(0),
            carried: Cell::new(0),
            membership: RefCell::new(membership),
            logged_reach: Cell::new(None),
            exchange: StateExchange::default(),
            endpoint_list: RefCell::default(),
            configuration_order: Cell::default(),
            revision_notice: Cell::default(),
            revision_heard: Notify::new(),
            probe: HealthProbe::default(),
            recovery: RecoveryDesk::default(),
            urgent_message: Notify::new(),
            poll_requested: Notify::new(),
            freshness: FreshnessWatch::default(),
            clock: BootClock,
            table: RefCell::default(),
            configuration_age: Cell::default(),
            endpoints_age: Cell::default(),
            retries,
            turns: RefCell::default(),
            stop_started: Cell::new(None),
            is_exiting: Cell::new(false),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the current configuration, if there is one.
    #[must_use]
    pub fn route_table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the limits for callers, or the defaults without a configuration.
    #[must_use]
    pub fn caller_limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map_or_else(CallerLimits::default, |table| *table.limits())
    }

    /// Applies a configuration and its revision in the store, requested at `requested_at`.
    ///
    /// A version that is not newer than the current one is not applied. `source` says in the log
    /// where it comes from.
    pub fn apply_configuration(
        &self,
        table: RouteTable,
        revision: u64,
        requested_at: Moment,
        source: &str,
    ) -> VersionVerdict {
        let (now, version) = (self.now(), table.version());
        let previous_age = self.configuration_age().unwrap_or_default().as_millis();
        let call_time = now.since(requested_at).as_millis();
        let mut order = self.configuration_order.get();
        let (previous_version, previous_revision) = (order.version(), order.revision());
        let verdict = order.record(version, revision, requested_at, now);
        self.configuration_order.set(order);
        if verdict == VersionVerdict::Newer {
            LogEvent::ListsTaken.log(format_args!(
                "configuration version {version}, revision {revision}, from {source}, requested \
                 {call_time} ms ago; the previous version {previous_version}, revision \
                 {previous_revision}, was current {previous_age} ms ago"
            ));
            *self.table.borrow_mut() = Some(Rc::new(table));
            if self.is_zone_leader() {
                self.urgent_message.notify_one();
            }
        } else if verdict == VersionVerdict::Outdated || version != previous_version {
            LogEvent::ListsRejected.log(format_args!(
                "configuration version {version}, revision {revision}, from {source}, requested \
                 {call_time} ms ago, is not newer than version {previous_version}, revision \
                 {previous_revision}"
            ));
        }
        if verdict != VersionVerdict::Outdated {
            self.confirm_configuration(requested_at);
        }
        verdict
    }

    /// Records that a peer has a revision of the configuration, by what `source` says.
    ///
    /// Returns `true` if it is newer than all that this host knows of.
    pub fn record_revision(&self, revision: u64, source: impl fmt::Display) -> bool {
        let own = self.configuration_revision();
        let mut notice = self.revision_notice.get();
        let is_news = notice.record(revision, own, self.now());
        self.revision_notice.set(notice);
        if is_news {
            LogEvent::RevisionHeard
                .log(format_args!("{source} with revision {revision}; this host has {own}"));
        }
        is_news
    }

    /// Records that the store answered a read of the configuration that began at `requested_at`.
    pub(super) fn record_store_answer(&self, requested_at: Moment) {
        let mut notice = self.revision_notice.get();
        notice.record_answer(self.configuration_revision(), requested_at);
        self.revision_notice.set(notice);
    }

    /// Returns `true` if a peer has a newer configuration that this host should read.
    pub(super) fn awaits_revision(&self) -> bool {
        self.revision_notice.get().is_awaited(self.configuration_revision())
    }

    /// Returns `true` if this host has the configuration of a version and a revision.
    ///
    /// Version 0 matches any version: earlier releases do not send it.
    pub(super) fn has_configuration(&self, version: u64, revision: u64) -> bool {
        let order = self.configuration_order.get();
        revision == order.revision() && (version == 0 || version == order.version())
    }

    /// Records that the current configuration was confirmed by a request sent at `requested_at`.
    pub fn confirm_configuration(&self, requested_at: Moment) {
        let mut age = self.configuration_age.get();
        let max_age = self.settings.sync_intervals().max_peer_data_age();
        let was_recent = age.is_within(max_age, self.now());
        age.renew(requested_at);
        self.configuration_age.set(age);
        // The hosts of the zone, and the leaders of the others, wait for it.
        if !was_recent && age.is_within(max_age, self.now()) && self.is_zone_leader() {
            self.urgent_message.notify_one();
        }
    }

    /// Returns the store's revision of the configuration; 0 without one.
    #[must_use]
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_order.get().revision()
    }

    /// Returns the version of the configuration; 0 without one.
    #[must_use]
    pub fn configuration_version(&self) -> u64 {
        self.configuration_order.get().version()
    }

    /// Returns the age of the configuration, if there is one.
    #[must_use]
    pub fn configuration_age(&self) -> Option<Duration> {
        self.configuration_age.get().age(self.now())
    }

    /// Returns the age of the list of endpoints, if it was ever read.
    #[must_use]
    pub fn endpoints_age(&self) -> Option<Duration> {
        self.endpoints_age.get().age(self.now())
    }

    /// Records that the list of endpoints was confirmed by a request sent at `requested_at`.
    pub fn confirm_endpoints(&self, requested_at: Moment) {
        let mut age = self.endpoints_age.get();
        age.renew(requested_at);
        self.endpoints_age.set(age);
    }

    /// Returns `true` if the configuration is recent enough to accept its keys.
    ///
    /// A key that was revoked meanwhile is then not accepted beyond the revocation limit.
    #[must_use]
    pub fn keys_are_fresh(&self) -> bool {
        let max_age = self.settings.revocation_limit * Self::MAX_KEY_AGE_PERCENT / 100;
        self.configuration_age.get().is_within(max_age, self.now())
    }

    /// Returns `true` if the host should receive new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let max_age = self.settings.revocation_limit * Self::MAX_READY_AGE_PERCENT / 100;
        !self.is_stopping()
            && self.table.borrow().is_some()
            && self.configuration_age.get().is_within(max_age, self.now())
            && !self.directory.borrow().is_empty()
            && !self.is_cut_off()
    }

    /// Returns `true` if callers should reconnect to other hosts.
    ///
    /// That is the case when this host is stopping, or has a configuration but is not ready. If the
    /// configuration has not been confirmed for a while, the host may soon have to refuse keys.
    #[must_use]
    pub fn should_close_connections(&self) -> bool {
        let has_table = self.table.borrow().is_some();
        self.is_stopping() || has_table && !self.is_ready()
    }

    /// Returns `true` if the host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_started.get().is_some()
    }

    /// Returns how long the host will serve a request that arrives now.
    ///
    /// During the drain period a stopping host accepts every request, which serves callers that
    /// have not noticed the stop yet. After that it accepts only requests whose deadline is before
    /// its exit.
    #[must_use]
    pub fn remaining_service_time(&self) -> Duration {
        if self.is_exiting.get() {
            return Duration::ZERO;
        }
        let Some(started_at) = self.stop_started.get() else { return Duration::MAX };
        let elapsed = self.now().since(started_at);
        if elapsed < Self::DRAIN_PERIOD {
            return Duration::MAX;
        }
        self.settings.stop_grace.saturating_sub(elapsed + Self::STOP_RESERVE)
    }

    /// Records that the host begins to stop.
    pub fn begin_shutdown(&self) {
        self.stop_started.set(Some(self.now()));
    }

    /// Records that the host is about to exit; it refuses all further requests.
    pub fn begin_exit(&self) {
        self.is_exiting.set(true);
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight_count(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts a request as in flight until the guard is dropped; `is_carried` if another host handed
    /// it over.
    #[must_use]
    pub fn track_request(self: &Rc<Self>, is_carried: bool) -> InFlightRequest {
        InFlightRequest::new(Rc::clone(self), is_carried)
    }

    /// Counts a request as in flight at an endpoint until the guard is dropped.
    #[must_use]
    pub fn track_dispatch(self: &Rc<Self>, endpoint: &EndpointId) -> DispatchedRequest {
        DispatchedRequest::new(Rc::clone(self), endpoint.clone())
    }

    /// Reserves the load of a stream of `tokens` on a route until the guard is dropped.
    #[must_use]
    pub fn reserve(
        self: &Rc<Self>,
        route: &StageRoute,
        tokens: u32,
        organisation: Option<&OrganisationId>,
    ) -> ReservedLoad {
        let reservation = self.load.borrow_mut().reserve(route, tokens);
        ReservedLoad::new(
            Rc::clone(self),
            reservation,
            route.clone(),
            organisation.cloned(),
            tokens,
        )
    }

    /// Records the first attempt of a request to a service, which adds to its retry budget.
    pub fn record_request(&self, service: &ServiceId) {
        self.retries.record_request(service, self.now());
    }

    /// Takes one retry from a service's retry budget: from this host's own part, or else from the
    /// part that the zone's leader grants.
    ///
    /// Returns `true` if the retry is granted.
    pub async fn acquire_retry(&self, service: &ServiceId) -> bool {
        let is_granted = self.retries.acquire_own(service, self.known_hosts(), self.now())
            || self.acquire_pooled_retry(service).await;
        self.metrics.count_retry_request(is_granted);
        is_granted
    }

    async fn acquire_pooled_retry(&self, service: &ServiceId) -> bool {
        let leader = self.zone_leader();
        if leader == self.settings.host {
            return self.grant_retry(service);
        }
        match self.peer_address(&leader) {
            Some(address) => self.exchange.query_retry(address, service).await,
            None => false,
        }
    }

    /// Takes one retry from the zone's pool, from which only the zone's leader grants.
    pub(super) fn grant_retry(&self, service: &ServiceId) -> bool {
        self.retries.grant(service, self.known_hosts(), self.now())
    }

    /// Records that an endpoint did not run a request and said so.
    ///
    /// The endpoint is avoided only if another instance answers at its address; a full endpoint is
    /// not.
    pub fn record_endpoint_refusal(&self, endpoint: &EndpointId, is_other_instance: bool) {
        if is_other_instance {
            LogEvent::EndpointFailed
                .log(format_args!("endpoint {endpoint}: another instance answers at its address"));
            self.directory.borrow_mut().record_failure(endpoint, self.now());
        }
    }

    /// Records that a model endpoint did not respond to this host, and notifies peers.
    pub fn record_unresponsive(&self, endpoint: &EndpointId) {
        self.metrics.count_endpoint_failure("no-response");
        LogEvent::EndpointFailed.log(format_args!("endpoint {endpoint}: no response"));
        let mut directory = self.directory.borrow_mut();
        directory.record_unresponsive(endpoint, self.now());
        if let Some(entry) = directory.entry(endpoint) {
            self.pool.remove(entry.address);
        }
        drop(directory);
        self.record_endpoint_end(endpoint);
        self.urgent_message.notify_one();
        self.probe.notify_waiters();
    }

    /// Records a failure of an endpoint that a peer reports.
    ///
    /// If the endpoint is unresponsive, the leader of its availability zone polls the zone's
    /// endpoints at once.
    pub(super) fn record_peer_failure(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        report: FailureReport,
    ) {
        let mut directory = self.directory.borrow_mut();
        if !directory.record_peer_failure(endpoint, report, self.now()) {
            return;
        }
        let is_own_zone = directory.entry(endpoint).is_some_and(|e| e.zone == self.settings.zone);
        drop(directory);
        LogEvent::EndpointFailed.log(format_args!("endpoint {endpoint}: no response to a peer"));
        self.metrics.count_endpoint_failure("peer-report");
        self.confirm_end(endpoint);
        self.probe.notify_waiters();
        if is_own_zone && self.is_zone_leader() {
            self.poll_requested.notify_one();
        }
    }

    /// Records that all endpoints of a path have just made progress.
    pub fn record_progress(&self, stages: &[RouteStage]) {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        for stage in stages {
            directory.record_progress(&stage.endpoint, now);
        }
    }

    /// Records that a stream has made no progress on a path since `since` although all its endpoints
    /// respond to probes.
    pub fn record_stall(&self, stages: &[RouteStage], since: Moment) {
        let endpoints = stages.iter().map(|stage| &stage.endpoint);
        self.directory.borrow_mut().record_stall(endpoints, since, self.now());
        self.urgent_message.notify_one();
    }

    /// Probes an endpoint and returns `true` if it responds; an unresponsive endpoint is avoided.
    pub async fn is_responsive(self: &Rc<Self>, endpoint: &EndpointId) -> bool {
        let address = self.directory.borrow().entry(endpoint).map(|entry| entry.address);
        match address {
            Some(address) => self.probe.is_responsive(self, endpoint, address).await,
            None => false,
        }
    }

    /// Starts to probe the endpoints of a path that have not been probed since `since`.
    pub fn start_probes(self: &Rc<Self>, stages: &[RouteStage], since: Moment) {
        HealthProbe::start_probes(self, stages, since);
    }

    /// Waits until a path is known to have failed, but at least for `delay`.
    pub async fn wait_for_path_failure(
        &self,
        stages: &[RouteStage],
        delay: Duration,
    ) -> PathFailure {
        self.probe.wait_for_path_failure(self, stages, delay).await
    }

    /// Returns the leader of the availability zone.
    #[must_use]
    pub fn zone_leader(&self) -> HostId {
        let members = self.members.borrow();
        members.leader(&self.settings.host, self.gives_up_lead(), self.now()).clone()
    }

    /// Returns `true` if this host leads its availability zone.
    #[must_use]
    pub fn is_zone_leader(&self) -> bool {
        self.zone_leader() == self.settings.host
    }

    /// Returns the number of known hosts of the availability zone, this one included.
    pub(crate) fn zone_hosts(&self) -> usize {
        self.membership.borrow().zone_hosts()
    }

    /// Returns the number of known hosts of the fleet, this one included.
    pub(super) fn fleet_hosts(&self) -> usize {
        self.membership.borrow().fleet_hosts()
    }

    /// Returns the number of hosts of the fleet, this one included, if all are known.
    fn known_hosts(&self) -> Option<usize> {
        let membership = self.membership.borrow();
        membership.is_known().then(|| membership.fleet_hosts())
    }

    /// Returns the address of a known host of the availability zone.
    pub(crate) fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        self.membership.borrow().peer_address(host)
    }

    /// Returns the fractions of the request memory that a new stream of an organisation may fill in the own
    /// zone and in other zones.
    pub(crate) fn memory_fractions(&self, organisation: Option<&OrganisationId>) -> (f64, f64) {
        let max = OrganisationLoad::MAX_MEMORY_FRACTION;
        let load = self.organisations.borrow();
        let own = organisation.map_or(max, |found| load.memory_fraction(found, self.now()));
        (own, Self::FOREIGN_MEMORY_FRACTION)
    }

    /// Returns a random live peer in the availability zone.
    #[must_use]
    pub fn random_peer(&self) -> Option<HostId> {
        let members = self.members.borrow();
        let peers: Vec<&HostId> = members.live(self.now()).collect();
        (!peers.is_empty()).then(|| peers[fastrand::usize(..peers.len())].clone())
    }

    /// Returns the values of the gauges.
    #[must_use]
    pub fn gauge_values(&self) -> GaugeValues {
        self.metrics.record_held(self.resources.used());
        let seconds = |age: Option<Duration>| age.map_or(-1.0, |age| age.as_secs_f64());
        let reach = self.fleet_reach();
        GaugeValues {
            configuration_age: seconds(self.configuration_age()),
            endpoints_age: seconds(self.endpoints_age()),
            endpoints: self.directory.borrow().len() as f64,
            running: f64::from(self.in_flight.get()),
            lines_over_budget: LogRateLimiter::suppressed_total() as f64,
            lines_dropped: dropped_line_count() as f64,
            blocked_parts: self.crashes.borrow().blocked(self.now()).len() as f64,
            fleet_hosts: reach.fleet_size() as f64,
            reachable_hosts: reach.reachable as f64,
        }
    }

    /// Returns the version and age of the host's data, for the log.
    #[must_use]
    pub fn snapshot(&self) -> HostSnapshot {
        HostSnapshot {
            configuration: self.table.borrow().as_ref().map_or(0, |table| table.version()),
            configuration_age: self.configuration_age(),
            endpoints: self.directory.borrow().len(),
            endpoints_age: self.endpoints_age(),
        }
    }
}

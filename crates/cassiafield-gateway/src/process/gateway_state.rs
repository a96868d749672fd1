use {
    crate::{
        connection::{ChannelFault, ChannelPool, PlatformCodec},
        process::{
            health_probe::HealthProbe, lines_dropped, running_request::DispatchedRequest,
            state_exchange::StateExchange, AdmissionQueue, BootClock, GatewayMetrics, HostProfile,
            HostReading, ReservedLoad, RunningRequest,
        },
    },
    cassiafield::process::{HostKnowledge, LineBudget, LogEvent},
    cassiafield_core::{
        ids::{EndpointId, HostId, Moment, ServiceId},
        process::{DataAge, EndpointDirectory, EngineLoad, ListedEntries, RetryQuota},
        request::StageRoute,
        version::{CallerLimits, RouteTable, ServiceRule},
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        rc::Rc,
        time::Duration,
    },
};

/// Everything that a host knows and is doing.
pub struct GatewayState {
    /// What the host was told at its start.
    pub profile: HostProfile,
    /// Translates to and from the platform's formats.
    pub codec: Rc<dyn PlatformCodec>,
    /// Idle channels to endpoints.
    pub pool: ChannelPool,
    /// The endpoints.
    pub directory: RefCell<EndpointDirectory>,
    /// What runs at the model endpoints.
    pub load: RefCell<EngineLoad>,
    /// Counters and histograms.
    pub metrics: GatewayMetrics,
    /// Streams that wait for memory at model endpoints.
    pub waiting: AdmissionQueue,
    pub(super) running: Cell<u32>,
    pub(super) hosts_alive: Cell<usize>,
    pub(super) exchange: StateExchange,
    pub(super) listed: RefCell<ListedEntries>,
    configuration_revision: Cell<u64>,
    pub(super) probe: HealthProbe,
    clock: BootClock,
    /// When the process started.
    began: Moment,
    table: RefCell<Option<Rc<RouteTable>>>,
    configuration_age: Cell<DataAge>,
    endpoints_age: Cell<DataAge>,
    quotas: RefCell<HashMap<ServiceId, RetryQuota>>,
    stop_began: Cell<Option<Moment>>,
}

impl GatewayState {
    /// Part of the revocation limit for which known keys count, in percent; the rest covers the
    /// time from reading a key to the endpoint's taking the request.
    const KEY_AGE_PERCENT: u32 = 88;
    /// Age of the configuration beyond which the host sends callers elsewhere, as a part of the
    /// revocation limit in percent.
    const READY_AGE_PERCENT: u32 = 50;

    /// Time for which a host that was told to stop takes requests; the balancer looks once a
    /// second and needs two looks.
    pub const STOP_NOTICE: Duration = Duration::from_millis(2_400);

    /// Time before the platform's limit for a stop in which no request may still run.
    const STOP_RESERVE: Duration = Duration::from_millis(750);

    /// Creates the state of a host that knows nothing yet.
    #[must_use]
    pub fn new(profile: HostProfile, codec: Rc<dyn PlatformCodec>) -> Self {
        Self {
            profile,
            codec,
            pool: ChannelPool::default(),
            directory: RefCell::default(),
            load: RefCell::default(),
            metrics: GatewayMetrics::new(),
            waiting: AdmissionQueue::default(),
            running: Cell::new(0),
            hosts_alive: Cell::new(1),
            exchange: StateExchange::default(),
            listed: RefCell::default(),
            configuration_revision: Cell::new(0),
            probe: HealthProbe::default(),
            clock: BootClock,
            began: BootClock.now(),
            table: RefCell::default(),
            configuration_age: Cell::default(),
            endpoints_age: Cell::default(),
            quotas: RefCell::default(),
            stop_began: Cell::new(None),
        }
    }

    /// Returns the present.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns the configuration in force, if the host has one.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Returns the limits for callers in force.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map_or_else(CallerLimits::default, |table| *table.limits())
    }

    /// Takes a version of the configuration that was current after `asked`, and its revision in the
    /// store.
    ///
    /// An older version than the one in force is left alone.
    pub fn take_configuration(&self, table: RouteTable, revision: u64, asked: Moment) {
        self.configuration_revision.set(revision);
        let mut held = self.table.borrow_mut();
        if held.as_ref().is_none_or(|held| held.version() < table.version()) {
            LogEvent::ListsTaken.log(format_args!("configuration version {}", table.version()));
            *held = Some(Rc::new(table));
        }
        drop(held);
        self.confirm_configuration(asked);
    }

    /// Records that the version in force was current after `asked`.
    pub fn confirm_configuration(&self, asked: Moment) {
        let mut age = self.configuration_age.get();
        age.renew(asked);
        self.configuration_age.set(age);
    }

    /// Returns the revision of the configuration in the store; 0 without one.
    #[must_use]
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_revision.get()
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

    /// Records that the endpoints known were current after `asked`.
    pub fn confirm_endpoints(&self, asked: Moment) {
        let mut age = self.endpoints_age.get();
        age.renew(asked);
        self.endpoints_age.set(age);
    }

    /// Says whether a key that the configuration holds is known not to have been taken away for
    /// longer than allowed.
    #[must_use]
    pub fn keys_are_fresh(&self) -> bool {
        let limit = self.profile.revocation_limit * Self::KEY_AGE_PERCENT / 100;
        self.configuration_age.get().is_within(limit, self.now())
    }

    /// Says whether the host should be sent new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let limit = self.profile.revocation_limit * Self::READY_AGE_PERCENT / 100;
        !self.is_stopping()
            && self.table.borrow().is_some()
            && self.configuration_age.get().is_within(limit, self.now())
            && !self.directory.borrow().is_empty()
    }

    /// Says whether callers are better served by other hosts: this one stops, or has known nothing
    /// new for a while and may soon have to refuse keys.
    #[must_use]
    pub fn redirects_callers(&self) -> bool {
        let has_table = self.table.borrow().is_some();
        self.is_stopping() || has_table && !self.is_ready()
    }

    /// Says whether the host was told to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_began.get().is_some()
    }

    /// Returns how long the host will serve a request that comes now.
    ///
    /// For some time after it was told to stop a host takes every request, so that callers that
    /// have not noticed are served; then those whose own time ends before the host.
    #[must_use]
    pub fn serving_time(&self) -> Duration {
        let Some(began) = self.stop_began.get() else { return Duration::MAX };
        let passed = self.now().since(began);
        if passed < Self::STOP_NOTICE {
            return Duration::MAX;
        }
        self.profile.stop_grace.saturating_sub(passed + Self::STOP_RESERVE)
    }

    /// Records that the host was told to stop.
    pub fn begin_stop(&self) {
        self.stop_began.set(Some(self.now()));
    }

    /// Returns the number of requests that run.
    #[must_use]
    pub fn running_count(&self) -> u32 {
        self.running.get()
    }

    /// Counts a request as running until the guard is dropped.
    #[must_use]
    pub fn running(self: &Rc<Self>) -> RunningRequest {
        RunningRequest::new(Rc::clone(self))
    }

    /// Counts a request as running at an endpoint until the guard is dropped.
    #[must_use]
    pub fn dispatched(self: &Rc<Self>, endpoint: &EndpointId) -> DispatchedRequest {
        DispatchedRequest::new(Rc::clone(self), endpoint.clone())
    }

    /// Books a stream of `tokens` on a route until the guard is dropped.
    #[must_use]
    pub fn book(self: &Rc<Self>, route: &StageRoute, tokens: u32) -> ReservedLoad {
        let ticket = self.load.borrow_mut().reserve(route, tokens);
        ReservedLoad::new(Rc::clone(self), ticket)
    }

    /// Records the first attempt of a request to a service.
    pub fn note_request(&self, service: &ServiceId) {
        let now = self.now();
        self.quota(service, |quota| quota.record_request(now));
    }

    /// Takes the right to send one request to a service again.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        let (hosts, now) = (self.hosts_alive.get(), self.now());
        let is_granted = self.quota(service, |quota| quota.try_acquire(hosts, now));
        self.metrics.retry_asked(is_granted);
        is_granted
    }

    fn quota<T>(&self, service: &ServiceId, act: impl FnOnce(&mut RetryQuota) -> T) -> T {
        let mut quotas = self.quotas.borrow_mut();
        let profile = &self.profile;
        let quota = quotas.entry(service.clone()).or_insert_with(|| {
            RetryQuota::new(
                profile.retry_ratio,
                profile.retry_slack,
                profile.retry_window,
                (!profile.is_first_start).then_some(self.began),
            )
        });
        act(quota)
    }

    /// Records that a request at an endpoint failed without an answer.
    pub fn endpoint_failed(&self, endpoint: &EndpointId, fault: &ChannelFault) {
        LogEvent::EndpointFailed.log(format_args!("endpoint {endpoint}: {fault}"));
        let mut directory = self.directory.borrow_mut();
        directory.record_failure(endpoint, self.now());
        if let Some(entry) = directory.entry(endpoint) {
            self.pool.forget(entry.address);
        }
    }

    /// Records that an endpoint said that it did not run a request.
    ///
    /// An endpoint that is full is not avoided for it; one that is another instance is.
    pub fn endpoint_refused(&self, endpoint: &EndpointId, is_other_instance: bool) {
        if is_other_instance {
            LogEvent::EndpointFailed.log(format_args!("endpoint {endpoint}: other instance"));
            self.directory.borrow_mut().record_failure(endpoint, self.now());
        }
    }

    /// Asks an endpoint whether it lives; it is avoided if not.
    pub async fn is_alive(&self, endpoint: &EndpointId) -> bool {
        let address = self.directory.borrow().entry(endpoint).map(|entry| entry.address);
        match address {
            Some(address) => self.probe.is_alive(self, endpoint, address).await,
            None => false,
        }
    }

    /// Returns how many idle channels this host may keep to one endpoint of a service.
    #[must_use]
    pub fn idle_share(&self, service: &ServiceRule) -> usize {
        ChannelPool::idle_share(service.max_connections, self.hosts_alive.get())
    }

    /// Asks the endpoints of a route whether they live and returns those that do not answer.
    pub async fn silent_endpoints(&self, route: &StageRoute) -> Vec<EndpointId> {
        self.probe.silent(self, route).await
    }

    /// Waits until another request finds an endpoint of a route silent; returns those that are.
    pub async fn found_silent(&self, route: &StageRoute) -> Vec<EndpointId> {
        self.probe.found_silent(self, route).await
    }

    /// Returns the host that leads the availability zone: the first by name of those that are
    /// heard.
    #[must_use]
    pub fn zone_leader(&self) -> HostId {
        let load = self.load.borrow();
        let first = load.peers(self.now()).min().filter(|peer| **peer < self.profile.host);
        first.unwrap_or(&self.profile.host).clone()
    }

    /// Says whether this host leads its availability zone.
    #[must_use]
    pub fn is_zone_leader(&self) -> bool {
        self.zone_leader() == self.profile.host
    }

    /// Returns some other host of the availability zone that is heard.
    #[must_use]
    pub fn any_peer(&self) -> Option<HostId> {
        let load = self.load.borrow();
        let peers: Vec<&HostId> = load.peers(self.now()).collect();
        (!peers.is_empty()).then(|| peers[fastrand::usize(..peers.len())].clone())
    }

    /// Returns what the host knows and does now, for metrics.
    #[must_use]
    pub fn reading(&self) -> HostReading {
        let seconds = |age: Option<Duration>| age.map_or(-1.0, |age| age.as_secs_f64());
        HostReading {
            configuration_age: seconds(self.configuration_age()),
            endpoints_age: seconds(self.endpoints_age()),
            endpoints: self.directory.borrow().len() as f64,
            running: f64::from(self.running.get()),
            lines_over_budget: LineBudget::left_out_total() as f64,
            lines_dropped: lines_dropped() as f64,
        }
    }

    /// Returns how old the host's knowledge is, for the log.
    #[must_use]
    pub fn knowledge(&self) -> HostKnowledge {
        HostKnowledge {
            configuration: self.table.borrow().as_ref().map_or(0, |table| table.version()),
            configuration_age: self.configuration_age(),
            endpoints: self.directory.borrow().len(),
            endpoints_age: self.endpoints_age(),
        }
    }
}

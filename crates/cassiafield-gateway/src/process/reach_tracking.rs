//! Reachability of endpoints from this host, and attribution of failures to endpoints or to the host.

use {
    crate::{
        connection::ConnectionError,
        process::{health_probe::HealthProbe, GatewayState},
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        connections::ConnectionPurpose,
        ids::{EndpointId, HostId, Moment, ServiceId},
        process::{CarrierStatus, EndpointEntry, ReachPoll},
    },
    std::{collections::BTreeMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::{
        sync::Mutex,
        task::{spawn_local, JoinSet},
        time::sleep,
    },
};

/// Checks of the ways to services that are under way, one a service.
pub(super) type ReachChecks = BTreeMap<ServiceId, Rc<Mutex<()>>>;

/// What became of an endpoint whose connection has ended or broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndpointFate {
    /// It accepts connections.
    Running,
    /// It has ended.
    Ended,
    /// This host has no way to it.
    Unknown,
}

impl GatewayState {
    /// Number of other endpoints that are tried to find out whether one of them has failed by itself.
    const TRIED_ENDPOINTS: usize = 3;
    /// Number of hosts of the own zone, and of the others, that are asked whether they reach a service.
    const ASKED_HOSTS: usize = 3;
    /// Divides the file descriptors into the number of requests of other hosts that a host carries; each
    /// takes two.
    const CARRIED_DESCRIPTORS_DIVISOR: usize = 4;
    /// Interval between two checks for lost ways that are due to be tried again.
    const REACH_TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

    /// Returns the service of an endpoint, if that is listed.
    pub(super) fn service_of(&self, endpoint: &EndpointId) -> Option<ServiceId> {
        self.directory.borrow().entry(endpoint).map(|entry| entry.service.clone())
    }

    /// Records that a connection to an endpoint of a service was opened, which began at `started_at`.
    pub fn record_connection(&self, service: &ServiceId, started_at: Moment) {
        self.reach.borrow_mut().record_connection(service, started_at);
    }

    /// Records that an endpoint of a service has answered this host.
    pub fn record_answer(&self, service: &ServiceId) {
        self.reach.borrow_mut().record_answer(service, self.now());
    }

    /// Returns the number of hosts in the availability zone that are known to run, this one among them.
    pub(crate) fn live_zone_hosts(&self) -> usize {
        1 + self.members.borrow().live(self.now()).count()
    }

    /// Returns `true` if this host has reached the endpoints of a service since `since`.
    pub(crate) fn is_way_sound(&self, service: &ServiceId, since: Moment) -> bool {
        let reach = self.reach.borrow();
        !reach.is_lost(service) && reach.is_sound_since(service, since)
    }

    /// Returns `true` if this host has no way to the endpoints of a service.
    #[must_use]
    pub fn is_out_of_reach(&self, service: &ServiceId) -> bool {
        self.reach.borrow().is_lost(service)
    }

    /// Returns `true` if this host has no way to an endpoint's service.
    pub(super) fn is_endpoint_out_of_reach(&self, endpoint: &EndpointId) -> bool {
        self.service_of(endpoint).is_some_and(|service| self.is_out_of_reach(&service))
    }

    /// Returns `true` if this host carries as many requests of other hosts as it can.
    #[must_use]
    pub fn is_full_of_carried(&self) -> bool {
        let max = self.settings.max_descriptors / Self::CARRIED_DESCRIPTORS_DIVISOR;
        usize::try_from(self.carried.get()).unwrap_or(usize::MAX) >= max
    }

    /// Records that a host which carries a request has a revision of the configuration.
    pub fn record_carrier_revision(&self, revision: u64, host: &HostId) {
        if self.record_revision(revision, format_args!("answer of {host}")) {
            self.wake_synchronisation();
        }
    }

    /// Has the configuration read again at once.
    pub fn wake_synchronisation(&self) {
        self.revision_heard.notify_one();
    }

    /// Returns what other hosts should know of this one's ways.
    pub(super) fn carrier_status(&self) -> CarrierStatus {
        let lost = self.reach.borrow().lost().cloned().collect();
        CarrierStatus { is_stopping: self.is_stopping(), lost }
    }

    /// Returns `true` if this host should not lead its zone: it is stopping, or cannot poll endpoints.
    pub(super) fn gives_up_lead(&self) -> bool {
        self.gives_up_lead_with(&self.carrier_status())
    }

    /// Returns `true` if a host with that status should not lead its zone.
    pub(super) fn gives_up_lead_with(&self, status: &CarrierStatus) -> bool {
        let table = self.route_table();
        let is_polled = |service: &ServiceId| {
            let rule = table.as_ref().and_then(|table| table.service(service));
            rule.is_some_and(|rule| rule.engine.is_some())
        };
        status.is_stopping || status.lost.iter().any(is_polled)
    }

    /// Returns `true` if no endpoint is reachable from this host, directly or through another host.
    pub(super) fn is_cut_off(&self) -> bool {
        let (carriers, now) = (self.carriers.borrow(), self.now());
        let is_carried = |service: &ServiceId| {
            let zone = &self.settings.zone;
            carriers.choose(service, zone, &[], 0.0, now).is_some()
        };
        let reach = self.reach.borrow();
        let Some(table) = self.route_table() else { return false };
        let mut services = table.services().map(|rule| &rule.service).peekable();
        services.peek().is_some()
            && services.all(|service| reach.is_lost(service) && !is_carried(service))
    }

    /// Finds out whether a failure at a service's endpoint is this host's own: no other endpoint accepts
    /// its connections either, and other hosts do not report the same.
    ///
    /// Without replies the way counts as lost: no endpoint is blamed, and the host that carries the requests
    /// finds out.
    ///
    /// `started_at` is when what failed began.
    pub async fn is_own_failure(
        self: &Rc<Self>,
        service: &ServiceId,
        endpoint: Option<&EndpointId>,
        started_at: Moment,
    ) -> bool {
        let check = Rc::clone(self.reach_checks.borrow_mut().entry(service.clone()).or_default());
        let _running = check.lock().await;
        if self.is_out_of_reach(service) {
            return true;
        }
        if self.reach.borrow().is_sound_since(service, started_at) {
            return false;
        }
        let check_began_at = self.now();
        if self.reaches_another(service, endpoint, Self::TRIED_ENDPOINTS).await {
            return false;
        }
        if self.ask_peers(service, started_at).await.shows_general_failure() {
            self.reach.borrow_mut().record_general_failure(service, check_began_at);
            return false;
        }
        self.record_loss(service);
        true
    }

    /// Returns `true` if an endpoint of the service other than `except` accepts a connection.
    async fn reaches_another(
        self: &Rc<Self>,
        service: &ServiceId,
        except: Option<&EndpointId>,
        count: usize,
    ) -> bool {
        let mut attempts = JoinSet::new();
        for (endpoint, address) in self.reach_candidates(service, except, count) {
            let (state, service) = (Rc::clone(self), service.clone());
            let attempt =
                async move { state.open_connection(&service, &endpoint, address).await.is_ok() };
            attempts.spawn_local(attempt);
        }
        any_true(attempts).await
    }

    /// Opens a connection to an endpoint, which a request may use later; this asks the endpoint nothing.
    async fn open_connection(
        &self,
        service: &ServiceId,
        endpoint: &EndpointId,
        address: SocketAddrV4,
    ) -> Result<(), ConnectionError> {
        let started_at = self.now();
        let connection = self.pool.open(address, HealthProbe::PROBE_TIMEOUT).await?;
        self.metrics.count_connection();
        self.record_connection_use(ConnectionPurpose::Reach, false);
        self.record_connection(service, started_at);
        let table = self.route_table();
        if let Some(rule) = table.as_ref().and_then(|table| table.service(service)) {
            let allowance = self.idle_allowance(rule, endpoint);
            connection.return_to(&self.pool, allowance, self.now());
        }
        Ok(())
    }

    /// Chooses endpoints of a service at random, those of different zones that are in use first.
    fn reach_candidates(
        &self,
        service: &ServiceId,
        except: Option<&EndpointId>,
        count: usize,
    ) -> Vec<(EndpointId, SocketAddrV4)> {
        let (directory, now) = (self.directory.borrow(), self.now());
        let mut entries: Vec<&EndpointEntry> = directory
            .live_entries(service)
            .filter(|entry| Some(&entry.endpoint) != except)
            .collect();
        fastrand::shuffle(&mut entries);
        // A paused endpoint accepts connections, and a check sends no request.
        let is_paused =
            |entry: &EndpointEntry| directory.blocked_until(&entry.endpoint, now).is_some();
        entries.sort_by_key(|entry| (directory.is_suspect(&entry.endpoint, now), is_paused(entry)));
        let mut chosen: Vec<&EndpointEntry> = Vec::new();
        for is_new_zone in [true, false] {
            for entry in &entries {
                let is_known_zone = chosen.iter().any(|known| known.zone == entry.zone);
                let is_chosen = chosen.iter().any(|known| known.endpoint == entry.endpoint);
                if chosen.len() < count && !is_chosen && (!is_new_zone || !is_known_zone) {
                    chosen.push(entry);
                }
            }
        }
        chosen.into_iter().map(|entry| (entry.endpoint.clone(), entry.address)).collect()
    }

    /// Queries other hosts whether they have reached the service since `since`, or reach it now.
    async fn ask_peers(self: &Rc<Self>, service: &ServiceId, since: Moment) -> ReachPoll {
        let witnesses = {
            let (carriers, zone) = (self.carriers.borrow(), &self.settings.zone);
            carriers.witnesses(service, zone, Self::ASKED_HOSTS, fastrand::f64(), self.now())
        };
        let mut poll = ReachPoll::new(witnesses.len());
        let mut queries = JoinSet::new();
        for witness in witnesses {
            let (state, service) = (Rc::clone(self), service.clone());
            queries.spawn_local(async move {
                let age = state.now().since(since);
                state.exchange.query_reach(witness.into(), &service, age).await
            });
        }
        while let Some(reply) = queries.join_next().await {
            if let Ok(Some(is_reached)) = reply {
                poll.record(is_reached);
            }
            if poll.is_decided() {
                // The others complete by themselves and remove their nonces.
                queries.detach_all();
                break;
            }
        }
        poll
    }

    /// Answers another host's question whether this one has reached a service since `since`, or reaches
    /// it now.
    pub(super) async fn reaches(self: &Rc<Self>, service: &ServiceId, since: Moment) -> bool {
        let known = self.reach.borrow().is_reached_since(service, since);
        match known {
            Some(is_reached) => is_reached,
            None => self.reaches_another(service, None, Self::TRIED_ENDPOINTS).await,
        }
    }

    fn record_loss(self: &Rc<Self>, service: &ServiceId) {
        if !self.reach.borrow_mut().record_loss(service, self.now()) {
            return;
        }
        LogEvent::EndpointsOutOfReach.log(format_args!("service {service}"));
        self.metrics.count_way_loss();
        self.urgent_message.notify_one();
        self.probe.notify_waiters();
        // What cuts a host from one service often cuts it from all.
        let Some(table) = self.route_table() else { return };
        for other in table.services().map(|rule| &rule.service).filter(|other| *other != service) {
            let (state, other) = (Rc::clone(self), other.clone());
            let now = self.now();
            spawn_local(async move { state.is_own_failure(&other, None, now).await });
        }
    }

    /// Tries lost ways again from time to time; never returns.
    pub(super) async fn run_reach_trials(self: Rc<Self>) {
        loop {
            sleep(Self::REACH_TRIAL_CHECK_INTERVAL).await;
            if let Some(table) = self.route_table() {
                self.reach.borrow_mut().retain(|service| table.service(service).is_some());
            }
            let due: Vec<ServiceId> = {
                let reach = self.reach.borrow();
                reach.due_trials(self.now()).cloned().collect()
            };
            for service in due {
                let is_success = self.reaches_another(&service, None, Self::TRIED_ENDPOINTS).await;
                self.record_reach_trial(&service, is_success);
            }
        }
    }

    fn record_reach_trial(&self, service: &ServiceId, is_success: bool) {
        let lost_for = self.reach.borrow_mut().record_trial(service, is_success, self.now());
        let Some(lost_for) = lost_for else { return };
        LogEvent::EndpointsInReach
            .log(format_args!("service {service}, lost for {} ms", lost_for.as_millis()));
        self.directory.borrow_mut().forget_failures(service);
        self.probe.forget_failures();
        self.urgent_message.notify_one();
    }

    /// Returns `true` if a failure without a response is known to be the endpoint's.
    ///
    /// While new connections are refused, those that are open may live on: what is answered over them
    /// says nothing of a connection that could not be opened.
    fn is_endpoint_failure(
        &self,
        service: &ServiceId,
        error: &ConnectionError,
        started_at: Moment,
    ) -> bool {
        let reach = self.reach.borrow();
        !matches!(error, ConnectionError::Connect(_))
            && !reach.is_lost(service)
            && reach.has_answered_since(service, started_at)
    }

    /// Records that a request to an endpoint failed without a response; `started_at` is when it began.
    ///
    /// Returns `true` if that is this host's own failure, which says nothing of the endpoint.
    pub async fn record_endpoint_failure(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        error: &ConnectionError,
        started_at: Moment,
    ) -> bool {
        self.metrics.count_endpoint_failure(error.name());
        let Some(service) = self.service_of(endpoint) else { return false };
        if !self.is_endpoint_failure(&service, error, started_at)
            && self.is_own_failure(&service, Some(endpoint), started_at).await
        {
            return true;
        }
        let is_model_endpoint =
            self.directory.borrow().entry(endpoint).is_some_and(|e| e.accelerator.is_some());
        if is_model_endpoint && matches!(error, ConnectionError::Connect(_)) {
            self.record_unresponsive(endpoint);
            return false;
        }
        LogEvent::EndpointFailed.log(format_args!("endpoint {endpoint}: {error}"));
        let mut directory = self.directory.borrow_mut();
        directory.record_failure(endpoint, self.now());
        if let Some(entry) = directory.entry(endpoint) {
            self.pool.remove(entry.address);
        }
        false
    }

    /// Records that a model endpoint responded to a probe that began at `started_at`, over a new connection if
    /// `is_new`.
    pub(super) fn record_probe_answer(
        &self,
        endpoint: &EndpointId,
        started_at: Moment,
        is_new: bool,
    ) {
        self.directory.borrow_mut().record_response(endpoint, started_at);
        let Some(service) = self.service_of(endpoint) else { return };
        if is_new {
            self.record_connection(&service, started_at);
        } else {
            self.record_answer(&service);
        }
    }

    /// Records that a model endpoint did not respond to a probe that began at `started_at`, unless this
    /// host has no way to it.
    pub(super) async fn record_probe_failure(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        started_at: Moment,
    ) {
        let Some(service) = self.service_of(endpoint) else { return };
        if !self.is_own_failure(&service, Some(endpoint), started_at).await {
            self.record_unresponsive(endpoint);
        }
    }

    /// Finds out whether an endpoint has ended that a peer reports as unresponsive, if requests of this
    /// host are there: the link between the peer and the endpoint may be broken.
    pub(super) fn confirm_end(self: &Rc<Self>, endpoint: &EndpointId) {
        let is_used = self.load.borrow().own_usage().contains_key(endpoint)
            || self.crashes.borrow().has_breaks(endpoint);
        if !is_used || self.is_endpoint_out_of_reach(endpoint) {
            return;
        }
        let (state, endpoint) = (Rc::clone(self), endpoint.clone());
        spawn_local(async move {
            let entry = state.directory.borrow().entry(&endpoint).cloned();
            let Some(EndpointEntry { address, service, .. }) = entry else { return };
            let started_at = state.now();
            match state.open_connection(&service, &endpoint, address).await {
                Ok(()) => {}
                Err(_) if state.is_own_failure(&service, Some(&endpoint), started_at).await => {}
                Err(_) => state.record_endpoint_end(&endpoint),
            }
        });
    }

    /// Finds out what became of an endpoint whose connection has just ended or broken.
    pub async fn endpoint_fate(self: &Rc<Self>, endpoint: &EndpointId) -> EndpointFate {
        let entry = self.directory.borrow().entry(endpoint).cloned();
        let Some(EndpointEntry { address, service, .. }) = entry else {
            return EndpointFate::Ended;
        };
        if self.is_out_of_reach(&service) {
            return EndpointFate::Unknown;
        }
        if self.directory.borrow().is_unresponsive(endpoint, self.now()) {
            self.record_endpoint_end(endpoint);
            return EndpointFate::Ended;
        }
        let started_at = self.now();
        // A process that has ended accepts no connection; this asks it nothing.
        match self.open_connection(&service, endpoint, address).await {
            Ok(()) => EndpointFate::Running,
            Err(error) if self.record_endpoint_failure(endpoint, &error, started_at).await => {
                EndpointFate::Unknown
            }
            Err(_) => {
                self.record_endpoint_end(endpoint);
                EndpointFate::Ended
            }
        }
    }

    /// Waits until an endpoint that does not answer turns out to be out of this host's reach; never
    /// returns otherwise.
    ///
    /// It asks the endpoint nothing: it opens a connection, after a time in which most requests are
    /// answered.
    pub async fn wait_for_loss(self: &Rc<Self>, endpoint: &EndpointId, sent_at: Moment) {
        /// Time without an answer after which the way is checked.
        const ANSWER_DELAY: Duration = Duration::from_millis(200);
        let Some(service) = self.service_of(endpoint) else { return std::future::pending().await };
        loop {
            sleep(ANSWER_DELAY).await;
            if self.is_out_of_reach(&service) {
                return;
            }
            let since = self.now().earlier_by(ANSWER_DELAY).max(sent_at);
            if self.reach.borrow().has_answered_since(&service, since) {
                continue;
            }
            let started_at = self.now();
            let address = self.directory.borrow().entry(endpoint).map(|entry| entry.address);
            let Some(address) = address else { return std::future::pending().await };
            match self.open_connection(&service, endpoint, address).await {
                Ok(()) => {}
                Err(_) if self.is_own_failure(&service, Some(endpoint), started_at).await => return,
                Err(_) => {}
            }
        }
    }
}

/// Returns `true` as soon as one of the tasks does, and `false` once none has.
async fn any_true(mut tasks: JoinSet<bool>) -> bool {
    while let Some(result) = tasks.join_next().await {
        if result.unwrap_or(false) {
            // The others complete by themselves: what they find is recorded.
            tasks.detach_all();
            return true;
        }
    }
    false
}

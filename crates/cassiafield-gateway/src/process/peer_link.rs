use {
    crate::{
        admission::AdmissionExchange,
        connection::{StoreCall, StoreClient, StoreResponse},
        process::{
            peer_extension::{encode_message, PeerExtension},
            retry_broker::{GrantRecords, RequestCounts},
            send_turn::TurnQuery,
            state_exchange::{StateExchange, StateQuery, StateReply},
            GatewayState,
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, HostId, Moment, ServiceId, ZoneId},
        process::{
            CarrierStatus, CrashReport, EndpointLife, EngineUsage, FailureReport, FleetIntervals,
            LimitReports, LinkUsage, ListedHost, OrganisationUsage, SharedReading, SyncIntervals,
            TurnReply,
        },
    },
    std::{
        collections::BTreeMap,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// A host's entry in the store.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct HostEntry {
    host: HostId,
    zone: ZoneId,
    peer_address: SocketAddrV4,
    /// The address at which the host takes requests of others, if it does.
    #[serde(default)]
    carry_address: Option<SocketAddrV4>,
    /// What the host's notes on requests that it hands over hold.
    #[serde(default)]
    carry_token: u64,
}

/// A message between hosts.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum PeerMessage {
    /// The load that a host has reserved, sent to the hosts of its availability zone.
    Host {
        host: HostId,
        used: BTreeMap<EndpointId, EngineUsage>,
        readings: Readings,
        #[serde(default)]
        failures: FailureReports,
        /// Requests of the host within the window of the retry budget.
        #[serde(default)]
        requests: RequestCounts,
        /// Grants of the zone's leader, for its successor.
        #[serde(default)]
        grants: GrantRecords,
        /// What the host's streams send between availability zones.
        #[serde(default)]
        links: LinkUsage,
        /// Memory that the host's streams have reserved, by organisation.
        #[serde(default)]
        organisations: OrganisationUsage,
        /// Whether the host is stopping and gives up the lead of its zone.
        #[serde(default)]
        is_stopping: bool,
        /// Revision of the configuration that the host has.
        #[serde(default)]
        configuration_revision: u64,
        /// What the host knows of prompts that crash endpoints.
        #[serde(default)]
        crashes: CrashReport,
        /// What the host knows of the limits of endpoints.
        #[serde(default)]
        limits: LimitReports,
        /// Whether the host can send requests of others to endpoints.
        #[serde(default)]
        carrier_status: CarrierStatus,
    },
    /// The load that all hosts of an availability zone have reserved, sent to the hosts of other
    /// zones.
    ///
    /// It reports failures of the sending zone's endpoints only: the link to others may be broken.
    Zone {
        zone: ZoneId,
        used: BTreeMap<EndpointId, EngineUsage>,
        readings: Readings,
        #[serde(default)]
        failures: FailureReports,
        /// What streams of the zone's hosts send between availability zones.
        #[serde(default)]
        links: LinkUsage,
        /// Revision of the configuration that the zone's leader has.
        #[serde(default)]
        configuration_revision: u64,
        /// What the zone's leader knows of prompts that crash endpoints.
        #[serde(default)]
        crashes: CrashReport,
        /// What the zone's leader knows of the limits of endpoints.
        #[serde(default)]
        limits: LimitReports,
        /// Number of hosts of the zone whose messages arrive at its leader, itself included.
        #[serde(default)]
        hosts: usize,
        /// Hosts of the zone that cannot send requests of others to endpoints.
        #[serde(default)]
        unfit_carriers: BTreeMap<HostId, CarrierStatus>,
    },
    /// A query for the peer's data from the store.
    Query(StateQuery),
    /// The reply to a query.
    Reply(StateReply),
    /// Asks the zone's leader for a retry.
    RetryQuery { nonce: u64, service: ServiceId },
    /// The reply to a query for a retry.
    RetryReply { nonce: u64, is_granted: bool },
    /// Asks the leader of an endpoint's zone for a turn at the endpoint.
    TurnQuery { nonce: u64, query: TurnQuery },
    /// The reply to a query for a turn; without an answer if the host does not grant them.
    TurnReply { nonce: u64, reply: Option<TurnReply> },
    /// Gives a turn back that was not used.
    TurnReturn { life: EndpointLife },
    /// Asks whether the host has reached a service's endpoints within a time, in milliseconds, or reaches
    /// them now.
    ReachQuery { nonce: u64, service: ServiceId, age_ms: u32 },
    /// The reply to that question.
    ReachReply { nonce: u64, is_reached: bool },
}

/// Readings that endpoints reported to the zone's leader.
type Readings = BTreeMap<EndpointId, SharedReading>;

/// Failures of endpoints that the sender noticed.
type FailureReports = BTreeMap<EndpointId, FailureReport>;

/// Exchanges reserved load, endpoint readings and store data with other hosts.
pub struct PeerLink {
    state: Rc<GatewayState>,
}

impl PeerLink {
    /// Interval between two messages to peers.
    const MESSAGE_INTERVAL: Duration = Duration::from_millis(150);
    /// Number of rounds of messages to peers per message to other availability zones.
    const ROUNDS_PER_ZONE_MESSAGE: u32 = 2;
    /// Key prefix of host entries.
    const HOST_KEY_PREFIX: &'static str = "cassiafield/hosts/";
    /// Maximum age of readings that are sent.
    ///
    /// With this limit, each reading is sent twice to other availability zones.
    const MAX_READING_AGE: Duration = Duration::from_millis(600);
    /// Time for which a failure of an endpoint is reported; it covers the loss of some messages.
    const FAILURE_REPORT_TIME: Duration = Duration::from_millis(1_000);
    /// Maximum size of a message, in bytes; it fits one datagram.
    const MAX_MESSAGE_BYTES: usize = 60 * 1_024;

    /// Creates the link of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    /// Keeps the host's entry in the store alive and refreshes the list of hosts; never returns.
    pub async fn maintain_host_entry(self: Rc<Self>) {
        let address = self.state.settings.store_address;
        let mut client = StoreClient::new(
            Rc::clone(&self.state.codec),
            address,
            self.state.metrics.store_calls(),
            "the host entry",
        );
        let mut lease = None;
        let mut refreshed_at: Option<Moment> = None;
        loop {
            lease = self.renew_host_entry(&mut client, lease).await;
            let intervals = FleetIntervals { hosts: self.state.fleet_hosts() };
            let now = self.state.now();
            if refreshed_at.is_none_or(|at| now.since(at) >= intervals.read_interval()) {
                self.refresh_hosts(&mut client).await;
                refreshed_at = Some(now);
            }
            sleep(intervals.renewal_interval()).await;
        }
    }

    fn record_disturbance(&self) {
        self.state.membership.borrow_mut().record_disturbance(self.state.now());
    }

    async fn renew_host_entry(&self, client: &mut StoreClient, lease: Option<u64>) -> Option<u64> {
        if let Some(lease) = lease {
            match client.call(&StoreCall::Renew { lease }).await {
                Ok(StoreResponse::NoLease) => self.record_disturbance(),
                Ok(_) => return Some(lease),
                Err(error) => {
                    self.record_disturbance();
                    LogEvent::PeerFailed.log(format_args!("host entry not renewed: {error}"));
                    return Some(lease);
                }
            }
        }
        let ttl_ms = u64::try_from(FleetIntervals::ENTRY_TTL.as_millis()).unwrap_or(u64::MAX);
        let grant = client.call(&StoreCall::Grant { ttl_ms }).await;
        let lease = match grant {
            Ok(StoreResponse::Lease { lease, .. }) => lease,
            response => {
                LogEvent::PeerFailed
                    .log(format_args!("lease for the host entry not granted: {response:?}"));
                return None;
            }
        };
        let settings = &self.state.settings;
        let entry = HostEntry {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            peer_address: settings.peer_address,
            carry_address: self.state.carry_address.get(),
            carry_token: self.state.carry_token,
        };
        let value = match rmp_serde::to_vec_named(&entry) {
            Ok(value) => value,
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("cannot encode host entry: {error}"));
                return None;
            }
        };
        let key = format!("{}{}", Self::HOST_KEY_PREFIX, settings.host);
        let put = StoreCall::Put { key, value, lease, expected_revision: None };
        let response = client.call(&put).await;
        if response == Ok(StoreResponse::Written) {
            return Some(lease);
        }
        LogEvent::PeerFailed.log(format_args!("host entry not written: {response:?}"));
        None
    }

    async fn refresh_hosts(&self, client: &mut StoreClient) {
        let items = match client.list(Self::HOST_KEY_PREFIX, true).await {
            Ok(items) => items,
            Err(error) => {
                self.record_disturbance();
                LogEvent::HostListFailed.log(error);
                return;
            }
        };
        let mut list = BTreeMap::new();
        for item in items {
            match rmp_serde::from_slice::<HostEntry>(&item.value) {
                Ok(entry) => {
                    let listed = ListedHost {
                        zone: entry.zone,
                        peer_address: entry.peer_address,
                        carry_address: entry.carry_address,
                        carry_token: entry.carry_token,
                    };
                    list.insert(entry.host, listed);
                }
                Err(error) => LogEvent::PeerRefused.log(format_args!("{}: {error}", item.key)),
            }
        }
        let listed_hosts = list.len();
        let mut membership = self.state.membership.borrow_mut();
        let is_alone = membership.zone_hosts() == 1;
        let ended = membership.record_list(list, self.state.now());
        let known = membership.listed_hosts();
        let carriers = known.map(|(host, listed)| (host.clone(), listed.clone())).collect();
        self.state.carriers.borrow_mut().set_hosts(carriers);
        for host in ended {
            LogEvent::FleetReachChanged.log(format_args!(
                "host {host} has ended: it is silent and not among {listed_hosts} listed hosts"
            ));
        }
        drop(membership);
        // The leader tells a host that has just started what it must know before it sends.
        if is_alone {
            self.state.urgent_message.notify_one();
        }
    }

    /// Sends and receives messages; never returns unless the socket cannot be opened.
    pub async fn run_messages(self: Rc<Self>) {
        let socket = match UdpSocket::bind(SocketAddr::V4(self.state.settings.peer_address)).await {
            Ok(socket) => Rc::new(socket),
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("cannot open the peer socket: {error}"));
                return;
            }
        };
        self.state.exchange.attach_socket(Rc::clone(&socket));
        let admission = AdmissionExchange::new(&self.state, &self, &socket);
        tokio::join!(self.send_messages(&socket), self.receive_messages(&socket), admission.run());
    }

    async fn send_messages(&self, socket: &UdpSocket) {
        let mut rounds: u32 = 0;
        let (mut sent_revision, mut is_repeat) = (0, false);
        loop {
            let interval = if is_repeat {
                SyncIntervals::REPEATED_MESSAGE_DELAY
            } else {
                Self::MESSAGE_INTERVAL
            };
            let found = self.state.urgent_message.notified();
            let is_urgent = timeout(interval, found).await.is_ok();
            if is_urgent {
                sleep(SyncIntervals::URGENT_MESSAGE_DELAY).await;
            }
            rounds = rounds.wrapping_add(1);
            let is_zone_leader = self.state.is_zone_leader();
            let configuration_revision = self.state.configuration_revision();
            let has_news = is_zone_leader && configuration_revision != sent_revision;
            sent_revision = configuration_revision;
            let was_repeat = std::mem::replace(&mut is_repeat, has_news);
            let is_due = is_urgent
                || has_news
                || was_repeat
                || rounds.is_multiple_of(Self::ROUNDS_PER_ZONE_MESSAGE);
            let now = self.state.now();
            let readings = if is_zone_leader {
                self.state.load.borrow().own_readings(Self::MAX_READING_AGE, now)
            } else {
                Readings::new()
            };
            self.state.retries.set_leader(is_zone_leader, now);
            self.state.refresh_turns(is_zone_leader);
            self.state.log_fleet_reach();
            let message = self.host_message_with(readings.clone());
            let news = Some(self.state.admission.refresh(&self.state));
            let extension = PeerExtension { news, ..self.extension() };
            let peers = self.state.membership.borrow().zone_addresses();
            self.state.prefixes.refresh(&self.state);
            let held_prefixes = self.state.prefixes.due_digest(peers.len() + 1, now);
            let extension = PeerExtension { held_prefixes, ..extension };
            send_extended(socket, &extension, &message, &peers).await;
            if is_zone_leader && is_due {
                let used = self.state.load.borrow().zone_usage(now);
                let zone = self.state.settings.zone.clone();
                let failures = self.failure_reports(Some(&zone));
                let links = self.state.load.borrow_mut().links.zone_usage(now);
                let message = PeerMessage::Zone {
                    zone,
                    used,
                    readings,
                    failures,
                    links,
                    configuration_revision,
                    crashes: self.state.crashes.borrow().report(now),
                    limits: self.state.directory.borrow().limit_reports(is_zone_leader, now),
                    hosts: self.state.live_members(),
                    unfit_carriers: self.unfit_carriers(),
                };
                let foreign = self.state.membership.borrow().foreign_addresses();
                send_extended(socket, &self.extension(), &message, &foreign).await;
            }
        }
    }

    /// Returns the fields that follow messages to all hosts.
    pub(crate) fn extension(&self) -> PeerExtension {
        let max_age = self.state.settings.sync_intervals().max_peer_data_age();
        let age = self.state.configuration_age().filter(|age| *age <= max_age);
        let age_ms = age.and_then(|age| u32::try_from(age.as_millis()).ok());
        let hosts = self.state.membership.borrow().hosts_to_report();
        let fleet_hosts = hosts.and_then(|hosts| u32::try_from(hosts).ok());
        PeerExtension { configuration_age_ms: age_ms, fleet_hosts, ..PeerExtension::default() }
    }

    /// Returns a message on this host's load, without readings of endpoints.
    pub(crate) fn host_message(&self) -> PeerMessage {
        self.host_message_with(Readings::new())
    }

    fn host_message_with(&self, readings: Readings) -> PeerMessage {
        let state = &self.state;
        let (now, is_zone_leader) = (state.now(), state.is_zone_leader());
        let used = state.load.borrow().own_usage().clone();
        let links = state.load.borrow_mut().links.own_usage(now);
        PeerMessage::Host {
            host: state.settings.host.clone(),
            used,
            readings,
            failures: self.failure_reports(None),
            requests: state.retries.request_counts(now),
            grants: state.retries.grant_records(now),
            links,
            organisations: state.organisations.borrow().own_usage().clone(),
            is_stopping: state.is_stopping(),
            configuration_revision: state.configuration_revision(),
            crashes: state.crashes.borrow().report(now),
            limits: state.directory.borrow().limit_reports(is_zone_leader, now),
            carrier_status: state.carrier_status(),
        }
    }

    /// Applies the fields that follow a message.
    ///
    /// Returns `false` if the usage in the message no longer holds.
    fn apply_extension(
        &self,
        message: &PeerMessage,
        extension: &PeerExtension,
        from: SocketAddr,
    ) -> bool {
        let (state, now) = (&self.state, self.state.now());
        let is_own_zone = matches!(message, PeerMessage::Host { .. });
        if let Some(hosts) = extension.fleet_hosts.and_then(|hosts| usize::try_from(hosts).ok()) {
            state.membership.borrow_mut().record_reported_hosts(hosts);
        }
        if extension.configuration_age_ms.is_some() {
            state.record_fresh_peer(from, is_own_zone);
        }
        match message {
            PeerMessage::Host { host, .. } => {
                state.admission.record_news(host, extension.news.as_ref(), now)
            }
            _ => true,
        }
    }

    /// Returns the recent failures of endpoints, of one zone or of all.
    fn failure_reports(&self, zone: Option<&ZoneId>) -> FailureReports {
        let directory = self.state.directory.borrow();
        let failures = directory.recent_failures(Self::FAILURE_REPORT_TIME, self.state.now());
        failures
            .filter(|(entry, _)| zone.is_none_or(|zone| zone == &entry.zone))
            .filter(|(entry, _)| !self.state.is_out_of_reach(&entry.service))
            .map(|(entry, report)| (entry.endpoint.clone(), report))
            .collect()
    }

    /// Returns the hosts of the own zone that cannot send requests of others to endpoints.
    fn unfit_carriers(&self) -> BTreeMap<HostId, CarrierStatus> {
        let (settings, now) = (&self.state.settings, self.state.now());
        let mut unfit = self.state.carriers.borrow().unfit(&settings.zone, now);
        let own = self.state.carrier_status();
        if !own.is_fit() {
            unfit.insert(settings.host.clone(), own);
        }
        unfit
    }

    /// Answers whether this host reaches a service, once that is known.
    fn answer_reach_query(
        &self,
        socket: &Rc<UdpSocket>,
        (nonce, service): (u64, ServiceId),
        since: Moment,
        from: SocketAddr,
    ) {
        let (state, socket) = (Rc::clone(&self.state), Rc::clone(socket));
        spawn_local(async move {
            let is_reached = state.reaches(&service, since).await;
            send_to_all(&socket, &PeerMessage::ReachReply { nonce, is_reached }, &[from]).await;
        });
    }

    async fn receive_messages(&self, socket: &Rc<UdpSocket>) {
        let mut buffer = vec![0; Self::MAX_MESSAGE_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match PeerExtension::decode(&buffer[..length]) {
                    Ok((PeerMessage::Query(query), _)) => {
                        let (reply, extension) = StateExchange::reply(&self.state, query);
                        if let Some(bytes) = extension.encode(&PeerMessage::Reply(reply)) {
                            send_bytes(socket, &bytes, &[from]).await;
                        }
                    }
                    Ok((PeerMessage::Reply(reply), extension)) => {
                        self.state.exchange.complete_query(reply, extension);
                    }
                    Ok((PeerMessage::RetryQuery { nonce, service }, _)) => {
                        let is_granted = self.state.grant_retry(&service);
                        let reply = PeerMessage::RetryReply { nonce, is_granted };
                        send_to_all(socket, &reply, &[from]).await;
                    }
                    Ok((PeerMessage::TurnQuery { nonce, query }, _)) => {
                        let reply = self.state.grant_turn(query);
                        let message = PeerMessage::TurnReply { nonce, reply };
                        send_to_all(socket, &message, &[from]).await;
                    }
                    Ok((PeerMessage::ReachQuery { nonce, service, age_ms }, _)) => {
                        let age = Duration::from_millis(u64::from(age_ms));
                        let since = self.state.now().earlier_by(age);
                        self.answer_reach_query(socket, (nonce, service), since, from);
                    }
                    Ok((
                        PeerMessage::ReachReply { .. },
                        PeerExtension { admission_reply: Some(reply), .. },
                    )) => {
                        self.state.admission.apply_reply(&reply, self.state.now());
                    }
                    Ok((message, extension)) => {
                        let is_current = self.apply_extension(&message, &extension, from);
                        match &message {
                            PeerMessage::Host { host, .. } => {
                                if let Some(digest) = extension.held_prefixes {
                                    let directory = self.state.directory.borrow();
                                    let now = self.state.now();
                                    self.state.prefixes.merge(digest, &directory, now);
                                }
                                let now = self.state.now();
                                let is_new = self
                                    .state
                                    .membership
                                    .borrow_mut()
                                    .record_message(host, from, now);
                                self.greet_peer(is_new);
                            }
                            PeerMessage::Zone { zone, hosts, .. } => {
                                let now = self.state.now();
                                let zone = zone.clone();
                                let mut membership = self.state.membership.borrow_mut();
                                membership.record_zone_message(&zone, *hosts, now);
                                self.state.exchange.record_zone_leader(zone, from, *hosts, now);
                            }
                            _ => {}
                        }
                        let host = match &message {
                            PeerMessage::Host { host, .. } => Some(host.clone()),
                            _ => None,
                        };
                        self.apply_message(message, is_current, from);
                        if let Some((host, report)) = host.zip(extension.admission) {
                            self.state.admission.record_report(&host, report, &self.state);
                        }
                    }
                    Err(error) => LogEvent::PeerRefused.log(format_args!("from {from}: {error}")),
                },
                Err(error) => {
                    LogEvent::PeerFailed.log(error);
                    sleep(Self::MESSAGE_INTERVAL).await;
                }
            }
        }
    }

    /// Sends limits in force at once to a new host, which may have just started.
    fn greet_peer(&self, is_new: bool) {
        if !is_new || !self.state.is_zone_leader() {
            return;
        }
        let limits = self.state.directory.borrow().limit_reports(true, self.state.now());
        if !limits.is_empty() {
            self.state.urgent_message.notify_one();
        }
    }

    fn apply_message(&self, message: PeerMessage, is_current: bool, from: SocketAddr) {
        let now = self.state.now();
        let mut load = self.state.load.borrow_mut();
        let (readings, failures, revision, crashes, limits) = match message {
            PeerMessage::Host {
                host,
                used,
                readings,
                failures,
                requests,
                grants,
                links,
                organisations,
                is_stopping,
                configuration_revision,
                crashes,
                limits,
                carrier_status,
            } => {
                let gives_up_lead = is_stopping || self.state.gives_up_lead_with(&carrier_status);
                self.state.members.borrow_mut().record(&host, gives_up_lead, now);
                self.state.carriers.borrow_mut().record_host(&host, carrier_status, now);
                let mut organisation_load = self.state.organisations.borrow_mut();
                organisation_load.record_peer(host.clone(), organisations, now);
                load.links.record_peer(host.clone(), links, now);
                self.state.retries.record_peer(host.clone(), requests, grants, now);
                if is_current {
                    load.record_peer_usage(host, used, now);
                }
                (readings, failures, configuration_revision, crashes, limits)
            }
            PeerMessage::Zone {
                zone,
                used,
                readings,
                failures,
                links,
                configuration_revision,
                crashes,
                limits,
                hosts: _,
                unfit_carriers,
            } => {
                self.state.carriers.borrow_mut().record_zone(&zone, &unfit_carriers, now);
                load.links.record_zone(zone.clone(), links, now);
                load.record_zone_usage(zone, used, now);
                (readings, failures, configuration_revision, crashes, limits)
            }
            PeerMessage::RetryReply { nonce, is_granted } => {
                self.state.exchange.complete_retry_query(nonce, is_granted);
                return;
            }
            PeerMessage::TurnReply { nonce, reply } => {
                self.state.exchange.complete_turn_query(nonce, reply, from);
                return;
            }
            PeerMessage::TurnReturn { life } => {
                self.state.take_turn_back(&life);
                return;
            }
            PeerMessage::ReachReply { nonce, is_reached } => {
                self.state.exchange.complete_reach_query(nonce, is_reached);
                return;
            }
            // `receive_messages` has handled them.
            PeerMessage::Query(_)
            | PeerMessage::Reply(_)
            | PeerMessage::RetryQuery { .. }
            | PeerMessage::TurnQuery { .. }
            | PeerMessage::ReachQuery { .. } => return,
        };
        let at = |age_ms: u32| now.earlier_by(Duration::from_millis(u64::from(age_ms)));
        for (endpoint, reading) in readings {
            let mut directory = self.state.directory.borrow_mut();
            directory.record_peer_response(&endpoint, at(reading.age_ms));
            load.merge_reading(endpoint, reading, now);
        }
        drop(load);
        if self.state.record_revision(revision, format_args!("message of {from}")) {
            self.state.revision_heard.notify_one();
        }
        for (endpoint, report) in failures {
            self.state.record_peer_failure(&endpoint, report);
        }
        self.state.merge_crash_report(crashes, from);
        self.state.merge_limits(limits, from);
    }
}

async fn send_to_all(socket: &UdpSocket, message: &PeerMessage, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    if let Some(bytes) = encode_message(message) {
        send_bytes(socket, &bytes, addresses).await;
    }
}

async fn send_extended(
    socket: &UdpSocket,
    extension: &PeerExtension,
    message: &PeerMessage,
    addresses: &[SocketAddr],
) {
    if addresses.is_empty() {
        return;
    }
    if let Some(bytes) = extension.encode(message) {
        send_bytes(socket, &bytes, addresses).await;
    }
}

async fn send_bytes(socket: &UdpSocket, bytes: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        if let Err(error) = socket.send_to(bytes, address).await {
            LogEvent::PeerFailed.log(format_args!("peer {address}: {error}"));
        }
    }
}

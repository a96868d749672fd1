use {
    crate::{
        connection::{StoreCall, StoreCallError, StoreClient, StoreItem, StoreResponse},
        process::GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{HostId, Moment},
        process::{EndpointEntry, ListedEntry},
    },
    std::{collections::HashSet, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Synchronises a host's configuration and endpoints with the store.
///
/// One host of each availability zone reads the store and the others query it, so that the number
/// of store calls grows with zones and changes rather than with hosts. Where the limits leave time
/// for one more query, one host reads for all zones. A host whose reader is unresponsive or outdated
/// reads the store itself; if the store fails, it queries a random peer.
pub struct StoreSync {
    state: Rc<GatewayState>,
    configuration: StoreClient,
    endpoints: StoreClient,
    configuration_availability: StoreAvailability,
    endpoints_availability: StoreAvailability,
    /// Invalid endpoint entries that have been logged, by key and revision.
    rejected: HashSet<(String, u64)>,
    /// When the store last failed to answer this host.
    failed_at: Option<Moment>,
}

/// The data that a host must read from the store itself.
#[derive(Clone, Copy, Debug)]
struct RequiredReads {
    configuration: bool,
    endpoints: bool,
}

impl StoreSync {
    /// Creates the synchronisation of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let client = |purpose| {
            StoreClient::new(
                Rc::clone(&state.codec),
                state.settings.store_address,
                state.metrics.store_calls(),
                purpose,
            )
        };
        let (configuration, endpoints) = (client("configuration"), client("endpoints"));
        Self {
            state,
            configuration,
            endpoints,
            configuration_availability: StoreAvailability::default(),
            endpoints_availability: StoreAvailability::default(),
            rejected: HashSet::new(),
            failed_at: None,
        }
    }

    /// Synchronises periodically; never returns.
    pub async fn run(mut self) {
        loop {
            let leader = self.state.zone_leader();
            let is_zone_leader = leader == self.state.settings.host;
            let reads = self.query_leader(&leader, is_zone_leader).await;
            let has_reads = reads.configuration || reads.endpoints;
            let is_done = self.may_call_store(is_zone_leader) && self.read_store(reads).await;
            if !is_done {
                if let Some(peer) = self.state.random_peer() {
                    self.query_peer(&peer).await;
                }
            }
            let intervals = self.state.settings.sync_intervals();
            let interval = match (is_done, is_zone_leader) {
                (true, true) if has_reads => intervals.read_interval(),
                (true, _) | (_, false) => intervals.query_interval(),
                (false, true) => intervals.error_backoff(),
            };
            sleep(interval).await;
        }
    }

    /// Queries the host that reads the store for this one, and applies its data; returns what this
    /// host must read itself.
    async fn query_leader(&self, leader: &HostId, is_zone_leader: bool) -> RequiredReads {
        if !is_zone_leader {
            return self.query_peer(leader).await;
        }
        let reader = self.state.exchange.fleet_reader(&self.state);
        match reader.filter(|_| self.state.settings.sync_intervals().allows_fleet_reader()) {
            Some(reader) => self.query_address(reader).await,
            None => RequiredReads { configuration: true, endpoints: true },
        }
    }

    /// Returns `true` if this host may call the store now.
    fn may_call_store(&self, is_zone_leader: bool) -> bool {
        let (now, intervals) = (self.state.now(), self.state.settings.sync_intervals());
        let is_backing_off =
            self.failed_at.is_some_and(|at| now.since(at) < intervals.outage_backoff());
        is_zone_leader || !is_backing_off
    }

    /// Queries a peer and applies its data; returns what must still be read from the store.
    async fn query_peer(&self, peer: &HostId) -> RequiredReads {
        match self.state.exchange.peer_address(peer) {
            Some(address) => self.query_address(address).await,
            None => RequiredReads { configuration: true, endpoints: true },
        }
    }

    async fn query_address(&self, address: SocketAddr) -> RequiredReads {
        let mut reads = RequiredReads { configuration: true, endpoints: true };
        let Some(data) = self.state.exchange.query(&self.state, address).await else {
            return reads;
        };
        let max_age = self.state.settings.sync_intervals().max_peer_data_age();
        let max_age_micros = u64::try_from(max_age.as_micros()).unwrap_or(u64::MAX);
        if let Some((revision, age)) = data.reply.configuration {
            let own_revision = self.state.configuration_revision();
            if revision == own_revision {
                self.state.confirm_configuration(data.known_at(age));
                reads.configuration = age > max_age_micros;
            } else if revision > own_revision {
                LogEvent::RevisionHeard.log(format_args!(
                    "{address} has revision {revision}, confirmed {} ms before its reply; this \
                     host has {own_revision}",
                    Duration::from_micros(age).as_millis(),
                ));
            }
        }
        let known_at = |age| data.known_at(age);
        if let Some((changes, age)) = data.reply.endpoints.clone() {
            let mut endpoint_list = self.state.endpoint_list.borrow_mut();
            if age <= max_age_micros && endpoint_list.apply(changes) {
                let entries = endpoint_list.entries();
                drop(endpoint_list);
                self.apply_endpoints(entries, known_at(age));
                reads.endpoints = false;
            }
        }
        reads
    }

    /// Reads the required data from the store; returns `true` if the store answered.
    async fn read_store(&mut self, reads: RequiredReads) -> bool {
        let now = self.state.now();
        let key = self.state.codec.configuration_key().to_owned();
        let prefix = self.state.codec.endpoints_prefix();
        let call = StoreCall::Get { key };
        let (item, items) = tokio::join!(
            async {
                if reads.configuration {
                    Some(self.configuration.call(&call).await)
                } else {
                    None
                }
            },
            async {
                if reads.endpoints {
                    Some(self.endpoints.list(prefix, false).await)
                } else {
                    None
                }
            },
        );
        let mut is_done = true;
        if let Some(response) = item {
            match self.configuration_availability.record(response, "configuration") {
                Some(StoreResponse::Item(Some(item))) => self.apply_configuration(&item, now),
                Some(_) => {}
                None => is_done = false,
            }
        }
        if let Some(response) = items {
            match self.endpoints_availability.record(response, "endpoints") {
                Some(items) => self.apply_items(&items, now),
                None => {
                    self.state.directory.borrow_mut().record_list_failure();
                    is_done = false;
                }
            }
        }
        self.failed_at = if is_done { None } else { Some(self.state.now()) };
        is_done
    }

    fn apply_configuration(&self, item: &StoreItem, requested_at: Moment) {
        if item.revision == self.state.configuration_revision() {
            self.state.confirm_configuration(requested_at);
            return;
        }
        match self.state.codec.parse_configuration(&item.value) {
            Ok(table) => {
                let source =
                    if self.state.is_zone_leader() { "the store as leader" } else { "the store" };
                self.state.apply_configuration(table, item.revision, requested_at, source);
            }
            Err(error) => {
                let revision = item.revision;
                let call_time = self.state.now().since(requested_at).as_millis();
                LogEvent::ListsRejected.log(format_args!(
                    "revision {revision}, requested {call_time} ms ago: {error:#}"
                ));
            }
        }
    }

    fn apply_items(&mut self, items: &[StoreItem], requested_at: Moment) {
        let list = self.decode(items);
        let mut endpoint_list = self.state.endpoint_list.borrow_mut();
        endpoint_list.replace(list);
        let entries = endpoint_list.entries();
        drop(endpoint_list);
        self.apply_endpoints(entries, requested_at);
    }

    fn apply_endpoints(&self, entries: Vec<EndpointEntry>, requested_at: Moment) {
        let changes = self.state.directory.borrow_mut().apply_list(entries, requested_at);
        for change in changes {
            LogEvent::EndpointChanged.log(change);
        }
        self.state.confirm_endpoints(requested_at);
        self.state.pool.evict_expired(self.state.now());
    }

    /// Parses endpoint entries; each invalid revision is logged once.
    fn decode(&mut self, items: &[StoreItem]) -> Vec<ListedEntry> {
        let mut list = Vec::with_capacity(items.len());
        for item in items {
            match self.state.codec.parse_endpoint(&item.key, &item.value) {
                Ok(entry) => list.push(ListedEntry { revision: item.revision, entry }),
                Err(error) => {
                    if self.rejected.insert((item.key.clone(), item.revision)) {
                        LogEvent::EntryRejected.log(format_args!("{}: {error:#}", item.key));
                    }
                }
            }
        }
        list
    }
}

/// Logs when the store becomes unreachable and when it recovers.
#[derive(Debug, Default)]
struct StoreAvailability {
    is_unreachable: bool,
}

impl StoreAvailability {
    fn record<T>(&mut self, response: Result<T, StoreCallError>, what: &str) -> Option<T> {
        match response {
            Ok(response) => {
                if std::mem::take(&mut self.is_unreachable) {
                    LogEvent::StoreBack.log(what);
                }
                Some(response)
            }
            Err(error) => {
                if !std::mem::replace(&mut self.is_unreachable, true) {
                    LogEvent::StoreUnreachable.log(format_args!("{what}: {error}"));
                }
                None
            }
        }
    }
}

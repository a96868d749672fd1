use {
    crate::{
        connection::{StoreAnswer, StoreCall, StoreClient, StoreFault, StoreItem},
        process::GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{HostId, Moment},
        process::{EndpointEntry, ListedEntry},
    },
    std::{collections::HashSet, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Keeps the configuration and the endpoints of a host in step with the store.
///
/// One host of an availability zone reads the store and the others ask it, so that the store's
/// calls grow with zones and changes rather than with hosts. A host whose zone leader is silent or
/// behind reads the store itself; one that the store turns away asks any peer.
pub struct StoreSync {
    state: Rc<GatewayState>,
    configuration: StoreClient,
    endpoints: StoreClient,
    configuration_contact: StoreContact,
    endpoints_contact: StoreContact,
    /// Entries that name no endpoint, by key and revision, as far as they were logged.
    rejected: HashSet<(String, u64)>,
    /// When the store last failed to answer this host.
    failed: Option<Moment>,
}

/// Which parts a host should read from the store itself.
#[derive(Clone, Copy, Debug)]
struct ReadNeed {
    configuration: bool,
    endpoints: bool,
}

impl StoreSync {
    /// Pause between two reads of the store; a change must be in force, and a leaving endpoint get
    /// no new work, within two seconds, and hosts that ask the reader add their own pause.
    const READ_PAUSE: Duration = Duration::from_millis(800);
    /// Pause between two questions to the zone leader.
    const QUERY_PAUSE: Duration = Duration::from_millis(400);
    /// Pause after a failed read.
    const FAULT_PAUSE: Duration = Duration::from_millis(200);
    /// Pause between two reads of a store that does not answer, on hosts that have a zone leader: every
    /// call counts, and the zone leader notices first that the store is back.
    const OUTAGE_PAUSE: Duration = Duration::from_millis(1_600);
    /// Age beyond which a host does not rely on its zone leader's knowledge.
    const MAX_PEER_AGE: Duration = Duration::from_millis(1_300);

    /// Creates the synchronisation of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let client = || {
            StoreClient::new(
                Rc::clone(&state.codec),
                state.profile.store_address,
                state.metrics.store_calls(),
            )
        };
        let (configuration, endpoints) = (client(), client());
        Self {
            state,
            configuration,
            endpoints,
            configuration_contact: StoreContact::default(),
            endpoints_contact: StoreContact::default(),
            rejected: HashSet::new(),
            failed: None,
        }
    }

    /// Keeps everything in step; never returns.
    pub async fn run(mut self) {
        loop {
            let leader = self.state.zone_leader();
            let is_zone_leader = leader == self.state.profile.host;
            let mut need = ReadNeed { configuration: true, endpoints: true };
            if !is_zone_leader {
                need = self.query(&leader).await;
            }
            let is_done = self.may_read(is_zone_leader) && self.read(need).await;
            if !is_done {
                if let Some(peer) = self.state.any_peer() {
                    self.query(&peer).await;
                }
            }
            let pause = match (is_done, is_zone_leader) {
                (true, true) => Self::READ_PAUSE,
                (_, false) => Self::QUERY_PAUSE,
                (false, true) => Self::FAULT_PAUSE,
            };
            sleep(pause).await;
        }
    }

    /// Says whether this host should call the store now.
    fn may_read(&self, is_zone_leader: bool) -> bool {
        let now = self.state.now();
        let is_resting = self.failed.is_some_and(|at| now.since(at) < Self::OUTAGE_PAUSE);
        is_zone_leader || !is_resting
    }

    /// Asks a peer and takes what it knows; returns what is still to be read.
    async fn query(&self, peer: &HostId) -> ReadNeed {
        let mut need = ReadNeed { configuration: true, endpoints: true };
        let Some(found) = self.state.exchange.query(&self.state, peer).await else { return need };
        let limit = u64::try_from(Self::MAX_PEER_AGE.as_micros()).unwrap_or(u64::MAX);
        if let Some((revision, age)) = found.answer.configuration {
            if revision == self.state.configuration_revision() {
                self.state.confirm_configuration(found.asked_before(age));
                need.configuration = age > limit;
            }
        }
        let asked = |age| found.asked_before(age);
        if let Some((changes, age)) = found.answer.endpoints.clone() {
            let mut listed = self.state.listed.borrow_mut();
            if age <= limit && listed.apply(changes) {
                let entries = listed.entries();
                drop(listed);
                self.take_endpoints(entries, asked(age));
                need.endpoints = false;
            }
        }
        need
    }

    /// Reads from the store what is needed; returns whether it answered.
    async fn read(&mut self, need: ReadNeed) -> bool {
        let asked = self.state.now();
        let key = self.state.codec.configuration_key().to_owned();
        let prefix = self.state.codec.endpoints_prefix();
        let call = StoreCall::Get { key };
        let (item, items) = tokio::join!(
            async {
                if need.configuration {
                    Some(self.configuration.call(&call).await)
                } else {
                    None
                }
            },
            async {
                if need.endpoints {
                    Some(self.endpoints.list(prefix, false).await)
                } else {
                    None
                }
            },
        );
        let mut is_done = true;
        if let Some(answer) = item {
            match self.configuration_contact.note(answer, "configuration") {
                Some(StoreAnswer::Item(Some(item))) => self.take_configuration(&item, asked),
                Some(_) => {}
                None => is_done = false,
            }
        }
        if let Some(answer) = items {
            match self.endpoints_contact.note(answer, "endpoints") {
                Some(items) => self.take_items(&items, asked),
                None => {
                    self.state.directory.borrow_mut().record_list_failure();
                    is_done = false;
                }
            }
        }
        self.failed = if is_done { None } else { Some(self.state.now()) };
        is_done
    }

    fn take_configuration(&self, item: &StoreItem, asked: Moment) {
        if item.revision == self.state.configuration_revision() {
            self.state.confirm_configuration(asked);
            return;
        }
        match self.state.codec.configuration(&item.value) {
            Ok(table) => self.state.take_configuration(table, item.revision, asked),
            Err(error) => {
                let revision = item.revision;
                LogEvent::ListsRejected.log(format_args!("revision {revision}: {error:#}"));
            }
        }
    }

    fn take_items(&mut self, items: &[StoreItem], asked: Moment) {
        let list = self.decode(items);
        let mut listed = self.state.listed.borrow_mut();
        listed.replace(list);
        let entries = listed.entries();
        drop(listed);
        self.take_endpoints(entries, asked);
    }

    fn take_endpoints(&self, entries: Vec<EndpointEntry>, asked: Moment) {
        let changes = self.state.directory.borrow_mut().apply_list(entries, asked);
        for change in changes {
            LogEvent::EndpointChanged.log(change);
        }
        self.state.confirm_endpoints(asked);
        self.state.pool.sweep(self.state.now());
    }

    /// Decodes entries; each revision of one that names no endpoint is logged once.
    fn decode(&mut self, items: &[StoreItem]) -> Vec<ListedEntry> {
        let mut list = Vec::with_capacity(items.len());
        for item in items {
            match self.state.codec.endpoint(&item.key, &item.value) {
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

/// Logs when the store is lost and when it is back.
#[derive(Debug, Default)]
struct StoreContact {
    is_lost: bool,
}

impl StoreContact {
    fn note<T>(&mut self, answer: Result<T, StoreFault>, what: &str) -> Option<T> {
        match answer {
            Ok(answer) => {
                if std::mem::take(&mut self.is_lost) {
                    LogEvent::StoreBack.log(what);
                }
                Some(answer)
            }
            Err(fault) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    LogEvent::StoreUnreachable.log(format_args!("{what}: {fault}"));
                }
                None
            }
        }
    }
}

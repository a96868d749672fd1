use {
    crate::{
        connection::{StoreCallError, StoreItem, StoreReader},
        process::{store_availability::StoreAvailability, GatewayState},
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::Moment,
        process::{
            DirectoryChange, EndpointEntry, ListedEntry, ReadSchedule, ReaderRole, StoreReadOutcome,
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        hash::{DefaultHasher, Hash as _, Hasher as _},
        rc::Rc,
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Reads the list of endpoints from the store whenever it is requested.
///
/// The list has many pages, which must not delay the configuration.
pub(super) struct EndpointSync {
    state: Rc<GatewayState>,
    reader: StoreReader,
    availability: StoreAvailability,
    requests: Rc<EndpointRequests>,
    /// Hashes of the invalid entries of the last list, which have been logged, by key.
    rejected: HashMap<String, u64>,
}

/// Requests for the list of endpoints.
pub(super) struct EndpointRequests {
    schedule: RefCell<ReadSchedule>,
    is_reading: Cell<bool>,
    requested: Notify,
    finished: Notify,
}

impl EndpointRequests {
    pub(super) fn new(schedule: ReadSchedule) -> Self {
        Self {
            schedule: RefCell::new(schedule),
            is_reading: Cell::new(false),
            requested: Notify::new(),
            finished: Notify::new(),
        }
    }

    /// Starts a read unless one is in progress or the next one is not due.
    ///
    /// Returns `true` if the last read was answered.
    pub(super) fn request(&self, role: ReaderRole, now: Moment) -> bool {
        let schedule = self.schedule.borrow();
        if !self.is_reading.get() && now >= schedule.next_read_at(role, false) {
            self.is_reading.set(true);
            self.requested.notify_one();
        }
        !schedule.has_failed()
    }

    /// Waits until a read ends.
    pub(super) async fn finished(&self) {
        self.finished.notified().await;
    }

    /// Returns the time until the next read is due, or `None` while one is in progress.
    pub(super) fn time_until_due(&self, role: ReaderRole, now: Moment) -> Option<Duration> {
        let is_idle = !self.is_reading.get();
        is_idle.then(|| self.schedule.borrow().next_read_at(role, false).since(now))
    }
}

impl EndpointSync {
    pub(super) fn new(
        state: Rc<GatewayState>,
        reader: StoreReader,
        requests: Rc<EndpointRequests>,
    ) -> Self {
        let availability = StoreAvailability::default();
        Self { state, reader, availability, requests, rejected: HashMap::new() }
    }

    /// Reads the list on request; never returns.
    pub(super) async fn run(mut self) {
        loop {
            self.requests.requested.notified().await;
            let requested_at = self.state.now();
            let prefix = self.state.codec.endpoints_prefix();
            let second_call_delay = self.requests.schedule.borrow().second_call_delay();
            let answer = self.reader.list(prefix, second_call_delay).await;
            let outcome = read_outcome(&answer);
            match self.availability.record(answer, "endpoints") {
                Some((items, _)) => self.apply_items(&items, requested_at),
                None => self.state.directory.borrow_mut().record_list_failure(),
            }
            self.requests.schedule.borrow_mut().record(outcome, self.state.now());
            self.requests.is_reading.set(false);
            self.requests.finished.notify_waiters();
        }
    }

    fn apply_items(&mut self, items: &[StoreItem], requested_at: Moment) {
        let list = self.decode(items);
        let mut endpoint_list = self.state.endpoint_list.borrow_mut();
        // A peer's list may have arrived meanwhile.
        if !endpoint_list.replace(list, requested_at) {
            return;
        }
        let entries = endpoint_list.entries();
        drop(endpoint_list);
        apply_endpoints(&self.state, entries, requested_at);
    }

    /// Parses endpoint entries; an invalid one is logged once, and again when its value has changed.
    fn decode(&mut self, items: &[StoreItem]) -> Vec<ListedEntry> {
        let mut list = Vec::with_capacity(items.len());
        let logged = std::mem::take(&mut self.rejected);
        for item in items {
            match self.state.codec.parse_endpoint(&item.key, &item.value) {
                Ok(entry) => list.push(ListedEntry { revision: item.revision, entry }),
                Err(error) => {
                    let hash = hash_of(&item.value);
                    if logged.get(&item.key) != Some(&hash) {
                        LogEvent::EntryRejected.log(format_args!("{:?}: {error:#}", item.key));
                    }
                    self.rejected.insert(item.key.clone(), hash);
                }
            }
        }
        list
    }
}

fn hash_of(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Applies a list of endpoints that was requested at `requested_at`.
pub(super) fn apply_endpoints(
    state: &GatewayState,
    entries: Vec<EndpointEntry>,
    requested_at: Moment,
) {
    let changes = state.directory.borrow_mut().apply_list(entries, requested_at);
    for change in changes {
        if let DirectoryChange::Gone(endpoint) = &change {
            state.record_endpoint_end(endpoint);
        }
        LogEvent::EndpointChanged.log(change);
    }
    state.confirm_endpoints(requested_at);
    state.pool.evict_expired(state.now());
}

/// Returns how a read ended, for its schedule.
pub(super) fn read_outcome<T>(answer: &Result<(T, Duration), StoreCallError>) -> StoreReadOutcome {
    match answer {
        Ok((_, call_time)) => StoreReadOutcome::Answered(*call_time),
        Err(StoreCallError::Unreachable(_)) => StoreReadOutcome::Unanswered,
        Err(StoreCallError::Refused(_) | StoreCallError::Unreadable(_)) => {
            StoreReadOutcome::Refused
        }
    }
}

use {
    crate::{
        connection::{StoreCall, StoreItem, StoreReader, StoreResponse},
        process::{
            endpoint_sync::{apply_endpoints, read_outcome, EndpointRequests},
            state_exchange::ReceivedReply,
            store_availability::StoreAvailability,
            GatewayState,
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::Moment,
        process::{ListVerdict, ReadSchedule, ReaderRole, VersionVerdict},
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Keeps a host's configuration current, and requests the list of endpoints when it is due.
pub(super) struct ConfigurationSync {
    state: Rc<GatewayState>,
    reader: StoreReader,
    availability: StoreAvailability,
    schedule: ReadSchedule,
    /// When to read the revision of a notice; `None` from the beginning of a read to the next notice.
    notice_read_at: Option<Moment>,
    endpoint_requests: Rc<EndpointRequests>,
    /// The last valid item that the store returned.
    last_item: Option<StoreItem>,
    /// The peer whose last reply had no digest of its list.
    undigested_peer: Option<SocketAddr>,
}

/// The data that a host must read from the store itself.
#[derive(Clone, Copy, Debug)]
struct RequiredReads {
    configuration: bool,
    endpoints: bool,
}

impl RequiredReads {
    const ALL: Self = Self { configuration: true, endpoints: true };
}

impl ConfigurationSync {
    /// Shortest pause between two rounds.
    const MIN_PAUSE: Duration = Duration::from_millis(10);

    pub(super) fn new(
        state: Rc<GatewayState>,
        reader: StoreReader,
        endpoint_requests: Rc<EndpointRequests>,
    ) -> Self {
        let schedule = ReadSchedule::new(state.settings.sync_intervals());
        let availability = StoreAvailability::default();
        Self {
            state,
            reader,
            availability,
            schedule,
            notice_read_at: None,
            endpoint_requests,
            last_item: None,
            undigested_peer: None,
        }
    }

    /// Synchronises periodically; never returns.
    pub(super) async fn run(mut self) {
        loop {
            let (role, address) = self.role();
            let is_done = self.synchronise(role, address).await;
            if !is_done {
                let peer = self.state.random_peer();
                if let Some(peer) = peer.and_then(|peer| self.state.peer_address(&peer)) {
                    self.query(peer).await;
                }
            }
            self.pause(role, is_done).await;
        }
    }

    /// Returns the host's role and the address of the host that it queries.
    fn role(&self) -> (ReaderRole, Option<SocketAddr>) {
        let exchange = &self.state.exchange;
        let leader = self.state.zone_leader();
        if leader != self.state.settings.host {
            return (ReaderRole::Member, self.state.peer_address(&leader));
        }
        let reader = exchange.fleet_reader(&self.state);
        match reader.filter(|_| self.state.settings.sync_intervals().allows_fleet_reader()) {
            Some(reader) => (ReaderRole::Leader, Some(reader)),
            None => (ReaderRole::Reader, None),
        }
    }

    /// Gets all data once; returns `true` unless a read of the store has failed.
    async fn synchronise(&mut self, role: ReaderRole, address: Option<SocketAddr>) -> bool {
        // A query would only delay the read of a revision that is known to exist.
        let is_read = self.state.awaits_revision() && self.may_read(role) && self.read(role).await;
        let reads = match address {
            Some(address) => self.query(address).await,
            None => RequiredReads::ALL,
        };
        let mut is_done = true;
        if reads.endpoints {
            is_done &= self.endpoint_requests.request(role, self.state.now());
        }
        if reads.configuration && !is_read {
            is_done &= if self.may_read(role) {
                self.read(role).await
            } else {
                !self.schedule.has_failed()
            };
        }
        is_done
    }

    /// Waits until the next round is due or a peer mentions a newer revision.
    async fn pause(&mut self, role: ReaderRole, is_done: bool) {
        let started_at = self.state.now();
        let mut end = started_at + self.time_until_due(role, is_done);
        loop {
            let now = self.state.now();
            let due_at = now + self.time_until_due(role, is_done);
            // A notice does not postpone the next query.
            end = if role == ReaderRole::Reader { due_at } else { end.min(due_at) };
            let pause = end.max(started_at + Self::MIN_PAUSE).since(now);
            tokio::select! {
                () = sleep(pause) => return,
                () = self.state.revision_heard.notified() => {
                    self.schedule.record_notice();
                    let intervals = self.state.settings.sync_intervals();
                    let spread = intervals.notice_spread(self.state.fleet_hosts());
                    // Further notices do not postpone the read.
                    if self.state.awaits_revision() && self.notice_read_at.is_none() {
                        let delay = spread.mul_f64(fastrand::f64());
                        self.notice_read_at = Some(self.state.now() + delay);
                    }
                }
                () = self.endpoint_requests.finished(), if role == ReaderRole::Reader => {}
            }
        }
    }

    fn time_until_due(&self, role: ReaderRole, is_done: bool) -> Duration {
        let (now, intervals) = (self.state.now(), self.state.settings.sync_intervals());
        let is_awaited = self.state.awaits_revision();
        let due_in = self.next_read_at(role).since(now);
        let pause = match role {
            ReaderRole::Reader => {
                let endpoints_due_in = self.endpoint_requests.time_until_due(role, now);
                endpoints_due_in.map_or(due_in, |endpoints| endpoints.min(due_in))
            }
            ReaderRole::Leader if !is_done => intervals.error_backoff(),
            ReaderRole::Member if is_awaited && self.schedule.has_failed() => {
                due_in.min(intervals.query_interval())
            }
            ReaderRole::Leader | ReaderRole::Member => intervals.query_interval(),
        };
        if is_awaited && self.notice_read_at.is_some() {
            pause.min(due_in)
        } else {
            pause
        }
    }

    /// Returns the time from which the configuration may be read.
    fn next_read_at(&self, role: ReaderRole) -> Moment {
        let is_awaited = self.state.awaits_revision();
        let next_read_at = self.schedule.next_read_at(role, is_awaited);
        let Some(notice_read_at) = self.notice_read_at.filter(|_| is_awaited) else {
            return next_read_at;
        };
        let delayed_read_at = next_read_at.max(notice_read_at);
        if role == ReaderRole::Reader {
            // Others rely on its periodic reads.
            delayed_read_at.min(self.schedule.next_read_at(role, false))
        } else {
            delayed_read_at
        }
    }

    fn may_read(&self, role: ReaderRole) -> bool {
        self.state.now() >= self.next_read_at(role)
    }

    /// Queries the host at `address` and applies its data; returns what must still be read from the
    /// store.
    async fn query(&mut self, address: SocketAddr) -> RequiredReads {
        let mut reads = RequiredReads::ALL;
        let sends_digest = self.undigested_peer != Some(address);
        let newest_entry = self.state.endpoint_list.borrow().needed_since(sends_digest);
        let Some(data) = self.state.exchange.query(&self.state, address, newest_entry).await else {
            return reads;
        };
        self.undigested_peer = data.list_digest.is_none().then_some(address);
        if let Some((revision, age)) = data.reply.configuration {
            if self.state.has_configuration(data.reply.version, revision) {
                self.state.confirm_configuration(data.known_at(age));
                reads.configuration = age > max_age_micros(&self.state);
            } else if self.state.record_revision(revision, format_args!("reply of {address}")) {
                self.schedule.record_notice();
            }
        }
        let mut verdict = apply_peer_list(&self.state, &data);
        if verdict == Some(ListVerdict::Incomplete) && newest_entry > 0 {
            if data.list_digest.is_some() {
                LogEvent::ListDiffers.log(format_args!("host at {address}"));
            }
            // The revisions do not tell what this host lacks.
            if let Some(data) = self.state.exchange.query(&self.state, address, 0).await {
                verdict = apply_peer_list(&self.state, &data);
            }
        }
        reads.endpoints = !matches!(verdict, Some(ListVerdict::Applied | ListVerdict::Outdated));
        reads
    }

    /// Reads the configuration from the store and applies it; returns `true` if the store answered.
    async fn read(&mut self, role: ReaderRole) -> bool {
        let requested_at = self.state.now();
        self.notice_read_at = None;
        let call = StoreCall::Get { key: self.state.codec.configuration_key().to_owned() };
        let answer = self.reader.read(&call, self.schedule.second_call_delay()).await;
        self.schedule.record(read_outcome(&answer), self.state.now());
        let Some((response, _)) = self.availability.record(answer, "configuration") else {
            return false;
        };
        if let StoreResponse::Item(Some(item)) = response {
            self.apply(item, role, requested_at);
        }
        self.state.record_store_answer(requested_at);
        true
    }

    fn apply(&mut self, item: StoreItem, role: ReaderRole, requested_at: Moment) {
        let is_current = item.revision == self.state.configuration_revision();
        // The store may use a revision again after a loss.
        if is_current && self.last_item.as_ref() == Some(&item) {
            self.state.confirm_configuration(requested_at);
            return;
        }
        match self.state.codec.parse_configuration(&item.value) {
            Ok(table) => {
                let source = match role {
                    ReaderRole::Reader => "the store as reader",
                    ReaderRole::Leader => "the store as zone leader",
                    ReaderRole::Member => "the store as zone member",
                };
                let revision = item.revision;
                let verdict = self.state.apply_configuration(table, revision, requested_at, source);
                if verdict != VersionVerdict::Outdated {
                    self.last_item = Some(item);
                }
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
}

/// Applies a peer's list of endpoints; returns `None` if it sent none that is recent enough.
pub(super) fn apply_peer_list(
    state: &Rc<GatewayState>,
    data: &ReceivedReply,
) -> Option<ListVerdict> {
    let (changes, age) = data.reply.endpoints.clone()?;
    if age > max_age_micros(state) {
        return None;
    }
    let known_at = data.known_at(age);
    let mut endpoint_list = state.endpoint_list.borrow_mut();
    let verdict = endpoint_list.apply(changes, data.list_digest, known_at);
    if verdict == ListVerdict::Applied {
        let entries = endpoint_list.entries();
        drop(endpoint_list);
        apply_endpoints(state, entries, known_at);
    }
    Some(verdict)
}

fn max_age_micros(state: &GatewayState) -> u64 {
    let max_age = state.settings.sync_intervals().max_peer_data_age();
    u64::try_from(max_age.as_micros()).unwrap_or(u64::MAX)
}

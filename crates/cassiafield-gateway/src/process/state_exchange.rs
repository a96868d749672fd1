use {
    crate::process::{
        peer_extension::{encode_message, PeerExtension},
        peer_link::PeerMessage,
        send_turn::TurnQuery,
        GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{Moment, ServiceId, ZoneId},
        process::{
            EndpointLife, FleetMembership, ListChanges, ListDigest, SyncIntervals, TurnReply,
            ZoneLeaders,
        },
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, sync::oneshot, time::timeout},
};

/// A query for a peer's data from the store.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct StateQuery {
    nonce: u64,
    /// Revision above which the querying host needs the entries of endpoints.
    newest_entry: u64,
}

/// A host's data from the store, with its age.
///
/// The age runs from the request to the store until this reply is made, so the querying host may
/// treat the data as requested that long before it sent its own query.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct StateReply {
    nonce: u64,
    /// Revision of the configuration and its age in microseconds.
    pub(super) configuration: Option<(u64, u64)>,
    /// Changes of the list of endpoints and the list's age in microseconds.
    pub(super) endpoints: Option<(ListChanges, u64)>,
    /// Version of the configuration; 0 if it is not stated.
    #[serde(default)]
    pub(super) version: u64,
}

/// Pending queries, and the leaders of the other availability zones.
#[derive(Debug, Default)]
pub(crate) struct StateExchange {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    zone_leaders: RefCell<ZoneLeaders>,
    pending: RefCell<HashMap<u64, oneshot::Sender<(StateReply, PeerExtension)>>>,
    pending_retries: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    pending_turns: RefCell<HashMap<u64, PendingTurn>>,
    pending_reach: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next_nonce: Cell<u64>,
}

/// A query for a turn that has not been answered.
#[derive(Debug)]
struct PendingTurn {
    life: EndpointLife,
    sender: oneshot::Sender<Option<TurnReply>>,
}

/// A reply and the send time of its query.
pub(super) struct ReceivedReply {
    pub(super) reply: StateReply,
    /// Digest of the replying host's list of endpoints; earlier releases do not send it.
    pub(super) list_digest: Option<ListDigest>,
    requested_at: Moment,
}

impl ReceivedReply {
    /// Returns the time as of which data of the given age in the reply was current.
    pub(super) fn known_at(&self, age_micros: u64) -> Moment {
        Moment::from_micros(self.requested_at.as_micros().saturating_sub(age_micros))
    }
}

impl StateExchange {
    /// Timeout of the question whether a host reaches a service, which may have to try.
    const REACH_QUERY_TIMEOUT: Duration = Duration::from_millis(250);
    /// Timeout of a query for a turn; the caller waits meanwhile.
    const TURN_QUERY_TIMEOUT: Duration = Duration::from_millis(60);
    /// Number of queries for turns above which those are forgotten whose requests have gone.
    const MAX_PENDING_TURNS: usize = 1_024;
    /// Timeout of a query for a retry; the caller waits meanwhile.
    const RETRY_QUERY_TIMEOUT: Duration = Duration::from_millis(60);

    pub(super) fn attach_socket(&self, socket: Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(socket);
        // A random start keeps late replies to an earlier process at the same address from
        // matching.
        self.next_nonce.set(fastrand::u64(..));
    }

    /// Records a message from the leader of another availability zone, which hears `hosts` hosts
    /// there.
    pub(super) fn record_zone_leader(
        &self,
        zone: ZoneId,
        address: SocketAddr,
        hosts: usize,
        now: Moment,
    ) {
        self.zone_leaders.borrow_mut().record(zone, address, hosts, now);
    }

    /// Returns the address of another zone's leader, if its messages arrive.
    pub(super) fn zone_leader_address(&self, zone: &ZoneId, now: Moment) -> Option<SocketAddr> {
        self.zone_leaders.borrow().leader(zone, now)
    }

    /// Returns the number of hosts in the other zones whose leaders' messages arrive, and that can ask
    /// this host.
    pub(super) fn live_foreign_hosts(&self, membership: &FleetMembership, now: Moment) -> usize {
        let leaders = self.zone_leaders.borrow();
        leaders.live_hosts(now).map(|(zone, hosts)| membership.mutual_hosts(zone, hosts)).sum()
    }

    /// Returns the host that reads the store for the leaders of all zones; `None` if it is this one.
    pub(super) fn fleet_reader(&self, state: &GatewayState) -> Option<SocketAddr> {
        self.zone_leaders.borrow().reader(&state.settings.zone, state.now())
    }

    /// Queries the host at `address` for its data, of the endpoints' entries for those above a revision;
    /// returns `None` if it does not reply.
    pub(super) async fn query(
        &self,
        state: &GatewayState,
        address: SocketAddr,
        newest_entry: u64,
    ) -> Option<ReceivedReply> {
        let socket = self.socket.borrow().clone()?;
        let nonce = self.next_nonce.get().wrapping_add(1);
        self.next_nonce.set(nonce);
        let message = PeerMessage::Query(StateQuery { nonce, newest_entry });
        let bytes = rmp_serde::to_vec(&message).ok()?;
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(nonce, sender);
        let requested_at = state.now();
        let reply = match socket.send_to(&bytes, address).await {
            Ok(_) => {
                timeout(SyncIntervals::QUERY_TIMEOUT, receiver).await.ok().and_then(Result::ok)
            }
            Err(_) => None,
        };
        self.pending.borrow_mut().remove(&nonce);
        reply.map(|(reply, extension)| ReceivedReply {
            reply,
            list_digest: extension.list_digest,
            requested_at,
        })
    }

    /// Asks a peer to grant a retry from the zone's pool; returns `false` if it does not reply.
    pub(super) async fn query_retry(&self, peer: SocketAddr, service: &ServiceId) -> bool {
        let Some(socket) = self.socket.borrow().clone() else { return false };
        let nonce = self.next_nonce.get().wrapping_add(1);
        self.next_nonce.set(nonce);
        let message = PeerMessage::RetryQuery { nonce, service: service.clone() };
        let Ok(bytes) = rmp_serde::to_vec(&message) else { return false };
        let (sender, receiver) = oneshot::channel();
        self.pending_retries.borrow_mut().insert(nonce, sender);
        let is_granted = match socket.send_to(&bytes, peer).await {
            Ok(_) => matches!(timeout(Self::RETRY_QUERY_TIMEOUT, receiver).await, Ok(Ok(true))),
            Err(_) => false,
        };
        self.pending_retries.borrow_mut().remove(&nonce);
        is_granted
    }

    /// Asks a host whether it has reached a service's endpoints within `age`, or reaches them now;
    /// `None` if it does not reply.
    pub(super) async fn query_reach(
        &self,
        host: SocketAddr,
        service: &ServiceId,
        age: Duration,
    ) -> Option<bool> {
        let socket = self.socket.borrow().clone()?;
        let nonce = self.next_nonce.get().wrapping_add(1);
        self.next_nonce.set(nonce);
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        let bytes =
            encode_message(&PeerMessage::ReachQuery { nonce, service: service.clone(), age_ms })?;
        let (sender, receiver) = oneshot::channel();
        self.pending_reach.borrow_mut().insert(nonce, sender);
        let reply = match socket.send_to(&bytes, host).await {
            Ok(_) => timeout(Self::REACH_QUERY_TIMEOUT, receiver).await.ok().and_then(Result::ok),
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("peer {host}: {error}"));
                None
            }
        };
        self.pending_reach.borrow_mut().remove(&nonce);
        reply
    }

    /// Passes a reply on to the question whether a host reaches a service; late replies are dropped.
    pub(super) fn complete_reach_query(&self, nonce: u64, is_reached: bool) {
        if let Some(sender) = self.pending_reach.borrow_mut().remove(&nonce) {
            // The question may have timed out meanwhile.
            let _is_late = sender.send(is_reached).is_err();
        }
    }

    /// Asks the host that grants an endpoint's turns for one; `None` if it does not reply, and if it
    /// does not grant them.
    pub(super) async fn query_turn(
        &self,
        granter: SocketAddr,
        query: TurnQuery,
    ) -> Option<Option<TurnReply>> {
        let socket = self.socket.borrow().clone()?;
        let nonce = self.next_nonce.get().wrapping_add(1);
        self.next_nonce.set(nonce);
        let life = query.life.clone();
        let bytes = encode_message(&PeerMessage::TurnQuery { nonce, query })?;
        let (sender, receiver) = oneshot::channel();
        {
            let mut pending = self.pending_turns.borrow_mut();
            if pending.len() >= Self::MAX_PENDING_TURNS {
                pending.retain(|_, turn| !turn.sender.is_closed());
            }
            pending.insert(nonce, PendingTurn { life, sender });
        }
        let reply = match socket.send_to(&bytes, granter).await {
            Ok(_) => timeout(Self::TURN_QUERY_TIMEOUT, receiver).await.ok().and_then(Result::ok),
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("peer {granter}: {error}"));
                None
            }
        };
        self.pending_turns.borrow_mut().remove(&nonce);
        reply
    }

    /// Passes a granter's reply to a query for a turn on; the turn goes back if its request has gone.
    pub(super) fn complete_turn_query(
        &self,
        nonce: u64,
        reply: Option<TurnReply>,
        granter: SocketAddr,
    ) {
        let Some(PendingTurn { life, sender }) = self.pending_turns.borrow_mut().remove(&nonce)
        else {
            return;
        };
        if let Err(Some(TurnReply::Granted { .. })) = sender.send(reply) {
            self.return_turn(granter, life);
        }
    }

    /// Tells the host that granted a turn that it was not used; a turn whose message is lost lapses.
    pub(super) fn return_turn(&self, granter: SocketAddr, life: EndpointLife) {
        let socket = self.socket.borrow();
        let message = encode_message(&PeerMessage::TurnReturn { life });
        if let (Some(socket), Some(bytes)) = (socket.as_ref(), message) {
            if let Err(error) = socket.try_send_to(&bytes, granter) {
                LogEvent::PeerFailed.log(format_args!("peer {granter}: {error}"));
            }
        }
    }

    /// Passes the reply to a query for a retry on; late replies are dropped.
    pub(super) fn complete_retry_query(&self, nonce: u64, is_granted: bool) {
        if let Some(sender) = self.pending_retries.borrow_mut().remove(&nonce) {
            // The query may have timed out meanwhile.
            let _is_late = sender.send(is_granted).is_err();
        }
    }

    /// Builds the reply to a query from this host's data.
    pub(super) fn reply(state: &GatewayState, query: StateQuery) -> (StateReply, PeerExtension) {
        let age = |age: Duration| u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        let endpoint_list = state.endpoint_list.borrow();
        let changes = endpoint_list.changes_since(query.newest_entry);
        let list_digest = Some(endpoint_list.digest());
        let extension = PeerExtension { list_digest, ..PeerExtension::default() };
        let configuration =
            state.configuration_age().map(|found| (state.configuration_revision(), age(found)));
        let endpoints = state.endpoints_age().map(|found| (changes, age(found)));
        let version = state.configuration_version();
        (StateReply { nonce: query.nonce, configuration, endpoints, version }, extension)
    }

    /// Passes a reply to the query that waits for it; late replies are dropped.
    pub(super) fn complete_query(&self, reply: StateReply, extension: PeerExtension) {
        if let Some(sender) = self.pending.borrow_mut().remove(&reply.nonce) {
            // The query may have timed out meanwhile.
            drop(sender.send((reply, extension)));
        }
    }
}

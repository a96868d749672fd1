use {
    crate::{
        connection::{StoreAnswer, StoreCall, StoreClient},
        process::{
            state_exchange::{StateExchange, StateQuery, StateReply},
            GatewayState,
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, HostId, Moment, ZoneId},
        process::{EngineUsage, FleetIntervals, SharedReading},
    },
    std::{
        cell::RefCell,
        collections::BTreeMap,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// What a host writes of itself into the store.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct HostEntry {
    host: HostId,
    zone: ZoneId,
    peer_address: SocketAddrV4,
}

/// What a host tells other hosts.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) enum PeerMessage {
    /// What the host has booked, to the hosts of its availability zone.
    Host { host: HostId, used: BTreeMap<EndpointId, EngineUsage>, readings: Readings },
    /// What all hosts of an availability zone have booked, to the hosts of other zones.
    Zone { zone: ZoneId, used: BTreeMap<EndpointId, EngineUsage>, readings: Readings },
    /// A question for what the other host knows from the store.
    Query(StateQuery),
    /// The answer to a question.
    Reply(StateReply),
}

/// What endpoints reported to the zone's leader.
type Readings = BTreeMap<EndpointId, SharedReading>;

/// Tells the other hosts of the availability zone what this one has booked, and listens to them.
pub struct PeerLink {
    state: Rc<GatewayState>,
    others: RefCell<Vec<SocketAddr>>,
}

impl PeerLink {
    /// Prefix of the keys under which hosts are listed.
    const PREFIX: &'static str = "cassiafield/hosts/";
    /// Pause between two messages to peers.
    const MESSAGE_PAUSE: Duration = Duration::from_millis(150);
    /// Messages to peers for each message to other availability zones.
    const ZONE_MESSAGE_TICKS: u32 = 2;
    /// Age up to which readings are sent, so that each is sent twice to other availability zones.
    const READING_SPAN: Duration = Duration::from_millis(600);
    /// Largest message, in bytes; it fits one datagram.
    const MAX_MESSAGE_BYTES: usize = 60 * 1_024;

    /// Creates the link of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self { state, others: RefCell::default() }
    }

    /// Keeps the host listed and learns the other hosts; never returns.
    pub async fn keep_listed(self: Rc<Self>) {
        let address = self.state.profile.store_address;
        let mut client = StoreClient::new(
            Rc::clone(&self.state.codec),
            address,
            self.state.metrics.store_calls(),
        );
        let mut lease = None;
        let mut learned: Option<Moment> = None;
        loop {
            lease = self.renew(&mut client, lease).await;
            let pace = FleetIntervals { hosts: self.state.hosts_alive.get() };
            let now = self.state.now();
            if learned.is_none_or(|at| now.since(at) >= pace.read_interval()) {
                self.learn(&mut client).await;
                learned = Some(now);
            }
            sleep(pace.renewal_interval()).await;
        }
    }

    async fn renew(&self, client: &mut StoreClient, lease: Option<u64>) -> Option<u64> {
        if let Some(lease) = lease {
            match client.call(&StoreCall::Renew { lease }).await {
                Ok(StoreAnswer::NoLease) => {}
                Ok(_) => return Some(lease),
                Err(fault) => {
                    LogEvent::PeerFailed.log(format_args!("host entry not renewed: {fault}"));
                    return Some(lease);
                }
            }
        }
        let ttl_ms = u64::try_from(FleetIntervals::ENTRY_TTL.as_millis()).unwrap_or(u64::MAX);
        let grant = client.call(&StoreCall::Grant { ttl_ms }).await;
        let lease = match grant {
            Ok(StoreAnswer::Lease { lease, .. }) => lease,
            answer => {
                LogEvent::PeerFailed.log(format_args!("no lease for the host entry: {answer:?}"));
                return None;
            }
        };
        let profile = &self.state.profile;
        let entry = HostEntry {
            host: profile.host.clone(),
            zone: profile.zone.clone(),
            peer_address: profile.peer_address,
        };
        let value = match rmp_serde::to_vec_named(&entry) {
            Ok(value) => value,
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("host entry not written: {error}"));
                return None;
            }
        };
        let key = format!("{}{}", Self::PREFIX, profile.host);
        let put = StoreCall::Put { key, value, lease, expected: None };
        let answer = client.call(&put).await;
        if answer == Ok(StoreAnswer::Written) {
            return Some(lease);
        }
        LogEvent::PeerFailed.log(format_args!("host entry not written: {answer:?}"));
        None
    }

    async fn learn(&self, client: &mut StoreClient) {
        let items = match client.list(Self::PREFIX, true).await {
            Ok(items) => items,
            Err(fault) => {
                LogEvent::HostListFailed.log(fault);
                return;
            }
        };
        let (mut peers, mut others) = (BTreeMap::new(), Vec::new());
        let mut hosts = 0;
        for item in items {
            match rmp_serde::from_slice::<HostEntry>(&item.value) {
                Ok(entry) => {
                    hosts += 1;
                    let profile = &self.state.profile;
                    let address = SocketAddr::V4(entry.peer_address);
                    if entry.zone != profile.zone {
                        others.push(address);
                    } else if entry.host != profile.host {
                        peers.insert(entry.host, address);
                    }
                }
                Err(error) => LogEvent::PeerRefused.log(format_args!("{}: {error}", item.key)),
            }
        }
        self.state.hosts_alive.set(hosts.max(1));
        self.state.exchange.set_peers(peers);
        *self.others.borrow_mut() = others;
    }

    /// Sends and takes messages; never returns unless the socket cannot be opened.
    pub async fn exchange(self: Rc<Self>) {
        let socket = match UdpSocket::bind(SocketAddr::V4(self.state.profile.peer_address)).await {
            Ok(socket) => Rc::new(socket),
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("no socket for peers: {error}"));
                return;
            }
        };
        self.state.exchange.open(Rc::clone(&socket));
        tokio::join!(self.send_messages(&socket), self.receive_messages(&socket));
    }

    async fn send_messages(&self, socket: &UdpSocket) {
        let mut ticks: u32 = 0;
        loop {
            sleep(Self::MESSAGE_PAUSE).await;
            ticks = ticks.wrapping_add(1);
            let is_zone_leader = self.state.is_zone_leader();
            let now = self.state.now();
            let readings = if is_zone_leader {
                self.state.load.borrow().own_readings(Self::READING_SPAN, now)
            } else {
                Readings::new()
            };
            let used = self.state.load.borrow().own_usage().clone();
            let host = self.state.profile.host.clone();
            let message = PeerMessage::Host { host, used, readings: readings.clone() };
            let peers = self.state.exchange.addresses();
            send_to_all(socket, &message, &peers).await;
            if is_zone_leader && ticks.is_multiple_of(Self::ZONE_MESSAGE_TICKS) {
                let used = self.state.load.borrow().zone_usage(now);
                let zone = self.state.profile.zone.clone();
                let others = self.others.borrow().clone();
                send_to_all(socket, &PeerMessage::Zone { zone, used, readings }, &others).await;
            }
        }
    }

    async fn receive_messages(&self, socket: &UdpSocket) {
        let mut buffer = vec![0; Self::MAX_MESSAGE_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match rmp_serde::from_slice(&buffer[..length]) {
                    Ok(PeerMessage::Query(query)) => {
                        let answer = StateExchange::reply(&self.state, query);
                        send_to_all(socket, &PeerMessage::Reply(answer), &[from]).await;
                    }
                    Ok(message) => {
                        if let PeerMessage::Host { host, .. } = &message {
                            self.state.exchange.note_peer(host, from);
                        }
                        self.note_message(message);
                    }
                    Err(error) => LogEvent::PeerRefused.log(format_args!("from {from}: {error}")),
                },
                Err(error) => {
                    LogEvent::PeerFailed.log(error);
                    sleep(Self::MESSAGE_PAUSE).await;
                }
            }
        }
    }

    fn note_message(&self, message: PeerMessage) {
        let now = self.state.now();
        let mut load = self.state.load.borrow_mut();
        let readings = match message {
            PeerMessage::Host { host, used, readings } => {
                load.record_peer_usage(host, used, now);
                readings
            }
            PeerMessage::Zone { zone, used, readings } => {
                load.record_zone_usage(zone, used, now);
                readings
            }
            PeerMessage::Reply(answer) => {
                self.state.exchange.take_reply(answer);
                return;
            }
            // Questions are answered where they arrive.
            PeerMessage::Query(_) => return,
        };
        for (endpoint, reading) in readings {
            load.merge_reading(endpoint, reading, now);
        }
    }
}

async fn send_to_all(socket: &UdpSocket, message: &PeerMessage, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let bytes = match rmp_serde::to_vec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            LogEvent::PeerFailed.log(format_args!("message not written: {error}"));
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            LogEvent::PeerFailed.log(format_args!("peer {address}: {error}"));
        }
    }
}

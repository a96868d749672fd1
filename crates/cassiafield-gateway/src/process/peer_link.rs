use {
    crate::{
        connection::{StoreAnswer, StoreCall, StoreClient},
        process::GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, HostId, ZoneId},
        process::EngineUse,
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

/// What a host tells the other hosts of its availability zone.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct LoadNews {
    host: HostId,
    used: BTreeMap<EndpointId, EngineUse>,
}

/// Tells the other hosts of the availability zone what this one has booked, and listens to them.
pub struct PeerLink {
    state: Rc<GatewayState>,
    peers: RefCell<Vec<SocketAddr>>,
}

impl PeerLink {
    /// Prefix of the keys under which hosts are listed.
    const PREFIX: &'static str = "cassiafield/hosts/";
    /// Time to live of a host's entry.
    const ENTRY_TTL: Duration = Duration::from_secs(6);
    /// Pause between two renewals of the entry.
    const RENEW_PAUSE: Duration = Duration::from_millis(1_800);
    /// Pause between two messages to peers.
    const NEWS_PAUSE: Duration = Duration::from_millis(150);
    /// Largest message, in bytes; it fits one datagram.
    const MAX_NEWS_BYTES: usize = 60 * 1_024;

    /// Creates the link of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self { state, peers: RefCell::default() }
    }

    /// Keeps the host listed and learns the other hosts; never returns.
    pub async fn keep_listed(self: Rc<Self>) {
        let address = self.state.profile.store_address;
        let mut client = StoreClient::new(Rc::clone(&self.state.codec), address);
        let mut lease = None;
        loop {
            lease = self.renew(&mut client, lease).await;
            self.learn(&mut client).await;
            sleep(Self::RENEW_PAUSE).await;
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
        let ttl_ms = u64::try_from(Self::ENTRY_TTL.as_millis()).unwrap_or(u64::MAX);
        let grant = client.call(&StoreCall::Grant { ttl_ms }).await;
        let Ok(StoreAnswer::Lease { lease, .. }) = grant else { return None };
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
        (client.call(&put).await == Ok(StoreAnswer::Written)).then_some(lease)
    }

    async fn learn(&self, client: &mut StoreClient) {
        let Ok(items) = client.list(Self::PREFIX, true).await else { return };
        let mut peers = Vec::new();
        let mut hosts = 0;
        for item in items {
            match rmp_serde::from_slice::<HostEntry>(&item.value) {
                Ok(entry) => {
                    hosts += 1;
                    let profile = &self.state.profile;
                    if entry.zone == profile.zone && entry.host != profile.host {
                        peers.push(SocketAddr::V4(entry.peer_address));
                    }
                }
                Err(error) => LogEvent::PeerRefused.log(format_args!("{}: {error}", item.key)),
            }
        }
        self.state.hosts_alive.set(hosts.max(1));
        *self.peers.borrow_mut() = peers;
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
        tokio::join!(self.send_news(&socket), self.take_news(&socket));
    }

    async fn send_news(&self, socket: &UdpSocket) {
        let mut was_empty = true;
        loop {
            sleep(Self::NEWS_PAUSE).await;
            let used = self.state.load.borrow().own().clone();
            if used.is_empty() && was_empty {
                continue;
            }
            was_empty = used.is_empty();
            let news = LoadNews { host: self.state.profile.host.clone(), used };
            let bytes = match rmp_serde::to_vec(&news) {
                Ok(bytes) => bytes,
                Err(error) => {
                    LogEvent::PeerFailed.log(format_args!("message not written: {error}"));
                    continue;
                }
            };
            let peers = self.peers.borrow().clone();
            for peer in peers {
                if let Err(error) = socket.send_to(&bytes, peer).await {
                    LogEvent::PeerFailed.log(format_args!("peer {peer}: {error}"));
                }
            }
        }
    }

    async fn take_news(&self, socket: &UdpSocket) {
        let mut buffer = vec![0; Self::MAX_NEWS_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, from)) => match rmp_serde::from_slice::<LoadNews>(&buffer[..length]) {
                    Ok(news) => {
                        let now = self.state.now();
                        self.state.load.borrow_mut().note_peer(news.host, news.used, now);
                    }
                    Err(error) => LogEvent::PeerRefused.log(format_args!("from {from}: {error}")),
                },
                Err(error) => {
                    LogEvent::PeerFailed.log(error);
                    sleep(Self::NEWS_PAUSE).await;
                }
            }
        }
    }
}

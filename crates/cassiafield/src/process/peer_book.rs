use {
    crate::{connection::EntryRecord, process::lock},
    cassiafield_core::ids::{HostId, Moment, ZoneId},
    compact_str::CompactString,
    std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration},
};

/// A peer as this host knows it.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub(crate) host: HostId,
    pub(crate) address: CompactString,
    pub(crate) zone: ZoneId,
    pub(crate) failed: Option<Moment>,
    pub(crate) stopping: bool,
}

/// The peers that this host knows, from the platform's list and from peers themselves.
pub(crate) struct PeerBook {
    own: HostId,
    zone: ZoneId,
    seeds: Vec<SocketAddr>,
    peers: Mutex<BTreeMap<HostId, PeerRecord>>,
}

impl PeerBook {
    /// Time for which a peer that did not answer is asked for nothing but its digest.
    const FAILURE_MEMORY: Duration = Duration::from_millis(1_500);
    /// Peers of other zones that get a digest in one round.
    const REMOTE_PEERS: usize = 6;

    pub(crate) fn new(own: HostId, zone: ZoneId, seeds: Vec<SocketAddr>) -> Self {
        Self { own, zone, seeds, peers: Mutex::new(BTreeMap::new()) }
    }

    /// Takes the platform's list of entry hosts; peers that it lacks are forgotten unless they
    /// have answered lately.
    pub(crate) fn replace_list(&self, entries: &[EntryRecord]) {
        let mut peers = lock(&self.peers);
        peers.retain(|host, peer| {
            peer.failed.is_none() || entries.iter().any(|entry| &entry.host == host)
        });
        for entry in entries.iter().filter(|entry| entry.host != self.own) {
            let peer = peers.entry(entry.host.clone()).or_insert_with(|| PeerRecord {
                host: entry.host.clone(),
                address: entry.address.clone(),
                zone: entry.zone.clone(),
                failed: None,
                stopping: false,
            });
            peer.address.clone_from(&entry.address);
        }
    }

    /// Takes a peer's word about itself.
    pub(crate) fn heard(&self, host: &HostId, address: &str, zone: &ZoneId, stopping: bool) {
        if host == &self.own {
            return;
        }
        let record = PeerRecord {
            host: host.clone(),
            address: address.into(),
            zone: zone.clone(),
            failed: None,
            stopping,
        };
        lock(&self.peers).insert(host.clone(), record);
    }

    /// Records that a peer did not answer.
    pub(crate) fn failed(&self, address: &str, now: Moment) {
        for peer in lock(&self.peers).values_mut().filter(|peer| peer.address == address) {
            peer.failed = Some(now);
        }
    }

    /// Returns the addresses that get a digest: all peers of the zone, some others, and the
    /// seeds while no peer is known.
    pub(crate) fn digest_addresses(&self) -> Vec<CompactString> {
        let peers = lock(&self.peers);
        let (near, mut far): (Vec<_>, Vec<_>) =
            peers.values().partition(|peer| peer.zone == self.zone);
        fastrand::shuffle(&mut far);
        far.truncate(Self::REMOTE_PEERS);
        let mut addresses: Vec<CompactString> =
            near.into_iter().chain(far).map(|peer| peer.address.clone()).collect();
        if addresses.is_empty() {
            addresses.extend(self.seeds.iter().map(|seed| CompactString::from(seed.to_string())));
        }
        addresses
    }

    /// Returns the peers that can be asked, those of the zone first, each group in random order.
    pub(crate) fn reachable(&self, now: Moment) -> Vec<PeerRecord> {
        let peers = lock(&self.peers);
        let works =
            |peer: &&PeerRecord| peer.failed.is_none_or(|at| now.since(at) > Self::FAILURE_MEMORY);
        let mut found: Vec<PeerRecord> = peers.values().filter(works).cloned().collect();
        fastrand::shuffle(&mut found);
        found.sort_by_key(|peer| peer.zone != self.zone);
        found
    }

    /// Returns one peer.
    pub(crate) fn find(&self, host: &HostId) -> Option<PeerRecord> {
        lock(&self.peers).get(host).cloned()
    }

    /// Returns the hosts of the zone, this one included.
    pub(crate) fn zone_hosts(&self) -> Vec<HostId> {
        let peers = lock(&self.peers);
        let near = peers.values().filter(|peer| peer.zone == self.zone && peer.failed.is_none());
        near.map(|peer| peer.host.clone()).chain([self.own.clone()]).collect()
    }
}

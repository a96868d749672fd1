use {
    crate::{
        connection::{EntryRecord, PeerDigest},
        process::lock,
    },
    cassiafield_core::ids::{HostId, Moment, ZoneId},
    compact_str::CompactString,
    std::{collections::BTreeMap, net::SocketAddr, sync::Mutex, time::Duration},
};

/// State of a peer as known to this host.
#[derive(Clone, Debug)]
pub(crate) struct PeerRecord {
    pub(crate) host: HostId,
    pub(crate) address: CompactString,
    pub(crate) zone: ZoneId,
    pub(crate) last_failure: Option<Moment>,
    pub(crate) last_digest: Option<Moment>,
    pub(crate) stopping: bool,
}

/// A peer to send a digest to.
#[derive(Clone, Debug)]
pub(crate) struct DigestTarget {
    pub(crate) address: CompactString,
    pub(crate) zone: ZoneId,
}

/// The known peers, from the platform's list and from their own digests.
pub(crate) struct PeerDirectory {
    host: HostId,
    zone: ZoneId,
    seeds: Vec<SocketAddr>,
    peers: Mutex<BTreeMap<HostId, PeerRecord>>,
}

impl PeerDirectory {
    /// Time for which a peer that did not answer gets no messages but digests.
    const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);
    /// Peers in other zones that get a digest in one round.
    const REMOTE_DIGEST_FANOUT: usize = 3;
    /// Age of a peer's last digest after which this host initiates an exchange with it.
    const MAX_DIGEST_AGE: Duration = Duration::from_secs(4);

    pub(crate) fn new(host: HostId, zone: ZoneId, seeds: Vec<SocketAddr>) -> Self {
        Self { host, zone, seeds, peers: Mutex::new(BTreeMap::new()) }
    }

    /// Applies the platform's list of entry hosts.
    ///
    /// Failed peers that are not in the list are removed.
    pub(crate) fn replace_list(&self, entries: &[EntryRecord]) {
        let mut peers = lock(&self.peers);
        peers.retain(|host, peer| {
            peer.last_failure.is_none() || entries.iter().any(|entry| &entry.host == host)
        });
        for entry in entries.iter().filter(|entry| entry.host != self.host) {
            let peer = peers.entry(entry.host.clone()).or_insert_with(|| PeerRecord {
                host: entry.host.clone(),
                address: entry.address.clone(),
                zone: entry.zone.clone(),
                last_failure: None,
                last_digest: None,
                stopping: false,
            });
            peer.address.clone_from(&entry.address);
        }
    }

    /// Records a digest that a peer sent about itself.
    pub(crate) fn record_digest(&self, host: &HostId, digest: &PeerDigest, now: Moment) {
        if host == &self.host {
            return;
        }
        let record = PeerRecord {
            host: host.clone(),
            address: digest.address.clone(),
            zone: digest.zone.clone(),
            last_failure: None,
            last_digest: Some(now),
            stopping: digest.stopping,
        };
        lock(&self.peers).insert(host.clone(), record);
    }

    /// Records that a peer did not answer.
    pub(crate) fn record_failure(&self, address: &str, now: Moment) {
        for peer in lock(&self.peers).values_mut().filter(|peer| peer.address == address) {
            peer.last_failure = Some(now);
        }
    }

    /// Returns the peers to exchange digests with, or the seeds while no peer is known.
    ///
    /// Of two hosts in a zone the one with the smaller id initiates, since an exchange carries both
    /// digests; the other initiates only if the peer's last digest is too old. With `urgent` this
    /// host initiates exchanges with all peers in its zone.
    pub(crate) fn digest_targets(&self, now: Moment, urgent: bool) -> Vec<DigestTarget> {
        let peers = lock(&self.peers);
        let (local, mut remote): (Vec<_>, Vec<_>) =
            peers.values().partition(|peer| peer.zone == self.zone);
        let is_stale = |peer: &PeerRecord| {
            peer.last_digest.is_none_or(|at| now.since(at) > Self::MAX_DIGEST_AGE)
        };
        let local =
            local.into_iter().filter(|peer| urgent || self.host < peer.host || is_stale(peer));
        fastrand::shuffle(&mut remote);
        remote.truncate(Self::REMOTE_DIGEST_FANOUT);
        let target = |peer: &PeerRecord| DigestTarget {
            address: peer.address.clone(),
            zone: peer.zone.clone(),
        };
        let mut targets: Vec<DigestTarget> = local.chain(remote).map(target).collect();
        if peers.is_empty() {
            targets.extend(self.seeds.iter().map(|seed| DigestTarget {
                address: seed.to_string().into(),
                zone: self.zone.clone(),
            }));
        }
        targets
    }

    /// Returns the peers that have not failed recently, those in this zone first.
    ///
    /// Each group is in random order.
    pub(crate) fn reachable(&self, now: Moment) -> Vec<PeerRecord> {
        let peers = lock(&self.peers);
        let is_reachable = |peer: &&PeerRecord| {
            peer.last_failure.is_none_or(|at| now.since(at) > Self::FAILURE_BACKOFF)
        };
        let mut found: Vec<PeerRecord> = peers.values().filter(is_reachable).cloned().collect();
        fastrand::shuffle(&mut found);
        found.sort_by_key(|peer| peer.zone != self.zone);
        found
    }

    /// Returns the record of one peer.
    pub(crate) fn get(&self, host: &HostId) -> Option<PeerRecord> {
        lock(&self.peers).get(host).cloned()
    }

    /// Returns the hosts of the zone without a failure, this one included.
    pub(crate) fn zone_hosts(&self) -> Vec<HostId> {
        let peers = lock(&self.peers);
        let local =
            peers.values().filter(|peer| peer.zone == self.zone && peer.last_failure.is_none());
        local.map(|peer| peer.host.clone()).chain([self.host.clone()]).collect()
    }
}

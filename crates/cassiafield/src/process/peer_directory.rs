use {
    crate::{
        connection::{EntryRecord, PeerDigest},
        process::lock,
    },
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
    pub(crate) last_failure: Option<Moment>,
    pub(crate) last_digest: Option<Moment>,
    pub(crate) stopping: bool,
}

/// A peer that gets a digest.
#[derive(Clone, Debug)]
pub(crate) struct DigestTarget {
    pub(crate) address: CompactString,
    pub(crate) zone: ZoneId,
}

/// The peers that this host knows, from the platform's list and from peers themselves.
pub(crate) struct PeerDirectory {
    host: HostId,
    zone: ZoneId,
    seeds: Vec<SocketAddr>,
    peers: Mutex<BTreeMap<HostId, PeerRecord>>,
}

impl PeerDirectory {
    /// Time for which a peer that did not answer is asked for nothing but its digest.
    const FAILURE_BACKOFF: Duration = Duration::from_millis(1_500);
    /// Peers of other zones that get a digest in one round.
    const REMOTE_DIGEST_FANOUT: usize = 3;
    /// Time without a digest after which a peer is asked for one.
    const MAX_DIGEST_AGE: Duration = Duration::from_secs(4);

    pub(crate) fn new(own: HostId, zone: ZoneId, seeds: Vec<SocketAddr>) -> Self {
        Self { host: own, zone, seeds, peers: Mutex::new(BTreeMap::new()) }
    }

    /// Takes the platform's list of entry hosts; peers that it lacks are forgotten unless they
    /// have answered lately.
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

    /// Takes a peer's word about itself.
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

    /// Returns the peers that get a digest from this host, and the seeds while no peer is known.
    ///
    /// Of two hosts of a zone the one with the smaller id begins, since an exchange carries both
    /// digests; the other one begins if it has not been heard for long. With `urgent` this host
    /// begins with all of its zone.
    pub(crate) fn digest_targets(&self, now: Moment, urgent: bool) -> Vec<DigestTarget> {
        let peers = lock(&self.peers);
        let (near, mut far): (Vec<_>, Vec<_>) =
            peers.values().partition(|peer| peer.zone == self.zone);
        let silent = |peer: &PeerRecord| {
            peer.last_digest.is_none_or(|at| now.since(at) > Self::MAX_DIGEST_AGE)
        };
        let near = near.into_iter().filter(|peer| urgent || self.host < peer.host || silent(peer));
        fastrand::shuffle(&mut far);
        far.truncate(Self::REMOTE_DIGEST_FANOUT);
        let partner = |peer: &PeerRecord| DigestTarget {
            address: peer.address.clone(),
            zone: peer.zone.clone(),
        };
        let mut partners: Vec<DigestTarget> = near.chain(far).map(partner).collect();
        if peers.is_empty() {
            partners.extend(self.seeds.iter().map(|seed| DigestTarget {
                address: seed.to_string().into(),
                zone: self.zone.clone(),
            }));
        }
        partners
    }

    /// Returns the peers that can be asked, those of the zone first, each group in random order.
    pub(crate) fn reachable(&self, now: Moment) -> Vec<PeerRecord> {
        let peers = lock(&self.peers);
        let works = |peer: &&PeerRecord| {
            peer.last_failure.is_none_or(|at| now.since(at) > Self::FAILURE_BACKOFF)
        };
        let mut found: Vec<PeerRecord> = peers.values().filter(works).cloned().collect();
        fastrand::shuffle(&mut found);
        found.sort_by_key(|peer| peer.zone != self.zone);
        found
    }

    /// Returns one peer.
    pub(crate) fn get(&self, host: &HostId) -> Option<PeerRecord> {
        lock(&self.peers).get(host).cloned()
    }

    /// Returns the hosts of the zone, this one included.
    pub(crate) fn zone_hosts(&self) -> Vec<HostId> {
        let peers = lock(&self.peers);
        let near =
            peers.values().filter(|peer| peer.zone == self.zone && peer.last_failure.is_none());
        near.map(|peer| peer.host.clone()).chain([self.host.clone()]).collect()
    }
}

use {
    crate::{
        ids::{HostId, Moment, ZoneId},
        process::{FleetIntervals, ListedHost},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The hosts of the fleet, as one host knows them from the platform's store and from messages.
///
/// A host that is missing from the list has not ended by that: the store may have lost its entry with
/// its lease or with a restore, and reads may be old. A host is forgotten once it is not listed and
/// has been silent for longer than its lease; while the store is being written again, it must also
/// have been missing from the list for [`REENTRY_TIME`](Self::REENTRY_TIME). So the number of hosts,
/// by which shared limits are divided, never falls because of an empty or incomplete list.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, process::FleetMembership},
///     std::collections::BTreeMap,
/// };
///
/// let (own, peer) = ("host-1".parse()?, "host-2".parse()?);
/// let mut membership = FleetMembership::new(own, "zone-a".parse()?, true);
/// let now = Moment::from_millis(1_000);
/// membership.record_message(&peer, "127.0.0.1:7340".parse().unwrap(), now);
/// membership.record_list(BTreeMap::new(), now);
/// assert_eq!(membership.fleet_hosts(), 2);
/// # Ok::<(), cassiafield_core::ids::IdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct FleetMembership {
    own_host: HostId,
    own_zone: ZoneId,
    /// The other hosts.
    peers: BTreeMap<HostId, KnownPeer>,
    /// Number of the other hosts by availability zone.
    zone_peers: BTreeMap<ZoneId, usize>,
    /// When a call to the store last failed, or the store was found to have lost this host's entry.
    disturbed_at: Option<Moment>,
    /// Since when this host has been listed without interruption.
    listed_since: Option<Moment>,
    /// Whether the whole system starts for the first time.
    is_first_start: bool,
    /// Whether the lists so far are taken to name all hosts that run.
    is_complete: bool,
    /// Whether hosts without an entry have had the time to write it since this host started.
    is_settled: bool,
    /// Largest number of hosts that a peer has reported before that time was over.
    reported_hosts: usize,
}

#[derive(Clone, Debug)]
struct KnownPeer {
    zone: ZoneId,
    /// What the store last listed of it, if it ever did.
    listed: Option<ListedHost>,
    /// Sender of its last message.
    sender: Option<SocketAddr>,
    /// When a message last showed that it runs, or when it became known.
    heard_at: Moment,
    /// Since when the list lacks it.
    unlisted_since: Option<Moment>,
}

impl KnownPeer {
    fn address(&self) -> Option<SocketAddr> {
        let listed = self.listed.as_ref().map(|listed| SocketAddr::V4(listed.peer_address));
        match self.unlisted_since {
            None => listed.or(self.sender),
            Some(_) => self.sender.or(listed),
        }
    }
}

impl FleetMembership {
    /// Time within which hosts whose entries the store has lost are listed again: the longest interval
    /// between two renewals, and a read that is seconds old.
    pub const REENTRY_TIME: Duration = Duration::from_secs(8);
    /// Silence after which a host that is not listed has ended.
    const MAX_SILENCE: Duration = FleetIntervals::ENTRY_TTL;

    /// Creates the membership of a host that knows no other one.
    ///
    /// `is_first_start` says that the whole system starts for the first time: the store cannot have
    /// lost any entries, and lists all hosts once it lists this one.
    #[must_use]
    pub const fn new(own_host: HostId, own_zone: ZoneId, is_first_start: bool) -> Self {
        Self {
            own_host,
            own_zone,
            peers: BTreeMap::new(),
            zone_peers: BTreeMap::new(),
            disturbed_at: None,
            listed_since: None,
            is_first_start,
            is_complete: false,
            is_settled: false,
            reported_hosts: 0,
        }
    }

    /// Records the list of all hosts as read from the store; returns the hosts that are forgotten.
    pub fn record_list(
        &mut self,
        mut list: BTreeMap<HostId, ListedHost>,
        now: Moment,
    ) -> BTreeSet<HostId> {
        self.record_own_entry(list.remove(&self.own_host).is_some(), now);
        let is_disturbed = self.disturbed_at.is_some_and(|at| now.since(at) < Self::REENTRY_TIME);
        let min_absence = if is_disturbed { Self::REENTRY_TIME } else { Duration::ZERO };
        let mut ended = BTreeSet::new();
        for (host, peer) in &mut self.peers {
            if list.contains_key(host) {
                continue;
            }
            let unlisted_since = *peer.unlisted_since.get_or_insert(now);
            let is_silent = now.since(peer.heard_at) >= Self::MAX_SILENCE;
            if is_silent && now.since(unlisted_since) >= min_absence {
                ended.insert(host.clone());
            }
        }
        self.peers.retain(|host, _| !ended.contains(host));
        for (host, listed) in list {
            let peer = self.peers.entry(host).or_insert_with(|| KnownPeer {
                zone: listed.zone.clone(),
                listed: None,
                sender: None,
                heard_at: now,
                unlisted_since: None,
            });
            peer.zone = listed.zone.clone();
            peer.listed = Some(listed);
            peer.unlisted_since = None;
        }
        self.count_zone_peers();
        ended
    }

    fn count_zone_peers(&mut self) {
        self.zone_peers.clear();
        for peer in self.peers.values() {
            *self.zone_peers.entry(peer.zone.clone()).or_default() += 1;
        }
    }

    fn record_own_entry(&mut self, is_listed: bool, now: Moment) {
        if !is_listed {
            self.record_disturbance(now);
            return;
        }
        let listed_since = *self.listed_since.get_or_insert(now);
        if now.since(listed_since) >= Self::REENTRY_TIME {
            self.is_settled = true;
            self.reported_hosts = 0;
        }
        self.is_complete |= self.is_first_start || self.is_settled;
    }

    /// Records that a call to the store failed, or that the store has lost this host's entry.
    pub const fn record_disturbance(&mut self, now: Moment) {
        self.disturbed_at = Some(now);
        self.listed_since = None;
    }

    /// Records a message of a host in the own availability zone; returns `true` if the host was not
    /// known.
    pub fn record_message(&mut self, host: &HostId, sender: SocketAddr, now: Moment) -> bool {
        if host == &self.own_host {
            return false;
        }
        if let Some(peer) = self.peers.get_mut(host) {
            peer.heard_at = now;
            peer.sender = Some(sender);
            return false;
        }
        let peer = KnownPeer {
            zone: self.own_zone.clone(),
            listed: None,
            sender: Some(sender),
            heard_at: now,
            unlisted_since: Some(now),
        };
        self.peers.insert(host.clone(), peer);
        self.count_zone_peers();
        true
    }

    /// Records that the leader of another availability zone hears `hosts` hosts there.
    ///
    /// Its message names none of them: all run if there are as many as this host knows.
    pub fn record_zone_message(&mut self, zone: &ZoneId, hosts: usize, now: Moment) {
        if hosts < self.peers_in(zone) {
            return;
        }
        for peer in self.peers.values_mut().filter(|peer| &peer.zone == zone) {
            peer.heard_at = now;
        }
    }

    /// Records the number of hosts that a peer reports.
    ///
    /// It counts only for a time after this host has started: numbers that hosts adopt from each other
    /// would never fall.
    pub fn record_reported_hosts(&mut self, hosts: usize) {
        if !self.is_settled {
            self.reported_hosts = self.reported_hosts.max(hosts);
        }
    }

    /// Returns `true` if all hosts that run are counted.
    ///
    /// A host that has just started does not know that: the store may have lost the other entries.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.is_complete || self.reported_hosts > 0
    }

    /// Returns the number of hosts to report to peers that have just started, if this host knows it by
    /// itself.
    #[must_use]
    pub fn hosts_to_report(&self) -> Option<usize> {
        self.is_complete.then(|| self.peers.len() + 1)
    }

    /// Returns the number of hosts of the fleet, this one included.
    #[must_use]
    pub fn fleet_hosts(&self) -> usize {
        (self.peers.len() + 1).max(self.reported_hosts)
    }

    /// Returns the number of hosts of the own availability zone, this one included.
    #[must_use]
    pub fn zone_hosts(&self) -> usize {
        self.peers_in(&self.own_zone) + 1
    }

    /// Returns the number of hosts of another availability zone that can ask this one: of the `hosts`
    /// that run there, those that this host knows and sends messages to.
    #[must_use]
    pub fn mutual_hosts(&self, zone: &ZoneId, hosts: usize) -> usize {
        hosts.min(self.peers_in(zone))
    }

    fn peers_in(&self, zone: &ZoneId) -> usize {
        self.zone_peers.get(zone).copied().unwrap_or(0)
    }

    /// Returns the message address of a host in the own availability zone.
    #[must_use]
    pub fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        let peer = self.peers.get(host).filter(|peer| peer.zone == self.own_zone);
        peer.and_then(KnownPeer::address)
    }

    /// Returns the message addresses of the other hosts in the own availability zone.
    #[must_use]
    pub fn zone_addresses(&self) -> Vec<SocketAddr> {
        let own = self.peers.values().filter(|peer| peer.zone == self.own_zone);
        own.filter_map(KnownPeer::address).collect()
    }

    /// Returns the message addresses of the hosts in other availability zones.
    #[must_use]
    pub fn foreign_addresses(&self) -> Vec<SocketAddr> {
        let foreign = self.peers.values().filter(|peer| peer.zone != self.own_zone);
        foreign.filter_map(KnownPeer::address).collect()
    }

    /// Returns what the store has last listed of the other hosts.
    pub fn listed_hosts(&self) -> impl Iterator<Item = (&HostId, &ListedHost)> {
        self.peers.iter().filter_map(|(host, peer)| Some((host, peer.listed.as_ref()?)))
    }
}

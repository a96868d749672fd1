use {
    crate::{
        ids::{HostId, Moment, ZoneId},
        process::EngineProfile,
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        fmt,
        time::Duration,
    },
};

/// Two availability zones that share a link, in either order.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ZonePair(ZoneId, ZoneId);

impl ZonePair {
    /// Creates a pair; the order of the arguments does not matter.
    #[must_use]
    pub fn new(one: &ZoneId, other: &ZoneId) -> Self {
        ZonePair(one.min(other).clone(), one.max(other).clone())
    }
}

impl fmt::Display for ZonePair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.0, self.1)
    }
}

/// Bytes of activations that streams send between availability zones within a second.
pub type LinkUsage = BTreeMap<ZonePair, f64>;

/// The load of the links between availability zones, by streams of this and other hosts.
///
/// The prompts of streams whose path crosses zones share these links; beyond their bandwidth every
/// token of every such stream waits.
#[derive(Clone, Debug, Default)]
pub struct LinkLoad {
    own: VecDeque<(Moment, ZonePair, f64)>,
    peers: HashMap<HostId, RemoteLinks>,
    zones: HashMap<ZoneId, RemoteLinks>,
}

#[derive(Clone, Debug)]
struct RemoteLinks {
    received_at: Moment,
    used: LinkUsage,
}

impl LinkLoad {
    /// Time over which transfers are added up; [`LinkUsage`] is per second.
    const WINDOW: Duration = Duration::from_secs(1);
    /// Time after which the usage reported by a peer or another zone is ignored.
    const REMOTE_RETENTION: Duration = Duration::from_millis(1_500);

    /// Records that a stream of this host sends `bytes` between two zones.
    pub fn record(&mut self, pair: ZonePair, bytes: f64, now: Moment) {
        self.remove_expired(now);
        self.own.push_back((now, pair, bytes));
    }

    /// Records the usage that a peer reports.
    pub fn record_peer(&mut self, peer: HostId, used: LinkUsage, now: Moment) {
        self.peers.insert(peer, RemoteLinks { received_at: now, used });
    }

    /// Records the total usage that another availability zone reports for its hosts.
    pub fn record_zone(&mut self, zone: ZoneId, used: LinkUsage, now: Moment) {
        self.zones.insert(zone, RemoteLinks { received_at: now, used });
    }

    /// Returns the usage by streams of this host.
    pub fn own_usage(&mut self, now: Moment) -> LinkUsage {
        self.remove_expired(now);
        let mut usage = LinkUsage::new();
        for (_, pair, bytes) in &self.own {
            *usage.entry(pair.clone()).or_default() += bytes;
        }
        usage
    }

    /// Returns the usage by this host and its peers in the availability zone.
    pub fn zone_usage(&mut self, now: Moment) -> LinkUsage {
        let mut usage = self.own_usage(now);
        add_recent(&mut usage, self.peers.values(), now);
        usage
    }

    /// Returns the usage by this host, its peers and the other zones.
    #[must_use]
    pub fn total_usage(&self, now: Moment) -> LinkUsage {
        let mut usage = LinkUsage::new();
        for (at, pair, bytes) in &self.own {
            if now.since(*at) < Self::WINDOW {
                *usage.entry(pair.clone()).or_default() += bytes;
            }
        }
        add_recent(&mut usage, self.peers.values().chain(self.zones.values()), now);
        usage
    }

    /// Returns the used fraction of the bandwidth of the most used link.
    #[must_use]
    pub fn largest_fraction(&self, engine: &EngineProfile, now: Moment) -> f64 {
        let most = self.total_usage(now).into_values().fold(0.0, f64::max);
        most / engine.link_bytes_per_second()
    }

    fn remove_expired(&mut self, now: Moment) {
        while self.own.front().is_some_and(|(at, ..)| now.since(*at) >= Self::WINDOW) {
            self.own.pop_front();
        }
    }
}

fn add_recent<'a>(
    usage: &mut LinkUsage,
    remotes: impl Iterator<Item = &'a RemoteLinks>,
    now: Moment,
) {
    for remote in remotes {
        if now.since(remote.received_at) < LinkLoad::REMOTE_RETENTION {
            for (pair, bytes) in &remote.used {
                *usage.entry(pair.clone()).or_default() += bytes;
            }
        }
    }
}

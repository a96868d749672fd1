use {
    crate::ids::{EndpointId, HostId},
    std::{
        collections::BTreeSet,
        hash::{Hash as _, Hasher},
        time::Duration,
    },
};

/// How many idle connections a host may keep to an endpoint, and for how long.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IdleAllowance {
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Whether connections are scarce: advertised idle timeouts are then used as far as they are safe.
    pub is_scarce: bool,
}

impl IdleAllowance {
    /// Part of an advertised idle timeout for which a connection is kept, in percent.
    ///
    /// The rest allows for network latency and for rounding to whole seconds.
    const USUAL_PERCENT: u32 = 60;
    /// The same where connections are scarce; together with [`Self::SAFETY_MARGIN`].
    const SCARCE_PERCENT: u32 = 90;
    /// Shortest part of an advertised idle timeout that is left: the way of a request to the endpoint,
    /// and what its clock may run ahead.
    const SAFETY_MARGIN: Duration = Duration::from_millis(250);
    /// Part of an advertised idle timeout in which a connection may carry a request that must run at
    /// most once, in percent.
    const AT_MOST_ONCE_PERCENT: u32 = 40;

    /// Returns for how long a connection with an advertised idle timeout is kept.
    #[must_use]
    pub fn idle_time(&self, advertised: Duration) -> Duration {
        let usual = advertised * Self::USUAL_PERCENT / 100;
        if !self.is_scarce {
            return usual;
        }
        let longest = advertised.saturating_sub(Self::SAFETY_MARGIN);
        (advertised * Self::SCARCE_PERCENT / 100).min(longest).max(usual)
    }

    /// Returns for how long an idle connection with an advertised idle timeout may carry a request that
    /// must run at most once.
    #[must_use]
    pub fn at_most_once_time(advertised: Duration) -> Duration {
        advertised * Self::AT_MOST_ONCE_PERCENT / 100
    }
}

/// The connections of an endpoint and the hosts that share them.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionCap {
    /// Connections that an endpoint accepts from all hosts.
    pub max_connections: u32,
    /// Number of live hosts of all zones.
    pub hosts: usize,
}

impl ConnectionCap {
    /// Maximum number of idle connections to one endpoint where they are not scarce.
    const MAX_IDLE: usize = 16;
    /// The same where they are scarce: the streams of a host at one endpoint.
    const MAX_KEPT_IDLE: usize = 48;
    /// Divides an endpoint's connection limit into the number of idle connections that all hosts
    /// together may keep to it.
    const IDLE_SHARE_DIVISOR: usize = 2;
    /// Divides the idle connections into the part that all hosts of all zones share.
    const ALL_ZONES_DIVISOR: usize = 4;
    /// Divides the idle connections into the part for the hosts that keep the endpoint; what is left is
    /// for all hosts of its zone, which begin most of its paths.
    const KEEPERS_DIVISOR: usize = 4;

    fn idle_total(self) -> usize {
        usize::try_from(self.max_connections).unwrap_or(usize::MAX) / Self::IDLE_SHARE_DIVISOR
    }

    fn equal_share(self) -> usize {
        self.idle_total() / self.hosts.max(1)
    }

    /// Returns `true` if the cap leaves a host fewer idle connections than it would keep.
    #[must_use]
    pub fn is_scarce(self) -> bool {
        self.equal_share() < Self::MAX_IDLE
    }

    /// Returns the allowance of each host where all have the same.
    #[must_use]
    pub fn equal_allowance(self) -> IdleAllowance {
        let max_idle = self.equal_share().clamp(1, Self::MAX_IDLE);
        IdleAllowance { max_idle, is_scarce: self.is_scarce() }
    }
}

/// Decides which first endpoints a host of an availability zone keeps connections to.
///
/// ```
/// use cassiafield_core::connections::ConnectionPlan;
///
/// let hosts = ["h1".parse()?, "h2".parse()?];
/// let endpoints = ["e1".parse()?, "e2".parse()?];
/// let plan = ConnectionPlan::new(&hosts[0], &hosts[1..], &endpoints);
/// assert_eq!(plan.kept().len(), 2);
/// # Ok::<(), cassiafield_core::ids::IdError>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConnectionPlan {
    kept: BTreeSet<EndpointId>,
    /// Hosts that keep an endpoint, on the mean.
    keepers: usize,
    /// Live hosts of the zone.
    zone_hosts: usize,
}

impl ConnectionPlan {
    /// Number of endpoints that a host keeps in any case: one may end and another be full.
    const KEPT_PER_HOST: usize = 3;
    /// Number of hosts that keep an endpoint in any case: two may end together.
    const KEEPERS: usize = 3;

    /// Plans for host `own` of a zone, with the zone's other live hosts and the endpoints at which paths
    /// may begin.
    #[must_use]
    pub fn new(own: &HostId, peers: &[HostId], firsts: &[EndpointId]) -> Self {
        let mut ranked: Vec<&EndpointId> = firsts.iter().collect();
        ranked.sort_by_key(|endpoint| (std::cmp::Reverse(rank(own, endpoint)), *endpoint));
        let (preferred, others) = ranked.split_at(ranked.len().min(Self::KEPT_PER_HOST));
        let is_keeper = |endpoint: &&&EndpointId| {
            let own_rank = rank(own, endpoint);
            let ahead = peers.iter().filter(|peer| rank(peer, endpoint) > own_rank).count();
            ahead < Self::KEEPERS
        };
        let assigned = others.iter().filter(is_keeper);
        let kept: BTreeSet<EndpointId> =
            preferred.iter().chain(assigned).map(|endpoint| (*endpoint).clone()).collect();
        let zone_hosts = peers.len() + 1;
        let by_hosts = zone_hosts * Self::KEPT_PER_HOST / firsts.len().max(1);
        Self { kept, keepers: by_hosts.max(Self::KEEPERS).min(zone_hosts), zone_hosts }
    }

    /// Returns the endpoints that the host keeps connections to.
    #[must_use]
    pub const fn kept(&self) -> &BTreeSet<EndpointId> {
        &self.kept
    }

    /// Returns how many idle connections the host may keep to an endpoint of its zone, or of another one.
    #[must_use]
    pub fn allowance(
        &self,
        endpoint: &EndpointId,
        is_own_zone: bool,
        cap: ConnectionCap,
    ) -> IdleAllowance {
        if !cap.is_scarce() {
            return cap.equal_allowance();
        }
        let for_zones = cap.idle_total() / ConnectionCap::ALL_ZONES_DIVISOR;
        let for_keepers = cap.idle_total() / ConnectionCap::KEEPERS_DIVISOR;
        let for_zone = cap.idle_total() - for_zones - for_keepers;
        let mut max_idle = for_zones / cap.hosts.max(1);
        if is_own_zone {
            max_idle += for_zone / self.zone_hosts.max(1);
        }
        if self.kept.contains(endpoint) {
            max_idle += for_keepers / self.keepers.max(1);
        }
        IdleAllowance { max_idle: max_idle.clamp(1, ConnectionCap::MAX_KEPT_IDLE), is_scarce: true }
    }
}

/// Ranks a pair of host and endpoint; all hosts compute the same value.
fn rank(host: &HostId, endpoint: &EndpointId) -> u64 {
    let mut hasher = RankHasher::default();
    host.as_str().hash(&mut hasher);
    endpoint.as_str().hash(&mut hasher);
    hasher.finish()
}

/// FNV-1a with a final mix: unlike the standard hasher it is the same in every release.
struct RankHasher(u64);

impl Default for RankHasher {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for RankHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

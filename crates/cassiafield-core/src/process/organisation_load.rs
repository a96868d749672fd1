use {
    crate::ids::{HostId, Moment, OrganisationId},
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Memory that the streams of each organisation have reserved, in tokens.
pub type OrganisationUsage = BTreeMap<OrganisationId, u32>;

/// The memory in use by each organisation on the hosts of an availability zone.
///
/// While memory is scarce, an organisation that uses several times the equal share must leave more
/// of it free than the others. So the others find room until they use as much themselves, and no
/// organisation can displace them by sending more requests.
///
/// ```
/// use cassiafield_core::{ids::Moment, process::OrganisationLoad};
///
/// let mut load = OrganisationLoad::default();
/// let (small, large) = ("small".parse()?, "large".parse()?);
/// load.reserve(&small, 1_000);
/// load.reserve(&large, 9_000);
/// let now = Moment::ORIGIN;
/// assert!(load.memory_fraction(&large, now) < load.memory_fraction(&small, now));
/// # Ok::<(), cassiafield_core::ids::IdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct OrganisationLoad {
    own: OrganisationUsage,
    peers: HashMap<HostId, (Moment, OrganisationUsage)>,
}

impl OrganisationLoad {
    /// Largest fraction of an endpoint's request memory that reservations may fill.
    pub const MAX_MEMORY_FRACTION: f64 = 0.97;
    /// Memory that an organisation must leave free for each doubling of its usage above the equal
    /// share, as a fraction.
    const RESERVE_PER_DOUBLING: f64 = 0.04;
    /// Smallest fraction that an organisation may fill.
    const MIN_MEMORY_FRACTION: f64 = 0.75;
    /// Time after which the usage reported by a peer is ignored.
    const PEER_RETENTION: Duration = Duration::from_millis(1_500);

    /// Records that a stream of an organisation has reserved `tokens`.
    pub fn reserve(&mut self, organisation: &OrganisationId, tokens: u32) {
        *self.own.entry(organisation.clone()).or_default() += tokens;
    }

    /// Records that a stream of an organisation has released `tokens`.
    pub fn release(&mut self, organisation: &OrganisationId, tokens: u32) {
        if let Some(used) = self.own.get_mut(organisation) {
            *used = used.saturating_sub(tokens);
            if *used == 0 {
                self.own.remove(organisation);
            }
        }
    }

    /// Returns the usage by streams of this host.
    #[must_use]
    pub const fn own_usage(&self) -> &OrganisationUsage {
        &self.own
    }

    /// Records the usage that a peer reports.
    pub fn record_peer(&mut self, peer: HostId, used: OrganisationUsage, now: Moment) {
        self.peers.insert(peer, (now, used));
    }

    /// Returns the fraction of an endpoint's request memory up to which a new stream of an
    /// organisation may use it.
    #[must_use]
    pub fn memory_fraction(&self, organisation: &OrganisationId, now: Moment) -> f64 {
        let doublings = self.excess(organisation, now).max(1.0).log2();
        (Self::MAX_MEMORY_FRACTION - Self::RESERVE_PER_DOUBLING * doublings)
            .max(Self::MIN_MEMORY_FRACTION)
    }

    /// Returns the usage of an organisation, relative to an equal share of the memory in use.
    #[must_use]
    pub fn excess(&self, organisation: &OrganisationId, now: Moment) -> f64 {
        let mut used: HashMap<&OrganisationId, u64> = HashMap::new();
        let recent = self.peers.values().filter(|(at, _)| now.since(*at) < Self::PEER_RETENTION);
        for usage in recent.map(|(_, usage)| usage).chain([&self.own]) {
            for (organisation, tokens) in usage {
                *used.entry(organisation).or_default() += u64::from(*tokens);
            }
        }
        let total: u64 = used.values().sum();
        let equal_share = total as f64 / used.len().max(1) as f64;
        let own = used.get(organisation).copied().unwrap_or_default();
        if equal_share > 0.0 {
            own as f64 / equal_share
        } else {
            0.0
        }
    }
}

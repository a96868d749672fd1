use crate::request::RequestRate;

/// How much of a fleet a host reaches, which decides how much of a limit it may hand out.
///
/// The host that grants turns hands out the parts of all hosts that can ask it; every other one has
/// its own part without asking. So the parts add up to the limit, however the fleet is divided.
///
/// ```
/// use cassiafield_core::{process::FleetReach, request::RequestRate};
///
/// let limit: RequestRate = "9".parse().unwrap();
/// let reach = FleetReach { reachable: 6, hosts: 9, is_known: true };
/// assert_eq!(reach.granted_rate(limit), "6".parse().unwrap());
/// assert_eq!(reach.own_rate(limit), "1".parse().unwrap());
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetReach {
    /// Number of hosts whose messages arrive, directly or at the leader of their zone, and that get
    /// messages of this one; itself included.
    pub reachable: usize,
    /// Number of hosts of the fleet that the host knows.
    pub hosts: usize,
    /// Whether these are all; a host that does not know it hands out nothing.
    pub is_known: bool,
}

impl FleetReach {
    /// Returns the rate at which the host grants turns, if it is the one that grants them.
    #[must_use]
    pub fn granted_rate(&self, limit: RequestRate) -> RequestRate {
        let hosts = self.fleet_size();
        limit.scaled(self.reachable.max(1) as f64 / hosts as f64)
    }

    /// Returns the rate at which the host may send while it reaches nobody who grants turns.
    #[must_use]
    pub fn own_rate(&self, limit: RequestRate) -> RequestRate {
        limit.scaled(1.0 / self.fleet_size() as f64)
    }

    /// Returns `true` if the host reaches more than half of the fleet; no two parts of it do.
    #[must_use]
    pub fn is_majority(&self) -> bool {
        self.is_known && self.reachable * 2 > self.fleet_size()
    }

    /// Returns the number of hosts, with those whose messages arrive before the host knows them.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.hosts.max(self.reachable).max(1)
    }
}

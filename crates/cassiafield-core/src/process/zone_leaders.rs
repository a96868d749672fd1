use {
    crate::ids::{Moment, ZoneId},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The leaders of the other availability zones whose messages arrive.
///
/// The leader of the first zone by name reads the store for the others. Without its messages, the
/// leader of the next zone does, so that every part of a partitioned fleet has one reader.
#[derive(Clone, Debug, Default)]
pub struct ZoneLeaders {
    known: BTreeMap<ZoneId, KnownLeader>,
}

#[derive(Clone, Copy, Debug)]
struct KnownLeader {
    address: SocketAddr,
    /// Number of hosts of the zone whose messages arrive at the leader, itself included.
    hosts: usize,
    heard_at: Moment,
}

impl ZoneLeaders {
    /// Time after which a leader whose messages no longer arrive is ignored.
    const RETENTION: Duration = Duration::from_millis(1_500);

    /// Records a message from the leader of another zone, which hears `hosts` hosts there.
    pub fn record(&mut self, zone: ZoneId, address: SocketAddr, hosts: usize, now: Moment) {
        self.known.insert(zone, KnownLeader { address, hosts, heard_at: now });
    }

    /// Returns the leader of another zone, if its messages arrive.
    #[must_use]
    pub fn leader(&self, zone: &ZoneId, now: Moment) -> Option<SocketAddr> {
        let leader = self.known.get(zone);
        leader.filter(|leader| leader.is_live(now)).map(|leader| leader.address)
    }

    /// Returns the other zones whose leaders' messages arrive, with the number of hosts there.
    pub fn live_hosts(&self, now: Moment) -> impl Iterator<Item = (&ZoneId, usize)> {
        let live = self.known.iter().filter(move |(_, leader)| leader.is_live(now));
        live.map(|(zone, leader)| (zone, leader.hosts))
    }

    /// Returns the leader that reads the store, or `None` if it is the leader of `own_zone`.
    #[must_use]
    pub fn reader(&self, own_zone: &ZoneId, now: Moment) -> Option<SocketAddr> {
        let first =
            self.known.iter().find(|(zone, leader)| *zone < own_zone && leader.is_live(now));
        first.map(|(_, leader)| leader.address)
    }
}

impl KnownLeader {
    fn is_live(&self, now: Moment) -> bool {
        now.since(self.heard_at) < ZoneLeaders::RETENTION
    }
}

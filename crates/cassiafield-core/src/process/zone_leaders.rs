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
    known: BTreeMap<ZoneId, (SocketAddr, Moment)>,
}

impl ZoneLeaders {
    /// Time after which a leader whose messages no longer arrive is ignored.
    const RETENTION: Duration = Duration::from_millis(1_500);

    /// Records a message from the leader of another zone.
    pub fn record(&mut self, zone: ZoneId, address: SocketAddr, now: Moment) {
        self.known.insert(zone, (address, now));
    }

    /// Returns the leader that reads the store, or `None` if it is the leader of `own_zone`.
    #[must_use]
    pub fn reader(&self, own_zone: &ZoneId, now: Moment) -> Option<SocketAddr> {
        let first = self
            .known
            .iter()
            .find(|(zone, (_, at))| *zone < own_zone && now.since(*at) < Self::RETENTION);
        first.map(|(_, (address, _))| *address)
    }
}

use {
    crate::ids::{HostId, Moment},
    std::{collections::BTreeMap, time::Duration},
};

/// The other hosts of an availability zone whose messages arrive, and who of them leads the zone.
///
/// The first host by name leads, unless it is stopping: its successor then takes over while the
/// leader can still tell what it has granted.
///
/// ```
/// use cassiafield_core::{ids::Moment, process::ZoneMembers};
///
/// let mut members = ZoneMembers::default();
/// let (first, second) = ("host-1".parse()?, "host-2".parse()?);
/// let now = Moment::from_millis(1_000);
/// members.record(&first, false, now);
/// assert_eq!(members.leader(&second, false, now), &first);
/// members.record(&first, true, now);
/// assert_eq!(members.leader(&second, false, now), &second);
/// # Ok::<(), cassiafield_core::ids::IdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneMembers {
    known: BTreeMap<HostId, MemberState>,
}

#[derive(Clone, Copy, Debug)]
struct MemberState {
    heard_at: Moment,
    is_stopping: bool,
}

impl ZoneMembers {
    /// Time after which a silent host no longer leads the zone; several messages are missing then.
    const LEADER_RETENTION: Duration = Duration::from_millis(700);
    /// Time after which a silent host is forgotten.
    const MEMBER_RETENTION: Duration = Duration::from_millis(1_500);

    /// Records a message of a host.
    pub fn record(&mut self, host: &HostId, is_stopping: bool, now: Moment) {
        self.known.insert(host.clone(), MemberState { heard_at: now, is_stopping });
        self.known.retain(|_, state| now.since(state.heard_at) < Self::MEMBER_RETENTION);
    }

    /// Returns the leader as seen by host `own`.
    #[must_use]
    pub fn leader<'a>(&'a self, own: &'a HostId, is_stopping: bool, now: Moment) -> &'a HostId {
        let recent = self
            .known
            .iter()
            .filter(|(_, state)| now.since(state.heard_at) < Self::LEADER_RETENTION)
            .map(|(host, state)| (state.is_stopping, host));
        let first = recent.min().filter(|first| *first < (is_stopping, own));
        first.map_or(own, |(_, host)| host)
    }

    /// Returns the hosts whose messages have arrived lately.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &HostId> {
        let is_live = move |state: &MemberState| now.since(state.heard_at) < Self::MEMBER_RETENTION;
        self.known.iter().filter(move |(_, state)| is_live(state)).map(|(host, _)| host)
    }
}

use crate::ids::ZoneId;

/// How many hosts an availability zone is planned to have, and its weight in sharing plans.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneShare {
    /// The availability zone.
    pub zone: ZoneId,
    /// Planned number of hosts.
    pub hosts: u16,
    /// Weight against the other zones.
    pub weight: u32,
}

/// The part of every plan that one host may spend without asking: `weight / whole / hosts`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FloorFraction {
    weight: u32,
    whole: u32,
    hosts: u16,
    ordinal: u16,
}

impl FloorFraction {
    /// Returns the fraction of the host that holds `ordinal` in `zone`.
    ///
    /// Returns `None` if the zone is not planned or has no such ordinal.
    #[must_use]
    pub fn of(shares: &[ZoneShare], zone: &ZoneId, ordinal: u16) -> Option<Self> {
        let whole = shares.iter().map(|share| share.weight).sum();
        let index = shares.iter().position(|share| &share.zone == zone)?;
        let share = &shares[index];
        (ordinal < share.hosts && share.weight > 0).then_some(Self {
            weight: share.weight,
            whole,
            hosts: share.hosts,
            ordinal,
        })
    }

    /// Returns this host's part of a rate or a bucket size.
    #[must_use]
    pub fn of_amount(&self, amount: f64) -> f64 {
        amount * f64::from(self.weight) / f64::from(self.whole) / f64::from(self.hosts)
    }

    /// Returns this host's part of a whole number of permits.
    ///
    /// The parts of all ordinals of all zones sum to at most `permits`.
    #[must_use]
    pub fn of_permits(&self, permits: u32) -> u32 {
        let zone = u64::from(permits) * u64::from(self.weight) / u64::from(self.whole);
        let hosts = u64::from(self.hosts);
        let spare = u64::from(u64::from(self.ordinal) < zone % hosts);
        u32::try_from(zone / hosts + spare).unwrap_or(u32::MAX)
    }
}

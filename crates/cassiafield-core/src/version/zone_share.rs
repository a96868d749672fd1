use crate::ids::ZoneId;

/// Planned number of hosts of an availability zone, and its weight in dividing plan limits.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneShare {
    /// Identifier of the availability zone.
    pub zone: ZoneId,
    /// Planned number of hosts.
    pub hosts: u16,
    /// Weight relative to the other zones.
    pub weight: u32,
}

/// Fraction of each plan limit that one host may use without a loan from its peers:
/// `weight / total_weight / hosts`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FloorFraction {
    weight: u32,
    total_weight: u32,
    hosts: u16,
    ordinal: u16,
}

impl FloorFraction {
    /// Returns the fraction for the host that holds `ordinal` in `zone`.
    ///
    /// Returns `None` if the zone is not planned, has no such ordinal or has no weight.
    #[must_use]
    pub fn of(shares: &[ZoneShare], zone: &ZoneId, ordinal: u16) -> Option<Self> {
        let total_weight = shares.iter().map(|share| share.weight).sum();
        let index = shares.iter().position(|share| &share.zone == zone)?;
        let share = &shares[index];
        (ordinal < share.hosts && share.weight > 0).then_some(Self {
            weight: share.weight,
            total_weight,
            hosts: share.hosts,
            ordinal,
        })
    }

    /// Returns this host's share of a rate or a bucket size.
    #[must_use]
    pub fn of_amount(&self, amount: f64) -> f64 {
        amount * f64::from(self.weight) / f64::from(self.total_weight) / f64::from(self.hosts)
    }

    /// Returns this host's share of an integral number of permits.
    ///
    /// The shares of all ordinals of all zones sum to at most `permits`.
    #[must_use]
    pub fn of_permits(&self, permits: u32) -> u32 {
        let zone = u64::from(permits) * u64::from(self.weight) / u64::from(self.total_weight);
        let hosts = u64::from(self.hosts);
        let extra = u64::from(u64::from(self.ordinal) < zone % hosts);
        u32::try_from(zone / hosts + extra).unwrap_or(u32::MAX)
    }
}

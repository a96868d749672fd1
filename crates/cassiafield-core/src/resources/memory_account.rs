use {
    crate::{
        ids::{Moment, OrganisationId},
        resources::{ByteCount, HolderId, HoldingKind, ResourceLimits},
    },
    std::{collections::BTreeMap, fmt},
};

/// No room is left for what a holder asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChargeRefused {
    /// What the memory is for.
    pub kind: HoldingKind,
    /// How much was asked for.
    pub asked: ByteCount,
    /// How much is held for others.
    pub used: ByteCount,
    /// Number of holders that have to make room now.
    pub evicted: usize,
}

/// The memory that a host holds for its callers.
///
/// Everything is charged before it is taken. While room is short, the holders that have made no progress for
/// longest have to make room, and those of an organisation over its share before others.
///
/// ```
/// use cassiafield_core::{
///     ids::Moment,
///     resources::{ByteCount, HoldingKind, MemoryAccount, ResourceLimits, ResourceSettings},
/// };
///
/// let limits = ResourceLimits::new(ResourceSettings::new(ByteCount::from_mib(100), 4_100));
/// let mut account = MemoryAccount::new(limits);
/// let now = Moment::ORIGIN;
/// let body = account.open(HoldingKind::RequestBody, None, now);
/// assert!(account.charge(body, ByteCount::from_mib(4), now).is_ok());
/// assert!(account.charge(body, ByteCount::from_mib(90), now).is_err());
/// account.close(body);
/// assert_eq!(account.used(), ByteCount::default());
/// ```
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    limits: ResourceLimits,
    holders: BTreeMap<HolderId, MemoryHolder>,
    used: ByteCount,
    next_id: u64,
}

#[derive(Clone, Debug)]
struct MemoryHolder {
    kind: HoldingKind,
    organisation: Option<OrganisationId>,
    bytes: ByteCount,
    /// When the holder had last made the progress that is asked for.
    paced_at: Moment,
    /// Bytes of progress since then.
    progress: u64,
    /// Whether the holder waits for its caller, and not the caller for the host.
    is_waiting: bool,
    is_evicted: bool,
}

impl MemoryAccount {
    /// Most holders that have to make room at a time.
    const MAX_EVICTIONS: usize = 16;

    /// Creates an account that holds nothing.
    #[must_use]
    pub const fn new(limits: ResourceLimits) -> Self {
        Self { limits, holders: BTreeMap::new(), used: ByteCount::new(0), next_id: 0 }
    }

    /// Opens a holder, which holds nothing yet.
    pub fn open(
        &mut self,
        kind: HoldingKind,
        organisation: Option<OrganisationId>,
        now: Moment,
    ) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = MemoryHolder {
            kind,
            organisation,
            bytes: ByteCount::default(),
            paced_at: now,
            progress: 0,
            is_waiting: kind == HoldingKind::RequestBody,
            is_evicted: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Charges more memory to a holder.
    ///
    /// # Errors
    ///
    /// Returns an error if no room is left. Holders without progress have to make room then, so that a later
    /// charge succeeds.
    pub fn charge(
        &mut self,
        id: HolderId,
        bytes: ByteCount,
        now: Moment,
    ) -> Result<(), ChargeRefused> {
        let Some(holder) = self.holders.get(&id) else { return Ok(()) };
        let (kind, total) = (holder.kind, holder.bytes.plus(bytes));
        let limit = match kind {
            _ if self.limits.is_small(total) => self.limits.held(),
            HoldingKind::RequestBody => self.limits.bodies(),
            HoldingKind::Answer => self.limits.large(),
        };
        let used = self.used.plus(bytes);
        if used > limit {
            let missing = used.minus(limit);
            let evicted = self.evict(missing, id, now);
            return Err(ChargeRefused { kind, asked: bytes, used: self.used, evicted });
        }
        self.used = used;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes = total;
        }
        Ok(())
    }

    /// Records bytes that a holder received from its caller, or that its caller took.
    pub fn record_progress(&mut self, id: HolderId, bytes: usize, now: Moment) {
        let min_rate = self.limits.min_bytes_per_second();
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.progress += bytes as u64;
        let millis = now.since(holder.paced_at).as_millis() as u64;
        if holder.progress.saturating_mul(1_000) >= min_rate.saturating_mul(millis) {
            holder.paced_at = now;
            holder.progress = 0;
        }
    }

    /// Records whether a holder waits for its caller; only then it may have to make room.
    pub fn set_waiting(&mut self, id: HolderId, is_waiting: bool, now: Moment) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_waiting = is_waiting;
            holder.paced_at = now;
            holder.progress = 0;
        }
    }

    /// Returns `true` if a holder has to make room.
    #[must_use]
    pub fn is_evicted(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|holder| holder.is_evicted)
    }

    /// Ends a holder and returns what it held.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used = self.used.minus(holder.bytes);
        }
    }

    /// Returns the memory that is held.
    #[must_use]
    pub const fn used(&self) -> ByteCount {
        self.used
    }

    /// Has holders without progress make room for `missing` bytes, and returns their number.
    fn evict(&mut self, missing: ByteCount, asking: HolderId, now: Moment) -> usize {
        let share = self.limits.organisation_share();
        let mut by_organisation = BTreeMap::new();
        for holder in self.holders.values() {
            let used: &mut ByteCount =
                by_organisation.entry(holder.organisation.clone()).or_default();
            *used = used.plus(holder.bytes);
        }
        let is_over_share = |organisation: &Option<OrganisationId>| {
            by_organisation.get(organisation).is_some_and(|used| *used > share)
        };
        // An organisation over its share takes no room from others.
        let is_asking_over_share =
            self.holders.get(&asking).is_some_and(|holder| is_over_share(&holder.organisation));
        // What is already on its way out makes room too.
        let leaving = self.holders.values().filter(|holder| holder.is_evicted);
        let mut freed = leaving.fold(ByteCount::default(), |sum, holder| sum.plus(holder.bytes));
        let stall_time = self.limits.stall_time();
        let mut candidates: Vec<_> = self
            .holders
            .iter()
            .filter(|(id, holder)| {
                **id != asking
                    && holder.is_waiting
                    && !holder.is_evicted
                    && now.since(holder.paced_at) >= stall_time
            })
            .map(|(id, holder)| (!is_over_share(&holder.organisation), holder.paced_at, *id))
            .filter(|(is_within_share, ..)| !(is_asking_over_share && *is_within_share))
            .collect();
        candidates.sort_unstable();
        let mut evicted = 0;
        for (_, _, id) in candidates.into_iter().take(Self::MAX_EVICTIONS) {
            if freed >= missing {
                break;
            }
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.is_evicted = true;
                freed = freed.plus(holder.bytes);
                evicted += 1;
            }
        }
        evicted
    }
}

impl fmt::Display for ChargeRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { kind, asked, used, evicted } = self;
        write!(f, "no room for {asked} of a {kind}: {used} are held, {evicted} have to make room")
    }
}

impl std::error::Error for ChargeRefused {}

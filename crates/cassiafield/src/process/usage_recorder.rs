use {
    crate::{
        connection::{CompareAndSwap, PlatformStore, SwapResult},
        process::{lock, HostClock, LogEvent},
    },
    cassiafield_core::{
        ids::{HostId, OrganisationId},
        process::{RequestClass, UsageOutcome, UsageRecord},
    },
    std::{collections::BTreeMap, sync::Mutex},
};

/// Counts usage per hour and checkpoints it to the platform store.
///
/// Every process writes its own records, so processes never overwrite each other's counts.
pub struct UsageRecorder {
    host: HostId,
    incarnation: u64,
    hours: Mutex<BTreeMap<u64, HourRecord>>,
}

#[derive(Default)]
struct HourRecord {
    record: UsageRecord,
    revision: Option<u64>,
    dirty: bool,
}

/// Key prefix of all usage records.
pub(crate) const USAGE_PREFIX: &str = "cassiafield/usage/";
const SECONDS_PER_HOUR: u64 = 3_600;
/// Hours kept in memory; older ones are evicted once written.
const RETAINED_HOURS: usize = 3;

impl UsageRecorder {
    /// Creates a recorder; `incarnation` distinguishes this process from others on the same host.
    #[must_use]
    pub const fn new(host: HostId, incarnation: u64) -> Self {
        Self { host, incarnation, hours: Mutex::new(BTreeMap::new()) }
    }

    /// Counts the arrival of a request and returns the hour that it is counted in.
    pub fn record_arrival(&self, organisation: &OrganisationId, class: RequestClass) -> u64 {
        let hour = HostClock::unix_seconds() / SECONDS_PER_HOUR;
        self.update(hour, |record| record.record_arrival(organisation, class));
        hour
    }

    /// Counts the end of a request that arrived in `hour`.
    pub fn record_end(
        &self,
        hour: u64,
        organisation: &OrganisationId,
        class: RequestClass,
        outcome: UsageOutcome,
    ) {
        self.update(hour, |record| record.record_outcome(organisation, class, outcome));
    }

    /// Returns the sum of all hours that are still in memory.
    #[must_use]
    pub fn total(&self) -> UsageRecord {
        let mut total = UsageRecord::default();
        for hour in lock(&self.hours).values() {
            total.merge(&hour.record);
        }
        total
    }

    /// Writes the records that have changed since the last checkpoint; `closed` marks them as the
    /// last ones of this process.
    ///
    /// Returns `true` if all of them are written.
    pub fn checkpoint(&self, store: &dyn PlatformStore, closed: bool) -> bool {
        let hours: Vec<u64> = lock(&self.hours).keys().copied().collect();
        let mut complete = true;
        for hour in hours {
            complete &= self.write_hour(store, hour, closed);
        }
        self.evict_old_hours();
        complete
    }

    fn update(&self, hour: u64, change: impl FnOnce(&mut UsageRecord)) {
        let mut hours = lock(&self.hours);
        let entry = hours.entry(hour).or_default();
        change(&mut entry.record);
        entry.dirty = true;
    }

    fn key(&self, hour: u64) -> String {
        format!("{USAGE_PREFIX}{hour:08}/{}/{:016x}", self.host, self.incarnation)
    }

    fn write_hour(&self, store: &dyn PlatformStore, hour: u64, closed: bool) -> bool {
        let Some((record, expected)) = self.begin_write(hour, closed) else { return true };
        let Ok(value) = rmp_serde::to_vec(&record) else { return false };
        let swap =
            CompareAndSwap { key: self.key(hour), expected, value: Some(value), lease: None };
        match store.compare_and_swap(&swap) {
            Ok(SwapResult::Applied(revision)) => {
                self.set_revision(hour, Some(revision));
                true
            }
            Ok(SwapResult::Conflict) => {
                self.adopt_revision(store, hour);
                false
            }
            Err(error) => {
                LogEvent::CheckpointFailed.log(error);
                self.mark_dirty(hour);
                false
            }
        }
    }

    /// Marks an hour as written and returns a copy of its record with the revision to replace.
    ///
    /// Returns `None` if the record in the store is up to date.
    fn begin_write(&self, hour: u64, closed: bool) -> Option<(UsageRecord, Option<u64>)> {
        let mut hours = lock(&self.hours);
        let entry = hours.get_mut(&hour)?;
        if !entry.dirty && (!closed || entry.record.closed) {
            return None;
        }
        entry.dirty = false;
        entry.record.sequence += 1;
        entry.record.closed = closed;
        entry.record.written = HostClock::unix_seconds();
        Some((entry.record.clone(), entry.revision))
    }

    fn set_revision(&self, hour: u64, revision: Option<u64>) {
        if let Some(entry) = lock(&self.hours).get_mut(&hour) {
            entry.revision = revision;
        }
    }

    fn mark_dirty(&self, hour: u64) {
        if let Some(entry) = lock(&self.hours).get_mut(&hour) {
            entry.dirty = true;
        }
    }

    /// Reads the revision of an earlier write whose answer was lost.
    ///
    /// No other process writes the key, so the revision is that of this process's own write.
    fn adopt_revision(&self, store: &dyn PlatformStore, hour: u64) {
        if let Ok(found) = store.read(&self.key(hour)) {
            self.set_revision(hour, found.map(|entry| entry.revision));
        }
        self.mark_dirty(hour);
    }

    fn evict_old_hours(&self) {
        let mut hours = lock(&self.hours);
        while hours.len() > RETAINED_HOURS && hours.values().next().is_some_and(|hour| !hour.dirty)
        {
            hours.pop_first();
        }
    }
}

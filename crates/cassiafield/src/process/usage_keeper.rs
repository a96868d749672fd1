use {
    crate::{
        connection::{PlatformStore, StoreSwap, SwapResult},
        process::{lock, HostClock, LogEvent},
    },
    cassiafield_core::{
        ids::{HostId, OrganisationId},
        process::{RequestClass, UsageOutcome, UsageRecord},
    },
    std::{collections::BTreeMap, sync::Mutex},
};

/// Counts usage by hour and checkpoints it to the platform store.
///
/// Every process writes records of its own, so no write of one process can undo another's.
pub struct UsageKeeper {
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
const HOURS_KEPT: usize = 3;

impl UsageKeeper {
    /// Creates a keeper; `incarnation` sets this process apart from others of the host.
    #[must_use]
    pub const fn new(host: HostId, incarnation: u64) -> Self {
        Self { host, incarnation, hours: Mutex::new(BTreeMap::new()) }
    }

    /// Counts an arrival and returns the hour that the request counts in.
    pub fn arrived(&self, organisation: &OrganisationId, class: RequestClass) -> u64 {
        let hour = HostClock::unix_seconds() / SECONDS_PER_HOUR;
        self.update(hour, |record| record.record_arrival(organisation, class));
        hour
    }

    /// Counts the end of a request that arrived in `hour`.
    pub fn ended(
        &self,
        hour: u64,
        organisation: &OrganisationId,
        class: RequestClass,
        end: UsageOutcome,
    ) {
        self.update(hour, |record| record.record_outcome(organisation, class, end));
    }

    /// Returns the sum of what this process has counted and still holds.
    #[must_use]
    pub fn total(&self) -> UsageRecord {
        let mut total = UsageRecord::default();
        for hour in lock(&self.hours).values() {
            total.merge(&hour.record);
        }
        total
    }

    /// Writes what has changed since the last checkpoint; returns whether all of it is written.
    pub fn checkpoint(&self, store: &dyn PlatformStore, closed: bool) -> bool {
        let hours: Vec<u64> = lock(&self.hours).keys().copied().collect();
        let mut complete = true;
        for hour in hours {
            complete &= self.write_hour(store, hour, closed);
        }
        self.forget_old();
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
        let Some((record, expected)) = self.prepare(hour, closed) else { return true };
        let Ok(value) = rmp_serde::to_vec(&record) else { return false };
        let swap = StoreSwap { key: self.key(hour), expected, value: Some(value), lease: None };
        match store.swap(&swap) {
            Ok(SwapResult::Won(revision)) => {
                self.confirm(hour, Some(revision));
                true
            }
            Ok(SwapResult::Lost) => {
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

    /// Takes a copy to write, or nothing if the last write holds everything.
    fn prepare(&self, hour: u64, closed: bool) -> Option<(UsageRecord, Option<u64>)> {
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

    fn confirm(&self, hour: u64, revision: Option<u64>) {
        if let Some(entry) = lock(&self.hours).get_mut(&hour) {
            entry.revision = revision;
        }
    }

    fn mark_dirty(&self, hour: u64) {
        if let Some(entry) = lock(&self.hours).get_mut(&hour) {
            entry.dirty = true;
        }
    }

    /// Learns the revision of an earlier write whose answer was lost; the key is this process's.
    fn adopt_revision(&self, store: &dyn PlatformStore, hour: u64) {
        if let Ok(found) = store.read(&self.key(hour)) {
            self.confirm(hour, found.map(|entry| entry.revision));
        }
        self.mark_dirty(hour);
    }

    fn forget_old(&self) {
        let mut hours = lock(&self.hours);
        while hours.len() > HOURS_KEPT && hours.values().next().is_some_and(|hour| !hour.dirty) {
            hours.pop_first();
        }
    }
}

use {
    cassiafield::connection::{
        CompareAndSwap, LeaseId, PlatformStore, StoreEntry, StoreError, SwapResult,
    },
    std::{
        collections::BTreeMap,
        sync::{Condvar, Mutex, MutexGuard, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// Faults that a [`MemoryStore`] injects into its calls.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct StoreFaults {
    /// Whether every call and every open watch fails.
    pub outage: bool,
    /// Fraction of the calls that take effect but return an unknown result.
    pub lose_answers: f64,
    /// Fraction of the calls that fail without taking effect.
    pub lose_calls: f64,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
}

/// Counts of the calls that a [`MemoryStore`] received, failed ones included.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StoreCallCounts {
    /// Reads of keys and of leases.
    pub reads: u64,
    /// Compare-and-swap calls, and grants, renewals and revocations of leases.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// An in-memory key-value store with revisions, leases, watches and fault injection.
#[derive(Default)]
pub struct MemoryStore {
    state: Mutex<StoreState>,
    changed: Condvar,
}

struct StoreState {
    origin: Instant,
    /// Time added by [`MemoryStore::advance_time`].
    time_offset: Duration,
    revision: u64,
    next_lease: i64,
    entries: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, StoredLease>,
    faults: StoreFaults,
    counts: StoreCallCounts,
    random: fastrand::Rng,
}

#[derive(Clone)]
struct StoredValue {
    entry: StoreEntry,
    lease: Option<LeaseId>,
}

struct StoredLease {
    ttl: Duration,
    /// Expiry time, relative to `StoreState::origin`.
    expires_at: Duration,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            origin: Instant::now(),
            time_offset: Duration::ZERO,
            revision: 0,
            next_lease: 0,
            entries: BTreeMap::new(),
            leases: BTreeMap::new(),
            faults: StoreFaults::default(),
            counts: StoreCallCounts::default(),
            random: fastrand::Rng::new(),
        }
    }
}

/// Category under which a call is counted.
#[derive(Clone, Copy)]
enum StoreCallKind {
    Read,
    Write,
    Watch,
}

impl MemoryStore {
    /// Limits the size of a value; the store refuses larger ones.
    pub const MAX_VALUE_BYTES: usize = 1 << 20;

    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Seeds the random choice of calls that fail.
    #[must_use]
    pub fn with_seed(self, seed: u64) -> Self {
        self.lock().random = fastrand::Rng::with_seed(seed);
        self
    }

    /// Sets the faults to inject and wakes the open watches.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.changed.notify_all();
    }

    /// Returns the counts of the calls received so far.
    pub fn counts(&self) -> StoreCallCounts {
        self.lock().counts
    }

    /// Advances the clock by which leases expire.
    pub fn advance_time(&self, time: Duration) {
        self.lock().time_offset += time;
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one call under the active faults.
    fn call<T>(
        &self,
        kind: StoreCallKind,
        operation: impl FnOnce(&mut StoreState) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let delay_ms = self.lock().faults.slow_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
        let mut state = self.lock();
        state.count(kind);
        if state.faults.outage {
            return Err(StoreError::Unknown("outage".into()));
        }
        if state.random.f64() < state.faults.lose_calls {
            return Err(StoreError::Unknown("the call was lost".into()));
        }
        state.expire_leases();
        let result = operation(&mut state);
        let is_response_lost = state.random.f64() < state.faults.lose_answers;
        drop(state);
        self.changed.notify_all();
        if is_response_lost {
            return Err(StoreError::Unknown("the answer was lost".into()));
        }
        result
    }
}

impl StoreState {
    fn now(&self) -> Duration {
        self.origin.elapsed() + self.time_offset
    }

    fn count(&mut self, kind: StoreCallKind) {
        match kind {
            StoreCallKind::Read => self.counts.reads += 1,
            StoreCallKind::Write => self.counts.writes += 1,
            StoreCallKind::Watch => self.counts.watches += 1,
        }
    }

    fn expire_leases(&mut self) {
        let now = self.now();
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
        let before = self.entries.len();
        self.entries.retain(|_, value| value.lease != Some(lease));
        if self.entries.len() < before {
            self.revision += 1;
        }
    }

    fn swap(&mut self, swap: &CompareAndSwap) -> Result<SwapResult, StoreError> {
        if swap.value.as_ref().is_some_and(|value| value.len() > MemoryStore::MAX_VALUE_BYTES) {
            return Err(StoreError::Refused("the value is too large".into()));
        }
        if swap.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::Refused("no such lease".into()));
        }
        let found = self.entries.get(&swap.key).map(|value| value.entry.revision);
        if found != swap.expected {
            return Ok(SwapResult::Conflict);
        }
        self.revision += 1;
        let revision = self.revision;
        match &swap.value {
            Some(value) => {
                let entry = StoreEntry { revision, value: value.clone() };
                self.entries.insert(swap.key.clone(), StoredValue { entry, lease: swap.lease });
            }
            None => {
                self.entries.remove(&swap.key);
            }
        }
        Ok(SwapResult::Applied(revision))
    }
}

impl PlatformStore for MemoryStore {
    fn read(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        self.call(StoreCallKind::Read, |state| {
            Ok(state.entries.get(key).map(|value| value.entry.clone()))
        })
    }

    fn read_if_newer(&self, key: &str, after: u64) -> Result<Option<StoreEntry>, StoreError> {
        self.call(StoreCallKind::Read, |state| {
            let found = state.entries.get(key).map(|value| value.entry.clone());
            Ok(found.filter(|entry| entry.revision > after))
        })
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreEntry)>, StoreError> {
        self.call(StoreCallKind::Read, |state| {
            let found = state.entries.range(prefix.to_owned()..);
            let found = found.take_while(|(key, _)| key.starts_with(prefix));
            Ok(found.map(|(key, value)| (key.clone(), value.entry.clone())).collect())
        })
    }

    fn compare_and_swap(&self, swap: &CompareAndSwap) -> Result<SwapResult, StoreError> {
        self.call(StoreCallKind::Write, |state| state.swap(swap))
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.call(StoreCallKind::Write, |state| {
            state.next_lease += 1;
            let lease = LeaseId(state.next_lease);
            let expires_at = state.now() + ttl;
            state.leases.insert(lease, StoredLease { ttl, expires_at });
            Ok(lease)
        })
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.call(StoreCallKind::Write, |state| {
            let now = state.now();
            let found = state.leases.get_mut(&lease);
            Ok(found.map(|lease| lease.expires_at = now + lease.ttl).is_some())
        })
    }

    fn lease_exists(&self, lease: LeaseId) -> Result<bool, StoreError> {
        self.call(StoreCallKind::Read, |state| Ok(state.leases.contains_key(&lease)))
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call(StoreCallKind::Write, |state| {
            state.remove_lease(lease);
            Ok(())
        })
    }

    fn watch(
        &self,
        key: &str,
        from: u64,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        let deadline = Instant::now() + timeout;
        self.call(StoreCallKind::Watch, |_| Ok(()))?;
        let mut state = self.lock();
        loop {
            if state.faults.outage {
                return Err(StoreError::Unknown("outage".into()));
            }
            let found = state.entries.get(key).map(|value| value.entry.clone());
            if let Some(entry) = found.filter(|entry| entry.revision >= from) {
                return Ok(Some(entry));
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(None);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

use std::{fmt, time::Duration};

/// Timeout of a store call.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(800);

/// A lease of the platform store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseId(pub i64);

impl fmt::Display for LeaseId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The value of a key and its modification revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// Revision of the last modification.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A compare-and-swap of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompareAndSwap {
    /// The key.
    pub key: String,
    /// Modification revision that the key must have; `None` if the key must not exist.
    pub expected: Option<u64>,
    /// The new value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease to which the key is attached.
    pub lease: Option<LeaseId>,
}

/// The result of a compare-and-swap.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The swap was applied at this revision.
    Applied(u64),
    /// The key had a different revision; nothing was written.
    Conflict,
}

/// Why a store call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call was not sent and has no effect.
    NotSent(String),
    /// The outcome is unknown: the call may have been applied, or may be applied later.
    Unknown(String),
    /// The store rejected the call, which has no effect.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::NotSent(reason) => write!(f, "the store cannot be reached: {reason}"),
            StoreError::Unknown(reason) => write!(f, "no valid response from the store: {reason}"),
            StoreError::Refused(reason) => write!(f, "the store rejected the call: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Client of the platform's key-value store.
pub trait PlatformStore: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads one key if it was modified after revision `after`.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn read_if_newer(&self, key: &str, after: u64) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreEntry)>, StoreError>;

    /// Compares and swaps one key.
    ///
    /// # Errors
    ///
    /// Returns why the call failed; see [`StoreError`] for whether it may have been applied.
    fn compare_and_swap(&self, swap: &CompareAndSwap) -> Result<SwapResult, StoreError>;

    /// Grants a lease that expires `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns `true` if it still existed.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Returns `true` if a lease exists, without renewing it.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn lease_exists(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Revokes a lease, which deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits up to `timeout` for a modification of the key at or after `start_revision`.
    ///
    /// Returns `None` if there was none.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn watch(
        &self,
        key: &str,
        start_revision: u64,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError>;
}

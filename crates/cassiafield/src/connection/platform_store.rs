use std::{fmt, time::Duration};

/// Time after which a store call counts as unanswered.
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

/// A key's value and the revision of its last change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// Revision of the last change.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompareAndSwap {
    /// The key.
    pub key: String,
    /// Revision that the key must have; `None` means that it must be absent.
    pub expected: Option<u64>,
    /// The new value; `None` removes the key.
    pub value: Option<Vec<u8>>,
    /// Lease with which the key ends.
    pub lease: Option<LeaseId>,
}

/// Whether a swap took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SwapResult {
    /// The swap took effect at this revision.
    Applied(u64),
    /// The key had another revision.
    Conflict,
}

/// Why a store call has no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The call did not reach the store and has no effect.
    NotSent(String),
    /// The call may have taken effect or may still do so.
    Unknown(String),
    /// The store answered that it does not take the call, which has no effect.
    Refused(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::NotSent(reason) => write!(f, "the store cannot be reached: {reason}"),
            StoreError::Unknown(reason) => write!(f, "the store did not answer: {reason}"),
            StoreError::Refused(reason) => write!(f, "the store refused the call: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's key-value service.
pub trait PlatformStore: Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn read(&self, key: &str) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads one key if it has changed after revision `than`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn read_if_newer(&self, key: &str, after: u64) -> Result<Option<StoreEntry>, StoreError>;

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreEntry)>, StoreError>;

    /// Compares and swaps one key.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; see [`StoreError`] for what may have happened.
    fn compare_and_swap(&self, swap: &CompareAndSwap) -> Result<SwapResult, StoreError>;

    /// Grants a lease that ends `ttl` after its last renewal.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Says whether a lease exists, without renewing it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn lease_exists(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease and removes its keys.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Waits until the key changes at or after revision `from`, for at most `patience`.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn watch(
        &self,
        key: &str,
        start_revision: u64,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError>;
}

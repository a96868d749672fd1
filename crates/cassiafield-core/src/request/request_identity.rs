use {
    crate::request::{PromptPrefix, RequestFingerprint},
    std::cell::OnceCell,
};

/// What a request has in common with others that may end endpoints as it does.
///
/// The fingerprint takes the whole body to compute; it is left out until it is needed.
#[derive(Clone, Debug, Default)]
pub struct RequestIdentity {
    prefix: PromptPrefix,
    attempt: u64,
    fingerprint: OnceCell<RequestFingerprint>,
}

impl RequestIdentity {
    /// Creates the identity of one attempt of a caller; `attempt` differs between attempts.
    #[must_use]
    pub fn new(prefix: PromptPrefix, attempt: u64) -> Self {
        Self { prefix, attempt, fingerprint: OnceCell::new() }
    }

    /// Returns the parts of its prompt that other requests may share.
    #[must_use]
    pub const fn prefix(&self) -> &PromptPrefix {
        &self.prefix
    }

    /// Returns a number that tells attempts apart.
    #[must_use]
    pub const fn attempt(&self) -> u64 {
        self.attempt
    }

    /// Returns the fingerprint, if it has been computed.
    #[must_use]
    pub fn fingerprint(&self) -> Option<RequestFingerprint> {
        self.fingerprint.get().copied()
    }

    /// Computes the fingerprint unless that has been done.
    pub fn identify(&self, compute: impl FnOnce() -> RequestFingerprint) {
        self.fingerprint.get_or_init(compute);
    }
}

impl From<PromptPrefix> for RequestIdentity {
    fn from(prefix: PromptPrefix) -> Self {
        let attempt = prefix.own();
        Self::new(prefix, attempt)
    }
}

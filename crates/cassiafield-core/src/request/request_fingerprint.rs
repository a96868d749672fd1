use {
    sha2::{Digest as _, Sha256},
    std::{fmt, str::FromStr},
};

/// What tells a request from others, whichever host it comes to: equal for attempts with the same
/// method, path and query, host, organisation, prompt and body.
///
/// It is the same on all hosts and in all versions, and does not reveal the content.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(u128);

/// Reason why a text is no fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestFingerprintError;

/// The parts of a request that make up its fingerprint.
#[derive(Clone, Copy, Debug, Default)]
pub struct FingerprintSource<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the caller asked for.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// The organisation, if the request has one.
    pub organisation: &'a str,
    /// The parts of the prompt, as the caller stated them.
    pub prompt: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

impl From<FingerprintSource<'_>> for RequestFingerprint {
    fn from(source: FingerprintSource<'_>) -> Self {
        let FingerprintSource { method, host, target, organisation, prompt, body } = source;
        let mut hasher = Sha256::new();
        let fields =
            [method.as_bytes(), host, target.as_bytes(), organisation.as_bytes(), prompt, body];
        for field in fields {
            // The length keeps the end of one field from counting as the start of the next.
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        Self(digest.iter().take(16).fold(0, |value, byte| value << 8 | u128::from(*byte)))
    }
}

impl FromStr for RequestFingerprint {
    type Err = RequestFingerprintError;

    fn from_str(text: &str) -> Result<Self, RequestFingerprintError> {
        let is_valid = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u128::from_str_radix(text, 16).ok().filter(|_| is_valid);
        value.map(Self).ok_or(RequestFingerprintError)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Display for RequestFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a fingerprint has 32 hexadecimal digits")
    }
}

impl std::error::Error for RequestFingerprintError {}

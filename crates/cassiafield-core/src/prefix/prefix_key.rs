use std::{fmt, str::FromStr};

/// Identifies the beginning of a prompt by its content: service, model, and all parts up to its end.
///
/// Equal on all hosts and in all releases. It is no proof: two beginnings may have the same key, so
/// a key decides where a request goes and never what it is answered with.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefixKey(u64);

/// Reason why a text is no key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixKeyError;

impl PrefixKey {
    /// Offset basis of the 64-bit FNV-1a hash.
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    /// Prime of the 64-bit FNV-1a hash.
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    /// Returns the key of the empty beginning.
    #[must_use]
    pub(super) const fn empty() -> Self {
        Self(Self::OFFSET_BASIS)
    }

    /// Returns the key of this beginning followed by `content`.
    #[must_use]
    pub(super) fn extended(self, content: &[u8]) -> Self {
        // A length keeps the end of one part from counting as the start of the next.
        let length = (content.len() as u64).to_be_bytes();
        let bytes = length.iter().chain(content);
        Self(bytes.fold(self.0, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(Self::PRIME)))
    }
}

impl fmt::Display for PrefixKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for PrefixKey {
    type Err = PrefixKeyError;

    fn from_str(text: &str) -> Result<Self, PrefixKeyError> {
        let is_valid = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value = u64::from_str_radix(text, 16).ok().filter(|_| is_valid);
        value.map(Self).ok_or(PrefixKeyError)
    }
}

impl fmt::Display for PrefixKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a key of a prompt's beginning is not 16 hexadecimal digits")
    }
}

impl std::error::Error for PrefixKeyError {}

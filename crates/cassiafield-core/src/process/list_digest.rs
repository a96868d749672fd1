use {
    crate::process::{EndpointEntry, ListedEntry},
    sha2::{Digest as _, Sha256},
    std::fmt,
};

/// Digest of a list of endpoints: equal on two hosts that have the same entries at the same revisions.
///
/// It is the same on all platforms.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct ListDigest(u64);

impl ListDigest {
    /// Returns the digest of a list with one entry.
    #[must_use]
    pub fn of(listed: &ListedEntry) -> Self {
        Self(entry_digest(listed))
    }

    /// Returns the digest of two lists together, in any order.
    #[must_use]
    pub const fn with(self, other: Self) -> Self {
        Self(self.0 ^ other.0)
    }
}

impl fmt::Display for ListDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

fn entry_digest(listed: &ListedEntry) -> u64 {
    let ListedEntry { revision, entry } = listed;
    let EndpointEntry {
        endpoint,
        incarnation,
        service,
        address,
        zone,
        is_leaving,
        slots,
        accelerator,
        span,
        orders,
        software,
    } = entry;
    let mut hasher = Sha256::new();
    let (start, end) = span.map_or((0, 0), |span| (span.start(), span.end()));
    let numbers = [
        *revision,
        incarnation.0,
        u64::from(u32::from(*address.ip())),
        u64::from(address.port()),
        u64::from(*is_leaving),
        u64::from(*slots),
        u64::from(start),
        u64::from(end),
        *orders,
    ];
    for number in numbers {
        hasher.update(number.to_be_bytes());
    }
    let accelerator = accelerator.as_ref().map_or("", |kind| kind.as_str());
    for text in [endpoint.as_str(), service.as_str(), zone.as_str(), accelerator, software.as_str()]
    {
        // The length keeps the end of one text from counting as the start of the next.
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    hasher.finalize().iter().take(8).fold(0, |value, byte| value << 8 | u64::from(*byte))
}

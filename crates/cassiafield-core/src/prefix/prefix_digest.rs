use {
    crate::{ids::EndpointId, prefix::PrefixKey, process::EndpointIncarnation},
    std::{collections::BTreeMap, time::Duration},
};

/// A beginning that an endpoint holds, as hosts exchange it.
///
/// It has an age instead of a time since the clocks of hosts differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DigestEntry {
    /// Identifies the beginning.
    #[serde(rename = "k")]
    pub key: PrefixKey,
    /// Length of the beginning, in tokens.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// Length of the next shorter beginning that it contains, in tokens.
    #[serde(rename = "b")]
    pub base_tokens: u32,
    /// Time since it was last used there, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// The most used beginnings that a host has seen endpoints read, for the hosts of its zone.
///
/// It holds what the host has learned itself and nothing that it was told.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefixDigest {
    /// Beginnings by endpoint and its run.
    #[serde(rename = "h")]
    pub held: BTreeMap<EndpointId, (EndpointIncarnation, Vec<DigestEntry>)>,
}

impl PrefixDigest {
    /// Maximum number of entries that are sent, and read, per message.
    pub const MAX_ENTRIES: usize = 32;
    /// Maximum size of a digest, in bytes, if endpoints have names of up to 24 characters.
    ///
    /// An entry takes up to 32 bytes, and the first one of an endpoint 37 more.
    pub const MAX_BYTES: usize = 2_304;
    /// Interval between the digests of a host while its zone has at most [`Self::DENSE_HOSTS`] hosts.
    const INTERVAL: Duration = Duration::from_secs(1);
    /// Number of hosts of a zone beyond which each sends less often, so that every host receives at most
    /// 17 KB a second, which is what a host may spend on control.
    const DENSE_HOSTS: usize = 7;

    /// Returns the interval between two digests of a host in a zone of `hosts` hosts.
    #[must_use]
    pub fn interval(hosts: usize) -> Duration {
        let factor = hosts.max(Self::DENSE_HOSTS) as f64 / Self::DENSE_HOSTS as f64;
        Self::INTERVAL.mul_f64(factor)
    }

    /// Returns how many bytes a host of a zone of `hosts` hosts receives per second at most.
    #[must_use]
    pub fn bytes_per_second(hosts: usize) -> usize {
        let digests = hosts.saturating_sub(1) as f64 / Self::interval(hosts).as_secs_f64();
        (digests * Self::MAX_BYTES as f64).ceil() as usize
    }

    /// Returns `true` if there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

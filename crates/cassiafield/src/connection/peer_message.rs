use {
    crate::connection::LoadDigest,
    cassiafield_core::{
        ids::{EndpointId, HostId, ListRevision, ZoneId},
        version::FleetLists,
    },
    compact_str::CompactString,
    std::collections::BTreeSet,
};

/// A message between hosts with its sender.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerEnvelope<T> {
    /// The sending host.
    pub sender: HostId,
    /// The message.
    pub message: T,
}

/// The state that a host sends to its peers.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerDigest {
    /// The host's `address:port` for peer connections.
    pub address: CompactString,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// Revision of the host's current lists.
    pub revision: ListRevision,
    /// Whether the host is shutting down.
    pub stopping: bool,
    /// Endpoints that the host knows to be leaving.
    pub leaving: BTreeSet<EndpointId>,
    /// The host's load; `None` in digests for other zones.
    pub load: Option<LoadDigest>,
}

/// The current lists of a peer.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerLists {
    /// Their revision.
    pub revision: ListRevision,
    /// The lists.
    pub lists: FleetLists,
}

/// Requests that a peer renew a lease at the platform store.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseRenewalRequest {
    /// The lease.
    pub lease: crate::connection::LeaseId,
}

/// The result of a lease renewal through a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum LeaseRenewalResponse {
    /// The store renewed the lease.
    Renewed,
    /// The lease has expired or was revoked.
    Gone,
    /// The peer cannot reach the store either.
    Unreachable,
}

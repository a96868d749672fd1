use {
    crate::connection::LoadDigest,
    cassiafield_core::{
        ids::{EndpointId, HostId, ListRevision, ZoneId},
        version::FleetLists,
    },
    compact_str::CompactString,
    std::collections::BTreeSet,
};

/// A message with its sender.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerEnvelope<T> {
    /// The host that sends it.
    pub sender: HostId,
    /// The message.
    pub message: T,
}

/// What a host tells its peers about itself.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerDigest {
    /// Its `address:port` for peers.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Revision of the lists in force.
    pub revision: ListRevision,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Endpoints that it knows to be leaving.
    pub leaving: BTreeSet<EndpointId>,
    /// Its load; hosts of other zones are not told.
    pub load: Option<LoadDigest>,
}

/// The lists as a peer has them.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PeerLists {
    /// Their revision.
    pub revision: ListRevision,
    /// The lists.
    pub lists: FleetLists,
}

/// Asks a peer to renew a lease with the platform store.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LeaseRenewalRequest {
    /// The lease.
    pub lease: crate::connection::LeaseId,
}

/// What a peer found out about a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub enum LeaseRenewalResponse {
    /// The store renewed it.
    Renewed,
    /// The store says that it has ended.
    Gone,
    /// The peer does not reach the store either.
    Unreachable,
}

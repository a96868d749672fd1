use {
    crate::{
        ids::{AcceleratorKind, EndpointId, ServiceId, ZoneId},
        process::EndpointLife,
        request::LayerSpan,
    },
    compact_str::CompactString,
    std::net::SocketAddrV4,
};

/// Identifies one run of an endpoint; a restart of the endpoint has a higher number.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointIncarnation(pub u64);

/// The entry of an endpoint in the platform's list.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation that wrote the entry.
    pub incarnation: EndpointIncarnation,
    /// The service to which it belongs.
    pub service: ServiceId,
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it accepts no new work.
    pub is_leaving: bool,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// The kind of its accelerator, if it runs a model.
    pub accelerator: Option<AcceleratorKind>,
    /// The layers that it holds, if any.
    pub span: Option<LayerSpan>,
    /// Number of layer orders that it has accepted in this incarnation.
    pub orders: u64,
    /// Version of its software.
    pub software: CompactString,
}

impl EndpointEntry {
    /// Returns the run of the endpoint that wrote the entry.
    #[must_use]
    pub fn life(&self) -> EndpointLife {
        EndpointLife { endpoint: self.endpoint.clone(), incarnation: self.incarnation }
    }
}

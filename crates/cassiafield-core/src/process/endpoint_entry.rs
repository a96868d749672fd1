use {
    crate::{
        ids::{AcceleratorKind, EndpointId, ServiceId, ZoneId},
        request::LayerSpan,
    },
    compact_str::CompactString,
    std::net::SocketAddrV4,
};

/// One start of an endpoint; a higher one of the same endpoint is later.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointIncarnation(pub u64);

/// What an endpoint says of itself in the platform's list.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointEntry {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Which of its starts said so.
    pub incarnation: EndpointIncarnation,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Its kind of accelerator, if it runs a model.
    pub accelerator: Option<AcceleratorKind>,
    /// The layers that it holds, if any.
    pub span: Option<LayerSpan>,
    /// Number of orders that it has accepted in this incarnation.
    pub orders: u64,
    /// Version of its software.
    pub software: CompactString,
}

use {
    crate::{
        ids::{AcceleratorKind, EndpointId, ModelId, ServiceId, ZoneId},
        request::LayerSpan,
    },
    compact_str::CompactString,
};

/// The role of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRole {
    /// Runs a span of the layers of a model.
    Stage {
        /// The model.
        model: ModelId,
        /// The model's number of layers.
        layers: u16,
        /// The layers that the endpoint runs.
        span: LayerSpan,
        /// The kind of accelerator.
        accelerator: AcceleratorKind,
    },
    /// Serves requests to a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// Whether an endpoint accepts new work, according to the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// The endpoint accepts new work.
    Live,
    /// The endpoint finishes its requests and accepts no new work.
    Leaving,
}

/// One endpoint of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its `address:port`.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its role.
    pub role: EndpointRole,
    /// Whether it accepts new work.
    pub state: EndpointState,
    /// Number of requests that it runs concurrently without queueing.
    pub slots: u32,
    /// One-way latency to the next stage in the same zone, in microseconds.
    pub link_micros: u32,
}

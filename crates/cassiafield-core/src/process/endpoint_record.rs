use {
    crate::{
        ids::{AcceleratorKind, EndpointId, ModelId, ServiceId, ZoneId},
        request::LayerSpan,
    },
    compact_str::CompactString,
};

/// What an endpoint does.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointRole {
    /// Runs a span of a model's layers.
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
    /// Answers calls to a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// Whether an endpoint takes new work, as the platform's list says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// One endpoint as the platform's list describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointRecord {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its `address:port`.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
    /// What it does.
    pub role: EndpointRole,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Requests that it runs at the same time without queueing.
    pub slots: u32,
    /// One-way time of its link to the next stage in its own zone, in microseconds.
    pub link_micros: u32,
}

use {
    crate::{
        process::{EndpointEntry, EndpointIncarnation},
        request::LayerSpan,
    },
    compact_str::CompactString,
};

/// What an endpoint must not have changed for a beginning read earlier to be of use: its run, the
/// version of its software, and its layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HolderState {
    incarnation: EndpointIncarnation,
    software: CompactString,
    span: LayerSpan,
}

impl HolderState {
    /// Returns the present state of an endpoint; `None` if it holds no layers.
    #[must_use]
    pub fn of(entry: &EndpointEntry) -> Option<Self> {
        Some(Self {
            incarnation: entry.incarnation,
            software: entry.software.clone(),
            span: entry.span?,
        })
    }

    /// Returns the run of the endpoint.
    #[must_use]
    pub const fn incarnation(&self) -> EndpointIncarnation {
        self.incarnation
    }
}

use {
    crate::{
        ids::{EndpointId, HostId, Moment},
        request::StageRoute,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Streams and memory that this host, and those that told it, have at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineUse {
    /// Streams that run there.
    pub streams: u32,
    /// Tokens that they may come to hold, each counted once a layer.
    pub token_layers: f64,
}

/// What one stream has booked at the endpoints of its route.
#[derive(Debug)]
pub struct LoadTicket {
    parts: Vec<(EndpointId, f64)>,
}

/// The load of every endpoint as far as this host knows it.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    own: BTreeMap<EndpointId, EngineUse>,
    remote: HashMap<HostId, (Moment, BTreeMap<EndpointId, EngineUse>)>,
}

impl EngineLoad {
    /// Time after which what a peer said counts for nothing.
    const REMOTE_RETENTION: Duration = Duration::from_millis(1_500);

    /// Books a stream of `tokens` on a route.
    #[must_use]
    pub fn book(&mut self, route: &StageRoute, tokens: u32) -> LoadTicket {
        let mut parts = Vec::with_capacity(route.stages().len());
        for stage in route.stages() {
            let amount = f64::from(tokens) * f64::from(stage.span.layers());
            let used = self.own.entry(stage.endpoint.clone()).or_default();
            used.streams += 1;
            used.token_layers += amount;
            parts.push((stage.endpoint.clone(), amount));
        }
        LoadTicket { parts }
    }

    /// Gives back what a stream has booked.
    pub fn release(&mut self, ticket: LoadTicket) {
        for (endpoint, amount) in ticket.parts {
            if let Some(used) = self.own.get_mut(&endpoint) {
                used.streams = used.streams.saturating_sub(1);
                used.token_layers = (used.token_layers - amount).max(0.0);
                if used.streams == 0 {
                    self.own.remove(&endpoint);
                }
            }
        }
    }

    /// Returns what this host has booked.
    #[must_use]
    pub const fn own(&self) -> &BTreeMap<EndpointId, EngineUse> {
        &self.own
    }

    /// Takes a peer's word of what it has booked.
    pub fn note_peer(&mut self, peer: HostId, used: BTreeMap<EndpointId, EngineUse>, now: Moment) {
        self.remote.insert(peer, (now, used));
    }

    /// Returns the load of an endpoint over this host and its peers.
    #[must_use]
    pub fn total(&self, endpoint: &EndpointId, now: Moment) -> EngineUse {
        let mut total = self.own.get(endpoint).copied().unwrap_or_default();
        for (heard, used) in self.remote.values() {
            if now.since(*heard) < Self::REMOTE_RETENTION {
                if let Some(used) = used.get(endpoint) {
                    total.streams += used.streams;
                    total.token_layers += used.token_layers;
                }
            }
        }
        total
    }
}

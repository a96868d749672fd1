use {
    crate::{
        connection::StoreReader,
        process::{
            configuration_sync::ConfigurationSync,
            endpoint_sync::{EndpointRequests, EndpointSync},
            freshness_sync::FreshnessSync,
            GatewayState,
        },
    },
    cassiafield_core::process::ReadSchedule,
    std::rc::Rc,
};

/// Synchronises a host's configuration and endpoints with the store.
///
/// One host of each availability zone reads the store and the others query it, so that the number
/// of store calls grows with zones and changes rather than with hosts. Where the limits leave time
/// for one more query, one host reads for all zones. A host whose reader is unresponsive or outdated
/// reads the store itself; if the store fails, it queries a random peer. A host that hears of a newer
/// revision of the configuration reads it at once.
pub struct StoreSync {
    configuration: ConfigurationSync,
    endpoints: EndpointSync,
    freshness: FreshnessSync,
}

impl StoreSync {
    /// Creates the synchronisation of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let reader = |purpose| {
            StoreReader::new(
                Rc::clone(&state.codec),
                state.settings.store_address,
                state.metrics.store_calls(),
                purpose,
            )
        };
        let (configuration, endpoints) = (reader("configuration"), reader("endpoints"));
        let schedule = ReadSchedule::new(state.settings.sync_intervals());
        let requests = Rc::new(EndpointRequests::new(schedule));
        let freshness = FreshnessSync::new(Rc::clone(&state));
        Self {
            freshness,
            configuration: ConfigurationSync::new(
                Rc::clone(&state),
                configuration,
                Rc::clone(&requests),
            ),
            endpoints: EndpointSync::new(state, endpoints, requests),
        }
    }

    /// Synchronises periodically; never returns.
    pub async fn run(self) {
        tokio::join!(self.configuration.run(), self.endpoints.run(), self.freshness.run());
    }
}

use {
    crate::{
        connection::{ConnectionError, HttpConnection},
        process::{
            health_probe::{fetch_report, HealthProbe},
            GatewayState,
        },
    },
    cassiafield_core::ids::EndpointId,
    std::{collections::HashMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Polls the reports of an availability zone's model endpoints; active on the zone's leader only.
pub struct EngineMonitor {
    state: Rc<GatewayState>,
    connections: HashMap<EndpointId, Option<HttpConnection>>,
}

impl EngineMonitor {
    /// Pause between two rounds of polling.
    const POLL_INTERVAL: Duration = Duration::from_millis(1_100);

    /// Creates the monitor of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self { state, connections: HashMap::new() }
    }

    /// Polls periodically; never returns.
    pub async fn run(mut self) {
        loop {
            sleep(Self::POLL_INTERVAL).await;
            if self.state.is_zone_leader() {
                self.poll_all().await;
            } else {
                self.connections.clear();
            }
        }
    }

    async fn poll_all(&mut self) {
        let layer_holders = self.layer_holders();
        self.connections
            .retain(|endpoint, _| layer_holders.iter().any(|(held, _)| held == endpoint));
        for (endpoint, address) in layer_holders {
            let connection = self.connections.entry(endpoint.clone()).or_default();
            self.state.metrics.count_probe();
            let request = fetch_report(&self.state, address, connection);
            let now = self.state.now();
            match timeout(HealthProbe::PROBE_TIMEOUT, request).await {
                Ok(Ok(report)) => {
                    let mut load = self.state.load.borrow_mut();
                    load.record_reading(endpoint.clone(), report.reading, now);
                    drop(load);
                    self.state.directory.borrow_mut().record_success(&endpoint, None);
                }
                Ok(Err(_)) | Err(_) => {
                    *connection = None;
                    self.state.record_endpoint_failure(&endpoint, &ConnectionError::TimedOut);
                }
            }
        }
    }

    /// Returns the endpoints of the host's availability zone that hold layers and are not leaving.
    fn layer_holders(&self) -> Vec<(EndpointId, SocketAddrV4)> {
        let directory = self.state.directory.borrow();
        let zone = &self.state.settings.zone;
        let layer_holders = directory
            .entries()
            .filter(|entry| &entry.zone == zone && entry.span.is_some() && !entry.is_leaving);
        layer_holders.map(|entry| (entry.endpoint.clone(), entry.address)).collect()
    }
}

use {
    crate::{
        connection::{ChannelFault, HttpChannel},
        process::{
            health_probe::{ask_report, HealthProbe},
            GatewayState,
        },
    },
    cassiafield_core::ids::EndpointId,
    std::{collections::HashMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Reads the reports of an availability zone's model endpoints, on one host of the zone.
pub struct EngineWatch {
    state: Rc<GatewayState>,
    channels: HashMap<EndpointId, Option<HttpChannel>>,
}

impl EngineWatch {
    /// Pause between two rounds of reports.
    const ROUND_PAUSE: Duration = Duration::from_millis(1_100);

    /// Creates the watch of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self { state, channels: HashMap::new() }
    }

    /// Runs for as long as the host.
    pub async fn run(mut self) {
        loop {
            sleep(Self::ROUND_PAUSE).await;
            if self.state.is_zone_leader() {
                self.read_all().await;
            } else {
                self.channels.clear();
            }
        }
    }

    async fn read_all(&mut self) {
        let holders = self.holders();
        self.channels.retain(|endpoint, _| holders.iter().any(|(held, _)| held == endpoint));
        for (endpoint, address) in holders {
            let channel = self.channels.entry(endpoint.clone()).or_default();
            self.state.metrics.probed();
            let asked = ask_report(&self.state, address, channel);
            let now = self.state.now();
            match timeout(HealthProbe::LIMIT, asked).await {
                Ok(Ok(report)) => {
                    let mut load = self.state.load.borrow_mut();
                    load.record_reading(endpoint.clone(), report.reading, now);
                    drop(load);
                    self.state.directory.borrow_mut().record_success(&endpoint, None);
                }
                Ok(Err(_)) | Err(_) => {
                    *channel = None;
                    self.state.endpoint_failed(&endpoint, &ChannelFault::Silent);
                }
            }
        }
    }

    /// Returns the endpoints of the host's availability zone that hold layers.
    fn holders(&self) -> Vec<(EndpointId, SocketAddrV4)> {
        let directory = self.state.directory.borrow();
        let zone = &self.state.profile.zone;
        let holders = directory
            .entries()
            .filter(|entry| &entry.zone == zone && entry.span.is_some() && !entry.is_leaving);
        holders.map(|entry| (entry.endpoint.clone(), entry.address)).collect()
    }
}

use {
    crate::{
        connection::HttpConnection,
        process::{
            health_probe::{fetch_report, HealthProbe},
            GatewayState, SenderKind,
        },
    },
    cassiafield_core::{connections::ConnectionPurpose, ids::EndpointId},
    std::{collections::HashMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Polls the reports of an availability zone's model endpoints; active on the zone's leader only.
pub struct EngineMonitor {
    state: Rc<GatewayState>,
    connections: HashMap<EndpointId, Option<HttpConnection>>,
}

impl EngineMonitor {
    /// Pause between two rounds of polling.
    const POLL_INTERVAL: Duration = Duration::from_millis(1_100);
    /// Shortest pause between two rounds of polling.
    const MIN_POLL_INTERVAL: Duration = Duration::from_millis(250);

    /// Creates the monitor of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        Self { state, connections: HashMap::new() }
    }

    /// Polls periodically, and at once when a peer finds an endpoint unresponsive; never returns.
    pub async fn run(mut self) {
        loop {
            // A request during the pause after a poll is handled when the pause ends.
            sleep(Self::MIN_POLL_INTERVAL).await;
            let rest = Self::POLL_INTERVAL - Self::MIN_POLL_INTERVAL;
            // The poll follows in either case.
            drop(timeout(rest, self.state.poll_requested.notified()).await);
            if self.state.is_zone_leader() && !self.state.gives_up_lead() {
                self.poll_all().await;
            } else {
                self.connections.clear();
            }
        }
    }

    /// Polls all endpoints at the same time: one that does not respond must not delay the others.
    async fn poll_all(&mut self) {
        let mut polls = JoinSet::new();
        let mut connections = std::mem::take(&mut self.connections);
        for (endpoint, address) in self.layer_holders() {
            let connection = connections.remove(&endpoint).flatten();
            let poll = poll_endpoint(Rc::clone(&self.state), endpoint, address, connection);
            polls.spawn_local(poll);
        }
        while let Some(result) = polls.join_next().await {
            if let Ok((endpoint, connection)) = result {
                self.connections.insert(endpoint, connection);
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

/// Polls an endpoint; returns its connection unless the poll failed.
async fn poll_endpoint(
    state: Rc<GatewayState>,
    endpoint: EndpointId,
    address: SocketAddrV4,
    connection: Option<HttpConnection>,
) -> (EndpointId, Option<HttpConnection>) {
    if !state.begin_send(&endpoint, SenderKind::Poll) {
        return (endpoint, connection);
    }
    state.metrics.count_probe();
    let kept = connection.filter(HttpConnection::is_ready);
    let is_reused = kept.is_some();
    let request = async {
        let open = match kept {
            Some(open) => open,
            None => HttpConnection::connect(address, HealthProbe::PROBE_TIMEOUT).await?,
        };
        let purpose = ConnectionPurpose::Poll;
        fetch_report(&state, &endpoint, address, open, purpose, is_reused).await
    };
    let now = state.now();
    let polled = timeout(HealthProbe::PROBE_TIMEOUT, request).await;
    let mut connection = None;
    if let Ok(Ok((report, open))) = polled {
        connection = Some(open);
        state.load.borrow_mut().record_reading(endpoint.clone(), report.reading, now);
        state.directory.borrow_mut().record_response(&endpoint, now);
        if let Some(service) = state.service_of(&endpoint) {
            state.record_answer(&service);
        }
    } else {
        // An endpoint that refuses its report and asks for a pause has responded.
        if !state.is_paused(&endpoint) {
            state.record_probe_failure(&endpoint, now).await;
        }
    }
    (endpoint, connection)
}

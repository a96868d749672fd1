use {
    crate::{
        connection::{
            CallerConnection, CallerListener, CallerService as _, ConnectionRegistry, PlatformCodec,
        },
        process::{
            health_probe::HealthProbe,
            monitoring_server::{MonitoringRequest, MonitoringServer},
            verdict_keeper::VerdictKeeper,
            EngineMonitor, GatewaySettings, GatewayState, LayerPlacer, PeerLink, ProcessSignals,
            StoreSync,
        },
        request::{CarrierService, DryRunService, HostService},
    },
    anyhow::Context as _,
    cassiafield::process::{LogEvent, RequestDecision},
    cassiafield_core::{ids::CrashSubject, process::CloseReason, resources::ListenerKind},
    http::{Method, StatusCode},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::{spawn_local, JoinHandle, LocalSet},
        time::sleep,
    },
};

/// Runs one host on the calling thread until SIGTERM.
pub struct GatewayServer {
    state: Rc<GatewayState>,
}

impl GatewayServer {
    /// Path on the metrics address of the parts of prompts that are kept from endpoints.
    const PROMPT_PARTS_PATH: &'static str = "/prompt-parts";
    /// Time before the platform's stop limit at which a stopping host exits in any case.
    const STOP_MARGIN: Duration = Duration::from_millis(250);
    /// Interval at which a stopping host checks for requests in flight.
    const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

    /// Creates the server of a host.
    #[must_use]
    pub fn new(settings: GatewaySettings, codec: Box<dyn PlatformCodec>) -> Self {
        Self { state: Rc::new(GatewayState::new(settings, Rc::from(codec))) }
    }

    /// Serves until SIGTERM, then until all callers have been answered or the stop limit is near.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub fn run(self, signals: ProcessSignals) -> anyhow::Result<()> {
        let ProcessSignals { runtime, mut terminate, mut reload } = signals;
        LocalSet::new().block_on(&runtime, async {
            let host = tokio::select! {
                biased;
                _ = terminate.recv() => return Ok(()),
                host = self.start() => host?,
            };
            loop {
                tokio::select! {
                    _ = terminate.recv() => break,
                    // Settings are read once at startup.
                    _ = reload.recv() => LogEvent::SettingsReloaded.log("nothing to change"),
                }
            }
            host.close().await;
            Ok(())
        })
    }

    /// Starts serving; must be called within a [`LocalSet`].
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub async fn start(self) -> anyhow::Result<RunningHost> {
        let state = self.state;
        let settings = &state.settings;
        let resources = || Rc::clone(&state.resources);
        let callers =
            CallerListener::bind(settings.caller_address, ListenerKind::Callers, resources())
                .with_context(|| format!("cannot listen on {}", settings.caller_address))?;
        let readiness_server =
            MonitoringServer::bind(settings.ready_address, ListenerKind::Readiness, resources())
                .await
                .with_context(|| format!("cannot listen on {}", settings.ready_address))?;
        let caller_address = callers.address()?;
        let ready_address = readiness_server.address()?;
        LogEvent::HostStarted.log(format_args!(
            "host {} zone {} callers {caller_address} store {}",
            settings.host, settings.zone, settings.store_address,
        ));
        let service = Rc::new(HostService::new(Rc::clone(&state)));
        let connections = Rc::new(ConnectionRegistry::default());
        Self::serve_hosts(&state, &service, &connections);
        let metrics_address = Self::spawn_background(&state, readiness_server).await;
        let serving = callers.serve(Rc::clone(&service), Rc::clone(&connections));
        let listener = spawn_local(serving);
        Ok(RunningHost {
            state,
            service,
            connections,
            listener,
            caller_address,
            ready_address,
            metrics_address,
        })
    }

    /// Serves the requests that other hosts hand over.
    ///
    /// A host that cannot listen there serves its callers, and the others hand their requests elsewhere.
    fn serve_hosts(
        state: &Rc<GatewayState>,
        service: &Rc<HostService>,
        connections: &Rc<ConnectionRegistry>,
    ) {
        let address = state.settings.carry_address;
        let resources = Rc::clone(&state.resources);
        let bound = CallerListener::bind(address, ListenerKind::Hosts, resources);
        let bound = bound.and_then(|listener| Ok((listener.address()?, listener)));
        match bound {
            Ok((SocketAddr::V4(address), listener)) => {
                state.carry_address.set(Some(address));
                let service = Rc::new(CarrierService::new(Rc::clone(service)));
                spawn_local(listener.serve(service, Rc::clone(connections)));
            }
            Ok((SocketAddr::V6(_), _)) => unreachable!("bound to an IPv4 address"),
            Err(error) => LogEvent::AcceptFailed
                .log(format_args!("requests of other hosts at {address}: {error}")),
        }
    }

    /// Starts the background tasks; returns the address of the metrics, if they are served.
    async fn spawn_background(
        state: &Rc<GatewayState>,
        readiness_server: MonitoringServer,
    ) -> Option<SocketAddr> {
        let readiness = Rc::clone(state);
        spawn_local(readiness_server.serve(Rc::new(move |_| {
            let is_ready = readiness.is_ready();
            let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            (status, Vec::new())
        })));
        let mut metrics_address = None;
        let (address, resources) = (state.settings.metrics_address, Rc::clone(&state.resources));
        match MonitoringServer::bind(address, ListenerKind::Metrics, resources).await {
            Ok(server) => {
                let metrics = Rc::clone(state);
                let dry_runs = DryRunService::new(Rc::clone(state));
                metrics_address = server.address().ok();
                spawn_local(server.serve(Rc::new(move |request: MonitoringRequest<'_>| {
                    if request.path == DryRunService::PATH {
                        return dry_runs.answer(request.method, request.query, request.is_local);
                    }
                    match request.path.strip_prefix(Self::PROMPT_PARTS_PATH) {
                        Some(rest) => answer_operator(&metrics, request.method, rest),
                        None => encode_metrics(&metrics),
                    }
                })));
            }
            Err(error) => LogEvent::MetricsUnavailable.log(error),
        }
        spawn_local(StoreSync::new(Rc::clone(state)).run());
        spawn_local(LayerPlacer::new(Rc::clone(state)).run());
        spawn_local(EngineMonitor::new(Rc::clone(state)).run());
        spawn_local(HealthProbe::run_trials(Rc::clone(state)));
        spawn_local(Rc::clone(state).run_reach_trials());
        spawn_local(Rc::clone(state).run_connection_plans());
        spawn_local(VerdictKeeper::new(Rc::clone(state)).run());
        let link = Rc::new(PeerLink::new(Rc::clone(state)));
        spawn_local(Rc::clone(&link).maintain_host_entry());
        spawn_local(link.run_messages());
        metrics_address
    }
}

fn encode_metrics(state: &GatewayState) -> (StatusCode, Vec<u8>) {
    match state.metrics.encode(state.gauge_values()) {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
    }
}

/// Lists the parts of prompts and the requests that are kept from endpoints, or releases one of them
/// (`DELETE` of its identifier).
fn answer_operator(state: &GatewayState, method: &Method, rest: &str) -> (StatusCode, Vec<u8>) {
    let rest = rest.trim_start_matches('/');
    if method == Method::GET && rest.is_empty() {
        return (StatusCode::OK, state.describe_blocked_parts().into_bytes());
    }
    if method != Method::DELETE {
        let text = "only GET of the list and DELETE of a part are served\n";
        return (StatusCode::METHOD_NOT_ALLOWED, text.as_bytes().to_vec());
    }
    match rest.parse::<CrashSubject>() {
        Ok(subject) if state.release_subject(&subject) => (StatusCode::OK, b"released\n".to_vec()),
        Ok(_) => (StatusCode::NOT_FOUND, b"the part is not blocked here\n".to_vec()),
        Err(error) => (StatusCode::BAD_REQUEST, format!("{error}\n").into_bytes()),
    }
}

/// A host that serves requests.
pub struct RunningHost {
    state: Rc<GatewayState>,
    service: Rc<HostService>,
    connections: Rc<ConnectionRegistry>,
    listener: JoinHandle<()>,
    caller_address: SocketAddr,
    ready_address: SocketAddr,
    metrics_address: Option<SocketAddr>,
}

impl RunningHost {
    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address at which other hosts hand over requests; the callers' address if there is none.
    #[must_use]
    pub fn carry_address(&self) -> SocketAddr {
        self.state.carry_address.get().map_or(self.caller_address, SocketAddr::V4)
    }

    /// Returns the metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn metrics(&self) -> Result<Vec<u8>, prometheus::Error> {
        self.state.metrics.encode(self.state.gauge_values())
    }

    /// Returns the address of the readiness endpoint.
    #[must_use]
    pub const fn ready_address(&self) -> SocketAddr {
        self.ready_address
    }

    /// Returns the address of the metrics and of dry runs, if they are served.
    #[must_use]
    pub const fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_address
    }

    /// Stops the host.
    ///
    /// It asks callers to reconnect elsewhere, keeps serving for [`GatewayState::DRAIN_PERIOD`] and
    /// waits for requests in flight. Then it refuses what still arrives, and closes all connections.
    /// All this ends at the platform's limit.
    pub async fn close(mut self) {
        let state = Rc::clone(&self.state);
        state.begin_shutdown();
        let started_at = state.now();
        let stop_timeout = state.settings.stop_grace.saturating_sub(GatewayServer::STOP_MARGIN);
        LogEvent::HostStopping.log(format_args!(
            "{} requests in flight, {} connections",
            state.in_flight_count(),
            self.connections.len(),
        ));
        self.log_requests("start of the stop");
        let elapsed = || state.now().since(started_at);
        while elapsed() < GatewayState::DRAIN_PERIOD.min(stop_timeout) {
            sleep(GatewayServer::STOP_CHECK_INTERVAL).await;
        }
        self.log_requests("end of the drain period");
        let is_busy = || self.connections.is_any_busy() || state.in_flight_count() > 0;
        while is_busy() && elapsed() < stop_timeout {
            sleep(GatewayServer::STOP_CHECK_INTERVAL).await;
        }
        self.log_requests("exit");
        state.log_connections();
        // From here on no request is accepted, so no connection gets busy for long.
        state.begin_exit();
        self.connections.begin_exit();
        if let Err(error) = (&mut self.listener).await {
            LogEvent::AcceptFailed.log(error);
        }
        while !self.connections.is_empty() && elapsed() < stop_timeout {
            sleep(GatewayServer::STOP_CHECK_INTERVAL).await;
        }
        for connection in self.connections.busy_connections() {
            self.service.record_close(&connection, CloseReason::StopLimit);
        }
        LogEvent::HostStopped.log(format_args!("{} requests aborted", state.in_flight_count()));
    }

    /// Logs the requests in flight at a step of the stop.
    fn log_requests(&self, step: &str) {
        for connection in self.connections.busy_connections() {
            self.log_request(&connection, step);
        }
    }

    fn log_request(&self, connection: &CallerConnection, step: &str) {
        let activity = connection.activity();
        let request = connection.request().filter(|_| activity.has_open_request());
        let (id, route, age) = request.as_ref().map_or(("-", "-", Duration::ZERO), |request| {
            (&request.id, &request.route, self.state.now().since(request.received_at))
        });
        RequestDecision::new(LogEvent::RequestAtStop, id, self.state.snapshot()).log(format_args!(
            "{step}: route {route}, {} ms old, {}, {} bytes read and {} written",
            age.as_millis(),
            activity.phase(),
            activity.request_bytes(),
            activity.response_bytes(),
        ));
    }
}

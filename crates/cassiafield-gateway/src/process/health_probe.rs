use {
    crate::{
        connection::{EndpointReport, HttpConnection},
        process::{GatewayState, SenderKind},
    },
    bytes::Bytes,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::StageRoute,
    },
    http::{header, Request},
    http_body_util::Full,
    std::{cell::RefCell, collections::HashMap, net::SocketAddrV4, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Probes model endpoints and shares each result among the requests of this host.
#[derive(Debug, Default)]
pub(crate) struct HealthProbe {
    results: RefCell<HashMap<EndpointId, ProbeResult>>,
    /// Wakes requests that wait for data from a path when an endpoint is found unresponsive.
    unresponsive_found: Notify,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    started_at: Moment,
    outcome: ProbeOutcome,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeOutcome {
    Running,
    Responsive,
    Unresponsive,
}

impl HealthProbe {
    /// Time for which a failed probe is not repeated.
    const MAX_FAILURE_AGE: Duration = Duration::from_millis(800);
    /// Shortest interval between two probes of an endpoint that responds.
    const MIN_INTERVAL: Duration = Duration::from_millis(600);
    /// Timeout of a probe; endpoints answer probes without queueing.
    pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
    /// Interval between two checks for endpoints that are due to be probed again.
    const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

    /// Waits until endpoints of a route are known to be unresponsive, and returns them.
    ///
    /// It first waits for `delay`, a time in which a working path makes progress: a probe can fail
    /// although its endpoint works.
    pub(super) async fn wait_for_unresponsive(
        &self,
        state: &GatewayState,
        route: &StageRoute,
        delay: Duration,
    ) -> Vec<EndpointId> {
        sleep(delay).await;
        loop {
            let found = self.unresponsive_found.notified();
            let unresponsive = known_unresponsive(state, route);
            if !unresponsive.is_empty() {
                return unresponsive;
            }
            found.await;
        }
    }

    /// Wakes the requests that wait for data from a path.
    pub(super) fn notify_waiters(&self) {
        self.unresponsive_found.notify_waiters();
    }

    /// Returns `true` if an endpoint responds to a probe; reuses a recent result.
    pub(super) async fn is_responsive(
        &self,
        state: &GatewayState,
        endpoint: &EndpointId,
        address: SocketAddrV4,
    ) -> bool {
        let now = state.now();
        let known = self.results.borrow().get(endpoint).copied();
        match known.filter(|known| now.since(known.started_at) < Self::MAX_FAILURE_AGE) {
            Some(known) => known.outcome != ProbeOutcome::Unresponsive,
            None => self.probe(state, endpoint, address).await,
        }
    }

    /// Starts to probe the endpoints of a route that have not been probed since `since`.
    ///
    /// Requests that wait in [`HealthProbe::wait_for_unresponsive`] learn about failures.
    pub(super) fn start_probes(state: &Rc<GatewayState>, route: &StageRoute, since: Moment) {
        for stage in route.stages() {
            let Ok(address) = stage.address.parse::<SocketAddrV4>() else { continue };
            if state.is_paused(&stage.endpoint)
                || !state.probe.is_needed(&stage.endpoint, since, state.now())
            {
                continue;
            }
            let state = Rc::clone(state);
            let endpoint = stage.endpoint.clone();
            spawn_local(async move { state.probe.probe(&state, &endpoint, address).await });
        }
    }

    /// Returns `true` if no result after `since` is known for an endpoint and no probe is running.
    fn is_needed(&self, endpoint: &EndpointId, since: Moment, now: Moment) -> bool {
        let results = self.results.borrow();
        let Some(result) = results.get(endpoint) else { return true };
        match result.outcome {
            ProbeOutcome::Running => now.since(result.started_at) >= Self::MAX_FAILURE_AGE,
            ProbeOutcome::Responsive => {
                result.started_at < since && now.since(result.started_at) >= Self::MIN_INTERVAL
            }
            ProbeOutcome::Unresponsive => now.since(result.started_at) >= Self::MAX_FAILURE_AGE,
        }
    }

    async fn probe(
        &self,
        state: &GatewayState,
        endpoint: &EndpointId,
        address: SocketAddrV4,
    ) -> bool {
        // An endpoint that asked for a pause does respond; it has only been asked too often.
        if !state.begin_send(endpoint, SenderKind::Probe) {
            return true;
        }
        let started_at = state.now();
        let set_outcome = |outcome| {
            let result = ProbeResult { started_at, outcome };
            self.results.borrow_mut().insert(endpoint.clone(), result);
        };
        // Until this probe ends, concurrent callers treat the endpoint as responsive instead of
        // probing it too; a failed probe wakes them.
        set_outcome(ProbeOutcome::Running);
        state.metrics.count_probe();
        let mut connection = None;
        let result =
            timeout(Self::PROBE_TIMEOUT, fetch_report(state, endpoint, address, &mut connection))
                .await;
        // An endpoint that refuses its report and asks for a pause has responded.
        let is_responsive = matches!(result, Ok(Ok(_))) || state.is_paused(endpoint);
        if is_responsive {
            set_outcome(ProbeOutcome::Responsive);
            state.directory.borrow_mut().record_response(endpoint, started_at);
        } else {
            set_outcome(ProbeOutcome::Unresponsive);
            state.record_unresponsive(endpoint);
        }
        is_responsive
    }

    /// Probes unresponsive endpoints again from time to time; never returns.
    pub(super) async fn run_trials(state: Rc<GatewayState>) {
        loop {
            sleep(Self::TRIAL_INTERVAL).await;
            let now = state.now();
            let due: Vec<(EndpointId, SocketAddrV4)> = {
                let directory = state.directory.borrow();
                let due = directory.due_trials(now);
                due.map(|entry| (entry.endpoint.clone(), entry.address)).collect()
            };
            for (endpoint, address) in due {
                if state.probe.is_needed(&endpoint, now, now) {
                    let state = Rc::clone(&state);
                    spawn_local(async move { state.probe.probe(&state, &endpoint, address).await });
                }
            }
        }
    }
}

fn known_unresponsive(state: &GatewayState, route: &StageRoute) -> Vec<EndpointId> {
    let (directory, now) = (state.directory.borrow(), state.now());
    let endpoints = route.stages().iter().map(|stage| &stage.endpoint);
    endpoints.filter(|endpoint| directory.is_unresponsive(endpoint, now)).cloned().collect()
}

/// Fetches an endpoint's report, over `connection` if it is open.
///
/// # Errors
///
/// Returns why there is no report; the connection is dropped then.
pub(super) async fn fetch_report(
    state: &GatewayState,
    endpoint: &EndpointId,
    address: SocketAddrV4,
    connection: &mut Option<HttpConnection>,
) -> anyhow::Result<EndpointReport> {
    let mut open = match connection.take() {
        Some(open) if open.is_ready() => open,
        _ => HttpConnection::connect(address, HealthProbe::PROBE_TIMEOUT).await?,
    };
    let wire = state.codec.report_request();
    let request = Request::builder()
        .method(wire.method)
        .uri(wire.target)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let sent_at = state.now();
    let response = open.send(request, HealthProbe::PROBE_TIMEOUT).await?;
    state.record_pause(endpoint, response.status(), response.headers());
    state.record_limit(endpoint, SenderKind::Probe, response.headers(), sent_at);
    let body = state.bodies.collect(response.into_body(), GatewayState::MAX_REPORT_BYTES).await?;
    let report = state.codec.parse_report(&body)?;
    *connection = Some(open);
    Ok(report)
}

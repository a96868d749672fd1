use {
    crate::{
        connection::{EndpointReport, HttpConnection, PooledConnection},
        process::{EndpointExchange, GatewayState, SenderKind},
    },
    bytes::Bytes,
    cassiafield_core::{
        connections::ConnectionPurpose,
        ids::{EndpointId, Moment},
        request::RouteStage,
    },
    http::{header, HeaderMap, Request},
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

/// Why a path makes no progress.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathFailure {
    /// These of its endpoints do not respond.
    Unresponsive(Vec<EndpointId>),
    /// This host has no way to its endpoints.
    OutOfReach,
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
    /// Shortest interval between two probes of an endpoint that responds, while streams through it are late.
    const MIN_DOUBT_INTERVAL: Duration = Duration::from_millis(100);
    /// Timeout of a probe; endpoints answer probes without queueing.
    pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
    /// Part of that timeout for an idle connection; a new one has the rest.
    const KEPT_PROBE_TIMEOUT: Duration = Duration::from_millis(50);
    /// Interval between two checks for endpoints that are due to be probed again.
    const TRIAL_INTERVAL: Duration = Duration::from_millis(200);

    /// Waits until a path is known to have failed.
    ///
    /// It first waits for `delay`, a time in which a working path makes progress: a probe can fail
    /// although its endpoint works.
    pub(super) async fn wait_for_path_failure(
        &self,
        state: &GatewayState,
        stages: &[RouteStage],
        delay: Duration,
    ) -> PathFailure {
        sleep(delay).await;
        loop {
            let found = self.unresponsive_found.notified();
            if let Some(failure) = known_failure(state, stages) {
                return failure;
            }
            found.await;
        }
    }

    /// Forgets failed probes: this host had no way to the endpoints.
    pub(super) fn forget_failures(&self) {
        let mut results = self.results.borrow_mut();
        results.retain(|_, result| result.outcome != ProbeOutcome::Unresponsive);
    }

    /// Wakes the requests that wait for data from a path.
    pub(super) fn notify_waiters(&self) {
        self.unresponsive_found.notify_waiters();
    }

    /// Returns `true` if an endpoint responds to a probe; reuses a recent result.
    pub(super) async fn is_responsive(
        &self,
        state: &Rc<GatewayState>,
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

    /// Starts to probe the endpoints of a path that have not been probed since `since`.
    ///
    /// Requests that wait in [`HealthProbe::wait_for_path_failure`] learn about failures.
    pub(super) fn start_probes(state: &Rc<GatewayState>, stages: &[RouteStage], since: Moment) {
        Self::start_probes_if(state, stages, since, Self::is_needed);
    }

    fn start_probes_if(
        state: &Rc<GatewayState>,
        stages: &[RouteStage],
        since: Moment,
        is_needed: fn(&Self, &EndpointId, Moment, Moment) -> bool,
    ) {
        let targets = stages.iter().filter_map(|stage| {
            let address = stage.address.parse().ok()?;
            Some((stage.endpoint.clone(), address))
        });
        Self::probe_if(state, targets, since, is_needed);
    }

    fn probe_if(
        state: &Rc<GatewayState>,
        targets: impl IntoIterator<Item = (EndpointId, SocketAddrV4)>,
        since: Moment,
        is_needed: fn(&Self, &EndpointId, Moment, Moment) -> bool,
    ) {
        for (endpoint, address) in targets {
            if state.is_paused(&endpoint)
                || state.is_endpoint_out_of_reach(&endpoint)
                || !is_needed(&state.probe, &endpoint, since, state.now())
            {
                continue;
            }
            let state = Rc::clone(state);
            spawn_local(async move { state.probe.probe(&state, &endpoint, address).await });
        }
    }

    /// Returns `true` if neither a result after `since` nor a recent one is known for an endpoint of a late path,
    /// and no probe is running.
    fn is_needed_for_doubt(&self, endpoint: &EndpointId, since: Moment, now: Moment) -> bool {
        let results = self.results.borrow();
        let Some(result) = results.get(endpoint) else { return true };
        let age = now.since(result.started_at);
        match result.outcome {
            ProbeOutcome::Responsive => {
                result.started_at < since && age >= Self::MIN_DOUBT_INTERVAL
            }
            ProbeOutcome::Running | ProbeOutcome::Unresponsive => age >= Self::MAX_FAILURE_AGE,
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
        state: &Rc<GatewayState>,
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
        let answer = match probe_kept(state, endpoint, address).await {
            Some(answer) => Some(answer),
            None => probe_anew(state, endpoint, address, started_at).await,
        };
        // An endpoint that refuses its report and asks for a pause has responded.
        let is_responsive = answer.is_some() || state.is_paused(endpoint);
        if is_responsive {
            set_outcome(ProbeOutcome::Responsive);
            state.record_probe_answer(endpoint, started_at, answer != Some(ProbeAnswer::Kept));
        } else {
            set_outcome(ProbeOutcome::Unresponsive);
            state.record_probe_failure(endpoint, started_at).await;
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
                let due = due.filter(|entry| !state.is_out_of_reach(&entry.service));
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

impl GatewayState {
    /// Starts to probe the endpoints of a path without an event since `since` whose state is not known.
    pub(crate) fn start_doubt_probes(self: &Rc<Self>, stages: &[RouteStage], since: Moment) {
        let is_needed = HealthProbe::is_needed_for_doubt;
        HealthProbe::start_probes_if(self, stages, since, is_needed);
    }

    /// Starts to probe endpoints that a stream waits for, unless they were probed recently.
    pub(crate) fn start_return_probes<'a>(
        self: &Rc<Self>,
        endpoints: impl Iterator<Item = &'a EndpointId>,
    ) {
        let targets: Vec<(EndpointId, SocketAddrV4)> = {
            let directory = self.directory.borrow();
            let entries = endpoints.filter_map(|endpoint| directory.entry(endpoint));
            entries.map(|entry| (entry.endpoint.clone(), entry.address)).collect()
        };
        HealthProbe::probe_if(self, targets, self.now(), HealthProbe::is_needed);
    }

    /// Returns when the probe of an endpoint began that has no answer yet.
    pub(crate) fn unanswered_probe(&self, endpoint: &EndpointId) -> Option<Moment> {
        let results = self.probe.results.borrow();
        let running = results.get(endpoint).filter(|r| r.outcome == ProbeOutcome::Running);
        running.map(|result| result.started_at)
    }

    /// Returns the endpoints of a path that are known to be unresponsive; none while this host has no way to
    /// them.
    pub(crate) fn unresponsive_stages(&self, stages: &[RouteStage]) -> Vec<EndpointId> {
        match known_failure(self, stages) {
            Some(PathFailure::Unresponsive(endpoints)) => endpoints,
            Some(PathFailure::OutOfReach) | None => Vec::new(),
        }
    }

    /// Waits until another endpoint is found unresponsive.
    pub(crate) async fn next_unresponsive_endpoint(&self) {
        self.probe.unresponsive_found.notified().await;
    }
}

/// Over which connection an endpoint answered a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProbeAnswer {
    /// One that was idle.
    Kept,
    /// A new one.
    New,
}

/// Probes an endpoint over an idle connection, where connections are scarce.
///
/// `None` says nothing of the endpoint: the connection may be dead.
async fn probe_kept(
    state: &Rc<GatewayState>,
    endpoint: &EndpointId,
    address: SocketAddrV4,
) -> Option<ProbeAnswer> {
    let allowance = state.scarce_allowance(endpoint)?;
    let open = state.pool.checkout_idle_now(address, state.now())?;
    let fetching = fetch_report(state, endpoint, address, open, ConnectionPurpose::Probe, true);
    let (_, open) = timeout(HealthProbe::KEPT_PROBE_TIMEOUT, fetching).await.ok()?.ok()?;
    open.return_to(&state.pool, allowance, state.now());
    Some(ProbeAnswer::Kept)
}

/// Probes an endpoint over a new connection, within the time that is left of the probe's.
async fn probe_anew(
    state: &Rc<GatewayState>,
    endpoint: &EndpointId,
    address: SocketAddrV4,
    started_at: Moment,
) -> Option<ProbeAnswer> {
    let left = HealthProbe::PROBE_TIMEOUT.saturating_sub(state.now().since(started_at));
    let fetching = async {
        let open = state.pool.open(address, left).await?;
        fetch_report(state, endpoint, address, open, ConnectionPurpose::Probe, false).await
    };
    let (_, open) = timeout(left, fetching).await.ok()?.ok()?;
    if let Some(allowance) = state.scarce_allowance(endpoint) {
        open.return_to(&state.pool, allowance, state.now());
    }
    Some(ProbeAnswer::New)
}

fn known_failure(state: &GatewayState, stages: &[RouteStage]) -> Option<PathFailure> {
    let mut endpoints = stages.iter().map(|stage| &stage.endpoint);
    if endpoints.clone().any(|endpoint| state.is_endpoint_out_of_reach(endpoint)) {
        return Some(PathFailure::OutOfReach);
    }
    let (directory, now) = (state.directory.borrow(), state.now());
    let is_unresponsive = |endpoint: &EndpointId| directory.is_unresponsive(endpoint, now);
    let unresponsive: Vec<EndpointId> =
        endpoints.by_ref().filter(|endpoint| is_unresponsive(endpoint)).cloned().collect();
    (!unresponsive.is_empty()).then_some(PathFailure::Unresponsive(unresponsive))
}

/// Fetches an endpoint's report over an open connection, which is returned with it.
///
/// # Errors
///
/// Returns why there is no report; the connection is dropped then.
pub(super) async fn fetch_report<C>(
    state: &Rc<GatewayState>,
    endpoint: &EndpointId,
    address: SocketAddrV4,
    open: C,
    purpose: ConnectionPurpose,
    is_reused: bool,
) -> anyhow::Result<(EndpointReport, C)>
where
    C: ReportConnection + 'static,
{
    state.record_connection_use(purpose, is_reused);
    let wire = state.codec.report_request();
    let request = Request::builder()
        .method(wire.method)
        .uri(wire.target)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let exchange = EndpointExchange {
        state: Rc::clone(state),
        life: state.life_of(endpoint),
        sender: SenderKind::Probe,
        request_id: None,
    };
    let (response, mut open) = exchange.send(open, request, HealthProbe::PROBE_TIMEOUT).await?;
    let (parts, body) = response.into_parts();
    let body = state.bodies.collect(body, GatewayState::MAX_REPORT_BYTES).await?;
    let report = state.codec.parse_report(&body)?;
    open.record_head(&parts.headers);
    Ok((report, open))
}

/// A connection that a report is fetched over.
pub(super) trait ReportConnection: AsMut<HttpConnection> {
    /// Takes what the head of a report says of the connection.
    fn record_head(&mut self, headers: &HeaderMap);
}

impl ReportConnection for HttpConnection {
    fn record_head(&mut self, _: &HeaderMap) {}
}

impl ReportConnection for PooledConnection {
    fn record_head(&mut self, headers: &HeaderMap) {
        self.record_report_head(headers);
    }
}

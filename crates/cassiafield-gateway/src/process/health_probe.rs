use {
    crate::{
        connection::{ConnectionError, EndpointReport, HttpConnection},
        process::GatewayState,
    },
    bytes::Bytes,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::StageRoute,
    },
    http::{header, Request},
    http_body_util::{BodyExt as _, Full},
    std::{cell::RefCell, collections::HashMap, net::SocketAddrV4, time::Duration},
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Probes model endpoints and shares each result among requests for a short time.
#[derive(Debug, Default)]
pub(crate) struct HealthProbe {
    results: RefCell<HashMap<EndpointId, ProbeResult>>,
    /// Wakes requests that wait for data from a path when an endpoint is found unresponsive.
    unresponsive_found: Notify,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    probed_at: Moment,
    is_responsive: bool,
}

impl HealthProbe {
    /// Time without progress before probe results of other requests apply to a stream.
    ///
    /// A probe can fail although its endpoint works.
    const SHARED_RESULT_DELAY: Duration = Duration::from_millis(100);
    /// Time for which a result is reused.
    const MAX_RESULT_AGE: Duration = Duration::from_millis(800);
    /// Timeout of a probe; endpoints answer probes without queueing.
    pub(super) const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

    /// Waits until a probe finds endpoints of a route unresponsive, and returns them.
    ///
    /// It first waits for a time in which a working path would have made progress.
    pub(super) async fn wait_for_unresponsive(
        &self,
        state: &GatewayState,
        route: &StageRoute,
    ) -> Vec<EndpointId> {
        sleep(Self::SHARED_RESULT_DELAY).await;
        loop {
            let unresponsive = self.known_unresponsive(state.now(), route);
            if !unresponsive.is_empty() {
                return unresponsive;
            }
            self.unresponsive_found.notified().await;
        }
    }

    fn known_unresponsive(&self, now: Moment, route: &StageRoute) -> Vec<EndpointId> {
        let results = self.results.borrow();
        let is_unresponsive = |endpoint: &EndpointId| {
            let result = results.get(endpoint);
            result
                .is_some_and(|r| !r.is_responsive && now.since(r.probed_at) < Self::MAX_RESULT_AGE)
        };
        let endpoints = route.stages().iter().map(|stage| &stage.endpoint);
        endpoints.filter(|endpoint| is_unresponsive(endpoint)).cloned().collect()
    }

    /// Probes the endpoints of a route and returns the unresponsive ones.
    ///
    /// They are avoided from then on.
    pub(super) async fn find_unresponsive(
        &self,
        state: &GatewayState,
        route: &StageRoute,
    ) -> Vec<EndpointId> {
        let mut unresponsive = Vec::new();
        for stage in route.stages() {
            let address = stage.address.parse();
            let Ok(address) = address else { continue };
            if !self.is_responsive(state, &stage.endpoint, address).await {
                unresponsive.push(stage.endpoint.clone());
            }
        }
        unresponsive
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
        if let Some(result) =
            known.filter(|result| now.since(result.probed_at) < Self::MAX_RESULT_AGE)
        {
            return result.is_responsive;
        }
        // Until this probe ends, concurrent callers treat the endpoint as responsive instead of
        // probing it too; a failed probe wakes them.
        self.results
            .borrow_mut()
            .insert(endpoint.clone(), ProbeResult { probed_at: now, is_responsive: true });
        state.metrics.count_probe();
        let mut connection = None;
        let result =
            timeout(Self::PROBE_TIMEOUT, fetch_report(state, address, &mut connection)).await;
        let is_responsive = matches!(result, Ok(Ok(_)));
        let result = ProbeResult { probed_at: state.now(), is_responsive };
        self.results.borrow_mut().insert(endpoint.clone(), result);
        if !is_responsive {
            state.record_endpoint_failure(endpoint, &ConnectionError::TimedOut);
            self.unresponsive_found.notify_waiters();
        }
        is_responsive
    }
}

/// Fetches an endpoint's report, over `connection` if it is open.
///
/// # Errors
///
/// Returns why there is no report; the connection is dropped then.
pub(super) async fn fetch_report(
    state: &GatewayState,
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
    let response = open.send(request, HealthProbe::PROBE_TIMEOUT).await?;
    let body = response.into_body().collect().await?.to_bytes();
    let report = state.codec.parse_report(&body)?;
    *connection = Some(open);
    Ok(report)
}

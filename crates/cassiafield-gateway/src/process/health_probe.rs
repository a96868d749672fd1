use {
    crate::{
        connection::{ChannelFault, EndpointReport, HttpChannel},
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

/// Asks model endpoints whether they live, at most once in a while each.
#[derive(Debug, Default)]
pub(crate) struct HealthProbe {
    asked: RefCell<HashMap<EndpointId, ProbeResult>>,
    /// Wakes whatever waits for a path when one of its endpoints may have been found silent.
    found: Notify,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    at: Moment,
    is_alive: bool,
}

impl HealthProbe {
    /// Pause of a stream before another's finding counts for it: a probe may fail though its
    /// endpoint works.
    const QUIET_TIME: Duration = Duration::from_millis(100);
    /// Time for which an answer counts.
    const RESULT_AGE: Duration = Duration::from_millis(800);
    /// Longest time for an answer; endpoints answer without queueing.
    pub(super) const LIMIT: Duration = Duration::from_millis(200);

    /// Returns the endpoints of a route that some request's probe finds silent; waits for it, and
    /// first for a moment in which a sound path would have moved on.
    pub(super) async fn found_silent(
        &self,
        state: &GatewayState,
        route: &StageRoute,
    ) -> Vec<EndpointId> {
        sleep(Self::QUIET_TIME).await;
        loop {
            let silent = self.known_silent(state.now(), route);
            if !silent.is_empty() {
                return silent;
            }
            self.found.notified().await;
        }
    }

    fn known_silent(&self, now: Moment, route: &StageRoute) -> Vec<EndpointId> {
        let asked = self.asked.borrow();
        let is_silent = |endpoint: &EndpointId| {
            let result = asked.get(endpoint);
            result.is_some_and(|r| !r.is_alive && now.since(r.at) < Self::RESULT_AGE)
        };
        let endpoints = route.stages().iter().map(|stage| &stage.endpoint);
        endpoints.filter(|endpoint| is_silent(endpoint)).cloned().collect()
    }

    /// Returns the endpoints of a route that do not answer; they are avoided from then on.
    pub(super) async fn silent(&self, state: &GatewayState, route: &StageRoute) -> Vec<EndpointId> {
        let mut silent = Vec::new();
        for stage in route.stages() {
            let address = stage.address.parse();
            let Ok(address) = address else { continue };
            if !self.is_alive(state, &stage.endpoint, address).await {
                silent.push(stage.endpoint.clone());
            }
        }
        silent
    }

    /// Asks an endpoint whether it lives, unless that was asked a moment ago.
    pub(super) async fn is_alive(
        &self,
        state: &GatewayState,
        endpoint: &EndpointId,
        address: SocketAddrV4,
    ) -> bool {
        let now = state.now();
        let known = self.asked.borrow().get(endpoint).copied();
        if let Some(result) = known.filter(|result| now.since(result.at) < Self::RESULT_AGE) {
            return result.is_alive;
        }
        // Requests that stall together wait for one probe's result rather than ask themselves.
        self.asked.borrow_mut().insert(endpoint.clone(), ProbeResult { at: now, is_alive: true });
        state.metrics.probed();
        let mut channel = None;
        let result = timeout(Self::LIMIT, ask_report(state, address, &mut channel)).await;
        let is_alive = matches!(result, Ok(Ok(_)));
        let result = ProbeResult { at: state.now(), is_alive };
        self.asked.borrow_mut().insert(endpoint.clone(), result);
        if !is_alive {
            state.endpoint_failed(endpoint, &ChannelFault::Silent);
            self.found.notify_waiters();
        }
        is_alive
    }
}

/// Asks an endpoint for its report, over `channel` if there is one.
///
/// # Errors
///
/// Returns why there is no report; the channel is given up then.
pub(super) async fn ask_report(
    state: &GatewayState,
    address: SocketAddrV4,
    channel: &mut Option<HttpChannel>,
) -> anyhow::Result<EndpointReport> {
    let mut open = match channel.take() {
        Some(open) if open.is_ready() => open,
        _ => HttpChannel::connect(address, HealthProbe::LIMIT).await?,
    };
    let wire = state.codec.report_request();
    let request = Request::builder()
        .method(wire.method)
        .uri(wire.target)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))?;
    let answer = open.send(request, HealthProbe::LIMIT).await?;
    let body = answer.into_body().collect().await?.to_bytes();
    let report = state.codec.report(&body)?;
    *channel = Some(open);
    Ok(report)
}

use {
    crate::{
        connection::{ChannelFault, HttpChannel},
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
    tokio::time::timeout,
};

/// Asks model endpoints whether they live, at most once in a while each.
#[derive(Debug, Default)]
pub(crate) struct SuspectProbe {
    asked: RefCell<HashMap<EndpointId, ProbeResult>>,
}

#[derive(Clone, Copy, Debug)]
struct ProbeResult {
    at: Moment,
    is_alive: bool,
}

impl SuspectProbe {
    /// Time for which an answer counts.
    const RESULT_AGE: Duration = Duration::from_millis(800);
    /// Longest time for an answer; endpoints answer without queueing.
    const LIMIT: Duration = Duration::from_millis(200);

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

    async fn is_alive(
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
        let result = timeout(Self::LIMIT, ask(state, address)).await;
        let is_alive = matches!(result, Ok(Ok(())));
        let result = ProbeResult { at: state.now(), is_alive };
        self.asked.borrow_mut().insert(endpoint.clone(), result);
        if !is_alive {
            state.endpoint_failed(endpoint, &ChannelFault::Silent);
        }
        is_alive
    }
}

async fn ask(state: &GatewayState, address: SocketAddrV4) -> Result<(), ChannelFault> {
    let mut channel = HttpChannel::connect(address, SuspectProbe::LIMIT).await?;
    let wire = state.codec.report_request();
    let request = Request::builder()
        .method(wire.method)
        .uri(wire.target)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|_| ChannelFault::Unsent)?;
    let answer = channel.send(request, SuspectProbe::LIMIT).await?;
    answer.into_body().collect().await.map_err(ChannelFault::Broken)?;
    Ok(())
}

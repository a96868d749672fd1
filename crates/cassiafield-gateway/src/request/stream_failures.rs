//! What a stream's call concludes from failures of endpoints and paths.

use {
    crate::{
        connection::ConnectionError,
        request::{
            caller_request::strip_hop_headers,
            stream_call::{AttemptError, StreamCall},
            stream_relay::{StreamAttempt, StreamError},
            ResponseBody,
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::{RequestVerdict, RouteStage, StageRoute},
    },
    http::{Response, StatusCode},
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::timeout,
};

impl StreamCall {
    /// Records that the request's connection to the first endpoint of a path broke before its answer
    /// was under way, and finds out whether the endpoint has ended.
    pub(super) async fn record_break(&mut self, first: &EndpointId, route: &StageRoute) {
        let state = &self.context.state;
        if state.record_request_break(first, Some(route), self.context.full_identity()).await {
            self.ends += 1;
        }
    }

    pub(super) async fn record_connection_failure(
        &mut self,
        endpoint: &EndpointId,
        error: ConnectionError,
        started_at: Moment,
    ) -> AttemptError {
        let state = &self.context.state;
        if !state.record_endpoint_failure(endpoint, &error, started_at).await {
            self.record_failures([endpoint.clone()]);
        }
        match error.verdict() {
            RequestVerdict::NotRun if matches!(error, ConnectionError::Connect(_)) => {
                AttemptError::Unreachable
            }
            RequestVerdict::NotRun => AttemptError::NotRun,
            RequestVerdict::MayHaveRun | RequestVerdict::Ran => AttemptError::MayHaveRun,
        }
    }

    /// Handles a response that is not a stream.
    pub(super) async fn handle_error_response(
        &mut self,
        route: &StageRoute,
        response: Response<Incoming>,
    ) -> AttemptError {
        let names = self.context.state.codec.header_names();
        let address = response.headers().get(&names.failed_address);
        let address = address.and_then(|value| value.to_str().ok()).map(str::trim);
        // Matching by address within the route: another endpoint may be listed at the address of
        // one that is gone.
        let stages = route.stages();
        let failed = stages.iter().find(|stage| Some(stage.address.as_str()) == address);
        let Some(endpoint) = failed.or(stages.first()).map(|stage| stage.endpoint.clone()) else {
            return AttemptError::MayHaveRun;
        };
        // The endpoint that answered may pass on the wish of one further down the path.
        if failed.is_some_and(|stage| Some(stage) != stages.first()) {
            let life = self.context.state.life_of(&endpoint);
            self.context.state.record_pause(&life, response.status(), response.headers());
        }
        let is_misdirected = response.status() == StatusCode::MISDIRECTED_REQUEST;
        let verdict = self.context.verdict_of(response.status(), response.headers());
        self.context
            .decision(LogEvent::TryFailed)
            .verdict(verdict)
            .sends(self.sends)
            .endpoint(&endpoint)
            .log(format_args!(
                "status {}; {}",
                response.status(),
                self.describe_endpoint(&endpoint)
            ));
        if verdict == RequestVerdict::MayHaveRun {
            self.excluded.push(endpoint);
            return AttemptError::MayHaveRun;
        }
        if verdict == RequestVerdict::NotRun {
            self.context.state.record_endpoint_refusal(&endpoint, is_misdirected);
            if self.context.state.is_paused(&endpoint) {
                // Its pause keeps all requests away, and its probes too.
                return AttemptError::NotRun;
            }
            if is_misdirected {
                self.excluded.push(endpoint);
            } else if !self.context.state.is_responsive(&endpoint).await {
                self.record_failures([endpoint]);
            } else if self.is_nearly_full(&endpoint) {
                let now = self.context.state.now();
                self.context.state.load.borrow_mut().mark_full(endpoint, now);
            } else {
                // The list may be outdated: the endpoint may be leaving or giving up its layers.
                let now = self.context.state.now();
                self.context.state.directory.borrow_mut().record_failure(&endpoint, now);
                self.record_failures([endpoint]);
            }
            return AttemptError::NotRun;
        }
        let (mut parts, body) = response.into_parts();
        let body_timeout = self.timeouts().head_timeout().min(self.context.remaining_time());
        let reading = self.context.state.bodies.collect(body, Self::MAX_ERROR_BYTES);
        match timeout(body_timeout, reading).await {
            Ok(Ok(body)) => {
                strip_hop_headers(&mut parts.headers);
                let body = ResponseBody::from_bytes(body);
                AttemptError::Failed(Box::new(Response::from_parts(parts, body)))
            }
            Ok(Err(_)) | Err(_) => AttemptError::MayHaveRun,
        }
    }

    /// Records that endpoints failed the request, which may return to them once they respond.
    pub(super) fn record_failures(&mut self, endpoints: impl IntoIterator<Item = EndpointId>) {
        let now = self.context.state.now();
        for endpoint in endpoints {
            self.failed.record(endpoint, now);
        }
    }

    /// Records that a path on which the stream had stalled delivers again.
    pub(super) fn record_return(&mut self, stages: &[RouteStage]) {
        let is_on_path =
            |endpoint: &EndpointId| stages.iter().any(|stage| &stage.endpoint == endpoint);
        self.failed.forget(is_on_path);
        self.suspects.retain(|endpoint| !is_on_path(endpoint));
        self.context.state.record_progress(stages);
    }

    pub(super) fn record_stream_error(
        &mut self,
        attempt: &StreamAttempt,
        error: &StreamError,
        waited: Duration,
    ) {
        self.context.decision(LogEvent::StreamBroken).sends(self.sends).log(format_args!(
            "{error} after {}; {} ms without events; route {}",
            attempt.splitter.position(),
            waited.as_millis(),
            attempt.source,
        ));
        if let Some(load) = attempt.source.carrier() {
            self.failed_carriers.push(load.carrier.host.clone());
        }
        if !self.context.needs_carrier() {
            let endpoints = error.failed_endpoints(attempt);
            if error.is_wrong_answer() {
                self.excluded.extend(endpoints);
            } else {
                self.record_failures(endpoints);
            }
        }
        if error.is_unexplained_stall() {
            let now = self.context.state.now();
            let since = now.earlier_by(attempt.timeouts.stall_timeout());
            self.context.state.record_stall(attempt.source.stages(), since);
            let stages = attempt.source.stages().iter();
            self.suspects.extend(stages.map(|stage| stage.endpoint.clone()));
        }
    }
}

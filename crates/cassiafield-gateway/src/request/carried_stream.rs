//! Streams that another host carries.

use {
    crate::request::{
        caller_request::strip_hop_headers,
        carried_call::{
            is_promise, strip_internal_headers, CarriedAnswer, CarryError, CarryProgress,
            SENT_TO_HEADER,
        },
        host_service::CarriedMark,
        stream_call::{AttemptError, StreamCall},
        stream_relay::{ReadOutcome, StreamAttempt},
        stream_source::StreamSource,
        ResponseBody,
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::EndpointId,
        request::{
            join_endpoints, parse_endpoints, EventSplitter, RefusalCause, RequestVerdict,
            StreamPosition,
        },
    },
    http::{header, HeaderMap, HeaderValue, Response, StatusCode},
    hyper::body::Incoming,
    std::time::Duration,
    tokio::time::timeout,
};

impl StreamCall {
    /// Hands the stream to another host and waits for the first events after `position`.
    pub(super) async fn attempt_elsewhere(
        &mut self,
        position: StreamPosition,
    ) -> Result<(Response<()>, StreamAttempt, Bytes), AttemptError> {
        let may_leave = self.may_leave_stalled_path();
        let response_timeout =
            if may_leave { self.timeouts().head_timeout() } else { Duration::MAX };
        let progress = CarryProgress {
            sends: self.sends,
            ends: self.ends,
            unanswered: self.unanswered,
            sent_to: self.sent_to.clone(),
            position,
            is_counted: self.has_begun.get() && !self.context.is_carried.get(),
            excluded: self.failed_carriers.clone(),
            response_timeout,
        };
        let CarriedAnswer { response, mut connection, load } =
            match self.context.carry(&progress).await {
                Ok(answer) => answer,
                Err(CarryError::NoCarrier) => return Err(AttemptError::OutOfReach),
                Err(CarryError::NoRetry) => return Err(AttemptError::NoRetry),
                Err(CarryError::NoPath) => {
                    return Err(AttemptError::NoPath(RefusalCause::Overloaded));
                }
                Err(CarryError::Unanswered(host)) => {
                    self.sends += 1;
                    self.unanswered += 1;
                    self.failed_carriers.push(host);
                    return Err(AttemptError::MayHaveRun);
                }
            };
        self.record_sent_to(&response);
        let is_reusable = connection.apply_response_head(response.headers());
        if response.status() != StatusCode::OK {
            return Err(self.read_carried_error(response).await);
        }
        if !self.continues_stream(response.headers()) {
            let host = &load.carrier.host;
            self.context.decision(LogEvent::CarryFailed).verdict(RequestVerdict::Ran).log(
                format_args!("host {host}: its answer is of another media type than the stream"),
            );
            self.sends += 1;
            return Err(AttemptError::MayHaveRun);
        }
        let (mut parts, body) = response.into_parts();
        let is_framed = parts.headers.contains_key(header::CONTENT_LENGTH)
            || parts.headers.contains_key(header::TRANSFER_ENCODING);
        strip_internal_headers(&mut parts.headers);
        parts.extensions.insert(CarriedMark);
        let host = load.carrier.host.clone();
        let mut attempt = StreamAttempt {
            connection,
            is_reusable,
            body,
            is_framed,
            splitter: EventSplitter::new(position),
            source: StreamSource::Carrier(load),
            reservation: None,
            timeouts: self.timeouts(),
            typical_gap: self.context.rule.event_gap_objective.unwrap_or_default(),
            began_at: None,
            is_under_way: false,
        };
        let remaining_time = self.context.remaining_time();
        match attempt.next_events(&self.context.state, remaining_time, may_leave, None).await {
            ReadOutcome::Events(first) => Ok((Response::from_parts(parts, ()), attempt, first)),
            ReadOutcome::End | ReadOutcome::Doubtful(_) => {
                Ok((Response::from_parts(parts, ()), attempt, Bytes::new()))
            }
            ReadOutcome::Failed(error) => {
                self.context
                    .decision(LogEvent::StreamBroken)
                    .sends(self.sends)
                    .log(format_args!("{error}; carried by host {host}"));
                self.sends += 1;
                self.failed_carriers.push(host);
                Err(AttemptError::MayHaveRun)
            }
        }
    }

    /// Records the first endpoints that another host announces in its response.
    fn record_sent_to(&mut self, response: &Response<Incoming>) {
        let value = response.headers().get(&SENT_TO_HEADER).and_then(|value| value.to_str().ok());
        match parse_endpoints(value.unwrap_or_default()) {
            Ok(named) => {
                let new = named.into_iter().filter(|endpoint| !self.sent_to.contains(endpoint));
                let new: Vec<EndpointId> = new.collect();
                self.sent_to.extend(new);
            }
            Err(error) => LogEvent::PeerRefused
                .log(format_args!("endpoints of a stream that another host carries: {error}")),
        }
    }

    /// Announces the first endpoints of a carried stream in the response head, fallbacks included; later paths
    /// start at one of them.
    ///
    /// The route limits their number. If this host fails, the host that handed the stream over passes them
    /// on to the next one.
    pub(super) fn announce_endpoints(&mut self, headers: &mut HeaderMap) {
        if self.context.note.is_none() {
            return;
        }
        self.add_spare_endpoints();
        self.is_limited_to_sent_to = true;
        match HeaderValue::from_str(&join_endpoints(&self.sent_to)) {
            Ok(value) => drop(headers.insert(SENT_TO_HEADER, value)),
            Err(error) => LogEvent::CarryFailed.log(error),
        }
    }

    /// Reads the response of another host that is not a stream.
    async fn read_carried_error(&self, response: Response<Incoming>) -> AttemptError {
        let (mut parts, body) = response.into_parts();
        if self.has_begun.get() && is_promise(parts.status) {
            // The caller has a part of the stream; it may go on later.
            return AttemptError::NoPath(RefusalCause::Overloaded);
        }
        let body_timeout = self.timeouts().head_timeout().min(self.context.remaining_time());
        let reading = self.context.state.bodies.collect(body, Self::MAX_ERROR_BYTES);
        let Ok(Ok(body)) = timeout(body_timeout, reading).await else {
            return AttemptError::MayHaveRun;
        };
        strip_hop_headers(&mut parts.headers);
        strip_internal_headers(&mut parts.headers);
        parts.extensions.insert(CarriedMark);
        let body = ResponseBody::from_bytes(body);
        AttemptError::Failed(Box::new(Response::from_parts(parts, body)))
    }

    /// Records that the request's answer got under way, unless the host that carries it does.
    pub(super) fn record_survival(&self) {
        if !self.context.is_carried.get() {
            self.context.state.record_survival(self.context.known_identity());
        }
    }
}

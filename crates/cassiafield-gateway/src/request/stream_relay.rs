use {
    crate::{
        connection::PooledConnection,
        process::{GatewayState, ReservedLoad},
        request::{
            stream_call::{describe_route, join_ids, AttemptError, StreamCall},
            stream_path::QueueWait,
            ResponseAborted,
        },
    },
    bytes::{Bytes, BytesMut},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::{
            EventError, EventSplitter, GiveUpReason, RefusalCause, StageRoute, StreamTimeouts,
        },
    },
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    std::{fmt, pin::pin, rc::Rc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// A stream on one path.
pub(super) struct StreamAttempt {
    pub(super) connection: PooledConnection,
    pub(super) is_reusable: bool,
    pub(super) body: Incoming,
    pub(super) splitter: EventSplitter,
    pub(super) route: StageRoute,
    pub(super) reservation: ReservedLoad,
    pub(super) timeouts: StreamTimeouts,
    /// Typical time between two events on the path: first as planned, then as measured.
    pub(super) typical_gap: Duration,
}

/// Result of waiting for the next events.
pub(super) enum ReadOutcome {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream cannot continue on this path.
    Failed(StreamError),
}

/// Why a stream cannot continue on its path.
pub(super) enum StreamError {
    /// The connection to the first endpoint broke.
    Broken(hyper::Error),
    /// An event is out of order or invalid.
    Event(EventError),
    /// The stream ended within an event.
    Truncated,
    /// No events arrived in time; the given endpoints are unresponsive.
    Stalled(Vec<EndpointId>),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl StreamError {
    /// Returns `true` if the stream stalled although all endpoints of its path respond to probes.
    pub(super) fn is_unexplained_stall(&self) -> bool {
        matches!(self, StreamError::Stalled(unresponsive) if unresponsive.is_empty())
    }

    /// Returns the endpoints that the next path must avoid.
    pub(super) fn endpoints_to_exclude(&self, attempt: &StreamAttempt) -> Vec<EndpointId> {
        match self {
            StreamError::Stalled(unresponsive) => unresponsive.clone(),
            StreamError::Broken(_) | StreamError::Event(_) | StreamError::Truncated => attempt
                .route
                .stages()
                .first()
                .map(|stage| stage.endpoint.clone())
                .into_iter()
                .collect(),
            StreamError::DeadlineExceeded => Vec::new(),
        }
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamError::Broken(error) => write!(f, "connection broke: {error}"),
            StreamError::Event(error) => error.fmt(f),
            StreamError::Truncated => f.write_str("ended within an event"),
            StreamError::Stalled(unresponsive) if unresponsive.is_empty() => {
                f.write_str("stalled although all its endpoints respond")
            }
            StreamError::Stalled(unresponsive) => {
                write!(f, "stalled; unresponsive: {}", join_ids(unresponsive))
            }
            StreamError::DeadlineExceeded => f.write_str("deadline exceeded"),
        }
    }
}

impl StreamAttempt {
    /// Waits until the next complete events arrive.
    pub(super) async fn next_events(
        &mut self,
        state: &Rc<GatewayState>,
        remaining_time: Duration,
    ) -> ReadOutcome {
        let waiting_since = state.now();
        let probe_delay = self.timeouts.stall_probe_delay(self.typical_gap);
        let stall_timeout = self.timeouts.stall_timeout();
        let mut unresponsive = pin!(state.wait_for_unresponsive(&self.route, probe_delay));
        loop {
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                unresponsive = unresponsive.as_mut() => {
                    return ReadOutcome::Failed(StreamError::Stalled(unresponsive));
                }
                () = sleep(probe_delay) => {
                    let waited = state.now().since(waiting_since);
                    if waited >= remaining_time {
                        return ReadOutcome::Failed(StreamError::DeadlineExceeded);
                    }
                    if waited >= stall_timeout {
                        return ReadOutcome::Failed(StreamError::Stalled(Vec::new()));
                    }
                    state.start_probes(&self.route, waiting_since);
                    continue;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                    match take_complete_events(&mut self.splitter) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => {
                            let gap = state.now().since(waiting_since);
                            self.typical_gap = moving_average(self.typical_gap, gap);
                            return ReadOutcome::Events(events);
                        }
                        Err(error) => return ReadOutcome::Failed(StreamError::Event(error)),
                    }
                }
                Some(Err(error)) => return ReadOutcome::Failed(StreamError::Broken(error)),
                None if self.splitter.has_partial_event() => {
                    return ReadOutcome::Failed(StreamError::Truncated)
                }
                None => return ReadOutcome::End,
            }
        }
    }

    /// Returns the path's endpoints and layers, for the log.
    pub(super) fn describe_route(&self) -> String {
        describe_route(&self.route)
    }

    async fn release(mut self, state: &GatewayState, max_idle: usize) {
        /// Time for a connection to become ready again after its response was read.
        const READY_TIMEOUT: Duration = Duration::from_millis(2);
        self.reservation.release();
        if self.is_reusable && self.connection.http.wait_ready(READY_TIMEOUT).await {
            self.connection.return_to(&state.pool, max_idle, state.now());
        }
    }
}

/// Returns the moving average of the gaps between events after another gap.
fn moving_average(average: Duration, gap: Duration) -> Duration {
    /// Weight of the latest gap.
    const WEIGHT: f64 = 0.2;
    average.mul_f64(1.0 - WEIGHT) + gap.mul_f64(WEIGHT)
}

fn take_complete_events(splitter: &mut EventSplitter) -> Result<Bytes, EventError> {
    let mut events = BytesMut::new();
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => events.extend_from_slice(&event.bytes),
            Ok(None) => return Ok(events.freeze()),
            Err(_) if !events.is_empty() => return Ok(events.freeze()),
            Err(error) => return Err(error),
        }
    }
}

/// Relays the events of a stream to its caller, and moves to another path when one fails.
pub(super) struct StreamRelay {
    call: StreamCall,
    /// The path in use; `None` while the next one is planned.
    attempt: Option<StreamAttempt>,
    /// The last event relayed.
    last_event: Option<u64>,
    /// When events were relayed last.
    relayed_at: Option<Moment>,
    /// Longest time between two relayed events.
    longest_gap: Duration,
    sender: mpsc::Sender<Result<Bytes, ResponseAborted>>,
}

impl StreamRelay {
    /// Interval between two attempts to take a retry from the budget.
    const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(150);

    pub(super) const fn new(
        call: StreamCall,
        attempt: StreamAttempt,
        sender: mpsc::Sender<Result<Bytes, ResponseAborted>>,
    ) -> Self {
        let longest_gap = Duration::ZERO;
        let attempt = Some(attempt);
        Self { call, attempt, last_event: None, relayed_at: None, longest_gap, sender }
    }

    /// Runs until the stream completes or fails, or the caller disconnects.
    pub(super) async fn run(mut self, first: Bytes) {
        let sender = self.sender.clone();
        tokio::select! {
            () = sender.closed() => {
                let last_event = self.last_event.unwrap_or(0);
                let call = &self.call;
                call.context
                    .decision(LogEvent::CallerGone)
                    .sends(call.sends)
                    .log(format_args!("after event {last_event}"));
                return;
            }
            () = self.relay_events(first) => {}
        }
        let Self { call, attempt, .. } = self;
        if let Some(attempt) = attempt.filter(|_| call.context.in_flight.is_complete()) {
            let max_idle = call.context.state.max_idle_connections(&call.context.service);
            attempt.release(&call.context.state, max_idle).await;
        }
    }

    async fn relay_events(&mut self, first: Bytes) {
        let mut next = ReadOutcome::Events(first);
        let context = &self.call.context;
        let gaps = context.state.metrics.event_gaps(context.request.organisation.as_ref());
        loop {
            match next {
                ReadOutcome::Events(events) => {
                    self.last_event =
                        self.attempt.as_ref().and_then(|attempt| attempt.splitter.last_id());
                    let now = self.call.context.state.now();
                    if let Some(before) = self.relayed_at.replace(now) {
                        let gap = now.since(before);
                        gaps.observe(gap.as_secs_f64());
                        self.longest_gap = self.longest_gap.max(gap);
                    }
                    if !events.is_empty() && self.sender.send(Ok(events)).await.is_err() {
                        return;
                    }
                }
                ReadOutcome::End => {
                    let last_event = self.last_event.unwrap_or(0);
                    let call = &self.call;
                    if let Some(attempt) = &self.attempt {
                        call.context.state.record_progress(&attempt.route);
                    }
                    let gap = self.longest_gap.as_millis();
                    call.context.record_completion(
                        call.sends,
                        format_args!("events up to {last_event}, longest gap {gap} ms"),
                    );
                    call.context.in_flight.mark_complete();
                    return;
                }
                ReadOutcome::Failed(error) => match self.resume(&error).await {
                    Ok(events) => {
                        next = ReadOutcome::Events(events);
                        continue;
                    }
                    Err(reason) => {
                        self.abort(&error, reason).await;
                        return;
                    }
                },
            }
            let remaining_time = self.call.context.remaining_time();
            let Some(attempt) = self.attempt.as_mut() else { return };
            next = attempt.next_events(&self.call.context.state, remaining_time).await;
        }
    }

    /// Moves the stream to another path and returns its first events.
    ///
    /// # Errors
    ///
    /// Returns why it cannot move.
    async fn resume(&mut self, error: &StreamError) -> Result<Bytes, GiveUpReason> {
        // The failed path is released first, since the next one may need its memory.
        if let Some(attempt) = self.attempt.take() {
            let waited = self.time_without_events();
            self.call.record_stream_error(&attempt, error, waited);
        }
        if matches!(error, StreamError::DeadlineExceeded) {
            return Err(GiveUpReason::DeadlineExceeded);
        }
        let last_event = self.last_event.ok_or(GiveUpReason::NotResumable)?;
        let broken_at = self.call.context.state.now();
        let resume_wait = self.call.timeouts().resume_wait();
        loop {
            self.wait_for_resume(broken_at, resume_wait).await?;
            match self.call.attempt(last_event, QueueWait::Resume(resume_wait)).await {
                Ok((_, attempt, events)) => {
                    self.call.context.state.metrics.count_broken_stream(true);
                    let path = attempt.describe_route();
                    let call = &self.call;
                    call.context
                        .decision(LogEvent::StreamResumed)
                        .sends(call.sends)
                        .log(format_args!("after event {last_event} over {path}"));
                    self.attempt = Some(attempt);
                    return Ok(events);
                }
                Err(AttemptError::NotRun | AttemptError::MayHaveRun) => {}
                Err(AttemptError::NoPath(RefusalCause::Overloaded)) => {
                    return Err(GiveUpReason::Overloaded)
                }
                Err(AttemptError::NoPath(_)) => return Err(GiveUpReason::NoEndpoint),
                Err(AttemptError::Failed(_)) => return Err(GiveUpReason::EndpointFailed),
            }
        }
    }

    /// Acquires the right to resume; tries again until `max_wait` after `broken_at`.
    ///
    /// The retry budget may have room in a moment, and the caller still waits.
    async fn wait_for_resume(
        &self,
        broken_at: Moment,
        max_wait: Duration,
    ) -> Result<(), GiveUpReason> {
        loop {
            let Err(reason) = self.call.acquire_resume().await else { return Ok(()) };
            let waited = self.call.context.state.now().since(broken_at);
            if reason != GiveUpReason::RetryBudget
                || waited + Self::BUDGET_RETRY_INTERVAL > max_wait
            {
                return Err(reason);
            }
            sleep(Self::BUDGET_RETRY_INTERVAL).await;
        }
    }

    /// Returns the time since events were relayed last.
    fn time_without_events(&self) -> Duration {
        let now = self.call.context.state.now();
        self.relayed_at.map_or(Duration::ZERO, |relayed_at| now.since(relayed_at))
    }

    async fn abort(&self, error: &StreamError, reason: GiveUpReason) {
        let state = &self.call.context.state;
        state.metrics.count_broken_stream(false);
        state.metrics.count_given_up_stream(reason);
        let last_event = self.last_event.unwrap_or(0);
        self.call.context.decision(LogEvent::StreamGivenUp).sends(self.call.sends).log(
            format_args!(
                "last event {last_event}, {} ms ago; {error}; not resumed: {reason}{}{}",
                self.time_without_events().as_millis(),
                self.call.describe_missing_path(reason),
                if state.is_stopping() { "; the host is stopping" } else { "" },
            ),
        );
        // The send fails if the caller has disconnected already.
        drop(self.sender.send(Err(ResponseAborted)).await);
    }
}

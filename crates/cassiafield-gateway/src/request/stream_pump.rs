use {
    crate::{
        connection::PooledChannel,
        process::{GatewayState, ReservedLoad},
        request::{
            stream_call::{names_of, AttemptFault, StreamCall},
            AnswerAborted,
        },
    },
    bytes::{Bytes, BytesMut},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        request::{EventError, EventSplitter, StageRoute},
    },
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    std::{fmt, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// A stream that runs over a path.
pub(super) struct StreamAttempt {
    pub(super) channel: PooledChannel,
    pub(super) may_keep: bool,
    pub(super) body: Incoming,
    pub(super) splitter: EventSplitter,
    pub(super) route: StageRoute,
    pub(super) booked: ReservedLoad,
}

/// What came next of a stream.
pub(super) enum PieceOutcome {
    /// One or more whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream cannot go on over this path.
    Fault(PieceFault),
}

/// Why a stream cannot go on over its path.
pub(super) enum PieceFault {
    /// The connection to the first endpoint broke.
    Broken(hyper::Error),
    /// An event is out of order or cannot be read.
    Event(EventError),
    /// The stream ended in the middle of an event.
    Torn,
    /// Nothing came for too long; the endpoints given do not answer.
    Stalled(Vec<EndpointId>),
    /// The time for the request is over.
    Late,
}

impl PieceFault {
    /// Says whether a path fell silent though all its endpoints live.
    pub(super) fn has_no_culprit(&self) -> bool {
        matches!(self, PieceFault::Stalled(silent) if silent.is_empty())
    }

    /// Returns the endpoints that the next path must not use.
    pub(super) fn blamed(&self, attempt: &StreamAttempt) -> Vec<EndpointId> {
        match self {
            PieceFault::Stalled(silent) => silent.clone(),
            PieceFault::Broken(_) | PieceFault::Event(_) | PieceFault::Torn => attempt
                .route
                .stages()
                .first()
                .map(|stage| stage.endpoint.clone())
                .into_iter()
                .collect(),
            PieceFault::Late => Vec::new(),
        }
    }
}

impl fmt::Display for PieceFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PieceFault::Broken(error) => write!(f, "connection broke: {error}"),
            PieceFault::Event(fault) => fault.fmt(f),
            PieceFault::Torn => f.write_str("ended in the middle of an event"),
            PieceFault::Stalled(silent) if silent.is_empty() => {
                f.write_str("stalled though all its endpoints answer")
            }
            PieceFault::Stalled(silent) => {
                write!(f, "stalled, silent: {}", names_of(silent))
            }
            PieceFault::Late => f.write_str("time is over"),
        }
    }
}

impl StreamAttempt {
    /// Pause after which the endpoints of a path are asked whether they live.
    pub(super) const STALL_CHECK: Duration = Duration::from_millis(450);
    /// Pause after which a stream goes on over another path though its endpoints answer; callers
    /// leave after two seconds.
    const STALL_LIMIT: Duration = Duration::from_millis(1_300);

    /// Waits for the next whole events.
    pub(super) async fn next_piece(
        &mut self,
        state: &GatewayState,
        time_left: Duration,
    ) -> PieceOutcome {
        let mut stalled = Duration::ZERO;
        loop {
            if stalled >= time_left {
                return PieceOutcome::Fault(PieceFault::Late);
            }
            let frame = tokio::select! {
                frame = self.body.frame() => frame,
                silent = state.found_silent(&self.route) => {
                    return PieceOutcome::Fault(PieceFault::Stalled(silent));
                }
                () = sleep(Self::STALL_CHECK) => {
                    stalled += Self::STALL_CHECK;
                    let silent = state.silent_endpoints(&self.route).await;
                    if !silent.is_empty() || stalled >= Self::STALL_LIMIT {
                        return PieceOutcome::Fault(PieceFault::Stalled(silent));
                    }
                    continue;
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                    match self.whole_events() {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return PieceOutcome::Events(events),
                        Err(fault) => return PieceOutcome::Fault(PieceFault::Event(fault)),
                    }
                }
                Some(Err(error)) => return PieceOutcome::Fault(PieceFault::Broken(error)),
                None if self.splitter.has_partial_event() => {
                    return PieceOutcome::Fault(PieceFault::Torn)
                }
                None => return PieceOutcome::End,
            }
        }
    }

    fn whole_events(&mut self) -> Result<Bytes, EventError> {
        let mut events = BytesMut::new();
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => events.extend_from_slice(&event.bytes),
                Ok(None) => return Ok(events.freeze()),
                Err(_) if !events.is_empty() => return Ok(events.freeze()),
                Err(fault) => return Err(fault),
            }
        }
    }

    /// Returns the path as text for the log.
    pub(super) fn describe(&self) -> String {
        let stages = self.route.stages().iter();
        stages
            .map(|stage| format!("{}={}", stage.endpoint, stage.span))
            .collect::<Vec<_>>()
            .join(",")
    }

    async fn close(mut self, state: &GatewayState, most: usize) {
        /// Time for a channel to notice that its answer has been read to the end.
        const SETTLE_LIMIT: Duration = Duration::from_millis(2);
        self.booked.close();
        if self.may_keep && self.channel.channel.settle(SETTLE_LIMIT).await {
            self.channel.close(&state.pool, most, state.now());
        }
    }
}

/// Passes the events of a stream on to its caller, over other paths when one fails.
pub(super) struct StreamPump {
    call: StreamCall,
    /// The path in use; none while the next one is sought.
    attempt: Option<StreamAttempt>,
    /// The last event passed on.
    last: Option<u64>,
    /// Longest time between two events passed on.
    longest_gap: Duration,
    sender: mpsc::Sender<Result<Bytes, AnswerAborted>>,
}

impl StreamPump {
    /// Longest wait for memory while a caller waits for its next event.
    const RESUME_WAIT: Duration = Duration::from_millis(700);

    pub(super) const fn new(
        call: StreamCall,
        attempt: StreamAttempt,
        sender: mpsc::Sender<Result<Bytes, AnswerAborted>>,
    ) -> Self {
        let longest_gap = Duration::ZERO;
        Self { call, attempt: Some(attempt), last: None, longest_gap, sender }
    }

    /// Runs until the stream is complete, is given up, or the caller leaves.
    pub(super) async fn run(mut self, first: Bytes) {
        let sender = self.sender.clone();
        tokio::select! {
            () = sender.closed() => {
                let last = self.last.unwrap_or(0);
                let call = &self.call;
                call.context
                    .decision(LogEvent::CallerGone)
                    .sends(call.sent)
                    .log(format_args!("after event {last}"));
                return;
            }
            () = self.relay(first) => {}
        }
        let Self { call, attempt, .. } = self;
        if let Some(attempt) = attempt.filter(|_| call.context.running.is_complete()) {
            let most = call.context.state.idle_share(&call.context.service);
            attempt.close(&call.context.state, most).await;
        }
    }

    async fn relay(&mut self, first: Bytes) {
        let mut next = PieceOutcome::Events(first);
        let context = &self.call.context;
        let gaps = context.state.metrics.event_gaps(context.request.organisation.as_ref());
        let mut passed_on: Option<Moment> = None;
        loop {
            match next {
                PieceOutcome::Events(events) => {
                    self.last =
                        self.attempt.as_ref().and_then(|attempt| attempt.splitter.last_id());
                    let now = self.call.context.state.now();
                    if let Some(before) = passed_on.replace(now) {
                        let gap = now.since(before);
                        gaps.observe(gap.as_secs_f64());
                        self.longest_gap = self.longest_gap.max(gap);
                    }
                    if !events.is_empty() && self.sender.send(Ok(events)).await.is_err() {
                        return;
                    }
                }
                PieceOutcome::End => {
                    let last = self.last.unwrap_or(0);
                    let call = &self.call;
                    let gap = self.longest_gap.as_millis();
                    call.context.note_answered(
                        call.sent,
                        format_args!("events up to {last}, longest gap {gap} ms"),
                    );
                    call.context.running.complete();
                    return;
                }
                PieceOutcome::Fault(fault) => match self.resume(&fault).await {
                    Some(events) => {
                        next = PieceOutcome::Events(events);
                        continue;
                    }
                    None => {
                        self.abort().await;
                        return;
                    }
                },
            }
            let time_left = self.call.context.time_left();
            let Some(attempt) = self.attempt.as_mut() else { return };
            next = attempt.next_piece(&self.call.context.state, time_left).await;
        }
    }

    /// Goes on over another path; returns its first events.
    async fn resume(&mut self, fault: &PieceFault) -> Option<Bytes> {
        // The path is left first: what it holds at its endpoints may be what the next one needs.
        if let Some(attempt) = self.attempt.take() {
            self.call.note_fault(&attempt, fault);
        }
        if matches!(fault, PieceFault::Late) {
            return None;
        }
        let last = self.last?;
        while self.call.may_resume() {
            match self.call.attempt(last, Self::RESUME_WAIT).await {
                Ok((_, attempt, events)) => {
                    self.call.context.state.metrics.stream_broken(true);
                    let path = attempt.describe();
                    let call = &self.call;
                    call.context
                        .decision(LogEvent::StreamResumed)
                        .sends(call.sent)
                        .log(format_args!("after event {last} over {path}"));
                    self.attempt = Some(attempt);
                    return Some(events);
                }
                Err(AttemptFault::NotRun | AttemptFault::Lost) => {}
                Err(AttemptFault::NoPath(_) | AttemptFault::Failed(_)) => return None,
            }
        }
        None
    }

    async fn abort(&self) {
        self.call.context.state.metrics.stream_broken(false);
        let last = self.last.unwrap_or(0);
        self.call
            .context
            .decision(LogEvent::StreamGivenUp)
            .sends(self.call.sent)
            .log(format_args!("last event {last}"));
        // The caller may have left already; then there is nobody to tell.
        drop(self.sender.send(Err(AnswerAborted)).await);
    }
}

use {
    crate::{
        connection::PooledConnection,
        process::{EndpointFate, GatewayState, ReservedLoad},
        recovery::{PathDoubt, RecoveryDesk},
        request::{
            stream_call::{AttemptError, StreamCall},
            stream_path::QueueWait,
            stream_repair::StreamRepair,
            stream_source::{StallCause, StreamSource},
            ResponseAborted,
        },
    },
    bytes::{Bytes, BytesMut},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        connections::IdleAllowance,
        ids::{EndpointId, Moment},
        request::{
            EventError, EventSplitter, GiveUpReason, RefusalCause, StreamPosition, StreamTimeouts,
        },
    },
    http_body_util::BodyExt as _,
    hyper::body::Incoming,
    std::{
        fmt,
        future::{pending, Future},
        pin::pin,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::mpsc,
        time::{sleep, timeout},
    },
};

/// A stream on one path.
pub(super) struct StreamAttempt {
    pub(super) connection: PooledConnection,
    pub(super) is_reusable: bool,
    pub(super) body: Incoming,
    /// Whether the body has a length or comes in chunks.
    pub(super) is_framed: bool,
    pub(super) splitter: EventSplitter,
    pub(super) source: StreamSource,
    /// `None` while a replacement for this path is planned.
    pub(super) reservation: Option<ReservedLoad>,
    pub(super) timeouts: StreamTimeouts,
    /// Typical time between two events on the path: first as planned, then as measured.
    pub(super) typical_gap: Duration,
    /// When the path's first event arrived.
    pub(super) began_at: Option<Moment>,
    /// Whether the path has outlived the time in which an answer may crash its endpoint.
    pub(super) is_under_way: bool,
}

/// Result of waiting for the next events.
pub(super) enum ReadOutcome {
    /// One or more complete events.
    Events(Bytes),
    /// The stream is complete.
    End,
    /// The stream cannot continue on this path.
    Failed(StreamError),
    /// Endpoints of the path are suspects or known to be unresponsive; the stream may still go on.
    Doubtful(PathDoubt),
}

/// Why a stream cannot continue on its path.
pub(super) enum StreamError {
    /// The connection to the first endpoint broke.
    Broken(hyper::Error),
    /// An event is out of order or invalid.
    Event(EventError),
    /// The stream ended within an event.
    Truncated,
    /// The connection ended before the first event.
    Empty,
    /// The connection ended with its endpoint, and nothing else marks the end of the stream.
    EndpointEnded,
    /// No events arrived in time.
    Stalled(StallCause),
    /// The deadline of the request has passed.
    DeadlineExceeded,
}

impl StreamError {
    /// Returns the label in metrics.
    pub(super) fn name(&self) -> &'static str {
        match self {
            StreamError::Broken(_) => "connection",
            StreamError::Event(_) | StreamError::Truncated | StreamError::Empty => "answer",
            StreamError::EndpointEnded => "ended",
            StreamError::Stalled(StallCause::Unresponsive(found)) if found.is_empty() => "slow",
            StreamError::Stalled(StallCause::Unresponsive(_)) => "unresponsive",
            StreamError::Stalled(StallCause::Suspect(_)) => "suspect",
            StreamError::Stalled(StallCause::OutOfReach) => "out-of-reach",
            StreamError::DeadlineExceeded => "deadline",
        }
    }

    /// Returns `true` if the path may still deliver.
    const fn is_stall(&self) -> bool {
        matches!(self, StreamError::Stalled(_))
    }

    /// Returns `true` if the last event relayed may have a wrong id, so that nothing can follow it.
    const fn voids_events(&self) -> bool {
        matches!(self, StreamError::Event(error) if error.voids_events())
    }

    /// Returns `true` if the first endpoint broke the stream off.
    pub(super) const fn is_break(&self) -> bool {
        matches!(
            self,
            StreamError::Broken(_)
                | StreamError::Event(_)
                | StreamError::Truncated
                | StreamError::Empty
                | StreamError::EndpointEnded
        )
    }

    /// Returns `true` if the stream stalled although all endpoints of its path respond to probes.
    pub(super) fn is_unexplained_stall(&self) -> bool {
        matches!(self, StreamError::Stalled(StallCause::Unresponsive(found)) if found.is_empty())
    }

    /// Returns `true` if an event was wrong: the endpoint may send the same again.
    pub(super) const fn is_wrong_answer(&self) -> bool {
        matches!(self, StreamError::Event(_))
    }

    /// Returns the endpoints that failed.
    pub(super) fn failed_endpoints(&self, attempt: &StreamAttempt) -> Vec<EndpointId> {
        match self {
            StreamError::Stalled(
                StallCause::Unresponsive(unresponsive) | StallCause::Suspect(unresponsive),
            ) => unresponsive.clone(),
            StreamError::Broken(_)
            | StreamError::Event(_)
            | StreamError::Truncated
            | StreamError::Empty
            | StreamError::EndpointEnded => {
                attempt.source.first_endpoint().cloned().into_iter().collect()
            }
            StreamError::Stalled(StallCause::OutOfReach) | StreamError::DeadlineExceeded => {
                Vec::new()
            }
        }
    }
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StreamError::Broken(error) => write!(f, "connection broke: {error}"),
            StreamError::Event(error) => error.fmt(f),
            StreamError::Truncated => f.write_str("ended within an event"),
            StreamError::EndpointEnded => f.write_str("ended with its endpoint"),
            StreamError::Empty => f.write_str("ended before its first event"),
            StreamError::Stalled(cause) => cause.fmt(f),
            StreamError::DeadlineExceeded => f.write_str("deadline exceeded"),
        }
    }
}

impl StreamAttempt {
    /// Time from the first event after which an answer no longer counts as just begun.
    const BEGINNING: Duration = Duration::from_millis(400);

    /// Records that events arrived at `now`; returns `true` if the answer has just got under way.
    fn record_events(&mut self, now: Moment) -> bool {
        let began_at = *self.began_at.get_or_insert(now);
        let was_under_way = self.is_under_way;
        self.is_under_way |= now.since(began_at) >= Self::BEGINNING;
        self.is_under_way && !was_under_way
    }

    /// Waits until the next complete events arrive; with `may_leave`, only until the path is found
    /// to have stalled.
    ///
    /// New streams avoid a path that stalls in either case. With `doubt_after`, the wait also ends when
    /// endpoints of the path are in doubt after the first time, or known to be unresponsive after the second.
    pub(super) async fn next_events(
        &mut self,
        state: &Rc<GatewayState>,
        remaining_time: Duration,
        may_leave: bool,
        doubt_after: Option<(Duration, Duration)>,
    ) -> ReadOutcome {
        let waiting_since = state.now();
        let probe_delay = self.timeouts.stall_probe_delay(self.typical_gap);
        let stall_timeout = match &self.source {
            StreamSource::Path(_) => self.timeouts.stall_timeout(),
            // The other host looks for another path first.
            StreamSource::Carrier(_) => self.timeouts.head_timeout(),
        };
        let stages = self.source.stages();
        let mut failure = pin!(state.wait_for_path_failure(stages, probe_delay));
        let doubt = RecoveryDesk::wait_for_doubt_if(state, stages, waiting_since, doubt_after);
        let mut doubt = pin!(doubt);
        let mut reading = pin!(read_events(&mut self.body, &mut self.splitter, self.is_framed));
        let mut has_stalled = false;
        let outcome = loop {
            tokio::select! {
                // Events that have arrived already clear any doubt.
                biased;
                outcome = reading.as_mut() => break outcome,
                found = doubt.as_mut() => return ReadOutcome::Doubtful(found),
                failure = failure.as_mut(), if may_leave => {
                    return ReadOutcome::Failed(StreamError::Stalled(failure.into()));
                }
                () = sleep(probe_delay) => {
                    let waited = state.now().since(waiting_since);
                    if waited >= remaining_time {
                        return ReadOutcome::Failed(StreamError::DeadlineExceeded);
                    }
                    if waited >= stall_timeout {
                        if may_leave {
                            let cause = StallCause::Unresponsive(Vec::new());
                            return ReadOutcome::Failed(StreamError::Stalled(cause));
                        }
                        if !has_stalled {
                            state.record_stall(stages, waiting_since);
                        }
                        has_stalled = true;
                    }
                    state.start_probes(stages, waiting_since);
                }
            }
        };
        if matches!(outcome, ReadOutcome::Events(_)) {
            let gap = state.now().since(waiting_since);
            self.typical_gap = moving_average(self.typical_gap, gap);
            // The wait for the first event and a stall are no pace.
            if let Some(reservation) = &self.reservation {
                if self.began_at.is_some() && !has_stalled {
                    reservation.record_gap(gap);
                }
            }
            if has_stalled {
                state.record_progress(stages);
            }
        }
        outcome
    }

    /// Waits until the next complete events arrive, however long the path stalls.
    pub(super) async fn late_events(&mut self, remaining_time: Duration) -> ReadOutcome {
        let reading = read_events(&mut self.body, &mut self.splitter, self.is_framed);
        let outcome = timeout(remaining_time, reading).await;
        outcome.unwrap_or(ReadOutcome::Failed(StreamError::DeadlineExceeded))
    }

    async fn release(mut self, state: &GatewayState, allowance: IdleAllowance) {
        /// Time for a connection to become ready again after its response was read.
        const READY_TIMEOUT: Duration = Duration::from_millis(2);
        drop(self.reservation.take());
        if self.is_reusable && self.connection.http.wait_ready(READY_TIMEOUT).await {
            self.connection.return_to(&state.pool, allowance, state.now());
        }
    }
}

/// Returns the moving average of the gaps between events after another gap.
fn moving_average(average: Duration, gap: Duration) -> Duration {
    /// Weight of the latest gap.
    const WEIGHT: f64 = 0.2;
    average.mul_f64(1.0 - WEIGHT) + gap.mul_f64(WEIGHT)
}

/// Reads a body until events are complete or the stream ends.
///
/// Nothing is lost if the returned future is dropped.
///
/// The end of a connection ends a body that is not framed, so without any event it says nothing.
async fn read_events(
    body: &mut Incoming,
    splitter: &mut EventSplitter,
    is_framed: bool,
) -> ReadOutcome {
    loop {
        match take_complete_events(splitter) {
            Ok(events) if events.is_empty() => {}
            Ok(events) => return ReadOutcome::Events(events),
            Err(error) => return ReadOutcome::Failed(StreamError::Event(error)),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                }
            }
            Some(Err(error)) => return ReadOutcome::Failed(StreamError::Broken(error)),
            None if splitter.has_partial_event() => {
                return ReadOutcome::Failed(StreamError::Truncated)
            }
            None if !is_framed && !splitter.has_events() => {
                return ReadOutcome::Failed(StreamError::Empty)
            }
            None => {
                return match splitter.finish(is_framed) {
                    Ok(Some(event)) => ReadOutcome::Events(event.bytes.into()),
                    Ok(None) => ReadOutcome::End,
                    Err(error) => ReadOutcome::Failed(StreamError::Event(error)),
                }
            }
        }
    }
}

/// Returns all complete events; an error that follows them is returned by the next call.
fn take_complete_events(splitter: &mut EventSplitter) -> Result<Bytes, EventError> {
    let mut events = BytesMut::new();
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => events.extend_from_slice(&event.bytes),
            Ok(None) => return Ok(events.freeze()),
            Err(error) if !events.is_empty() && !error.voids_events() => return Ok(events.freeze()),
            Err(error) => return Err(error),
        }
    }
}

/// Relays the events of a stream to its caller, and moves to another path when one fails.
pub(super) struct StreamRelay {
    pub(super) call: StreamCall,
    /// The path in use; `None` while the next one is planned.
    pub(super) attempt: Option<StreamAttempt>,
    /// How far the caller has the stream.
    pub(super) position: StreamPosition,
    /// Number of events relayed; those that the caller had before are not known.
    pub(super) event_count: u32,
    /// When events were relayed last.
    relayed_at: Option<Moment>,
    /// Longest time between two relayed events.
    longest_gap: Duration,
    /// Replacements of parts of the path in use.
    pub(super) repair: StreamRepair,
    sender: mpsc::Sender<Result<Bytes, ResponseAborted>>,
}

impl StreamRelay {
    pub(super) fn new(
        call: StreamCall,
        attempt: StreamAttempt,
        sender: mpsc::Sender<Result<Bytes, ResponseAborted>>,
    ) -> Self {
        let longest_gap = Duration::ZERO;
        let repair = StreamRepair::new(&call.context.state, &attempt);
        let attempt = Some(attempt);
        Self {
            call,
            attempt,
            position: StreamPosition::START,
            event_count: 0,
            relayed_at: None,
            longest_gap,
            repair,
            sender,
        }
    }

    /// Runs until the stream completes or fails, or the caller disconnects.
    pub(super) async fn run(mut self, first: Bytes) {
        let sender = self.sender.clone();
        tokio::select! {
            () = sender.closed() => {
                let (call, position) = (&self.call, self.position);
                call.context
                    .decision(LogEvent::CallerGone)
                    .sends(call.sends)
                    .log(format_args!("after {position}"));
                return;
            }
            () = self.relay_events(first) => {}
        }
        let Self { call, attempt, .. } = self;
        if let Some(attempt) = attempt.filter(|_| call.context.in_flight.is_complete()) {
            let Some(first) = attempt.source.first_endpoint() else { return };
            let allowance = call.context.state.idle_allowance(&call.context.service, first);
            attempt.release(&call.context.state, allowance).await;
        }
    }

    async fn relay_events(&mut self, first: Bytes) {
        let mut next = ReadOutcome::Events(first);
        let context = &self.call.context;
        let gaps = context.state.metrics.event_gaps(context.request.organisation.as_ref());
        loop {
            match next {
                ReadOutcome::Events(events) => {
                    if let Some(attempt) = &mut self.attempt {
                        self.position = attempt.splitter.position();
                        let count = attempt.splitter.take_event_count();
                        self.event_count = self.event_count.saturating_add(count);
                    }
                    let now = self.call.context.state.now();
                    let has_events = !events.is_empty();
                    if let Some(attempt) = self.attempt.as_mut().filter(|_| has_events) {
                        if attempt.record_events(now) {
                            self.call.record_survival();
                        }
                    }
                    if let Some(before) = self.relayed_at.replace(now) {
                        let gap = now.since(before);
                        gaps.observe(gap.as_secs_f64());
                        self.longest_gap = self.longest_gap.max(gap);
                        if has_events {
                            self.record_events_after_break(gap);
                        }
                    }
                    if has_events {
                        self.repair.track.record_events(now);
                    }
                    if !events.is_empty() && self.sender.send(Ok(events)).await.is_err() {
                        return;
                    }
                }
                ReadOutcome::End if self.has_endpoint_ended().await => {
                    next = ReadOutcome::Failed(StreamError::EndpointEnded);
                    continue;
                }
                ReadOutcome::End => {
                    let (call, position) = (&self.call, self.position);
                    if let Some(attempt) = &self.attempt {
                        call.context.state.record_progress(attempt.source.stages());
                    }
                    call.record_survival();
                    let gap = self.longest_gap.as_millis();
                    call.context.record_completion(
                        call.sends,
                        format_args!("up to {position}, longest gap {gap} ms"),
                    );
                    call.context.in_flight.mark_complete();
                    return;
                }
                ReadOutcome::Doubtful(doubt) => {
                    if let Some(outcome) = self.resolve_doubt(doubt).await {
                        next = outcome;
                        continue;
                    }
                }
                ReadOutcome::Failed(error) => match self.recover(error).await {
                    Ok(outcome) => {
                        next = outcome;
                        continue;
                    }
                    Err((error, reason)) => {
                        self.abort(&error, reason).await;
                        return;
                    }
                },
            }
            self.collect_order();
            let remaining_time = self.call.context.remaining_time();
            let doubt_after = self.doubt_delay();
            let Some(attempt) = self.attempt.as_mut() else { return };
            let may_leave = self.call.resume_refusal().is_none();
            let state = &self.call.context.state;
            next = attempt.next_events(state, remaining_time, may_leave, doubt_after).await;
        }
    }

    /// Returns `true` if the stream ended with its connection because its endpoint has ended.
    async fn has_endpoint_ended(&self) -> bool {
        let unframed = self.attempt.as_ref().filter(|attempt| !attempt.is_framed);
        match unframed.and_then(|attempt| attempt.source.first_endpoint()) {
            Some(endpoint) => {
                let fate = self.call.context.state.endpoint_fate(endpoint).await;
                fate != EndpointFate::Running
            }
            None => false,
        }
    }

    /// Goes on after the path failed, and returns the next events.
    ///
    /// A stalled path stays open until another one has delivered; whichever delivers first goes on.
    ///
    /// # Errors
    ///
    /// Returns what broke the path and why the stream cannot be resumed.
    async fn recover(
        &mut self,
        mut error: StreamError,
    ) -> Result<ReadOutcome, (StreamError, GiveUpReason)> {
        let failed_at = self.call.context.state.now();
        let mut stalled_path = None;
        self.record_break_found(&error);
        if let Some(mut attempt) = self.attempt.take() {
            let waited = self.time_without_events();
            self.call.record_stream_error(&attempt, &error, waited);
            if error.is_break() && !attempt.is_under_way {
                if let StreamSource::Path(route) = &attempt.source {
                    if let Some(first) = route.stages().first() {
                        self.call.record_break(&first.endpoint, route).await;
                    }
                }
            }
            if error.is_stall() {
                self.call.replaced.replace(attempt.reservation.take());
                stalled_path = Some(attempt);
            }
        }
        if matches!(error, StreamError::DeadlineExceeded) {
            return Err((error, GiveUpReason::DeadlineExceeded));
        }
        if error.voids_events() {
            return Err((error, GiveUpReason::NotResumable));
        }
        let (position, mut last_refusal) = (self.position, None);
        let mut queue_wait = self.call.timeouts().resume_wait();
        loop {
            let mut broken_path = None;
            let resumed = {
                let remaining_time = self.call.context.remaining_time();
                let wait = QueueWait::Resume(queue_wait);
                let call = &mut self.call;
                let mut resuming = pin!(resume_elsewhere(call, position, failed_at, wait));
                loop {
                    match race(&mut stalled_path, remaining_time, resuming.as_mut()).await {
                        RaceStep::Done(resumed) => break Ok(resumed),
                        RaceStep::Delivered(outcome) => break Err(outcome),
                        RaceStep::Broken(found) => {
                            let voids_events = found.voids_events();
                            broken_path = stalled_path.take().zip(Some(found));
                            if voids_events {
                                break Ok(Err(GiveUpReason::NotResumable));
                            }
                        }
                    }
                }
            };
            // Later attempts check for a path now and then instead of staying in the queue.
            queue_wait = Duration::ZERO;
            if let Some((path, found)) = broken_path {
                error = self.record_broken(&path, found);
            }
            let reason = match resumed {
                Ok(Ok((attempt, events))) => {
                    // Closing its connection cancels the work on the path that is left.
                    drop((stalled_path, self.call.replaced.take()));
                    return Ok(self.record_resumption(attempt, events));
                }
                Ok(Err(reason)) => reason,
                Err(outcome) => return self.stay(stalled_path, outcome, error),
            };
            // The earlier refusal explains more than the deadline.
            let refusal = last_refusal.filter(|_| reason == GiveUpReason::DeadlineExceeded);
            let refusal = *last_refusal.insert(refusal.unwrap_or(reason));
            let timeouts = self.call.timeouts();
            let is_abandoned =
                reason.is_final() || !timeouts.is_worth_resuming(self.time_without_events());
            if stalled_path.is_none() && is_abandoned {
                return Err((error, refusal));
            }
            let pause = async {
                if reason.is_final() {
                    pending::<()>().await;
                }
                let waited = self.call.context.state.now().since(failed_at);
                sleep(timeouts.resume_interval(waited)).await;
            };
            let remaining_time = self.call.context.remaining_time();
            match race(&mut stalled_path, remaining_time, pause).await {
                RaceStep::Done(()) => {}
                RaceStep::Delivered(outcome) => return self.stay(stalled_path, outcome, error),
                RaceStep::Broken(found) => {
                    if let Some(path) = stalled_path.take() {
                        error = self.record_broken(&path, found);
                    }
                    if error.voids_events() {
                        return Err((error, GiveUpReason::NotResumable));
                    }
                }
            }
        }
    }

    /// Records that the stream goes on over another path with `events`.
    fn record_resumption(&mut self, attempt: StreamAttempt, events: Bytes) -> ReadOutcome {
        let (call, position) = (&self.call, self.position);
        call.context.state.metrics.count_broken_stream(true);
        let path = attempt.source.to_string();
        call.context
            .decision(LogEvent::StreamResumed)
            .sends(call.sends)
            .log(format_args!("after {position} over {path}"));
        self.repair.restart(&attempt);
        self.attempt = Some(attempt);
        ReadOutcome::Events(events)
    }

    /// Keeps the stream on its stalled path, which has returned `outcome`.
    fn stay(
        &mut self,
        stalled_path: Option<StreamAttempt>,
        outcome: ReadOutcome,
        error: StreamError,
    ) -> Result<ReadOutcome, (StreamError, GiveUpReason)> {
        let Some(mut attempt) = stalled_path else { return Ok(outcome) };
        self.repair.record_stay();
        if let ReadOutcome::Failed(_) = outcome {
            return Err((error, GiveUpReason::DeadlineExceeded));
        }
        attempt.reservation = self.call.replaced.take();
        self.call.record_return(attempt.source.stages());
        let call = &self.call;
        call.context.decision(LogEvent::StreamReturned).sends(call.sends).log(format_args!(
            "{} ms after {}; {error}; route {}",
            self.time_without_events().as_millis(),
            self.position,
            attempt.source,
        ));
        self.attempt = Some(attempt);
        Ok(outcome)
    }

    /// Records that a stalled path has broken, and returns the error.
    fn record_broken(&mut self, path: &StreamAttempt, error: StreamError) -> StreamError {
        let waited = self.time_without_events();
        self.call.record_stream_error(path, &error, waited);
        drop(self.call.replaced.take());
        error
    }

    /// Returns the time since events were relayed last.
    pub(super) fn time_without_events(&self) -> Duration {
        let now = self.call.context.state.now();
        self.relayed_at.map_or(Duration::ZERO, |relayed_at| now.since(relayed_at))
    }

    async fn abort(&self, error: &StreamError, reason: GiveUpReason) {
        let state = &self.call.context.state;
        self.record_break_end("given-up");
        state.metrics.count_broken_stream(false);
        state.metrics.count_given_up_stream(reason);
        let position = self.position;
        self.call.context.decision(LogEvent::StreamGivenUp).sends(self.call.sends).log(
            format_args!(
                "last {position}, {} ms ago; {error}; not resumed: {reason}{}{}",
                self.time_without_events().as_millis(),
                self.call.describe_missing_path(reason),
                if state.is_stopping() { "; the host is stopping" } else { "" },
            ),
        );
        // The send fails if the caller has disconnected already.
        drop(self.sender.send(Err(ResponseAborted)).await);
    }
}

/// Result of waiting for a stalled path and something else at the same time.
enum RaceStep<T> {
    /// The other future completed first.
    Done(T),
    /// The stalled path delivered, or the deadline has passed.
    Delivered(ReadOutcome),
    /// The stalled path has broken, and the other future was not yet complete.
    Broken(StreamError),
}

/// Waits until a stalled path delivers or `other` completes.
async fn race<T>(
    stalled_path: &mut Option<StreamAttempt>,
    remaining_time: Duration,
    other: impl Future<Output = T>,
) -> RaceStep<T> {
    let late_events = async {
        match stalled_path {
            Some(attempt) => attempt.late_events(remaining_time).await,
            None => pending().await,
        }
    };
    tokio::select! {
        biased;
        outcome = late_events => match outcome {
            ReadOutcome::Failed(StreamError::DeadlineExceeded) => RaceStep::Delivered(outcome),
            ReadOutcome::Failed(error) => RaceStep::Broken(error),
            ReadOutcome::Events(_) | ReadOutcome::End | ReadOutcome::Doubtful(_) => {
                RaceStep::Delivered(outcome)
            }
        },
        done = other => RaceStep::Done(done),
    }
}

/// Sends the stream over another path, since its own failed at `failed_at`, and waits for its first events
/// after `position`.
async fn resume_elsewhere(
    call: &mut StreamCall,
    position: StreamPosition,
    failed_at: Moment,
    wait: QueueWait,
) -> Result<(StreamAttempt, Bytes), GiveUpReason> {
    if position.last_event().is_none() {
        return Err(GiveUpReason::NotResumable);
    }
    loop {
        if let Some(reason) = call.resume_refusal() {
            return Err(reason);
        }
        // A host that carries the stream asks for the retry itself.
        if !call.context.needs_carrier() {
            // A retry without a path would waste the budget.
            match call.plan_unless_lost(failed_at, wait).await {
                Ok(_) => {}
                Err(AttemptError::OutOfReach) => continue,
                Err(error) => return Err(give_up_reason(&error)),
            }
            call.acquire_resume().await?;
        }
        match call.attempt(position, wait).await {
            Ok((_, attempt, events)) => return Ok((attempt, events)),
            Err(AttemptError::NotRun | AttemptError::Unreachable | AttemptError::MayHaveRun) => {}
            Err(error) => return Err(give_up_reason(&error)),
        }
    }
}

const fn give_up_reason(error: &AttemptError) -> GiveUpReason {
    match error {
        AttemptError::NoPath(RefusalCause::Overloaded) => GiveUpReason::Overloaded,
        AttemptError::NoPath(RefusalCause::PromptBlocked) => GiveUpReason::PromptBlocked,
        AttemptError::NoPath(_) => GiveUpReason::NoEndpoint,
        AttemptError::NotRun
        | AttemptError::Unreachable
        | AttemptError::MayHaveRun
        | AttemptError::Failed(_) => GiveUpReason::EndpointFailed,
        AttemptError::OutOfReach => GiveUpReason::NoEndpoint,
        AttemptError::NoRetry => GiveUpReason::RetryBudget,
    }
}

use {
    crate::{
        connection::{
            EngineClient, EngineEvent, EngineStream, EngineStreamError, OpenError, StreamRequest,
        },
        process::{lock, EntryMetrics, HostClock, LogEvent, RouteGuard},
        request::latency_meter::LatencyMeter,
    },
    cassiafield_core::{
        ids::{EndpointId, Moment, StreamId},
        process::{EndpointTable, RetryBudget},
        request::{
            AnswerAssembly, FailureSource, FrameAction, RecoveryStep, RefusalCause, RequestVerdict,
            RouteStage, StreamRecovery, TokenFrame,
        },
    },
    compact_str::CompactString,
    std::{
        io,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// An admitted completion request.
#[derive(Clone, Debug)]
pub struct StreamJob {
    /// The stream.
    pub stream: StreamId,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Deadline of the request.
    pub deadline: Moment,
}

/// Receives the tokens of an answer in order.
pub trait TokenSink {
    /// Delivers the next token.
    ///
    /// # Errors
    ///
    /// Returns an I/O error if the caller has disconnected.
    fn token(&mut self, text: &str) -> io::Result<()>;
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamOutcome {
    /// The complete answer was delivered.
    Complete,
    /// The caller disconnected.
    CallerGone,
    /// The stream failed and was not resumed.
    Failed(RefusalCause, RequestVerdict),
}

/// Runs streams over routes and resumes them on another route if an endpoint fails.
pub struct StreamRunner {
    /// The clock.
    pub clock: HostClock,
    /// Client of the engines.
    pub engines: Arc<dyn EngineClient>,
    /// Load and health of the endpoints.
    pub table: Arc<Mutex<EndpointTable>>,
    /// Budget for retries of streams without a delivered token.
    pub retry_budget: Arc<Mutex<RetryBudget>>,
    /// The metrics.
    pub metrics: EntryMetrics,
}

/// How one attempt ended.
enum AttemptOutcome {
    Complete,
    CallerGone,
    Busy(Option<EndpointId>),
    Failed(FailureSource),
}

/// State of a running stream.
struct StreamRun<'a> {
    runner: &'a StreamRunner,
    job: &'a StreamJob,
    sink: &'a mut dyn TokenSink,
    assembly: AnswerAssembly,
    recovery: StreamRecovery,
    request_sent: bool,
    retry_granted: bool,
    busy_responses: u32,
}

impl StreamRunner {
    /// Maximum time between tokens of an attempt.
    const TOKEN_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Maximum time to the first token of an attempt.
    const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(5_000);
    /// Mean time between tokens from which a faster route is considered.
    const SLOW_TOKEN_INTERVAL: Duration = Duration::from_millis(128);
    /// Factor by which another endpoint must be expected to be faster.
    const MIN_SPEEDUP: u32 = 4;
    /// Number of busy responses at which a request is refused as overloaded.
    const MAX_BUSY_RESPONSES: u32 = 3;

    /// Runs a stream to its end; the route of `guard` may be replaced by others.
    ///
    /// Returns the outcome and the number of delivered tokens.
    pub fn run(
        &self,
        job: &StreamJob,
        guard: &mut RouteGuard,
        sink: &mut dyn TokenSink,
    ) -> (StreamOutcome, u32) {
        lock(&self.retry_budget).record_request();
        let mut run = StreamRun {
            runner: self,
            job,
            sink,
            assembly: AnswerAssembly::new(job.stream),
            recovery: StreamRecovery::new(job.deadline),
            request_sent: false,
            retry_granted: false,
            busy_responses: 0,
        };
        let outcome = run.run(guard);
        (outcome, run.delivered())
    }

    /// Probes all stages in parallel and attributes the failure to the first one that does not
    /// respond; if all respond, the first stage of the route is suspect.
    fn locate_failed_stage(&self, stages: &[RouteStage]) -> FailureSource {
        let alive: Vec<bool> = thread::scope(|scope| {
            let probe = |stage: &RouteStage| {
                let (engines, address) = (self.engines.clone(), stage.address.clone());
                scope.spawn(move || engines.probe(&address))
            };
            let probes: Vec<_> = stages.iter().map(probe).collect();
            probes.into_iter().map(|probe| probe.join().unwrap_or(false)).collect()
        });
        match alive.iter().position(|alive| !alive) {
            Some(failed) => FailureSource::Endpoint(stages[failed].endpoint.clone()),
            None => first_stage_suspect(stages),
        }
    }

    /// Records the time between tokens for all stages; returns the slowest stage if a substitute
    /// for it is expected to be much faster.
    fn find_slow_stage(&self, stages: &[RouteStage], measured: Duration) -> Option<EndpointId> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        for stage in stages {
            table.record_token_latency(&stage.endpoint, measured, now);
        }
        if measured < Self::SLOW_TOKEN_INTERVAL {
            return None;
        }
        let slowest =
            stages.iter().max_by_key(|stage| table.token_latency(&stage.endpoint, now))?;
        let bound = measured / Self::MIN_SPEEDUP;
        let faster = table.substitutes(&slowest.endpoint, now).into_iter().any(|endpoint| {
            let latency = table.token_latency(&endpoint, now);
            latency > Duration::ZERO && latency < bound
        });
        faster.then(|| slowest.endpoint.clone())
    }

    /// Records a success of all stages of a route.
    ///
    /// This clears their recorded failures, so a failure of the same attempt is recorded after it.
    fn record_success(&self, stages: &[RouteStage]) {
        let mut table = lock(&self.table);
        for stage in stages {
            table.record_success(&stage.endpoint);
        }
    }

    fn record_failure(&self, source: &FailureSource) {
        if let FailureSource::Endpoint(endpoint) = source {
            lock(&self.table).record_failure(endpoint, self.clock.now());
            self.metrics.count_event("endpoint-failed");
            LogEvent::EndpointFailed.log(endpoint);
        }
    }

    /// Cancels an attempt at the first stage, without waiting for the response.
    fn cancel(&self, stage: &RouteStage, stream: StreamId, attempt: u32) {
        let (engines, address) = (self.engines.clone(), stage.address.clone());
        let started = thread::Builder::new()
            .name("cancel".into())
            .spawn(move || engines.cancel(&address, stream, attempt));
        if let Err(error) = started {
            LogEvent::ThreadFailed.log(error);
        }
    }
}

impl StreamRun<'_> {
    fn delivered(&self) -> u32 {
        u32::try_from(self.assembly.tokens().len()).unwrap_or(u32::MAX)
    }

    fn run(&mut self, guard: &mut RouteGuard) -> StreamOutcome {
        loop {
            let delivered_before = self.delivered();
            let attempt = self.assembly.begin_attempt(guard.route());
            let outcome = self.attempt(attempt, guard);
            if self.delivered() > delivered_before {
                self.runner.record_success(guard.route().stages());
            }
            let source = match outcome {
                AttemptOutcome::Complete => return StreamOutcome::Complete,
                AttemptOutcome::CallerGone => {
                    self.cancel_attempt(guard, attempt);
                    LogEvent::CallerGone.log(self.job.stream);
                    return StreamOutcome::CallerGone;
                }
                AttemptOutcome::Busy(endpoint) => {
                    self.busy_responses += 1;
                    if self.busy_responses >= StreamRunner::MAX_BUSY_RESPONSES {
                        return self.give_up(RefusalCause::Overloaded);
                    }
                    if guard.reroute(endpoint.as_slice()).is_err() {
                        return self.give_up(RefusalCause::Overloaded);
                    }
                    continue;
                }
                AttemptOutcome::Failed(source) => source,
            };
            self.cancel_attempt(guard, attempt);
            self.runner.record_failure(&source);
            if let Some(outcome) = self.recover(guard, source, delivered_before) {
                return outcome;
            }
        }
    }

    /// Waits for the back-off and takes another route; returns the outcome if the stream cannot be
    /// resumed.
    fn recover(
        &mut self,
        guard: &mut RouteGuard,
        source: FailureSource,
        delivered_before: u32,
    ) -> Option<StreamOutcome> {
        if self.delivered() > delivered_before {
            self.recovery.record_progress();
        }
        let has_tokens = self.delivered() > 0;
        let permitted = has_tokens || self.try_acquire_retry();
        self.retry_granted = false;
        let now = self.runner.clock.now();
        match self.recovery.record_failure(now, source, permitted, fastrand::f64()) {
            RecoveryStep::GiveUp => Some(self.give_up(RefusalCause::EndpointFailed)),
            RecoveryStep::Resume(delay) => {
                thread::sleep(delay);
                if !self.reroute(guard) {
                    let cause = if self.request_sent {
                        RefusalCause::EndpointFailed
                    } else {
                        RefusalCause::NoEndpoint
                    };
                    return Some(self.give_up(cause));
                }
                self.runner.metrics.count_event("stream-resumed");
                LogEvent::StreamResumed.log(self.job.stream);
                None
            }
        }
    }

    /// Takes a retry from the budget, unless the stream still holds one that it has not used.
    fn try_acquire_retry(&mut self) -> bool {
        self.retry_granted = self.retry_granted || lock(&self.runner.retry_budget).try_acquire();
        self.retry_granted
    }

    /// Returns `true` if the stream can leave a silent route: an attempt and a retry are left, and
    /// another route avoids the endpoint that is silent or only the connection is lost.
    fn may_leave(
        &mut self,
        guard: &RouteGuard,
        source: &FailureSource,
        is_connection_lost: bool,
        has_progressed: bool,
    ) -> bool {
        let mut excluded = self.recovery.failed_endpoints().to_vec();
        if let FailureSource::Endpoint(endpoint) | FailureSource::Suspect(endpoint) = source {
            excluded.push(endpoint.clone());
        }
        (has_progressed || self.recovery.has_attempts_left())
            && (is_connection_lost || guard.has_route_without(&excluded))
            && (self.delivered() > 0 || self.try_acquire_retry())
    }

    /// Takes a route that avoids the failed endpoints and the suspect one; if there is none, avoids
    /// only the failed ones, then only the last failed one, then none.
    ///
    /// Returns `true` if a route was found.
    fn reroute(&self, guard: &mut RouteGuard) -> bool {
        let failed = self.recovery.failed_endpoints();
        let mut failed_and_suspect = failed.to_vec();
        failed_and_suspect.extend(self.recovery.suspect().cloned());
        let choices = [&failed_and_suspect[..], failed, self.recovery.last_failed_endpoint(), &[]];
        for excluded in choices {
            if guard.reroute(excluded).is_ok() {
                return true;
            }
        }
        false
    }

    fn give_up(&self, cause: RefusalCause) -> StreamOutcome {
        LogEvent::StreamGivenUp.log(format_args!("{} {cause}", self.job.stream));
        let verdict =
            if self.request_sent { RequestVerdict::MayHaveRun } else { RequestVerdict::NotRun };
        StreamOutcome::Failed(cause, verdict)
    }

    fn cancel_attempt(&self, guard: &RouteGuard, attempt: u32) {
        if let Some(first) = guard.route().stages().first() {
            self.runner.cancel(first, self.job.stream, attempt);
        }
    }

    fn attempt(&mut self, attempt: u32, guard: &RouteGuard) -> AttemptOutcome {
        let route = guard.route();
        let request = StreamRequest {
            stream: self.job.stream,
            attempt,
            model: route.model().clone(),
            prompt: self.job.prompt.clone(),
            generated: self.assembly.tokens().to_vec(),
            max_tokens: self.job.max_tokens,
            stages: route.stages().to_vec(),
        };
        let first = route.stages().first().map(|stage| stage.endpoint.clone());
        match self.runner.engines.open(&request) {
            Ok(mut stream) => {
                self.request_sent = true;
                self.read_events(stream.as_mut(), guard)
            }
            Err(OpenError::Unreachable(_)) => {
                AttemptOutcome::Failed(attribute_to_first_stage(route.stages()))
            }
            Err(OpenError::Busy) => {
                self.request_sent = true;
                AttemptOutcome::Busy(first)
            }
            Err(OpenError::NoResponse(_) | OpenError::Refused(_)) => {
                self.request_sent = true;
                AttemptOutcome::Failed(attribute_to_first_stage(route.stages()))
            }
        }
    }

    /// Processes engine messages until the attempt ends.
    fn read_events(&mut self, stream: &mut dyn EngineStream, guard: &RouteGuard) -> AttemptOutcome {
        let stages = guard.route().stages();
        let mut is_silent = false;
        let delivered_before = self.delivered();
        let mut last_progress = self.runner.clock.now();
        let mut token_timeout = StreamRunner::FIRST_TOKEN_TIMEOUT;
        let mut meter = LatencyMeter::default();
        loop {
            let event = stream.next_event();
            let mut has_timed_out = false;
            let now = self.runner.clock.now();
            match event {
                Ok(EngineEvent::Frame(frame)) => match self.handle_frame(frame) {
                    FrameStep::Delivered => {
                        if is_silent {
                            is_silent = false;
                            self.runner.record_success(stages);
                            LogEvent::StreamReturned.log(self.job.stream);
                        }
                        last_progress = now;
                        token_timeout = StreamRunner::TOKEN_TIMEOUT;
                        if let Some(measured) = meter.token(now) {
                            if let Some(slowest) = self.runner.find_slow_stage(stages, measured) {
                                return AttemptOutcome::Failed(FailureSource::Suspect(slowest));
                            }
                        }
                    }
                    FrameStep::Ignore => {}
                    FrameStep::Broken => {
                        return AttemptOutcome::Failed(attribute_to_first_stage(stages))
                    }
                    FrameStep::End(outcome) => return outcome,
                },
                Ok(EngineEvent::Failed { failed }) => {
                    return AttemptOutcome::Failed(FailureSource::Endpoint(failed));
                }
                Ok(EngineEvent::Heartbeat { .. }) => {}
                Err(EngineStreamError::InvalidMessage) => {
                    return AttemptOutcome::Failed(attribute_to_first_stage(stages))
                }
                Err(EngineStreamError::TimedOut) => has_timed_out = true,
                Err(EngineStreamError::Closed) => {
                    return AttemptOutcome::Failed(self.runner.locate_failed_stage(stages));
                }
            }
            let is_late = now >= self.job.deadline;
            if !is_late && !has_timed_out && now.since(last_progress) <= token_timeout {
                continue;
            }
            let source = self.runner.locate_failed_stage(stages);
            // All stages answer probes, so the engine's heartbeats do not reach this host.
            let is_connection_lost = has_timed_out && !matches!(source, FailureSource::Endpoint(_));
            let has_progressed = self.delivered() > delivered_before;
            if is_late || self.may_leave(guard, &source, is_connection_lost, has_progressed) {
                return AttemptOutcome::Failed(source);
            }
            // An endpoint that is silent may still deliver, so its stream ends only for another
            // route or at the deadline.
            if !is_silent {
                is_silent = true;
                self.runner.record_failure(&source);
            }
            last_progress = now;
        }
    }

    fn handle_frame(&mut self, frame: TokenFrame) -> FrameStep {
        match self.assembly.accept(frame) {
            FrameAction::Deliver(text) => self.deliver(&text),
            FrameAction::Complete => FrameStep::End(AttemptOutcome::Complete),
            FrameAction::Drop(reason) => {
                self.runner.metrics.count_event("frame-dropped");
                LogEvent::FrameDropped.log(format_args!("{} {reason:?}", self.job.stream));
                FrameStep::Ignore
            }
            FrameAction::Abort => FrameStep::Broken,
        }
    }

    fn deliver(&mut self, text: &CompactString) -> FrameStep {
        match self.sink.token(text) {
            Ok(()) => FrameStep::Delivered,
            Err(_) => FrameStep::End(AttemptOutcome::CallerGone),
        }
    }
}

/// How an attempt continues after a frame.
enum FrameStep {
    Delivered,
    Ignore,
    Broken,
    End(AttemptOutcome),
}

/// Attributes a failure to the first stage, which sends the frames.
fn attribute_to_first_stage(stages: &[RouteStage]) -> FailureSource {
    let first = stages.first().map(|stage| stage.endpoint.clone());
    first.map_or(FailureSource::Unknown, FailureSource::Endpoint)
}

fn first_stage_suspect(stages: &[RouteStage]) -> FailureSource {
    let first = stages.first().map(|stage| stage.endpoint.clone());
    first.map_or(FailureSource::Unknown, FailureSource::Suspect)
}

use {
    crate::{
        connection::{
            EngineClient, EngineEvent, EngineStream, OpenError, StreamError, StreamRequest,
        },
        process::{lock, EntryMetrics, HostClock, LogEvent, RouteHold},
        request::pace_meter::PaceMeter,
    },
    cassiafield_core::{
        ids::{EndpointId, Moment, StreamId},
        process::{EndpointTable, RetryBudget},
        request::{
            AnswerAssembly, AttemptBlame, FrameVerdict, RecoveryStep, RefusalCause, RequestVerdict,
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

/// One request for generated text, after admission.
#[derive(Clone, Debug)]
pub struct StreamJob {
    /// The stream.
    pub stream: StreamId,
    /// The prompt.
    pub prompt: String,
    /// Tokens in the answer, at most.
    pub max_tokens: u32,
    /// When the request must have ended.
    pub deadline: Moment,
}

/// Takes tokens in order.
pub trait TokenSink {
    /// Takes the next token.
    ///
    /// # Errors
    ///
    /// An error says that the caller is gone.
    fn token(&mut self, text: &str) -> io::Result<()>;
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamOutcome {
    /// The whole answer was delivered.
    Complete,
    /// The caller hung up.
    CallerGone,
    /// The stream was given up.
    Failed(RefusalCause, RequestVerdict),
}

/// Runs streams over routes and resumes them when endpoints fail.
pub struct StreamRunner {
    /// The clock.
    pub clock: HostClock,
    /// The engines.
    pub engines: Arc<dyn EngineClient>,
    /// The endpoints.
    pub table: Arc<Mutex<EndpointTable>>,
    /// Limits retries of streams that have made no progress.
    pub retries: Arc<Mutex<RetryBudget>>,
    /// The metrics.
    pub metrics: EntryMetrics,
}

/// How one attempt ended.
enum AttemptOutcome {
    Complete,
    CallerGone,
    Busy(Option<EndpointId>),
    Failed(AttemptBlame),
}

/// One stream while it runs.
struct StreamRun<'a> {
    runner: &'a StreamRunner,
    job: &'a StreamJob,
    sink: &'a mut dyn TokenSink,
    assembly: AnswerAssembly,
    recovery: StreamRecovery,
    request_sent: bool,
    busy: u32,
}

impl StreamRunner {
    /// Time without a token after which an attempt counts as failed, once tokens have come.
    const TOKEN_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Time until the first token of an attempt.
    const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(5_000);
    /// Time between tokens above which a stream looks for a faster route.
    const SLOW_TOKEN_INTERVAL: Duration = Duration::from_millis(128);
    /// How many times faster another route must be expected to be.
    const MIN_SPEEDUP: u32 = 4;
    /// Busy answers after which a request is refused.
    const MAX_BUSY_RESPONSES: u32 = 3;

    /// Runs a stream to its end; `hold` is its route and may be exchanged for others.
    ///
    /// Returns the end and the number of delivered tokens.
    pub fn run(
        &self,
        job: &StreamJob,
        hold: &mut RouteHold,
        sink: &mut dyn TokenSink,
    ) -> (StreamOutcome, u32) {
        lock(&self.retries).request();
        let mut run = StreamRun {
            runner: self,
            job,
            sink,
            assembly: AnswerAssembly::new(job.stream),
            recovery: StreamRecovery::new(job.deadline),
            request_sent: false,
            busy: 0,
        };
        let end = run.run(hold);
        (end, run.delivered())
    }

    /// Blames the first stage that does not answer a probe, all being probed at once.
    fn locate_failed_stage(&self, stages: &[RouteStage]) -> AttemptBlame {
        let alive: Vec<bool> = thread::scope(|scope| {
            let probe = |stage: &RouteStage| {
                let (engines, address) = (self.engines.clone(), stage.address.clone());
                scope.spawn(move || engines.probe(&address))
            };
            let probes: Vec<_> = stages.iter().map(probe).collect();
            probes.into_iter().map(|probe| probe.join().unwrap_or(false)).collect()
        });
        match alive.iter().position(|alive| !alive) {
            Some(failed) => AttemptBlame::Endpoint(stages[failed].endpoint.clone()),
            None => suspect_first_stage(stages),
        }
    }

    /// Records a stream's pace; returns the slowest stage if another one of its kind is expected
    /// to be much faster.
    fn find_slow_stage(&self, stages: &[RouteStage], measured: Duration) -> Option<EndpointId> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        for stage in stages {
            table.note_pace(&stage.endpoint, measured, now);
        }
        if measured < Self::SLOW_TOKEN_INTERVAL {
            return None;
        }
        let slowest = stages.iter().max_by_key(|stage| table.pace(&stage.endpoint, now))?;
        let bound = measured / Self::MIN_SPEEDUP;
        let faster = table.substitutes(&slowest.endpoint, now).into_iter().any(|endpoint| {
            let pace = table.pace(&endpoint, now);
            pace > Duration::ZERO && pace < bound
        });
        faster.then(|| slowest.endpoint.clone())
    }

    /// Records that all stages of a route have worked; a failure that follows is recorded after it.
    fn record_success(&self, stages: &[RouteStage]) {
        let mut table = lock(&self.table);
        for stage in stages {
            table.succeeded(&stage.endpoint);
        }
    }

    fn record_failure(&self, blame: &AttemptBlame) {
        if let AttemptBlame::Endpoint(endpoint) = blame {
            lock(&self.table).failed(endpoint, self.clock.now());
            self.metrics.event("endpoint-failed");
            LogEvent::EndpointFailed.log(endpoint);
        }
    }

    /// Tells the first stage to stop, without waiting for its answer.
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

    fn run(&mut self, hold: &mut RouteHold) -> StreamOutcome {
        loop {
            let delivered_before = self.delivered();
            let attempt = self.assembly.begin_attempt(hold.route());
            let end = self.attempt(attempt, hold);
            if self.delivered() > delivered_before {
                self.runner.record_success(hold.route().stages());
            }
            let blame = match end {
                AttemptOutcome::Complete => return StreamOutcome::Complete,
                AttemptOutcome::CallerGone => {
                    self.cancel_attempt(hold, attempt);
                    LogEvent::CallerGone.log(self.job.stream);
                    return StreamOutcome::CallerGone;
                }
                AttemptOutcome::Busy(endpoint) => {
                    self.busy += 1;
                    if self.busy >= StreamRunner::MAX_BUSY_RESPONSES {
                        return self.give_up(RefusalCause::Overloaded);
                    }
                    if hold.reroute(endpoint.as_slice()).is_err() {
                        return self.give_up(RefusalCause::Overloaded);
                    }
                    continue;
                }
                AttemptOutcome::Failed(blame) => blame,
            };
            self.cancel_attempt(hold, attempt);
            self.runner.record_failure(&blame);
            if let Some(end) = self.recover(hold, blame, delivered_before) {
                return end;
            }
        }
    }

    /// Waits and takes another route, or gives up.
    fn recover(
        &mut self,
        hold: &mut RouteHold,
        blame: AttemptBlame,
        delivered_before: u32,
    ) -> Option<StreamOutcome> {
        if self.delivered() > delivered_before {
            self.recovery.progressed();
        }
        let has_tokens = self.delivered() > 0;
        let permitted = has_tokens || lock(&self.runner.retries).take();
        let now = self.runner.clock.now();
        match self.recovery.fail(now, blame, permitted, fastrand::f64()) {
            RecoveryStep::GiveUp => Some(self.give_up(RefusalCause::EndpointFailed)),
            RecoveryStep::Resume(delay) => {
                thread::sleep(delay);
                if !self.reroute(hold) {
                    let cause = if self.request_sent {
                        RefusalCause::EndpointFailed
                    } else {
                        RefusalCause::NoEndpoint
                    };
                    return Some(self.give_up(cause));
                }
                self.runner.metrics.event("stream-resumed");
                LogEvent::StreamResumed.log(self.job.stream);
                None
            }
        }
    }

    /// Takes a route without the endpoints that failed and without the doubtful one; if there is
    /// none, one that avoids less.
    fn reroute(&self, hold: &mut RouteHold) -> bool {
        let failed = self.recovery.avoided();
        let mut failed_and_suspect = failed.to_vec();
        failed_and_suspect.extend(self.recovery.doubtful().cloned());
        let choices = [&failed_and_suspect[..], failed, self.recovery.last_avoided(), &[]];
        for avoided in choices {
            if hold.reroute(avoided).is_ok() {
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

    fn cancel_attempt(&self, hold: &RouteHold, attempt: u32) {
        if let Some(first) = hold.route().stages().first() {
            self.runner.cancel(first, self.job.stream, attempt);
        }
    }

    fn attempt(&mut self, attempt: u32, hold: &RouteHold) -> AttemptOutcome {
        let route = hold.route();
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
                self.read_events(stream.as_mut(), route.stages())
            }
            Err(OpenError::Unreachable(_)) => {
                AttemptOutcome::Failed(blame_first_stage(route.stages()))
            }
            Err(OpenError::Busy) => {
                self.request_sent = true;
                AttemptOutcome::Busy(first)
            }
            Err(OpenError::NoResponse(_) | OpenError::Refused(_)) => {
                self.request_sent = true;
                AttemptOutcome::Failed(blame_first_stage(route.stages()))
            }
        }
    }

    /// Takes messages until the attempt ends.
    fn read_events(
        &mut self,
        stream: &mut dyn EngineStream,
        stages: &[RouteStage],
    ) -> AttemptOutcome {
        let mut last_progress = self.runner.clock.now();
        let mut token_timeout = StreamRunner::FIRST_TOKEN_TIMEOUT;
        let mut pace = PaceMeter::default();
        loop {
            let event = stream.next_event();
            let now = self.runner.clock.now();
            match event {
                Ok(EngineEvent::Frame(frame)) => match self.take_frame(frame) {
                    FrameAction::Delivered => {
                        last_progress = now;
                        token_timeout = StreamRunner::TOKEN_TIMEOUT;
                        if let Some(measured) = pace.token(now) {
                            if let Some(slowest) = self.runner.find_slow_stage(stages, measured) {
                                return AttemptOutcome::Failed(AttemptBlame::Doubtful(slowest));
                            }
                        }
                    }
                    FrameAction::Ignore => {}
                    FrameAction::Broken => {
                        return AttemptOutcome::Failed(blame_first_stage(stages))
                    }
                    FrameAction::End(end) => return end,
                },
                Ok(EngineEvent::Failed { failed }) => {
                    return AttemptOutcome::Failed(AttemptBlame::Endpoint(failed));
                }
                Ok(EngineEvent::Heartbeat { .. }) => {}
                Err(StreamError::InvalidMessage) => {
                    return AttemptOutcome::Failed(blame_first_stage(stages))
                }
                Err(StreamError::TimedOut | StreamError::Closed) => {
                    return AttemptOutcome::Failed(self.runner.locate_failed_stage(stages));
                }
            }
            if now.since(last_progress) > token_timeout || now >= self.job.deadline {
                return AttemptOutcome::Failed(self.runner.locate_failed_stage(stages));
            }
        }
    }

    fn take_frame(&mut self, frame: TokenFrame) -> FrameAction {
        match self.assembly.accept(frame) {
            FrameVerdict::Deliver(text) => self.deliver(&text),
            FrameVerdict::Complete => FrameAction::End(AttemptOutcome::Complete),
            FrameVerdict::Drop(reason) => {
                self.runner.metrics.event("frame-dropped");
                LogEvent::FrameDropped.log(format_args!("{} {reason:?}", self.job.stream));
                FrameAction::Ignore
            }
            FrameVerdict::Broken => FrameAction::Broken,
        }
    }

    fn deliver(&mut self, text: &CompactString) -> FrameAction {
        match self.sink.token(text) {
            Ok(()) => FrameAction::Delivered,
            Err(_) => FrameAction::End(AttemptOutcome::CallerGone),
        }
    }
}

/// What a frame means for the attempt.
enum FrameAction {
    Delivered,
    Ignore,
    Broken,
    End(AttemptOutcome),
}

/// Blames the stage that sends the frames.
fn blame_first_stage(stages: &[RouteStage]) -> AttemptBlame {
    let first = stages.first().map(|stage| stage.endpoint.clone());
    first.map_or(AttemptBlame::Nobody, AttemptBlame::Endpoint)
}

fn suspect_first_stage(stages: &[RouteStage]) -> AttemptBlame {
    let first = stages.first().map(|stage| stage.endpoint.clone());
    first.map_or(AttemptBlame::Nobody, AttemptBlame::Doubtful)
}

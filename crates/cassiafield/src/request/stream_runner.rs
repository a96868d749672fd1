use {
    crate::{
        connection::{
            EngineClient, EngineEvent, EngineStream, OpenFailure, StreamFailure, StreamOrder,
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
pub enum RunEnd {
    /// The whole answer was delivered.
    Complete,
    /// The caller hung up.
    CallerGone,
    /// The stream was given up.
    GivenUp(RefusalCause, RequestVerdict),
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
enum AttemptEnd {
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
    sent: bool,
    busy: u32,
}

impl StreamRunner {
    /// Time without a token after which an attempt counts as failed, once tokens have come.
    const TOKEN_TIMEOUT: Duration = Duration::from_millis(1_000);
    /// Time until the first token of an attempt.
    const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(5_000);
    /// Time between tokens above which a stream looks for a faster route.
    const SLOW_PACE: Duration = Duration::from_millis(128);
    /// How many times faster another route must be expected to be.
    const SLOW_FACTOR: u32 = 4;
    /// Busy answers after which a request is refused.
    const MAX_BUSY: u32 = 3;

    /// Runs a stream to its end; `hold` is its route and may be exchanged for others.
    ///
    /// Returns the end and the number of delivered tokens.
    pub fn run(
        &self,
        job: &StreamJob,
        hold: &mut RouteHold,
        sink: &mut dyn TokenSink,
    ) -> (RunEnd, u32) {
        lock(&self.retries).record_request();
        let mut run = StreamRun {
            runner: self,
            job,
            sink,
            assembly: AnswerAssembly::new(job.stream),
            recovery: StreamRecovery::new(job.deadline),
            sent: false,
            busy: 0,
        };
        let end = run.run(hold);
        (end, run.delivered())
    }

    /// Blames the first stage that does not answer a probe, all being probed at once.
    fn find_culprit(&self, stages: &[RouteStage]) -> AttemptBlame {
        let alive: Vec<bool> = thread::scope(|scope| {
            let probe = |stage: &RouteStage| {
                let (engines, address) = (self.engines.clone(), stage.address.clone());
                scope.spawn(move || engines.probe(&address))
            };
            let probes: Vec<_> = stages.iter().map(probe).collect();
            probes.into_iter().map(|probe| probe.join().unwrap_or(false)).collect()
        });
        match alive.iter().position(|alive| !alive) {
            Some(dead) => AttemptBlame::Endpoint(stages[dead].endpoint.clone()),
            None => doubt_first(stages),
        }
    }

    /// Records a stream's pace; returns the slowest stage if another one of its kind is expected
    /// to be much faster.
    fn judge_pace(&self, stages: &[RouteStage], found: Duration) -> Option<EndpointId> {
        let now = self.clock.now();
        let mut table = lock(&self.table);
        for stage in stages {
            table.record_token_latency(&stage.endpoint, found, now);
        }
        if found < Self::SLOW_PACE {
            return None;
        }
        let slowest =
            stages.iter().max_by_key(|stage| table.token_latency(&stage.endpoint, now))?;
        let bound = found / Self::SLOW_FACTOR;
        let faster = table.substitutes(&slowest.endpoint, now).into_iter().any(|endpoint| {
            let pace = table.token_latency(&endpoint, now);
            pace > Duration::ZERO && pace < bound
        });
        faster.then(|| slowest.endpoint.clone())
    }

    /// Records that all stages of a route have worked; a failure that follows is recorded after it.
    fn note_success(&self, stages: &[RouteStage]) {
        let mut table = lock(&self.table);
        for stage in stages {
            table.record_success(&stage.endpoint);
        }
    }

    fn note_failure(&self, blame: &AttemptBlame) {
        if let AttemptBlame::Endpoint(endpoint) = blame {
            lock(&self.table).record_failure(endpoint, self.clock.now());
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

    fn run(&mut self, hold: &mut RouteHold) -> RunEnd {
        loop {
            let before = self.delivered();
            let attempt = self.assembly.begin_attempt(hold.route());
            let end = self.attempt(attempt, hold);
            if self.delivered() > before {
                self.runner.note_success(hold.route().stages());
            }
            let blame = match end {
                AttemptEnd::Complete => return RunEnd::Complete,
                AttemptEnd::CallerGone => {
                    self.cancel_attempt(hold, attempt);
                    LogEvent::CallerGone.log(self.job.stream);
                    return RunEnd::CallerGone;
                }
                AttemptEnd::Busy(endpoint) => {
                    self.busy += 1;
                    if self.busy >= StreamRunner::MAX_BUSY {
                        return self.give_up(RefusalCause::Overloaded);
                    }
                    if hold.reroute(endpoint.as_slice()).is_err() {
                        return self.give_up(RefusalCause::Overloaded);
                    }
                    continue;
                }
                AttemptEnd::Failed(blame) => blame,
            };
            self.cancel_attempt(hold, attempt);
            self.runner.note_failure(&blame);
            if let Some(end) = self.recover(hold, blame, before) {
                return end;
            }
        }
    }

    /// Waits and takes another route, or gives up.
    fn recover(
        &mut self,
        hold: &mut RouteHold,
        blame: AttemptBlame,
        before: u32,
    ) -> Option<RunEnd> {
        if self.delivered() > before {
            self.recovery.progressed();
        }
        let begun = self.delivered() > 0;
        let permitted = begun || lock(&self.runner.retries).try_acquire();
        let now = self.runner.clock.now();
        match self.recovery.fail(now, blame, permitted, fastrand::f64()) {
            RecoveryStep::GiveUp => Some(self.give_up(RefusalCause::EndpointFailed)),
            RecoveryStep::Resume(pause) => {
                thread::sleep(pause);
                if !self.reroute(hold) {
                    let cause = if self.sent {
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
        let mut cautious = failed.to_vec();
        cautious.extend(self.recovery.doubtful().cloned());
        let choices = [&cautious[..], failed, self.recovery.last_avoided(), &[]];
        for avoided in choices {
            if hold.reroute(avoided).is_ok() {
                return true;
            }
        }
        false
    }

    fn give_up(&self, cause: RefusalCause) -> RunEnd {
        LogEvent::StreamGivenUp.log(format_args!("{} {cause}", self.job.stream));
        let verdict = if self.sent { RequestVerdict::MayHaveRun } else { RequestVerdict::NotRun };
        RunEnd::GivenUp(cause, verdict)
    }

    fn cancel_attempt(&self, hold: &RouteHold, attempt: u32) {
        if let Some(first) = hold.route().stages().first() {
            self.runner.cancel(first, self.job.stream, attempt);
        }
    }

    fn attempt(&mut self, attempt: u32, hold: &RouteHold) -> AttemptEnd {
        let route = hold.route();
        let order = StreamOrder {
            stream: self.job.stream,
            attempt,
            model: route.model().clone(),
            prompt: self.job.prompt.clone(),
            generated: self.assembly.tokens().to_vec(),
            max_tokens: self.job.max_tokens,
            stages: route.stages().to_vec(),
        };
        let first = route.stages().first().map(|stage| stage.endpoint.clone());
        match self.runner.engines.open(&order) {
            Ok(mut stream) => {
                self.sent = true;
                self.follow(stream.as_mut(), route.stages())
            }
            Err(OpenFailure::Unreachable(_)) => AttemptEnd::Failed(blame_first(route.stages())),
            Err(OpenFailure::Busy) => {
                self.sent = true;
                AttemptEnd::Busy(first)
            }
            Err(OpenFailure::Unanswered(_) | OpenFailure::Refused(_)) => {
                self.sent = true;
                AttemptEnd::Failed(blame_first(route.stages()))
            }
        }
    }

    /// Takes messages until the attempt ends.
    fn follow(&mut self, stream: &mut dyn EngineStream, stages: &[RouteStage]) -> AttemptEnd {
        let mut progress = self.runner.clock.now();
        let mut patience = StreamRunner::FIRST_TOKEN_TIMEOUT;
        let mut pace = PaceMeter::default();
        loop {
            let event = stream.next_event();
            let now = self.runner.clock.now();
            match event {
                Ok(EngineEvent::Frame(frame)) => match self.take_frame(frame) {
                    FrameStep::Next => {
                        progress = now;
                        patience = StreamRunner::TOKEN_TIMEOUT;
                        if let Some(found) = pace.token(now) {
                            if let Some(slowest) = self.runner.judge_pace(stages, found) {
                                return AttemptEnd::Failed(AttemptBlame::Doubtful(slowest));
                            }
                        }
                    }
                    FrameStep::Ignore => {}
                    FrameStep::Broken => return AttemptEnd::Failed(blame_first(stages)),
                    FrameStep::End(end) => return end,
                },
                Ok(EngineEvent::Failed { failed }) => {
                    return AttemptEnd::Failed(AttemptBlame::Endpoint(failed));
                }
                Ok(EngineEvent::Heartbeat { .. }) => {}
                Err(StreamFailure::Garbage) => return AttemptEnd::Failed(blame_first(stages)),
                Err(StreamFailure::Silent | StreamFailure::Closed) => {
                    return AttemptEnd::Failed(self.runner.find_culprit(stages));
                }
            }
            if now.since(progress) > patience || now >= self.job.deadline {
                return AttemptEnd::Failed(self.runner.find_culprit(stages));
            }
        }
    }

    fn take_frame(&mut self, frame: TokenFrame) -> FrameStep {
        match self.assembly.accept(frame) {
            FrameVerdict::Deliver(text) => self.deliver(&text),
            FrameVerdict::Complete => FrameStep::End(AttemptEnd::Complete),
            FrameVerdict::Drop(reason) => {
                self.runner.metrics.event("frame-dropped");
                LogEvent::FrameDropped.log(format_args!("{} {reason:?}", self.job.stream));
                FrameStep::Ignore
            }
            FrameVerdict::Broken => FrameStep::Broken,
        }
    }

    fn deliver(&mut self, text: &CompactString) -> FrameStep {
        match self.sink.token(text) {
            Ok(()) => FrameStep::Next,
            Err(_) => FrameStep::End(AttemptEnd::CallerGone),
        }
    }
}

/// What a frame means for the attempt.
enum FrameStep {
    Next,
    Ignore,
    Broken,
    End(AttemptEnd),
}

/// Blames the stage that sends the frames.
fn blame_first(stages: &[RouteStage]) -> AttemptBlame {
    let first = stages.first().map(|stage| stage.endpoint.clone());
    first.map_or(AttemptBlame::Nobody, AttemptBlame::Endpoint)
}

fn doubt_first(stages: &[RouteStage]) -> AttemptBlame {
    let first = stages.first().map(|stage| stage.endpoint.clone());
    first.map_or(AttemptBlame::Nobody, AttemptBlame::Doubtful)
}

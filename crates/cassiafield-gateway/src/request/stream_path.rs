//! Selects the path of a stream, and describes the state behind the selection for the log.

use {
    crate::{
        process::SendTurn,
        request::stream_call::{AttemptError, StreamCall},
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        pace::OnTimePlan,
        process::{
            EngineProfile, OrganisationLoad, PathError, PathPlanner, PathRequest, PlannedPath,
        },
        request::{GiveUpReason, RefusalCause, StreamPosition},
        version::{RequestKind, RouteRule},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// How long a stream may wait for memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum QueueWait {
    /// A stream that has not started waits only if it is likely to get memory in time.
    First(Duration),
    /// A stream that its caller is receiving waits in any case: otherwise it is lost.
    Resume(Duration),
}

impl QueueWait {
    const fn duration(self) -> Duration {
        match self {
            QueueWait::First(duration) | QueueWait::Resume(duration) => duration,
        }
    }

    /// Returns what is left of the wait after `elapsed`.
    const fn shortened(self, elapsed: Duration) -> Self {
        match self {
            QueueWait::First(duration) => QueueWait::First(duration.saturating_sub(elapsed)),
            QueueWait::Resume(duration) => QueueWait::Resume(duration.saturating_sub(elapsed)),
        }
    }
}

impl StreamCall {
    /// Fraction of the objective that a request may wait for memory.
    ///
    /// The rest is left for the first event.
    pub(super) const MAX_QUEUE_TIME_FRACTION: f64 = 0.5;
    /// Maximum planned gap between events, in multiples of the route's event-gap objective.
    ///
    /// Callers disconnect after eight times the objective.
    const MAX_EVENT_GAP_FACTOR: f64 = 3.0;
    /// Fraction of the request memory that a granted request may fill by this host's own, older view: any.
    const GRANTED_MEMORY_FRACTION: f64 = 1e6;
    /// Maximum number of first endpoints that are announced; a request is not sent more often.
    const MAX_ANNOUNCED: usize = Self::MAX_SENDS as usize;
    /// Maximum number of endpoints that are asked for a turn.
    const MAX_TURN_REQUESTS: u32 = 8;
    /// Plans a path; waits for memory as `wait` allows if the endpoints are full, unless this host loses its
    /// way to them.
    pub(super) async fn plan_with_wait(
        &self,
        wait: QueueWait,
    ) -> Result<PlannedPath, AttemptError> {
        let started_at = self.context.state.now();
        let max_wait = wait.duration().min(self.context.remaining_time());
        if matches!(wait, QueueWait::First(_)) && self.may_queue() {
            if let Some(planned) = self.plan_in_order(wait, max_wait).await {
                return planned;
            }
        }
        let mut has_waited = false;
        loop {
            let planned = self.plan(wait);
            let now = self.context.state.now();
            let left = max_wait.saturating_sub(now.since(started_at));
            let is_first = matches!(wait, QueueWait::First(_));
            // A stream that its caller is receiving also waits for missing layers: endpoints that
            // were avoided may be in use again before the caller disconnects.
            let can_wait = match &planned {
                Err(AttemptError::NoPath(cause)) => !is_first || *cause == RefusalCause::Overloaded,
                _ => false,
            };
            if !is_first && planned.is_err() {
                self.context.state.start_return_probes(self.failed.iter());
            }
            let is_lost = self.context.state.is_out_of_reach(&self.context.service.service);
            if !can_wait || left.is_zero() || is_lost {
                return planned;
            }
            if is_first && self.pause_end().is_some_and(|until| until.since(now) > left) {
                return planned;
            }
            let queue = &self.context.state.admission;
            if is_first && !has_waited && !queue.has_capacity(left, now) {
                return planned;
            }
            has_waited = true;
            queue.wait_for_room().await;
        }
    }

    /// Plans a path like [`plan_with_wait`](Self::plan_with_wait) for a stream that failed at `failed_at`.
    ///
    /// If there is none, it first finds out whether this host has lost its way: nothing else may notice.
    pub(super) async fn plan_unless_lost(
        &self,
        failed_at: Moment,
        wait: QueueWait,
    ) -> Result<PlannedPath, AttemptError> {
        let (state, service) = (&self.context.state, &self.context.service.service);
        if let Ok(path) = self.plan(wait) {
            return Ok(path);
        }
        if state.is_own_failure(service, None, failed_at).await {
            return Err(AttemptError::OutOfReach);
        }
        let planned = self.plan_with_wait(wait).await;
        planned.map_err(|error| {
            if state.is_out_of_reach(service) {
                AttemptError::OutOfReach
            } else {
                error
            }
        })
    }

    /// Returns why there is no path for a request that was sent before, if there is none.
    pub(super) async fn plan_repeat(&self, position: StreamPosition) -> Result<(), RefusalCause> {
        if self.sends == 0 {
            return Ok(());
        }
        match self.plan_with_wait(self.queue_wait(position)).await {
            Err(AttemptError::NoPath(cause)) => Err(cause),
            _ => Ok(()),
        }
    }

    /// Returns how long a request for the events after `position` may wait for memory.
    pub(super) fn queue_wait(&self, position: StreamPosition) -> QueueWait {
        let is_resumption = self.context.note.as_ref().is_some_and(|note| note.sends > 0);
        if is_resumption && position.last_event().is_some() {
            return QueueWait::Resume(self.timeouts().resume_wait());
        }
        QueueWait::First(self.initial_queue_wait())
    }

    /// Returns how long a new request may wait for memory.
    fn initial_queue_wait(&self) -> Duration {
        let waited = self.context.state.now().since(self.context.request.received_at);
        self.context
            .rule
            .latency_objective
            .mul_f64(Self::MAX_QUEUE_TIME_FRACTION)
            .saturating_sub(waited)
    }

    /// Plans a path and waits for a turn at its first endpoint, if that takes a limited rate; both as
    /// `wait` allows.
    pub(super) async fn plan_with_turn(
        &self,
        wait: QueueWait,
    ) -> Result<(PlannedPath, SendTurn), AttemptError> {
        let state = &self.context.state;
        let started_at = state.now();
        for _ in 0..Self::MAX_TURN_REQUESTS {
            let left = wait.shortened(state.now().since(started_at));
            // An endpoint without a free turn is not planned with again until one may be free.
            let path = self.plan_with_wait(left).await?;
            let Some(first) = path.route.stages().first() else { break };
            let left = wait.shortened(state.now().since(started_at));
            let max_wait = left.duration().min(self.context.remaining_time());
            let turn = state.acquire_turn(&first.endpoint, max_wait).await;
            if let Some(turn) = turn.filter(|_| self.is_current(&path)) {
                return Ok((path, turn));
            }
        }
        Err(AttemptError::NoPath(RefusalCause::Overloaded))
    }

    /// Returns `true` if all endpoints of a path still take new work; a wait for a turn takes time.
    fn is_current(&self, path: &PlannedPath) -> bool {
        let directory = self.context.state.directory.borrow();
        path.route
            .stages()
            .iter()
            .all(|stage| directory.entry(&stage.endpoint).is_some_and(|entry| !entry.is_leaving))
    }

    /// Returns when the pauses end that left the last planning without a path, if any did.
    pub(super) fn pause_end(&self) -> Option<Moment> {
        match self.bottleneck.get() {
            Some(PathError::Unavailable { until }) => Some(until),
            _ => None,
        }
    }

    /// Plans a path.
    ///
    /// It may use the memory of the path that it replaces.
    pub(super) fn plan(&self, wait: QueueWait) -> Result<PlannedPath, AttemptError> {
        match self.replaced.borrow_mut().as_mut() {
            Some(replaced) => replaced.without(|| self.plan_with_free_memory(wait)),
            None => self.plan_with_free_memory(wait),
        }
    }

    /// Returns the number of endpoints that may still become the first one of a path.
    fn free_firsts(&self) -> usize {
        let count = |number: u32| usize::try_from(number).unwrap_or(usize::MAX);
        let max_firsts = count(self.context.rule.attempts.max(1));
        max_firsts.saturating_sub(self.sent_to.len().saturating_add(count(self.unanswered)))
    }

    /// Returns the endpoints that a path should avoid, whether or not the stream may return to them.
    pub(super) fn unsuitable_endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.excluded.iter().chain(self.failed.iter())
    }

    /// Plans fallback paths and adds their first endpoints to those of the request, up to the route's limit.
    pub(super) fn add_spare_endpoints(&mut self) {
        if self.context.rule.kind != RequestKind::ResumableStream {
            return;
        }
        let (excluded, bottleneck) = (self.excluded.len(), self.bottleneck.get());
        while self.free_firsts() > 0 && self.sent_to.len() < Self::MAX_ANNOUNCED {
            self.excluded.extend(self.sent_to.iter().cloned());
            let planned = self.plan_with_free_memory(QueueWait::Resume(Duration::ZERO));
            self.excluded.truncate(excluded);
            let first = planned.ok().and_then(|path| path.route.stages().first().cloned());
            let Some(first) = first.filter(|stage| !self.sent_to.contains(&stage.endpoint)) else {
                break;
            };
            self.sent_to.push(first.endpoint);
        }
        self.bottleneck.set(bottleneck);
    }

    fn plan_with_free_memory(&self, wait: QueueWait) -> Result<PlannedPath, AttemptError> {
        let may_return = matches!(wait, QueueWait::Resume(_));
        self.plan_within(self.memory_fractions(wait), &[], may_return)
    }

    /// Plans a path over endpoints whose memory is granted, whatever this host knows of their use.
    pub(super) fn plan_granted(
        &self,
        endpoints: &[EndpointId],
    ) -> Result<PlannedPath, AttemptError> {
        let service = &self.context.service.service;
        let others: Vec<EndpointId> = {
            let directory = self.context.state.directory.borrow();
            let entries = directory.entries().filter(|entry| &entry.service == service);
            let others = entries.filter(|entry| !endpoints.contains(&entry.endpoint));
            others.map(|entry| entry.endpoint.clone()).collect()
        };
        let fractions = (Self::GRANTED_MEMORY_FRACTION, Self::GRANTED_MEMORY_FRACTION);
        self.plan_within(fractions, &others, false)
    }

    /// Plans a path that fills endpoints of the own zone and of others up to some fractions, and leaves
    /// `others` out; with `may_return`, it may use endpoints that failed the request and respond again.
    fn plan_within(
        &self,
        (memory_fraction, foreign_memory_fraction): (f64, f64),
        others: &[EndpointId],
        may_return: bool,
    ) -> Result<PlannedPath, AttemptError> {
        let Some(engine) = &self.context.service.engine else {
            return Err(AttemptError::NoPath(RefusalCause::NoEndpoint));
        };
        let directory = self.context.state.directory.borrow();
        let load = self.context.state.load.borrow();
        let planner = PathPlanner {
            directory: &directory,
            load: &load,
            engine,
            now: self.context.state.now(),
        };
        let has_max_firsts = self.is_limited_to_sent_to || self.free_firsts() == 0;
        let (mut suspects, mut failed) = self.failed.split_returned(&directory, planner.now);
        if !may_return {
            failed.append(&mut suspects);
        }
        suspects.extend(self.suspects.iter().cloned());
        let excluded: Vec<EndpointId> =
            self.excluded.iter().chain(others).chain(&failed).cloned().collect();
        let request = PathRequest {
            model: &self.model,
            service: &self.context.service.service,
            zone: &self.context.state.settings.zone,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            excluded: &excluded,
            allowed_firsts: has_max_firsts.then_some(&self.sent_to[..]),
            memory_fraction,
            foreign_memory_fraction,
        };
        let excluded_and_suspect: Vec<EndpointId> =
            excluded.iter().chain(&suspects).cloned().collect();
        let first_choice = PathRequest { excluded: &excluded_and_suspect, ..request.clone() };
        let connected = self.context.state.connected_firsts(&self.context.service, planner.now);
        let planned = self.plan_on_time(&planner, &first_choice, &connected);
        let planned = match planned {
            Err(_) if !suspects.is_empty() => planner.plan_preferring(&request, &connected),
            planned => planned,
        };
        let path = planned.map_err(|error| {
            self.bottleneck.set(Some(error));
            AttemptError::NoPath(match error {
                PathError::NoCover => RefusalCause::NoEndpoint,
                PathError::NoMemory { .. } | PathError::TooSlow | PathError::Unavailable { .. } => {
                    RefusalCause::Overloaded
                }
            })
        })?;
        if self.sends == 0 && self.is_too_slow(engine, &path) {
            self.bottleneck.set(Some(PathError::TooSlow));
            return Err(AttemptError::NoPath(RefusalCause::Overloaded));
        }
        let is_allowed = |held: &PlannedPath| self.sends > 0 || !self.is_too_slow(engine, held);
        Ok(self.context.prefer_held(&planner, &first_choice, path, is_allowed))
    }

    /// Plans a path with regard to the pace of the streams that it joins.
    fn plan_on_time(
        &self,
        planner: &PathPlanner<'_>,
        request: &PathRequest<'_>,
        connected: &BTreeSet<EndpointId>,
    ) -> Result<PlannedPath, PathError> {
        let objective = self.context.rule.event_gap_objective;
        let OnTimePlan { planned, limited, is_left } =
            OnTimePlan::new(planner, request, connected, objective);
        if limited > 0 {
            self.context.state.metrics.count_path_at_limit(is_left);
            let outcome = if is_left { "left" } else { "used, since no other path is on time" };
            LogEvent::PathAtLimit
                .log(format_args!("{limited} endpoints at the limit of streams there; {outcome}"));
        }
        planned
    }

    /// Returns the fractions of the request memory that the stream may fill in the own zone and in
    /// other zones.
    fn memory_fractions(&self, wait: QueueWait) -> (f64, f64) {
        let max = OrganisationLoad::MAX_MEMORY_FRACTION;
        if matches!(wait, QueueWait::Resume(_)) {
            return (max, max);
        }
        self.context.state.memory_fractions(self.context.request.organisation.as_ref())
    }

    /// Returns the memory that the request's organisation uses, relative to an equal share.
    pub(super) fn organisation_excess(&self) -> f64 {
        let state = &self.context.state;
        let organisation = self.context.request.organisation.as_ref();
        let load = state.organisations.borrow();
        organisation.map_or(0.0, |organisation| load.excess(organisation, state.now()))
    }

    /// Returns `true` if the path's events would come so slowly that callers would disconnect.
    fn is_too_slow(&self, engine: &EngineProfile, path: &PlannedPath) -> bool {
        Self::is_path_too_slow(&self.context.rule, engine, path)
    }

    /// Returns `true` if a path's events would come too slowly for a route.
    pub(super) fn is_path_too_slow(
        rule: &RouteRule,
        engine: &EngineProfile,
        path: &PlannedPath,
    ) -> bool {
        let gap_ms = path.token_ms * f64::from(engine.tokens_per_event.max(1));
        rule.event_gap_objective
            .is_some_and(|gap| gap_ms > gap.as_secs_f64() * 1e3 * Self::MAX_EVENT_GAP_FACTOR)
    }

    /// Returns `true` if the known memory usage of an endpoint explains that it refuses streams.
    pub(super) fn is_nearly_full(&self, endpoint: &EndpointId) -> bool {
        let is_full = self.with_planner(|planner| {
            planner.directory.entry(endpoint).is_some_and(|entry| planner.is_nearly_full(entry))
        });
        is_full.unwrap_or(false)
    }

    /// Calls `use_planner` with a planner on the host's state; returns `None` without an engine.
    fn with_planner<T>(&self, use_planner: impl FnOnce(&PathPlanner<'_>) -> T) -> Option<T> {
        let engine = self.context.service.engine.as_ref()?;
        let state = &self.context.state;
        let (directory, load) = (state.directory.borrow(), state.load.borrow());
        let (directory, load) = (&*directory, &*load);
        Some(use_planner(&PathPlanner { directory, load, engine, now: state.now() }))
    }

    /// Describes the endpoints that lack the memory for a path.
    pub(super) fn describe_bottleneck(&self, error: PathError) -> String {
        let PathError::NoMemory { layer } = error else { return String::new() };
        let service = &self.context.service.service;
        let found = self.with_planner(|planner| planner.describe_holders(service, layer));
        found.map_or_else(String::new, |text| format!(": {text}"))
    }

    /// Describes why there is no path, for the log; empty for other reasons.
    pub(super) fn describe_missing_path(&self, reason: GiveUpReason) -> String {
        let is_path_missing = matches!(reason, GiveUpReason::NoEndpoint | GiveUpReason::Overloaded);
        match self.bottleneck.get().filter(|_| is_path_missing) {
            Some(error) => format!(", {error}{}", self.describe_bottleneck(error)),
            None => String::new(),
        }
    }

    /// Describes the host's view of an endpoint that refused the request.
    pub(super) fn describe_endpoint(&self, endpoint: &EndpointId) -> String {
        let described = self.with_planner(|planner| {
            planner.directory.entry(endpoint).map(|entry| planner.describe(entry))
        });
        described.flatten().unwrap_or_else(|| format!("{endpoint} is not listed"))
    }
}

//! Replaces failed parts of a stream's path while the stream goes on.

use {
    crate::{
        process::GatewayState,
        recovery::{stage_at, OrderOutcome, PathDoubt, RecoveryDesk, StageOrder, StreamTrack},
        request::{
            stream_call::{describe_route, join_ids},
            stream_relay::{ReadOutcome, StreamAttempt, StreamError, StreamRelay},
            stream_source::{StallCause, StreamSource},
        },
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::EndpointId,
        process::{OrganisationLoad, PathPlanner, PathRequest},
        recovery::{
            OrderFence, RecoverySchedule, ReplacementError, ReplacementPlan, ReplacementRequest,
            StageReplacement,
        },
        request::StageRoute,
    },
    compact_str::ToCompactString as _,
    std::{fmt, rc::Rc, time::Duration},
    tokio::{
        task::{spawn_local, JoinHandle},
        time::sleep,
    },
};

/// Orders for a stream, and what they wait for.
pub(super) struct StreamRepair {
    fence: OrderFence,
    /// The order under way, if events arrived before its answer.
    pending: Option<PendingOrder>,
    /// Endpoints that are not to take a part of the stream.
    avoided: Vec<EndpointId>,
    /// Whether the present gap is left to the verdict on the endpoints.
    is_waived: bool,
    /// Whether the run has been ordered over another path.
    has_replaced: bool,
    /// Planned time until the first event over a path that was just ordered.
    restart: Duration,
    /// What was found about the present break, and how the stream goes on.
    present_break: Option<(&'static str, &'static str)>,
    pub(super) track: Rc<StreamTrack>,
}

/// An order that was sent.
struct PendingOrder {
    reply: JoinHandle<OrderOutcome>,
    /// The path before it.
    before: StageRoute,
    /// The path that it names.
    plan: ReplacementPlan,
    doubt: PathDoubt,
}

/// Why failed stages are not replaced.
enum RepairRefusal {
    /// A host that carries the stream decides.
    Carried,
    /// The orders are used up, or one has no answer.
    Fenced,
    /// Requests with a part of its prompt ended endpoints.
    Suspicious,
    /// This host may have no way to endpoints.
    NoWay,
    /// There is no replacement.
    NoPlan(ReplacementError),
}

impl fmt::Display for RepairRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RepairRefusal::Carried => f.write_str("another host carries the stream"),
            RepairRefusal::Fenced => f.write_str("no further order may be sent"),
            RepairRefusal::Suspicious => f.write_str("endpoints ended under the request"),
            RepairRefusal::NoWay => f.write_str("no endpoint of the service has answered since"),
            RepairRefusal::NoPlan(error) => error.fmt(f),
        }
    }
}

impl StreamRepair {
    pub(super) fn new(state: &GatewayState, attempt: &StreamAttempt) -> Self {
        let track = state.recovery.track_stream();
        track.record_path(attempt.source.stages());
        Self {
            fence: OrderFence::default(),
            pending: None,
            avoided: Vec::new(),
            is_waived: false,
            has_replaced: false,
            restart: Duration::ZERO,
            present_break: None,
            track,
        }
    }

    /// Records that the stream goes on over another path.
    pub(super) fn restart(&mut self, attempt: &StreamAttempt) {
        self.track.record_path(attempt.source.stages());
        self.fence = OrderFence::default();
        (self.pending, self.restart, self.has_replaced) = (None, Duration::ZERO, false);
        self.present_break = self.present_break.map(|(found, _)| (found, "resumed"));
    }

    /// Records that the stream stays on its path.
    pub(super) fn record_stay(&mut self) {
        self.present_break = self.present_break.map(|(found, _)| (found, "returned"));
    }
}

impl StreamRelay {
    /// Time for which the first endpoint may owe the answer to a probe before the stream is sent elsewhere; wrong
    /// suspicions take from the retry budget.
    const FIRST_SUSPECT_WAIT: Duration = Duration::from_millis(20);

    /// Longest time for which a late stream lets others go first; callers wait far longer.
    const MAX_YIELD: Duration = Duration::from_millis(150);
    /// Age, before the last event, up to which a connection shows that this host has a way to endpoints; probes are
    /// not repeated sooner.
    const MAX_WAY_AGE: Duration = Duration::from_millis(100);

    /// Returns the times without an event after which the path is in doubt, and after which endpoints count that are
    /// known to be unresponsive; `None` if only a later verdict counts.
    pub(super) fn doubt_delay(&self) -> Option<(Duration, Duration)> {
        let attempt = self.attempt.as_ref()?;
        let StreamSource::Path(route) = &attempt.source else { return None };
        if self.repair.is_waived || self.repair.fence.is_pending() {
            return None;
        }
        let schedule = self.schedule(attempt, route)?;
        let restart = self.repair.restart;
        Some((schedule.probe_after() + restart, schedule.verdict_after() + restart))
    }

    fn schedule(&self, attempt: &StreamAttempt, route: &StageRoute) -> Option<RecoverySchedule> {
        let engine = self.call.context.service.engine.as_ref()?;
        let share = route.spans().map(|span| engine.layer_fraction(span)).fold(0.0, f64::max);
        let factor = engine.accelerators.iter().map(|a| a.prefill_factor).fold(0.0, f64::max);
        let tokens = f64::from(self.tokens_so_far());
        let read_ms = tokens / engine.prefill_tokens_per_ms.max(1e-9) * share * factor;
        // A day is longer than any objective.
        let read_time = Duration::from_secs_f64(read_ms.clamp(0.0, 86_400e3) / 1e3);
        RecoverySchedule::of(&attempt.timeouts, attempt.typical_gap, read_time)
    }

    /// Returns the number of tokens that a new stage reads.
    fn tokens_so_far(&self) -> u32 {
        let per_event =
            self.call.context.service.engine.as_ref().map_or(1, |e| e.tokens_per_event.max(1));
        self.call.prompt_tokens.saturating_add(self.event_count.saturating_mul(per_event))
    }

    /// Has the endpoints in doubt replaced, or leaves the path; `None` if the stream waits on.
    pub(super) async fn resolve_doubt(&mut self, mut doubt: PathDoubt) -> Option<ReadOutcome> {
        let waited = self.time_without_events();
        self.call.context.state.metrics.recovery.record_verdict(doubt.name(), waited);
        self.repair.present_break = Some((doubt.name(), "went-on"));
        let mut has_yielded = false;
        loop {
            let (before, plan) = match self.plan_replacement(&doubt) {
                Ok(found) => found,
                Err(refusal) => return self.leave_in_doubt(doubt, &refusal).await,
            };
            let delay = self.yield_delay(&plan).filter(|_| !has_yielded);
            if let Some(delay) = delay {
                has_yielded = true;
                let remaining_time = self.call.context.remaining_time();
                let attempt = self.attempt.as_mut()?;
                tokio::select! {
                    biased;
                    outcome = attempt.late_events(remaining_time) => return Some(outcome),
                    () = sleep(delay) => continue,
                }
            }
            let order = self.begin_order(before, plan, &doubt);
            let outcome = {
                let PendingOrder { mut reply, before, plan, doubt } = order;
                let remaining_time = self.call.context.remaining_time();
                let attempt = self.attempt.as_mut()?;
                tokio::select! {
                    biased;
                    outcome = attempt.late_events(remaining_time) => {
                        self.repair.pending = Some(PendingOrder { reply, before, plan, doubt });
                        return Some(outcome);
                    }
                    reply = &mut reply => {
                        let reply = reply.unwrap_or(OrderOutcome::Unanswered);
                        self.end_order(reply, &before, plan)
                    }
                }
            };
            match outcome {
                OrderOutcome::Accepted => return None,
                OrderOutcome::Refused { address: Some(address), .. } => {
                    let Some(named) = self.stage_on_path(&address) else { continue };
                    // A stage that was to be kept has failed too; a new one is avoided from now on.
                    if !doubt.endpoints.contains(&named) {
                        doubt.endpoints.push(named);
                    }
                }
                OrderOutcome::Refused { .. }
                | OrderOutcome::Unknown
                | OrderOutcome::Unanswered
                | OrderOutcome::Unsent => {
                    // The first endpoint knows no such request or has no time for it.
                    doubt.is_verdict = true;
                    return self.leave_in_doubt(doubt, &RepairRefusal::Fenced).await;
                }
            }
        }
    }

    /// Returns the endpoint of the path in use at an address.
    fn stage_on_path(&self, address: &str) -> Option<EndpointId> {
        let stages = self.attempt.as_ref()?.source.stages().iter();
        stages.filter(|s| s.address == address).map(|stage| stage.endpoint.clone()).next()
    }

    /// Returns how long the stream lets others go first, since it misses its objective in any case; `None` if it
    /// need not.
    fn yield_delay(&self, plan: &ReplacementPlan) -> Option<Duration> {
        let attempt = self.attempt.as_ref()?;
        let StreamSource::Path(route) = &attempt.source else { return None };
        let time_left = self.schedule(attempt, route)?.time_left(self.time_without_events());
        let state = &self.call.context.state;
        let endpoints = plan.reads.iter().map(|(endpoint, _)| endpoint);
        let is_in_time = plan.read_time <= time_left;
        let delay = state.recovery.backlog.borrow().delay(endpoints, is_in_time, state.now());
        (!delay.is_zero()).then(|| delay.min(Self::MAX_YIELD))
    }

    /// Leaves the path, or waits for a verdict on its endpoints.
    async fn leave_in_doubt(
        &mut self,
        doubt: PathDoubt,
        refusal: &RepairRefusal,
    ) -> Option<ReadOutcome> {
        self.repair.is_waived = true;
        let context = &self.call.context;
        context.decision(LogEvent::StageKept).sends(self.call.sends).log(format_args!(
            "{} ms after {}; {}: {}; {refusal}",
            self.time_without_events().as_millis(),
            self.position,
            doubt.name(),
            join_ids(&doubt.endpoints),
        ));
        if self.call.resume_refusal().is_some() || matches!(refusal, RepairRefusal::NoWay) {
            return None;
        }
        let PathDoubt { endpoints, is_verdict } = doubt;
        if is_verdict {
            let cause = StallCause::Unresponsive(endpoints);
            return Some(ReadOutcome::Failed(StreamError::Stalled(cause)));
        }
        // Nothing but sending the request elsewhere replaces a first endpoint.
        let remaining_time = self.call.context.remaining_time();
        let state = Rc::clone(&self.call.context.state);
        let attempt = self.attempt.as_mut()?;
        tokio::select! {
            biased;
            outcome = attempt.late_events(remaining_time) => return Some(outcome),
            () = sleep(Self::FIRST_SUSPECT_WAIT) => {}
        }
        let stages = attempt.source.stages();
        let suspects = RecoveryDesk::suspects(&state, stages, state.now());
        let is_still_suspect = endpoints.iter().any(|endpoint| {
            suspects.contains(endpoint)
                || state.directory.borrow().is_unresponsive(endpoint, state.now())
        });
        is_still_suspect
            .then(|| ReadOutcome::Failed(StreamError::Stalled(StallCause::Suspect(endpoints))))
    }

    fn plan_replacement(
        &self,
        doubt: &PathDoubt,
    ) -> Result<(StageRoute, ReplacementPlan), RepairRefusal> {
        let (call, context) = (&self.call, &self.call.context);
        let attempt = self.attempt.as_ref().ok_or(RepairRefusal::Carried)?;
        let StreamSource::Path(route) = &attempt.source else { return Err(RepairRefusal::Carried) };
        if !self.repair.fence.may_order() {
            return Err(RepairRefusal::Fenced);
        }
        let state = &context.state;
        // What ends endpoints must not reach others.
        let is_repeated_beginning = !attempt.is_under_way && self.repair.has_replaced;
        let is_suspicious = is_repeated_beginning
            || call.ends > 0
            || state.blocked_subject(context.known_identity()).is_some();
        if is_suspicious {
            return Err(RepairRefusal::Suspicious);
        }
        let now = state.now();
        let waited = self.time_without_events();
        let service = &context.service.service;
        let since = now.earlier_by(waited + Self::MAX_WAY_AGE);
        if !doubt.is_verdict && !state.is_way_sound(service, since) {
            return Err(RepairRefusal::NoWay);
        }
        let engine = context.service.engine.as_ref().ok_or(RepairRefusal::Carried)?;
        let schedule = self.schedule(attempt, route);
        let time_left = schedule.map_or(Duration::ZERO, |schedule| schedule.time_left(waited));
        let (directory, load) = (state.directory.borrow(), state.load.borrow());
        let planner = PathPlanner { directory: &directory, load: &load, engine, now };
        let excluded: Vec<EndpointId> =
            call.unsuitable_endpoints().chain(&self.repair.avoided).cloned().collect();
        let tokens = self.tokens_so_far();
        let written = tokens.saturating_sub(call.prompt_tokens);
        let request = PathRequest {
            model: &call.model,
            service,
            zone: &state.settings.zone,
            prompt_tokens: tokens,
            output_tokens: call.output_tokens.saturating_sub(written).max(1),
            excluded: &excluded,
            allowed_firsts: None,
            memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
            foreign_memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
        };
        let backlog = state.recovery.backlog.borrow().waits(now);
        let failed = &doubt.endpoints;
        let hosts = state.live_zone_hosts();
        let seed = fastrand::u64(..);
        let backlog = &backlog;
        let wanted = ReplacementRequest { route, failed, request, time_left, backlog, hosts, seed };
        let plan = StageReplacement { planner }.plan(&wanted).map_err(RepairRefusal::NoPlan)?;
        Ok((route.clone(), plan))
    }

    fn begin_order(
        &mut self,
        before: StageRoute,
        plan: ReplacementPlan,
        doubt: &PathDoubt,
    ) -> PendingOrder {
        let context = &self.call.context;
        let (state, now) = (&context.state, context.state.now());
        context.decision(LogEvent::StageOrdered).sends(self.call.sends).log(format_args!(
            "{} ms after {}; {}: {}; planned reading {:.1} ms; route {}",
            self.time_without_events().as_millis(),
            self.position,
            doubt.name(),
            join_ids(&doubt.endpoints),
            plan.read_time.as_secs_f64() * 1e3,
            describe_route(&plan.route),
        ));
        state.recovery.backlog.borrow_mut().record(&plan.reads, now);
        if let Some(reservation) = self.attempt.as_mut().and_then(|a| a.reservation.as_mut()) {
            reservation.move_to(&plan.route);
        }
        self.repair.fence.record_order();
        let order = StageOrder {
            state: Rc::clone(state),
            service: context.service.clone(),
            request_id: context.request.id.to_compact_string(),
            route: plan.route.clone(),
        };
        let reply = spawn_local(order.send());
        PendingOrder { reply, before, plan, doubt: doubt.clone() }
    }

    /// Records what came of an order.
    fn end_order(
        &mut self,
        outcome: OrderOutcome,
        before: &StageRoute,
        plan: ReplacementPlan,
    ) -> OrderOutcome {
        let (call, context) = (&self.call, &self.call.context);
        context.state.metrics.recovery.count_order(outcome.name());
        let waited = self.time_without_events().as_millis();
        let first = before.stages().first().map(|stage| stage.endpoint.clone());
        match &outcome {
            OrderOutcome::Accepted => {
                self.repair.fence.record_answer();
                self.repair.restart = plan.read_time;
                self.repair.has_replaced = true;
                self.repair.present_break =
                    self.repair.present_break.map(|(found, _)| (found, "replaced"));
                context.decision(LogEvent::StageReplaced).sends(call.sends).log(format_args!(
                    "{waited} ms after {}; route {}",
                    self.position,
                    describe_route(&plan.route),
                ));
            }
            OrderOutcome::Unsent => self.repair.fence.record_unsent(),
            OrderOutcome::Unanswered => {
                self.repair.fence.record_no_answer();
                // A late order must not meet another run of the request, if there is another path.
                self.call.suspects.extend(first);
            }
            OrderOutcome::Unknown => self.repair.fence.record_answer(),
            OrderOutcome::Refused { address, .. } => {
                self.repair.fence.record_answer();
                let named = address.as_ref().and_then(|address| stage_at(&plan.route, address));
                self.repair.avoided.extend(named.map(|stage| stage.endpoint.clone()));
            }
        }
        let attempt = self.attempt.as_mut();
        if matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Unanswered) {
            // Without an answer, the new path may still come into use.
            if let Some(attempt) = attempt {
                self.repair.track.record_path(plan.route.stages());
                attempt.source = StreamSource::Path(plan.route);
            }
        } else if let Some(reservation) = attempt.and_then(|a| a.reservation.as_mut()) {
            reservation.move_to(before);
        }
        if outcome != OrderOutcome::Accepted {
            let detail = match &outcome {
                OrderOutcome::Refused { status, address } => {
                    format!("refused with {status}, naming {address:?}")
                }
                other => other.name().to_owned(),
            };
            self.call
                .context
                .decision(LogEvent::StageOrderFailed)
                .sends(self.call.sends)
                .log(format_args!("{detail}; {waited} ms after {}", self.position));
        }
        outcome
    }

    /// Takes the answer to an order into account that was under way when events arrived.
    pub(super) fn collect_order(&mut self) {
        let Some(order) = self.repair.pending.take() else { return };
        if !order.reply.is_finished() {
            self.repair.pending = Some(order);
            return;
        }
        let PendingOrder { reply, before, plan, .. } = order;
        // A finished task is ready at once.
        let mut context = std::task::Context::from_waker(std::task::Waker::noop());
        let mut reply = std::pin::pin!(reply);
        let outcome = match std::future::Future::poll(reply.as_mut(), &mut context) {
            std::task::Poll::Ready(Ok(outcome)) => outcome,
            std::task::Poll::Ready(Err(_)) | std::task::Poll::Pending => OrderOutcome::Unanswered,
        };
        self.end_order(outcome, &before, plan);
    }

    /// Records that the path has failed.
    pub(super) fn record_break_found(&mut self, error: &StreamError) {
        if self.repair.present_break.is_none() {
            let found = error.name();
            let waited = self.time_without_events();
            self.call.context.state.metrics.recovery.record_verdict(found, waited);
            self.repair.present_break = Some((found, "went-on"));
        }
    }

    /// Records the end of a break, if events follow one, and the gap.
    pub(super) fn record_events_after_break(&mut self, gap: Duration) {
        self.repair.is_waived = false;
        self.repair.restart = Duration::ZERO;
        if let Some((found, outcome)) = self.repair.present_break.take() {
            self.call.context.state.metrics.recovery.record_end(found, outcome, gap);
        }
    }

    /// Records that the stream ends with the present break.
    pub(super) fn record_break_end(&self, outcome: &'static str) {
        if let Some((found, _)) = self.repair.present_break {
            let gap = self.time_without_events();
            self.call.context.state.metrics.recovery.record_end(found, outcome, gap);
        }
    }
}

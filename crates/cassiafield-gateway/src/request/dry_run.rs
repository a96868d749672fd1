//! Answers where a request would go now, by the functions that decide it, and changes nothing.

use {
    crate::{
        prefix::PlacedPrompt,
        process::GatewayState,
        request::{dry_run_query::DryRunError, stream_call::StreamCall, DryRunQuery},
    },
    cassiafield::process::{
        DryRunOutcome, DryRunReport, EndpointView, HolderView, LogEvent, PathReport, PrefixReport,
        StageReport,
    },
    cassiafield_core::{
        ids::{CrashSubject, EndpointId, ModelId, Moment},
        pace::OnTimePlan,
        prefix::PrefixDecision,
        process::{
            BlockedSubject, EndpointStanding, EngineProfile, PathError, PathPlanner, PathRequest,
            PlannedPath, RateBucket, ServiceChoice, StageCost,
        },
        request::RefusalCause,
        version::{RouteRule, RouteTable, ServiceRule},
    },
    compact_str::{format_compact, CompactString, ToCompactString as _},
    http::{Method, StatusCode},
    std::{cell::RefCell, rc::Rc, time::Duration},
};

/// Answers dry runs at the metrics address.
pub struct DryRunService {
    state: Rc<GatewayState>,
    rate: RefCell<RateBucket>,
}

/// What a host would do, before paths and endpoints are described.
struct DryRunVerdict {
    outcome: DryRunOutcome,
    reason: Option<CompactString>,
    wait: Option<Duration>,
    return_after: Option<Duration>,
}

/// A request that a configuration permits, as far as its description shows.
struct DryRun<'a> {
    state: &'a GatewayState,
    query: &'a DryRunQuery,
    rule: &'a RouteRule,
    service: &'a ServiceRule,
    now: Moment,
}

impl DryRunService {
    /// Path at which dry runs are answered.
    pub const PATH: &'static str = "/dry-run";
    /// Number of dry runs that are answered per second; an operator needs a few, and each takes as much
    /// processor time as four placements.
    const MAX_PER_SECOND: f64 = 5.0;

    /// Creates the service of a host.
    #[must_use]
    pub fn new(state: Rc<GatewayState>) -> Self {
        let rate = Self::MAX_PER_SECOND;
        let mut bucket = RateBucket::empty(rate, rate, Moment::ORIGIN);
        bucket.refund(rate, Moment::ORIGIN);
        Self { state, rate: RefCell::new(bucket) }
    }

    /// Answers a request at [`DryRunService::PATH`] with a report in JSON, or with the reason why not.
    ///
    /// Only requests from the host itself are answered: whoever has a shell there is an operator.
    #[must_use]
    pub fn answer(
        &self,
        method: &Method,
        query: Option<&str>,
        is_local: bool,
    ) -> (StatusCode, Vec<u8>) {
        let refuse = |status: StatusCode, text: &str| (status, format!("{text}\n").into_bytes());
        if !is_local {
            return refuse(StatusCode::FORBIDDEN, "dry runs are answered on the host itself only");
        }
        if method != Method::GET {
            return refuse(StatusCode::METHOD_NOT_ALLOWED, "only GET is served");
        }
        if self.rate.borrow_mut().spend(1.0, self.state.now()).is_err() {
            return refuse(
                StatusCode::TOO_MANY_REQUESTS,
                "too many dry runs; try again in a second",
            );
        }
        let report =
            DryRunQuery::try_from(query.unwrap_or_default()).and_then(|query| self.report(&query));
        match report {
            Ok(report) => {
                LogEvent::DryRunAnswered.log(format_args!(
                    "route {}: {}",
                    report.route,
                    report.outcome.name()
                ));
                (StatusCode::OK, report.to_json())
            }
            Err(error) => refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }

    /// Returns where a request would go now, and why.
    ///
    /// # Errors
    ///
    /// Returns the field of the query that does not fit the configuration.
    pub fn report(&self, query: &DryRunQuery) -> Result<DryRunReport, DryRunError> {
        let table = self.state.route_table();
        let table = table.ok_or_else(|| DryRunError::new("host", "no configuration yet"))?;
        let rule = table.route(&query.host, &query.path);
        let rule =
            rule.ok_or_else(|| DryRunError::new("path", "no route of that host begins it"))?;
        check_organisation(&table, rule, query)?;
        let service = service_of(&table, rule, query)?;
        let (state, now) = (&*self.state, self.state.now());
        Ok(DryRun { state, query, rule, service, now }.report())
    }
}

fn check_organisation(
    table: &RouteTable,
    rule: &RouteRule,
    query: &DryRunQuery,
) -> Result<(), DryRunError> {
    let field = "organisation";
    match &query.organisation {
        Some(organisation) if !table.has_organisation(organisation) => {
            Err(DryRunError::new(field, format_args!("{organisation} has no key")))
        }
        None if table.requires_key() && !rule.is_public => {
            Err(DryRunError::new(field, "missing; the route needs a key"))
        }
        _ => Ok(()),
    }
}

fn service_of<'a>(
    table: &'a RouteTable,
    rule: &RouteRule,
    query: &DryRunQuery,
) -> Result<&'a ServiceRule, DryRunError> {
    let largest = rule.targets.iter().max_by_key(|target| target.weight);
    let target = match &query.service {
        Some(service) => rule.targets.iter().find(|target| &target.service == service),
        None => largest,
    };
    let service = target.and_then(|target| table.service(&target.service));
    service.ok_or_else(|| DryRunError::new("service", "not a service of the route"))
}

impl<'a> DryRun<'a> {
    /// Number of paths that are reported, the chosen one included.
    const MAX_PATHS: usize = 4;
    /// Maximum number of endpoints that are listed.
    const MAX_ENDPOINTS: usize = 1_000;

    fn report(&self) -> DryRunReport {
        let mut report = DryRunReport {
            host: self.state.settings.host.clone(),
            zone: self.state.settings.zone.clone(),
            route: self.rule.name.clone(),
            service: self.service.service.clone(),
            organisation: self.query.organisation.clone(),
            outcome: DryRunOutcome::Admit,
            reason: None,
            wait_ms: None,
            return_ms: None,
            paths: Vec::new(),
            prefix: None,
            endpoints: Vec::new(),
            state: self.state_lines(),
        };
        let engine = self.service.engine.as_ref().filter(|_| self.rule.kind.is_stream());
        let planned = match engine {
            Some(engine) => self.describe_stream(engine, &mut report),
            None => self.describe_call(&mut report),
        };
        let verdict = self.overriding_verdict().unwrap_or(planned);
        report.outcome = verdict.outcome;
        report.reason = verdict.reason;
        report.wait_ms = verdict.wait.map(millis);
        report.return_ms = verdict.return_after.map(millis);
        report
    }

    /// Returns why the request is not placed at all, if it is not.
    fn overriding_verdict(&self) -> Option<DryRunVerdict> {
        let refuse = |cause: RefusalCause, return_after: Option<Duration>| {
            let reason = Some(cause.name().into());
            DryRunVerdict { outcome: DryRunOutcome::Refuse, reason, wait: None, return_after }
        };
        if self.state.remaining_service_time() < self.rule.timeout {
            return Some(refuse(RefusalCause::NotReady, None));
        }
        if self.query.organisation.is_some() && !self.state.keys_are_fresh() {
            return Some(refuse(RefusalCause::StoreUnavailable, None));
        }
        if let Some(blocked) = self.blocked_part() {
            let return_after = Some(StreamCall::BLOCKED_RETRY_DELAY);
            let reason = Some(format_compact!("{}: {blocked}", blocked.refusal_cause()));
            return Some(DryRunVerdict {
                reason,
                ..refuse(RefusalCause::PromptBlocked, return_after)
            });
        }
        self.state.is_out_of_reach(&self.service.service).then(|| DryRunVerdict {
            outcome: DryRunOutcome::Carry,
            reason: Some("this host has no way to the service's endpoints".into()),
            wait: None,
            return_after: None,
        })
    }

    fn blocked_part(&self) -> Option<BlockedSubject> {
        let is_own = |found: &BlockedSubject| match &found.subject {
            CrashSubject::Part(part) => self.query.prompt.shared().contains(part),
            CrashSubject::Request(_) => false,
        };
        self.state.blocked_subjects().into_iter().find(is_own)
    }

    fn describe_stream(&self, engine: &EngineProfile, report: &mut DryRunReport) -> DryRunVerdict {
        let directory = self.state.directory.borrow();
        let load = self.state.load.borrow();
        let planner = PathPlanner { directory: &directory, load: &load, engine, now: self.now };
        let (prompt_tokens, max_output_tokens) =
            self.query.tokens.unwrap_or((engine.mean_prompt_tokens, engine.mean_output_tokens));
        let model = self.query.model.clone().or_else(|| self.service.service.as_str().parse().ok());
        let Some(model) = model else { return self.refuse_call(None) };
        let (memory_fraction, foreign_memory_fraction) =
            self.state.memory_fractions(self.query.organisation.as_ref());
        let request = PathRequest {
            model: &model,
            service: &self.service.service,
            zone: &self.state.settings.zone,
            prompt_tokens,
            output_tokens: engine.mean_output_tokens.min(max_output_tokens.max(1)),
            excluded: &[],
            allowed_firsts: None,
            memory_fraction,
            foreign_memory_fraction,
        };
        for (endpoint, standing) in planner.endpoint_standings(&request) {
            let Some(entry) = directory.entry(&endpoint) else { continue };
            report.endpoints.push(EndpointView {
                zone: entry.zone.clone(),
                standing: standing.to_compact_string(),
                until_ms: standing.until().map(|until| millis(until.since(self.now))),
                load: format_compact!("{}{}", planner.describe(entry), self.reading_age(&endpoint)),
                endpoint,
            });
        }
        report.endpoints.truncate(Self::MAX_ENDPOINTS);
        let connected = self.state.connected_firsts(self.service, self.now);
        let objective = self.rule.event_gap_objective;
        let plan = OnTimePlan::new(&planner, &request, &connected, objective);
        let planned = plan.planned.and_then(|path| {
            if StreamCall::is_path_too_slow(self.rule, engine, &path) {
                return Err(PathError::TooSlow);
            }
            Ok(path)
        });
        let path = match planned {
            Ok(path) => self.place(&planner, &request, &model, path, report),
            Err(error) => return self.without_path(error),
        };
        let turn_wait = path.route.stages().first().map_or(Duration::ZERO, |first| {
            directory.expected_turn_wait(&first.endpoint, self.now)
        });
        self.describe_paths(&planner, &request, path, report);
        if self.state.admission.must_wait(&self.service.service, self.now) {
            let reason = Some("requests of the service wait for room".into());
            let wait = Some(self.max_queue_wait());
            return DryRunVerdict {
                outcome: DryRunOutcome::Wait,
                reason,
                wait,
                return_after: None,
            };
        }
        if turn_wait.is_zero() {
            return DryRunVerdict::admit();
        }
        let reason = Some("a turn at the first endpoint".into());
        let wait = Some(turn_wait);
        DryRunVerdict { outcome: DryRunOutcome::Wait, reason, wait, return_after: None }
    }

    /// Chooses between the best path and those over endpoints that hold the beginning of the prompt.
    fn place<'b>(
        &self,
        planner: &PathPlanner<'b>,
        request: &PathRequest<'b>,
        model: &ModelId,
        best: PlannedPath,
        report: &mut DryRunReport,
    ) -> PlannedPath {
        let prompt = PlacedPrompt::of(self.rule, self.service, model, &self.query.prompt);
        let Some(prompt) = prompt else { return best };
        let decision = self.state.prefixes.choose(planner, request, &prompt, best);
        let table = self.state.prefixes.table();
        let mut holders = Vec::new();
        for link in prompt.chain.links().iter().rev() {
            for entry in planner.directory.live_entries(request.service) {
                let confidence = table.confidence(entry, None, *link, prompt.cache, self.now);
                let used_at = table.used_at(&entry.endpoint, link.key);
                if let Some(used_at) = used_at.filter(|_| confidence > 0.0) {
                    holders.push(HolderView {
                        endpoint: entry.endpoint.clone(),
                        tokens: link.tokens,
                        confidence,
                        age_ms: millis(self.now.since(used_at)),
                    });
                }
            }
        }
        holders.truncate(Self::MAX_ENDPOINTS);
        let PrefixDecision { path, reason, saved_ms, extra_ms, expected_uses } = decision;
        let reason = reason.name().into();
        report.prefix = Some(PrefixReport { reason, saved_ms, extra_ms, expected_uses, holders });
        path
    }

    /// Adds the chosen path and the next best ones, each of which starts at another endpoint.
    fn describe_paths(
        &self,
        planner: &PathPlanner<'a>,
        request: &PathRequest<'a>,
        chosen: PlannedPath,
        report: &mut DryRunReport,
    ) {
        let mut excluded: Vec<EndpointId> = Vec::new();
        let mut next = Some(chosen);
        while let Some(path) = next.take().filter(|_| report.paths.len() < Self::MAX_PATHS) {
            excluded.extend(path.route.stages().first().map(|stage| stage.endpoint.clone()));
            report.paths.extend(path_report(planner, request, &path));
            next = planner.plan(&PathRequest { excluded: &excluded, ..request.clone() }).ok();
        }
    }

    /// Returns how long a request that has just come may wait for room.
    fn max_queue_wait(&self) -> Duration {
        self.rule.latency_objective.mul_f64(StreamCall::MAX_QUEUE_TIME_FRACTION)
    }

    /// Returns what is done without a path, as for a request that has just come.
    fn without_path(&self, error: PathError) -> DryRunVerdict {
        let reason: Option<CompactString> = Some(error.to_compact_string());
        let refuse = |return_after: Duration| DryRunVerdict {
            outcome: DryRunOutcome::Refuse,
            reason: reason.clone(),
            wait: None,
            return_after: Some(return_after),
        };
        let max_wait = self.max_queue_wait();
        match error {
            PathError::NoCover => return refuse(StreamCall::UNAVAILABLE_RETRY_DELAY),
            PathError::Unavailable { until } if until.since(self.now) > max_wait => {
                return refuse(until.since(self.now));
            }
            _ => {}
        }
        let desk = &self.state.admission;
        if desk.has_capacity(max_wait, self.now) {
            let (wait, return_after) = (Some(max_wait), None);
            return DryRunVerdict { outcome: DryRunOutcome::Wait, reason, wait, return_after };
        }
        let max_delay = self.rule.timeout * StreamCall::MAX_RETRY_DELAY_PERCENT / 100;
        refuse(desk.expected_return(max_delay, self.now))
    }

    /// Describes a request to a plain service.
    fn describe_call(&self, report: &mut DryRunReport) -> DryRunVerdict {
        let directory = self.state.directory.borrow();
        let service = &self.service.service;
        let mut excluded: Vec<EndpointId> = Vec::new();
        while report.paths.len() < Self::MAX_PATHS {
            let choice = ServiceChoice {
                service,
                zone: &self.state.settings.zone,
                excluded: &excluded,
                at_most_once: !self.rule.kind.is_retryable(),
            };
            let Some(entry) = directory.choose(&choice, self.now) else { break };
            let wait = directory.expected_turn_wait(&entry.endpoint, self.now);
            let terms_ms = named_terms([("turn-wait", wait.as_secs_f64() * 1e3)]);
            let endpoint = entry.endpoint.clone();
            excluded.push(endpoint.clone());
            let stage = StageReport { endpoint, layers: CompactString::default(), terms_ms };
            report.paths.push(PathReport {
                total_ms: 0.0,
                first_ms: wait.as_secs_f64() * 1e3,
                token_ms: 0.0,
                held_tokens: 0,
                stages: vec![stage],
            });
        }
        for entry in directory.entries().filter(|entry| &entry.service == service) {
            let endpoint = &entry.endpoint;
            let until = directory.unavailable_until(endpoint, self.now);
            let standing = match until {
                _ if entry.is_leaving => EndpointStanding::Leaving,
                Some(until) if directory.blocked_until(endpoint, self.now).is_some() => {
                    EndpointStanding::Paused { until }
                }
                Some(until) => EndpointStanding::NoTurn { until },
                None if directory.is_suspect(endpoint, self.now) => EndpointStanding::Suspect,
                None => EndpointStanding::Usable,
            };
            report.endpoints.push(EndpointView {
                endpoint: endpoint.clone(),
                zone: entry.zone.clone(),
                standing: standing.to_compact_string(),
                until_ms: standing.until().map(|until| millis(until.since(self.now))),
                load: CompactString::default(),
            });
        }
        report.endpoints.truncate(Self::MAX_ENDPOINTS);
        if report.paths.is_empty() {
            return self.refuse_call(directory.service_unavailable_until(service, self.now));
        }
        DryRunVerdict::admit()
    }

    fn refuse_call(&self, until: Option<Moment>) -> DryRunVerdict {
        DryRunVerdict {
            outcome: DryRunOutcome::Refuse,
            reason: Some(RefusalCause::NoEndpoint.name().into()),
            wait: None,
            return_after: until.map(|until| until.since(self.now)),
        }
    }

    fn reading_age(&self, endpoint: &EndpointId) -> CompactString {
        let age = self.state.load.borrow().reading_age(endpoint, self.now);
        age.map_or_else(
            || ", no reading".into(),
            |age| format_compact!(", read {} ms ago", age.as_millis()),
        )
    }

    fn state_lines(&self) -> Vec<(CompactString, CompactString)> {
        let snapshot = self.state.snapshot();
        let age = |age: Option<Duration>| {
            age.map_or_else(
                || "never read".into(),
                |age| format_compact!("{} ms old", age.as_millis()),
            )
        };
        let mut lines: Vec<(CompactString, CompactString)> = vec![
            (
                "configuration".into(),
                format_compact!(
                    "version {}, {}",
                    snapshot.configuration,
                    age(snapshot.configuration_age)
                ),
            ),
            (
                "endpoints".into(),
                format_compact!("{} known, {}", snapshot.endpoints, age(snapshot.endpoints_age)),
            ),
            ("running".into(), self.state.in_flight_count().to_compact_string()),
            ("waiting".into(), self.state.admission.waiting().to_compact_string()),
            ("blocked parts".into(), self.state.blocked_subjects().len().to_compact_string()),
            ("held beginnings".into(), self.state.prefixes.table().len().to_compact_string()),
        ];
        if let Some(organisation) = &self.query.organisation {
            let load = self.state.organisations.borrow();
            let excess = load.excess(organisation, self.now);
            let fraction = load.memory_fraction(organisation, self.now);
            let text =
                format_compact!("{excess:.1} times the equal share, fills memory to {fraction:.2}");
            lines.push(("organisation".into(), text));
        }
        lines
    }
}

impl DryRunVerdict {
    const fn admit() -> Self {
        Self { outcome: DryRunOutcome::Admit, reason: None, wait: None, return_after: None }
    }
}

fn path_report<'a>(
    planner: &PathPlanner<'a>,
    request: &PathRequest<'a>,
    path: &PlannedPath,
) -> Option<PathReport> {
    let cost = planner.path_cost(request, &path.route, path.held_tokens)?;
    let stages = cost.stages.iter().zip(path.route.stages());
    let stages = stages.map(|((endpoint, cost), stage)| StageReport {
        endpoint: endpoint.clone(),
        layers: stage.span.to_compact_string(),
        terms_ms: stage_terms(cost),
    });
    Some(PathReport {
        total_ms: cost.total_ms(),
        first_ms: cost.first_ms(),
        token_ms: cost.token_ms(),
        held_tokens: path.held_tokens,
        stages: stages.collect(),
    })
}

fn stage_terms(cost: &StageCost) -> Vec<(CompactString, f64)> {
    named_terms([
        ("decode", cost.decode_ms),
        ("prefill", cost.prefill_ms),
        ("hop", cost.hop_ms),
        ("turn-wait", cost.turn_wait_ms),
        ("zone-delay", cost.zone_delay_ms),
        ("link-wait", cost.link_wait_ms),
        ("token-transfer", cost.token_transfer_ms),
        ("prompt-transfer", cost.prompt_transfer_ms),
        ("crossing", cost.crossing_ms),
        ("opening", cost.opening_ms),
        ("exposure", cost.exposure_ms),
    ])
}

fn named_terms<const N: usize>(terms: [(&str, f64); N]) -> Vec<(CompactString, f64)> {
    let present = terms.into_iter().filter(|(_, value)| *value > 0.0);
    present.map(|(name, value)| (name.into(), value)).collect()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

use {
    crate::{
        ids::{EndpointId, ModelId, Moment, ServiceId, ZoneId},
        pace::{ExposedStage, PathPart, PlannedPart},
        prefix::PrefixReason,
        process::{
            EndpointDirectory, EndpointEntry, EndpointStanding, EngineLoad, EngineProfile,
            PathCost, StageCost, ZonePair,
        },
        request::{LayerSpan, RouteDraft, RouteStage, StageRoute},
    },
    compact_str::ToCompactString as _,
    std::{collections::BTreeSet, fmt},
};

/// The request that a path is planned for, and its constraints.
#[derive(Clone, Debug)]
pub struct PathRequest<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// The service whose endpoints hold the model's layers.
    pub service: &'a ServiceId,
    /// The availability zone of the planning host.
    pub zone: &'a ZoneId,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub output_tokens: u32,
    /// Endpoints that have failed this request and must not be used.
    pub excluded: &'a [EndpointId],
    /// The endpoints that the path may start at; `None` if any endpoint may be first.
    pub allowed_firsts: Option<&'a [EndpointId]>,
    /// Fraction of the request memory up to which endpoints of the own zone may be filled.
    pub memory_fraction: f64,
    /// The same for endpoints of other zones, which need room for requests of their own zone.
    pub foreign_memory_fraction: f64,
}

/// A path and its expected latencies.
#[derive(Clone, Debug)]
pub struct PlannedPath {
    /// The endpoints and their layer ranges, in order of execution.
    pub route: StageRoute,
    /// Expected time per token, in milliseconds.
    pub token_ms: f64,
    /// Expected time to the first token on idle endpoints, in milliseconds.
    pub first_token_ms: f64,
    /// The links between availability zones that the stages use, each as often as they cross it.
    pub crossings: Vec<ZonePair>,
    /// The time per event of the path's parts as the profile plans it.
    pub parts: Vec<PlannedPart>,
    /// What the search minimises: the caller's expected time per token, with penalties, in milliseconds.
    pub cost_ms: f64,
    /// Length of the prompt's beginning that all endpoints of the path are believed to hold, in tokens.
    pub held_tokens: u32,
    /// Reading time that this spares if it is true, in milliseconds; `first_token_ms` includes it.
    pub spared_ms: f64,
    /// What the beginning of the prompt had to do with the choice of the path; `None` if it was not asked.
    pub prefix_reason: Option<PrefixReason>,
}

/// The reason why no path could be planned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathError {
    /// The endpoints in use do not hold all layers.
    NoCover,
    /// Every path contains an endpoint with too little memory for the request, or starts at an
    /// endpoint without a free slot.
    NoMemory {
        /// The last layer boundary that a path with enough capacity reaches.
        layer: u16,
    },
    /// Events over the best path would come so slowly that callers disconnect.
    TooSlow,
    /// There is a path only over endpoints that have asked this host for a pause, or from endpoints
    /// that take a limited rate and have no turn free.
    Unavailable {
        /// When the path may be used.
        until: Moment,
    },
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PathError::NoCover => f.write_str("the endpoints in use do not hold all layers"),
            PathError::TooSlow => f.write_str("the best path is too slow"),
            PathError::Unavailable { until } => {
                write!(f, "endpoints of every path pause or have no turn free, until {until}")
            }
            PathError::NoMemory { layer } => write!(f, "no path has room beyond layer {layer}"),
        }
    }
}

impl std::error::Error for PathError {}

/// Plans paths over endpoints that hold ranges of layers, minimising the time per token.
///
/// The search runs over the layer boundaries of all candidates and keeps the cheapest partial
/// paths to each of them.
#[derive(Clone, Copy, Debug)]
pub struct PathPlanner<'a> {
    /// The known endpoints.
    pub directory: &'a EndpointDirectory,
    /// The load of the endpoints.
    pub load: &'a EngineLoad,
    /// Performance and memory figures of the engine.
    pub engine: &'a EngineProfile,
    /// The current time.
    pub now: Moment,
}

/// Which endpoints a search may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CandidateFilter {
    /// Those that are neither suspect nor have asked for a pause.
    Healthy,
    /// Suspect ones too.
    Usable,
    /// Also those that have asked for a pause: nothing may be sent over such a path yet.
    Live,
}

pub(crate) struct Candidate<'a> {
    pub(crate) entry: &'a EndpointEntry,
    /// Index of its availability zone in the [`LinkTable`].
    pub(crate) zone_index: usize,
    pub(crate) span: LayerSpan,
    /// Time per token and layer, in milliseconds.
    pub(crate) layer_ms: f64,
    /// Prefill time of the prompt per layer, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Free memory, in tokens times layers.
    pub(crate) free: f64,
    /// Whether it has a free slot for a stream that starts at it.
    has_slot: bool,
    /// Whether the path may start at it.
    may_be_first: bool,
    /// Expected wait for a turn of a stream that starts at it, in milliseconds.
    turn_wait_ms: f64,
    /// Price of opening a connection for a stream that starts at it, in milliseconds of its first event.
    opening_ms: f64,
    /// How much slower than its profile it is.
    slowdown: f64,
    /// Time per token and layer by which one more stream delays the others there, in milliseconds.
    joined_ms: f64,
    /// Expected loss by its end per token, in milliseconds.
    exposure_ms: f64,
}

impl Candidate<'_> {
    /// Returns `true` unless its endpoint takes a limited rate and has no turn free.
    fn has_turn(&self, planner: &PathPlanner<'_>) -> bool {
        planner.directory.unavailable_until(&self.entry.endpoint, planner.now).is_none()
    }
}

/// The availability zones of the candidates, and the utilisation of the links between them.
pub(crate) struct LinkTable<'a> {
    zones: Vec<&'a ZoneId>,
    /// Used fraction of the bandwidth, by the indices of two zones.
    used: Vec<Vec<f64>>,
    /// How much slower than planned the links are, by the indices of two zones.
    slowdown: Vec<Vec<f64>>,
}

impl<'a> LinkTable<'a> {
    pub(crate) fn new(planner: &PathPlanner<'a>, request: &PathRequest<'a>) -> Self {
        let mut zones: Vec<&ZoneId> = vec![request.zone];
        for entry in planner.directory.live_entries(request.service) {
            if !zones.contains(&&entry.zone) {
                zones.push(&entry.zone);
            }
        }
        let usage = planner.load.links.total_usage(planner.now);
        let bytes_per_second = planner.engine.link_bytes_per_second();
        let fraction = |one: &ZoneId, other: &ZoneId| {
            usage.get(&ZonePair::new(one, other)).map_or(0.0, |bytes| bytes / bytes_per_second)
        };
        let row = |one: &&ZoneId| zones.iter().map(|other| fraction(one, other)).collect();
        let used = zones.iter().map(row).collect();
        let slowdown = |one: &ZoneId, other: &ZoneId| {
            let part = PathPart::Link(ZonePair::new(one, other));
            planner.load.pace.slowdown(&part, planner.now).map_or(1.0, |(factor, _)| factor)
        };
        let row = |one: &&ZoneId| zones.iter().map(|other| slowdown(one, other)).collect();
        let slowdown = zones.iter().map(row).collect();
        Self { zones, used, slowdown }
    }

    pub(crate) fn state(&self, from: usize, to: usize) -> LinkState {
        LinkState { used: self.used[from][to], slowdown: self.slowdown[from][to] }
    }

    pub(crate) fn index(&self, zone: &ZoneId) -> usize {
        self.zones.iter().position(|known| *known == zone).unwrap_or(0)
    }
}

/// A partial path from the first layer up to a layer boundary.
#[derive(Clone, Copy)]
struct PartialPath {
    cost: f64,
    token_ms: f64,
    first_ms: f64,
    /// Index of the boundary at which its last stage begins.
    from: usize,
    /// Index of the partial path to that boundary that it extends.
    path_index: usize,
    /// Index of the candidate that runs its last stage.
    candidate_index: usize,
}

/// The extension of a partial path by one stage.
#[derive(Clone, Copy)]
struct PathStep {
    candidate_index: usize,
    /// Number of layers that the stage runs.
    layers: f64,
    /// The link to the previous stage, if that is in another zone.
    link: Option<LinkState>,
}

/// The partial path that a stage extends.
#[derive(Clone, Copy)]
struct PathPrefix {
    path_index: usize,
    /// The link to the stage, if it is in another zone.
    link: Option<LinkState>,
}

/// The state of the link between two availability zones.
#[derive(Clone, Copy)]
pub(crate) struct LinkState {
    /// Used fraction of the bandwidth.
    pub(crate) used: f64,
    /// How much slower than planned it is.
    slowdown: f64,
}

/// The cheapest partial paths to each boundary, cheapest first.
type PartialPaths = Vec<Vec<PartialPath>>;

impl<'a> PathPlanner<'a> {
    /// Fixed overhead per token of each endpoint in a path, in milliseconds.
    pub(crate) const HOP_MS: f64 = 0.2;
    /// Fraction of an endpoint's request memory above which a refusal is attributed to memory.
    ///
    /// Below it the endpoint refuses for another reason, such as an imminent shutdown.
    const NEARLY_FULL_FRACTION: f64 = 0.75;
    /// Largest fraction of an endpoint's slots that streams may fill; the margin covers streams of
    /// other hosts that have not been reported yet.
    const MAX_SLOT_FRACTION: f64 = 0.95;
    /// Penalty for leaving an availability zone, added to the time per token, in milliseconds.
    ///
    /// Any zone may become partitioned.
    pub(crate) const ZONE_CROSSING_MS: f64 = 4.0;
    /// Largest fraction of a link's bandwidth that streams may use.
    ///
    /// The rest covers streams of other hosts that have not been reported yet.
    pub(crate) const MAX_LINK_FRACTION: f64 = 0.7;
    /// Cost of a link above that fraction, in milliseconds; higher than that of any other path.
    const FULL_LINK_MS: f64 = 1e6;
    /// Price of opening a connection, in milliseconds of the first event's time.
    ///
    /// Callers would not notice a first event that much later; opening takes the endpoint's time from others.
    const OPENING_MS: f64 = 15.0;
    /// Number of partial paths kept per boundary, each with a different last endpoint.
    ///
    /// The cheapest one alone is not enough: it may already have used the only endpoint that can
    /// extend it.
    const KEPT_PATHS: usize = 3;

    /// Plans the path with the lowest cost.
    ///
    /// Suspect endpoints are considered only if the others do not cover all layers.
    ///
    /// # Errors
    ///
    /// Returns a [`PathError`] if no path covers all layers with enough capacity.
    pub fn plan(&self, request: &PathRequest<'a>) -> Result<PlannedPath, PathError> {
        self.plan_preferring(request, &BTreeSet::new())
    }

    /// Plans like [`PathPlanner::plan`], and prefers paths that start at one of the given endpoints, to which
    /// the host has connections, to others of about equal cost.
    ///
    /// # Errors
    ///
    /// Returns a [`PathError`] if no path covers all layers with enough capacity.
    pub fn plan_preferring(
        &self,
        request: &PathRequest<'a>,
        connected: &BTreeSet<EndpointId>,
    ) -> Result<PlannedPath, PathError> {
        let links = LinkTable::new(self, request);
        let search = |filter| {
            let mut candidates = self.candidates(request, &links, filter);
            for candidate in &mut candidates {
                if !connected.contains(&candidate.entry.endpoint) {
                    candidate.opening_ms = Self::OPENING_MS;
                }
            }
            self.search(request, &links, &candidates)
        };
        match search(CandidateFilter::Healthy) {
            Err(PathError::NoCover) => {
                let found = search(CandidateFilter::Usable);
                found.map_err(|error| self.availability_error(request, &links).unwrap_or(error))
            }
            found => found,
        }
    }

    /// Plans a path over `holders` alone, which hold the first `held_tokens` tokens of the prompt, so that
    /// these are not read again.
    ///
    /// The request needs as much memory as without them, and suspect endpoints are not used.
    #[must_use]
    pub fn plan_holding(
        &self,
        request: &PathRequest<'a>,
        held_tokens: u32,
        holders: &[&'a EndpointEntry],
    ) -> Option<PlannedPath> {
        let tokens = f64::from(request.prompt_tokens + request.output_tokens);
        let unread = request.prompt_tokens.saturating_sub(held_tokens);
        let request = PathRequest { prompt_tokens: unread, ..request.clone() };
        let links = LinkTable::new(self, &request);
        let holders = holders.iter().copied();
        let healthy = self.candidates_among(holders, &request, &links, CandidateFilter::Healthy);
        let (path, _) = self.cheapest(&request, &links, &healthy, Some(tokens));
        path.map(|path| PlannedPath { held_tokens, ..path })
    }

    /// Returns the terms of the cost of a path, if its endpoints hold the first `held_tokens` tokens of the
    /// prompt; `None` if it has an endpoint that is no longer listed.
    #[must_use]
    pub fn path_cost(
        &self,
        request: &PathRequest<'a>,
        route: &StageRoute,
        held_tokens: u32,
    ) -> Option<PathCost> {
        let unread = request.prompt_tokens.saturating_sub(held_tokens);
        let request = PathRequest { prompt_tokens: unread, ..request.clone() };
        let links = LinkTable::new(self, &request);
        let mut stages = Vec::with_capacity(route.stages().len());
        let mut last_zone: Option<usize> = None;
        for stage in route.stages() {
            let entry = self.directory.entry(&stage.endpoint)?;
            let candidate = self.candidate(&request, &links, entry)?;
            let zone_index = candidate.zone_index;
            let crossed = last_zone.filter(|from| *from != zone_index);
            let link = crossed.map(|from| links.state(from, zone_index));
            let layers = f64::from(stage.span.layers());
            let step = PathStep { candidate_index: 0, layers, link };
            let cost = self.stage_cost(&request, &candidate, last_zone.is_none(), step);
            stages.push((stage.endpoint.clone(), cost));
            last_zone = Some(zone_index);
        }
        Some(PathCost { stages, output_tokens: request.output_tokens })
    }

    /// Returns the used fraction of an endpoint's request memory; `None` if it holds no layers.
    #[must_use]
    pub fn memory_fraction(&self, entry: &EndpointEntry) -> Option<f64> {
        let capacity = self.memory_capacity(entry).filter(|capacity| *capacity > 0.0)?;
        Some(self.load.memory_used(&entry.endpoint, self.now) / capacity)
    }

    /// Returns the request memory of an endpoint that is not in use, in tokens times layers.
    #[must_use]
    pub fn free_memory(&self, entry: &EndpointEntry) -> f64 {
        let capacity = self.memory_capacity(entry).unwrap_or_default();
        (capacity - self.load.memory_used(&entry.endpoint, self.now)).max(0.0)
    }

    fn memory_capacity(&self, entry: &EndpointEntry) -> Option<f64> {
        let profile = self.engine.accelerator(entry.accelerator.as_ref()?)?;
        Some(self.engine.token_layer_capacity(profile, entry.span?.layers()))
    }

    /// Returns the standing of each endpoint of the request's service, in order of their names.
    #[must_use]
    pub fn endpoint_standings(
        &self,
        request: &PathRequest<'_>,
    ) -> Vec<(EndpointId, EndpointStanding)> {
        let links = LinkTable::new(self, request);
        let of_service = |entry: &&EndpointEntry| &entry.service == request.service;
        let entries = self.directory.entries().filter(of_service);
        let standing = |entry| self.standing(request, &links, entry);
        entries.map(|entry| (entry.endpoint.clone(), standing(entry))).collect()
    }

    fn standing(
        &self,
        request: &PathRequest<'_>,
        links: &LinkTable<'_>,
        entry: &'a EndpointEntry,
    ) -> EndpointStanding {
        let endpoint = &entry.endpoint;
        if entry.is_leaving {
            return EndpointStanding::Leaving;
        }
        if request.excluded.contains(endpoint) {
            return EndpointStanding::Excluded;
        }
        if let Some(until) = self.directory.blocked_until(endpoint, self.now) {
            return EndpointStanding::Paused { until };
        }
        if self.directory.is_suspect(endpoint, self.now) {
            return EndpointStanding::Suspect;
        }
        let Some(candidate) = self.candidate(request, links, entry) else {
            return EndpointStanding::NoLayers;
        };
        if self.load.is_full(endpoint, self.now) {
            return EndpointStanding::Full;
        }
        let tokens = f64::from(request.prompt_tokens + request.output_tokens);
        if candidate.free < tokens {
            return EndpointStanding::NoMemory;
        }
        match self.directory.unavailable_until(endpoint, self.now) {
            Some(until) => EndpointStanding::NoTurn { until },
            None if !candidate.has_slot => EndpointStanding::NoSlot,
            None => EndpointStanding::Usable,
        }
    }

    /// Returns when there is a path again, if pauses or limits are why there is none.
    fn availability_error(
        &self,
        request: &PathRequest<'a>,
        links: &LinkTable<'_>,
    ) -> Option<PathError> {
        let live = self.directory.live_entries(request.service);
        let mut ends =
            live.filter_map(|entry| self.directory.unavailable_until(&entry.endpoint, self.now));
        ends.next()?;
        // The caller returns with a new request, which has been nowhere yet.
        let request = PathRequest { excluded: &[], allowed_firsts: None, ..request.clone() };
        let all = self.candidates(&request, links, CandidateFilter::Live);
        let (path, _) = self.cheapest(&request, links, &all, None);
        let (first, rest) = path.as_ref()?.route.stages().split_first()?;
        let first_end = self.directory.unavailable_until(&first.endpoint, self.now);
        let pause = |stage: &RouteStage| self.directory.blocked_until(&stage.endpoint, self.now);
        let until = rest.iter().map(pause).max().flatten().max(first_end)?;
        Some(PathError::Unavailable { until })
    }

    /// Returns `true` if the known memory usage of an endpoint is high enough to explain that it
    /// refuses streams.
    #[must_use]
    pub fn is_nearly_full(&self, entry: &EndpointEntry) -> bool {
        let Some(capacity) = self.memory_capacity(entry) else { return false };
        self.load.memory_used(&entry.endpoint, self.now) > capacity * Self::NEARLY_FULL_FRACTION
    }

    /// Describes the endpoints that hold a layer, in the format of [`PathPlanner::describe`].
    #[must_use]
    pub fn describe_holders(&self, service: &ServiceId, layer: u16) -> String {
        let holds = |span: &LayerSpan| span.start() <= layer && layer < span.end();
        let live = self.directory.live_entries(service);
        let holders = live.filter(|entry| entry.span.as_ref().is_some_and(holds));
        holders.map(|entry| self.describe(entry)).collect::<Vec<_>>().join(", ")
    }

    /// Describes the capacity of an endpoint for logs and reports.
    ///
    /// Memory is given in tokens times layers: used, reserved (`booked`), reported by the endpoint,
    /// and total. The streams that start at the endpoint and its number of slots follow.
    #[must_use]
    pub fn describe(&self, entry: &EndpointEntry) -> String {
        let endpoint = &entry.endpoint;
        let used = self.load.total_usage(endpoint, self.now);
        let reading = self.load.reading(endpoint, self.now);
        let profile = entry.accelerator.as_ref().and_then(|kind| self.engine.accelerator(kind));
        let layers = entry.span.map_or(0, LayerSpan::layers);
        let capacity =
            profile.map_or(0.0, |profile| self.engine.token_layer_capacity(profile, layers));
        let suspect = if self.directory.is_suspect(endpoint, self.now) { " suspect" } else { "" };
        let full = if self.load.is_full(endpoint, self.now) { " full" } else { "" };
        format!(
            "{endpoint} {}{suspect}{full} used {:.0}k, booked {:.0}k, reported {}k of {:.0}k, \
             {} first of {}",
            entry.span.map_or_else(|| "empty".into(), |span| span.to_string()),
            self.load.memory_used(endpoint, self.now) / 1e3,
            used.token_layers / 1e3,
            reading.map_or_else(|| "?".into(), |r| format!("{:.0}", r.used / 1e3)),
            capacity / 1e3,
            used.firsts,
            entry.slots,
        )
    }

    pub(crate) fn candidates(
        &self,
        request: &PathRequest<'_>,
        links: &LinkTable<'_>,
        filter: CandidateFilter,
    ) -> Vec<Candidate<'a>> {
        self.candidates_among(self.directory.live_entries(request.service), request, links, filter)
    }

    fn candidates_among(
        &self,
        entries: impl Iterator<Item = &'a EndpointEntry>,
        request: &PathRequest<'_>,
        links: &LinkTable<'_>,
        filter: CandidateFilter,
    ) -> Vec<Candidate<'a>> {
        let allowed = entries.filter(|entry| {
            let endpoint = &entry.endpoint;
            let is_paused = self.directory.blocked_until(endpoint, self.now).is_some();
            !request.excluded.contains(endpoint)
                && match filter {
                    CandidateFilter::Live => true,
                    CandidateFilter::Usable => !is_paused,
                    CandidateFilter::Healthy => {
                        !is_paused && !self.directory.is_suspect(endpoint, self.now)
                    }
                }
        });
        let candidates = allowed.filter_map(|entry| self.candidate(request, links, entry));
        let mut candidates: Vec<Candidate<'a>> = candidates
            .map(|candidate| {
                let has_turn = filter == CandidateFilter::Live || candidate.has_turn(self);
                Candidate { may_be_first: candidate.may_be_first && has_turn, ..candidate }
            })
            .collect();
        // A stream is exposed at every stage for as long as its whole path takes, which is not known yet:
        // the time of a path over endpoints of mean speed stands for it.
        let total_ms: f64 = candidates.iter().map(|candidate| candidate.layer_ms).sum();
        let token_ms = total_ms / candidates.len().max(1) as f64 * f64::from(self.engine.layers);
        for candidate in &mut candidates {
            candidate.exposure_ms *= token_ms;
        }
        candidates
    }

    fn candidate(
        &self,
        request: &PathRequest<'_>,
        links: &LinkTable<'_>,
        entry: &'a EndpointEntry,
    ) -> Option<Candidate<'a>> {
        let span = entry.span.filter(|span| span.end() <= self.engine.layers)?;
        let profile = self.engine.accelerator(entry.accelerator.as_ref()?)?;
        let used = self.load.total_usage(&entry.endpoint, self.now);
        let turn_wait = self.directory.expected_turn_wait(&entry.endpoint, self.now);
        let layers = f64::from(self.engine.layers);
        let context = used.token_layers / f64::from(span.layers()) / 1_000.0;
        let step_ms = self.engine.step_ms
            + self.engine.stream_ms * f64::from(used.streams + 1)
            + self.engine.context_ms * context;
        let prefill_ms =
            f64::from(request.prompt_tokens) / self.engine.prefill_tokens_per_ms.max(1e-9);
        let slowdown = self.load.slowdown(&entry.endpoint, self.now);
        let exposed = ExposedStage {
            streams: used.streams,
            prompt_ms: prefill_ms * profile.prefill_factor * f64::from(span.layers()) / layers,
            endpoints: self.directory.len(),
        };
        let prompt_context = f64::from(request.prompt_tokens) / 1_000.0;
        let joined_ms = self.engine.stream_ms + self.engine.context_ms * prompt_context;
        let memory_fraction = if &entry.zone == request.zone {
            request.memory_fraction
        } else {
            request.foreign_memory_fraction.min(request.memory_fraction)
        };
        let capacity = self.engine.token_layer_capacity(profile, span.layers()) * memory_fraction;
        let used_memory = self.load.memory_used(&entry.endpoint, self.now);
        Some(Candidate {
            entry,
            zone_index: links.index(&entry.zone),
            span,
            layer_ms: step_ms * profile.step_factor * slowdown / layers,
            prefill_ms: prefill_ms * profile.prefill_factor * slowdown / layers,
            free: if self.load.is_full(&entry.endpoint, self.now) {
                0.0
            } else {
                capacity - used_memory
            },
            has_slot: f64::from(used.firsts + 1)
                <= f64::from(entry.slots) * Self::MAX_SLOT_FRACTION,
            may_be_first: request
                .allowed_firsts
                .is_none_or(|firsts| firsts.contains(&entry.endpoint)),
            turn_wait_ms: turn_wait.as_secs_f64() * 1e3,
            opening_ms: 0.0,
            slowdown,
            joined_ms: joined_ms * profile.step_factor * slowdown / layers,
            // Per millisecond that the stream runs; multiplied by the time of a token when all are known.
            exposure_ms: self.load.exposure.loss_per_second(exposed, self.now) / 1e3,
        })
    }

    fn search(
        &self,
        request: &PathRequest<'_>,
        links: &LinkTable<'_>,
        candidates: &[Candidate<'a>],
    ) -> Result<PlannedPath, PathError> {
        let tokens = f64::from(request.prompt_tokens + request.output_tokens);
        let (found, layer) = self.cheapest(request, links, candidates, Some(tokens));
        match found {
            Some(path) => Ok(path),
            None if self.cheapest(request, links, candidates, None).0.is_some() => {
                Err(PathError::NoMemory { layer })
            }
            None => Err(PathError::NoCover),
        }
    }

    /// Finds the cheapest path by dynamic programming over layer boundaries.
    ///
    /// If `tokens` is given, each endpoint must have memory for that many tokens and each link must
    /// have bandwidth for the prompt. The second value is the last layer boundary that was reached.
    fn cheapest(
        &self,
        request: &PathRequest<'_>,
        links: &LinkTable<'_>,
        candidates: &[Candidate<'a>],
        tokens: Option<f64>,
    ) -> (Option<PlannedPath>, u16) {
        let mut boundaries: BTreeSet<u16> = BTreeSet::from([0, self.engine.layers]);
        for candidate in candidates {
            boundaries.extend([candidate.span.start(), candidate.span.end()]);
        }
        let boundaries: Vec<u16> = boundaries.into_iter().collect();
        let mut partial_paths: PartialPaths = vec![Vec::new(); boundaries.len()];
        for at in 0..boundaries.len() {
            for (candidate_index, candidate) in candidates.iter().enumerate() {
                let is_disjoint = candidate.span.start() > boundaries[at]
                    || candidate.span.end() <= boundaries[at];
                let is_disallowed = at == 0 && !candidate.may_be_first;
                let is_unavailable =
                    is_disallowed || tokens.is_some() && at == 0 && !candidate.has_slot;
                if is_disjoint || is_unavailable {
                    continue;
                }
                let previous =
                    self.best_prefix(links, candidates, &partial_paths[..], at, candidate_index);
                if at > 0 && previous.is_none() {
                    continue;
                }
                let link = previous.and_then(|prefix| prefix.link);
                let is_link_full = link.is_some_and(|link| link.used > Self::MAX_LINK_FRACTION);
                if tokens.is_some() && is_link_full {
                    continue;
                }
                for to in at + 1..boundaries.len() {
                    let layers = f64::from(boundaries[to] - boundaries[at]);
                    let is_full = tokens.is_some_and(|tokens| tokens * layers > candidate.free);
                    if boundaries[to] > candidate.span.end() || is_full {
                        break;
                    }
                    let path = previous.map(|prefix| partial_paths[at][prefix.path_index]);
                    let step = PathStep { candidate_index, layers, link };
                    let next = self.extend(request, candidates, path, step);
                    let path_index = previous.map_or(0, |prefix| prefix.path_index);
                    let next = PartialPath { from: at, path_index, ..next };
                    keep_cheapest(&mut partial_paths[to], candidates, next);
                }
            }
        }
        let last = partial_paths.iter().rposition(|paths| !paths.is_empty());
        let layer = last.map_or(0, |index| boundaries[index]);
        (self.trace(request, candidates, &boundaries, &partial_paths), layer)
    }

    /// Returns the partial path to a boundary that a candidate extends at the lowest cost.
    ///
    /// The cost of the transition depends on the zones of both stages.
    fn best_prefix(
        &self,
        links: &LinkTable<'_>,
        candidates: &[Candidate<'a>],
        partial_paths: &[Vec<PartialPath>],
        at: usize,
        candidate_index: usize,
    ) -> Option<PathPrefix> {
        let zone_index = candidates[candidate_index].zone_index;
        let mut best: Option<(f64, PathPrefix)> = None;
        for (path_index, path) in partial_paths[at].iter().enumerate() {
            let from = candidates[path.candidate_index].zone_index;
            let link = (from != zone_index).then(|| links.state(from, zone_index));
            let transition_ms = link.map_or(0.0, |link| {
                // A link that is used up is the last resort.
                let is_full = link.used > Self::MAX_LINK_FRACTION;
                let full_ms = if is_full { Self::FULL_LINK_MS } else { 0.0 };
                Self::ZONE_CROSSING_MS + self.link_wait_ms(link) + full_ms
            });
            let cost = path.cost + transition_ms;
            let is_better = best.is_none_or(|(lowest, _)| cost < lowest);
            if is_better && !visits_candidate(partial_paths, *path, candidate_index) {
                best = Some((cost, PathPrefix { path_index, link }));
            }
        }
        best.map(|(_, prefix)| prefix)
    }

    /// Returns the expected wait for other transfers on a link, in milliseconds.
    ///
    /// Transfers of all streams share the link one after another.
    pub(crate) fn link_wait_ms(&self, link: LinkState) -> f64 {
        let busy = link.used.min(Self::MAX_LINK_FRACTION);
        let wait_ms = self.engine.transfer_ms(self.engine.mean_prompt_tokens) * busy / (1.0 - busy)
            + self.engine.zone_delay_ms;
        wait_ms * link.slowdown
    }

    /// Returns the terms of the cost of one stage.
    fn stage_cost(
        &self,
        request: &PathRequest<'_>,
        candidate: &Candidate<'_>,
        is_first: bool,
        step: PathStep,
    ) -> StageCost {
        let PathStep { layers, link, .. } = step;
        let mut cost = StageCost {
            decode_ms: candidate.layer_ms * layers,
            prefill_ms: candidate.prefill_ms * layers,
            hop_ms: Self::HOP_MS,
            exposure_ms: candidate.exposure_ms,
            ..StageCost::default()
        };
        if is_first {
            cost.turn_wait_ms = candidate.turn_wait_ms;
            cost.opening_ms = candidate.opening_ms;
        }
        if is_first && request.zone != &candidate.entry.zone {
            cost.zone_delay_ms = self.engine.zone_delay_ms;
            cost.crossing_ms = Self::ZONE_CROSSING_MS;
        }
        if let Some(link) = link {
            cost.link_wait_ms = self.link_wait_ms(link);
            cost.token_transfer_ms = self.engine.transfer_ms(1);
            cost.prompt_transfer_ms = self.engine.transfer_ms(request.prompt_tokens);
            cost.crossing_ms = Self::ZONE_CROSSING_MS;
        }
        cost
    }

    fn extend(
        &self,
        request: &PathRequest<'_>,
        candidates: &[Candidate<'a>],
        prefix: Option<PartialPath>,
        step: PathStep,
    ) -> PartialPath {
        let PathStep { candidate_index, .. } = step;
        let cost = self.stage_cost(request, &candidates[candidate_index], prefix.is_none(), step);
        let (token_ms, first_ms) = (cost.token_ms(), cost.first_ms());
        // The prefill time is spread over the answer's tokens, so that the cost is proportional to
        // the time for which the caller waits.
        let prefill_ms_per_token =
            (first_ms + cost.opening_ms) / f64::from(request.output_tokens.max(1));
        let start = PartialPath {
            cost: 0.0,
            token_ms: 0.0,
            first_ms: 0.0,
            from: 0,
            path_index: 0,
            candidate_index,
        };
        let base = prefix.unwrap_or(start);
        PartialPath {
            cost: base.cost + token_ms + prefill_ms_per_token + cost.penalty_ms(),
            token_ms: base.token_ms + token_ms,
            first_ms: base.first_ms + first_ms,
            candidate_index,
            ..start
        }
    }

    fn trace(
        &self,
        request: &PathRequest<'_>,
        candidates: &[Candidate<'a>],
        boundaries: &[u16],
        partial_paths: &PartialPaths,
    ) -> Option<PlannedPath> {
        let last = *partial_paths.last()?.first()?;
        let mut step = last;
        let mut stages: Vec<RouteStage> = Vec::new();
        let mut zones: Vec<&ZoneId> = Vec::new();
        let mut parts: Vec<PlannedPart> = Vec::new();
        let mut at = boundaries.len() - 1;
        while at > 0 {
            let entry = candidates[step.candidate_index].entry;
            let span = LayerSpan::try_from((boundaries[step.from], boundaries[at])).ok()?;
            let previous = zones.last().copied();
            zones.push(&entry.zone);
            parts.push(self.planned_part(&candidates[step.candidate_index], span.layers()));
            parts.extend(previous.and_then(|next| self.planned_link(&entry.zone, next)));
            stages.push(RouteStage {
                endpoint: entry.endpoint.clone(),
                address: entry.address.to_compact_string(),
                span,
            });
            at = step.from;
            if at > 0 {
                step = *partial_paths[at].get(step.path_index)?;
            }
        }
        stages.reverse();
        let draft = RouteDraft { model: request.model.clone(), layers: self.engine.layers, stages };
        let route = StageRoute::try_from(draft).ok()?;
        let crossings = zones
            .windows(2)
            .filter(|pair| pair[0] != pair[1])
            .map(|pair| ZonePair::new(pair[0], pair[1]))
            .collect();
        Some(PlannedPath {
            route,
            token_ms: last.token_ms,
            first_token_ms: last.first_ms,
            crossings,
            parts,
            cost_ms: last.cost,
            held_tokens: 0,
            spared_ms: 0.0,
            prefix_reason: None,
        })
    }

    fn planned_part(&self, candidate: &Candidate<'_>, layers: u16) -> PlannedPart {
        let scale = f64::from(layers) * f64::from(self.engine.tokens_per_event.max(1));
        PlannedPart {
            part: PathPart::Endpoint(candidate.entry.endpoint.clone()),
            gap_ms: candidate.layer_ms / candidate.slowdown * scale,
            joined_ms: candidate.joined_ms * scale,
        }
    }

    /// Returns the link between the zones of two stages, if they differ.
    fn planned_link(&self, from: &ZoneId, to: &ZoneId) -> Option<PlannedPart> {
        let pair = ZonePair::new(from, to);
        let usage = self.load.links.total_usage(self.now);
        let used =
            usage.get(&pair).map_or(0.0, |bytes| bytes / self.engine.link_bytes_per_second());
        let wait_ms = self.link_wait_ms(LinkState { used, slowdown: 1.0 });
        let events = f64::from(self.engine.tokens_per_event.max(1));
        (from != to).then(|| PlannedPart {
            part: PathPart::Link(pair),
            gap_ms: (wait_ms + self.engine.transfer_ms(1)) * events,
            joined_ms: self.engine.transfer_ms(1) * events,
        })
    }
}

/// Inserts a partial path into those to the same boundary if it is among the cheapest, or the
/// cheapest that ends in its availability zone.
fn keep_cheapest(paths: &mut Vec<PartialPath>, candidates: &[Candidate<'_>], next: PartialPath) {
    match paths.iter().position(|path| path.candidate_index == next.candidate_index) {
        Some(index) if paths[index].cost <= next.cost => return,
        Some(index) => {
            paths.remove(index);
        }
        None => {}
    }
    let position = paths.partition_point(|path| path.cost <= next.cost);
    paths.insert(position, next);
    let zone_of = |path: &PartialPath| candidates[path.candidate_index].zone_index;
    let is_surplus = |index: usize| {
        index >= PathPlanner::KEPT_PATHS
            && paths[..index].iter().any(|path| zone_of(path) == zone_of(&paths[index]))
    };
    if let Some(index) = (0..paths.len()).rev().find(|index| is_surplus(*index)) {
        paths.remove(index);
    }
}

/// Returns `true` if a partial path already uses a candidate; an endpoint must not appear twice in
/// a path.
fn visits_candidate(
    partial_paths: &[Vec<PartialPath>],
    path: PartialPath,
    candidate_index: usize,
) -> bool {
    let mut step = path;
    while step.candidate_index != candidate_index {
        if step.from == 0 {
            return false;
        }
        step = partial_paths[step.from][step.path_index];
    }
    true
}

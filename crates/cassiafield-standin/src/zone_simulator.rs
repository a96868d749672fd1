use {
    crate::{KeptPrefixes, KeptUse},
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment, ServiceId, ZoneId},
        prefix::{CacheProfile, PrefixChoice, PrefixEvidence, PrefixTable, PromptChain},
        process::{
            AcceleratorProfile, EndpointDirectory, EndpointEntry, EngineLoad, EngineProfile,
            LoadReservation, OrganisationLoad, PathPlanner, PathRequest,
        },
        request::{LayerSpan, PromptPrefix, StageRoute},
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        time::Duration,
    },
};

/// Stream arrivals that a [`ZoneSimulator`] generates.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedTraffic {
    /// Mean arrivals per second; inter-arrival times are exponentially distributed.
    pub arrival_rate: f64,
    /// Virtual time over which streams arrive.
    pub duration: Duration,
    /// Maximum time to the first event of a stream that is on time.
    pub first_event_limit: Duration,
    /// Maximum gap between later events of a stream that is on time.
    pub event_gap_limit: Duration,
    /// Seed for the arrival times and the prompt and output lengths.
    pub seed: u64,
}

/// Prompts that begin alike, and what engines keep of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedPrompts {
    /// Fraction of the streams whose prompt begins with a shared part.
    pub share: f64,
    /// Number of different shared parts, each as likely as the others.
    pub parts: u32,
    /// Length of a shared part; it comes before the prompt's own part.
    pub part_tokens: u32,
    /// How engines keep beginnings.
    pub cache: CacheProfile,
    /// Memory of an endpoint for kept beginnings, in tokens.
    pub kept_tokens: u32,
    /// Whether answers report how many tokens were found kept.
    pub is_reported: bool,
    /// Whether paths are chosen by held beginnings.
    pub is_choosing: bool,
}

/// The outcomes of a simulation, and when first events came.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SimulationReport {
    /// Counts of streams by outcome.
    pub outcome: SimulationOutcome,
    /// Time from arrival to the first event of each stream that completed, in ascending order.
    pub first_events: Vec<Duration>,
    /// Prompt tokens that were read, counted once a stream.
    pub read_tokens: u64,
    /// Prompt tokens that all stages found kept.
    pub found_tokens: u64,
}

impl SimulationReport {
    /// Returns the time within which a fraction of the first events came; zero without any.
    #[must_use]
    pub fn first_event(&self, fraction: f64) -> Duration {
        let last = self.first_events.len().saturating_sub(1);
        // The index is not negative and at most `last`.
        let index = (fraction.clamp(0.0, 1.0) * last as f64).round() as usize;
        self.first_events.get(index).copied().unwrap_or_default()
    }
}

/// Counts of simulated streams by outcome.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SimulationOutcome {
    /// Streams that arrived.
    pub arrived: u32,
    /// Streams that completed with every event on time.
    pub on_time: u32,
    /// Streams that completed with at least one event late.
    pub late: u32,
    /// Streams for which the planner found no path.
    pub refused: u32,
}

impl SimulationOutcome {
    /// Returns the fraction of arrived streams that were on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived.max(1))
    }
}

/// A discrete-event simulator of one availability zone's engines in virtual time.
///
/// Each endpoint runs forward passes over all streams in its queue (continuous batching): prompts
/// are prefilled in chunks, and each stream past its prefill gets one token through the endpoint's
/// layers. A token passes through the endpoints of its path in order before the next one starts.
/// [`PathPlanner`] chooses the paths, with the memory reservations that hosts make.
#[derive(Debug)]
pub struct ZoneSimulator {
    engine: EngineProfile,
    directory: EndpointDirectory,
    load: EngineLoad,
    endpoints: BTreeMap<EndpointId, SimulatedEndpoint>,
    streams: Vec<SimulatedStream>,
    /// Scheduled events, earliest first, with their virtual time in microseconds.
    event_queue: BinaryHeap<Reverse<(u64, SimulationEvent)>>,
    shared: Option<SharedPrompts>,
    table: PrefixTable,
    report: SimulationReport,
}

#[derive(Debug)]
struct SimulatedEndpoint {
    kept: Option<KeptPrefixes>,
    profile: AcceleratorProfile,
    /// Indexes of the streams that wait for a pass of this endpoint.
    queue: VecDeque<usize>,
    is_busy: bool,
}

#[derive(Debug)]
struct SimulatedStream {
    path: Vec<(EndpointId, LayerSpan)>,
    reservation: Option<LoadReservation>,
    stage: usize,
    prompt_tokens: u32,
    /// Prompt tokens that every stage found kept.
    found_tokens: u32,
    /// Prompt tokens that they were believed to keep.
    expected_tokens: u32,
    chain: PromptChain,
    route: StageRoute,
    /// Blocks in use at the endpoints of the path.
    kept: Vec<KeptUse>,
    /// Prompt tokens not yet prefilled by the endpoint at `stage`.
    pending_prompt_tokens: u32,
    output_tokens: u32,
    generated_tokens: u32,
    arrived_micros: u64,
    last_event_micros: u64,
    is_late: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    Arrival,
    PassEnd(EndpointId, Vec<usize>),
}

impl ZoneSimulator {
    /// Limits the prompt tokens that an endpoint prefills per pass.
    const PREFILL_CHUNK_TOKENS: u32 = 512;
    /// Network delay between two endpoints of the zone.
    const HOP_DELAY_MICROS: u64 = 100;

    /// Creates a simulator of `entries`, each of which holds layers of the model.
    #[must_use]
    pub fn new(engine: EngineProfile, entries: Vec<EndpointEntry>) -> Self {
        let endpoints = entries
            .iter()
            .filter_map(|entry| {
                let profile = engine.accelerator(entry.accelerator.as_ref()?)?.clone();
                let endpoint = SimulatedEndpoint {
                    kept: None,
                    profile,
                    queue: VecDeque::new(),
                    is_busy: false,
                };
                Some((entry.endpoint.clone(), endpoint))
            })
            .collect();
        let mut directory = EndpointDirectory::default();
        directory.apply_list(entries, Moment::ORIGIN);
        Self {
            engine,
            directory,
            load: EngineLoad::default(),
            endpoints,
            streams: Vec::new(),
            event_queue: BinaryHeap::new(),
            shared: None,
            table: PrefixTable::default(),
            report: SimulationReport::default(),
        }
    }

    /// Makes a part of the prompts begin alike, and engines keep what they have read.
    #[must_use]
    pub fn with_shared_prompts(mut self, shared: SharedPrompts) -> Self {
        for endpoint in self.endpoints.values_mut() {
            let block_tokens = shared.cache.block_tokens;
            endpoint.kept =
                Some(KeptPrefixes::new(block_tokens, shared.kept_tokens, shared.is_reported));
        }
        self.shared = Some(shared);
        self
    }

    /// Runs the simulation until every stream has ended and returns their outcomes.
    #[must_use]
    pub fn run(self, zone: &ZoneId, traffic: &SimulatedTraffic) -> SimulationOutcome {
        self.run_with_report(zone, traffic).outcome
    }

    /// Runs the simulation like [`ZoneSimulator::run`] and returns when first events came, too.
    #[must_use]
    pub fn run_with_report(
        mut self,
        zone: &ZoneId,
        traffic: &SimulatedTraffic,
    ) -> SimulationReport {
        let mut random = fastrand::Rng::with_seed(traffic.seed);
        let end = as_micros(traffic.duration);
        self.schedule(0, SimulationEvent::Arrival);
        while let Some(Reverse((now, event))) = self.event_queue.pop() {
            match event {
                SimulationEvent::Arrival => {
                    self.handle_arrival(zone, &mut random, now);
                    let gap = -random.f64().max(1e-9).ln() / traffic.arrival_rate;
                    let next = now + as_micros(Duration::from_secs_f64(gap));
                    if next < end {
                        self.schedule(next, SimulationEvent::Arrival);
                    }
                }
                SimulationEvent::PassEnd(endpoint, batch) => {
                    self.finish_pass(&endpoint, batch, traffic, now);
                }
            }
        }
        self.report.first_events.sort_unstable();
        self.report
    }

    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.event_queue.push(Reverse((at, event)));
    }

    fn handle_arrival(&mut self, zone: &ZoneId, random: &mut fastrand::Rng, now: u64) {
        self.report.outcome.arrived += 1;
        let mut sample_tokens = |mean: u32| {
            let sample = -random.f64().max(1e-9).ln() * f64::from(mean);
            sample.clamp(f64::from(mean) * 0.1, f64::from(mean) * 3.0) as u32
        };
        let (prompt_tokens, output_tokens) = (
            sample_tokens(self.engine.mean_prompt_tokens),
            sample_tokens(self.engine.mean_output_tokens),
        );
        let part = self.shared.filter(|shared| random.f64() < shared.share).map(|shared| {
            let number = random.u32(0..shared.parts.max(1));
            (number, shared.part_tokens)
        });
        let prompt_tokens = prompt_tokens + part.map_or(0, |(_, tokens)| tokens);
        let model_and_endpoint: (ModelId, _) = match (self.endpoints.keys().next(), "m".parse()) {
            (Some(first), Ok(model)) => (model, first.clone()),
            _ => return,
        };
        let Some(service) =
            self.directory.entry(&model_and_endpoint.1).map(|entry| entry.service.clone())
        else {
            return;
        };
        let at = Moment::from_micros(now);
        let planner = PathPlanner {
            directory: &self.directory,
            load: &self.load,
            engine: &self.engine,
            now: at,
        };
        let request = PathRequest {
            model: &model_and_endpoint.0,
            service: &service,
            zone,
            prompt_tokens,
            output_tokens: self.engine.mean_output_tokens,
            excluded: &[],
            allowed_firsts: None,
            memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
            foreign_memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
        };
        let Ok(planned) = planner.plan(&request) else {
            self.report.outcome.refused += 1;
            return;
        };
        let chain = chain_of(self.shared, part, &service, &model_and_endpoint.0);
        let planned = match self.shared.filter(|shared| shared.is_choosing) {
            Some(SharedPrompts { cache, .. }) if !chain.is_empty() => {
                let (table, cache) = (&self.table, &cache);
                let choice = PrefixChoice { planner: &planner, table, cache };
                choice.choose(&request, &chain, planned).path
            }
            _ => planned,
        };
        self.table.record_request(&chain, at);
        if !chain.is_empty() {
            self.table.record_reading(&planned, at);
        }
        let reservation =
            self.load.reserve(&planned.route, prompt_tokens + self.engine.mean_output_tokens / 2);
        let stages = planned.route.stages().iter();
        let path: Vec<_> = stages.map(|stage| (stage.endpoint.clone(), stage.span)).collect();
        let first = path[0].0.clone();
        let (kept, found_tokens) = self.find_kept(&path, part);
        let found_tokens = found_tokens.min(prompt_tokens);
        self.report.read_tokens += u64::from(prompt_tokens - found_tokens);
        self.report.found_tokens += u64::from(found_tokens);
        let index = self.streams.len();
        self.streams.push(SimulatedStream {
            path,
            reservation: Some(reservation),
            stage: 0,
            prompt_tokens,
            found_tokens,
            expected_tokens: planned.held_tokens,
            chain,
            route: planned.route,
            kept,
            // Something is left to read: the last token of a prompt yields the first one of the answer.
            pending_prompt_tokens: (prompt_tokens - found_tokens).max(1),
            output_tokens: output_tokens.max(1),
            generated_tokens: 0,
            arrived_micros: now,
            last_event_micros: now,
            is_late: false,
        });
        self.enqueue(&first, index, now);
    }

    /// Finds the blocks of a prompt at the endpoints of a path, and how many tokens all of them kept.
    fn find_kept(
        &mut self,
        path: &[(EndpointId, LayerSpan)],
        part: Option<(u32, u32)>,
    ) -> (Vec<KeptUse>, u32) {
        let Some((number, tokens)) = part else { return (Vec::new(), 0) };
        let (mut uses, mut found) = (Vec::new(), u32::MAX);
        for (endpoint, _) in path {
            let endpoint = self.endpoints.get_mut(endpoint);
            let Some(kept) = endpoint.and_then(|endpoint| endpoint.kept.as_mut()) else { continue };
            let content = (0..tokens).map(|token| u64::from(number) << 32 | u64::from(token));
            let blocks = kept.blocks_of(content);
            let used = kept.begin(&blocks);
            found = found.min(used.found_tokens);
            uses.push(used);
        }
        let is_whole = uses.len() == path.len();
        (uses, if is_whole { found } else { 0 })
    }

    fn enqueue(&mut self, id: &EndpointId, stream: usize, now: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.queue.push_back(stream);
        }
        self.start_pass(id, now);
    }

    /// Starts a pass over the whole queue if the endpoint is idle.
    fn start_pass(&mut self, id: &EndpointId, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if endpoint.is_busy || endpoint.queue.is_empty() {
            return;
        }
        let batch: Vec<usize> = endpoint.queue.drain(..).collect();
        endpoint.is_busy = true;
        let profile = endpoint.profile.clone();
        let mut budget = Self::PREFILL_CHUNK_TOKENS;
        let (mut prefill_ms, mut decode_ms, mut has_decode) = (0.0, 0.0, false);
        for &index in &batch {
            let stream = &mut self.streams[index];
            let share = self.engine.layer_fraction(stream.path[stream.stage].1);
            if stream.pending_prompt_tokens > 0 {
                let chunk = stream.pending_prompt_tokens.min(budget);
                budget -= chunk;
                stream.pending_prompt_tokens -= chunk;
                prefill_ms += f64::from(chunk) / self.engine.prefill_tokens_per_ms
                    * profile.prefill_factor
                    * share;
            } else {
                let context = f64::from(stream.prompt_tokens + stream.generated_tokens) / 1_000.0;
                let stream_ms = self.engine.stream_ms + self.engine.context_ms * context;
                decode_ms += stream_ms * profile.step_factor * share;
                if !has_decode {
                    decode_ms += self.engine.step_ms * profile.step_factor * share;
                }
                has_decode = true;
            }
        }
        let pass_micros = as_micros(Duration::from_secs_f64((prefill_ms + decode_ms) / 1e3)).max(1);
        self.schedule(now + pass_micros, SimulationEvent::PassEnd(id.clone(), batch));
    }

    fn finish_pass(
        &mut self,
        id: &EndpointId,
        batch: Vec<usize>,
        traffic: &SimulatedTraffic,
        now: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_busy = false;
        }
        for index in batch {
            if self.streams[index].pending_prompt_tokens > 0 {
                self.enqueue(id, index, now);
            } else {
                self.advance_stream(index, traffic, now + Self::HOP_DELAY_MICROS);
            }
        }
        self.start_pass(id, now);
    }

    /// Moves a stream to the next stage of its path, or to its next token after the last stage.
    fn advance_stream(&mut self, index: usize, traffic: &SimulatedTraffic, now: u64) {
        let is_prefill = self.streams[index].generated_tokens == 0;
        let stream = &mut self.streams[index];
        stream.stage += 1;
        if stream.stage < stream.path.len() {
            stream.pending_prompt_tokens =
                if is_prefill { (stream.prompt_tokens - stream.found_tokens).max(1) } else { 0 };
        } else {
            stream.stage = 0;
            stream.generated_tokens += 1;
            if stream.generated_tokens == 1 {
                let at = Moment::from_micros(now);
                let SimulatedStream { route, chain, expected_tokens, found_tokens, .. } = stream;
                let stages = route.stages();
                let is_reported = self.shared.is_some_and(|shared| shared.is_reported);
                if is_reported && *expected_tokens > 0 {
                    let evidence = PrefixEvidence::Reported { tokens: *found_tokens };
                    let expected = *expected_tokens;
                    self.table.record_evidence(stages, chain, expected, evidence, at);
                }
                self.table.record_read(stages, chain, &self.directory, at);
                for stage in stages.iter().filter(|_| !chain.is_empty()) {
                    let kept_tokens = self.shared.map_or(0, |shared| shared.kept_tokens);
                    let free = f64::from(kept_tokens) * f64::from(stage.span.layers());
                    self.table.record_free_memory(&stage.endpoint, free);
                }
            }
            let is_done = stream.generated_tokens >= stream.output_tokens;
            if is_done
                || stream.generated_tokens.is_multiple_of(self.engine.tokens_per_event.max(1))
            {
                let is_first = stream.generated_tokens <= self.engine.tokens_per_event.max(1);
                let (since, limit) = if is_first {
                    (stream.arrived_micros, traffic.first_event_limit)
                } else {
                    (stream.last_event_micros, traffic.event_gap_limit)
                };
                if is_first {
                    let time = Duration::from_micros(now - stream.arrived_micros);
                    self.report.first_events.push(time);
                }
                stream.is_late |= now - since > as_micros(limit);
                stream.last_event_micros = now;
            }
            if is_done {
                self.complete(index);
                return;
            }
        }
        let stream = &self.streams[index];
        let next = stream.path[stream.stage].0.clone();
        self.enqueue(&next, index, now);
    }

    fn complete(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        if let Some(reservation) = stream.reservation.take() {
            self.load.release(reservation);
        }
        if stream.is_late {
            self.report.outcome.late += 1;
        } else {
            self.report.outcome.on_time += 1;
        }
        let uses = std::mem::take(&mut stream.kept);
        let endpoints = stream.path.iter().map(|(endpoint, _)| endpoint);
        for (endpoint, used) in endpoints.zip(uses) {
            let endpoint = self.endpoints.get_mut(endpoint);
            if let Some(kept) = endpoint.and_then(|endpoint| endpoint.kept.as_mut()) {
                kept.end(used);
            }
        }
    }
}

/// Returns the beginnings of a prompt with a shared part.
fn chain_of(
    shared: Option<SharedPrompts>,
    part: Option<(u32, u32)>,
    service: &ServiceId,
    model: &ModelId,
) -> PromptChain {
    let (Some(shared), Some((number, tokens))) = (shared, part) else {
        return PromptChain::default();
    };
    let prefix: PromptPrefix = format!("{number:x}:{tokens},0:1").parse().unwrap_or_default();
    PromptChain::new(&prefix, service, model, &shared.cache)
}

fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

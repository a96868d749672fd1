use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment, ZoneId},
        process::{
            AcceleratorProfile, EndpointDirectory, EndpointEntry, EngineLoad, EngineProfile,
            LoadReservation, OrganisationLoad, PathPlanner, PathRequest,
        },
        request::LayerSpan,
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
    outcome: SimulationOutcome,
}

#[derive(Debug)]
struct SimulatedEndpoint {
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
                let endpoint =
                    SimulatedEndpoint { profile, queue: VecDeque::new(), is_busy: false };
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
            outcome: SimulationOutcome::default(),
        }
    }

    /// Runs the simulation until every stream has ended and returns their outcomes.
    #[must_use]
    pub fn run(mut self, zone: &ZoneId, traffic: &SimulatedTraffic) -> SimulationOutcome {
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
        self.outcome
    }

    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.event_queue.push(Reverse((at, event)));
    }

    fn handle_arrival(&mut self, zone: &ZoneId, random: &mut fastrand::Rng, now: u64) {
        self.outcome.arrived += 1;
        let mut sample_tokens = |mean: u32| {
            let sample = -random.f64().max(1e-9).ln() * f64::from(mean);
            sample.clamp(f64::from(mean) * 0.1, f64::from(mean) * 3.0) as u32
        };
        let (prompt_tokens, output_tokens) = (
            sample_tokens(self.engine.mean_prompt_tokens),
            sample_tokens(self.engine.mean_output_tokens),
        );
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
            self.outcome.refused += 1;
            return;
        };
        let reservation =
            self.load.reserve(&planned.route, prompt_tokens + self.engine.mean_output_tokens / 2);
        let stages = planned.route.stages().iter();
        let path: Vec<_> = stages.map(|stage| (stage.endpoint.clone(), stage.span)).collect();
        let first = path[0].0.clone();
        let index = self.streams.len();
        self.streams.push(SimulatedStream {
            path,
            reservation: Some(reservation),
            stage: 0,
            prompt_tokens,
            pending_prompt_tokens: prompt_tokens,
            output_tokens: output_tokens.max(1),
            generated_tokens: 0,
            arrived_micros: now,
            last_event_micros: now,
            is_late: false,
        });
        self.enqueue(&first, index, now);
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
            stream.pending_prompt_tokens = if is_prefill { stream.prompt_tokens } else { 0 };
        } else {
            stream.stage = 0;
            stream.generated_tokens += 1;
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
            self.outcome.late += 1;
        } else {
            self.outcome.on_time += 1;
        }
    }
}

fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment, ZoneId},
        process::{
            AcceleratorProfile, EndpointDirectory, EndpointEntry, EngineLoad, EngineProfile,
            LoadReservation, PathPlanner, PathRequest,
        },
        request::LayerSpan,
    },
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        time::Duration,
    },
};

/// The streams that a model of a zone is given.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedTraffic {
    /// Streams a second, at random times.
    pub arrival_rate: f64,
    /// Time for which streams come.
    pub duration: Duration,
    /// Longest time to the first event that is on time.
    pub first_event_limit: Duration,
    /// Longest gap between events that is on time.
    pub event_gap_limit: Duration,
    /// Seed of arrivals and sizes.
    pub seed: u64,
}

/// How the streams of a model ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SimulationOutcome {
    /// Streams that came.
    pub arrived: u32,
    /// Streams that were complete with every event on time.
    pub on_time: u32,
    /// Streams that were complete with some event late.
    pub late: u32,
    /// Streams for which there was no path.
    pub refused: u32,
}

impl SimulationOutcome {
    /// Returns the part of the streams that were on time.
    #[must_use]
    pub fn on_time_ratio(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.arrived.max(1))
    }
}

/// A model of one availability zone's engines in virtual time.
///
/// Each endpoint works in passes over everything that waits there: prompts are read in chunks, and
/// each stream that is past its prompt gets one token through the endpoint's layers. A token goes
/// through the endpoints of its path in order before the next one begins. Paths are chosen by
/// [`PathPlanner`], with memory booked as hosts book it.
#[derive(Debug)]
pub struct ZoneSimulator {
    engine: EngineProfile,
    directory: EndpointDirectory,
    load: EngineLoad,
    endpoints: BTreeMap<EndpointId, SimulatedEndpoint>,
    streams: Vec<SimulatedStream>,
    /// What happens next: when (in microseconds), and what.
    agenda: BinaryHeap<Reverse<(u64, SimulationEvent)>>,
    outcome: SimulationOutcome,
}

#[derive(Debug)]
struct SimulatedEndpoint {
    profile: AcceleratorProfile,
    /// Streams whose prompt, or next token, waits here.
    waiting: VecDeque<usize>,
    is_busy: bool,
}

#[derive(Debug)]
struct SimulatedStream {
    path: Vec<(EndpointId, LayerSpan)>,
    ticket: Option<LoadReservation>,
    hop: usize,
    prompt: u32,
    /// Prompt tokens that the endpoint at `hop` has still to read.
    unread: u32,
    answer: u32,
    written: u32,
    arrived: u64,
    last_event: u64,
    is_late: bool,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    Arrival,
    PassEnd(EndpointId, Vec<usize>),
}

impl ZoneSimulator {
    /// Prompt tokens that an endpoint reads in one pass at most.
    const CHUNK: u32 = 512;
    /// Time between two endpoints of a zone, in microseconds.
    const HOP_MICROS: u64 = 100;

    /// Creates a zone of endpoints that hold layers.
    #[must_use]
    pub fn new(engine: EngineProfile, entries: Vec<EndpointEntry>) -> Self {
        let endpoints = entries
            .iter()
            .filter_map(|entry| {
                let profile = engine.accelerator(entry.accelerator.as_ref()?)?.clone();
                let endpoint =
                    SimulatedEndpoint { profile, waiting: VecDeque::new(), is_busy: false };
                Some((entry.endpoint.clone(), endpoint))
            })
            .collect();
        let mut directory = EndpointDirectory::default();
        directory.take_list(entries, Moment::ORIGIN);
        Self {
            engine,
            directory,
            load: EngineLoad::default(),
            endpoints,
            streams: Vec::new(),
            agenda: BinaryHeap::new(),
            outcome: SimulationOutcome::default(),
        }
    }

    /// Plays a traffic and returns how its streams ended.
    #[must_use]
    pub fn run(mut self, zone: &ZoneId, traffic: &SimulatedTraffic) -> SimulationOutcome {
        let mut random = fastrand::Rng::with_seed(traffic.seed);
        let end = micros(traffic.duration);
        self.schedule(0, SimulationEvent::Arrival);
        while let Some(Reverse((now, event))) = self.agenda.pop() {
            match event {
                SimulationEvent::Arrival => {
                    self.arrive(zone, &mut random, now);
                    let gap = -random.f64().max(1e-9).ln() / traffic.arrival_rate;
                    let next = now + micros(Duration::from_secs_f64(gap));
                    if next < end {
                        self.schedule(next, SimulationEvent::Arrival);
                    }
                }
                SimulationEvent::PassEnd(endpoint, served) => {
                    self.end_pass(&endpoint, served, traffic, now);
                }
            }
        }
        self.outcome
    }

    fn schedule(&mut self, at: u64, event: SimulationEvent) {
        self.agenda.push(Reverse((at, event)));
    }

    fn arrive(&mut self, zone: &ZoneId, random: &mut fastrand::Rng, now: u64) {
        self.outcome.arrived += 1;
        let mut size = |mean: u32| {
            let drawn = -random.f64().max(1e-9).ln() * f64::from(mean);
            drawn.clamp(f64::from(mean) * 0.1, f64::from(mean) * 3.0) as u32
        };
        let (prompt, answer) = (size(self.engine.usual_prompt), size(self.engine.usual_answer));
        let names: (ModelId, _) = match (self.endpoints.keys().next(), "m".parse()) {
            (Some(first), Ok(model)) => (model, first.clone()),
            _ => return,
        };
        let Some(service) = self.directory.entry(&names.1).map(|entry| entry.service.clone())
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
            model: &names.0,
            service: &service,
            zone,
            prompt,
            answer: self.engine.usual_answer,
            avoided: &[],
            firsts: None,
        };
        let Ok(planned) = planner.plan(&request) else {
            self.outcome.refused += 1;
            return;
        };
        let ticket = self.load.book(&planned.route, prompt + self.engine.usual_answer / 2);
        let stages = planned.route.stages().iter();
        let path: Vec<_> = stages.map(|stage| (stage.endpoint.clone(), stage.span)).collect();
        let first = path[0].0.clone();
        let index = self.streams.len();
        self.streams.push(SimulatedStream {
            path,
            ticket: Some(ticket),
            hop: 0,
            prompt,
            unread: prompt,
            answer: answer.max(1),
            written: 0,
            arrived: now,
            last_event: now,
            is_late: false,
        });
        self.wait_at(&first, index, now);
    }

    fn wait_at(&mut self, name: &EndpointId, stream: usize, now: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.waiting.push_back(stream);
        }
        self.begin_pass(name, now);
    }

    /// Starts a pass over everything that waits at an idle endpoint.
    fn begin_pass(&mut self, name: &EndpointId, now: u64) {
        let Some(endpoint) = self.endpoints.get_mut(name) else { return };
        if endpoint.is_busy || endpoint.waiting.is_empty() {
            return;
        }
        let served: Vec<usize> = endpoint.waiting.drain(..).collect();
        endpoint.is_busy = true;
        let profile = endpoint.profile.clone();
        let mut budget = Self::CHUNK;
        let (mut read_ms, mut write_ms, mut has_writer) = (0.0, 0.0, false);
        for &index in &served {
            let stream = &mut self.streams[index];
            let share = self.engine.share(stream.path[stream.hop].1);
            if stream.unread > 0 {
                let read = stream.unread.min(budget);
                budget -= read;
                stream.unread -= read;
                read_ms += f64::from(read) / self.engine.read_per_ms * profile.read_factor * share;
            } else {
                let context = f64::from(stream.prompt + stream.written) / 1_000.0;
                let own = self.engine.stream_ms + self.engine.context_ms * context;
                write_ms += own * profile.step_factor * share;
                if !has_writer {
                    write_ms += self.engine.step_ms * profile.step_factor * share;
                }
                has_writer = true;
            }
        }
        let length = micros(Duration::from_secs_f64((read_ms + write_ms) / 1e3)).max(1);
        self.schedule(now + length, SimulationEvent::PassEnd(name.clone(), served));
    }

    fn end_pass(
        &mut self,
        name: &EndpointId,
        served: Vec<usize>,
        traffic: &SimulatedTraffic,
        now: u64,
    ) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            endpoint.is_busy = false;
        }
        for index in served {
            if self.streams[index].unread > 0 {
                self.wait_at(name, index, now);
            } else {
                self.advance(index, traffic, now + Self::HOP_MICROS);
            }
        }
        self.begin_pass(name, now);
    }

    /// Moves a stream to the next endpoint of its path, or on to its next token.
    fn advance(&mut self, index: usize, traffic: &SimulatedTraffic, now: u64) {
        let is_reading = self.streams[index].written == 0;
        let stream = &mut self.streams[index];
        stream.hop += 1;
        if stream.hop < stream.path.len() {
            stream.unread = if is_reading { stream.prompt } else { 0 };
        } else {
            stream.hop = 0;
            stream.written += 1;
            let is_done = stream.written >= stream.answer;
            if is_done || stream.written.is_multiple_of(self.engine.stride.max(1)) {
                let is_first = stream.written <= self.engine.stride.max(1);
                let (since, aim) = if is_first {
                    (stream.arrived, traffic.first_event_limit)
                } else {
                    (stream.last_event, traffic.event_gap_limit)
                };
                stream.is_late |= now - since > micros(aim);
                stream.last_event = now;
            }
            if is_done {
                self.finish(index);
                return;
            }
        }
        let stream = &self.streams[index];
        let next = stream.path[stream.hop].0.clone();
        self.wait_at(&next, index, now);
    }

    fn finish(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        if let Some(ticket) = stream.ticket.take() {
            self.load.release(ticket);
        }
        if stream.is_late {
            self.outcome.late += 1;
        } else {
            self.outcome.on_time += 1;
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

use {
    crate::{
        standin_http::{read_json, register, reply_json, serve},
        ToyModel,
    },
    cassiafield::connection::{
        ChunkedReply, EngineEvent, HttpListener, StreamOrder, HEARTBEAT_INTERVAL,
    },
    cassiafield_core::{
        ids::{EndpointId, StreamId},
        process::{EndpointRecord, EndpointRole, EndpointState, SlotShare},
        request::{LayerSpan, RouteStage, TokenFrame},
    },
    compact_str::CompactString,
    serde_json::{json, Value},
    std::{
        collections::BTreeSet,
        io,
        net::SocketAddr,
        str::FromStr,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc, Mutex, MutexGuard, PoisonError,
        },
        thread,
        time::{Duration, Instant},
    },
    tiny_http::Request,
    ureq::{Agent, AgentBuilder},
};

/// What an engine stand-in is.
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// The endpoint as the platform lists it; its address is filled in when it starts.
    pub record: EndpointRecord,
    /// Time that its layers take for a token.
    pub token_time: Duration,
    /// Time that the prompt takes.
    pub prompt_time: Duration,
}

/// How an engine stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineFault {
    /// It works.
    #[default]
    None,
    /// It sends every frame twice.
    Double,
    /// It sends frames of other streams and attempts in between.
    Foreign,
    /// It leaves out every eighth frame.
    Gap,
    /// It sends lines that are no messages.
    Garbage,
    /// It sends a line without end.
    Endless,
    /// It claims layers that it did not run.
    WrongLayers,
    /// It sends nothing more.
    Silence,
}

impl FromStr for EngineFault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "none" => EngineFault::None,
            "double" => EngineFault::Double,
            "foreign" => EngineFault::Foreign,
            "gap" => EngineFault::Gap,
            "garbage" => EngineFault::Garbage,
            "endless" => EngineFault::Endless,
            "wrong-layers" => EngineFault::WrongLayers,
            "silence" => EngineFault::Silence,
            other => return Err(format!("unknown fault {other:?}")),
        })
    }
}

/// A model engine that runs a span of a [`ToyModel`]'s layers.
pub struct EngineStandin {
    record: EndpointRecord,
    shared: Arc<EngineState>,
    listener: HttpListener,
}

struct EngineState {
    endpoint: EndpointId,
    slots: u32,
    span: LayerSpan,
    token_time: Duration,
    prompt_time: Duration,
    running: AtomicU32,
    opened: AtomicU32,
    hops: AtomicU32,
    fault: Mutex<EngineFault>,
    cancelled: Mutex<BTreeSet<(StreamId, u32)>>,
    agent: Agent,
}

/// Work that passes from stage to stage for one token.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct StageHop {
    value: u64,
    spans: Vec<LayerSpan>,
    stages: Vec<RouteStage>,
}

/// What comes back from the last stage, or the stage that failed.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct HopReply {
    value: u64,
    spans: Vec<LayerSpan>,
    failed: Option<EndpointId>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandin {
    const HOP_TIMEOUT: Duration = Duration::from_millis(250);

    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// Returns why the address could not be bound, or that the record is not a stage.
    pub fn start(address: &str, spec: EngineSpec) -> anyhow::Result<Self> {
        let EndpointRole::Stage { span, .. } = spec.record.role else {
            anyhow::bail!("{} is not a stage", spec.record.endpoint)
        };
        let shared = Arc::new(EngineState {
            endpoint: spec.record.endpoint.clone(),
            slots: spec.record.slots,
            span,
            token_time: spec.token_time,
            prompt_time: spec.prompt_time,
            running: AtomicU32::new(0),
            opened: AtomicU32::new(0),
            hops: AtomicU32::new(0),
            fault: Mutex::new(EngineFault::None),
            cancelled: Mutex::new(BTreeSet::new()),
            agent: AgentBuilder::new()
                .timeout_connect(Self::HOP_TIMEOUT)
                .timeout_read(Self::HOP_TIMEOUT)
                .max_idle_connections_per_host(256)
                .max_idle_connections(4_096)
                .build(),
        });
        let state = shared.clone();
        let (listener, bound) = serve(address, Arc::new(move |http: Request| state.handle(http)))?;
        let record = EndpointRecord {
            address: bound.to_string().into(),
            state: EndpointState::Live,
            ..spec.record
        };
        Ok(Self { record, shared, listener })
    }

    /// Returns the endpoint as the platform should list it.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns the address.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Sets how the engine misbehaves.
    pub fn set_fault(&self, fault: EngineFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Returns the number of streams that run.
    #[must_use]
    pub fn running_streams(&self) -> u32 {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Returns the number of streams opened so far.
    #[must_use]
    pub fn opened_streams(&self) -> u32 {
        self.shared.opened.load(Ordering::SeqCst)
    }

    /// Returns the number of tokens run as a later stage so far.
    #[must_use]
    pub fn hops(&self) -> u32 {
        self.shared.hops.load(Ordering::SeqCst)
    }

    /// Registers the endpoint with a platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns why the platform did not answer.
    pub fn register(&self, platform: &str) -> anyhow::Result<()> {
        register(platform, &self.record)
    }

    /// Stops the stand-in.
    pub fn close(self) {
        let _ = self.listener.close(Duration::ZERO);
    }
}

impl EngineState {
    fn handle(&self, mut http: Request) {
        let path = http.url().to_owned();
        match path.as_str() {
            "/v1/streams" => match read_json(&mut http) {
                Ok(order) => self.run_stream(http, &order),
                Err(error) => reply_json(http, 400, &json!({ "error": error.to_string() })),
            },
            "/v1/hops" => match read_json(&mut http) {
                Ok(hop) => reply_json(http, 200, &json!(self.run_hop(hop))),
                Err(error) => reply_json(http, 400, &json!({ "error": error.to_string() })),
            },
            "/v1/load" => reply_json(http, 200, &self.load()),
            "/healthz" => reply_json(http, 200, &json!({})),
            "/standin/fault" => {
                let fault: Result<EngineFault, _> = read_json::<String>(&mut http)
                    .map_err(|e| e.to_string())
                    .and_then(|f| f.parse());
                match fault {
                    Ok(fault) => {
                        *lock(&self.fault) = fault;
                        reply_json(http, 200, &json!({}));
                    }
                    Err(error) => reply_json(http, 400, &json!({ "error": error })),
                }
            }
            _ => {
                self.cancel(&path);
                reply_json(http, 200, &json!({}));
            }
        }
    }

    fn load(&self) -> Value {
        let running = self.running.load(Ordering::SeqCst);
        let opened = self.opened.load(Ordering::SeqCst);
        json!({ "running": running, "queued": 0, "slots": self.slots, "opened": opened })
    }

    /// Takes `/v1/streams/{stream}/{attempt}/cancel`.
    fn cancel(&self, path: &str) {
        let parts: Vec<&str> = path.split('/').collect();
        if let ["", "v1", "streams", stream, attempt, "cancel"] = parts[..] {
            if let (Ok(stream), Ok(attempt)) = (stream.parse(), attempt.parse()) {
                lock(&self.cancelled).insert((stream, attempt));
            }
        }
    }

    fn run_stream(&self, http: Request, order: &StreamOrder) {
        let own = order.stages.first();
        if own.is_none_or(|own| own.endpoint != self.endpoint || own.span != self.span) {
            return reply_json(http, 409, &json!({ "error": "not my stage" }));
        }
        let capacity = SlotShare::capacity(self.slots, true);
        if self.running.fetch_add(1, Ordering::SeqCst) >= capacity {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return reply_json(http, 429, &json!({ "error": "no free slot" }));
        }
        self.opened.fetch_add(1, Ordering::SeqCst);
        if let Ok(mut reply) = ChunkedReply::begin(http.into_writer(), "application/x-ndjson") {
            let _ = self.send_tokens(&mut reply, order);
            let _ = reply.close();
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        lock(&self.cancelled).remove(&(order.stream, order.attempt));
    }

    fn send_tokens(&self, reply: &mut ChunkedReply, order: &StreamOrder) -> io::Result<()> {
        let mut previous = order.generated.last().cloned();
        let start = u32::try_from(order.generated.len()).unwrap_or(u32::MAX);
        send_beats(reply, self.prompt_time)?;
        for position in start..order.max_tokens {
            if lock(&self.cancelled).contains(&(order.stream, order.attempt)) {
                return Ok(());
            }
            send_beats(reply, self.token_time)?;
            let seed = ToyModel::input(&order.prompt, previous.as_deref(), position);
            let hop = StageHop { value: seed, spans: Vec::new(), stages: order.stages.clone() };
            let done = self.run_layers(hop);
            if let Some(failed) = done.failed {
                return send_event(reply, &EngineEvent::Failed { failed });
            }
            let text = ToyModel::decode(done.value);
            let frame = TokenFrame {
                stream: order.stream,
                attempt: order.attempt,
                position,
                text: text.clone(),
                spans: done.spans,
            };
            self.send_frame(reply, frame)?;
            if text.is_none() {
                return Ok(());
            }
            previous = text;
        }
        let end = TokenFrame {
            stream: order.stream,
            attempt: order.attempt,
            position: order.max_tokens,
            text: None,
            spans: Vec::new(),
        };
        send_event(reply, &EngineEvent::Frame(end))
    }

    /// Sends a frame as the fault has it.
    fn send_frame(&self, reply: &mut ChunkedReply, mut frame: TokenFrame) -> io::Result<()> {
        let fault = *lock(&self.fault);
        match fault {
            EngineFault::None => {}
            EngineFault::Double => send_event(reply, &EngineEvent::Frame(frame.clone()))?,
            EngineFault::Foreign => send_foreign(reply, &frame)?,
            EngineFault::Gap if frame.position % 8 == 7 => return Ok(()),
            EngineFault::Gap => {}
            EngineFault::Garbage if frame.position % 4 == 3 => reply.send(b"{\"x\":[1,2\n")?,
            EngineFault::Garbage => {}
            EngineFault::Endless => loop {
                reply.send(&[b'x'; 4_096])?;
            },
            EngineFault::WrongLayers => {
                frame.spans.reverse();
                frame.spans.pop();
            }
            EngineFault::Silence => loop {
                thread::sleep(Duration::from_millis(50));
                if *lock(&self.fault) != EngineFault::Silence {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            },
        }
        send_event(reply, &EngineEvent::Frame(frame))
    }

    fn run_hop(&self, hop: StageHop) -> HopReply {
        self.hops.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.token_time);
        self.run_layers(hop)
    }

    /// Runs the own layers and passes the work on to the next stage.
    fn run_layers(&self, mut hop: StageHop) -> HopReply {
        hop.value = ToyModel::run_layers(hop.value, self.span.start(), self.span.end());
        hop.spans.push(self.span);
        hop.stages.remove(0);
        let Some(next) = hop.stages.first().cloned() else {
            return HopReply { value: hop.value, spans: hop.spans, failed: None };
        };
        let url = format!("http://{}/v1/hops", next.address);
        let reply = self.agent.post(&url).send_json(&hop).ok();
        let reply = reply.and_then(|response| response.into_json().ok());
        reply.unwrap_or_else(|| HopReply {
            value: 0,
            spans: Vec::new(),
            failed: Some(next.endpoint),
        })
    }
}

fn send_event(reply: &mut ChunkedReply, event: &EngineEvent) -> io::Result<()> {
    let mut line = serde_json::to_vec(event)?;
    line.push(b'\n');
    reply.send(&line)
}

/// Sends frames that belong to another stream and to another attempt.
fn send_foreign(reply: &mut ChunkedReply, frame: &TokenFrame) -> io::Result<()> {
    let text = Some(CompactString::const_new("SOMEONE-ELSE "));
    let other = TokenFrame { stream: StreamId(!frame.stream.0), text, ..frame.clone() };
    send_event(reply, &EngineEvent::Frame(other.clone()))?;
    let late = TokenFrame { stream: frame.stream, attempt: frame.attempt + 7, ..other };
    send_event(reply, &EngineEvent::Frame(late))
}

/// Lets time pass with heartbeats.
fn send_beats(reply: &mut ChunkedReply, time: Duration) -> io::Result<()> {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(left.min(HEARTBEAT_INTERVAL));
        if left <= HEARTBEAT_INTERVAL {
            return Ok(());
        }
        send_event(reply, &EngineEvent::Heartbeat { heartbeat: true })?;
    }
}

use {
    crate::{
        standin_http::{read_json, register, respond_json, serve},
        KeptPrefixes, KeptUse, ToyModel,
    },
    cassiafield::connection::{
        ChunkedResponse, EngineEvent, HttpListener, StreamRequest, HEARTBEAT_INTERVAL,
    },
    cassiafield_core::{
        ids::{EndpointId, StreamId},
        process::{EndpointRecord, EndpointRole, EndpointState, SlotAllocator},
        request::{LayerSpan, RouteStage, TokenFrame},
    },
    compact_str::CompactString,
    serde_json::{json, Value},
    std::{
        collections::BTreeSet,
        hash::{DefaultHasher, Hash as _, Hasher as _},
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

/// Configuration of an [`EngineStandin`].
#[derive(Clone, Debug)]
pub struct EngineSpec {
    /// Endpoint record for the host list; `address` and `state` are set on start.
    pub record: EndpointRecord,
    /// Processing time of this stage per token.
    pub token_time: Duration,
    /// Prefill time of a prompt.
    pub prompt_time: Duration,
    /// How the beginnings of prompts are kept after their requests; `None` if they are not. A word counts
    /// as a token.
    pub kept: Option<KeptPrefixes>,
}

/// Fault that an [`EngineStandin`] injects into its streams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum EngineFault {
    /// No fault.
    #[default]
    None,
    /// Sends every frame twice.
    Double,
    /// Precedes every frame by frames of another stream and of another attempt.
    Foreign,
    /// Skips every eighth frame.
    Gap,
    /// Precedes every fourth frame by a line of malformed JSON.
    Garbage,
    /// Sends an unterminated line of unlimited length.
    Endless,
    /// Reports one layer span too few, in reverse order.
    WrongLayers,
    /// Sends nothing more, not even heartbeats; aborts the stream once the fault changes.
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

/// A model engine that runs one span of a [`ToyModel`]'s layers as a pipeline stage.
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
    /// Lost with the process.
    kept: Option<Mutex<KeptPrefixes>>,
    running: AtomicU32,
    opened: AtomicU32,
    hops: AtomicU32,
    fault: Mutex<EngineFault>,
    cancelled: Mutex<BTreeSet<(StreamId, u32)>>,
    agent: Agent,
}

/// Request that carries one token's intermediate value to the next stage.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct StageHop {
    value: u64,
    spans: Vec<LayerSpan>,
    stages: Vec<RouteStage>,
}

/// Result of the remaining stages: the last stage's output, or the endpoint that failed.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
struct HopResponse {
    value: u64,
    spans: Vec<LayerSpan>,
    failed: Option<EndpointId>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl EngineStandin {
    /// Connect and read timeout of a request to the next stage.
    const HOP_TIMEOUT: Duration = Duration::from_millis(250);

    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the record's role is not a stage.
    pub fn start(address: &str, spec: EngineSpec) -> anyhow::Result<Self> {
        let EndpointRole::Stage { span, .. } = spec.record.role else {
            anyhow::bail!("endpoint {} does not have the stage role", spec.record.endpoint)
        };
        let shared = Arc::new(EngineState {
            endpoint: spec.record.endpoint.clone(),
            slots: spec.record.slots,
            span,
            token_time: spec.token_time,
            prompt_time: spec.prompt_time,
            kept: spec.kept.map(Mutex::new),
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

    /// Returns the endpoint record with the bound address.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns the socket's error.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }

    /// Sets the fault to inject, also into open streams.
    pub fn set_fault(&self, fault: EngineFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Returns the number of running streams.
    #[must_use]
    pub fn running_streams(&self) -> u32 {
        self.shared.running.load(Ordering::SeqCst)
    }

    /// Returns the number of streams accepted since the start.
    #[must_use]
    pub fn opened_streams(&self) -> u32 {
        self.shared.opened.load(Ordering::SeqCst)
    }

    /// Returns the number of hops served since the start, as a stage after the first.
    #[must_use]
    pub fn hops(&self) -> u32 {
        self.shared.hops.load(Ordering::SeqCst)
    }

    /// Registers the endpoint with a platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stand-in does not accept the registration.
    pub fn register(&self, platform_url: &str) -> anyhow::Result<()> {
        register(platform_url, &self.record)
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
                Ok(request) => self.run_stream(http, &request),
                Err(error) => respond_json(http, 400, &json!({ "error": error.to_string() })),
            },
            "/v1/hops" => match read_json(&mut http) {
                Ok(hop) => respond_json(http, 200, &json!(self.run_hop(hop))),
                Err(error) => respond_json(http, 400, &json!({ "error": error.to_string() })),
            },
            "/v1/load" => respond_json(http, 200, &self.load()),
            "/healthz" => respond_json(http, 200, &json!({})),
            "/standin/fault" => {
                let fault: Result<EngineFault, _> = read_json::<String>(&mut http)
                    .map_err(|e| e.to_string())
                    .and_then(|f| f.parse());
                match fault {
                    Ok(fault) => {
                        *lock(&self.fault) = fault;
                        respond_json(http, 200, &json!({}));
                    }
                    Err(error) => respond_json(http, 400, &json!({ "error": error })),
                }
            }
            _ => {
                self.cancel(&path);
                respond_json(http, 200, &json!({}));
            }
        }
    }

    fn load(&self) -> Value {
        let running = self.running.load(Ordering::SeqCst);
        let opened = self.opened.load(Ordering::SeqCst);
        let mut load =
            json!({ "running": running, "queued": 0, "slots": self.slots, "opened": opened });
        let kept = self.kept.as_ref().map(lock).filter(|kept| kept.is_reported());
        if let Some(kept) = kept {
            load["kept_tokens"] = json!(kept.kept_tokens());
        }
        load
    }

    /// Handles `/v1/streams/{stream}/{attempt}/cancel`; other paths are ignored.
    fn cancel(&self, path: &str) {
        let parts: Vec<&str> = path.split('/').collect();
        if let ["", "v1", "streams", stream, attempt, "cancel"] = parts[..] {
            if let (Ok(stream), Ok(attempt)) = (stream.parse(), attempt.parse()) {
                lock(&self.cancelled).insert((stream, attempt));
            }
        }
    }

    fn run_stream(&self, http: Request, request: &StreamRequest) {
        let first = request.stages.first();
        if first.is_none_or(|stage| stage.endpoint != self.endpoint || stage.span != self.span) {
            return respond_json(http, 409, &json!({ "error": "not my stage" }));
        }
        let capacity = SlotAllocator::capacity(self.slots, true);
        if self.running.fetch_add(1, Ordering::SeqCst) >= capacity {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return respond_json(http, 429, &json!({ "error": "no free slot" }));
        }
        if let Ok(mut response) = ChunkedResponse::begin(http.into_writer(), "application/x-ndjson")
        {
            // A stream counts once its head is sent: without one it may still be given up.
            self.opened.fetch_add(1, Ordering::SeqCst);
            let used = self.find_kept(&request.prompt);
            let found_tokens = used.as_ref().map_or(0, |used| used.found_tokens);
            let _ = self.send_tokens(&mut response, request, found_tokens);
            if let (Some(kept), Some(used)) = (&self.kept, used) {
                lock(kept).end(used);
            }
            let _ = response.close();
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        lock(&self.cancelled).remove(&(request.stream, request.attempt));
    }

    /// Finds the blocks of a prompt that are kept; `None` if none ever are.
    fn find_kept(&self, prompt: &str) -> Option<KeptUse> {
        let mut kept = lock(self.kept.as_ref()?);
        let word_number = |word: &str| {
            let mut hasher = DefaultHasher::new();
            word.hash(&mut hasher);
            hasher.finish()
        };
        let blocks = kept.blocks_of(prompt.split_whitespace().map(word_number));
        Some(kept.begin(&blocks))
    }

    fn send_tokens(
        &self,
        response: &mut ChunkedResponse,
        request: &StreamRequest,
        found_tokens: u32,
    ) -> io::Result<()> {
        let mut previous = request.generated.last().cloned();
        let start = u32::try_from(request.generated.len()).unwrap_or(u32::MAX);
        let tokens = request.prompt.split_whitespace().count().max(1);
        let unread = 1.0 - (f64::from(found_tokens) / tokens as f64).min(1.0);
        sleep_with_heartbeats(response, self.prompt_time.mul_f64(unread))?;
        for position in start..request.max_tokens {
            if lock(&self.cancelled).contains(&(request.stream, request.attempt)) {
                return Ok(());
            }
            sleep_with_heartbeats(response, self.token_time)?;
            let input = ToyModel::input(&request.prompt, previous.as_deref(), position);
            let hop = StageHop { value: input, spans: Vec::new(), stages: request.stages.clone() };
            let done = self.run_layers(hop);
            if let Some(failed) = done.failed {
                return send_event(response, &EngineEvent::Failed { failed });
            }
            let text = ToyModel::decode(done.value);
            let frame = TokenFrame {
                stream: request.stream,
                attempt: request.attempt,
                position,
                text: text.clone(),
                spans: done.spans,
            };
            self.send_frame(response, frame)?;
            if text.is_none() {
                return Ok(());
            }
            previous = text;
        }
        let end = TokenFrame {
            stream: request.stream,
            attempt: request.attempt,
            position: request.max_tokens,
            text: None,
            spans: Vec::new(),
        };
        send_event(response, &EngineEvent::Frame(end))
    }

    /// Sends a frame, altered by the active fault.
    fn send_frame(&self, response: &mut ChunkedResponse, mut frame: TokenFrame) -> io::Result<()> {
        let fault = *lock(&self.fault);
        match fault {
            EngineFault::None => {}
            EngineFault::Double => send_event(response, &EngineEvent::Frame(frame.clone()))?,
            EngineFault::Foreign => send_foreign_frames(response, &frame)?,
            EngineFault::Gap if frame.position % 8 == 7 => return Ok(()),
            EngineFault::Gap => {}
            EngineFault::Garbage if frame.position % 4 == 3 => response.send(b"{\"x\":[1,2\n")?,
            EngineFault::Garbage => {}
            EngineFault::Endless => loop {
                response.send(&[b'x'; 4_096])?;
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
        send_event(response, &EngineEvent::Frame(frame))
    }

    fn run_hop(&self, hop: StageHop) -> HopResponse {
        self.hops.fetch_add(1, Ordering::SeqCst);
        thread::sleep(self.token_time);
        self.run_layers(hop)
    }

    /// Runs this stage's layers and calls the next stage, if there is one.
    fn run_layers(&self, mut hop: StageHop) -> HopResponse {
        hop.value = ToyModel::run_layers(hop.value, self.span.start(), self.span.end());
        hop.spans.push(self.span);
        hop.stages.remove(0);
        let Some(next) = hop.stages.first().cloned() else {
            return HopResponse { value: hop.value, spans: hop.spans, failed: None };
        };
        let url = format!("http://{}/v1/hops", next.address);
        let response = self.agent.post(&url).send_json(&hop).ok();
        let response = response.and_then(|response| response.into_json().ok());
        response.unwrap_or_else(|| HopResponse {
            value: 0,
            spans: Vec::new(),
            failed: Some(next.endpoint),
        })
    }
}

fn send_event(response: &mut ChunkedResponse, event: &EngineEvent) -> io::Result<()> {
    let mut line = serde_json::to_vec(event)?;
    line.push(b'\n');
    response.send(&line)
}

/// Sends one frame of another stream and one of another attempt.
fn send_foreign_frames(response: &mut ChunkedResponse, frame: &TokenFrame) -> io::Result<()> {
    let text = Some(CompactString::const_new("SOMEONE-ELSE "));
    let foreign = TokenFrame { stream: StreamId(!frame.stream.0), text, ..frame.clone() };
    send_event(response, &EngineEvent::Frame(foreign.clone()))?;
    let other_attempt = TokenFrame { stream: frame.stream, attempt: frame.attempt + 7, ..foreign };
    send_event(response, &EngineEvent::Frame(other_attempt))
}

/// Sleeps for `time` and sends a heartbeat at each interval.
fn sleep_with_heartbeats(response: &mut ChunkedResponse, time: Duration) -> io::Result<()> {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(left.min(HEARTBEAT_INTERVAL));
        if left <= HEARTBEAT_INTERVAL {
            return Ok(());
        }
        send_event(response, &EngineEvent::Heartbeat { heartbeat: true })?;
    }
}

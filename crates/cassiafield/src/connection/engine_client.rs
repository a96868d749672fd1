use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, StreamId},
        request::{RouteStage, TokenFrame},
    },
    compact_str::CompactString,
    std::{
        fmt,
        io::{BufRead, BufReader, Read},
        time::Duration,
    },
    ureq::{Agent, AgentBuilder, ErrorKind},
};

/// Time between an engine's heartbeats on a stream without tokens.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// An order to run a stream over a route.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StreamOrder {
    /// The stream.
    pub stream: StreamId,
    /// The attempt, counted from 1.
    pub attempt: u32,
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// Tokens already delivered; the engine goes on after them.
    pub generated: Vec<CompactString>,
    /// Tokens in the whole answer, at most.
    pub max_tokens: u32,
    /// The stages in order; the first one receives the order.
    pub stages: Vec<RouteStage>,
}

/// One message of an engine on a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum EngineEvent {
    /// A token or the end of the answer.
    Frame(TokenFrame),
    /// A later stage of the route failed.
    Failed {
        /// The endpoint that failed.
        failed: EndpointId,
    },
    /// The stream is alive and has no token yet.
    Heartbeat {
        /// Always true.
        heartbeat: bool,
    },
}

/// Why a stream could not be opened.
#[derive(Clone, Debug)]
pub enum OpenFailure {
    /// The engine has no free slot.
    Busy,
    /// The engine cannot be reached; no byte was sent.
    Unreachable(String),
    /// The engine was sent the order and did not answer.
    Unanswered(String),
    /// The engine refuses the order.
    Refused(String),
}

/// Why a stream ended before its answer was complete.
#[derive(Clone, Debug)]
pub enum StreamFailure {
    /// Nothing came for longer than heartbeats allow.
    Silent,
    /// The connection ended.
    Closed,
    /// The engine sent something that is no message.
    Garbage,
}

impl fmt::Display for StreamFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StreamFailure::Silent => "the engine went silent",
            StreamFailure::Closed => "the engine closed the stream",
            StreamFailure::Garbage => "the engine sent garbage",
        })
    }
}

/// A stream of an engine.
pub trait EngineStream: Send {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns why no message will come.
    fn next_event(&mut self) -> Result<EngineEvent, StreamFailure>;
}

/// The engines.
pub trait EngineClient: Send + Sync {
    /// Opens a stream at the first stage of its route.
    ///
    /// # Errors
    ///
    /// Returns why the stream is not open.
    fn open(&self, order: &StreamOrder) -> Result<Box<dyn EngineStream>, OpenFailure>;

    /// Tells an engine to stop an attempt at a stream; failures are ignored.
    fn cancel(&self, address: &str, stream: StreamId, attempt: u32);

    /// Says whether an engine answers within a short time.
    fn probe(&self, address: &str) -> bool;
}

/// The engines over HTTP with JSON lines.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    streams: Agent,
    probes: Agent,
}

impl HttpEngineClient {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
    /// Silence after which a stream counts as dead.
    const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);
    const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
    const MAX_IDLE_PER_ENGINE: usize = 32;

    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        let streams = AgentBuilder::new()
            .timeout_connect(Self::CONNECT_TIMEOUT)
            .timeout_read(Self::SILENCE_TIMEOUT)
            .timeout_write(Self::SILENCE_TIMEOUT)
            .max_idle_connections(1024)
            .max_idle_connections_per_host(Self::MAX_IDLE_PER_ENGINE)
            .redirects(0)
            .build();
        let probes = AgentBuilder::new()
            .timeout(Self::PROBE_TIMEOUT)
            .max_idle_connections(0)
            .redirects(0)
            .build();
        Self { streams, probes }
    }
}

impl Default for HttpEngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient for HttpEngineClient {
    fn open(&self, order: &StreamOrder) -> Result<Box<dyn EngineStream>, OpenFailure> {
        let first = order.stages.first();
        let first = first.ok_or_else(|| OpenFailure::Refused("the route is empty".into()))?;
        let url = format!("http://{}/v1/streams", first.address);
        match self.streams.post(&url).send_json(order) {
            Ok(response) => Ok(Box::new(JsonLineStream::new(response.into_reader()))),
            Err(ureq::Error::Status(429 | 503, _)) => Err(OpenFailure::Busy),
            Err(ureq::Error::Status(status, _)) => {
                Err(OpenFailure::Refused(format!("status {status}")))
            }
            Err(ureq::Error::Transport(transport)) => Err(match transport.kind() {
                ErrorKind::Dns | ErrorKind::ConnectionFailed | ErrorKind::InvalidUrl => {
                    OpenFailure::Unreachable(transport.to_string())
                }
                _ => OpenFailure::Unanswered(transport.to_string()),
            }),
        }
    }

    fn cancel(&self, address: &str, stream: StreamId, attempt: u32) {
        let url = format!("http://{address}/v1/streams/{stream}/{attempt}/cancel");
        let _ = self.probes.post(&url).call();
    }

    fn probe(&self, address: &str) -> bool {
        match self.probes.get(&format!("http://{address}/healthz")).call() {
            Ok(_) => true,
            Err(ureq::Error::Status(..)) => false,
            Err(ureq::Error::Transport(transport)) => {
                matches!(transport.kind(), ErrorKind::BadHeader)
            }
        }
    }
}

/// Reads messages as lines of JSON.
struct JsonLineStream {
    reader: BufReader<Box<dyn Read + Send + Sync>>,
    line: String,
}

impl JsonLineStream {
    /// Longest line that is read, in bytes.
    const MAX_LINE_BYTES: u64 = 64 << 10;

    fn new(reader: Box<dyn Read + Send + Sync>) -> Self {
        Self { reader: BufReader::new(reader), line: String::new() }
    }
}

impl EngineStream for JsonLineStream {
    fn next_event(&mut self) -> Result<EngineEvent, StreamFailure> {
        self.line.clear();
        let mut bounded = self.reader.by_ref().take(Self::MAX_LINE_BYTES);
        match bounded.read_line(&mut self.line) {
            Ok(0) => Err(StreamFailure::Closed),
            Ok(_) if !self.line.ends_with('\n') => Err(StreamFailure::Garbage),
            Ok(_) => parse_event(&self.line),
            Err(error) => Err(match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                    StreamFailure::Silent
                }
                std::io::ErrorKind::InvalidData => StreamFailure::Garbage,
                _ => StreamFailure::Closed,
            }),
        }
    }
}

/// Reads a token frame first, since nearly all lines are token frames.
fn parse_event(line: &str) -> Result<EngineEvent, StreamFailure> {
    if let Ok(frame) = serde_json::from_str(line) {
        return Ok(EngineEvent::Frame(frame));
    }
    serde_json::from_str(line).map_err(|_| StreamFailure::Garbage)
}

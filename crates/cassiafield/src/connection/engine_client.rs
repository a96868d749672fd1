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

/// Interval of an engine's heartbeats on a stream while it has no token to send.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A request to generate a stream over a route.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StreamRequest {
    /// The stream.
    pub stream: StreamId,
    /// The attempt number, starting at 1.
    pub attempt: u32,
    /// The model.
    pub model: ModelId,
    /// The prompt.
    pub prompt: String,
    /// Tokens already delivered; the engine continues after them.
    pub generated: Vec<CompactString>,
    /// Maximum number of tokens in the answer, including `generated`.
    pub max_tokens: u32,
    /// The pipeline stages in order; the request is sent to the first one.
    pub stages: Vec<RouteStage>,
}

/// A message from an engine on a stream.
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
    /// The stream is alive but has no token to send.
    Heartbeat {
        /// Always true.
        heartbeat: bool,
    },
}

/// Why a stream could not be opened.
#[derive(Clone, Debug)]
pub enum OpenError {
    /// The engine has no free slot.
    Busy,
    /// The connection could not be established; no byte was sent.
    Unreachable(String),
    /// The request was sent and no response was received.
    NoResponse(String),
    /// The engine rejected the request.
    Refused(String),
}

/// Why there is no further message although the answer is not complete.
#[derive(Clone, Debug)]
pub enum EngineStreamError {
    /// No message, not even a heartbeat, arrived within the read timeout.
    TimedOut,
    /// The connection was closed.
    Closed,
    /// The engine sent a line that is not a valid message.
    InvalidMessage,
}

impl fmt::Display for EngineStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EngineStreamError::TimedOut => "the engine sent no message within the read timeout",
            EngineStreamError::Closed => "the engine closed the stream",
            EngineStreamError::InvalidMessage => "the engine sent an invalid message",
        })
    }
}

/// A stream of messages from an engine.
pub trait EngineStream: Send {
    /// Waits for the next message.
    ///
    /// After [`EngineStreamError::TimedOut`] the stream is still open.
    ///
    /// # Errors
    ///
    /// Returns why there is no message.
    fn next_event(&mut self) -> Result<EngineEvent, EngineStreamError>;
}

/// Client of the engines.
pub trait EngineClient: Send + Sync {
    /// Opens a stream at the first stage of its route.
    ///
    /// # Errors
    ///
    /// Returns why the stream was not opened.
    fn open(&self, request: &StreamRequest) -> Result<Box<dyn EngineStream>, OpenError>;

    /// Cancels an attempt of a stream at an engine; errors are ignored.
    fn cancel(&self, address: &str, stream: StreamId, attempt: u32);

    /// Returns `true` if the engine answers a health probe within the probe timeout.
    fn probe(&self, address: &str) -> bool;
}

/// An [`EngineClient`] over HTTP with newline-delimited JSON.
#[derive(Clone, Debug)]
pub struct HttpEngineClient {
    streams: Agent,
    probes: Agent,
}

impl HttpEngineClient {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
    /// Read and write timeout of a stream; it spans several heartbeats, so that one late
    /// heartbeat does not fail the stream.
    const IO_TIMEOUT: Duration = Duration::from_millis(350);
    const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
    const MAX_IDLE_CONNECTIONS_PER_ENGINE: usize = 32;

    /// Creates a client.
    #[must_use]
    pub fn new() -> Self {
        let streams = AgentBuilder::new()
            .timeout_connect(Self::CONNECT_TIMEOUT)
            .timeout_read(Self::IO_TIMEOUT)
            .timeout_write(Self::IO_TIMEOUT)
            .max_idle_connections(1024)
            .max_idle_connections_per_host(Self::MAX_IDLE_CONNECTIONS_PER_ENGINE)
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
    fn open(&self, request: &StreamRequest) -> Result<Box<dyn EngineStream>, OpenError> {
        let first = request.stages.first();
        let first = first.ok_or_else(|| OpenError::Refused("the route is empty".into()))?;
        let url = format!("http://{}/v1/streams", first.address);
        match self.streams.post(&url).send_json(request) {
            Ok(response) => Ok(Box::new(JsonLineStream::new(response.into_reader()))),
            Err(ureq::Error::Status(429 | 503, _)) => Err(OpenError::Busy),
            Err(ureq::Error::Status(status, _)) => {
                Err(OpenError::Refused(format!("status {status}")))
            }
            Err(ureq::Error::Transport(transport)) => Err(match transport.kind() {
                ErrorKind::Dns | ErrorKind::ConnectionFailed | ErrorKind::InvalidUrl => {
                    OpenError::Unreachable(transport.to_string())
                }
                _ => OpenError::NoResponse(transport.to_string()),
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

/// Reads messages from newline-delimited JSON.
struct JsonLineStream {
    reader: BufReader<Box<dyn Read + Send + Sync>>,
    line: String,
}

impl JsonLineStream {
    /// Maximum length of a line, which bounds memory if an engine sends no line break.
    const MAX_LINE_BYTES: u64 = 64 << 10;

    fn new(reader: Box<dyn Read + Send + Sync>) -> Self {
        Self { reader: BufReader::new(reader), line: String::new() }
    }
}

impl EngineStream for JsonLineStream {
    fn next_event(&mut self) -> Result<EngineEvent, EngineStreamError> {
        // The start of a line whose rest is late is kept.
        if self.line.ends_with('\n') {
            self.line.clear();
        }
        let left = Self::MAX_LINE_BYTES.saturating_sub(self.line.len() as u64);
        let mut bounded = self.reader.by_ref().take(left);
        match bounded.read_line(&mut self.line) {
            Ok(0) => Err(EngineStreamError::Closed),
            Ok(_) if !self.line.ends_with('\n') => Err(EngineStreamError::InvalidMessage),
            Ok(_) => parse_event(&self.line),
            Err(error) => Err(match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => {
                    EngineStreamError::TimedOut
                }
                std::io::ErrorKind::InvalidData => EngineStreamError::InvalidMessage,
                _ => EngineStreamError::Closed,
            }),
        }
    }
}

/// Parses a message, trying a token frame first since nearly all lines are token frames.
fn parse_event(line: &str) -> Result<EngineEvent, EngineStreamError> {
    if let Ok(frame) = serde_json::from_str(line) {
        return Ok(EngineEvent::Frame(frame));
    }
    serde_json::from_str(line).map_err(|_| EngineStreamError::InvalidMessage)
}

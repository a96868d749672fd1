use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    str::FromStr,
    sync::{
        atomic::{AtomicBool, AtomicU64, AtomicU8, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

/// How a [`TcpRelay`] treats connections and their data.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Forwards data in both directions.
    Pass = 0,
    /// Closes open connections, and each new one right after it is accepted.
    Cut = 1,
    /// Keeps connections open and forwards nothing.
    Silent = 2,
    /// Forwards requests and withholds responses.
    DropAnswers = 3,
    /// Forwards nothing on connections opened before the mode was set; new ones work.
    ForgetOpen = 4,
}

impl FromStr for RelayMode {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        Ok(match text {
            "pass" => RelayMode::Pass,
            "cut" => RelayMode::Cut,
            "silent" => RelayMode::Silent,
            "drop-answers" => RelayMode::DropAnswers,
            "forget-open" => RelayMode::ForgetOpen,
            other => return Err(format!("unknown mode {other:?}")),
        })
    }
}

/// A TCP proxy to one address that injects network faults and delay.
pub struct TcpRelay {
    address: SocketAddr,
    shared: Arc<RelayState>,
}

struct RelayState {
    target: SocketAddr,
    mode: AtomicU8,
    epoch: AtomicU64,
    delay_ms: AtomicU64,
    closed: AtomicBool,
}

/// Direction of the data.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Request,
    Response,
}

impl TcpRelay {
    /// Read timeout, and so the longest delay until an idle connection sees a new mode.
    const POLL_INTERVAL: Duration = Duration::from_millis(20);

    /// Starts a relay on `address` to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(address: &str, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(RelayState {
            target,
            mode: AtomicU8::new(RelayMode::Pass as u8),
            epoch: AtomicU64::new(0),
            delay_ms: AtomicU64::new(0),
            closed: AtomicBool::new(false),
        });
        let state = shared.clone();
        thread::Builder::new()
            .name("relay".into())
            .spawn(move || accept_connections(&listener, &state))?;
        Ok(Self { address, shared })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Sets the delay before each chunk that was read is forwarded.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Stops the relay and closes its connections.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

impl RelayState {
    fn has_mode(&self, mode: RelayMode) -> bool {
        self.mode.load(Ordering::SeqCst) == mode as u8
    }

    /// Returns `true` if data of a connection opened in `epoch` is withheld.
    fn withholds(&self, direction: Direction, epoch: u64) -> bool {
        let is_older = epoch < self.epoch.load(Ordering::SeqCst);
        self.has_mode(RelayMode::Silent)
            || (self.has_mode(RelayMode::DropAnswers) && direction == Direction::Response)
            || (self.has_mode(RelayMode::ForgetOpen) && is_older)
    }
}

fn accept_connections(listener: &TcpListener, state: &Arc<RelayState>) {
    for stream in listener.incoming() {
        if state.closed.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if state.has_mode(RelayMode::Cut) {
            continue;
        }
        let state = state.clone();
        let _ = thread::Builder::new()
            .name("relay".into())
            .spawn(move || relay_connection(stream, &state));
    }
}

fn relay_connection(caller: TcpStream, state: &Arc<RelayState>) {
    let epoch = state.epoch.load(Ordering::SeqCst);
    let Ok(target) = TcpStream::connect(state.target) else { return };
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (Ok(caller_end), Ok(target_end)) = (caller.try_clone(), target.try_clone()) else { return };
    let shared = state.clone();
    let response_thread = thread::Builder::new()
        .name("relay".into())
        .spawn(move || forward(target_end, caller_end, &shared, Direction::Response, epoch));
    forward(caller, target, state, Direction::Request, epoch);
    if let Ok(response_thread) = response_thread {
        let _ = response_thread.join();
    }
}

fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &RelayState,
    direction: Direction,
    epoch: u64,
) {
    let _ = from.set_read_timeout(Some(TcpRelay::POLL_INTERVAL));
    let mut buffer = [0; 16_384];
    while !state.closed.load(Ordering::SeqCst) && !state.has_mode(RelayMode::Cut) {
        if state.withholds(direction, epoch) {
            thread::sleep(TcpRelay::POLL_INTERVAL);
            continue;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                thread::sleep(Duration::from_millis(state.delay_ms.load(Ordering::SeqCst)));
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

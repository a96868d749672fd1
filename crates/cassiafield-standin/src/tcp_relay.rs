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

/// What a relay does with bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RelayMode {
    /// Passes them on.
    Pass = 0,
    /// Closes connections and accepts no others.
    Cut = 1,
    /// Keeps connections open and passes nothing on.
    Silent = 2,
    /// Passes requests on and keeps answers back.
    DropAnswers = 3,
    /// Keeps open connections silent while new ones work.
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

/// A TCP path to one address that can be cut, silenced and delayed.
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

/// Which way bytes go.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Direction {
    Request,
    Answer,
}

impl TcpRelay {
    const READ_STEP: Duration = Duration::from_millis(20);

    /// Starts a relay on `address` to `target`.
    ///
    /// # Errors
    ///
    /// Returns why the address could not be bound.
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
        thread::Builder::new().name("relay".into()).spawn(move || accept(&listener, &state))?;
        Ok(Self { address, shared })
    }

    /// Returns the address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to bytes.
    pub fn set_mode(&self, mode: RelayMode) {
        self.shared.epoch.fetch_add(1, Ordering::SeqCst);
        self.shared.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Delays every read by this time.
    pub fn set_delay(&self, delay: Duration) {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.shared.delay_ms.store(millis, Ordering::SeqCst);
    }

    /// Stops the relay.
    pub fn close(self) {
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
    }
}

impl RelayState {
    fn is(&self, mode: RelayMode) -> bool {
        self.mode.load(Ordering::SeqCst) == mode as u8
    }

    /// Says whether bytes of a connection opened in `epoch` are kept back.
    fn keeps(&self, direction: Direction, epoch: u64) -> bool {
        let older = epoch < self.epoch.load(Ordering::SeqCst);
        self.is(RelayMode::Silent)
            || (self.is(RelayMode::DropAnswers) && direction == Direction::Answer)
            || (self.is(RelayMode::ForgetOpen) && older)
    }
}

fn accept(listener: &TcpListener, state: &Arc<RelayState>) {
    for stream in listener.incoming() {
        if state.closed.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = stream else { continue };
        if state.is(RelayMode::Cut) {
            continue;
        }
        let state = state.clone();
        let _ = thread::Builder::new().name("relay".into()).spawn(move || connect(stream, &state));
    }
}

fn connect(caller: TcpStream, state: &Arc<RelayState>) {
    let epoch = state.epoch.load(Ordering::SeqCst);
    let Ok(target) = TcpStream::connect(state.target) else { return };
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let (Ok(caller_end), Ok(target_end)) = (caller.try_clone(), target.try_clone()) else { return };
    let other = state.clone();
    let back = thread::Builder::new()
        .name("relay".into())
        .spawn(move || copy(target_end, caller_end, &other, Direction::Answer, epoch));
    copy(caller, target, state, Direction::Request, epoch);
    if let Ok(back) = back {
        let _ = back.join();
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    state: &RelayState,
    direction: Direction,
    epoch: u64,
) {
    let _ = from.set_read_timeout(Some(TcpRelay::READ_STEP));
    let mut buffer = [0; 16_384];
    while !state.closed.load(Ordering::SeqCst) && !state.is(RelayMode::Cut) {
        if state.keeps(direction, epoch) {
            thread::sleep(TcpRelay::READ_STEP);
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

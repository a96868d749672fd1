use {
    crate::{connection::listener_probe::ListenerProbe, process::LogEvent},
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
    tiny_http::{Header, Request, Response, Server},
};

/// Handles the requests of a listener, each on its own thread.
pub trait RequestHandler: Send + Sync {
    /// Responds to one request.
    fn handle(&self, request: Request);
}

impl<F: Fn(Request) + Send + Sync> RequestHandler for F {
    fn handle(&self, request: Request) {
        self(request);
    }
}

/// Concurrency limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of requests in flight; further ones are refused with status 503.
    pub max_requests: usize,
}

/// An HTTP server that recovers from accept errors.
///
/// The accept loop of the HTTP library stops permanently at the first accept error, and without
/// reporting an error if it panics because no file descriptors are left. The listener keeps a clone
/// of the socket and starts a new server on it, while the old one keeps serving its open
/// connections. It detects the first case by the library's error and the second by probing itself.
pub struct HttpListener {
    shared: Arc<ListenerState>,
}

struct ListenerState {
    socket: TcpListener,
    handler: Arc<dyn RequestHandler>,
    limits: ListenerLimits,
    in_flight: AtomicUsize,
    refusing: AtomicBool,
    closing: AtomicBool,
    servers: Mutex<Vec<Arc<Server>>>,
}

impl HttpListener {
    const REQUEST_STACK_BYTES: usize = 512 << 10;
    /// Delay before a server is restarted, and between failed restarts.
    const RESTART_DELAY: Duration = Duration::from_millis(100);
    /// How long a server that no longer accepts is kept for the requests of its open connections.
    const STOPPED_SERVER_RETENTION: Duration = Duration::from_secs(600);
    const PROBE_INTERVAL: Duration = Duration::from_secs(2);
    /// Interval at which the watchdog checks whether the listener is closing.
    const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
    const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
    const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
    /// Maximum time for which sent data may stay unacknowledged before the connection is closed.
    const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

    /// Starts serving `socket`.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or of spawning a thread.
    pub fn open(
        socket: TcpListener,
        limits: ListenerLimits,
        handler: Arc<dyn RequestHandler>,
    ) -> io::Result<Self> {
        let keepalive = TcpKeepalive::new()
            .with_time(Self::KEEPALIVE_IDLE)
            .with_interval(Self::KEEPALIVE_INTERVAL)
            .with_retries(3);
        let options = SockRef::from(&socket);
        options.set_tcp_keepalive(&keepalive)?;
        options.set_tcp_user_timeout(Some(Self::TCP_USER_TIMEOUT))?;
        let shared = Arc::new(ListenerState {
            socket,
            handler,
            limits,
            in_flight: AtomicUsize::new(0),
            refusing: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            servers: Mutex::new(Vec::new()),
        });
        start_server(&shared)?;
        start_watchdog(&shared)?;
        Ok(Self { shared })
    }

    /// Returns the address that the listener is bound to.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.shared.socket.local_addr()
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight_requests(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Waits up to `timeout` until no request is in flight, then refuses new requests with status
    /// 503 until the listener is closed.
    ///
    /// Returns the number of requests that are still in flight.
    #[must_use]
    pub fn drain(&self, timeout: Duration) -> usize {
        let deadline = Instant::now() + timeout;
        self.await_requests(deadline);
        self.shared.refusing.store(true, Ordering::SeqCst);
        // A request may have begun between the last check and the store.
        self.await_requests(deadline);
        self.in_flight_requests()
    }

    fn await_requests(&self, deadline: Instant) {
        while self.in_flight_requests() > 0 && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Waits up to `timeout` until no request is in flight, then stops accepting.
    ///
    /// Returns the number of requests that are still in flight.
    #[must_use]
    pub fn close(self, timeout: Duration) -> usize {
        self.await_requests(Instant::now() + timeout);
        self.shared.closing.store(true, Ordering::SeqCst);
        for server in lock(&self.shared.servers).iter() {
            server.unblock();
        }
        self.in_flight_requests()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn start_server(shared: &Arc<ListenerState>) -> io::Result<()> {
    let socket = shared.socket.try_clone()?;
    let server = Server::from_listener(socket, None).map_err(io::Error::other)?;
    let server = Arc::new(server);
    lock(&shared.servers).push(server.clone());
    let shared = shared.clone();
    thread::Builder::new().name("listener".into()).spawn(move || serve(&shared, &server))?;
    Ok(())
}

/// Probes the listener periodically and starts a new server if the probe gets no response.
fn start_watchdog(shared: &Arc<ListenerState>) -> io::Result<()> {
    let address = shared.socket.local_addr()?;
    let shared = shared.clone();
    thread::Builder::new().name("watchdog".into()).spawn(move || {
        while sleep_unless_closing(&shared, HttpListener::PROBE_INTERVAL) {
            if ListenerProbe::send(address) == ListenerProbe::NoResponse {
                LogEvent::AcceptFailed.log("the listener did not respond to its own probe");
                restart_server(&shared);
            }
        }
    })?;
    Ok(())
}

/// Sleeps until `duration` has passed or the listener is closing; returns `true` if it is not
/// closing.
fn sleep_unless_closing(shared: &ListenerState, duration: Duration) -> bool {
    let end = Instant::now() + duration;
    while Instant::now() < end && !shared.closing.load(Ordering::SeqCst) {
        thread::sleep(HttpListener::CLOSING_CHECK_INTERVAL);
    }
    !shared.closing.load(Ordering::SeqCst)
}

/// Receives requests from one server and starts another one when its accept loop has stopped.
fn serve(shared: &Arc<ListenerState>, server: &Arc<Server>) {
    let mut stopped_at: Option<Instant> = None;
    while !shared.closing.load(Ordering::SeqCst) {
        match server.recv_timeout(Duration::from_secs(5)) {
            Ok(Some(request)) => spawn_request(shared, request),
            Ok(None) => {
                if stopped_at
                    .is_some_and(|at| at.elapsed() > HttpListener::STOPPED_SERVER_RETENTION)
                {
                    break;
                }
            }
            Err(_) if shared.closing.load(Ordering::SeqCst) => break,
            Err(error) => {
                LogEvent::AcceptFailed.log(&error);
                stopped_at = Some(Instant::now());
                restart_server(shared);
            }
        }
    }
    lock(&shared.servers).retain(|other| !Arc::ptr_eq(other, server));
}

fn restart_server(shared: &Arc<ListenerState>) {
    loop {
        thread::sleep(HttpListener::RESTART_DELAY);
        match start_server(shared) {
            Ok(()) => return,
            Err(error) => LogEvent::AcceptFailed.log(&error),
        }
    }
}

fn spawn_request(shared: &Arc<ListenerState>, request: Request) {
    if shared.in_flight.fetch_add(1, Ordering::SeqCst) >= shared.limits.max_requests {
        shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        refuse_overloaded(request);
        return;
    }
    let state = shared.clone();
    let thread = thread::Builder::new()
        .name("request".into())
        .stack_size(HttpListener::REQUEST_STACK_BYTES)
        .spawn(move || {
            let _in_flight = InFlightGuard(&state.in_flight);
            if state.refusing.load(Ordering::SeqCst) {
                return refuse_stopping(request);
            }
            state.handler.handle(request);
        });
    if let Err(error) = thread {
        shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        LogEvent::ThreadFailed.log(&error);
    }
}

/// Decrements the count of requests in flight on drop, so that a panicking handler is counted too.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn refuse_overloaded(request: Request) {
    refuse(
        request,
        r#"{"title":"overloaded","status":503,"cause":"overloaded","verdict":"not-run"}"#,
    );
}

fn refuse_stopping(request: Request) {
    refuse(
        request,
        r#"{"title":"not-ready","status":503,"cause":"not-ready","verdict":"not-run"}"#,
    );
}

fn refuse(request: Request, document: &str) {
    let mut response = Response::from_string(document).with_status_code(503);
    let headers = [
        ("Content-Type", "application/problem+json"),
        ("Cassiafield-Verdict", "not-run"),
        ("Retry-After", "1"),
    ];
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

use {
    crate::request::ResponseBody,
    cassiafield::process::LogEvent,
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        cell::Cell,
        convert::Infallible,
        future::Future,
        io,
        net::SocketAddrV4,
        pin::{pin, Pin},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Answers requests of callers.
pub trait CallerService {
    /// Answers one request; dropping the future means that the caller has left.
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<ResponseBody>>>>;

    /// Returns how long a connection may stay idle.
    fn idle_timeout(&self) -> Duration;

    /// Returns the longest request head, in bytes.
    fn max_head_bytes(&self) -> usize;

    /// Says whether callers are better served by other hosts, so that idle connections are closed.
    fn should_close_connections(&self) -> bool;
}

/// Accepts connections of callers.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
}

/// What a connection is doing.
#[derive(Debug, Default)]
struct ConnectionState {
    running: Cell<u32>,
    served: Cell<u64>,
}

impl CallerListener {
    /// Connections that may wait to be accepted.
    const BACKLOG: i32 = 1_024;
    /// How often a connection's idle time is looked at.
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
    /// Further time on top of the stated idle time, so that a request that crosses the close is
    /// still taken.
    const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
    /// Longest time for a connection to end after it was told to.
    const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
    /// Pause after a failed accept.
    const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
    /// Smallest read buffer that the HTTP library takes, in bytes.
    const MIN_BUFFER_BYTES: usize = 8 * 1_024;

    /// Listens on `address`, with at most `max_open` connections at a time.
    ///
    /// # Errors
    ///
    /// Returns why the address cannot be listened on.
    pub fn bind(address: SocketAddrV4, max_connections: usize) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&std::net::SocketAddr::V4(address).into())?;
        socket.listen(Self::BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self { listener, open_connections: Rc::new(Cell::new(0)), max_connections })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// Returns the system's error.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections and serves them, until it is dropped.
    pub async fn serve<S: CallerService + 'static>(self, service: Rc<S>) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if self.open_connections.get() < self.max_connections => {
                    self.open_connections.set(self.open_connections.get() + 1);
                    let open_connections = Rc::clone(&self.open_connections);
                    let service = Rc::clone(&service);
                    spawn_local(async move {
                        serve_connection(stream, service).await;
                        open_connections.set(open_connections.get() - 1);
                    });
                }
                Ok(_) => LogEvent::AcceptFailed.log("too many open connections"),
                Err(error) => {
                    LogEvent::AcceptFailed.log(error);
                    sleep(Self::ACCEPT_BACKOFF).await;
                }
            }
        }
    }
}

async fn serve_connection<S: CallerService + 'static>(stream: TcpStream, service: Rc<S>) {
    if let Err(error) = stream.set_nodelay(true) {
        LogEvent::AcceptFailed.log(error);
        return;
    }
    let state = Rc::new(ConnectionState::default());
    let handler = {
        let (state, service) = (Rc::clone(&state), Rc::clone(&service));
        service_fn(move |request| {
            let (state, service) = (Rc::clone(&state), Rc::clone(&service));
            state.running.set(state.running.get() + 1);
            state.served.set(state.served.get() + 1);
            let guard = ResponseGuard(state);
            async move {
                let response = service.respond(request).await;
                Ok::<_, Infallible>(response.map(|body| body.with_guard(guard)))
            }
        })
    };
    let connection = Builder::new()
        .max_buf_size(service.max_head_bytes().max(CallerListener::MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = pin!(connection);
    tokio::select! {
        // An error here is the caller's: it left, or sent what is no request.
        _ = connection.as_mut() => return,
        () = wait_until_idle(&state, &*service) => {}
    }
    connection.as_mut().graceful_shutdown();
    drop(timeout(CallerListener::CLOSE_TIMEOUT, connection).await);
}

/// Counts a request as running until its answer has been sent or dropped.
#[derive(Debug)]
pub struct ResponseGuard(Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get().saturating_sub(1));
    }
}

/// Returns when a connection has been idle for too long, or is idle and its caller should go to
/// another host.
async fn wait_until_idle<S: CallerService>(state: &ConnectionState, service: &S) {
    let mut seen = (0, 0);
    let mut idle = Duration::ZERO;
    loop {
        sleep(CallerListener::IDLE_CHECK_INTERVAL).await;
        let found = (state.running.get(), state.served.get());
        let is_idle = found.0 == 0 && found == seen;
        seen = found;
        idle = if is_idle { idle + CallerListener::IDLE_CHECK_INTERVAL } else { Duration::ZERO };
        let limit = service.idle_timeout() + CallerListener::IDLE_MARGIN;
        if idle >= limit || (is_idle && service.should_close_connections()) {
            return;
        }
    }
}

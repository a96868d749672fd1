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

/// Serves the requests of callers.
pub trait CallerService {
    /// Handles one request; the future is dropped when the caller disconnects.
    fn respond(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Response<ResponseBody>>>>;

    /// Returns the idle timeout of connections.
    fn idle_timeout(&self) -> Duration;

    /// Returns the maximum size of a request header, in bytes.
    fn max_header_bytes(&self) -> usize;

    /// Returns `true` if idle connections should be closed so that callers reconnect to other
    /// hosts.
    fn should_close_connections(&self) -> bool;
}

/// Accepts connections from callers.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    open_connections: Rc<Cell<usize>>,
    max_connections: usize,
}

/// Activity of one connection.
#[derive(Debug, Default)]
struct ConnectionState {
    in_flight: Cell<u32>,
    served: Cell<u64>,
}

impl CallerListener {
    /// Length of the listen backlog.
    const BACKLOG: i32 = 1_024;
    /// Interval at which a connection is checked for idleness.
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
    /// Time added to the advertised idle timeout.
    ///
    /// A request that is sent just before the advertised timeout is then still accepted.
    const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
    /// Maximum duration of a connection's graceful shutdown.
    const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
    /// Delay after a failed accept.
    const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
    /// Minimum read buffer that hyper accepts, in bytes.
    const MIN_BUFFER_BYTES: usize = 8 * 1_024;

    /// Listens on `address` and accepts up to `max_connections` connections at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(address: SocketAddrV4, max_connections: usize) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&std::net::SocketAddr::V4(address).into())?;
        socket.listen(Self::BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self { listener, open_connections: Rc::new(Cell::new(0)), max_connections })
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts and serves connections until the future is dropped.
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
            state.in_flight.set(state.in_flight.get() + 1);
            state.served.set(state.served.get() + 1);
            let guard = ResponseGuard(state);
            async move {
                let response = service.respond(request).await;
                Ok::<_, Infallible>(response.map(|body| body.with_guard(guard)))
            }
        })
    };
    let connection = Builder::new()
        .max_buf_size(service.max_header_bytes().max(CallerListener::MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = pin!(connection);
    tokio::select! {
        // Errors here are the caller's: it disconnected or sent an invalid request.
        _ = connection.as_mut() => return,
        () = wait_until_idle(&state, &*service) => {}
    }
    connection.as_mut().graceful_shutdown();
    drop(timeout(CallerListener::CLOSE_TIMEOUT, connection).await);
}

/// Counts a request as in flight until its response has been sent or dropped.
#[derive(Debug)]
pub struct ResponseGuard(Rc<ConnectionState>);

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}

/// Waits until a connection should be closed.
///
/// That is the case when it exceeds its idle timeout, or is idle while callers should use other
/// hosts.
async fn wait_until_idle<S: CallerService>(state: &ConnectionState, service: &S) {
    let mut seen = (0, 0);
    let mut idle = Duration::ZERO;
    loop {
        sleep(CallerListener::IDLE_CHECK_INTERVAL).await;
        let found = (state.in_flight.get(), state.served.get());
        let is_idle = found.0 == 0 && found == seen;
        seen = found;
        idle = if is_idle { idle + CallerListener::IDLE_CHECK_INTERVAL } else { Duration::ZERO };
        let idle_timeout = service.idle_timeout() + CallerListener::IDLE_MARGIN;
        if idle >= idle_timeout || (is_idle && service.should_close_connections()) {
            return;
        }
    }
}

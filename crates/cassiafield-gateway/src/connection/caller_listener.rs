use {
    crate::{
        connection::{tracked_stream::TrackedStream, CallerConnection, ConnectionRegistry},
        request::ResponseBody,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::process::CloseReason,
    http::{Request, Response},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        future::Future,
        io,
        net::SocketAddrV4,
        pin::{pin, Pin},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
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
        connection: Rc<CallerConnection>,
    ) -> Pin<Box<dyn Future<Output = Response<ResponseBody>>>>;

    /// Returns the idle timeout of connections.
    fn idle_timeout(&self) -> Duration;

    /// Returns the maximum size of a request header, in bytes.
    fn max_header_bytes(&self) -> usize;

    /// Returns why idle connections should be closed so that callers reconnect to other hosts, if
    /// they should.
    fn close_wish(&self) -> Option<CloseReason>;

    /// Records that the host closes a connection.
    fn record_close(&self, connection: &CallerConnection, reason: CloseReason);
}

/// Accepts connections from callers.
#[derive(Debug)]
pub struct CallerListener {
    listener: TcpListener,
    max_connections: usize,
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
        Ok(Self { listener, max_connections })
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
    pub async fn serve<S: CallerService + 'static>(
        self,
        service: Rc<S>,
        registry: Rc<ConnectionRegistry>,
    ) {
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) if registry.len() < self.max_connections => {
                    if let Err(error) = stream.set_nodelay(true) {
                        LogEvent::AcceptFailed.log(error);
                        continue;
                    }
                    let connection = Rc::new(CallerConnection::new(stream));
                    let entry = registry.add(&connection);
                    let service = Rc::clone(&service);
                    spawn_local(async move {
                        serve_connection(connection, service).await;
                        drop(entry);
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

async fn serve_connection<S: CallerService + 'static>(
    connection: Rc<CallerConnection>,
    service: Rc<S>,
) {
    let handler = {
        let (connection, service) = (Rc::clone(&connection), Rc::clone(&service));
        service_fn(move |request| {
            let guard = connection.begin_request();
            let response = Rc::clone(&service).respond(request, Rc::clone(&connection));
            async move { Ok::<_, Infallible>(response.await.map(|body| body.with_guard(guard))) }
        })
    };
    let exchange = Builder::new()
        .max_buf_size(service.max_header_bytes().max(CallerListener::MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(TrackedStream::new(Rc::clone(&connection))), handler);
    let mut exchange = pin!(exchange);
    let reason = tokio::select! {
        result = exchange.as_mut() => {
            let reason =
                if result.is_ok() { CloseReason::LastResponse } else { CloseReason::Failed };
            if !connection.activity().is_input_ended() {
                service.record_close(&connection, reason);
            }
            return;
        }
        reason = wait_until_idle(&connection, &*service) => reason,
    };
    exchange.as_mut().graceful_shutdown();
    drop(timeout(CallerListener::CLOSE_TIMEOUT, exchange).await);
    service.record_close(&connection, reason);
}

/// Waits until a connection should be closed.
///
/// That is the case when it exceeds its idle timeout, or is idle while callers should use other
/// hosts.
async fn wait_until_idle<S: CallerService>(
    connection: &CallerConnection,
    service: &S,
) -> CloseReason {
    let mut seen = (false, 0);
    let mut idle = Duration::ZERO;
    loop {
        sleep(CallerListener::IDLE_CHECK_INTERVAL).await;
        let activity = connection.activity();
        let found = (activity.has_open_request(), activity.request_count());
        let is_idle = !found.0 && found == seen;
        seen = found;
        idle = if is_idle { idle + CallerListener::IDLE_CHECK_INTERVAL } else { Duration::ZERO };
        let idle_timeout = service.idle_timeout() + CallerListener::IDLE_MARGIN;
        if idle >= idle_timeout {
            return CloseReason::IdleTimeout;
        }
        if let Some(reason) = service.close_wish().filter(|_| is_idle) {
            return reason;
        }
    }
}

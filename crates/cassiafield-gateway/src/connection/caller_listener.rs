use {
    crate::{
        connection::{tracked_stream::TrackedStream, CallerConnection, ConnectionRegistry},
        request::ResponseBody,
        resources::ResourceKeeper,
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::Moment,
        process::{ClosePolicy, CloseReason, ConnectionPhase},
        resources::{ConnectionShares, ListenerKind},
    },
    http::{Request, Response},
    hyper::{
        body::{Body as _, Incoming},
        server::conn::http1::Builder,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
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
        connection: Rc<CallerConnection>,
    ) -> Pin<Box<dyn Future<Output = Response<ResponseBody>>>>;

    /// Returns the idle timeout of connections.
    fn idle_timeout(&self) -> Duration;

    /// Returns the maximum time to receive a request header.
    fn header_timeout(&self) -> Duration;

    /// Returns the current time.
    fn now(&self) -> Moment;

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
    kind: ListenerKind,
    resources: Rc<ResourceKeeper>,
}

impl CallerListener {
    /// Length of the listen backlog.
    const BACKLOG: i32 = 1_024;
    /// Interval at which a connection is checked for idleness.
    const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
    /// Time added to the advertised idle timeout and to the header timeout.
    ///
    /// A request that is sent just before its timeout is then still accepted.
    const IDLE_MARGIN: Duration = Duration::from_millis(1_000);
    /// Interval at which a connection is checked once the process is about to exit.
    const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
    /// Delay after a failed accept.
    const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
    /// Minimum read buffer that hyper accepts, in bytes.
    const MIN_BUFFER_BYTES: usize = 8 * 1_024;

    /// Listens on `address`; connections count as those of `kind` in the host's account.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn bind(
        address: SocketAddrV4,
        kind: ListenerKind,
        resources: Rc<ResourceKeeper>,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&std::net::SocketAddr::V4(address).into())?;
        socket.listen(Self::BACKLOG)?;
        let listener = TcpListener::from_std(socket.into())?;
        Ok(Self { listener, kind, resources })
    }

    /// Returns the local address.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn address(&self) -> io::Result<std::net::SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts and serves connections until the exit begins.
    ///
    /// Connections that wait to be accepted at that moment are served too.
    pub async fn serve<S: CallerService + 'static>(
        self,
        service: Rc<S>,
        registry: Rc<ConnectionRegistry>,
    ) {
        let mut exit_begun = pin!(registry.wait_for_exit());
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = exit_begun.as_mut() => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve_stream(stream, &service, &registry),
                Err(error) => {
                    LogEvent::AcceptFailed.log(error);
                    sleep(Self::ACCEPT_BACKOFF).await;
                }
            }
        }
        self.serve_waiting(&service, &registry);
    }

    /// Serves the connections that the kernel holds for the listener.
    fn serve_waiting<S: CallerService + 'static>(
        &self,
        service: &Rc<S>,
        registry: &Rc<ConnectionRegistry>,
    ) {
        loop {
            let accepted = SockRef::from(&self.listener).accept().and_then(|(socket, _)| {
                socket.set_nonblocking(true)?;
                TcpStream::from_std(socket.into())
            });
            match accepted {
                Ok(stream) => self.serve_stream(stream, service, registry),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    LogEvent::AcceptFailed.log(error);
                    return;
                }
            }
        }
    }

    fn serve_stream<S: CallerService + 'static>(
        &self,
        stream: TcpStream,
        service: &Rc<S>,
        registry: &Rc<ConnectionRegistry>,
    ) {
        let (slot, quiet_count) = self.resources.accept(self.kind);
        if quiet_count > 0 {
            registry.trim(quiet_count, service.now());
        }
        let Some(slot) = slot else { return };
        if let Err(error) = stream.set_nodelay(true) {
            LogEvent::AcceptFailed.log(error);
            return;
        }
        let connection = Rc::new(CallerConnection::new(stream));
        let entry = registry.add(&connection);
        let (service, registry) = (Rc::clone(service), Rc::clone(registry));
        spawn_local(async move {
            serve_connection(connection, service, registry).await;
            drop((entry, slot));
        });
    }
}

/// Serves a connection to its end.
///
/// The library's graceful shutdown is not used: it closes a connection on which a part of the next
/// head has been read. The connection is dropped between requests instead.
async fn serve_connection<S: CallerService + 'static>(
    connection: Rc<CallerConnection>,
    service: Rc<S>,
    registry: Rc<ConnectionRegistry>,
) {
    let reason = exchange_requests(&connection, &service, &registry).await;
    let activity = connection.activity();
    if activity.is_input_ended() {
        return;
    }
    service.record_close(&connection, reason);
    // A response that was aborted must not look complete, and the caller has nothing to read.
    let is_aborted =
        matches!(reason, CloseReason::Failed | CloseReason::IdleTimeout | CloseReason::NoRoom);
    if is_aborted && activity.has_open_request() {
        return;
    }
    connection.close(activity.linger_time(service.idle_timeout())).await;
}

/// Serves requests until the connection ends or should be closed; returns the reason.
async fn exchange_requests<S: CallerService + 'static>(
    connection: &Rc<CallerConnection>,
    service: &Rc<S>,
    registry: &ConnectionRegistry,
) -> CloseReason {
    let handler = {
        let (connection, service) = (Rc::clone(connection), Rc::clone(service));
        service_fn(move |request: Request<Incoming>| {
            let guard = connection.begin_request();
            if request.body().is_end_stream() {
                connection.record_body_end();
            }
            let response = Rc::clone(&service).respond(request, Rc::clone(&connection));
            let connection = Rc::clone(&connection);
            async move {
                connection.gate.opened().await;
                Ok::<_, Infallible>(response.await.map(|body| body.with_guard(guard)))
            }
        })
    };
    let mut builder = Builder::new();
    builder.max_buf_size(service.max_header_bytes().max(CallerListener::MIN_BUFFER_BYTES));
    let stream = |unread| TokioIo::new(TrackedStream::new(Rc::clone(connection), unread));
    let mut exchange = builder.serve_connection(stream(Bytes::new()), handler);
    loop {
        tokio::select! {
            result = &mut exchange => {
                return if result.is_ok() { CloseReason::LastResponse } else { CloseReason::Failed };
            }
            () = wait_for_check(registry) => {}
        }
        let unwanted = connection.is_unwanted().then_some(CloseReason::NoRoom);
        let wish = registry.is_exiting().then_some(CloseReason::Exiting).or(unwanted);
        let policy = ClosePolicy {
            idle_timeout: service.idle_timeout() + CallerListener::IDLE_MARGIN,
            header_timeout: service.header_timeout() + CallerListener::IDLE_MARGIN,
            wish: wish.or_else(|| service.close_wish()),
        };
        let reason = connection.check(&policy, service.now());
        if let Some(reason) = stall_reason(connection, &policy, service.now()) {
            return reason;
        }
        match reason {
            Some(CloseReason::HeaderTimeout) if !connection.has_unread_input() => {
                return CloseReason::HeaderTimeout
            }
            Some(CloseReason::HeaderTimeout) => {}
            Some(reason) if connection.activity().has_open_request() => return reason,
            // A request that has just arrived is served first.
            Some(reason) if !connection.has_unread_input() => {
                // The beginning of a head may have been read together with the request before.
                let parts = exchange.into_parts();
                if parts.read_buf.is_empty() {
                    return reason;
                }
                exchange = builder.serve_connection(stream(parts.read_buf), parts.service);
            }
            Some(_) | None => {}
        }
    }
}

/// Returns why a connection is closed although a request is open there, which has not run or whose answer its
/// caller does not read.
fn stall_reason(
    connection: &CallerConnection,
    policy: &ClosePolicy,
    now: Moment,
) -> Option<CloseReason> {
    if connection.is_answer_evicted() {
        return Some(CloseReason::NoRoom);
    }
    let activity = connection.activity();
    let quiet_time = activity.quiet_time(now);
    let is_unread = connection.gate.is_awaited() || connection.has_unread_answer();
    if is_unread && quiet_time >= policy.idle_timeout {
        return Some(CloseReason::IdleTimeout);
    }
    let is_stalled = activity.phase() == ConnectionPhase::ReadingBody
        && quiet_time >= ConnectionShares::MIN_QUIET_TIME;
    (is_stalled && connection.is_unwanted()).then_some(CloseReason::NoRoom)
}

/// Waits until a connection should be checked.
async fn wait_for_check(registry: &ConnectionRegistry) {
    if registry.is_exiting() {
        sleep(CallerListener::EXIT_CHECK_INTERVAL).await;
    } else {
        // Ends early when the exit begins.
        drop(timeout(CallerListener::IDLE_CHECK_INTERVAL, registry.wait_for_exit()).await);
    }
}

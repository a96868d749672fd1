use {
    crate::{
        request::ResponseBody,
        resources::{GatedStream, ResourceKeeper, WriteGate},
    },
    bytes::Bytes,
    cassiafield::process::LogEvent,
    cassiafield_core::resources::ListenerKind,
    http::{Method, Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        collections::VecDeque,
        convert::Infallible,
        io,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::{spawn_local, JoinHandle},
        time::{sleep, timeout},
    },
};

/// A request to a [`MonitoringServer`].
#[derive(Clone, Copy, Debug)]
pub(super) struct MonitoringRequest<'a> {
    pub(super) method: &'a Method,
    pub(super) path: &'a str,
    pub(super) query: Option<&'a str>,
    /// Whether it comes from the host itself.
    pub(super) is_local: bool,
}

/// Returns the status and text for a request.
pub(super) type PathHandler = dyn Fn(MonitoringRequest<'_>) -> (StatusCode, Vec<u8>);

/// Serves short requests from the platform: readiness and metrics.
pub(super) struct MonitoringServer {
    listener: TcpListener,
    kind: ListenerKind,
    resources: Rc<ResourceKeeper>,
}

impl MonitoringServer {
    /// Maximum lifetime of a connection.
    const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
    /// Delay after a failed accept.
    const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

    /// Largest head of a request, in bytes; also the least that the HTTP library takes.
    const MAX_HEAD_BYTES: usize = 8 * 1_024;

    pub(super) async fn bind(
        address: SocketAddrV4,
        kind: ListenerKind,
        resources: Rc<ResourceKeeper>,
    ) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(address).await?, kind, resources })
    }

    pub(super) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers every request by its path; never returns.
    ///
    /// A new connection takes the place of the oldest one if there are too many: requests are answered at once, so
    /// an old one is idle or slow.
    pub(super) async fn serve(self, handler: Rc<PathHandler>) {
        let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    LogEvent::AcceptFailed.log(error);
                    sleep(Self::ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            open.retain(|task| !task.is_finished());
            let (mut slot, _) = self.resources.accept(self.kind);
            while slot.is_none() {
                let Some(oldest) = open.pop_front() else { break };
                oldest.abort();
                // Returns once the connection has been dropped.
                drop(oldest.await);
                (slot, _) = self.resources.accept(self.kind);
            }
            let Some(slot) = slot else { continue };
            let handler = Rc::clone(&handler);
            let own = stream.local_addr();
            let is_local = peer.ip().is_loopback() || own.is_ok_and(|own| own.ip() == peer.ip());
            open.push_back(spawn_local(async move {
                let gate = Rc::new(WriteGate::default());
                let stream = GatedStream::new(stream, Rc::clone(&gate));
                let service = service_fn(move |request: Request<Incoming>| {
                    let (gate, handler) = (Rc::clone(&gate), Rc::clone(&handler));
                    async move {
                        gate.opened().await;
                        let (status, text) = handler(MonitoringRequest {
                            method: request.method(),
                            path: request.uri().path(),
                            query: request.uri().query(),
                            is_local,
                        });
                        let mut response =
                            Response::new(ResponseBody::from_bytes(Bytes::from(text)));
                        *response.status_mut() = status;
                        Ok::<_, Infallible>(response)
                    }
                });
                let mut builder = Builder::new();
                builder.max_buf_size(Self::MAX_HEAD_BYTES);
                let connection = builder.serve_connection(TokioIo::new(stream), service);
                // Errors concern only this connection and are ignored.
                drop(timeout(Self::CONNECTION_TIMEOUT, connection).await);
                drop(slot);
            }));
        }
    }
}

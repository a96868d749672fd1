use {
    crate::request::ResponseBody,
    bytes::Bytes,
    cassiafield::process::LogEvent,
    http::{Method, Request, Response, StatusCode},
    hyper::{body::Incoming, server::conn::http1::Builder, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        io,
        net::{SocketAddr, SocketAddrV4},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::spawn_local,
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
}

impl MonitoringServer {
    /// Maximum lifetime of a connection.
    const CONNECTION_TIMEOUT: Duration = Duration::from_secs(60);
    /// Delay after a failed accept.
    const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

    pub(super) async fn bind(address: SocketAddrV4) -> io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(address).await? })
    }

    pub(super) fn address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Answers every request by its path; never returns.
    pub(super) async fn serve(self, handler: Rc<PathHandler>) {
        loop {
            let (stream, peer) = match self.listener.accept().await {
                Ok(accepted) => accepted,
                Err(error) => {
                    LogEvent::AcceptFailed.log(error);
                    sleep(Self::ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            let handler = Rc::clone(&handler);
            let own = stream.local_addr();
            let is_local = peer.ip().is_loopback() || own.is_ok_and(|own| own.ip() == peer.ip());
            spawn_local(async move {
                let service = service_fn(move |request: Request<Incoming>| {
                    let (status, text) = handler(MonitoringRequest {
                        method: request.method(),
                        path: request.uri().path(),
                        query: request.uri().query(),
                        is_local,
                    });
                    let mut response = Response::new(ResponseBody::from_bytes(Bytes::from(text)));
                    *response.status_mut() = status;
                    std::future::ready(Ok::<_, Infallible>(response))
                });
                let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
                // Errors concern only this connection and are ignored.
                drop(timeout(Self::CONNECTION_TIMEOUT, connection).await);
            });
        }
    }
}

use {
    crate::connection::{ConnectionError, ConnectionNeed, ConnectionPool, PooledConnection},
    bytes::Bytes,
    cassiafield_core::ids::Moment,
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Incoming,
    std::{future::Future, net::SocketAddrV4, pin::Pin, time::Duration},
};

/// A request that is handed to another host.
#[derive(Debug)]
pub struct CarriedRequest {
    /// The request, with the caller's credentials.
    pub request: Request<Full<Bytes>>,
    /// The address of the host.
    pub address: SocketAddrV4,
    /// Whether it must not run more than once; it then goes over a new connection.
    pub at_most_once: bool,
    /// Time until the response head must have arrived.
    pub response_timeout: Duration,
}

/// The answer of another host, and its connection.
pub type CarriedResponse = (Response<Incoming>, PooledConnection);

/// Hands requests to other hosts.
pub trait CarrierConnector {
    /// Sends a request to another host and returns the response head.
    ///
    /// # Errors
    ///
    /// Returns why there is no response; [`ConnectionError::verdict`] says whether the request may have
    /// run.
    fn send<'a>(
        &'a self,
        pool: &'a ConnectionPool,
        request: CarriedRequest,
        now: Moment,
    ) -> Pin<Box<dyn Future<Output = Result<CarriedResponse, ConnectionError>> + 'a>>;
}

/// Hands requests over by HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpCarrierConnector;

impl HttpCarrierConnector {
    /// Timeout of opening a connection to a host.
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
}

impl CarrierConnector for HttpCarrierConnector {
    fn send<'a>(
        &'a self,
        pool: &'a ConnectionPool,
        request: CarriedRequest,
        now: Moment,
    ) -> Pin<Box<dyn Future<Output = Result<CarriedResponse, ConnectionError>> + 'a>> {
        Box::pin(async move {
            let CarriedRequest { request, address, at_most_once, response_timeout } = request;
            let connect_timeout = Self::CONNECT_TIMEOUT.min(response_timeout);
            let mut connection = if at_most_once {
                pool.open(address, connect_timeout).await?
            } else {
                pool.checkout(address, ConnectionNeed::default(), now, connect_timeout).await?
            };
            let response = connection.http.send(request, response_timeout).await?;
            Ok((response, connection))
        })
    }
}

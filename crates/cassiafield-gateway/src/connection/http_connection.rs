use {
    bytes::Bytes,
    cassiafield_core::request::RequestVerdict,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{fmt, io, net::SocketAddrV4, ops::RangeInclusive, time::Duration},
    tokio::{net::TcpSocket, task::AbortHandle, time::timeout},
};

/// Why a request got no response.
#[derive(Debug)]
pub enum ConnectionError {
    /// The connection could not be opened.
    Connect(io::Error),
    /// The connection was closed before any byte of the request was written.
    Unsent,
    /// The connection broke, or the response is not valid HTTP.
    Broken(hyper::Error),
    /// The response has a status that no final response in HTTP has.
    InvalidStatus(StatusCode),
    /// No response arrived within the time limit.
    TimedOut,
}

impl ConnectionError {
    /// Returns whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> RequestVerdict {
        match self {
            ConnectionError::Connect(_) | ConnectionError::Unsent => RequestVerdict::NotRun,
            ConnectionError::Broken(_)
            | ConnectionError::InvalidStatus(_)
            | ConnectionError::TimedOut => RequestVerdict::MayHaveRun,
        }
    }
}

impl ConnectionError {
    /// Returns the label in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            ConnectionError::Connect(_) => "connect",
            ConnectionError::Unsent => "unsent",
            ConnectionError::Broken(_) => "broken",
            ConnectionError::InvalidStatus(_) => "invalid-status",
            ConnectionError::TimedOut => "no-answer",
        }
    }
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Connect(error) => write!(f, "cannot connect: {error}"),
            ConnectionError::Unsent => f.write_str("connection closed before the request was sent"),
            ConnectionError::Broken(error) => write!(f, "connection broken: {error}"),
            ConnectionError::InvalidStatus(status) => {
                write!(f, "invalid status {}", status.as_u16())
            }
            ConnectionError::TimedOut => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for ConnectionError {}

/// An HTTP/1.1 connection to an endpoint or the store that carries one request at a time.
///
/// Dropping it closes the connection, which cancels a request in flight.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl HttpConnection {
    /// Maximum size of a response head, in bytes.
    const MAX_HEAD_BYTES: usize = 64 * 1_024;
    /// Statuses of final responses (RFC 9110, section 15); no request asks for a switch of protocols.
    const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
    /// Time after which unacknowledged data closes the connection (`TCP_USER_TIMEOUT`).
    const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

    /// Connects to `address` within `connect_timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Connect`] if the connection cannot be opened in time.
    pub async fn connect(
        address: SocketAddrV4,
        connect_timeout: Duration,
    ) -> Result<Self, ConnectionError> {
        let timed_out = || ConnectionError::Connect(io::ErrorKind::TimedOut.into());
        let opening = async {
            let socket = TcpSocket::new_v4().map_err(ConnectionError::Connect)?;
            let stream = socket.connect(address.into()).await.map_err(ConnectionError::Connect)?;
            stream.set_nodelay(true).map_err(ConnectionError::Connect)?;
            let options = socket2::SockRef::from(&stream);
            options
                .set_tcp_user_timeout(Some(Self::TCP_USER_TIMEOUT))
                .map_err(ConnectionError::Connect)?;
            Ok(stream)
        };
        let stream = timeout(connect_timeout, opening).await.map_err(|_| timed_out())??;
        let (sender, connection) = Builder::new()
            .max_buf_size(Self::MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ConnectionError::Connect(io::Error::other(error)))?;
        // When the connection breaks, the request's own future reports the same error as the
        // driver.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Sends a request and returns the response head if it arrives within `response_timeout`.
    ///
    /// # Errors
    ///
    /// Returns why there is no response.
    ///
    /// [`ConnectionError::verdict`] says whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        response_timeout: Duration,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let response = async {
            self.sender.ready().await.map_err(|_| ConnectionError::Unsent)?;
            self.sender.try_send_request(request).await.map_err(|mut error| {
                match error.take_message() {
                    Some(_) => ConnectionError::Unsent,
                    None => ConnectionError::Broken(error.into_error()),
                }
            })
        };
        let response =
            timeout(response_timeout, response).await.map_err(|_| ConnectionError::TimedOut)??;
        let status = response.status();
        if Self::FINAL_STATUSES.contains(&status.as_u16()) {
            Ok(response)
        } else {
            Err(ConnectionError::InvalidStatus(status))
        }
    }

    /// Returns `true` if the connection can take another request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits up to `ready_timeout` until the connection can take another request.
    ///
    /// Returns `true` if it can.
    pub async fn wait_ready(&mut self, ready_timeout: Duration) -> bool {
        matches!(timeout(ready_timeout, self.sender.ready()).await, Ok(Ok(())))
    }
}

impl AsMut<HttpConnection> for HttpConnection {
    fn as_mut(&mut self) -> &mut HttpConnection {
        self
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

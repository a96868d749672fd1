use {
    bytes::Bytes,
    cassiafield_core::request::RequestVerdict,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{
        body::Incoming,
        client::conn::http1::{Builder, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{fmt, io, net::SocketAddrV4, time::Duration},
    tokio::{net::TcpSocket, task::AbortHandle, time::timeout},
};

/// Why a request on a channel has no answer.
#[derive(Debug)]
pub enum ChannelFault {
    /// No connection could be made.
    Connect(io::Error),
    /// The connection was closed before any byte of the request was written.
    Unsent,
    /// The connection broke, or what came is not an answer.
    Broken(hyper::Error),
    /// Nothing came in time.
    Silent,
}

impl ChannelFault {
    /// Says whether the request may have run.
    #[must_use]
    pub const fn verdict(&self) -> RequestVerdict {
        match self {
            ChannelFault::Connect(_) | ChannelFault::Unsent => RequestVerdict::NotRun,
            ChannelFault::Broken(_) | ChannelFault::Silent => RequestVerdict::MayHaveRun,
        }
    }
}

impl fmt::Display for ChannelFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChannelFault::Connect(error) => write!(f, "no connection: {error}"),
            ChannelFault::Unsent => f.write_str("closed before the request was sent"),
            ChannelFault::Broken(error) => write!(f, "broken: {error}"),
            ChannelFault::Silent => f.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for ChannelFault {}

/// One HTTP/1.1 connection to an endpoint or the store, for one request at a time.
///
/// Dropping it closes the connection, which cancels a request that is running on it.
#[derive(Debug)]
pub struct HttpChannel {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl HttpChannel {
    /// Time after which unacknowledged bytes end a connection.
    const USER_TIMEOUT: Duration = Duration::from_secs(5);

    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`ChannelFault::Connect`].
    pub async fn connect(address: SocketAddrV4, limit: Duration) -> Result<Self, ChannelFault> {
        let late = || ChannelFault::Connect(io::ErrorKind::TimedOut.into());
        let opening = async {
            let socket = TcpSocket::new_v4().map_err(ChannelFault::Connect)?;
            let stream = socket.connect(address.into()).await.map_err(ChannelFault::Connect)?;
            stream.set_nodelay(true).map_err(ChannelFault::Connect)?;
            let options = socket2::SockRef::from(&stream);
            options
                .set_tcp_user_timeout(Some(Self::USER_TIMEOUT))
                .map_err(ChannelFault::Connect)?;
            Ok(stream)
        };
        let stream = timeout(limit, opening).await.map_err(|_| late())??;
        let (sender, connection) = Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| ChannelFault::Connect(io::Error::other(error)))?;
        // The driver ends with an error when the connection breaks; the request's own future
        // reports the same error.
        let driver = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok(Self { sender, driver: driver.abort_handle() })
    }

    /// Sends a request and returns the head of its answer within `limit`.
    ///
    /// # Errors
    ///
    /// Returns why there is none, and with it whether the request may have run.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Response<Incoming>, ChannelFault> {
        let answer = async {
            self.sender.ready().await.map_err(|_| ChannelFault::Unsent)?;
            self.sender.try_send_request(request).await.map_err(|mut error| {
                match error.take_message() {
                    Some(_) => ChannelFault::Unsent,
                    None => ChannelFault::Broken(error.into_error()),
                }
            })
        };
        timeout(limit, answer).await.map_err(|_| ChannelFault::Silent)?
    }

    /// Says whether the connection can take another request now.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Waits until the connection can take another request, for at most `limit`.
    pub async fn settle(&mut self, limit: Duration) -> bool {
        matches!(timeout(limit, self.sender.ready()).await, Ok(Ok(())))
    }
}

impl Drop for HttpChannel {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

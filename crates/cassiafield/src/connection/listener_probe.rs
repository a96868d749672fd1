use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The result of a host's probe of its own listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ListenerProbe {
    /// The listener sent a response.
    Answered,
    /// The kernel queued the connection but no response was received.
    NoResponse,
    /// The probe could not connect, for example because no file descriptors are left.
    NotConnected,
}

impl ListenerProbe {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
    const REQUEST: &'static [u8] =
        b"GET /healthz HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n";

    /// Probes the listener at `address`.
    pub(super) fn send(address: SocketAddr) -> Self {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Self::CONNECT_TIMEOUT) else {
            return ListenerProbe::NotConnected;
        };
        let sent = stream
            .set_read_timeout(Some(Self::RESPONSE_TIMEOUT))
            .and_then(|()| stream.write_all(Self::REQUEST));
        if sent.is_err() {
            return ListenerProbe::NoResponse;
        }
        match stream.read(&mut [0; 16]) {
            Ok(count) if count > 0 => ListenerProbe::Answered,
            _ => ListenerProbe::NoResponse,
        }
    }
}

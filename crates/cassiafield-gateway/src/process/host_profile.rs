use {
    cassiafield_core::ids::{HostId, ZoneId},
    std::{net::SocketAddrV4, time::Duration},
};

/// What a host knows of itself and its platform at its start.
#[derive(Clone, Debug)]
pub struct HostProfile {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub caller_address: SocketAddrV4,
    /// Where the balancer asks whether the host is ready.
    pub ready_address: SocketAddrV4,
    /// Where peers send their load, over UDP.
    pub peer_address: SocketAddrV4,
    /// Where metrics are served.
    pub metrics_address: SocketAddrV4,
    /// The platform's store.
    pub store_address: SocketAddrV4,
    /// Time after which a key that was taken away must not be served any more.
    pub revocation_limit: Duration,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace: Duration,
    /// Whether the whole system starts for the first time, so that no process ran before this one.
    pub is_first_start: bool,
    /// Retries allowed for each request, over all hosts.
    pub retry_ratio: f64,
    /// Further retries allowed in a window, over all hosts.
    pub retry_slack: f64,
    /// The window in which retries are counted.
    pub retry_window: Duration,
    /// Open descriptors that the process may have.
    pub max_descriptors: usize,
}

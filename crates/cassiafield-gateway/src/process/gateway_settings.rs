use {
    cassiafield_core::{
        ids::{HostId, ZoneId},
        process::SyncIntervals,
        resources::ResourceSettings,
    },
    std::{net::SocketAddrV4, num::NonZeroU32, time::Duration},
};

/// Identity, addresses and limits of a host, fixed at startup.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address that callers connect to.
    pub caller_address: SocketAddrV4,
    /// Address at which the load balancer checks readiness.
    pub ready_address: SocketAddrV4,
    /// UDP address that receives messages of peers.
    pub peer_address: SocketAddrV4,
    /// TCP address at which other hosts hand over requests; with port 0 any port.
    pub carry_address: SocketAddrV4,
    /// Address that serves metrics.
    pub metrics_address: SocketAddrV4,
    /// Address of the platform's store.
    pub store_address: SocketAddrV4,
    /// Reads per second that the store accepts from all hosts, if known.
    pub store_reads: Option<NonZeroU32>,
    /// Time within which a change of the configuration or of an endpoint must be in force.
    pub change_limit: Duration,
    /// Time after which a revoked key must not be accepted any more.
    pub revocation_limit: Duration,
    /// Time from the stop signal until the process is killed.
    pub stop_grace: Duration,
    /// Whether this is the first start of the whole deployment, so that no earlier process ran.
    pub is_first_start: bool,
    /// Retries allowed per request, over all hosts.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, over all hosts.
    pub retry_slack: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// What the host may hold for callers.
    pub resources: ResourceSettings,
}

impl GatewaySettings {
    /// Returns the intervals at which the host reads the store and queries other hosts.
    #[must_use]
    pub const fn sync_intervals(&self) -> SyncIntervals {
        SyncIntervals::new(self.change_limit, self.revocation_limit)
            .with_store_reads(self.store_reads)
    }
}

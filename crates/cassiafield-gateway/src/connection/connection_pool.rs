use {
    crate::connection::{ConnectionError, HttpConnection},
    cassiafield_core::ids::Moment,
    http::{header, HeaderMap},
    std::{cell::RefCell, collections::HashMap, net::SocketAddrV4, time::Duration},
};

/// A channel and how long it may stay idle.
#[derive(Debug)]
pub struct PooledConnection {
    /// The channel.
    pub http: HttpConnection,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    address: SocketAddrV4,
    idle_timeout: Duration,
}

#[derive(Debug)]
struct IdleConnection {
    http: HttpConnection,
    since: Moment,
    idle_timeout: Duration,
}

/// Idle channels by endpoint address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Idle time assumed when an endpoint does not state one.
    const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
    /// Part of the stated idle time that is used, in percent; the rest covers transfer times and
    /// the rounding to whole seconds.
    const IDLE_TIMEOUT_PERCENT: u32 = 60;
    /// Part of the stated idle time after which a channel carries no request that must run at most
    /// once, in percent.
    const ONCE_IDLE_TIMEOUT_PERCENT: u32 = 40;
    /// Idle channels kept for an endpoint at most.
    const MAX_IDLE_PER_ENDPOINT: usize = 16;
    /// Part of the connections that an endpoint takes from all hosts that may be idle, as a divisor.
    const IDLE_SHARE_DIVISOR: usize = 2;

    /// Returns an idle channel, or a new one.
    ///
    /// # Errors
    ///
    /// Returns why no channel could be made.
    pub async fn checkout(
        &self,
        address: SocketAddrV4,
        runs_once: bool,
        now: Moment,
        limit: Duration,
    ) -> Result<PooledConnection, ConnectionError> {
        if let Some(connection) = self.checkout_idle(address, runs_once, now) {
            return Ok(connection);
        }
        self.open(address, limit).await
    }

    /// Returns a new channel.
    ///
    /// # Errors
    ///
    /// Returns why no channel could be made.
    pub async fn open(
        &self,
        address: SocketAddrV4,
        limit: Duration,
    ) -> Result<PooledConnection, ConnectionError> {
        let http = HttpConnection::connect(address, limit).await?;
        Ok(PooledConnection {
            http,
            is_reused: false,
            address,
            idle_timeout: Self::DEFAULT_IDLE_TIMEOUT,
        })
    }

    fn checkout_idle(
        &self,
        address: SocketAddrV4,
        runs_once: bool,
        now: Moment,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections
            .retain(|idle| idle.http.is_ready() && now.since(idle.since) < idle.idle_timeout);
        let newest = connections.last()?;
        let limit =
            newest.idle_timeout * Self::ONCE_IDLE_TIMEOUT_PERCENT / Self::IDLE_TIMEOUT_PERCENT;
        if runs_once && now.since(newest.since) >= limit {
            return None;
        }
        let newest = connections.pop()?;
        Some(PooledConnection {
            http: newest.http,
            is_reused: true,
            address,
            idle_timeout: newest.idle_timeout,
        })
    }

    /// Returns how many idle channels one of `hosts` hosts may keep to an endpoint that takes
    /// `max_connections` from all of them.
    #[must_use]
    pub fn max_idle_connections(max_connections: u32, hosts: usize) -> usize {
        let all = usize::try_from(max_connections).unwrap_or(usize::MAX);
        (all / Self::IDLE_SHARE_DIVISOR / hosts.max(1)).clamp(1, Self::MAX_IDLE_PER_ENDPOINT)
    }

    /// Drops idle channels that are closed or have been idle too long.
    pub fn evict_expired(&self, now: Moment) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections
                .retain(|idle| idle.http.is_ready() && now.since(idle.since) < idle.idle_timeout);
            !connections.is_empty()
        });
    }

    /// Drops the idle channels to an address.
    pub fn remove(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }
}

impl PooledConnection {
    /// Notes what an answer's head says of the channel; returns whether it may be kept.
    pub fn apply_response_head(&mut self, headers: &HeaderMap) -> bool {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return false;
        }
        let stated = text(header::HeaderName::from_static("keep-alive")).and_then(idle_seconds);
        if let Some(stated) = stated {
            self.idle_timeout = stated * ConnectionPool::IDLE_TIMEOUT_PERCENT / 100;
        }
        true
    }

    /// Gives the channel back once its answer has been read to the end, unless `most` are idle.
    pub fn return_to(self, pool: &ConnectionPool, max_idle: usize, now: Moment) {
        let mut idle = pool.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < max_idle {
            let Self { http, idle_timeout, .. } = self;
            connections.push(IdleConnection { http, since: now, idle_timeout });
        }
    }
}

fn idle_seconds(value: &str) -> Option<Duration> {
    let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    stated.trim().parse().ok().map(Duration::from_secs)
}

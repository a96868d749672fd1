use {
    crate::connection::{ConnectionError, HttpConnection},
    cassiafield_core::{
        connections::{ConnectionCounts, IdleOutcome},
        ids::Moment,
    },
    http::{header, HeaderMap},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        hash::{DefaultHasher, Hash as _, Hasher as _},
        net::SocketAddrV4,
        time::Duration,
    },
};

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionNeed<'a> {
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
    /// The id of the request; empty if it has none.
    pub request_id: &'a str,
}

/// A connection with its idle timeout.
#[derive(Debug)]
pub struct PooledConnection {
    /// The HTTP connection.
    pub http: HttpConnection,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    address: SocketAddrV4,
    idle_timeout: Duration,
    refused: RefusedRequests,
}

#[derive(Debug)]
struct IdleConnection {
    http: HttpConnection,
    since: Moment,
    idle_timeout: Duration,
    refused: RefusedRequests,
}

/// Hashes of the ids of requests that were refused on a connection.
///
/// An endpoint may repeat a refusal, which would pass for the answer to another request with the same id.
#[derive(Clone, Debug, Default)]
struct RefusedRequests(Vec<u64>);

impl RefusedRequests {
    /// Number of refusals after which a connection is not kept.
    const MAX: usize = 64;

    fn record(&mut self, request_id: &str) {
        self.0.push(hash_of(request_id));
    }

    fn contains(&self, request_id: &str) -> bool {
        self.0.contains(&hash_of(request_id))
    }

    fn is_full(&self) -> bool {
        self.0.len() >= Self::MAX
    }
}

fn hash_of(request_id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    request_id.hash(&mut hasher);
    hasher.finish()
}

/// Idle connections, by endpoint address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleConnection>>>,
    counts: Cell<ConnectionCounts>,
}

impl ConnectionPool {
    /// Idle timeout of endpoints that do not advertise one.
    const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
    /// Longest advertised idle timeout that counts.
    const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
    /// Part of the advertised idle timeout after which a connection is dropped, in percent.
    ///
    /// The rest allows for network latency and for rounding to whole seconds.
    const IDLE_TIMEOUT_PERCENT: u32 = 60;
    /// Part of the advertised idle timeout after which a connection carries no request that must run
    /// at most once, in percent.
    const AT_MOST_ONCE_IDLE_TIMEOUT_PERCENT: u32 = 40;
    /// Maximum number of idle connections to one endpoint.
    const MAX_IDLE_PER_ENDPOINT: usize = 16;
    /// Divides an endpoint's connection limit into the number of idle connections that all hosts
    /// together may keep to it.
    const IDLE_SHARE_DIVISOR: usize = 2;

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be opened.
    pub async fn checkout(
        &self,
        address: SocketAddrV4,
        need: ConnectionNeed<'_>,
        now: Moment,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, ConnectionError> {
        if let Some(connection) = self.checkout_idle(address, need, now) {
            return Ok(connection);
        }
        self.open(address, connect_timeout).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection could be opened.
    pub async fn open(
        &self,
        address: SocketAddrV4,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, ConnectionError> {
        let http = HttpConnection::connect(address, connect_timeout).await?;
        Ok(PooledConnection {
            http,
            is_reused: false,
            address,
            idle_timeout: Self::DEFAULT_IDLE_TIMEOUT,
            refused: RefusedRequests::default(),
        })
    }

    fn checkout_idle(
        &self,
        address: SocketAddrV4,
        need: ConnectionNeed<'_>,
        now: Moment,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        self.drop_unusable(connections, now);
        let may_carry = |idle: &IdleConnection| !idle.refused.contains(need.request_id);
        let index = connections.iter().rposition(may_carry)?;
        let newest = connections.get(index)?;
        let idle_timeout = newest.idle_timeout * Self::AT_MOST_ONCE_IDLE_TIMEOUT_PERCENT
            / Self::IDLE_TIMEOUT_PERCENT;
        if need.at_most_once && now.since(newest.since) >= idle_timeout {
            return None;
        }
        let IdleConnection { http, idle_timeout, refused, .. } = connections.remove(index);
        Some(PooledConnection { http, is_reused: true, address, idle_timeout, refused })
    }

    /// Returns how many idle connections a host may keep to one endpoint.
    ///
    /// The endpoint accepts `max_connections` from all of the `hosts` hosts.
    #[must_use]
    pub fn max_idle_connections(max_connections: u32, hosts: usize) -> usize {
        let all = usize::try_from(max_connections).unwrap_or(usize::MAX);
        (all / Self::IDLE_SHARE_DIVISOR / hosts.max(1)).clamp(1, Self::MAX_IDLE_PER_ENDPOINT)
    }

    /// Drops connections that are closed or have exceeded their idle timeout.
    pub fn evict_expired(&self, now: Moment) {
        self.idle.borrow_mut().retain(|_, connections| {
            self.drop_unusable(connections, now);
            !connections.is_empty()
        });
    }

    fn drop_unusable(&self, connections: &mut Vec<IdleConnection>, now: Moment) {
        connections.retain(|idle| {
            let outcome = if !idle.http.is_ready() {
                IdleOutcome::Closed
            } else if now.since(idle.since) >= idle.idle_timeout {
                IdleOutcome::Expired
            } else {
                return true;
            };
            self.update_counts(|counts| counts.record_idle_end(outcome));
            false
        });
    }

    /// Changes the counts of connections.
    pub fn update_counts(&self, change: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Returns the counts of connections since the last call.
    pub fn take_counts(&self) -> ConnectionCounts {
        self.counts.take()
    }

    /// Drops all idle connections to an address.
    pub fn remove(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }
}

impl AsMut<HttpConnection> for PooledConnection {
    fn as_mut(&mut self) -> &mut HttpConnection {
        &mut self.http
    }
}

impl PooledConnection {
    /// Updates the idle timeout from a response head.
    ///
    /// Returns `true` if the connection may be reused.
    pub fn apply_response_head(&mut self, headers: &HeaderMap) -> bool {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return false;
        }
        let advertised = text(header::HeaderName::from_static("keep-alive")).and_then(idle_seconds);
        if let Some(advertised) = advertised {
            let advertised = advertised.min(ConnectionPool::MAX_IDLE_TIMEOUT);
            self.idle_timeout = advertised * ConnectionPool::IDLE_TIMEOUT_PERCENT / 100;
        }
        true
    }

    /// Records that a request was refused on the connection.
    pub fn record_refusal(&mut self, request_id: &str) {
        self.refused.record(request_id);
    }

    /// Returns the connection to the pool, unless `max_idle` connections are idle already or many requests
    /// were refused on it.
    ///
    /// The response must have been read to its end.
    pub fn return_to(self, pool: &ConnectionPool, max_idle: usize, now: Moment) {
        if self.refused.is_full() {
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < max_idle {
            let Self { http, idle_timeout, refused, .. } = self;
            connections.push(IdleConnection { http, since: now, idle_timeout, refused });
        } else {
            pool.update_counts(|counts| counts.record_idle_end(IdleOutcome::Evicted));
        }
    }
}

fn idle_seconds(value: &str) -> Option<Duration> {
    let advertised = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    advertised.trim().parse().ok().map(Duration::from_secs)
}

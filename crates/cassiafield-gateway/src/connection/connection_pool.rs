use {
    crate::connection::{ConnectionError, HttpConnection},
    cassiafield_core::{
        connections::{ConnectionCounts, IdleAllowance, IdleOutcome},
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
    /// The endpoint's idle timeout, if it advertises one.
    advertised: Option<Duration>,
    refused: RefusedRequests,
    /// Whether the endpoint closes it after the last response.
    is_closing: bool,
}

#[derive(Debug)]
struct IdleConnection {
    http: HttpConnection,
    since: Moment,
    advertised: Option<Duration>,
    idle_time: Duration,
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
    /// Time after which a connection without an advertised idle timeout carries no request that must run at
    /// most once.
    const DEFAULT_AT_MOST_ONCE_TIME: Duration = Duration::from_millis(1_000);

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
            advertised: None,
            refused: RefusedRequests::default(),
            is_closing: false,
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
        let at_most_once_time = newest
            .advertised
            .map_or(Self::DEFAULT_AT_MOST_ONCE_TIME, IdleAllowance::at_most_once_time);
        if need.at_most_once && now.since(newest.since) >= at_most_once_time {
            return None;
        }
        let IdleConnection { http, advertised, refused, .. } = connections.remove(index);
        Some(PooledConnection {
            http,
            is_reused: true,
            address,
            advertised,
            refused,
            is_closing: false,
        })
    }

    /// Returns an idle connection, if there is one.
    pub fn checkout_idle_now(
        &self,
        address: SocketAddrV4,
        now: Moment,
    ) -> Option<PooledConnection> {
        self.checkout_idle(address, ConnectionNeed::default(), now)
    }

    /// Returns `true` if there is an idle connection to an address.
    #[must_use]
    pub fn has_idle(&self, address: SocketAddrV4, now: Moment) -> bool {
        let is_usable =
            |idle: &IdleConnection| idle.http.is_ready() && now.since(idle.since) < idle.idle_time;
        let idle = self.idle.borrow();
        idle.get(&address).is_some_and(|connections| connections.iter().any(is_usable))
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
            } else if now.since(idle.since) >= idle.idle_time {
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
            self.advertised = Some(advertised.min(ConnectionPool::MAX_IDLE_TIMEOUT));
        }
        true
    }

    /// Updates the idle timeout from the head of a report; a connection that is to be closed is not kept.
    pub fn record_report_head(&mut self, headers: &HeaderMap) {
        self.is_closing = !self.apply_response_head(headers);
    }

    /// Records that a request was refused on the connection.
    pub fn record_refusal(&mut self, request_id: &str) {
        self.refused.record(request_id);
    }

    /// Returns the connection to the pool, unless many requests were refused on it.
    ///
    /// If as many as allowed are idle already, it is dropped, or takes the place of the oldest one where
    /// connections are scarce.
    ///
    /// The response must have been read to its end.
    pub fn return_to(self, pool: &ConnectionPool, allowance: IdleAllowance, now: Moment) {
        if self.refused.is_full() || self.is_closing {
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let connections = idle.entry(self.address).or_default();
        let is_full = connections.len() >= allowance.max_idle;
        if is_full {
            pool.update_counts(|counts| counts.record_idle_end(IdleOutcome::Evicted));
        }
        if is_full && !allowance.is_scarce {
            return;
        }
        if is_full {
            connections.remove(0);
        }
        let Self { http, advertised, refused, .. } = self;
        let idle_time = advertised
            .map_or(ConnectionPool::DEFAULT_IDLE_TIMEOUT, |longest| allowance.idle_time(longest));
        connections.push(IdleConnection { http, since: now, advertised, idle_time, refused });
    }
}

fn idle_seconds(value: &str) -> Option<Duration> {
    let advertised = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    advertised.trim().parse().ok().map(Duration::from_secs)
}

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
    pub channel: HttpConnection,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    address: SocketAddrV4,
    idle_limit: Duration,
}

#[derive(Debug)]
struct IdleChannel {
    channel: HttpConnection,
    since: Moment,
    idle_limit: Duration,
}

/// Idle channels by endpoint address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddrV4, Vec<IdleChannel>>>,
}

impl ConnectionPool {
    /// Idle time assumed when an endpoint does not state one.
    const UNSTATED_IDLE: Duration = Duration::from_millis(1_500);
    /// Part of the stated idle time that is used, in percent; the rest covers transfer times and
    /// the rounding to whole seconds.
    const IDLE_PERCENT: u32 = 60;
    /// Part of the stated idle time after which a channel carries no request that must run at most
    /// once, in percent.
    const ONCE_PERCENT: u32 = 40;
    /// Idle channels kept for an endpoint at most.
    const MAX_IDLE: usize = 16;
    /// Part of the connections that an endpoint takes from all hosts that may be idle, as a divisor.
    const IDLE_DIVISOR: usize = 2;

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
        if let Some(channel) = self.take_idle(address, runs_once, now) {
            return Ok(channel);
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
        let channel = HttpConnection::connect(address, limit).await?;
        Ok(PooledConnection { channel, is_reused: false, address, idle_limit: Self::UNSTATED_IDLE })
    }

    fn take_idle(
        &self,
        address: SocketAddrV4,
        runs_once: bool,
        now: Moment,
    ) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        let channels = idle.get_mut(&address)?;
        channels.retain(|idle| idle.channel.is_ready() && now.since(idle.since) < idle.idle_limit);
        let newest = channels.last()?;
        let limit = newest.idle_limit * Self::ONCE_PERCENT / Self::IDLE_PERCENT;
        if runs_once && now.since(newest.since) >= limit {
            return None;
        }
        let newest = channels.pop()?;
        Some(PooledConnection {
            channel: newest.channel,
            is_reused: true,
            address,
            idle_limit: newest.idle_limit,
        })
    }

    /// Returns how many idle channels one of `hosts` hosts may keep to an endpoint that takes
    /// `max_connections` from all of them.
    #[must_use]
    pub fn idle_share(max_connections: u32, hosts: usize) -> usize {
        let all = usize::try_from(max_connections).unwrap_or(usize::MAX);
        (all / Self::IDLE_DIVISOR / hosts.max(1)).clamp(1, Self::MAX_IDLE)
    }

    /// Drops idle channels that are closed or have been idle too long.
    pub fn sweep(&self, now: Moment) {
        self.idle.borrow_mut().retain(|_, channels| {
            channels
                .retain(|idle| idle.channel.is_ready() && now.since(idle.since) < idle.idle_limit);
            !channels.is_empty()
        });
    }

    /// Drops the idle channels to an address.
    pub fn forget(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().remove(&address);
    }
}

impl PooledConnection {
    /// Notes what an answer's head says of the channel; returns whether it may be kept.
    pub fn note_head(&mut self, headers: &HeaderMap) -> bool {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        if text(header::CONNECTION).is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return false;
        }
        let stated = text(header::HeaderName::from_static("keep-alive")).and_then(idle_seconds);
        if let Some(stated) = stated {
            self.idle_limit = stated * ConnectionPool::IDLE_PERCENT / 100;
        }
        true
    }

    /// Gives the channel back once its answer has been read to the end, unless `most` are idle.
    pub fn close(self, pool: &ConnectionPool, most: usize, now: Moment) {
        let mut idle = pool.idle.borrow_mut();
        let channels = idle.entry(self.address).or_default();
        if channels.len() < most {
            let Self { channel, idle_limit, .. } = self;
            channels.push(IdleChannel { channel, since: now, idle_limit });
        }
    }
}

fn idle_seconds(value: &str) -> Option<Duration> {
    let stated = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    stated.trim().parse().ok().map(Duration::from_secs)
}

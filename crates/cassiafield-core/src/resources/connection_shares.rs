use {
    crate::resources::{ListenerKind, ResourceLimits},
    std::time::Duration,
};

/// Whether a new connection is taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptVerdict {
    /// There is room.
    Accept,
    /// There is room now; some of the connections that have been quiet for longest are to be closed.
    AcceptAndTrim(usize),
    /// There is no room; some of the connections that have been quiet for longest are to be closed, and the new
    /// one too.
    Refuse(usize),
}

/// The connections that callers hold, by listener.
///
/// ```
/// use cassiafield_core::resources::{
///     AcceptVerdict, ByteCount, ConnectionShares, ListenerKind, ResourceLimits, ResourceSettings,
/// };
///
/// let limits = ResourceLimits::new(ResourceSettings::new(ByteCount::from_mib(160), 4_100));
/// let mut shares = ConnectionShares::new(limits);
/// assert_eq!(shares.open(ListenerKind::Callers), AcceptVerdict::Accept);
/// shares.close(ListenerKind::Callers);
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionShares {
    limits: ResourceLimits,
    open: [usize; ListenerKind::ALL.len()],
}

impl ConnectionShares {
    /// Part of a listener's connections that are closed at a time, so that a crowd does not cost a search for each
    /// of its connections.
    const TRIM_DIVISOR: usize = 16;
    /// Percentage of a listener's connections at which quiet ones begin to be closed.
    const TRIM_PERCENT: usize = 90;
    /// Time for which a connection must have been quiet to be closed for others.
    pub const MIN_QUIET_TIME: Duration = Duration::from_millis(1_500);

    /// Creates the shares of a host without connections.
    #[must_use]
    pub const fn new(limits: ResourceLimits) -> Self {
        Self { limits, open: [0; ListenerKind::ALL.len()] }
    }

    /// Decides whether a new connection is taken, and counts it if so.
    pub fn open(&mut self, listener: ListenerKind) -> AcceptVerdict {
        let (open, max) = (self.count(listener), self.limits.connections(listener));
        let all = self.count(ListenerKind::Callers) + self.count(ListenerKind::Hosts);
        let is_request = matches!(listener, ListenerKind::Callers | ListenerKind::Hosts);
        let is_full = open >= max || is_request && all >= self.limits.request_connections();
        let trim = max.div_ceil(Self::TRIM_DIVISOR);
        if is_full {
            return AcceptVerdict::Refuse(trim);
        }
        self.open[listener as usize] += 1;
        let threshold = max * Self::TRIM_PERCENT / 100;
        // Once for each part, not for each connection.
        if open >= threshold && (open - threshold) % trim == 0 {
            return AcceptVerdict::AcceptAndTrim(trim);
        }
        AcceptVerdict::Accept
    }

    /// Records that a connection has ended.
    pub fn close(&mut self, listener: ListenerKind) {
        let open = &mut self.open[listener as usize];
        *open = open.saturating_sub(1);
    }

    /// Returns the number of open connections.
    #[must_use]
    pub const fn count(&self, listener: ListenerKind) -> usize {
        self.open[listener as usize]
    }
}

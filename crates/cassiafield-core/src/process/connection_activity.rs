use {
    crate::ids::Moment,
    std::{fmt, time::Duration},
};

/// Where a caller's connection is in the exchange of a request and its response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// No byte of the next request has been read, and all responses have been written.
    #[default]
    BetweenRequests,
    /// A part of a request's head has been read.
    ReadingHead,
    /// The head has been read, the body has not.
    ReadingBody,
    /// The request has been read; its response is being produced and written.
    Responding,
    /// The response has been produced; a part of it has not been written to the socket.
    Flushing,
}

/// Why the host closes a caller's connection.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum CloseReason {
    /// No request arrived within the idle timeout, or nothing of a response was taken.
    IdleTimeout,
    /// A head did not arrive completely in time.
    HeaderTimeout,
    /// The host is stopping, and callers should use other hosts.
    Stopping,
    /// The host is not ready, and callers should use other hosts.
    NotReady,
    /// The process is about to exit.
    Exiting,
    /// The platform's stop limit was reached.
    StopLimit,
    /// Other callers need the connection's room, and nothing has passed on it for some time.
    NoRoom,
    /// The last response was announced as the last one on the connection.
    LastResponse,
    /// The connection broke, the caller's bytes are invalid, or the response was aborted.
    Failed,
}

/// What applies to a connection when it is checked.
#[derive(Clone, Copy, Debug)]
pub struct ClosePolicy {
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
    /// Maximum time to receive a head.
    pub header_timeout: Duration,
    /// Why idle connections should be closed, if they should.
    pub wish: Option<CloseReason>,
}

/// Activity of a caller's connection, which decides when the host may close it.
///
/// A connection is closed only between requests: from the first byte of a head to the last written
/// byte of the response, the host does not close it. Only a head that stays incomplete and a caller
/// that takes nothing of its response for the idle timeout are exceptions.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionActivity {
    phase: ConnectionPhase,
    /// Bytes read after the current request was complete.
    next_bytes: u64,
    request_bytes: u64,
    response_bytes: u64,
    largest_response_bytes: u64,
    request_count: u64,
    is_input_ended: bool,
    /// Whether the current request was answered before its body was complete.
    is_body_open: bool,
    /// Incremented by everything that counts as activity.
    change_count: u64,
    /// The change count at the latest check, and when a check first found it.
    checked: Option<(u64, Moment)>,
    /// When a check first found the current head incomplete.
    head_seen_at: Option<Moment>,
}

impl ConnectionActivity {
    /// Time that an exiting host gives a new connection for its first request, which may be on its
    /// way.
    pub const FIRST_REQUEST_TIME: Duration = Duration::from_millis(200);
    /// Time that a caller gets to close its side of a connection that carried small responses.
    pub const MIN_LINGER_TIME: Duration = Duration::from_secs(2);
    /// Size up to which a response fits the receive buffer of any caller.
    const SMALL_RESPONSE_BYTES: u64 = 2 * 1_024;

    /// Records that `count` bytes were read; 0 at the end of the input.
    pub fn record_read(&mut self, count: usize) {
        if count == 0 {
            self.is_input_ended = true;
            return;
        }
        self.change_count += 1;
        let count = count as u64;
        // The HTTP library reads once more for the rest of such a body, or closes the connection.
        if std::mem::take(&mut self.is_body_open) {
            return;
        }
        match self.phase {
            ConnectionPhase::BetweenRequests => self.begin_head(count),
            ConnectionPhase::ReadingHead | ConnectionPhase::ReadingBody => {
                self.request_bytes += count;
            }
            ConnectionPhase::Responding | ConnectionPhase::Flushing => self.next_bytes += count,
        }
    }

    /// Records that a head is complete and its request is being handled.
    pub fn record_request(&mut self) {
        self.change_count += 1;
        self.request_count += 1;
        // A head that arrived together with the previous request was counted with that one.
        if self.phase != ConnectionPhase::ReadingHead {
            self.begin_head(self.next_bytes);
        }
        self.phase = ConnectionPhase::ReadingBody;
        self.is_body_open = false;
        self.head_seen_at = None;
    }

    /// Records that the body of the current request is complete.
    pub fn record_body_end(&mut self) {
        if self.phase == ConnectionPhase::ReadingBody {
            self.phase = ConnectionPhase::Responding;
        }
    }

    /// Records that the response was produced completely, or dropped.
    pub fn record_response_end(&mut self) {
        self.change_count += 1;
        self.is_body_open = self.phase == ConnectionPhase::ReadingBody;
        self.phase = ConnectionPhase::Flushing;
    }

    /// Records that the socket took `count` bytes of a response.
    pub fn record_write(&mut self, count: usize) {
        self.change_count += 1;
        self.response_bytes += count as u64;
        self.largest_response_bytes = self.largest_response_bytes.max(self.response_bytes);
    }

    /// Records that no bytes wait to be written.
    pub fn record_flush(&mut self) {
        if self.phase != ConnectionPhase::Flushing {
            return;
        }
        self.phase = ConnectionPhase::BetweenRequests;
        if self.next_bytes > 0 {
            self.begin_head(self.next_bytes);
        }
    }

    /// Returns the phase.
    #[must_use]
    pub const fn phase(&self) -> ConnectionPhase {
        self.phase
    }

    /// Returns `true` if no byte of a request has been read that has not been answered.
    #[must_use]
    pub fn is_between_requests(&self) -> bool {
        self.phase == ConnectionPhase::BetweenRequests
    }

    /// Returns `true` if a request whose head is complete has not been answered completely.
    #[must_use]
    pub const fn has_open_request(&self) -> bool {
        matches!(
            self.phase,
            ConnectionPhase::ReadingBody | ConnectionPhase::Responding | ConnectionPhase::Flushing
        )
    }

    /// Returns `true` if the caller has ended its side of the connection.
    #[must_use]
    pub const fn is_input_ended(&self) -> bool {
        self.is_input_ended
    }

    /// Returns the number of requests whose head is complete.
    #[must_use]
    pub const fn request_count(&self) -> u64 {
        self.request_count
    }

    /// Returns the number of bytes read of the current request.
    #[must_use]
    pub const fn request_bytes(&self) -> u64 {
        self.request_bytes
    }

    /// Returns the number of bytes written of the current response.
    #[must_use]
    pub const fn response_bytes(&self) -> u64 {
        self.response_bytes
    }

    /// Returns the time for which nothing has passed, as of the latest check.
    #[must_use]
    pub fn quiet_time(&self, now: Moment) -> Duration {
        match self.checked {
            Some((count, since)) if count == self.change_count => now.since(since),
            Some(_) | None => Duration::ZERO,
        }
    }

    /// Returns how long the host should wait for the caller to close its side, after the host has
    /// closed its own.
    ///
    /// The socket may have taken all of a large response that the caller has not read yet.
    #[must_use]
    pub fn linger_time(&self, idle_timeout: Duration) -> Duration {
        if self.largest_response_bytes > Self::SMALL_RESPONSE_BYTES {
            idle_timeout.max(Self::MIN_LINGER_TIME)
        } else {
            Self::MIN_LINGER_TIME
        }
    }

    /// Returns why the connection should be closed now, if it should.
    ///
    /// The host calls this at intervals; it counts a connection as quiet from the first check that
    /// finds no change.
    pub fn check(&mut self, policy: &ClosePolicy, now: Moment) -> Option<CloseReason> {
        let quiet_since = match self.checked {
            Some((count, since)) if count == self.change_count => since,
            _ => {
                self.checked = Some((self.change_count, now));
                now
            }
        };
        let quiet_time = now.since(quiet_since);
        match self.phase {
            ConnectionPhase::BetweenRequests => {
                let is_used = self.request_count > 0;
                let wish = policy.wish.filter(|&wish| match wish {
                    CloseReason::Exiting => is_used || quiet_time >= Self::FIRST_REQUEST_TIME,
                    CloseReason::NoRoom => !quiet_time.is_zero(),
                    // The first request of a new connection is likely to be on its way.
                    _ => is_used && !quiet_time.is_zero(),
                });
                wish.or((quiet_time >= policy.idle_timeout).then_some(CloseReason::IdleTimeout))
            }
            ConnectionPhase::ReadingHead => {
                let seen_at = *self.head_seen_at.get_or_insert(now);
                let is_late = now.since(seen_at) >= policy.header_timeout;
                is_late.then_some(CloseReason::HeaderTimeout)
            }
            ConnectionPhase::ReadingBody | ConnectionPhase::Responding => None,
            ConnectionPhase::Flushing => {
                (quiet_time >= policy.idle_timeout).then_some(CloseReason::IdleTimeout)
            }
        }
    }

    fn begin_head(&mut self, bytes: u64) {
        self.phase = ConnectionPhase::ReadingHead;
        self.request_bytes = bytes;
        self.response_bytes = 0;
        self.next_bytes = 0;
        self.head_seen_at = None;
    }
}

impl fmt::Display for ConnectionPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectionPhase::BetweenRequests => "between requests",
            ConnectionPhase::ReadingHead => "reading the head",
            ConnectionPhase::ReadingBody => "reading the body",
            ConnectionPhase::Responding => "responding",
            ConnectionPhase::Flushing => "writing the rest of the response",
        })
    }
}

impl CloseReason {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            CloseReason::IdleTimeout => "idle",
            CloseReason::HeaderTimeout => "header-timeout",
            CloseReason::Stopping => "stopping",
            CloseReason::NotReady => "not-ready",
            CloseReason::Exiting => "exiting",
            CloseReason::StopLimit => "stop-limit",
            CloseReason::NoRoom => "no-room",
            CloseReason::LastResponse => "last-response",
            CloseReason::Failed => "failed",
        }
    }
}

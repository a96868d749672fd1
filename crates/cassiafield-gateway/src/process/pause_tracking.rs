//! Keeps the pauses that endpoints ask this host for.

use {
    crate::process::{GatewayState, SendTurn, SenderKind},
    cassiafield::process::LogEvent,
    cassiafield_core::{ids::EndpointId, process::EndpointLife, request::RetryAfter},
    http::{header, HeaderMap, HeaderValue, StatusCode},
    std::time::SystemTime,
};

impl GatewayState {
    /// Records the pause that a response head asks for, if any.
    ///
    /// Of several values the longest counts.
    pub fn record_pause(&self, life: &EndpointLife, status: StatusCode, headers: &HeaderMap) {
        if status != StatusCode::SERVICE_UNAVAILABLE {
            return;
        }
        let read = |value: &HeaderValue| {
            let text = value.to_str().unwrap_or_default();
            text.parse::<RetryAfter>().unwrap_or_else(|error| {
                LogEvent::EndpointPaused.log(format_args!(
                    "endpoint {}: {error}: {value:?}; {} kept instead",
                    life.endpoint,
                    RetryAfter::UNREADABLE
                ));
                RetryAfter::UNREADABLE
            })
        };
        let Some(asked) = headers.get_all(header::RETRY_AFTER).iter().map(read).max() else {
            return;
        };
        let now = self.now();
        let spread = fastrand::f64();
        let mut directory = self.directory.borrow_mut();
        let ends_at = directory.record_pause(life, asked, spread, now);
        if let Some(latest) = self.codec.latest_incarnation(SystemTime::now()) {
            directory.extend_pause(&life.endpoint, latest);
        }
        drop(directory);
        self.metrics.count_endpoint_pause();
        LogEvent::EndpointPaused.log(format_args!(
            "endpoint {} asked for {asked}; paused for {} ms",
            life.endpoint,
            ends_at.since(now).as_millis()
        ));
    }

    /// Returns `true` if a request may be sent to an endpoint now: it is not leaving, has not asked for a
    /// pause, and takes any rate of requests or the request has a turn.
    ///
    /// Every send of a request asks this right before its first byte: waiting for a connection takes
    /// time in which the endpoint may have asked.
    pub fn begin_request(
        &self,
        endpoint: &EndpointId,
        sender: SenderKind,
        turn: &SendTurn,
    ) -> bool {
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        let is_limited = directory.request_rate(endpoint, now).is_some();
        let may_send = directory.accepts_work(endpoint)
            && directory.blocked_until(endpoint, now).is_none()
            && turn.covers(endpoint, is_limited);
        if !may_send {
            self.metrics.count_send_held_back(sender);
            return false;
        }
        turn.mark_used();
        directory.record_send(endpoint, now);
        if is_limited {
            self.metrics.count_limited_send(sender);
        }
        true
    }

    /// Returns `true` if a probe, a poll or an order may be sent to an endpoint now: it has not asked
    /// for a pause.
    ///
    /// Every such send asks this right before its first byte.
    pub fn begin_send(&self, endpoint: &EndpointId, sender: SenderKind) -> bool {
        let may_send = !self.is_paused(endpoint);
        if !may_send {
            self.metrics.count_send_held_back(sender);
        }
        may_send
    }

    /// Returns `true` if an endpoint has asked this host to send it nothing now.
    #[must_use]
    pub fn is_paused(&self, endpoint: &EndpointId) -> bool {
        self.directory.borrow().blocked_until(endpoint, self.now()).is_some()
    }
}

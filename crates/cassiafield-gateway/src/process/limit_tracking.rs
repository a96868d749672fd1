//! What endpoints and peers say of the rates of requests that endpoints take.

use {
    crate::process::{GatewayState, SenderKind},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::LimitReports,
        request::RequestRate,
    },
    http::{HeaderMap, HeaderValue},
    std::net::SocketAddr,
};

impl GatewayState {
    /// Records the rate of requests that a response head names, or that it names none.
    ///
    /// Of several values the lowest counts.
    pub fn record_limit(
        &self,
        endpoint: &EndpointId,
        sender: SenderKind,
        headers: &HeaderMap,
        sent_at: Moment,
    ) {
        let read = |value: &HeaderValue| {
            let rate = value.to_str().unwrap_or_default().parse::<RequestRate>();
            if let Err(error) = &rate {
                LogEvent::EndpointLimited
                    .log(format_args!("endpoint {endpoint}: {error}: {value:?}; not used"));
            }
            rate.ok()
        };
        let values = headers.get_all(&self.codec.header_names().request_limit);
        let has_value = values.iter().next().is_some();
        let named = values.iter().filter_map(read).min();
        if has_value && named.is_none() {
            return;
        }
        let now = self.now();
        let is_change = self.directory.borrow_mut().record_limit(endpoint, named, sent_at, now);
        if !is_change {
            return;
        }
        self.metrics.count_limit_change();
        let sender = sender.name();
        match named {
            Some(rate) => LogEvent::EndpointLimited.log(format_args!(
                "endpoint {endpoint} takes {rate} from all hosts, named in its answer to a {sender}"
            )),
            None => LogEvent::EndpointLimited.log(format_args!(
                "endpoint {endpoint} names no limit any more in its answer to a {sender}"
            )),
        }
        self.urgent_message.notify_one();
    }

    /// Adds what a peer knows of the limits of endpoints.
    pub(super) fn merge_limits(&self, limits: LimitReports, source: SocketAddr) {
        let now = self.now();
        for (endpoint, report) in limits {
            let is_change = self.directory.borrow_mut().merge_limit(&endpoint, report, now);
            if is_change {
                self.metrics.count_limit_change();
                let state = if report.is_over { "no longer takes only" } else { "takes" };
                LogEvent::EndpointLimited.log(format_args!(
                    "endpoint {endpoint} {state} {} from all hosts, reported by {source}",
                    report.rate
                ));
            }
        }
    }
}

//! Accounts for the connections that this host opens to endpoints.

use {
    crate::process::GatewayState,
    cassiafield::process::LogEvent,
    cassiafield_core::connections::ConnectionPurpose,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

impl GatewayState {
    /// Interval between two log lines about opened connections.
    const CONNECTION_REPORT_INTERVAL: Duration = Duration::from_secs(10);

    /// Records that a connection was taken for a purpose, `is_reused` if an idle one was there.
    pub fn record_connection_use(&self, purpose: ConnectionPurpose, is_reused: bool) {
        self.pool.update_counts(|counts| {
            if is_reused {
                counts.record_reuse(purpose);
            } else {
                counts.record_open(purpose);
            }
        });
        if !is_reused {
            self.metrics.count_opened(purpose);
        }
    }

    /// Logs from time to time what connections were opened for; never returns.
    pub(super) async fn run_connection_reports(self: Rc<Self>) {
        loop {
            sleep(Self::CONNECTION_REPORT_INTERVAL).await;
            self.log_connections();
        }
    }

    /// Logs what connections were opened for since the last report, if any were.
    pub(super) fn log_connections(&self) {
        let counts = self.pool.take_counts();
        if !counts.is_empty() {
            LogEvent::ConnectionsOpened.log(counts);
        }
    }
}

use {
    crate::process::{configuration_sync::apply_peer_list, GatewayState},
    cassiafield::process::LogEvent,
    cassiafield_core::ids::Moment,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// What other hosts said of the age of their data.
#[derive(Debug, Default)]
pub(super) struct FreshnessWatch {
    /// A host with recent data, while this host has none.
    peer: Cell<Option<SocketAddr>>,
    heard: Notify,
    /// When a host of the zone last had recent data.
    fresh_at: Cell<Option<Moment>>,
}

impl FreshnessWatch {
    /// Time for which hosts of the zone count as ready after one said so; two messages may be lost.
    const FRESH_TIME: Duration = Duration::from_millis(500);
}

impl GatewayState {
    /// Records that a host has recent data; it is asked at once if this host has not.
    ///
    /// Its message alone makes nothing recent: it may have been on its way for long. Hosts that do not
    /// lead their zone ask hosts of their zone only.
    pub(super) fn record_fresh_peer(&self, from: SocketAddr, is_own_zone: bool) {
        let watch = &self.freshness;
        if is_own_zone {
            watch.fresh_at.set(Some(self.now()));
        }
        let max_age = self.settings.sync_intervals().max_peer_data_age();
        let is_recent = self.configuration_age().is_some_and(|age| age <= max_age);
        if !is_recent && (is_own_zone || self.is_zone_leader()) {
            watch.peer.set(Some(from));
            watch.heard.notify_one();
        }
    }

    /// Returns `true` if other hosts of the zone are likely to serve the callers that this one cannot.
    pub(crate) fn has_ready_peers(&self) -> bool {
        let fresh_at = self.freshness.fresh_at.get();
        fresh_at.is_some_and(|at| self.now().since(at) < FreshnessWatch::FRESH_TIME)
    }
}

/// Asks hosts with recent data while this host has none, beside the periodic synchronisation, which may
/// be waiting for a store that does not answer.
pub(super) struct FreshnessSync {
    state: Rc<GatewayState>,
}

impl FreshnessSync {
    /// Time between two questions.
    const MIN_PAUSE: Duration = Duration::from_millis(100);

    pub(super) const fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    /// Asks whenever such a host is heard; never returns.
    pub(super) async fn run(self) {
        loop {
            self.state.freshness.heard.notified().await;
            if let Some(peer) = self.state.freshness.peer.take() {
                self.query(peer).await;
            }
            sleep(Self::MIN_PAUSE).await;
        }
    }

    async fn query(&self, peer: SocketAddr) {
        let state = &self.state;
        let age = state.configuration_age();
        let newest_entry = state.endpoint_list.borrow().needed_since(true);
        let Some(data) = state.exchange.query(state, peer, newest_entry).await else { return };
        let Some((revision, age_micros)) = data.reply.configuration else { return };
        if state.has_configuration(data.reply.version, revision) {
            state.confirm_configuration(data.known_at(age_micros));
        } else if state.record_revision(revision, format_args!("reply of {peer}")) {
            state.revision_heard.notify_one();
        }
        apply_peer_list(state, &data);
        LogEvent::FreshnessHeard.log(format_args!(
            "host at {peer} with data of {} ms ago; own data was of {} ms ago",
            age_micros / 1_000,
            age.unwrap_or_default().as_millis()
        ));
    }
}

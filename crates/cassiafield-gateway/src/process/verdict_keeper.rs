use {
    crate::{
        connection::{StoreCall, StoreClient, StoreResponse},
        process::GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{ids::CrashSubject, process::CrashReport},
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Keeps the blocked parts of prompts and requests in the store, for the case that all hosts restart.
///
/// Every host reads them once at its start; the host that reads the store for all zones writes them
/// when they change.
pub(super) struct VerdictKeeper {
    state: Rc<GatewayState>,
    client: StoreClient,
    /// The subjects that the store holds, as far as this host knows.
    stored: Option<BTreeSet<CrashSubject>>,
}

impl VerdictKeeper {
    const KEY: &'static str = "cassiafield/blocked-parts";
    /// Interval between two checks for changes, and between two calls that failed.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);

    pub(super) fn new(state: Rc<GatewayState>) -> Self {
        let client = StoreClient::new(
            Rc::clone(&state.codec),
            state.settings.store_address,
            state.metrics.store_calls(),
            "the blocked parts",
        );
        Self { state, client, stored: None }
    }

    /// Reads the blocked parts and keeps them up to date; never returns.
    pub(super) async fn run(mut self) {
        loop {
            if self.stored.is_none() {
                self.read().await;
            } else {
                self.write_changes().await;
            }
            sleep(Self::CHECK_INTERVAL).await;
        }
    }

    async fn read(&mut self) {
        let call = StoreCall::Get { key: Self::KEY.to_owned() };
        // A call that fails is logged by the client and made again.
        let Ok(StoreResponse::Item(item)) = self.client.call(&call).await else { return };
        let mut stored = BTreeSet::new();
        if let Some(item) = item {
            match rmp_serde::from_slice::<CrashReport>(&item.value) {
                Ok(report) => {
                    stored.extend(report.subjects.iter().map(|found| found.subject.clone()));
                    self.state.merge_crash_report(report, "the store");
                }
                Err(error) => LogEvent::EntryRejected.log(format_args!("{}: {error}", Self::KEY)),
            }
        }
        self.stored = Some(stored);
    }

    async fn write_changes(&mut self) {
        let state = &self.state;
        if !state.is_zone_leader() || state.exchange.fleet_reader(state).is_some() {
            return;
        }
        let verdicts = state.crashes.borrow().verdicts(state.now());
        let parts: BTreeSet<CrashSubject> =
            verdicts.subjects.iter().map(|found| found.subject.clone()).collect();
        if self.stored.as_ref() == Some(&parts) {
            return;
        }
        let value = match rmp_serde::to_vec(&verdicts) {
            Ok(value) => value,
            Err(error) => {
                LogEvent::PeerFailed.log(format_args!("cannot encode the blocked parts: {error}"));
                return;
            }
        };
        let key = Self::KEY.to_owned();
        let put = StoreCall::Put { key, value, lease: 0, expected_revision: None };
        if self.client.call(&put).await == Ok(StoreResponse::Written) {
            self.stored = Some(parts);
        }
    }
}

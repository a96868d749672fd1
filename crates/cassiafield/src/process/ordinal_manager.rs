use {
    crate::{
        connection::{
            CompareAndSwap, LeaseId, LeaseRenewalRequest, PlatformStore, StoreEntry, StoreError,
            SwapResult,
        },
        process::{EntryHost, LogEvent, PeerAgent},
    },
    cassiafield_core::{
        ids::{HostId, Moment},
        process::{AllowanceLedger, FloorTransition, OrdinalLease, RenewalResult},
    },
    std::{sync::Arc, thread, time::Duration},
};

/// State of an ordinal as recorded in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrdinalRecord {
    /// Held by a host under a lease.
    Held { host: HostId, lease: LeaseId },
    /// Released by its last holder after all its loans had ended.
    Free,
}

/// Acquires, renews and releases this host's ordinal in its availability zone.
pub(crate) struct OrdinalManager {
    host: Arc<EntryHost>,
    lease: Option<LeaseId>,
    revision: u64,
    next_renewal: Moment,
    /// Whether the last renewal attempt reached the store neither directly nor through a peer.
    isolated: bool,
}

impl OrdinalManager {
    const RETRY_INTERVAL: Duration = Duration::from_secs(1);
    /// Time between checks for the first lists.
    const LISTS_POLL_INTERVAL: Duration = Duration::from_millis(50);
    /// Attempts to write that the ordinal is free when the host stops.
    const RELEASE_ATTEMPTS: u32 = 3;

    pub(crate) fn new(host: Arc<EntryHost>) -> Self {
        let next_renewal = Moment::ORIGIN;
        Self { host, lease: None, revision: 0, next_renewal, isolated: false }
    }

    /// Acquires an ordinal or renews the held one, if a renewal is due.
    pub(crate) fn round(&mut self, agent: &PeerAgent) {
        if self.host.clock.now() < self.next_renewal {
            return;
        }
        self.next_renewal = match self.lease {
            Some(lease) => self.renew(agent, lease),
            None => {
                let delay = self.acquire();
                self.host.clock.now() + delay
            }
        };
    }

    fn renew(&mut self, agent: &PeerAgent, lease: LeaseId) -> Moment {
        let sent_at = self.host.clock.now();
        let result = self.renew_lease(agent, lease);
        self.isolated = result == RenewalResult::Unreachable;
        let result = match result {
            RenewalResult::Gone if self.reclaim() => RenewalResult::Renewed,
            other => other,
        };
        if !self.host.allowances.record_renewal(result, sent_at) {
            LogEvent::OrdinalLost.log(lease);
            self.host.allowances.set_ordinal_lease(None);
            self.lease = None;
            return self.host.clock.now();
        }
        OrdinalLease::next_renewal(result, sent_at)
    }

    /// Renews the lease at the store, or through peers if the store does not answer.
    ///
    /// After an attempt that did not reach the store, both are tried in parallel, which keeps the
    /// attempt within [`OrdinalLease::RENEWAL_TIMEOUT`].
    fn renew_lease(&self, agent: &PeerAgent, lease: LeaseId) -> RenewalResult {
        let request = LeaseRenewalRequest { lease };
        if !self.isolated {
            return self.renew_at_store(lease).unwrap_or_else(|| agent.relay_renewal(request));
        }
        thread::scope(|scope| {
            let peers = scope.spawn(|| agent.relay_renewal(request));
            let direct = self.renew_at_store(lease);
            let relayed = peers.join().unwrap_or(RenewalResult::Unreachable);
            direct.unwrap_or(relayed)
        })
    }

    /// Renews the lease directly at the store; `None` if the store does not answer.
    fn renew_at_store(&self, lease: LeaseId) -> Option<RenewalResult> {
        match self.host.store.renew_lease(lease) {
            Ok(true) => Some(RenewalResult::Renewed),
            Ok(false) => Some(RenewalResult::Gone),
            Err(error) => {
                LogEvent::StoreUnreachable.log(error);
                None
            }
        }
    }

    /// Puts the ordinal under a new lease after the old one expired, as in a long store outage.
    ///
    /// Returns `true` on success. The unchanged revision of the record proves that no other host
    /// has held the ordinal in the meantime, so no quarantine is needed.
    fn reclaim(&mut self) -> bool {
        let Some(ordinal_lease) = self.host.allowances.ordinal_lease() else { return false };
        let store = self.host.store.clone();
        let Ok(lease) = store.grant_lease(OrdinalLease::LEASE_TTL) else { return false };
        let record = OrdinalRecord::Held { host: self.host.settings.host.clone(), lease };
        let key = self.key(ordinal_lease.ordinal());
        match write_record(store.as_ref(), &key, Some(self.revision), &record) {
            Ok(Some(revision)) => {
                self.lease = Some(lease);
                self.revision = revision;
                true
            }
            _ => false,
        }
    }

    fn acquire(&mut self) -> Duration {
        if self.host.lists.revision().0 == 0 {
            return Self::LISTS_POLL_INTERVAL;
        }
        let acquired = self.try_acquire();
        self.host.mark_ordinal_attempted();
        match acquired {
            Ok(true) => OrdinalLease::RENEWAL_INTERVAL,
            Ok(false) => {
                LogEvent::OrdinalMissing.log(&self.host.settings.zone);
                Self::RETRY_INTERVAL
            }
            Err(error) => {
                LogEvent::StoreUnreachable.log(error);
                Self::RETRY_INTERVAL.mul_f64(1.0 + fastrand::f64())
            }
        }
    }

    fn planned_hosts(&self) -> u16 {
        let version = self.host.lists.current();
        let zone = &self.host.settings.zone;
        let share = version.lists.zones.iter().find(|share| &share.zone == zone);
        share.map_or(0, |share| share.hosts)
    }

    fn key(&self, ordinal: u16) -> String {
        format!("cassiafield/floors/{}/{ordinal:05}", self.host.settings.zone)
    }

    fn try_acquire(&mut self) -> Result<bool, StoreError> {
        let store = self.host.store.clone();
        let prefix = format!("cassiafield/floors/{}/", self.host.settings.zone);
        let entries = store.list(&prefix)?;
        let planned = self.planned_hosts();
        let start = fastrand::u16(0..planned.max(1));
        let ordinals = (0..planned).map(|index| (start + index) % planned);
        for ordinal in ordinals {
            let key = self.key(ordinal);
            let entry = entries.iter().find(|(found, _)| found == &key).map(|(_, entry)| entry);
            let Some(was_released) = ordinal_availability(store.as_ref(), entry)? else {
                continue;
            };
            if self.claim(store.as_ref(), ordinal, entry, was_released)? {
                return Ok(true);
            }
        }
        Ok(false)
    }

    fn claim(
        &mut self,
        store: &dyn PlatformStore,
        ordinal: u16,
        entry: Option<&StoreEntry>,
        was_released: bool,
    ) -> Result<bool, StoreError> {
        let sent_at = self.host.clock.now();
        let lease = store.grant_lease(OrdinalLease::LEASE_TTL)?;
        let record = OrdinalRecord::Held { host: self.host.settings.host.clone(), lease };
        let expected = entry.map(|entry| entry.revision);
        let written = write_record(store, &self.key(ordinal), expected, &record)?;
        let Some(revision) = written else { return Ok(false) };
        let now = self.host.clock.now();
        let mut ordinal_lease = OrdinalLease::acquired(ordinal, sent_at, now);
        // An ordinal without a record is new; after a change of the zone layout, other hosts may
        // still spend floors of the old layout until the new one has propagated.
        if entry.is_none() && self.host.lists.current().lists.layout > 1 {
            ordinal_lease = ordinal_lease
                .quarantine(FloorTransition::PROPAGATION_TIME, FloorTransition::PROPAGATION_TIME);
        }
        if !was_released {
            let loans = AllowanceLedger::LOAN_TERM + AllowanceLedger::LOAN_MARGIN;
            ordinal_lease =
                ordinal_lease.quarantine(loans, loans + self.host.settings.request_timeout);
        }
        self.lease = Some(lease);
        self.revision = revision;
        self.host.allowances.set_ordinal_lease(Some(ordinal_lease));
        LogEvent::OrdinalTaken.log(format_args!("{ordinal}, clean: {was_released}"));
        Ok(true)
    }

    /// Waits until all loans to peers have ended and releases the ordinal, so that its next holder
    /// can spend at once.
    pub(crate) fn close(self) {
        let ordinal_lease = self.host.allowances.ordinal_lease();
        self.host.allowances.set_ordinal_lease(None);
        let (Some(lease), Some(ordinal_lease)) = (self.lease, ordinal_lease) else { return };
        thread::sleep(self.host.allowances.time_until_loans_end());
        let key = self.key(ordinal_lease.ordinal());
        let store = self.host.store.clone();
        for _ in 0..Self::RELEASE_ATTEMPTS {
            let written =
                write_record(store.as_ref(), &key, Some(self.revision), &OrdinalRecord::Free);
            if written.is_ok() {
                LogEvent::OrdinalHandedBack.log(ordinal_lease.ordinal());
                break;
            }
        }
        let _ = self.host.store.revoke_lease(lease);
    }
}

/// Writes a record by compare-and-swap and returns its revision, or `None` if another write came
/// first.
///
/// If the answer is lost, the key is read back; an equal value counts as success, since no other
/// write has the same lease.
fn write_record(
    store: &dyn PlatformStore,
    key: &str,
    expected: Option<u64>,
    record: &OrdinalRecord,
) -> Result<Option<u64>, StoreError> {
    let value = serde_json::to_vec(record).ok();
    let swap = CompareAndSwap { key: key.into(), expected, value: value.clone(), lease: None };
    match store.compare_and_swap(&swap) {
        Ok(SwapResult::Applied(revision)) => Ok(Some(revision)),
        Ok(SwapResult::Conflict) => Ok(None),
        Err(StoreError::Unknown(reason)) => match store.read(key)? {
            Some(entry) if Some(&entry.value) == value.as_ref() => Ok(Some(entry.revision)),
            _ => Err(StoreError::Unknown(reason)),
        },
        Err(error) => Err(error),
    }
}

/// Returns `None` if an ordinal cannot be acquired, otherwise whether its last holder released it
/// with all loans ended.
fn ordinal_availability(
    store: &dyn PlatformStore,
    entry: Option<&StoreEntry>,
) -> Result<Option<bool>, StoreError> {
    let Some(entry) = entry else { return Ok(Some(true)) };
    match serde_json::from_slice(&entry.value) {
        Ok(OrdinalRecord::Free) => Ok(Some(true)),
        Ok(OrdinalRecord::Held { lease, .. }) => Ok((!store.lease_exists(lease)?).then_some(false)),
        Err(_) => Ok(None),
    }
}

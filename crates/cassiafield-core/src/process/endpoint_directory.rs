use {
    crate::{
        ids::{EndpointId, Moment, ServiceId, ZoneId},
        process::{
            EndpointEntry, EndpointIncarnation, EndpointLife, EndpointLimits, EndpointPauses,
            FailureCause, FailureReport, LeavingEndpoints, LimitReport, LimitReports, TurnReply,
        },
        request::{LayerSpan, RequestRate, RetryAfter},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt, mem,
        net::SocketAddrV4,
        time::Duration,
    },
};

/// A change of the known state of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// The endpoint is new or was restarted.
    Started(EndpointId, EndpointIncarnation),
    /// The endpoint accepts no new work.
    Leaving(EndpointId),
    /// The endpoint is no longer listed.
    Gone(EndpointId),
    /// The endpoint holds different layers than before.
    Layers(EndpointId, Option<LayerSpan>),
}

impl fmt::Display for DirectoryChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DirectoryChange::Started(endpoint, incarnation) => {
                write!(f, "endpoint {endpoint} started, incarnation {}", incarnation.0)
            }
            DirectoryChange::Leaving(endpoint) => write!(f, "endpoint {endpoint} is leaving"),
            DirectoryChange::Gone(endpoint) => write!(f, "endpoint {endpoint} is gone"),
            DirectoryChange::Layers(endpoint, Some(span)) => {
                write!(f, "endpoint {endpoint} holds layers {span}")
            }
            DirectoryChange::Layers(endpoint, None) => write!(f, "endpoint {endpoint} is empty"),
        }
    }
}

#[derive(Clone, Debug)]
struct KnownEndpoint {
    entry: EndpointEntry,
    /// When this incarnation was first listed.
    since: Moment,
    suspect_until: Moment,
    failures: u32,
    /// When this host last found the endpoint unresponsive; `None` once it has responded.
    unresponsive_at: Option<Moment>,
    /// Time until which the endpoint is avoided because a peer found it unresponsive.
    reported_until: Moment,
    /// When the endpoint last responded to this host.
    responded_at: Moment,
    /// When a stream of this host through the endpoint last made progress.
    progressed_at: Moment,
    /// When this host last blamed the endpoint for a stalled stream.
    stalled_at: Moment,
    /// Time until which the endpoint is avoided because streams through it stalled.
    stalled_until: Moment,
    /// Number of stalled streams in a row.
    stalls: u32,
    latency_ms: f64,
    in_flight: u32,
}

/// The criteria by which an endpoint of a plain service is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ServiceChoice<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The availability zone of the choosing host.
    pub zone: &'a ZoneId,
    /// Endpoints at which the request has already been attempted.
    pub excluded: &'a [EndpointId],
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
}

/// All known endpoints, from the platform's list and the results of this host's requests.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    known: BTreeMap<EndpointId, KnownEndpoint>,
    pauses: EndpointPauses,
    limits: EndpointLimits,
    leaving: LeavingEndpoints,
    /// Whether the latest read of the list failed.
    is_unreadable: bool,
    /// When the list was first requested with success after the last failure.
    ///
    /// `None` if this host has not seen a failure: every entry that it knows was listed while the
    /// store was available.
    readable_since: Option<Moment>,
}

impl EndpointDirectory {
    /// Time after the list becomes readable again during which a missing entry does not mean that
    /// the endpoint is gone.
    const ABSENCE_GRACE: Duration = Duration::from_millis(2_300);
    /// Time for which an endpoint is avoided after its first failure; doubles with each further
    /// failure in a row.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(700);
    /// Upper bound of the time for which an endpoint is avoided after a failure.
    const MAX_BACKOFF: Duration = Duration::from_secs(6);
    /// Penalty for an endpoint in another availability zone, as expected latency in milliseconds.
    const CROSS_ZONE_PENALTY_MS: f64 = 25.0;
    /// Penalty for a suspect endpoint, in milliseconds; higher than any expected latency.
    const SUSPECT_PENALTY_MS: f64 = 60_000.0;
    /// Time for which an endpoint that a peer found unresponsive is avoided, from the peer's probe.
    ///
    /// The leader of the endpoint's availability zone polls it about once a second and confirms the
    /// failure or the recovery within this time.
    const PEER_REPORT_RETENTION: Duration = Duration::from_millis(1_500);
    /// Time after which this host probes an endpoint again that it found unresponsive.
    ///
    /// Usually the zone leader's readings show the recovery earlier.
    const TRIAL_DELAY: Duration = Duration::from_secs(3);
    /// Weight of the latest sample in the moving average of the latency.
    const LATENCY_WEIGHT: f64 = 0.2;

    /// Applies a complete list that was requested at `requested_at`, and returns what changed.
    pub fn apply_list(
        &mut self,
        list: Vec<EndpointEntry>,
        requested_at: Moment,
    ) -> Vec<DirectoryChange> {
        if mem::take(&mut self.is_unreadable) {
            self.readable_since = Some(requested_at);
        }
        let mut changes = Vec::new();
        let listed: BTreeSet<EndpointId> =
            list.iter().map(|entry| entry.endpoint.clone()).collect();
        let used_addresses: BTreeSet<SocketAddrV4> =
            list.iter().map(|entry| entry.address).collect();
        for entry in list {
            self.apply_entry(entry, requested_at, &mut changes);
        }
        let absence_is_conclusive = self
            .readable_since
            .is_none_or(|since| requested_at.since(since) >= Self::ABSENCE_GRACE);
        self.known.retain(|endpoint, known| {
            // An endpoint whose address is now listed for another one is gone, even during the
            // grace time.
            let is_replaced = used_addresses.contains(&known.entry.address);
            let is_gone = !listed.contains(endpoint) && (absence_is_conclusive || is_replaced);
            if is_gone {
                changes.push(DirectoryChange::Gone(endpoint.clone()));
            }
            !is_gone
        });
        let known = &self.known;
        self.limits.retain_listed(|endpoint| known.contains_key(endpoint), requested_at);
        self.leaving.retain_listed(|endpoint| known.contains_key(endpoint), requested_at);
        changes
    }

    fn apply_entry(
        &mut self,
        entry: EndpointEntry,
        now: Moment,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let endpoint = entry.endpoint.clone();
        if entry.is_leaving {
            self.leaving.record(&entry.life(), now);
        }
        let has_said_so = self.leaving.contains(&endpoint, entry.incarnation);
        let entry = EndpointEntry { is_leaving: entry.is_leaving || has_said_so, ..entry };
        let Some(known) = self.known.get_mut(&endpoint) else {
            changes.push(DirectoryChange::Started(endpoint.clone(), entry.incarnation));
            if entry.is_leaving {
                changes.push(DirectoryChange::Leaving(endpoint.clone()));
            }
            if entry.span.is_some() {
                changes.push(DirectoryChange::Layers(endpoint.clone(), entry.span));
            }
            self.known.insert(endpoint, KnownEndpoint::new(entry, now));
            return;
        };
        if entry.incarnation < known.entry.incarnation {
            return;
        }
        if entry.incarnation > known.entry.incarnation || entry.address != known.entry.address {
            changes.push(DirectoryChange::Started(endpoint, entry.incarnation));
            *known = KnownEndpoint::new(entry, now);
            return;
        }
        if entry.is_leaving && !known.entry.is_leaving {
            changes.push(DirectoryChange::Leaving(endpoint.clone()));
        }
        if entry.span != known.entry.span {
            changes.push(DirectoryChange::Layers(endpoint, entry.span));
        }
        let is_leaving = known.entry.is_leaving || entry.is_leaving;
        known.entry = EndpointEntry { is_leaving, ..entry };
    }

    /// Records that the list could not be read.
    pub fn record_list_failure(&mut self) {
        self.is_unreadable = true;
    }

    /// Returns the endpoints of a service that accept new work.
    pub fn live_entries<'a, 'b>(
        &'a self,
        service: &'b ServiceId,
    ) -> impl Iterator<Item = &'a EndpointEntry> + use<'a, 'b> {
        let all = self.known.values().map(|known| &known.entry);
        all.filter(move |entry| &entry.service == service && !entry.is_leaving)
    }

    /// Returns how many endpoints of a service accept new work and are not avoided.
    #[must_use]
    pub fn usable_count(&self, service: &ServiceId, now: Moment) -> usize {
        let live = self.live_entries(service);
        live.filter(|entry| !self.is_suspect(&entry.endpoint, now)).count()
    }

    /// Returns all known endpoints, including those that are leaving.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.known.values().map(|known| &known.entry)
    }

    /// Returns the list entry of an endpoint.
    #[must_use]
    pub fn entry(&self, endpoint: &EndpointId) -> Option<&EndpointEntry> {
        self.known.get(endpoint).map(|known| &known.entry)
    }

    /// Returns when the current incarnation of an endpoint was first listed.
    #[must_use]
    pub fn first_listed_at(&self, endpoint: &EndpointId) -> Option<Moment> {
        self.known.get(endpoint).map(|known| known.since)
    }

    /// Returns the number of known endpoints.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns `true` if no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns `true` if an endpoint has responded to something that this host sent after `since`.
    #[must_use]
    pub fn has_responded_since(&self, endpoint: &EndpointId, since: Moment) -> bool {
        self.known.get(endpoint).is_some_and(|known| known.responded_at > since)
    }

    /// Returns `true` if an endpoint is unknown or is avoided after a recent failure.
    ///
    /// An unresponsive endpoint is avoided until it responds again.
    #[must_use]
    pub fn is_suspect(&self, endpoint: &EndpointId, now: Moment) -> bool {
        let known = self.known.get(endpoint);
        known.is_none_or(|known| {
            now < known.suspect_until.max(known.stalled_until) || known.is_unresponsive(now)
        })
    }

    /// Returns `true` if this host, or recently a peer, found an endpoint unresponsive.
    #[must_use]
    pub fn is_unresponsive(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.known.get(endpoint).is_some_and(|known| known.is_unresponsive(now))
    }

    /// Returns the run of an endpoint that is listed.
    #[must_use]
    pub fn life(&self, endpoint: &EndpointId) -> Option<EndpointLife> {
        self.entry(endpoint).map(EndpointEntry::life)
    }

    /// Records that a run of an endpoint said in an answer that it is leaving; returns `true` if that is
    /// news.
    pub fn record_leaving(&mut self, life: &EndpointLife, now: Moment) -> bool {
        let is_news = self.leaving.record(life, now);
        let known = self.known.get_mut(&life.endpoint).map(|known| &mut known.entry);
        match known.filter(|entry| entry.incarnation <= life.incarnation) {
            Some(entry) => !mem::replace(&mut entry.is_leaving, true),
            None => is_news,
        }
    }

    /// Returns `true` if an endpoint is listed and accepts new work.
    #[must_use]
    pub fn accepts_work(&self, endpoint: &EndpointId) -> bool {
        self.entry(endpoint).is_some_and(|entry| !entry.is_leaving)
    }

    /// Records that a run of an endpoint asked this host for a pause, and returns when it ends.
    ///
    /// The endpoint need not be listed: its entry may have lapsed. A later run that is listed may have sent
    /// the response and is paused too. `spread`, from 0 to 1, delays the end a little; it should differ
    /// between hosts.
    pub fn record_pause(
        &mut self,
        life: &EndpointLife,
        asked: RetryAfter,
        spread: f64,
        now: Moment,
    ) -> Moment {
        let listed = self.entry(&life.endpoint).map(|entry| entry.incarnation);
        let incarnation = life.incarnation.max(listed.unwrap_or_default());
        self.pauses.record(&life.endpoint, incarnation, asked, spread, now)
    }

    /// Extends an endpoint's pause to its runs up to `latest`, which had started when it asked.
    pub fn extend_pause(&mut self, endpoint: &EndpointId, latest: EndpointIncarnation) {
        self.pauses.extend(endpoint, latest);
    }

    /// Records that an endpoint answered a request that was sent at `sent_at`, and the rate that it
    /// named, if any; returns `true` if that changes its limit.
    pub fn record_limit(
        &mut self,
        endpoint: &EndpointId,
        named: Option<RequestRate>,
        sent_at: Moment,
        now: Moment,
    ) -> bool {
        let Some(incarnation) = self.entry(endpoint).map(|entry| entry.incarnation) else {
            return false;
        };
        match named {
            Some(rate) => self.limits.record_named(endpoint, incarnation, rate, now),
            None => self.limits.record_unnamed(endpoint, incarnation, sent_at),
        }
    }

    /// Returns the rate of requests that all hosts together may send to an endpoint; `None` without a
    /// limit.
    #[must_use]
    pub fn request_rate(&self, endpoint: &EndpointId, now: Moment) -> Option<RequestRate> {
        self.limits.rate(endpoint, self.entry(endpoint)?.incarnation, now)
    }

    /// Adds what a peer knows of an endpoint's limit; returns `true` if that changes it.
    pub fn merge_limit(&mut self, endpoint: &EndpointId, report: LimitReport, now: Moment) -> bool {
        self.limits.merge(endpoint, report, now)
    }

    /// Returns the latest statement of an endpoint about its limit, if there is one.
    #[must_use]
    pub fn limit_report(&self, endpoint: &EndpointId, now: Moment) -> Option<LimitReport> {
        self.limits.report_of(endpoint, now)
    }

    /// Returns what peers should know of limits; all those in force if `is_complete`.
    #[must_use]
    pub fn limit_reports(&self, is_complete: bool, now: Moment) -> LimitReports {
        self.limits.report(is_complete, now)
    }

    /// Records the answer to a request that asked for a turn at an endpoint.
    pub fn record_turn_reply(&mut self, endpoint: &EndpointId, reply: TurnReply, now: Moment) {
        match reply {
            TurnReply::Granted { delay } => self.limits.record_turn(endpoint, now + delay),
            TurnReply::Refused { free_in } => self.limits.record_full(endpoint, now + free_in),
        }
    }

    /// Returns until when an endpoint is of no use for a new request: it has asked for a pause, or has
    /// no turn free. `None` if it may be used now.
    #[must_use]
    pub fn unavailable_until(&self, endpoint: &EndpointId, now: Moment) -> Option<Moment> {
        let incarnation = self.entry(endpoint)?.incarnation;
        let paused = self.pauses.blocked_until(endpoint, incarnation, now);
        paused.max(self.limits.full_until(endpoint, incarnation, now))
    }

    /// Returns the rate of requests that all hosts together may send to a service's endpoints; `None`
    /// if one of them has no limit, or there is none.
    #[must_use]
    pub fn service_rate(&self, service: &ServiceId, now: Moment) -> Option<RequestRate> {
        let mut live = self.live_entries(service).peekable();
        live.peek()?;
        let rates = live.map(|entry| self.request_rate(&entry.endpoint, now));
        let rates: Option<Vec<RequestRate>> = rates.collect();
        Some(RequestRate::per_second(rates?.iter().map(|rate| rate.as_per_second()).sum()))
    }

    /// Returns how long a request is likely to wait for a turn at an endpoint.
    #[must_use]
    pub fn expected_turn_wait(&self, endpoint: &EndpointId, now: Moment) -> Duration {
        let incarnation = self.entry(endpoint).map(|entry| entry.incarnation);
        incarnation.map_or(Duration::ZERO, |found| self.limits.expected_wait(endpoint, found, now))
    }

    /// Records that a request is being sent to an endpoint, which counts after a pause.
    pub fn record_send(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(known) = self.known.get(endpoint) {
            self.pauses.record_send(endpoint, known.entry.incarnation, now);
        }
    }

    /// Returns until when this host must not send to an endpoint, since it asked for a pause; `None`
    /// if it may.
    #[must_use]
    pub fn blocked_until(&self, endpoint: &EndpointId, now: Moment) -> Option<Moment> {
        self.pauses.blocked_until(endpoint, self.entry(endpoint)?.incarnation, now)
    }

    /// Returns when the first of a service's endpoints may be used again; `None` if one of them may
    /// now, or there is none.
    #[must_use]
    pub fn service_unavailable_until(&self, service: &ServiceId, now: Moment) -> Option<Moment> {
        let live = self.live_entries(service);
        let ends = live.map(|entry| self.unavailable_until(&entry.endpoint, now));
        // `None` is the least value: an endpoint that may be used.
        ends.min().flatten()
    }

    /// Chooses the endpoint of a service with the lowest expected latency.
    ///
    /// After a failure, an endpoint is first tried again with requests that may be repeated; a
    /// request that must not run more than once is sent there only if there is no other endpoint.
    #[must_use]
    pub fn choose(&self, choice: &ServiceChoice<'_>, now: Moment) -> Option<&EndpointEntry> {
        let allowed = self.known.values().filter(|known| {
            let entry = &known.entry;
            &entry.service == choice.service
                && !entry.is_leaving
                && !choice.excluded.contains(&entry.endpoint)
                && self.unavailable_until(&entry.endpoint, now).is_none()
        });
        let cost = |known: &KnownEndpoint| {
            let turn_wait = self.expected_turn_wait(&known.entry.endpoint, now);
            let slots = f64::from(known.entry.slots.max(1));
            let load = 1.0 + f64::from(known.in_flight) / slots;
            let is_same_zone = &known.entry.zone == choice.zone;
            let is_suspect = now < known.suspect_until || choice.at_most_once && known.failures > 0;
            known.latency_ms * load
                + turn_wait.as_secs_f64() * 1e3
                + if is_same_zone { 0.0 } else { Self::CROSS_ZONE_PENALTY_MS }
                + if is_suspect { Self::SUSPECT_PENALTY_MS } else { 0.0 }
        };
        let best = allowed.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map(|known| &known.entry)
    }

    /// Chooses the endpoint of a service that first has a turn free, and returns when; for the case
    /// that [`EndpointDirectory::choose`] finds none.
    #[must_use]
    pub fn choose_soonest(
        &self,
        choice: &ServiceChoice<'_>,
        now: Moment,
    ) -> Option<(&EndpointEntry, Moment)> {
        let live = self.live_entries(choice.service);
        let others = live.filter(|entry| !choice.excluded.contains(&entry.endpoint));
        let full = others.filter_map(|entry| {
            let is_paused = self.blocked_until(&entry.endpoint, now).is_some();
            let until = self.limits.full_until(&entry.endpoint, entry.incarnation, now);
            Some((entry, until.filter(|_| !is_paused)?))
        });
        full.min_by_key(|(_, until)| *until)
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_dispatch(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.in_flight += 1;
        }
    }

    /// Records that a request at an endpoint has ended, whether it succeeded or not.
    pub fn record_end(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Records a successful answer of an endpoint, and its latency if it is representative.
    pub fn record_success(&mut self, endpoint: &EndpointId, latency: Option<Duration>) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.clear_failures();
            if let Some(latency) = latency {
                let latency_ms = latency.as_secs_f64() * 1e3;
                known.latency_ms += (latency_ms - known.latency_ms) * Self::LATENCY_WEIGHT;
            }
        }
    }

    /// Records that an endpoint failed; it is avoided with exponential back-off.
    pub fn record_failure(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(known) = self.known.get_mut(endpoint) {
            let doublings = known.failures.min(8);
            let backoff = Self::INITIAL_BACKOFF.saturating_mul(1 << doublings);
            known.failures += 1;
            known.suspect_until = now + backoff.min(Self::MAX_BACKOFF);
        }
    }

    /// Records that an endpoint did not respond to this host; it is avoided until it responds.
    pub fn record_unresponsive(&mut self, endpoint: &EndpointId, now: Moment) {
        self.record_failure(endpoint, now);
        if let Some(known) = self.known.get_mut(endpoint) {
            known.unresponsive_at = Some(now);
            known.suspect_until = known.suspect_until.max(now + Self::TRIAL_DELAY);
        }
    }

    /// Forgets the failures that this host found at a service's endpoints: it had no way to them.
    pub fn forget_failures(&mut self, service: &ServiceId) {
        for known in self.known.values_mut().filter(|known| &known.entry.service == service) {
            known.clear_failures();
        }
    }

    /// Records that an endpoint responded to this host at `at`.
    pub fn record_response(&mut self, endpoint: &EndpointId, at: Moment) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.responded_at = known.responded_at.max(at);
            if known.unresponsive_at.is_none_or(|failed_at| failed_at <= at) {
                known.clear_failures();
            }
        }
    }

    /// Records that an endpoint responded to a peer at `at`.
    ///
    /// It also ends the effect of a single failure of this host, but not of repeated ones: the link
    /// between this host and the endpoint may be broken.
    pub fn record_peer_response(&mut self, endpoint: &EndpointId, at: Moment) {
        let Some(known) = self.known.get_mut(endpoint) else { return };
        if known.reported_until <= at + Self::PEER_REPORT_RETENTION {
            known.reported_until = Moment::ORIGIN;
        }
        if known.failures <= 1 && known.unresponsive_at.is_some_and(|failed_at| failed_at < at) {
            known.clear_failures();
        }
    }

    /// Records that a stream of this host through an endpoint made progress.
    pub fn record_progress(&mut self, endpoint: &EndpointId, now: Moment) {
        self.record_response(endpoint, now);
        if let Some(known) = self.known.get_mut(endpoint) {
            known.progressed_at = now;
            known.stalls = 0;
            known.stalled_until = Moment::ORIGIN;
        }
    }

    /// Records that a stream over the given endpoints has made no progress since `since` although
    /// all of them respond to probes.
    ///
    /// The endpoints through which no other stream has made progress meanwhile are avoided, with
    /// exponential back-off.
    pub fn record_stall<'a>(
        &mut self,
        endpoints: impl IntoIterator<Item = &'a EndpointId>,
        since: Moment,
        now: Moment,
    ) {
        for endpoint in endpoints {
            let known = self.known.get_mut(endpoint);
            let Some(known) = known.filter(|known| known.progressed_at < since) else { continue };
            // Streams that stall at the same time are one observation.
            if now >= known.stalled_until {
                let backoff = Self::INITIAL_BACKOFF.saturating_mul(1 << known.stalls.min(8));
                known.stalls += 1;
                known.stalled_at = now;
                known.stalled_until = now + backoff.min(Self::MAX_BACKOFF);
            }
        }
    }

    /// Records a failure of an endpoint that a peer reports.
    ///
    /// The report is ignored if the endpoint has worked for this host since. Returns `true` if the
    /// endpoint was not known to be unresponsive, and is now.
    pub fn record_peer_failure(
        &mut self,
        endpoint: &EndpointId,
        report: FailureReport,
        now: Moment,
    ) -> bool {
        let Some(known) = self.known.get_mut(endpoint) else { return false };
        let failed_at = report.failed_at(now);
        let until = failed_at + Duration::from_millis(u64::from(report.hold_ms));
        if known.since >= failed_at || until <= now {
            return false;
        }
        match report.cause {
            FailureCause::Stalled => {
                if known.progressed_at < failed_at {
                    known.stalled_until = known.stalled_until.max(until);
                }
                false
            }
            FailureCause::Unresponsive if known.responded_at >= failed_at => false,
            FailureCause::Unresponsive => {
                let was_unresponsive = known.is_unresponsive(now);
                known.reported_until = known.reported_until.max(until);
                !was_unresponsive
            }
        }
    }

    /// Returns the failures that this host noticed within the last `span`, for peers.
    pub fn recent_failures(
        &self,
        span: Duration,
        now: Moment,
    ) -> impl Iterator<Item = (&EndpointEntry, FailureReport)> {
        self.known.values().filter_map(move |known| {
            let is_recent = |at: Moment| at > Moment::ORIGIN && now.since(at) < span;
            if let Some(failed_at) = known.unresponsive_at.filter(|at| is_recent(*at)) {
                let hold = Self::PEER_REPORT_RETENTION;
                let report = FailureReport::new(FailureCause::Unresponsive, failed_at, hold, now);
                return Some((&known.entry, report));
            }
            let is_stalled = is_recent(known.stalled_at) && known.stalled_until > now;
            is_stalled.then(|| {
                let hold = known.stalled_until - known.stalled_at;
                let report = FailureReport::new(FailureCause::Stalled, known.stalled_at, hold, now);
                (&known.entry, report)
            })
        })
    }

    /// Returns the unresponsive endpoints that are due to be probed again.
    pub fn due_trials(&self, now: Moment) -> impl Iterator<Item = &EndpointEntry> {
        let is_due = move |known: &&KnownEndpoint| {
            known.unresponsive_at.is_some() && now >= known.suspect_until
        };
        self.known.values().filter(is_due).map(|known| &known.entry)
    }
}

impl KnownEndpoint {
    fn new(entry: EndpointEntry, since: Moment) -> Self {
        Self {
            entry,
            since,
            suspect_until: Moment::ORIGIN,
            failures: 0,
            unresponsive_at: None,
            reported_until: Moment::ORIGIN,
            responded_at: Moment::ORIGIN,
            progressed_at: Moment::ORIGIN,
            stalled_at: Moment::ORIGIN,
            stalled_until: Moment::ORIGIN,
            stalls: 0,
            latency_ms: 0.0,
            in_flight: 0,
        }
    }

    fn is_unresponsive(&self, now: Moment) -> bool {
        self.unresponsive_at.is_some() || now < self.reported_until
    }

    fn clear_failures(&mut self) {
        self.failures = 0;
        self.suspect_until = Moment::ORIGIN;
        self.unresponsive_at = None;
        self.reported_until = Moment::ORIGIN;
    }
}

use {
    crate::{
        ids::{EndpointId, Moment, ServiceId, ZoneId},
        process::{EndpointEntry, EndpointIncarnation},
        request::LayerSpan,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        net::SocketAddrV4,
        time::Duration,
    },
};

/// A change of what a host believes of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DirectoryChange {
    /// The endpoint is new, or has started again.
    Started(EndpointId, EndpointIncarnation),
    /// The endpoint takes no new work.
    Leaving(EndpointId),
    /// The endpoint is no longer listed.
    Gone(EndpointId),
    /// The endpoint holds other layers than before.
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
    /// When this start of it was first listed.
    since: Moment,
    suspect_until: Moment,
    failures: u32,
    latency_ms: f64,
    in_flight: u32,
}

/// What an endpoint of a plain service is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct ServiceChoice<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// The host's availability zone.
    pub zone: &'a ZoneId,
    /// Endpoints that the request has been tried at.
    pub excluded: &'a [EndpointId],
    /// Whether the request may run at most once.
    pub at_most_once: bool,
}

/// Every endpoint as the platform's list and this host's own requests show it.
#[derive(Clone, Debug, Default)]
pub struct EndpointDirectory {
    known: BTreeMap<EndpointId, KnownEndpoint>,
    listed_since: Option<Moment>,
}

impl EndpointDirectory {
    /// Time after the list is back for which a missing entry proves nothing.
    const LAPSE_GRACE: Duration = Duration::from_millis(2_300);
    /// How long an endpoint is avoided after its first failure; doubles with each further one.
    const FIRST_SUSPICION: Duration = Duration::from_millis(700);
    /// Longest time for which an endpoint is avoided after a failure.
    const MAX_SUSPICION: Duration = Duration::from_secs(6);
    /// Expected wait that an endpoint in another availability zone must save, in milliseconds.
    const ZONE_COST_MS: f64 = 25.0;
    /// Cost of an endpoint that failed, in milliseconds; above any expected wait.
    const DOUBT_COST_MS: f64 = 60_000.0;
    /// Weight of the newest answer in the mean answer time.
    const LATENCY_WEIGHT: f64 = 0.2;

    /// Takes a whole list that was asked for at `asked`.
    pub fn apply_list(&mut self, list: Vec<EndpointEntry>, asked: Moment) -> Vec<DirectoryChange> {
        let since = *self.listed_since.get_or_insert(asked);
        let mut changes = Vec::new();
        let listed: BTreeSet<EndpointId> =
            list.iter().map(|entry| entry.endpoint.clone()).collect();
        let taken: BTreeSet<SocketAddrV4> = list.iter().map(|entry| entry.address).collect();
        for entry in list {
            self.take_entry(entry, asked, &mut changes);
        }
        let proves_absence = asked.since(since) >= Self::LAPSE_GRACE;
        self.known.retain(|endpoint, known| {
            // An endpoint whose address another one has is gone, whatever the list lacks.
            let is_replaced = taken.contains(&known.entry.address);
            let is_gone = !listed.contains(endpoint) && (proves_absence || is_replaced);
            if is_gone {
                changes.push(DirectoryChange::Gone(endpoint.clone()));
            }
            !is_gone
        });
        changes
    }

    fn take_entry(
        &mut self,
        entry: EndpointEntry,
        now: Moment,
        changes: &mut Vec<DirectoryChange>,
    ) {
        let endpoint = entry.endpoint.clone();
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
    pub fn list_failed(&mut self) {
        self.listed_since = None;
    }

    /// Returns every endpoint that may get new work of a service.
    pub fn live_entries<'a, 'b>(
        &'a self,
        service: &'b ServiceId,
    ) -> impl Iterator<Item = &'a EndpointEntry> + use<'a, 'b> {
        let all = self.known.values().map(|known| &known.entry);
        all.filter(move |entry| &entry.service == service && !entry.is_leaving)
    }

    /// Returns every endpoint known, also those that are leaving.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.known.values().map(|known| &known.entry)
    }

    /// Returns what an endpoint says of itself.
    #[must_use]
    pub fn entry(&self, endpoint: &EndpointId) -> Option<&EndpointEntry> {
        self.known.get(endpoint).map(|known| &known.entry)
    }

    /// Returns when the present start of an endpoint was first listed.
    #[must_use]
    pub fn known_since(&self, endpoint: &EndpointId) -> Option<Moment> {
        self.known.get(endpoint).map(|known| known.since)
    }

    /// Returns the number of endpoints known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Says whether no endpoint is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Says whether an endpoint failed so recently that it is avoided.
    #[must_use]
    pub fn is_suspect(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.known.get(endpoint).is_none_or(|known| now < known.suspect_until)
    }

    /// Chooses the endpoint of a service with the least expected wait.
    ///
    /// An endpoint that failed is tried again by requests that may be repeated; those that may not
    /// go there only when there is no other.
    #[must_use]
    pub fn choose(&self, choice: &ServiceChoice<'_>, now: Moment) -> Option<&EndpointEntry> {
        let allowed = self.known.values().filter(|known| {
            let entry = &known.entry;
            &entry.service == choice.service
                && !entry.is_leaving
                && !choice.excluded.contains(&entry.endpoint)
        });
        let cost = |known: &KnownEndpoint| {
            let slots = f64::from(known.entry.slots.max(1));
            let load = 1.0 + f64::from(known.in_flight) / slots;
            let is_near = &known.entry.zone == choice.zone;
            let is_suspected =
                now < known.suspect_until || choice.at_most_once && known.failures > 0;
            known.latency_ms * load
                + if is_near { 0.0 } else { Self::ZONE_COST_MS }
                + if is_suspected { Self::DOUBT_COST_MS } else { 0.0 }
        };
        let best = allowed.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.map(|known| &known.entry)
    }

    /// Records that a request was sent to an endpoint.
    pub fn dispatched(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.in_flight += 1;
        }
    }

    /// Records that a request at an endpoint has ended, well or not.
    pub fn finished(&mut self, endpoint: &EndpointId) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Records an answer of an endpoint and the time that it took, if that tells of its pace.
    pub fn succeeded(&mut self, endpoint: &EndpointId, latency: Option<Duration>) {
        if let Some(known) = self.known.get_mut(endpoint) {
            known.failures = 0;
            known.suspect_until = Moment::ORIGIN;
            if let Some(latency) = latency {
                let latency_ms = latency.as_secs_f64() * 1e3;
                known.latency_ms += (latency_ms - known.latency_ms) * Self::LATENCY_WEIGHT;
            }
        }
    }

    /// Records that an endpoint failed; it is avoided for a time that grows.
    pub fn failed(&mut self, endpoint: &EndpointId, now: Moment) {
        if let Some(known) = self.known.get_mut(endpoint) {
            let doublings = known.failures.min(8);
            let avoided = Self::FIRST_SUSPICION.saturating_mul(1 << doublings);
            known.failures += 1;
            known.suspect_until = now + avoided.min(Self::MAX_SUSPICION);
        }
    }
}

impl KnownEndpoint {
    fn new(entry: EndpointEntry, since: Moment) -> Self {
        Self {
            entry,
            since,
            suspect_until: Moment::ORIGIN,
            failures: 0,
            latency_ms: 0.0,
            in_flight: 0,
        }
    }
}

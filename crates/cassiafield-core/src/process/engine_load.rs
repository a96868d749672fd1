use {
    crate::{
        ids::{EndpointId, HostId, Moment, ZoneId},
        request::StageRoute,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Streams and memory that this host, and those that told it, have at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineUsage {
    /// Streams that run there.
    pub streams: u32,
    /// Streams of which it is the first endpoint; each takes one of its slots.
    pub firsts: u32,
    /// Tokens that they may come to hold, each counted once a layer.
    pub token_layers: f64,
}

/// What a model endpoint reported of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineReading {
    /// Time of its work relative to its kind's figures; above 1 it is slow.
    pub pace: f64,
    /// Memory in use, in tokens times layers.
    pub used: f64,
    /// Memory for requests, in tokens times layers.
    pub total: f64,
}

/// A reading on its way between hosts, whose clocks differ.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SharedReading {
    /// Time since the endpoint was asked, in milliseconds.
    pub age_ms: u32,
    /// What it reported.
    pub reading: EngineReading,
}

/// What one stream has booked at the endpoints of its route.
#[derive(Debug)]
pub struct LoadReservation {
    /// Endpoints with tokens times layers, in the order of the route.
    parts: Vec<(EndpointId, f64)>,
}

/// The load of every endpoint as far as this host knows it.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    own: BTreeMap<EndpointId, EngineUsage>,
    peers: HashMap<HostId, HeardUse>,
    zones: HashMap<ZoneId, HeardUse>,
    readings: HashMap<EndpointId, KnownReading>,
    full: HashMap<EndpointId, Moment>,
}

/// A reading, and what was booked when it was made.
#[derive(Clone, Copy, Debug)]
struct KnownReading {
    at: Moment,
    reading: EngineReading,
    booked: f64,
    /// Whether this host asked the endpoint itself.
    is_own: bool,
}

/// Bookings that others told of, and when.
#[derive(Clone, Debug)]
struct HeardUse {
    heard: Moment,
    used: BTreeMap<EndpointId, EngineUsage>,
}

impl EngineLoad {
    /// Time after which what a peer said counts for nothing.
    const REMOTE_RETENTION: Duration = Duration::from_millis(1_500);

    /// Time for which an endpoint that refused a stream for want of memory gets no other; a few
    /// streams end within it.
    const FULL_TIME: Duration = Duration::from_millis(40);
    /// Time after which what an endpoint reported counts for nothing.
    const READING_RETENTION: Duration = Duration::from_millis(3_500);

    /// Books a stream of `tokens` on a route.
    #[must_use]
    pub fn reserve(&mut self, route: &StageRoute, tokens: u32) -> LoadReservation {
        let mut parts = Vec::with_capacity(route.stages().len());
        for (index, stage) in route.stages().iter().enumerate() {
            let amount = f64::from(tokens) * f64::from(stage.span.layers());
            let used = self.own.entry(stage.endpoint.clone()).or_default();
            used.streams += 1;
            used.firsts += u32::from(index == 0);
            used.token_layers += amount;
            parts.push((stage.endpoint.clone(), amount));
        }
        LoadReservation { parts }
    }

    /// Gives back what a stream has booked.
    pub fn release(&mut self, ticket: LoadReservation) {
        for (index, (endpoint, amount)) in ticket.parts.into_iter().enumerate() {
            if let Some(used) = self.own.get_mut(&endpoint) {
                used.streams = used.streams.saturating_sub(1);
                used.firsts = used.firsts.saturating_sub(u32::from(index == 0));
                used.token_layers = (used.token_layers - amount).max(0.0);
                if used.streams == 0 {
                    self.own.remove(&endpoint);
                }
            }
        }
    }

    /// Returns what this host has booked.
    #[must_use]
    pub const fn own(&self) -> &BTreeMap<EndpointId, EngineUsage> {
        &self.own
    }

    /// Takes a peer's word of what it has booked.
    pub fn record_peer_usage(
        &mut self,
        peer: HostId,
        used: BTreeMap<EndpointId, EngineUsage>,
        now: Moment,
    ) {
        self.peers.insert(peer, HeardUse { heard: now, used });
    }

    /// Takes the word of another availability zone of what all its hosts have booked.
    pub fn record_zone_usage(
        &mut self,
        zone: ZoneId,
        used: BTreeMap<EndpointId, EngineUsage>,
        now: Moment,
    ) {
        self.zones.insert(zone, HeardUse { heard: now, used });
    }

    /// Takes what an endpoint reported to this host at `now`.
    pub fn record_reading(&mut self, endpoint: EndpointId, reading: EngineReading, now: Moment) {
        let booked = self.total(&endpoint, now).token_layers;
        self.readings.insert(endpoint, KnownReading { at: now, reading, booked, is_own: true });
    }

    /// Takes what an endpoint reported to another host, unless a newer reading is known.
    pub fn merge_reading(&mut self, endpoint: EndpointId, shared: SharedReading, now: Moment) {
        let age = Duration::from_millis(u64::from(shared.age_ms));
        let at = Moment::ORIGIN + (now - Moment::ORIGIN).saturating_sub(age);
        if self.readings.get(&endpoint).is_some_and(|known| known.at >= at) {
            return;
        }
        let booked = self.total(&endpoint, now).token_layers;
        let reading = shared.reading;
        self.readings.insert(endpoint, KnownReading { at, reading, booked, is_own: false });
    }

    /// Returns the tokens times layers in use at an endpoint: what it reported, and what has been
    /// booked there and given back since, but no less than what is booked, since endpoints set
    /// memory aside for prompts that they have not read and do not report.
    #[must_use]
    pub fn used(&self, endpoint: &EndpointId, now: Moment) -> f64 {
        let booked = self.total(endpoint, now).token_layers;
        match self.known_reading(endpoint, now) {
            Some(known) => (known.reading.used + booked - known.booked).max(booked),
            None => booked,
        }
    }

    /// Records that an endpoint refused a stream for want of memory.
    pub fn mark_full(&mut self, endpoint: EndpointId, now: Moment) {
        self.full.retain(|_, at| now.since(*at) < Self::FULL_TIME);
        self.full.insert(endpoint, now);
    }

    /// Says whether an endpoint refused a stream for want of memory a moment ago.
    #[must_use]
    pub fn is_full(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.full.get(endpoint).is_some_and(|at| now.since(*at) < Self::FULL_TIME)
    }

    /// Returns what an endpoint reported of itself a short time ago.
    #[must_use]
    pub fn reading(&self, endpoint: &EndpointId, now: Moment) -> Option<EngineReading> {
        self.known_reading(endpoint, now).map(|known| known.reading)
    }

    fn known_reading(&self, endpoint: &EndpointId, now: Moment) -> Option<&KnownReading> {
        let known = self.readings.get(endpoint);
        known.filter(|known| now.since(known.at) < Self::READING_RETENTION)
    }

    /// Returns the readings that this host made in the last `span`, for other hosts.
    ///
    /// Readings of others are not passed on: they would go round between hosts.
    #[must_use]
    pub fn own_readings(&self, span: Duration, now: Moment) -> BTreeMap<EndpointId, SharedReading> {
        let recent =
            self.readings.iter().filter(|(_, known)| known.is_own && now.since(known.at) < span);
        let shared = recent.map(|(endpoint, known)| {
            let age_ms = u32::try_from(now.since(known.at).as_millis()).unwrap_or(u32::MAX);
            (endpoint.clone(), SharedReading { age_ms, reading: known.reading })
        });
        shared.collect()
    }

    /// Returns the peers heard of a short time ago.
    pub fn peers(&self, now: Moment) -> impl Iterator<Item = &HostId> {
        let recent = move |heard: &HeardUse| now.since(heard.heard) < Self::REMOTE_RETENTION;
        self.peers.iter().filter(move |(_, heard)| recent(heard)).map(|(host, _)| host)
    }

    /// Returns what this host and its peers in the availability zone have booked together.
    #[must_use]
    pub fn zone_total(&self, now: Moment) -> BTreeMap<EndpointId, EngineUsage> {
        let mut total = self.own.clone();
        let recent = self.peers.values().filter(|n| now.since(n.heard) < Self::REMOTE_RETENTION);
        for (endpoint, used) in recent.flat_map(|heard| &heard.used) {
            total.entry(endpoint.clone()).or_default().add(*used);
        }
        total
    }

    /// Returns the load of an endpoint over this host, its peers and the other zones.
    #[must_use]
    pub fn total(&self, endpoint: &EndpointId, now: Moment) -> EngineUsage {
        let mut total = self.own.get(endpoint).copied().unwrap_or_default();
        for heard in self.peers.values().chain(self.zones.values()) {
            if now.since(heard.heard) < Self::REMOTE_RETENTION {
                total.add(heard.used.get(endpoint).copied().unwrap_or_default());
            }
        }
        total
    }
}

impl EngineUsage {
    fn add(&mut self, other: EngineUsage) {
        self.streams += other.streams;
        self.firsts += other.firsts;
        self.token_layers += other.token_layers;
    }
}

use {
    crate::{
        ids::{EndpointId, HostId, Moment, ZoneId},
        pace::{ExposureCost, PaceModel, PathPart},
        process::LinkLoad,
        request::StageRoute,
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Streams and memory in use at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineUsage {
    /// Streams that run through the endpoint.
    pub streams: u32,
    /// Streams that start at the endpoint; each occupies one of its slots.
    pub firsts: u32,
    /// Memory that the streams may need, in tokens times layers.
    pub token_layers: f64,
}

/// The load that a model endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EngineReading {
    /// Step time relative to the profile of its accelerator; a value above 1 means that it is slow.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// Memory in use, in tokens times layers.
    pub used: f64,
    /// Memory for requests, in tokens times layers.
    pub total: f64,
}

impl EngineReading {
    /// Highest slowdown that counts; an endpoint that slow is of no use.
    const MAX_SLOWDOWN: f64 = 1e3;
    /// Most memory that counts, in tokens times layers.
    const MAX_TOKEN_LAYERS: f64 = 1e15;

    /// Returns the reading with values out of range replaced by the nearest one in range, and values that
    /// are no numbers by the lowest.
    #[must_use]
    pub fn bounded(self) -> Self {
        let Self { slowdown, used, total } = self;
        let bounded = |value: f64, max| if value.is_nan() { 0.0 } else { value.clamp(0.0, max) };
        Self {
            slowdown: bounded(slowdown, Self::MAX_SLOWDOWN),
            used: bounded(used, Self::MAX_TOKEN_LAYERS),
            total: bounded(total, Self::MAX_TOKEN_LAYERS),
        }
    }
}

/// A reading as hosts exchange it; it has an age instead of a time since their clocks differ.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct SharedReading {
    /// Time since the reading was requested, in milliseconds.
    pub age_ms: u32,
    /// The reported load.
    pub reading: EngineReading,
}

/// The reservations of one stream at the endpoints of its route.
#[derive(Debug)]
pub struct LoadReservation {
    /// Endpoints and reserved memory in tokens times layers, in the order of the route.
    stages: Vec<(EndpointId, f64)>,
}

/// The load of all endpoints: reservations of this and other hosts, and readings.
#[derive(Clone, Debug, Default)]
pub struct EngineLoad {
    own: BTreeMap<EndpointId, EngineUsage>,
    peers: HashMap<HostId, RemoteUsage>,
    zones: HashMap<ZoneId, RemoteUsage>,
    readings: HashMap<EndpointId, KnownReading>,
    refused_at: HashMap<EndpointId, Moment>,
    /// Load of the links between availability zones.
    pub links: LinkLoad,
    /// Pace of the endpoints and links, by the events of this host's streams.
    pub pace: PaceModel,
    /// Expected loss by endpoints that end.
    pub exposure: ExposureCost,
}

/// A reading, and the memory that was reserved when it arrived.
#[derive(Clone, Copy, Debug)]
struct KnownReading {
    /// When the reading was requested.
    at: Moment,
    reading: EngineReading,
    reserved: f64,
    /// Whether this host requested the reading from the endpoint itself.
    is_own: bool,
}

/// The usage reported by a peer or another zone, and when it was received.
#[derive(Clone, Debug)]
struct RemoteUsage {
    received_at: Moment,
    used: BTreeMap<EndpointId, EngineUsage>,
}

impl EngineLoad {
    /// Time after which the usage reported by a peer or another zone is ignored.
    const REMOTE_RETENTION: Duration = Duration::from_millis(1_500);

    /// Time for which no stream is sent to an endpoint that refused one for lack of memory; a few
    /// streams end within it.
    const FULL_HOLDOFF: Duration = Duration::from_millis(40);
    /// Time after which a reading is ignored.
    const READING_RETENTION: Duration = Duration::from_millis(3_500);

    /// Reserves capacity for a stream of `tokens` tokens along a route.
    #[must_use]
    pub fn reserve(&mut self, route: &StageRoute, tokens: u32) -> LoadReservation {
        let mut stages = Vec::with_capacity(route.stages().len());
        for (index, stage) in route.stages().iter().enumerate() {
            let amount = f64::from(tokens) * f64::from(stage.span.layers());
            let used = self.own.entry(stage.endpoint.clone()).or_default();
            used.streams += 1;
            used.firsts += u32::from(index == 0);
            used.token_layers += amount;
            stages.push((stage.endpoint.clone(), amount));
        }
        LoadReservation { stages }
    }

    /// Releases the reservations of a stream.
    pub fn release(&mut self, reservation: LoadReservation) {
        for (index, (endpoint, amount)) in reservation.stages.into_iter().enumerate() {
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

    /// Returns the usage by streams of this host.
    #[must_use]
    pub const fn own_usage(&self) -> &BTreeMap<EndpointId, EngineUsage> {
        &self.own
    }

    /// Records the usage that a peer reports.
    pub fn record_peer_usage(
        &mut self,
        peer: HostId,
        used: BTreeMap<EndpointId, EngineUsage>,
        now: Moment,
    ) {
        self.peers.insert(peer, RemoteUsage { received_at: now, used });
    }

    /// Records the total usage that another availability zone reports for its hosts.
    pub fn record_zone_usage(
        &mut self,
        zone: ZoneId,
        used: BTreeMap<EndpointId, EngineUsage>,
        now: Moment,
    ) {
        self.zones.insert(zone, RemoteUsage { received_at: now, used });
    }

    /// Records a reading that this host requested from an endpoint at `now`.
    pub fn record_reading(&mut self, endpoint: EndpointId, reading: EngineReading, now: Moment) {
        let reserved = self.total_usage(&endpoint, now).token_layers;
        let reading = reading.bounded();
        self.readings.insert(endpoint, KnownReading { at: now, reading, reserved, is_own: true });
    }

    /// Adds a reading that another host received, unless a newer one is known.
    pub fn merge_reading(&mut self, endpoint: EndpointId, shared: SharedReading, now: Moment) {
        let age = Duration::from_millis(u64::from(shared.age_ms));
        let at = now.earlier_by(age);
        if self.readings.get(&endpoint).is_some_and(|known| known.at >= at) {
            return;
        }
        let reserved = self.total_usage(&endpoint, now).token_layers;
        let reading = shared.reading.bounded();
        self.readings.insert(endpoint, KnownReading { at, reading, reserved, is_own: false });
    }

    /// Returns the memory in use at an endpoint, in tokens times layers.
    ///
    /// This is the latest reading, adjusted by the reservations made and released since, but at
    /// least the reserved memory: endpoints set memory aside for prompts that they have not processed
    /// yet and do not report it.
    #[must_use]
    pub fn memory_used(&self, endpoint: &EndpointId, now: Moment) -> f64 {
        let reserved = self.total_usage(endpoint, now).token_layers;
        match self.known_reading(endpoint, now) {
            Some(known) => (known.reading.used + reserved - known.reserved).max(reserved),
            None => reserved,
        }
    }

    /// Records that an endpoint refused a stream for lack of memory.
    pub fn mark_full(&mut self, endpoint: EndpointId, now: Moment) {
        self.refused_at.retain(|_, at| now.since(*at) < Self::FULL_HOLDOFF);
        self.refused_at.insert(endpoint, now);
    }

    /// Returns `true` if an endpoint has just refused a stream for lack of memory.
    #[must_use]
    pub fn is_full(&self, endpoint: &EndpointId, now: Moment) -> bool {
        self.refused_at.get(endpoint).is_some_and(|at| now.since(*at) < Self::FULL_HOLDOFF)
    }

    /// Returns the latest reading of an endpoint, unless it is too old.
    #[must_use]
    pub fn reading(&self, endpoint: &EndpointId, now: Moment) -> Option<EngineReading> {
        self.known_reading(endpoint, now).map(|known| known.reading)
    }

    /// Returns how much slower than its profile an endpoint is.
    ///
    /// What streams measured counts if it is newer than the endpoint's own reading.
    #[must_use]
    pub fn slowdown(&self, endpoint: &EndpointId, now: Moment) -> f64 {
        let reading = self.known_reading(endpoint, now);
        let measured = self.pace.slowdown(&PathPart::Endpoint(endpoint.clone()), now);
        match (reading, measured) {
            (Some(known), Some((factor, at))) if at > known.at => {
                // Streams through it may all run over other slow parts, or over few of its layers.
                if factor > 1.0 {
                    factor
                } else {
                    known.reading.slowdown.max(1.0)
                }
            }
            (None, Some((factor, _))) => factor,
            (Some(known), _) => known.reading.slowdown.max(1.0),
            (None, None) => 1.0,
        }
    }

    /// Returns the time since the latest reading of an endpoint was requested, unless it is too old.
    #[must_use]
    pub fn reading_age(&self, endpoint: &EndpointId, now: Moment) -> Option<Duration> {
        self.known_reading(endpoint, now).map(|known| now.since(known.at))
    }

    fn known_reading(&self, endpoint: &EndpointId, now: Moment) -> Option<&KnownReading> {
        let known = self.readings.get(endpoint);
        known.filter(|known| now.since(known.at) < Self::READING_RETENTION)
    }

    /// Returns the readings that this host itself requested within the last `span`, for other hosts.
    ///
    /// Readings received from other hosts are not forwarded, or they would circulate without end.
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

    /// Returns the total usage by this host and its peers in the availability zone.
    #[must_use]
    pub fn zone_usage(&self, now: Moment) -> BTreeMap<EndpointId, EngineUsage> {
        let mut total = self.own.clone();
        let recent = self
            .peers
            .values()
            .filter(|remote| now.since(remote.received_at) < Self::REMOTE_RETENTION);
        for (endpoint, used) in recent.flat_map(|remote| &remote.used) {
            total.entry(endpoint.clone()).or_default().add(*used);
        }
        total
    }

    /// Returns the usage of an endpoint by this host, its peers and the other zones.
    #[must_use]
    pub fn total_usage(&self, endpoint: &EndpointId, now: Moment) -> EngineUsage {
        let mut total = self.own.get(endpoint).copied().unwrap_or_default();
        for remote in self.peers.values().chain(self.zones.values()) {
            if now.since(remote.received_at) < Self::REMOTE_RETENTION {
                total.add(remote.used.get(endpoint).copied().unwrap_or_default());
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

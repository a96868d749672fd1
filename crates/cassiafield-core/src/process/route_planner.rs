use {
    crate::{
        ids::{EndpointId, ModelId, Moment, ZoneId},
        process::{EndpointRecord, EndpointRole, EndpointTable, SlotAllocator},
        request::{RouteDraft, RouteError, RouteStage, StageRoute},
    },
    std::{collections::BTreeMap, fmt},
};

/// Which endpoints have room for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteCapacity {
    /// Those with room for an organisation that has its share.
    Slots,
    /// Those with room for an organisation below its share.
    Headroom,
    /// All, as for a stream that is resumed.
    Any,
}

impl RouteCapacity {
    const fn admits(self, in_flight: u32, slots: u32) -> bool {
        match self {
            RouteCapacity::Slots => in_flight < SlotAllocator::capacity(slots, false),
            RouteCapacity::Headroom => in_flight < SlotAllocator::capacity(slots, true),
            RouteCapacity::Any => true,
        }
    }
}

/// What a route is asked for.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// Endpoints that failed this request.
    pub excluded: &'a [EndpointId],
    /// The entry host's availability zone.
    pub zone: &'a ZoneId,
    /// Hash of the prompt's prefix; requests with the same hash prefer the same endpoints.
    pub prefix: u64,
    /// Which endpoints have room.
    pub capacity: RouteCapacity,
}

/// Why there is no route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlanError {
    /// The platform's list has no endpoint for the model.
    UnknownModel,
    /// The usable endpoints do not cover all layers.
    NoCover,
    /// Every covering route has an endpoint with all slots taken.
    Saturated,
    /// The chosen stages are not a route.
    Invalid(RouteError),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::UnknownModel => f.write_str("no endpoint runs the model"),
            PlanError::NoCover => f.write_str("the usable endpoints do not cover all layers"),
            PlanError::Saturated => f.write_str("all slots are taken"),
            PlanError::Invalid(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for PlanError {}

/// Chooses whole routes by least cost: links, load and prefix affinity together.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutePlanner;

/// The cheapest way found to run layers `0..end`, ending with the endpoint at `index`.
#[derive(Clone, Copy)]
struct PartialRoute {
    cost: u64,
    previous: Option<usize>,
}

impl RoutePlanner {
    /// Extra one-way time between availability zones, in microseconds.
    const CROSS_ZONE_MICROS: u64 = 500;
    /// Cost of an endpoint with all slots taken against an idle one, in microseconds.
    const LOAD_MICROS: u64 = 20_000;
    /// Cost of an endpoint that is not the prefix's first choice, in microseconds.
    const COLD_PREFIX_MICROS: u64 = 2_000;
    /// Cost of an endpoint that is ejected, or whose trial is running, in microseconds; it is chosen
    /// only when too much of its pool is ejected. One that is due for a trial costs nothing more,
    /// or it would never get one.
    const EJECTED_MICROS: u64 = 1_000_000;

    /// Chooses a route.
    ///
    /// # Errors
    ///
    /// Returns why no route can be had now.
    pub fn plan(
        &self,
        table: &EndpointTable,
        request: &RouteRequest<'_>,
        now: Moment,
    ) -> Result<StageRoute, PlanError> {
        let layers = model_layers(table, request.model).ok_or(PlanError::UnknownModel)?;
        let mut records = stage_records(table, request, now);
        if !covers(&records, layers) {
            return Err(PlanError::NoCover);
        }
        records.retain(|record| {
            request.capacity.admits(table.total_in_flight(&record.endpoint), record.slots)
        });
        records.sort_by_key(|record| (span_start(record), record.endpoint.clone()));
        let best = Self::search(table, request, &records, now);
        let last = cheapest_end(&records, &best, layers).ok_or(PlanError::Saturated)?;
        let stages = trace(&records, &best, last);
        let draft = RouteDraft { model: request.model.clone(), layers, stages };
        StageRoute::try_from(draft).map_err(PlanError::Invalid)
    }

    /// Finds the cheapest partial route that ends with each endpoint, in order of layers.
    fn search(
        table: &EndpointTable,
        request: &RouteRequest<'_>,
        records: &[&EndpointRecord],
        now: Moment,
    ) -> Vec<Option<PartialRoute>> {
        let mut best: Vec<Option<PartialRoute>> = Vec::with_capacity(records.len());
        let mut ending: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
        for (index, record) in records.iter().enumerate() {
            let own = Self::stage_cost(table, request, record, now);
            let found = if span_start(record) == 0 {
                let entry = zone_cost(request.zone, &record.zone);
                Some(PartialRoute { cost: entry + own, previous: None })
            } else {
                let previous = ending.get(&span_start(record)).map_or(&[][..], Vec::as_slice);
                let costs = previous.iter().filter_map(|&p| {
                    let link = u64::from(records[p].link_micros)
                        + zone_cost(&records[p].zone, &record.zone);
                    best[p].map(|route| (route.cost + link + own, p))
                });
                costs.min().map(|(cost, p)| PartialRoute { cost, previous: Some(p) })
            };
            best.push(found);
            ending.entry(span_end(record)).or_default().push(index);
        }
        best
    }

    fn stage_cost(
        table: &EndpointTable,
        request: &RouteRequest<'_>,
        record: &EndpointRecord,
        now: Moment,
    ) -> u64 {
        let running = u64::from(table.total_in_flight(&record.endpoint));
        let load = running * Self::LOAD_MICROS / u64::from(record.slots.max(1));
        let affinity = mix(request.prefix, record.endpoint.as_str()) % Self::COLD_PREFIX_MICROS;
        let suspicion = if table.admits(&record.endpoint, now) { 0 } else { Self::EJECTED_MICROS };
        let pace = u64::try_from(table.token_latency(&record.endpoint, now).as_micros());
        load + affinity + suspicion + pace.unwrap_or(u64::MAX / 1_024)
    }
}

fn model_layers(table: &EndpointTable, wanted: &ModelId) -> Option<u16> {
    table.records().find_map(|record| match &record.role {
        EndpointRole::Stage { model, layers, .. } if model == wanted => Some(*layers),
        _ => None,
    })
}

fn stage_records<'a>(
    table: &'a EndpointTable,
    request: &RouteRequest<'_>,
    now: Moment,
) -> Vec<&'a EndpointRecord> {
    let runs = |record: &&EndpointRecord| matches!(&record.role, EndpointRole::Stage { model, .. } if model == request.model);
    let mut records = table.usable(now);
    records.retain(|record| runs(record) && !request.excluded.contains(&record.endpoint));
    records
}

/// Says whether some chain of spans runs from layer 0 to `layers`.
fn covers(records: &[&EndpointRecord], layers: u16) -> bool {
    let mut spans: Vec<_> = records.iter().map(|r| (span_start(r), span_end(r))).collect();
    spans.sort_unstable();
    let mut reached = std::collections::BTreeSet::from([0]);
    for (start, end) in spans {
        if reached.contains(&start) {
            reached.insert(end);
        }
    }
    reached.contains(&layers)
}

fn cheapest_end(
    records: &[&EndpointRecord],
    best: &[Option<PartialRoute>],
    layers: u16,
) -> Option<usize> {
    let ends = (0..records.len()).filter(|&index| span_end(records[index]) == layers);
    let costs = ends.filter_map(|index| best[index].map(|route| (route.cost, index)));
    costs.min().map(|(_, index)| index)
}

fn trace(
    records: &[&EndpointRecord],
    best: &[Option<PartialRoute>],
    last: usize,
) -> Vec<RouteStage> {
    let mut stages = Vec::new();
    let mut next = Some(last);
    while let Some(index) = next {
        let record = records[index];
        if let EndpointRole::Stage { span, .. } = record.role {
            stages.push(RouteStage {
                endpoint: record.endpoint.clone(),
                address: record.address.clone(),
                span,
            });
        }
        next = best[index].and_then(|route| route.previous);
    }
    stages.reverse();
    stages
}

fn span_start(record: &EndpointRecord) -> u16 {
    match record.role {
        EndpointRole::Stage { span, .. } => span.start(),
        EndpointRole::Service { .. } => 0,
    }
}

fn span_end(record: &EndpointRecord) -> u16 {
    match record.role {
        EndpointRole::Stage { span, .. } => span.end(),
        EndpointRole::Service { .. } => 0,
    }
}

fn zone_cost(from: &ZoneId, to: &ZoneId) -> u64 {
    if from == to {
        0
    } else {
        RoutePlanner::CROSS_ZONE_MICROS
    }
}

/// Mixes a hash and a name by FNV-1a; the last bits decide affinity.
fn mix(seed: u64, name: &str) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    let mixed = name.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    mixed ^ (mixed >> 29)
}

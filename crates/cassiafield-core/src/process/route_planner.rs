use {
    crate::{
        ids::{EndpointId, ModelId, Moment, ZoneId},
        process::{EndpointRecord, EndpointRole, EndpointTable, SlotAllocator},
        request::{RouteDraft, RouteError, RouteStage, StageRoute},
    },
    std::{collections::BTreeMap, fmt},
};

/// The capacity limit up to which endpoints accept a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteCapacity {
    /// The limit for an organisation that uses its full share.
    Slots,
    /// The limit for an organisation below its share, which includes headroom.
    Headroom,
    /// No limit, for streams that are resumed.
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

/// The request that a route is planned for, and its constraints.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// Endpoints that have failed this request and must not be used.
    pub excluded: &'a [EndpointId],
    /// The availability zone of the entry host.
    pub zone: &'a ZoneId,
    /// Hash of the prompt's prefix; requests with the same hash prefer the same endpoints.
    pub prefix_hash: u64,
    /// The capacity limit of endpoints.
    pub capacity: RouteCapacity,
}

/// The reason why no route could be planned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RoutingError {
    /// The platform's list has no endpoint for the model.
    UnknownModel,
    /// The usable endpoints do not cover all layers.
    NoCover,
    /// Every route that covers all layers contains an endpoint without a free slot.
    Saturated,
    /// The chosen stages do not form a valid route.
    Invalid(RouteError),
}

impl fmt::Display for RoutingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RoutingError::UnknownModel => f.write_str("no endpoint runs the model"),
            RoutingError::NoCover => f.write_str("the usable endpoints do not cover all layers"),
            RoutingError::Saturated => f.write_str("all slots are taken"),
            RoutingError::Invalid(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RoutingError {}

/// Plans complete routes of minimum cost.
///
/// The cost of a route combines link latency, load, prefix affinity, endpoint health and token
/// latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutePlanner;

/// The cheapest route from layer 0 up to the end of an endpoint's span.
#[derive(Clone, Copy)]
struct PartialRoute {
    cost: u64,
    previous: Option<usize>,
}

impl RoutePlanner {
    /// Additional one-way latency between availability zones, in microseconds.
    const CROSS_ZONE_MICROS: u64 = 500;
    /// Penalty for an endpoint with all slots in use, compared to an idle one, in microseconds.
    const LOAD_MICROS: u64 = 20_000;
    /// Upper bound of the penalty for an endpoint without prefix affinity, in microseconds.
    const MAX_AFFINITY_MICROS: u64 = 2_000;
    /// Penalty for an endpoint that is ejected or whose trial is running, in microseconds.
    ///
    /// Such an endpoint is usable only while too much of its pool is ejected. An endpoint that is due
    /// for a trial has no penalty, or it would never get one.
    const EJECTION_MICROS: u64 = 1_000_000;

    /// Plans a route.
    ///
    /// # Errors
    ///
    /// Returns a [`RoutingError`] if no route is available at `now`.
    pub fn plan(
        &self,
        table: &EndpointTable,
        request: &RouteRequest<'_>,
        now: Moment,
    ) -> Result<StageRoute, RoutingError> {
        let layers = model_layers(table, request.model).ok_or(RoutingError::UnknownModel)?;
        let mut records = stage_records(table, request, now);
        if !covers(&records, layers) {
            return Err(RoutingError::NoCover);
        }
        records.retain(|record| {
            request.capacity.admits(table.total_in_flight(&record.endpoint), record.slots)
        });
        records.sort_by_key(|record| (span_start(record), record.endpoint.clone()));
        let best = Self::search(table, request, &records, now);
        let last = cheapest_end(&records, &best, layers).ok_or(RoutingError::Saturated)?;
        let stages = trace(&records, &best, last);
        let draft = RouteDraft { model: request.model.clone(), layers, stages };
        StageRoute::try_from(draft).map_err(RoutingError::Invalid)
    }

    /// Finds the cheapest partial route that ends with each endpoint; `records` are sorted by their
    /// first layer.
    fn search(
        table: &EndpointTable,
        request: &RouteRequest<'_>,
        records: &[&EndpointRecord],
        now: Moment,
    ) -> Vec<Option<PartialRoute>> {
        let mut best: Vec<Option<PartialRoute>> = Vec::with_capacity(records.len());
        let mut indices_by_end: BTreeMap<u16, Vec<usize>> = BTreeMap::new();
        for (index, record) in records.iter().enumerate() {
            let stage_cost = Self::stage_cost(table, request, record, now);
            let found = if span_start(record) == 0 {
                let entry_cost = zone_cost(request.zone, &record.zone);
                Some(PartialRoute { cost: entry_cost + stage_cost, previous: None })
            } else {
                let previous =
                    indices_by_end.get(&span_start(record)).map_or(&[][..], Vec::as_slice);
                let costs = previous.iter().filter_map(|&p| {
                    let link_cost = u64::from(records[p].link_micros)
                        + zone_cost(&records[p].zone, &record.zone);
                    best[p].map(|route| (route.cost + link_cost + stage_cost, p))
                });
                costs.min().map(|(cost, p)| PartialRoute { cost, previous: Some(p) })
            };
            best.push(found);
            indices_by_end.entry(span_end(record)).or_default().push(index);
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
        let load_penalty = running * Self::LOAD_MICROS / u64::from(record.slots.max(1));
        let affinity_penalty =
            combine_hash(request.prefix_hash, record.endpoint.as_str()) % Self::MAX_AFFINITY_MICROS;
        let ejection_penalty =
            if table.admits(&record.endpoint, now) { 0 } else { Self::EJECTION_MICROS };
        let token_micros = u64::try_from(table.token_latency(&record.endpoint, now).as_micros());
        load_penalty
            + affinity_penalty
            + ejection_penalty
            + token_micros.unwrap_or(u64::MAX / 1_024)
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

/// Returns `true` if a chain of adjacent spans covers layers `0..layers`.
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

/// Combines a hash and a name with FNV-1a; the remainder of the result decides the affinity.
fn combine_hash(seed: u64, name: &str) -> u64 {
    const PRIME: u64 = 0x0100_0000_01b3;
    let mixed = name.bytes().fold(seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    mixed ^ (mixed >> 29)
}

use {
    crate::{
        ids::{EndpointId, ModelId, Moment, ServiceId, ZoneId},
        process::{EndpointDirectory, EndpointEntry, EngineLoad, EngineProfile},
        request::{LayerSpan, RouteDraft, RouteStage, StageRoute},
    },
    compact_str::ToCompactString as _,
    std::{collections::BTreeSet, fmt},
};

/// What a path through the layers is asked for.
#[derive(Clone, Debug)]
pub struct PathRequest<'a> {
    /// The model.
    pub model: &'a ModelId,
    /// The service whose endpoints hold the model's layers.
    pub service: &'a ServiceId,
    /// The host's availability zone.
    pub zone: &'a ZoneId,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub answer_tokens: u32,
    /// Endpoints that failed this request.
    pub excluded: &'a [EndpointId],
    /// The endpoints that may be first, if the request may be sent to no others.
    pub allowed_firsts: Option<&'a [EndpointId]>,
}

/// A path and what it is expected to cost.
#[derive(Clone, Debug)]
pub struct PlannedPath {
    /// The endpoints and their layers in order.
    pub route: StageRoute,
    /// Expected time of one token, in milliseconds.
    pub token_ms: f64,
    /// Expected time to the first token on idle endpoints, in milliseconds.
    pub first_ms: f64,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathError {
    /// The endpoints in use do not hold all layers.
    NoCover,
    /// Every path has an endpoint without memory, or a first one without a slot, for the request.
    NoMemory {
        /// The first layer up to which no path has room.
        layer: u16,
    },
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PathError::NoCover => f.write_str("the endpoints in use do not hold all layers"),
            PathError::NoMemory { layer } => write!(f, "no path has room beyond layer {layer}"),
        }
    }
}

impl std::error::Error for PathError {}

/// Chooses paths over endpoints that hold ranges of layers, by the time of a token.
#[derive(Clone, Copy, Debug)]
pub struct PathPlanner<'a> {
    /// The endpoints.
    pub directory: &'a EndpointDirectory,
    /// What runs on them.
    pub load: &'a EngineLoad,
    /// The engine's figures.
    pub engine: &'a EngineProfile,
    /// The present.
    pub now: Moment,
}

struct Candidate<'a> {
    entry: &'a EndpointEntry,
    span: LayerSpan,
    /// Time of a token in one layer, in milliseconds.
    layer_ms: f64,
    /// Time to read the prompt in one layer, in milliseconds.
    read_ms: f64,
    /// Tokens in one layer for which there is memory.
    free: f64,
    /// Whether it has a slot for a stream of which it is the first endpoint.
    has_slot: bool,
    /// Whether the request may be sent to it.
    may_be_first: bool,
}

/// A way from the first layer up to a cut.
#[derive(Clone, Copy)]
struct Reached {
    cost: f64,
    token_ms: f64,
    first_ms: f64,
    /// The cut at which its last stage begins.
    from: usize,
    /// Which of the ways to that cut it goes on from.
    way: usize,
    /// The candidate that runs its last stage.
    by: usize,
}

/// The cheapest ways to each cut, cheapest first.
type ReachedWays = Vec<Vec<Reached>>;

impl<'a> PathPlanner<'a> {
    /// Fixed time of each further endpoint in a path for a token, in milliseconds.
    const HOP_MS: f64 = 0.2;
    /// Part of an endpoint's request memory that bookings may fill.
    const MEMORY_PART: f64 = 0.97;
    /// Part of an endpoint's request memory beyond which its refusals are put down to it; below it
    /// the endpoint refuses for a reason of its own, as when it is about to leave.
    const NEARLY_FULL_PART: f64 = 0.75;
    /// Part of an endpoint's slots that streams may fill; hosts learn of each other's late.
    const SLOT_PART: f64 = 0.95;
    /// Cost of leaving the availability zone, as time of a token in milliseconds: bytes between
    /// zones share one pipe, and a zone may be cut off.
    const ZONE_CROSSING_MS: f64 = 4.0;
    /// Ways to a layer that are kept, each with another last endpoint: the cheapest one may have
    /// used the only endpoint that could go on.
    const KEPT_WAYS: usize = 3;

    /// Chooses the path with the least time of a token.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn plan(&self, request: &PathRequest<'_>) -> Result<PlannedPath, PathError> {
        let sound = self.candidates(request, false);
        match self.search(request, &sound) {
            Err(PathError::NoCover) => self.search(request, &self.candidates(request, true)),
            found => found,
        }
    }

    /// Says whether the memory of an endpoint is in use as far as this host knows, so that it may
    /// refuse streams for want of it.
    #[must_use]
    pub fn is_nearly_full(&self, entry: &EndpointEntry) -> bool {
        let profile = entry.accelerator.as_ref().and_then(|kind| self.engine.accelerator(kind));
        let (Some(profile), Some(span)) = (profile, entry.span) else { return false };
        let room = self.engine.token_layer_capacity(profile, span.layers());
        self.load.used(&entry.endpoint, self.now) > room * Self::NEARLY_FULL_PART
    }

    /// Describes the endpoints that hold a layer, as [`PathPlanner::describe`] does.
    #[must_use]
    pub fn describe_holders(&self, service: &ServiceId, layer: u16) -> String {
        let holds = |span: &LayerSpan| span.start() <= layer && layer < span.end();
        let live = self.directory.live_entries(service);
        let holders = live.filter(|entry| entry.span.as_ref().is_some_and(holds));
        holders.map(|entry| self.describe(entry)).collect::<Vec<_>>().join(", ")
    }

    /// Describes what decides whether an endpoint takes a stream: tokens times layers in use, as
    /// booked, as reported, and in all, and the slots of streams that begin there.
    #[must_use]
    pub fn describe(&self, entry: &EndpointEntry) -> String {
        let endpoint = &entry.endpoint;
        let used = self.load.total(endpoint, self.now);
        let reading = self.load.reading(endpoint, self.now);
        let profile = entry.accelerator.as_ref().and_then(|kind| self.engine.accelerator(kind));
        let layers = entry.span.map_or(0, LayerSpan::layers);
        let room = profile.map_or(0.0, |profile| self.engine.token_layer_capacity(profile, layers));
        let suspect = if self.directory.is_suspect(endpoint, self.now) { " suspect" } else { "" };
        let full = if self.load.is_full(endpoint, self.now) { " full" } else { "" };
        format!(
            "{endpoint} {}{suspect}{full} used {:.0}k, booked {:.0}k, reported {}k of {:.0}k, \
             {} first of {}",
            entry.span.map_or_else(|| "empty".into(), |span| span.to_string()),
            self.load.used(endpoint, self.now) / 1e3,
            used.token_layers / 1e3,
            reading.map_or_else(|| "?".into(), |r| format!("{:.0}", r.used / 1e3)),
            room / 1e3,
            used.firsts,
            entry.slots,
        )
    }

    fn candidates(&self, request: &PathRequest<'_>, with_suspects: bool) -> Vec<Candidate<'a>> {
        let live = self.directory.live_entries(request.service);
        let allowed = live.filter(|entry| {
            !request.excluded.contains(&entry.endpoint)
                && (with_suspects || !self.directory.is_suspect(&entry.endpoint, self.now))
        });
        allowed.filter_map(|entry| self.candidate(request, entry)).collect()
    }

    fn candidate(
        &self,
        request: &PathRequest<'_>,
        entry: &'a EndpointEntry,
    ) -> Option<Candidate<'a>> {
        let span = entry.span.filter(|span| span.end() <= self.engine.layers)?;
        let profile = self.engine.accelerator(entry.accelerator.as_ref()?)?;
        let used = self.load.total(&entry.endpoint, self.now);
        let layers = f64::from(self.engine.layers);
        let context = used.token_layers / f64::from(span.layers()) / 1_000.0;
        let step_ms = self.engine.step_ms
            + self.engine.stream_ms * f64::from(used.streams + 1)
            + self.engine.context_ms * context;
        let read_ms = f64::from(request.prompt_tokens) / self.engine.read_per_ms.max(1e-9);
        let reading = self.load.reading(&entry.endpoint, self.now);
        let pace = reading.map_or(1.0, |reading| reading.pace.max(1.0));
        let room = self.engine.token_layer_capacity(profile, span.layers()) * Self::MEMORY_PART;
        let taken = self.load.used(&entry.endpoint, self.now);
        Some(Candidate {
            entry,
            span,
            layer_ms: step_ms * profile.step_factor * pace / layers,
            read_ms: read_ms * profile.read_factor * pace / layers,
            free: if self.load.is_full(&entry.endpoint, self.now) { 0.0 } else { room - taken },
            has_slot: f64::from(used.firsts + 1) <= f64::from(entry.slots) * Self::SLOT_PART,
            may_be_first: request
                .allowed_firsts
                .is_none_or(|firsts| firsts.contains(&entry.endpoint)),
        })
    }

    fn search(
        &self,
        request: &PathRequest<'_>,
        candidates: &[Candidate<'a>],
    ) -> Result<PlannedPath, PathError> {
        let tokens = f64::from(request.prompt_tokens + request.answer_tokens);
        let (found, layer) = self.cheapest(request, candidates, Some(tokens));
        match found {
            Some(path) => Ok(path),
            None if self.cheapest(request, candidates, None).0.is_some() => {
                Err(PathError::NoMemory { layer })
            }
            None => Err(PathError::NoCover),
        }
    }

    /// Finds the cheapest path by layers; `tokens` need memory at each endpoint, if given. Returns
    /// also the last layer reached.
    fn cheapest(
        &self,
        request: &PathRequest<'_>,
        candidates: &[Candidate<'a>],
        tokens: Option<f64>,
    ) -> (Option<PlannedPath>, u16) {
        let mut cuts: BTreeSet<u16> = BTreeSet::from([0, self.engine.layers]);
        for candidate in candidates {
            cuts.extend([candidate.span.start(), candidate.span.end()]);
        }
        let cuts: Vec<u16> = cuts.into_iter().collect();
        let mut reached: ReachedWays = vec![Vec::new(); cuts.len()];
        for at in 0..cuts.len() {
            for (by, candidate) in candidates.iter().enumerate() {
                let is_apart =
                    candidate.span.start() > cuts[at] || candidate.span.end() <= cuts[at];
                let is_barred = at == 0 && !candidate.may_be_first;
                let is_busy = is_barred || tokens.is_some() && at == 0 && !candidate.has_slot;
                if is_apart || is_busy {
                    continue;
                }
                let way = reached[at].iter().position(|way| !is_visited(&reached, *way, by));
                if at > 0 && way.is_none() {
                    continue;
                }
                for to in at + 1..cuts.len() {
                    let layers = f64::from(cuts[to] - cuts[at]);
                    let is_full = tokens.is_some_and(|tokens| tokens * layers > candidate.free);
                    if cuts[to] > candidate.span.end() || is_full {
                        break;
                    }
                    let before = way.map(|way| reached[at][way]);
                    let next = self.extend(request, candidates, before, by, layers);
                    let next = Reached { from: at, way: way.unwrap_or(0), ..next };
                    keep_way(&mut reached[to], next);
                }
            }
        }
        let last = reached.iter().rposition(|ways| !ways.is_empty());
        let layer = last.map_or(0, |index| cuts[index]);
        (self.trace(request, candidates, &cuts, &reached), layer)
    }

    fn extend(
        &self,
        request: &PathRequest<'_>,
        candidates: &[Candidate<'a>],
        before: Option<Reached>,
        by: usize,
        layers: f64,
    ) -> Reached {
        let candidate = &candidates[by];
        let previous = before.map_or(request.zone, |reached| &candidates[reached.by].entry.zone);
        let mut hop_ms = Self::HOP_MS;
        let mut crossing_ms = 0.0;
        if previous != &candidate.entry.zone {
            hop_ms += self.engine.zone_delay_ms;
            crossing_ms = Self::ZONE_CROSSING_MS;
        }
        let token_ms = candidate.layer_ms * layers + hop_ms;
        let first_ms = candidate.read_ms * layers + hop_ms;
        // The first event and the answer's tokens weigh as the caller waits for them.
        let reading = first_ms / f64::from(request.answer_tokens.max(1));
        let start = Reached { cost: 0.0, token_ms: 0.0, first_ms: 0.0, from: 0, way: 0, by };
        let base = before.unwrap_or(start);
        Reached {
            cost: base.cost + token_ms + reading + crossing_ms,
            token_ms: base.token_ms + token_ms,
            first_ms: base.first_ms + first_ms,
            by,
            ..start
        }
    }

    fn trace(
        &self,
        request: &PathRequest<'_>,
        candidates: &[Candidate<'a>],
        cuts: &[u16],
        reached: &ReachedWays,
    ) -> Option<PlannedPath> {
        let last = *reached.last()?.first()?;
        let mut step = last;
        let mut stages: Vec<RouteStage> = Vec::new();
        let mut at = cuts.len() - 1;
        while at > 0 {
            let entry = candidates[step.by].entry;
            let span = LayerSpan::try_from((cuts[step.from], cuts[at])).ok()?;
            stages.push(RouteStage {
                endpoint: entry.endpoint.clone(),
                address: entry.address.to_compact_string(),
                span,
            });
            at = step.from;
            if at > 0 {
                step = *reached[at].get(step.way)?;
            }
        }
        stages.reverse();
        let draft = RouteDraft { model: request.model.clone(), layers: self.engine.layers, stages };
        let route = StageRoute::try_from(draft).ok()?;
        Some(PlannedPath { route, token_ms: last.token_ms, first_ms: last.first_ms })
    }
}

/// Adds a way to those that lead to the same cut, if it is among the cheapest.
fn keep_way(ways: &mut Vec<Reached>, next: Reached) {
    match ways.iter().position(|way| way.by == next.by) {
        Some(index) if ways[index].cost <= next.cost => return,
        Some(index) => {
            ways.remove(index);
        }
        None => {}
    }
    let place = ways.partition_point(|way| way.cost <= next.cost);
    ways.insert(place, next);
    ways.truncate(PathPlanner::KEPT_WAYS);
}

/// Says whether a way passes through a candidate; an endpoint must not appear twice in a path.
fn is_visited(reached: &ReachedWays, way: Reached, by: usize) -> bool {
    let mut step = way;
    while step.by != by {
        if step.from == 0 {
            return false;
        }
        step = reached[step.from][step.way];
    }
    true
}

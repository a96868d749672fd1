use {
    crate::{
        ids::{EndpointId, ZoneId},
        process::{Candidate, CandidateFilter, LinkTable, PathPlanner, PathRequest},
        request::{LayerSpan, RouteDraft, RouteStage, StageRoute},
    },
    compact_str::ToCompactString as _,
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// A stream whose path has lost endpoints.
#[derive(Clone, Debug)]
pub struct ReplacementRequest<'a> {
    /// The path in use.
    pub route: &'a StageRoute,
    /// The endpoints of the path that must be replaced.
    pub failed: &'a [EndpointId],
    /// What is planned for: `prompt_tokens` are all tokens so far, `output_tokens` those still expected.
    pub request: PathRequest<'a>,
    /// What is left of the gap objective.
    pub time_left: Duration,
    /// Time that endpoints need for the prompts which they are already reading again for this host.
    pub backlog: &'a BTreeMap<EndpointId, Duration>,
    /// Number of hosts whose streams are likely to lose the same endpoints at the same time.
    pub hosts: usize,
    /// Differs between requests, so that hosts which know nothing of each other choose different endpoints.
    pub seed: u64,
}

/// A path in which a few stages are new.
#[derive(Clone, Debug)]
pub struct ReplacementPlan {
    /// The whole path.
    pub route: StageRoute,
    /// The new stages, and how long each reads the tokens so far.
    pub reads: Vec<(EndpointId, Duration)>,
    /// Planned time until all new stages have read the tokens so far, with the expected wait for other prompts.
    pub read_time: Duration,
}

/// Why the failed stages of a path cannot be replaced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplacementError {
    /// The first endpoint, which takes the orders, is one of them, or none of them is on the path.
    FirstEndpoint,
    /// No other endpoints hold their layers and have room.
    NoCandidate {
        /// The first layer without another endpoint.
        layer: u16,
    },
    /// The path would have too many stages.
    TooLong,
}

impl fmt::Display for ReplacementError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReplacementError::FirstEndpoint => f.write_str("the first endpoint must be replaced"),
            ReplacementError::NoCandidate { layer } => {
                write!(f, "no other endpoint has room for the layers from {layer} on")
            }
            ReplacementError::TooLong => f.write_str("the path would have too many stages"),
        }
    }
}

impl std::error::Error for ReplacementError {}

/// Plans the replacement of failed stages; all other stages are kept.
///
/// The search runs over the layers of each gap only.
#[derive(Clone, Copy, Debug)]
pub struct StageReplacement<'a> {
    /// The planner of whole paths, with the state of the endpoints.
    pub planner: PathPlanner<'a>,
}

/// A partial replacement, from the start of a gap up to a layer.
#[derive(Clone)]
struct PartialGap {
    cost: f64,
    read_ms: f64,
    /// Index of each stage's candidate, its layers, and its reading time in milliseconds.
    stages: Vec<(usize, LayerSpan, f64)>,
}

/// The layers between two stages that are kept.
struct Gap<'a> {
    from: u16,
    to: u16,
    /// Zone of the stage before it.
    before: Option<&'a ZoneId>,
    /// Zone of the stage after it; `None` if the gap ends the path.
    after: Option<&'a ZoneId>,
    max_stages: usize,
}

impl<'a> StageReplacement<'a> {
    /// Maximum number of stages of a path that endpoints accept.
    const MAX_STAGES: usize = 32;
    /// Number of partial replacements kept per layer boundary.
    const KEPT: usize = 6;
    /// Cost of a replacement that misses the gap objective, in milliseconds of waiting; higher than that of
    /// the slowest answer.
    const LATE_MS: f64 = 1e5;
    /// Weight of a millisecond before the next event, relative to one spread over later events: only the former
    /// may miss the objective.
    const RESTART_WEIGHT: f64 = 30.0;

    /// Plans the cheapest replacement, one within the time left if there is one.
    ///
    /// Endpoints under suspicion are considered only without others.
    ///
    /// # Errors
    ///
    /// Returns a [`ReplacementError`] if the failed stages cannot be replaced.
    pub fn plan(
        &self,
        request: &ReplacementRequest<'a>,
    ) -> Result<ReplacementPlan, ReplacementError> {
        let (first, rest) =
            request.route.stages().split_first().ok_or(ReplacementError::FirstEndpoint)?;
        let has_failed = |stage: &RouteStage| request.failed.contains(&stage.endpoint);
        if has_failed(first) || !rest.iter().any(has_failed) {
            return Err(ReplacementError::FirstEndpoint);
        }
        let kept = request.route.stages().iter().map(|stage| &stage.endpoint);
        let excluded: Vec<EndpointId> =
            kept.chain(request.failed).chain(request.request.excluded).cloned().collect();
        // The lifetime of the exclusions is shorter than that of the planner's state.
        let narrowed = PathRequest { excluded: &excluded, ..request.request.clone() };
        let healthy = self.fill(request, &narrowed, CandidateFilter::Healthy);
        match healthy {
            Err(ReplacementError::NoCandidate { .. }) => {
                self.fill(request, &narrowed, CandidateFilter::Usable)
            }
            found => found,
        }
    }

    fn fill(
        &self,
        request: &ReplacementRequest<'_>,
        narrowed: &PathRequest<'_>,
        filter: CandidateFilter,
    ) -> Result<ReplacementPlan, ReplacementError> {
        let links = LinkTable::new(&self.planner, narrowed);
        let candidates = self.planner.candidates(narrowed, &links, filter);
        let (route, failed) = (request.route, request.failed);
        let has_failed = |stage: &RouteStage| failed.contains(&stage.endpoint);
        let zone_of = |stage: &RouteStage| {
            self.planner.directory.entry(&stage.endpoint).map(|entry| &entry.zone)
        };
        let kept_count = route.stages().iter().filter(|stage| !has_failed(stage)).count();
        let mut stages: Vec<RouteStage> = Vec::new();
        let mut used: Vec<usize> = Vec::new();
        let (mut reads, mut read_ms) = (Vec::new(), 0.0);
        let mut rest = route.stages();
        while let Some((stage, after)) = rest.split_first() {
            if !has_failed(stage) {
                stages.push(stage.clone());
                rest = after;
                continue;
            }
            let length = rest.iter().take_while(|stage| has_failed(stage)).count();
            let (lost, after) = rest.split_at(length);
            let gap = Gap {
                from: stage.span.start(),
                to: lost.last().map_or(stage.span.end(), |last| last.span.end()),
                before: stages.last().and_then(zone_of),
                after: after.first().and_then(zone_of),
                max_stages: Self::MAX_STAGES.saturating_sub(kept_count + used.len()),
            };
            let found = self.search(request, narrowed, &links, &candidates, &used, &gap)?;
            for (index, span, stage_ms) in found.stages {
                let entry = candidates[index].entry;
                reads.push((entry.endpoint.clone(), bounded_time(stage_ms)));
                stages.push(RouteStage {
                    endpoint: entry.endpoint.clone(),
                    address: entry.address.to_compact_string(),
                    span,
                });
                used.push(index);
            }
            read_ms += found.read_ms;
            rest = after;
        }
        let draft =
            RouteDraft { model: route.model().clone(), layers: self.planner.engine.layers, stages };
        let layer = route.stages().first().map_or(0, |stage| stage.span.end());
        let route =
            StageRoute::try_from(draft).map_err(|_| ReplacementError::NoCandidate { layer })?;
        Ok(ReplacementPlan { route, reads, read_time: bounded_time(read_ms) })
    }

    fn search(
        &self,
        request: &ReplacementRequest<'_>,
        narrowed: &PathRequest<'_>,
        links: &LinkTable<'_>,
        candidates: &[Candidate<'_>],
        used: &[usize],
        gap: &Gap<'_>,
    ) -> Result<PartialGap, ReplacementError> {
        let mut boundaries: Vec<u16> = vec![gap.from, gap.to];
        let inside = |layer: &u16| gap.from < *layer && *layer < gap.to;
        let spans = candidates.iter().map(|candidate| candidate.span);
        boundaries.extend(spans.flat_map(|span| [span.start(), span.end()]).filter(inside));
        boundaries.sort_unstable();
        boundaries.dedup();
        let start = PartialGap { cost: 0.0, read_ms: 0.0, stages: Vec::new() };
        let mut partial: Vec<Vec<PartialGap>> = vec![Vec::new(); boundaries.len()];
        partial[0].push(start);
        for at in 0..boundaries.len() - 1 {
            for base in partial[at].clone() {
                for (index, candidate) in candidates.iter().enumerate() {
                    let (layer, span) = (boundaries[at], candidate.span);
                    let is_used = used.contains(&index)
                        || base.stages.iter().any(|(known, ..)| *known == index);
                    if is_used || span.start() > layer || span.end() <= layer {
                        continue;
                    }
                    for (to, end) in boundaries.iter().enumerate().skip(at + 1) {
                        let Ok(part) = LayerSpan::try_from((layer, *end)) else { continue };
                        if *end > span.end() || !has_room(narrowed, candidate, part) {
                            break;
                        }
                        let is_last = to + 1 == boundaries.len();
                        let step = GapStep { index, part, is_last };
                        let next =
                            self.extend(request, narrowed, links, candidates, &base, gap, step);
                        if let Some(next) = next.filter(|n| n.stages.len() <= gap.max_stages) {
                            keep_cheapest(&mut partial[to], next);
                        }
                    }
                }
            }
        }
        let reached = partial.iter().rposition(|found| !found.is_empty()).unwrap_or(0);
        let left_ms = request.time_left.as_secs_f64() * 1e3;
        let cost = |found: &PartialGap| {
            found.cost + if found.read_ms > left_ms { Self::LATE_MS } else { 0.0 }
        };
        let best = partial.pop().into_iter().flatten().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        match best {
            Some(found) => Ok(found),
            None if gap.max_stages == 0 => Err(ReplacementError::TooLong),
            None => Err(ReplacementError::NoCandidate { layer: boundaries[reached] }),
        }
    }

    /// Extends a partial replacement by a stage; `None` if a link that it needs is used up.
    #[allow(clippy::too_many_arguments, reason = "the inputs of one search step")]
    fn extend(
        &self,
        request: &ReplacementRequest<'_>,
        narrowed: &PathRequest<'_>,
        links: &LinkTable<'_>,
        candidates: &[Candidate<'_>],
        base: &PartialGap,
        gap: &Gap<'_>,
        step: GapStep,
    ) -> Option<PartialGap> {
        let candidate = &candidates[step.index];
        let layers = f64::from(step.part.layers());
        let mut token_ms = candidate.layer_ms * layers + PathPlanner::HOP_MS;
        let mut stage_ms = candidate.prefill_ms * layers + PathPlanner::HOP_MS;
        let endpoint = &candidate.entry.endpoint;
        // Other hosts send as many streams there as this one, and each of them one more now.
        let hosts = request.hosts.max(1) as f64;
        let own_ms = request.backlog.get(endpoint).map_or(0.0, |wait| wait.as_secs_f64() * 1e3);
        let others_ms = stage_ms * (hosts - 1.0) * spread(endpoint, request.seed);
        let wait_ms = own_ms * hosts + others_ms;
        let read_ms = stage_ms;
        let zone = candidate.zone_index;
        let before = match base.stages.last() {
            Some((index, ..)) => Some(candidates[*index].zone_index),
            None => gap.before.map(|found| links.index(found)),
        };
        let after = gap.after.filter(|_| step.is_last).map(|found| links.index(found));
        for other in [before, after].into_iter().flatten().filter(|other| *other != zone) {
            let link = links.state(other, zone);
            if link.used > PathPlanner::MAX_LINK_FRACTION {
                return None;
            }
            let link_ms = self.planner.link_wait_ms(link);
            let tokens = narrowed.prompt_tokens;
            token_ms += link_ms + PathPlanner::ZONE_CROSSING_MS;
            stage_ms += link_ms + self.planner.engine.transfer_ms(tokens);
        }
        let remaining = f64::from(narrowed.output_tokens.max(1));
        let mut next = base.clone();
        next.cost += token_ms * remaining + (stage_ms + wait_ms) * Self::RESTART_WEIGHT;
        next.read_ms += stage_ms + wait_ms;
        next.stages.push((step.index, step.part, read_ms));
        Some(next)
    }
}

/// The extension of a partial replacement by one stage.
#[derive(Clone, Copy)]
struct GapStep {
    index: usize,
    part: LayerSpan,
    /// Whether the stage ends the gap.
    is_last: bool,
}

fn has_room(request: &PathRequest<'_>, candidate: &Candidate<'_>, part: LayerSpan) -> bool {
    let tokens = f64::from(request.prompt_tokens) + f64::from(request.output_tokens);
    tokens * f64::from(part.layers()) <= candidate.free
}

/// Inserts a partial replacement if it is among the cheapest, or the soonest, to its boundary.
fn keep_cheapest(known: &mut Vec<PartialGap>, next: PartialGap) {
    let last = next.stages.last().map(|(index, ..)| *index);
    let same = known.iter().position(|k| k.stages.last().map(|(index, ..)| *index) == last);
    match same {
        Some(index) if known[index].cost <= next.cost => return,
        Some(index) => drop(known.remove(index)),
        None => {}
    }
    let position = known.partition_point(|found| found.cost <= next.cost);
    known.insert(position, next);
    if known.len() > StageReplacement::KEPT {
        let soonest = known.iter().map(|found| found.read_ms).fold(f64::INFINITY, f64::min);
        let surplus = known.iter().rposition(|found| found.read_ms > soonest);
        known.remove(surplus.unwrap_or(known.len() - 1));
    }
}

/// Returns a fraction from 0 to 1 for an endpoint, which differs with the seed.
fn spread(endpoint: &EndpointId, seed: u64) -> f64 {
    let mut hash = seed ^ 0xcbf2_9ce4_8422_2325;
    for byte in endpoint.as_str().bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    f64::from((hash >> 40) as u32) / f64::from(1_u32 << 24)
}

/// Converts a planned time; it is limited to a day, since endpoints may report absurd values.
fn bounded_time(millis: f64) -> Duration {
    const MAX_MILLIS: f64 = 24.0 * 3_600.0 * 1e3;
    let millis = if millis.is_nan() { MAX_MILLIS } else { millis.clamp(0.0, MAX_MILLIS) };
    Duration::from_secs_f64(millis / 1e3)
}

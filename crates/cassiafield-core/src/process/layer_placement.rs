use {
    crate::{
        ids::{EndpointId, ZoneId},
        process::{AcceleratorProfile, EngineProfile, ZoneCostModel},
        request::LayerSpan,
    },
    std::collections::BTreeMap,
};

/// An endpoint on which layers may be placed.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Profile of its accelerator.
    pub profile: AcceleratorProfile,
    /// The layers that it holds or has been ordered to hold.
    pub held: Option<LayerSpan>,
    /// Whether it is still loading the layers of its last order.
    pub is_loading: bool,
    /// Whether orders are deferred because it may be about to replace another endpoint.
    pub is_deferred: bool,
    /// Whether streams run through it; it releases layers only after these streams have ended.
    pub is_busy: bool,
}

/// The layers that an endpoint is to hold from now on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerAssignment {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers.
    pub span: LayerSpan,
}

/// Decides which layers the endpoints of a model hold.
///
/// Each availability zone is placed independently, so that it can serve requests while it is
/// partitioned from the others. In a zone without any layers, complete replicas of the model are
/// built from the fastest accelerators first, each on as few endpoints as leave enough memory for
/// requests. After that endpoints keep their layers: an empty endpoint is placed where it lowers
/// the cost most, and one that holds layers is moved only if the gain is large.
#[derive(Clone, Copy, Debug)]
pub struct LayerPlacement<'a> {
    /// Performance and memory figures of the engine.
    pub engine: &'a EngineProfile,
    /// Whether the links between zones are nearly used up.
    ///
    /// A zone without a complete replica then cannot serve its requests with layers of other zones,
    /// and several of its endpoints change their layers at the same time to complete the replica.
    pub are_links_scarce: bool,
}

/// The state of one zone during planning.
struct ZonePlan<'a> {
    candidates: Vec<&'a PlacementCandidate>,
    spans: Vec<Option<LayerSpan>>,
    cost_model: ZoneCostModel,
}

impl LayerPlacement<'_> {
    /// Fraction of the memory that weights may take in a replica with ample request memory.
    const AMPLE_WEIGHT_FRACTION: f64 = 0.62;
    /// Largest fraction of the memory that weights may take.
    const MAX_WEIGHT_FRACTION: f64 = 0.83;
    /// Smallest fraction of the memory that weights take on an endpoint that is placed on its own.
    const MIN_WEIGHT_FRACTION: f64 = 0.45;
    /// Time within which a move must pay off, in seconds; endpoints join and leave about as often.
    const MOVE_HORIZON_SECONDS: f64 = 20.0;
    /// Assumed length of the longest answer among the streams of an endpoint, as a multiple of the
    /// mean.
    const LONGEST_ANSWER_FACTOR: f64 = 3.0;
    /// Step factor that is assumed for the paths of the streams that must end before an endpoint
    /// releases layers; the actual one is higher on slow endpoints and lower on fast ones.
    const DRAIN_STEP_FACTOR: f64 = 10.0;
    /// Fraction of the zone's cost over the horizon that a move must save.
    const MIN_MOVE_GAIN_FRACTION: f64 = 0.04;

    /// Returns the endpoints whose layers are to change, with their new layers.
    #[must_use]
    pub fn assign(&self, candidates: &[PlacementCandidate]) -> Vec<LayerAssignment> {
        let mut zones: BTreeMap<&ZoneId, Vec<&PlacementCandidate>> = BTreeMap::new();
        for candidate in candidates {
            zones.entry(&candidate.zone).or_default().push(candidate);
        }
        zones.into_values().flat_map(|candidates| self.assign_zone(candidates)).collect()
    }

    fn assign_zone(&self, mut candidates: Vec<&PlacementCandidate>) -> Vec<LayerAssignment> {
        candidates.sort_by(|a, b| {
            let by_speed = a.profile.step_factor.total_cmp(&b.profile.step_factor);
            by_speed.then_with(|| a.endpoint.cmp(&b.endpoint))
        });
        let spans: Vec<_> = candidates.iter().map(|candidate| candidate.held).collect();
        let cost_model =
            ZoneCostModel::new(self.engine, candidates.iter().map(|candidate| &candidate.profile));
        let mut plan = ZonePlan { candidates, spans, cost_model };
        if plan.spans.iter().all(Option::is_none) {
            self.place_replicas(&mut plan);
        } else {
            for (candidate, span) in plan.candidates.iter().zip(&plan.spans) {
                if let Some(span) = span {
                    plan.cost_model.add(self.engine, &candidate.profile, *span);
                }
            }
        }
        for index in 0..plan.candidates.len() {
            if plan.spans[index].is_none() && !plan.candidates[index].is_deferred {
                self.place_single(&mut plan, index);
            }
        }
        if !(self.are_links_scarce && self.repair_cover(&mut plan)) {
            self.move_best(&mut plan);
        }
        let placed = plan.candidates.iter().zip(&plan.spans);
        let changed = placed.filter(|(candidate, span)| span.is_some() && candidate.held != **span);
        changed
            .filter_map(|(candidate, span)| {
                let endpoint = candidate.endpoint.clone();
                span.map(|span| LayerAssignment { endpoint, span })
            })
            .collect()
    }

    /// Builds complete replicas from the first endpoints while there are enough of them.
    fn place_replicas(&self, plan: &mut ZonePlan<'_>) {
        let mut start = 0;
        while let Some(taken) = self.replica_size(&plan.candidates[start..]) {
            let spans = self.replica_spans(&plan.candidates[start..start + taken]);
            for (offset, span) in spans.into_iter().enumerate() {
                self.set_span(plan, start + offset, Some(span));
            }
            start += taken;
        }
    }

    /// Places one endpoint where it lowers the zone's cost most.
    fn place_single(&self, plan: &mut ZonePlan<'_>, index: usize) {
        let profile = &plan.candidates[index].profile;
        let best = self.best_span(&plan.cost_model, profile, |_| true);
        self.set_span(plan, index, best.map(|(span, _)| span));
    }

    /// Extends and moves endpoints until they hold all layers of the zone; returns `true` if any was
    /// changed.
    ///
    /// No layer that has a holder loses its last one, so the zone never serves less than before.
    /// Several endpoints are changed at the same time, since a zone without a complete replica sends
    /// the prompts of all its requests over links to other zones.
    fn repair_cover(&self, plan: &mut ZonePlan<'_>) -> bool {
        let mut is_changed = vec![false; plan.candidates.len()];
        loop {
            let uncovered = plan.cost_model.uncovered_layers();
            if uncovered == 0 {
                break;
            }
            let mut best: Option<(usize, f64, usize, LayerSpan)> = None;
            for (index, candidate) in plan.candidates.iter().enumerate() {
                let is_movable = !candidate.is_loading && !is_changed[index];
                let Some(held) = candidate.held.filter(|_| is_movable) else { continue };
                let mut without = plan.cost_model.clone();
                without.remove(self.engine, &candidate.profile, held);
                let keeps_cover = |span: LayerSpan| without.is_covered_outside(held, span);
                let span = self.best_span(&without, &candidate.profile, keeps_cover);
                let Some((span, cost)) = span else { continue };
                let remaining = without.uncovered_outside(span);
                let is_better = remaining < uncovered
                    && best.is_none_or(|(least, lowest, ..)| (remaining, cost) < (least, lowest));
                if is_better {
                    best = Some((remaining, cost, index, span));
                }
            }
            let Some((_, _, index, span)) = best else { break };
            self.set_span(plan, index, Some(span));
            is_changed[index] = true;
        }
        is_changed.contains(&true)
    }

    /// Moves the endpoint whose move saves most, unless another one is still loading.
    ///
    /// While it loads, an endpoint serves only the layers that it keeps.
    fn move_best(&self, plan: &mut ZonePlan<'_>) {
        if plan.candidates.iter().any(|candidate| candidate.is_loading) {
            return;
        }
        let current_cost = plan.cost_model.cost();
        let mut best: Option<(f64, usize, LayerSpan)> = None;
        for index in 0..plan.candidates.len() {
            let Some(held) = plan.candidates[index].held else { continue };
            let profile = &plan.candidates[index].profile;
            let mut without = plan.cost_model.clone();
            without.remove(self.engine, profile, held);
            let best_span = self.best_span(&without, profile, |_| true);
            let Some((span, new_cost)) = best_span else { continue };
            if let Some(kept) = overlap(held, span) {
                without.add(self.engine, profile, kept);
            }
            let new_layers = span.layers() - overlap(held, span).map_or(0, LayerSpan::layers);
            let load_fraction = f64::from(new_layers) / f64::from(self.engine.layers.max(1));
            let drain_seconds =
                if plan.candidates[index].is_busy { self.drain_seconds() } else { 0.0 };
            let load_seconds = drain_seconds + self.engine.load_seconds * load_fraction;
            let loading_loss = (without.cost() - current_cost).max(0.0) * load_seconds;
            let saving = (current_cost - new_cost) * (Self::MOVE_HORIZON_SECONDS - load_seconds)
                - loading_loss;
            let min_saving =
                current_cost * Self::MIN_MOVE_GAIN_FRACTION * Self::MOVE_HORIZON_SECONDS;
            if saving > best.map_or(min_saving, |(saving, ..)| saving) {
                best = Some((saving, index, span));
            }
        }
        if let Some((_, index, span)) = best {
            self.set_span(plan, index, Some(span));
        }
    }

    /// Returns the expected time until the streams on released layers have ended, in seconds.
    fn drain_seconds(&self) -> f64 {
        let tokens = f64::from(self.engine.mean_output_tokens) * Self::LONGEST_ANSWER_FACTOR;
        tokens * self.engine.step_ms * Self::DRAIN_STEP_FACTOR / 1e3
    }

    fn set_span(&self, plan: &mut ZonePlan<'_>, index: usize, span: Option<LayerSpan>) {
        let profile = &plan.candidates[index].profile;
        if let Some(held) = plan.spans[index] {
            plan.cost_model.remove(self.engine, profile, held);
        }
        if let Some(span) = span {
            plan.cost_model.add(self.engine, profile, span);
        }
        plan.spans[index] = span;
    }

    /// Returns the allowed span of an endpoint that lowers the zone's cost most, and the resulting
    /// cost.
    fn best_span(
        &self,
        cost_model: &ZoneCostModel,
        profile: &AcceleratorProfile,
        is_allowed: impl Fn(LayerSpan) -> bool,
    ) -> Option<(LayerSpan, f64)> {
        let min_layers = self.engine.layers_within(profile, Self::MIN_WEIGHT_FRACTION).max(1);
        let max_layers = self.engine.layers_within(profile, Self::MAX_WEIGHT_FRACTION);
        (min_layers..=max_layers)
            .flat_map(|count| cost_model.candidate_costs(self.engine, profile, count))
            .filter(|(span, _)| is_allowed(*span))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns how many of the first endpoints form a replica.
    ///
    /// If a replica with ample memory is impossible, or needs a slower kind than a tight one does,
    /// the replica is a tight one that uses all endpoints of its slowest kind.
    fn replica_size(&self, candidates: &[&PlacementCandidate]) -> Option<usize> {
        let last_needed = |fraction: f64| {
            let mut layers = 0;
            candidates.iter().position(|candidate| {
                layers += self.engine.layers_within(&candidate.profile, fraction);
                layers >= self.engine.layers
            })
        };
        let tight = last_needed(Self::MAX_WEIGHT_FRACTION)? + 1;
        let Some(ample) = last_needed(Self::AMPLE_WEIGHT_FRACTION).map(|index| index + 1) else {
            return Some(self.extend_over_same_kind(candidates, tight));
        };
        let slowest = candidates[tight - 1].profile.step_factor;
        if candidates[ample - 1].profile.step_factor > slowest {
            return Some(self.extend_over_same_kind(candidates, tight));
        }
        Some(ample)
    }

    /// Extends `end` over the following candidates that are as fast as the one before it.
    fn extend_over_same_kind(&self, candidates: &[&PlacementCandidate], end: usize) -> usize {
        let step_factor = candidates[end - 1].profile.step_factor;
        let more = candidates[end..]
            .iter()
            .take_while(|candidate| candidate.profile.step_factor <= step_factor);
        end + more.count()
    }

    /// Splits all layers over the endpoints of a replica in proportion to their memory.
    fn replica_spans(&self, candidates: &[&PlacementCandidate]) -> Vec<LayerSpan> {
        let max_layers: Vec<u16> = candidates
            .iter()
            .map(|candidate| {
                self.engine.layers_within(&candidate.profile, Self::MAX_WEIGHT_FRACTION)
            })
            .collect();
        let mut counts = vec![0_u16; candidates.len()];
        for _ in 0..self.engine.layers {
            let available =
                (0..candidates.len()).filter(|&index| counts[index] < max_layers[index]);
            let next = available.max_by(|&a, &b| {
                let memory_per_layer =
                    |i: usize| candidates[i].profile.memory_mb / f64::from(counts[i] + 1);
                memory_per_layer(a).total_cmp(&memory_per_layer(b))
            });
            if let Some(index) = next {
                counts[index] += 1;
            }
        }
        let mut start = 0;
        let mut spans = Vec::with_capacity(candidates.len());
        for count in counts {
            spans.extend(LayerSpan::try_from((start, start + count)));
            start += count;
        }
        spans
    }
}

/// Returns the intersection of two spans.
fn overlap(a: LayerSpan, b: LayerSpan) -> Option<LayerSpan> {
    LayerSpan::try_from((a.start().max(b.start()), a.end().min(b.end()))).ok()
}

use {
    crate::{
        ids::{EndpointId, ZoneId},
        process::{AcceleratorProfile, EngineProfile, ZoneCostModel},
        request::LayerSpan,
    },
    std::collections::BTreeMap,
};

/// An endpoint that layers may be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementCandidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Figures of its accelerator.
    pub profile: AcceleratorProfile,
    /// The layers that it holds or was told to hold.
    pub held: Option<LayerSpan>,
    /// Whether it has not finished its last order.
    pub is_loading: bool,
    /// Whether it gets no order yet, since it may be about to replace another endpoint.
    pub is_waiting: bool,
    /// Whether streams run through it; layers that it gives up wait for their end.
    pub is_busy: bool,
}

/// Layers that an empty endpoint is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerAssignment {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers.
    pub span: LayerSpan,
}

/// Decides which layers the endpoints of a model hold.
///
/// Each availability zone is placed by itself, so that it can serve when it is cut off. In a zone
/// that holds nothing, copies of all layers are built from the fastest accelerators first, as few
/// to a copy as leave memory for requests. After that endpoints keep what they hold: empty ones go
/// where they help most, and one that holds layers is moved only if that helps much.
#[derive(Clone, Copy, Debug)]
pub struct LayerPlacement<'a> {
    /// The engine's figures.
    pub engine: &'a EngineProfile,
}

/// The endpoints of one zone while their layers are decided.
struct ZonePlan<'a> {
    candidates: Vec<&'a PlacementCandidate>,
    spans: Vec<Option<LayerSpan>>,
    value: ZoneCostModel,
}

impl LayerPlacement<'_> {
    /// Part of the memory that weights take in a copy with room to spare.
    const ROOMY_PART: f64 = 0.62;
    /// Largest part of the memory that weights take.
    const TIGHT_PART: f64 = 0.83;
    /// Smallest part of the memory that weights take on an endpoint placed by itself.
    const LOOSE_PART: f64 = 0.45;
    /// Time for which a move must pay, in seconds; endpoints come and go about as often.
    const MOVE_HORIZON: f64 = 20.0;
    /// Longest answer of the streams that run through an endpoint, in usual answers.
    const LONGEST_ANSWERS: f64 = 3.0;
    /// Step factor of the paths that such streams take, for the time of a token; those of slow
    /// endpoints are slower, those of fast ones faster.
    const DRAIN_FACTOR: f64 = 10.0;
    /// Part of the zone's cost over that time that a move must save.
    const MOVE_GAIN: f64 = 0.04;

    /// Returns what endpoints are to hold that hold something else.
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
            let pace = a.profile.step_factor.total_cmp(&b.profile.step_factor);
            pace.then_with(|| a.endpoint.cmp(&b.endpoint))
        });
        let spans: Vec<_> = candidates.iter().map(|candidate| candidate.held).collect();
        let value =
            ZoneCostModel::new(self.engine, candidates.iter().map(|candidate| &candidate.profile));
        let mut plan = ZonePlan { candidates, spans, value };
        if plan.spans.iter().all(Option::is_none) {
            self.place_copies(&mut plan);
        } else {
            for (candidate, span) in plan.candidates.iter().zip(&plan.spans) {
                if let Some(span) = span {
                    plan.value.add(self.engine, &candidate.profile, *span);
                }
            }
        }
        for index in 0..plan.candidates.len() {
            if plan.spans[index].is_none() && !plan.candidates[index].is_waiting {
                self.place_single(&mut plan, index);
            }
        }
        self.move_one(&mut plan);
        let placed = plan.candidates.iter().zip(&plan.spans);
        let changed = placed.filter(|(candidate, span)| span.is_some() && candidate.held != **span);
        changed
            .filter_map(|(candidate, span)| {
                let endpoint = candidate.endpoint.clone();
                span.map(|span| LayerAssignment { endpoint, span })
            })
            .collect()
    }

    /// Builds whole copies from the front of the endpoints for as long as there are enough.
    fn place_copies(&self, plan: &mut ZonePlan<'_>) {
        let mut start = 0;
        while let Some(taken) = self.copy_size(&plan.candidates[start..]) {
            let spans = self.copy_spans(&plan.candidates[start..start + taken]);
            for (offset, span) in spans.into_iter().enumerate() {
                self.set_span(plan, start + offset, Some(span));
            }
            start += taken;
        }
    }

    /// Places one endpoint where it helps most.
    fn place_single(&self, plan: &mut ZonePlan<'_>, index: usize) {
        let best = self.best_span(&plan.value, &plan.candidates[index].profile);
        self.set_span(plan, index, best.map(|(span, _)| span));
    }

    /// Moves the one endpoint whose move pays most, unless another one still loads: while it
    /// loads, an endpoint serves only the layers that it keeps.
    fn move_one(&self, plan: &mut ZonePlan<'_>) {
        if plan.candidates.iter().any(|candidate| candidate.is_loading) {
            return;
        }
        let before = plan.value.cost();
        let mut best: Option<(f64, usize, LayerSpan)> = None;
        for index in 0..plan.candidates.len() {
            let Some(held) = plan.candidates[index].held else { continue };
            let profile = &plan.candidates[index].profile;
            let mut without = plan.value.clone();
            without.remove(self.engine, profile, held);
            let Some((span, after)) = self.best_span(&without, profile) else { continue };
            if let Some(kept) = overlap(held, span) {
                without.add(self.engine, profile, kept);
            }
            let new_layers = span.layers() - overlap(held, span).map_or(0, LayerSpan::layers);
            let load_part = f64::from(new_layers) / f64::from(self.engine.layers.max(1));
            let drain_seconds =
                if plan.candidates[index].is_busy { self.drain_seconds() } else { 0.0 };
            let load_seconds = drain_seconds + self.engine.load_seconds * load_part;
            let lost = (without.cost() - before).max(0.0) * load_seconds;
            let saved = (before - after) * (Self::MOVE_HORIZON - load_seconds) - lost;
            let least = before * Self::MOVE_GAIN * Self::MOVE_HORIZON;
            if saved > best.map_or(least, |(most, ..)| most) {
                best = Some((saved, index, span));
            }
        }
        if let Some((_, index, span)) = best {
            self.set_span(plan, index, Some(span));
        }
    }

    /// Returns how long an endpoint waits for the streams on the layers that it gives up.
    fn drain_seconds(&self) -> f64 {
        let tokens = f64::from(self.engine.mean_answer_tokens) * Self::LONGEST_ANSWERS;
        tokens * self.engine.step_ms * Self::DRAIN_FACTOR / 1e3
    }

    fn set_span(&self, plan: &mut ZonePlan<'_>, index: usize, span: Option<LayerSpan>) {
        let profile = &plan.candidates[index].profile;
        if let Some(held) = plan.spans[index] {
            plan.value.remove(self.engine, profile, held);
        }
        if let Some(span) = span {
            plan.value.add(self.engine, profile, span);
        }
        plan.spans[index] = span;
    }

    /// Returns the span with which an endpoint helps a zone most, and the zone's cost with it.
    fn best_span(
        &self,
        value: &ZoneCostModel,
        profile: &AcceleratorProfile,
    ) -> Option<(LayerSpan, f64)> {
        let least = self.engine.layers_within(profile, Self::LOOSE_PART).max(1);
        let most = self.engine.layers_within(profile, Self::TIGHT_PART);
        (least..=most)
            .flat_map(|count| value.candidate_costs(self.engine, profile, count))
            .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns how many of the first endpoints make a copy.
    ///
    /// All endpoints of the slowest kind needed are used when a roomy copy needs some of them
    /// and a tight one would do without.
    fn copy_size(&self, candidates: &[&PlacementCandidate]) -> Option<usize> {
        let within = |part: f64| {
            let mut layers = 0;
            candidates.iter().position(|candidate| {
                layers += self.engine.layers_within(&candidate.profile, part);
                layers >= self.engine.layers
            })
        };
        let tight = within(Self::TIGHT_PART)? + 1;
        let Some(roomy) = within(Self::ROOMY_PART).map(|index| index + 1) else {
            return Some(self.same_kind_end(candidates, tight));
        };
        let slowest = candidates[tight - 1].profile.step_factor;
        if candidates[roomy - 1].profile.step_factor > slowest {
            return Some(self.same_kind_end(candidates, tight));
        }
        Some(roomy)
    }

    /// Returns the end of the run of candidates that are as fast as the one before `end`.
    fn same_kind_end(&self, candidates: &[&PlacementCandidate], end: usize) -> usize {
        let pace = candidates[end - 1].profile.step_factor;
        let more =
            candidates[end..].iter().take_while(|candidate| candidate.profile.step_factor <= pace);
        end + more.count()
    }

    /// Splits all layers over the endpoints of a copy by their memory.
    fn copy_spans(&self, candidates: &[&PlacementCandidate]) -> Vec<LayerSpan> {
        let most: Vec<u16> = candidates
            .iter()
            .map(|candidate| self.engine.layers_within(&candidate.profile, Self::TIGHT_PART))
            .collect();
        let mut counts = vec![0_u16; candidates.len()];
        for _ in 0..self.engine.layers {
            let open = (0..candidates.len()).filter(|&index| counts[index] < most[index]);
            let next = open.max_by(|&a, &b| {
                let room = |i: usize| candidates[i].profile.memory_mb / f64::from(counts[i] + 1);
                room(a).total_cmp(&room(b))
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

/// Returns the layers that two spans share.
fn overlap(a: LayerSpan, b: LayerSpan) -> Option<LayerSpan> {
    LayerSpan::try_from((a.start().max(b.start()), a.end().min(b.end()))).ok()
}

use {
    crate::{
        ids::{EndpointId, ZoneId},
        process::{AcceleratorProfile, EngineProfile},
        request::LayerSpan,
    },
    std::collections::BTreeMap,
};

/// An endpoint that layers may be placed on.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementCard {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Figures of its accelerator.
    pub profile: AcceleratorProfile,
    /// The layers that it holds or was told to hold.
    pub held: Option<LayerSpan>,
}

/// Layers that an empty endpoint is to hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LayerAssignment {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers.
    pub span: LayerSpan,
}

/// Decides which layers empty endpoints hold; those that hold layers keep them.
///
/// Each availability zone is placed by itself, so that it can serve when it is cut off. Copies of
/// all layers are built from the fastest accelerators first, as few to a copy as leave memory for
/// requests. Endpoints that make no further copy double the layers that the fewest hold.
#[derive(Clone, Copy, Debug)]
pub struct LayerPlacement<'a> {
    /// The engine's figures.
    pub engine: &'a EngineProfile,
}

impl LayerPlacement<'_> {
    /// Part of the memory that weights take in a copy with room to spare.
    const ROOMY_PART: f64 = 0.62;
    /// Largest part of the memory that weights take in a copy.
    const TIGHT_PART: f64 = 0.83;
    /// Part of the memory that weights take on an endpoint outside whole copies.
    const SINGLE_PART: f64 = 0.72;

    /// Returns what each empty endpoint is to hold.
    #[must_use]
    pub fn assign(&self, cards: &[PlacementCard]) -> Vec<LayerAssignment> {
        let mut zones: BTreeMap<&ZoneId, Vec<&PlacementCard>> = BTreeMap::new();
        for card in cards {
            zones.entry(&card.zone).or_default().push(card);
        }
        zones.into_values().flat_map(|cards| self.assign_zone(cards)).collect()
    }

    fn assign_zone(&self, cards: Vec<&PlacementCard>) -> Vec<LayerAssignment> {
        let mut weight = vec![0.0; usize::from(self.engine.layers)];
        for card in &cards {
            if let Some(span) = card.held {
                add_weight(&mut weight, span, &card.profile);
            }
        }
        let mut empty: Vec<&PlacementCard> =
            cards.into_iter().filter(|card| card.held.is_none()).collect();
        empty.sort_by(|a, b| {
            let pace = a.profile.step_factor.total_cmp(&b.profile.step_factor);
            pace.then_with(|| a.endpoint.cmp(&b.endpoint))
        });
        let mut assigned = Vec::new();
        if weight.iter().all(|&held| held == 0.0) {
            while let Some(taken) = self.copy_size(&empty) {
                let rest = empty.split_off(taken);
                for (card, span) in empty.iter().zip(self.copy_spans(&empty)) {
                    add_weight(&mut weight, span, &card.profile);
                    assigned.push(LayerAssignment { endpoint: card.endpoint.clone(), span });
                }
                empty = rest;
            }
        }
        for card in empty {
            if let Some(span) = self.thinnest_span(&weight, &card.profile) {
                add_weight(&mut weight, span, &card.profile);
                assigned.push(LayerAssignment { endpoint: card.endpoint.clone(), span });
            }
        }
        assigned
    }

    /// Returns how many of the first endpoints make a copy.
    ///
    /// All endpoints of the slowest kind needed are used when a roomy copy needs some of them
    /// and a tight one would do without.
    fn copy_size(&self, cards: &[&PlacementCard]) -> Option<usize> {
        let within = |part: f64| {
            let mut layers = 0;
            cards.iter().position(|card| {
                layers += self.engine.layers_within(&card.profile, part);
                layers >= self.engine.layers
            })
        };
        let tight = within(Self::TIGHT_PART)? + 1;
        let Some(roomy) = within(Self::ROOMY_PART).map(|index| index + 1) else {
            return Some(self.same_kind_end(cards, tight));
        };
        let slowest = cards[tight - 1].profile.step_factor;
        if cards[roomy - 1].profile.step_factor > slowest {
            return Some(self.same_kind_end(cards, tight));
        }
        Some(roomy)
    }

    /// Returns the end of the run of cards that are as fast as the one before `end`.
    fn same_kind_end(&self, cards: &[&PlacementCard], end: usize) -> usize {
        let pace = cards[end - 1].profile.step_factor;
        let more = cards[end..].iter().take_while(|card| card.profile.step_factor <= pace);
        end + more.count()
    }

    /// Splits all layers over the endpoints of a copy by their memory.
    fn copy_spans(&self, cards: &[&PlacementCard]) -> Vec<LayerSpan> {
        let most: Vec<u16> = cards
            .iter()
            .map(|card| self.engine.layers_within(&card.profile, Self::TIGHT_PART))
            .collect();
        let mut counts = vec![0_u16; cards.len()];
        for _ in 0..self.engine.layers {
            let open = (0..cards.len()).filter(|&index| counts[index] < most[index]);
            let next = open.max_by(|&a, &b| {
                let room = |i: usize| cards[i].profile.memory_mb / f64::from(counts[i] + 1);
                room(a).total_cmp(&room(b))
            });
            if let Some(index) = next {
                counts[index] += 1;
            }
        }
        let mut start = 0;
        let mut spans = Vec::with_capacity(cards.len());
        for count in counts {
            spans.extend(LayerSpan::try_from((start, start + count)));
            start += count;
        }
        spans
    }

    /// Returns the run of layers that the fewest fast endpoints hold.
    fn thinnest_span(&self, weight: &[f64], profile: &AcceleratorProfile) -> Option<LayerSpan> {
        let usual = self.engine.layers_within(profile, Self::SINGLE_PART).max(1);
        let most = self.engine.layers_within(profile, Self::TIGHT_PART);
        let hole = weight.iter().position(|&held| held == 0.0);
        if let Some(start) = hole {
            let width = weight[start..].iter().take_while(|&&held| held == 0.0).count();
            let width = u16::try_from(width).unwrap_or(u16::MAX);
            let count = if width <= most { width } else { usual };
            let start = u16::try_from(start).ok()?;
            return LayerSpan::try_from((start, start + count)).ok();
        }
        let last = self.engine.layers.checked_sub(usual)?;
        let total = |start: u16| -> f64 {
            weight[usize::from(start)..usize::from(start + usual)].iter().sum()
        };
        let start = (0..=last).min_by(|&a, &b| total(a).total_cmp(&total(b)))?;
        LayerSpan::try_from((start, start + usual)).ok()
    }
}

/// Adds an endpoint's speed to the layers that it holds.
fn add_weight(weight: &mut [f64], span: LayerSpan, profile: &AcceleratorProfile) {
    let held = usize::from(span.start())..usize::from(span.end()).min(weight.len());
    for layer in weight.get_mut(held).unwrap_or_default() {
        *layer += 1.0 / profile.step_factor;
    }
}

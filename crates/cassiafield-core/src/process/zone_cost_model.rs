use crate::{
    process::{AcceleratorProfile, EngineProfile},
    request::LayerSpan,
};

/// Cost of a placement of layers on the endpoints of an availability zone.
///
/// At each layer the zone's demand for memory is served by the fastest endpoints first. The cost of
/// a layer is the mean step factor over that demand; demand for which the zone has no memory counts
/// as served by other zones, at a high step factor. The cost after the loss of the endpoint that
/// serves most of the layer is added with a lower weight.
#[derive(Clone, Debug)]
pub struct ZoneCostModel {
    /// Demand for memory at each layer, in tokens.
    demand: f64,
    /// The endpoints that hold each layer, fastest first.
    holders: Vec<Vec<LayerHolder>>,
    cost: f64,
}

/// One endpoint that holds a layer.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LayerHolder {
    step_factor: f64,
    /// Memory for requests at this layer, in tokens.
    tokens: f64,
}

impl ZoneCostModel {
    /// Step factor of demand that is served outside the zone; higher than that of any accelerator.
    const REMOTE_STEP_FACTOR: f64 = 40.0;
    /// Cost of a layer that no endpoint of the zone holds, as a multiple of serving it outside the
    /// zone: without the layer, a partitioned zone serves nothing.
    const UNCOVERED_COST_FACTOR: f64 = 10.0;
    /// Assumed demand, as a fraction of the zone's memory beside the weights of one replica, spread
    /// evenly over all layers.
    ///
    /// The rest is a reserve for the loss of an endpoint and for an uneven distribution of layers.
    const DEMAND_FRACTION: f64 = 0.4;

    /// Weight of a layer's cost after the loss of the endpoint that serves most of it.
    const LOSS_WEIGHT: f64 = 0.3;

    /// Creates the cost model of a zone whose endpoints hold no layers yet.
    #[must_use]
    pub fn new<'a>(
        engine: &EngineProfile,
        profiles: impl IntoIterator<Item = &'a AcceleratorProfile>,
    ) -> Self {
        let memory_mb: f64 = profiles.into_iter().map(|profile| profile.memory_mb).sum();
        let weights_mb = engine.layer_mb * f64::from(engine.layers);
        let tokens = (memory_mb - weights_mb).max(0.0) * 1e6 / engine.token_bytes.max(1.0);
        let layers = usize::from(engine.layers);
        Self {
            demand: (tokens * Self::DEMAND_FRACTION).max(1.0),
            holders: vec![Vec::new(); layers],
            cost: Self::REMOTE_STEP_FACTOR
                * (Self::UNCOVERED_COST_FACTOR + Self::LOSS_WEIGHT)
                * f64::from(engine.layers),
        }
    }

    /// Returns the cost of the placement; lower is better.
    #[must_use]
    pub const fn cost(&self) -> f64 {
        self.cost
    }

    /// Returns the number of layers that no endpoint holds.
    #[must_use]
    pub fn uncovered_layers(&self) -> usize {
        self.holders.iter().filter(|holders| holders.is_empty()).count()
    }

    /// Returns the number of layers that neither any endpoint nor `span` holds.
    #[must_use]
    pub fn uncovered_outside(&self, span: LayerSpan) -> usize {
        let inside = self.indices(span);
        let layers = self.holders.iter().enumerate();
        layers.filter(|(layer, held)| held.is_empty() && !inside.contains(layer)).count()
    }

    /// Returns `true` if an endpoint holds each layer of `released` that is not in `kept`.
    #[must_use]
    pub fn is_covered_outside(&self, released: LayerSpan, kept: LayerSpan) -> bool {
        let inside = self.indices(kept);
        let mut lost = self.indices(released).filter(|layer| !inside.contains(layer));
        lost.all(|layer| !self.holders[layer].is_empty())
    }

    /// Adds an endpoint that holds `span`.
    pub fn add(&mut self, engine: &EngineProfile, profile: &AcceleratorProfile, span: LayerSpan) {
        let holder = LayerHolder::new(engine, profile, span);
        for layer in self.indices(span) {
            self.cost -= self.layer_cost(layer, None);
            let holders = &mut self.holders[layer];
            let index = holders.partition_point(|held| held.step_factor < holder.step_factor);
            holders.insert(index, holder);
            self.cost += self.layer_cost(layer, None);
        }
    }

    /// Removes an endpoint that holds `span`.
    pub fn remove(
        &mut self,
        engine: &EngineProfile,
        profile: &AcceleratorProfile,
        span: LayerSpan,
    ) {
        let holder = LayerHolder::new(engine, profile, span);
        for layer in self.indices(span) {
            self.cost -= self.layer_cost(layer, None);
            let holders = &mut self.holders[layer];
            if let Some(index) = holders.iter().position(|held| *held == holder) {
                holders.remove(index);
            }
            self.cost += self.layer_cost(layer, None);
        }
    }

    /// Returns all spans of `count` layers, each with the zone's cost after an endpoint with that span
    /// is added.
    #[must_use]
    pub fn candidate_costs(
        &self,
        engine: &EngineProfile,
        profile: &AcceleratorProfile,
        count: u16,
    ) -> Vec<(LayerSpan, f64)> {
        let Ok(first) = LayerSpan::try_from((0, count)) else { return Vec::new() };
        let holder = LayerHolder::new(engine, profile, first);
        let saved: Vec<f64> = (0..self.holders.len())
            .map(|layer| self.layer_cost(layer, None) - self.layer_cost(layer, Some(holder)))
            .collect();
        let mut costs = Vec::new();
        for start in 0..=engine.layers.saturating_sub(count) {
            if let Ok(span) = LayerSpan::try_from((start, start + count)) {
                let gain: f64 = saved[self.indices(span)].iter().sum();
                costs.push((span, self.cost - gain));
            }
        }
        costs
    }

    /// Returns the cost of one layer, optionally with an additional endpoint.
    fn layer_cost(&self, layer: usize, additional: Option<LayerHolder>) -> f64 {
        let mut holders = self.holders[layer].clone();
        if let Some(additional_holder) = additional {
            let index =
                holders.partition_point(|held| held.step_factor < additional_holder.step_factor);
            holders.insert(index, additional_holder);
        }
        let current = if holders.is_empty() {
            Self::REMOTE_STEP_FACTOR * Self::UNCOVERED_COST_FACTOR
        } else {
            self.served_cost(&holders)
        };
        let largest = holders.iter().enumerate().max_by(|(_, a), (_, b)| {
            let weight = |held: &LayerHolder| held.tokens.min(self.demand) / held.step_factor;
            weight(a).total_cmp(&weight(b))
        });
        if let Some((index, _)) = largest {
            holders.remove(index);
        }
        current + Self::LOSS_WEIGHT * self.served_cost(&holders)
    }

    /// Returns the mean step factor over the demand, which is served by `holders` in order.
    fn served_cost(&self, holders: &[LayerHolder]) -> f64 {
        let mut remaining = self.demand;
        let mut cost = 0.0;
        for holder in holders {
            let served = holder.tokens.min(remaining);
            cost += served * holder.step_factor;
            remaining -= served;
        }
        (cost + remaining * Self::REMOTE_STEP_FACTOR) / self.demand
    }

    fn indices(&self, span: LayerSpan) -> std::ops::Range<usize> {
        let end = usize::from(span.end()).min(self.holders.len());
        usize::from(span.start()).min(end)..end
    }
}

impl LayerHolder {
    fn new(engine: &EngineProfile, profile: &AcceleratorProfile, span: LayerSpan) -> Self {
        let held = span.layers();
        let tokens = engine.token_layer_capacity(profile, held) / f64::from(held.max(1));
        Self { step_factor: profile.step_factor, tokens }
    }
}

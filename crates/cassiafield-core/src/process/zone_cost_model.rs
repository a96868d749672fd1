use crate::{
    process::{AcceleratorProfile, EngineProfile},
    request::LayerSpan,
};

/// What the endpoints of an availability zone can carry, by layer.
///
/// At each layer the zone's demand for memory is met by the fastest endpoints first. The cost of a
/// layer is the mean step factor over that demand; what no endpoint of the zone has memory for
/// counts as carried by other zones, slowly. The cost after the loss of the endpoint that carries
/// most of the layer counts too, with a lower weight.
#[derive(Clone, Debug)]
pub struct ZoneCostModel {
    demand: f64,
    /// By layer: step factor and memory in tokens of each endpoint that holds it, fastest first.
    holders: Vec<Vec<LayerHolder>>,
    cost: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct LayerHolder {
    factor: f64,
    tokens: f64,
}

impl ZoneCostModel {
    /// Step factor that counts where no endpoint of the zone has memory; above that of any kind.
    const OUTSIDE_FACTOR: f64 = 40.0;
    /// Cost of a layer that no endpoint of the zone holds, in multiples of what carrying it outside
    /// costs: a zone that is cut off serves nothing without it.
    const HOLE_COST: f64 = 10.0;
    /// Part of a zone's memory for requests, spread evenly over all layers, that is demanded. The
    /// rest is what the loss of an endpoint and uneven layers cost.
    const DEMAND_PART: f64 = 0.4;

    /// Weight of a layer's cost after the loss of the endpoint that carries most of it.
    const LOSS_WEIGHT: f64 = 0.3;

    /// Creates the value of a zone whose endpoints hold nothing yet.
    #[must_use]
    pub fn new<'a>(
        engine: &EngineProfile,
        profiles: impl IntoIterator<Item = &'a AcceleratorProfile>,
    ) -> Self {
        let memory_mb: f64 = profiles.into_iter().map(|profile| profile.memory_mb).sum();
        let weights_mb = engine.layer_mb * f64::from(engine.layers);
        let tokens = (memory_mb - weights_mb).max(0.0) * 1e6 / engine.kv_token_bytes.max(1.0);
        let layers = usize::from(engine.layers);
        Self {
            demand: (tokens * Self::DEMAND_PART).max(1.0),
            holders: vec![Vec::new(); layers],
            cost: Self::OUTSIDE_FACTOR
                * (Self::HOLE_COST + Self::LOSS_WEIGHT)
                * f64::from(engine.layers),
        }
    }

    /// Returns the cost; lower is better.
    #[must_use]
    pub const fn cost(&self) -> f64 {
        self.cost
    }

    /// Adds an endpoint that holds `span`.
    pub fn add(&mut self, engine: &EngineProfile, profile: &AcceleratorProfile, span: LayerSpan) {
        let holder = LayerHolder::new(engine, profile, span);
        for layer in self.indices(span) {
            self.cost -= self.layer_cost(layer, None);
            let holders = &mut self.holders[layer];
            let index = holders.partition_point(|held| held.factor < holder.factor);
            holders.insert(index, holder);
            self.cost += self.layer_cost(layer, None);
        }
    }

    /// Takes an endpoint that holds `span` away again.
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

    /// Returns the spans of `count` layers by start, each with the cost that it would leave.
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

    /// Returns the cost of one layer, with one more endpoint if given.
    fn layer_cost(&self, layer: usize, more: Option<LayerHolder>) -> f64 {
        let mut holders = self.holders[layer].clone();
        if let Some(own) = more {
            let index = holders.partition_point(|held| held.factor < own.factor);
            holders.insert(index, own);
        }
        let whole = if holders.is_empty() {
            Self::OUTSIDE_FACTOR * Self::HOLE_COST
        } else {
            self.carried_cost(&holders)
        };
        let most = holders.iter().enumerate().max_by(|(_, a), (_, b)| {
            let weight = |held: &LayerHolder| held.tokens.min(self.demand) / held.factor;
            weight(a).total_cmp(&weight(b))
        });
        if let Some((index, _)) = most {
            holders.remove(index);
        }
        whole + Self::LOSS_WEIGHT * self.carried_cost(&holders)
    }

    /// Returns the mean step factor over the demand, met by the first endpoints first.
    fn carried_cost(&self, holders: &[LayerHolder]) -> f64 {
        let mut open = self.demand;
        let mut cost = 0.0;
        for holder in holders {
            let carried = holder.tokens.min(open);
            cost += carried * holder.factor;
            open -= carried;
        }
        (cost + open * Self::OUTSIDE_FACTOR) / self.demand
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
        Self { factor: profile.step_factor, tokens }
    }
}

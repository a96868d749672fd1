use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, OrganisationId},
        process::EndpointRecord,
        version::FleetLists,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Running and queued requests of a host, averaged over a few seconds, by model and organisation.
pub type DemandMap = BTreeMap<ModelId, BTreeMap<OrganisationId, f64>>;

/// A compact encoding of a host's load: organisations and models are indexes into the sorted lists,
/// endpoints are 32-bit hashes.
///
/// The demand can only be decoded with the revision of the lists that it was encoded with.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LoadDigest {
    /// Requests in flight, by endpoint hash.
    #[serde(rename = "f")]
    in_flight: Vec<(u32, u32)>,
    /// Demand in sixteenths of a request, by model index and organisation index.
    #[serde(rename = "d")]
    demands: Vec<(u16, u16, u32)>,
}

impl LoadDigest {
    /// Units in which the demand of one request is encoded.
    const UNITS_PER_REQUEST: f64 = 16.0;

    /// Encodes a host's load.
    #[must_use]
    pub fn pack(
        lists: &FleetLists,
        in_flight: &BTreeMap<EndpointId, u32>,
        demands: &DemandMap,
    ) -> Self {
        let models = planned_models(lists);
        let organisations: BTreeMap<&OrganisationId, u16> =
            lists.organisations.keys().zip(0..).collect();
        let mut packed = Vec::new();
        for (model, demand) in demands {
            let Ok(model) = models.binary_search(&model) else { continue };
            for (organisation, amount) in demand {
                let units = (amount * Self::UNITS_PER_REQUEST).round() as u32;
                if let Some(number) = organisations.get(organisation).filter(|_| units > 0) {
                    packed.push((model as u16, *number, units));
                }
            }
        }
        let in_flight = in_flight.iter().map(|(endpoint, count)| (endpoint_hash(endpoint), *count));
        Self { in_flight: in_flight.collect(), demands: packed }
    }

    /// Decodes the demand with the lists that it was encoded with.
    #[must_use]
    pub fn demands(&self, lists: &FleetLists) -> DemandMap {
        let models = planned_models(lists);
        let organisations: Vec<&OrganisationId> = lists.organisations.keys().collect();
        let mut demands = DemandMap::new();
        for (model, organisation, units) in &self.demands {
            let model = models.get(usize::from(*model));
            let organisation = organisations.get(usize::from(*organisation));
            if let (Some(model), Some(organisation)) = (model, organisation) {
                let demand = demands.entry((*model).clone()).or_default();
                demand.insert((*organisation).clone(), f64::from(*units) / Self::UNITS_PER_REQUEST);
            }
        }
        demands
    }

    /// Returns the requests in flight at the endpoints of `records`.
    #[must_use]
    pub fn in_flight<'a>(
        &self,
        records: impl Iterator<Item = &'a EndpointRecord>,
    ) -> BTreeMap<EndpointId, u32> {
        let counts: BTreeMap<u32, u32> = self.in_flight.iter().copied().collect();
        let known = records.filter_map(|record| {
            let count = counts.get(&endpoint_hash(&record.endpoint))?;
            Some((record.endpoint.clone(), *count))
        });
        known.collect()
    }
}

fn planned_models(lists: &FleetLists) -> Vec<&ModelId> {
    let models: BTreeSet<&ModelId> =
        lists.plans.values().flat_map(|plan| &plan.limits.models).collect();
    models.into_iter().collect()
}

/// Returns the 32-bit FNV-1a hash of an endpoint id.
fn endpoint_hash(endpoint: &EndpointId) -> u32 {
    endpoint
        .as_str()
        .bytes()
        .fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

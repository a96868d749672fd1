use {
    crate::ids::OrganisationId,
    std::collections::{BTreeMap, VecDeque},
};

/// A queue of waiting requests with start-time fair queueing over organisations.
///
/// Organisations with waiting requests are served in proportion to their weights, measured in cost.
/// Requests of one organisation keep their order of arrival. Ties are broken by order of arrival,
/// never by name.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<OrganisationId, QueueFlow<T>>,
    virtual_time: f64,
    arrivals: u64,
}

#[derive(Clone, Debug)]
struct QueueFlow<T> {
    finish_time: f64,
    waiting: VecDeque<QueueItem<T>>,
}

#[derive(Clone, Debug)]
struct QueueItem<T> {
    start_time: f64,
    arrival: u64,
    value: T,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self { flows: BTreeMap::new(), virtual_time: 0.0, arrivals: 0 }
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiting.len()).sum()
    }

    /// Returns `true` if no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.waiting.is_empty())
    }

    /// Returns the number of waiting requests of each organisation that has any.
    #[must_use]
    pub fn backlog(&self) -> BTreeMap<OrganisationId, usize> {
        let flows = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        flows.map(|(organisation, flow)| (organisation.clone(), flow.waiting.len())).collect()
    }

    /// Adds a request with a cost in estimated tokens.
    pub fn push(&mut self, organisation: &OrganisationId, weight: u32, cost: f64, value: T) {
        self.arrivals += 1;
        let min_start_time = self.virtual_time;
        let flow = self
            .flows
            .entry(organisation.clone())
            .or_insert_with(|| QueueFlow { finish_time: 0.0, waiting: VecDeque::new() });
        let start_time = flow.finish_time.max(min_start_time);
        flow.finish_time = start_time + cost / f64::from(weight.max(1));
        flow.waiting.push_back(QueueItem { start_time, arrival: self.arrivals, value });
    }

    /// Returns the next request among the organisations that are `eligible`.
    pub fn peek(
        &self,
        eligible: impl Fn(&OrganisationId) -> bool,
    ) -> Option<(&OrganisationId, &T)> {
        let organisation = self.next_flow(eligible)?;
        self.flows[organisation].waiting.front().map(|item| (organisation, &item.value))
    }

    /// Removes and returns the next request among the organisations that are `eligible`.
    pub fn pop(
        &mut self,
        eligible: impl Fn(&OrganisationId) -> bool,
    ) -> Option<(OrganisationId, T)> {
        let organisation = self.next_flow(eligible)?.clone();
        let item = self.flows.get_mut(&organisation)?.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(item.start_time);
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.finish_time > virtual_time);
        Some((organisation, item.value))
    }

    fn next_flow(&self, eligible: impl Fn(&OrganisationId) -> bool) -> Option<&OrganisationId> {
        let heads = self.flows.iter().filter_map(|(organisation, flow)| {
            flow.waiting.front().map(|item| (item.start_time, item.arrival, organisation))
        });
        let heads = heads.filter(|(_, _, organisation)| eligible(organisation));
        let first = heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, organisation)| organisation)
    }

    /// Removes all waiting requests for which `is_gone` returns `true`.
    pub fn remove(&mut self, is_gone: impl Fn(&T) -> bool) {
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|item| !is_gone(&item.value));
        }
    }
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

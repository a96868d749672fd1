use {
    crate::ids::OrganisationId,
    std::collections::{BTreeMap, VecDeque},
};

/// Orders waiting requests by start-time fair queueing over organisations.
///
/// Among organisations that wait, each is served in proportion to its weight, measured in cost.
/// Requests of one organisation stay in order of arrival. Ties go to the organisation that has
/// waited longer, never by name.
#[derive(Clone, Debug)]
pub struct FairQueue<T> {
    flows: BTreeMap<OrganisationId, QueueFlow<T>>,
    virtual_time: f64,
    arrivals: u64,
}

#[derive(Clone, Debug)]
struct QueueFlow<T> {
    finish: f64,
    waiting: VecDeque<QueueItem<T>>,
}

#[derive(Clone, Debug)]
struct QueueItem<T> {
    start: f64,
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

    /// Says whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.waiting.is_empty())
    }

    /// Returns how many requests of each organisation wait.
    #[must_use]
    pub fn backlog(&self) -> BTreeMap<OrganisationId, usize> {
        let flows = self.flows.iter().filter(|(_, flow)| !flow.waiting.is_empty());
        flows.map(|(organisation, flow)| (organisation.clone(), flow.waiting.len())).collect()
    }

    /// Adds a request of `cost`, in estimated tokens.
    pub fn push(&mut self, organisation: &OrganisationId, weight: u32, cost: f64, value: T) {
        self.arrivals += 1;
        let start_floor = self.virtual_time;
        let flow = self
            .flows
            .entry(organisation.clone())
            .or_insert_with(|| QueueFlow { finish: 0.0, waiting: VecDeque::new() });
        let start = flow.finish.max(start_floor);
        flow.finish = start + cost / f64::from(weight.max(1));
        flow.waiting.push_back(QueueItem { start, arrival: self.arrivals, value });
    }

    /// Returns the next request of an organisation that `eligible` lets pass.
    pub fn peek(
        &self,
        eligible: impl Fn(&OrganisationId) -> bool,
    ) -> Option<(&OrganisationId, &T)> {
        let organisation = self.next_flow(eligible)?;
        self.flows[organisation].waiting.front().map(|item| (organisation, &item.value))
    }

    /// Takes the next request of an organisation that `eligible` lets pass.
    pub fn pop(
        &mut self,
        eligible: impl Fn(&OrganisationId) -> bool,
    ) -> Option<(OrganisationId, T)> {
        let organisation = self.next_flow(eligible)?.clone();
        let item = self.flows.get_mut(&organisation)?.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(item.start);
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.waiting.is_empty() || flow.finish > virtual_time);
        Some((organisation, item.value))
    }

    fn next_flow(&self, eligible: impl Fn(&OrganisationId) -> bool) -> Option<&OrganisationId> {
        let heads = self.flows.iter().filter_map(|(organisation, flow)| {
            flow.waiting.front().map(|item| (item.start, item.arrival, organisation))
        });
        let heads = heads.filter(|(_, _, organisation)| eligible(organisation));
        let first = heads.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        first.map(|(_, _, organisation)| organisation)
    }

    /// Removes every waiting request that `gone` names.
    pub fn remove(&mut self, gone: impl Fn(&T) -> bool) {
        for flow in self.flows.values_mut() {
            flow.waiting.retain(|item| !gone(&item.value));
        }
    }
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

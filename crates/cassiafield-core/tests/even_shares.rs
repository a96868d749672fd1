//! Organisations get weighted max-min fair shares of contended endpoints, whichever hosts their
//! requests arrive at.

use {
    cassiafield_core::{
        ids::OrganisationId,
        process::{FairQueue, LocalLimit, SlotAllocator, SlotDemand},
    },
    fastrand::Rng,
    std::collections::{BTreeMap, VecDeque},
};

const HOSTS: usize = 9;
const SLOTS: u32 = 60;
const STEP_SECONDS: f64 = 0.01;
const FIRST_TOKEN_SECONDS: f64 = 0.69;
const STEPS: u32 = 12_000;
const WARM_UP_STEPS: u32 = 2_000;
const SMOOTHING_STEPS: u32 = 50;
const DIGEST_STEPS: u32 = 50;
const PHASE_STEPS: u32 = 200;
const SMOOTHING_FACTOR: f64 = 0.85;
const WAIT_TIMEOUT_STEPS: u32 = 200;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QueueOrder {
    Fair,
    FirstCome,
}

#[derive(Clone)]
struct Flow {
    organisation: OrganisationId,
    /// Demand in slots.
    demand: f64,
    service_steps: u32,
    /// The host at which all requests arrive; `None` if they arrive at all hosts.
    host: Option<usize>,
    weight: u32,
}

#[derive(Clone, Default)]
struct FlowUsage {
    slots: f64,
    demand: f64,
    waits: Vec<u32>,
}

#[derive(Clone, Copy)]
struct Waiting {
    flow: usize,
    arrived: u32,
}

struct Host {
    fair: FairQueue<Waiting>,
    first_come: VecDeque<Waiting>,
    running: BTreeMap<usize, u32>,
    ends: Vec<(u32, usize)>,
    waiting: BTreeMap<usize, u32>,
    smoothed: BTreeMap<usize, f64>,
    published: BTreeMap<usize, f64>,
}

impl Host {
    fn new() -> Self {
        Self {
            fair: FairQueue::new(),
            first_come: VecDeque::new(),
            running: BTreeMap::new(),
            ends: Vec::new(),
            waiting: BTreeMap::new(),
            smoothed: BTreeMap::new(),
            published: BTreeMap::new(),
        }
    }

    fn smooth(&mut self, flows: usize) {
        let demand = self.demand();
        for flow in 0..flows {
            let current = demand.get(&flow).copied().unwrap_or(0.0);
            let smoothed = self.smoothed.entry(flow).or_default();
            *smoothed = SMOOTHING_FACTOR * *smoothed + (1.0 - SMOOTHING_FACTOR) * current;
        }
    }

    fn demand(&self) -> BTreeMap<usize, f64> {
        let running = self.running.iter().map(|(flow, count)| (*flow, f64::from(*count)));
        let mut demand: BTreeMap<usize, f64> = running.collect();
        for (flow, count) in &self.waiting {
            *demand.entry(*flow).or_default() += f64::from(*count) * SlotDemand::WAITING_WEIGHT;
        }
        demand
    }
}

struct Pool {
    rng: Rng,
    order: QueueOrder,
    flows: Vec<Flow>,
    hosts: Vec<Host>,
    busy: u32,
    phase: f64,
}

impl Pool {
    fn new(seed: u64, order: QueueOrder, flows: Vec<Flow>) -> Self {
        let hosts = (0..HOSTS).map(|_| Host::new()).collect();
        Self { rng: Rng::with_seed(seed), order, flows, hosts, busy: 0, phase: 0.0 }
    }

    /// Returns the mean number of used slots, the mean demand in slots, and the waits in steps, by flow.
    fn run(mut self) -> Vec<FlowUsage> {
        let mut usage = vec![FlowUsage::default(); self.flows.len()];
        for step in 0..STEPS {
            self.arrive(step, &mut usage);
            self.finish(step);
            if step % PHASE_STEPS == 0 {
                self.phase = self.rng.f64();
            }
            for host in &mut self.hosts {
                if step % SMOOTHING_STEPS == 0 {
                    host.smooth(self.flows.len());
                }
                if step % DIGEST_STEPS == 0 {
                    host.published.clone_from(&host.smoothed);
                }
            }
            let start = self.rng.usize(..HOSTS);
            for index in 0..HOSTS {
                self.dispatch((start + index) % HOSTS, step, &mut usage);
            }
            if step >= WARM_UP_STEPS {
                for host in &self.hosts {
                    for (flow, count) in &host.running {
                        usage[*flow].slots += f64::from(*count) / f64::from(STEPS - WARM_UP_STEPS);
                    }
                }
            }
        }
        usage
    }

    fn arrive(&mut self, step: u32, usage: &mut [FlowUsage]) {
        for (index, flow) in self.flows.clone().into_iter().enumerate() {
            let mut arrival_probability = flow.demand / f64::from(flow.service_steps);
            while arrival_probability > 0.0 {
                if self.rng.f64() < arrival_probability {
                    if step >= WARM_UP_STEPS {
                        let measured = f64::from(STEPS - WARM_UP_STEPS);
                        usage[index].demand += f64::from(flow.service_steps) / measured;
                    }
                    let host = flow.host.unwrap_or_else(|| self.rng.usize(..HOSTS));
                    let host = &mut self.hosts[host];
                    let waiting = Waiting { flow: index, arrived: step };
                    let cost = f64::from(flow.service_steps);
                    host.fair.push(&flow.organisation, flow.weight, cost, waiting);
                    host.first_come.push_back(waiting);
                    *host.waiting.entry(index).or_default() += 1;
                }
                arrival_probability -= 1.0;
            }
        }
    }

    fn finish(&mut self, step: u32) {
        for host in &mut self.hosts {
            let running = &mut host.running;
            let busy = &mut self.busy;
            host.ends.retain(|(end, flow)| {
                if *end <= step {
                    *running.get_mut(flow).unwrap() -= 1;
                    *busy -= 1;
                }
                *end > step
            });
            host.running.retain(|_, count| *count > 0);
        }
    }

    fn limits(&self, index: usize) -> BTreeMap<OrganisationId, LocalLimit> {
        let mut demands: BTreeMap<OrganisationId, SlotDemand> = BTreeMap::new();
        let current = self.hosts[index].demand();
        for (number, flow) in self.flows.iter().enumerate() {
            let published = |host: &Host| host.published.get(&number).copied().unwrap_or(0.0);
            let current = current.get(&number).copied().unwrap_or(0.0);
            let local = published(&self.hosts[index]);
            let preceding = self.hosts[..index].iter().map(published).sum::<f64>();
            let after = self.hosts[index + 1..].iter().map(published).sum::<f64>();
            let total = preceding + local + after;
            let demand = SlotDemand { weight: flow.weight, current, local, preceding, total };
            demands.insert(flow.organisation.clone(), demand);
        }
        SlotAllocator::new(SLOTS).local_limits(&demands, self.phase)
    }

    fn dispatch(&mut self, index: usize, step: u32, usage: &mut [FlowUsage]) {
        let limits = self.limits(index);
        let host = &mut self.hosts[index];
        loop {
            let busy = self.busy;
            let next = match self.order {
                QueueOrder::FirstCome if busy >= SLOTS => None,
                QueueOrder::FirstCome => host.first_come.pop_front(),
                QueueOrder::Fair => {
                    let (flows, running) = (&self.flows, &host.running);
                    let eligible = |organisation: &OrganisationId| {
                        let flow = flows.iter().position(|f| &f.organisation == organisation);
                        let count = flow.and_then(|flow| running.get(&flow)).copied();
                        limits.get(organisation).is_some_and(|limit| {
                            count.unwrap_or(0) < limit.requests
                                && busy < SlotAllocator::capacity(SLOTS, limit.below_share)
                        })
                    };
                    host.fair.pop(eligible).map(|(_, waiting)| waiting)
                }
            };
            let Some(waiting) = next else { return };
            *host.waiting.get_mut(&waiting.flow).unwrap() -= 1;
            if step - waiting.arrived > WAIT_TIMEOUT_STEPS {
                continue;
            }
            if step >= WARM_UP_STEPS {
                usage[waiting.flow].waits.push(step - waiting.arrived);
            }
            self.busy += 1;
            *host.running.entry(waiting.flow).or_default() += 1;
            let end = step + self.flows[waiting.flow].service_steps;
            host.ends.push((end, waiting.flow));
        }
    }
}

fn flow(index: usize, demand: f64, service_steps: u32) -> Flow {
    Flow {
        organisation: format!("org-{index}").parse().unwrap(),
        demand,
        service_steps,
        host: None,
        weight: 1,
    }
}

/// Returns seven small organisations, two large ones, and one with ten times the demand of a large
/// one, some of which arrive at a single host.
fn flooded() -> Vec<Flow> {
    let mut flows: Vec<Flow> = (0..7).map(|index| flow(index, 3.0, 200)).collect();
    flows.extend([flow(7, 16.0, 200), flow(8, 16.0, 200), flow(9, 160.0, 200)]);
    flows[0].host = Some(0);
    flows[7].host = Some(4);
    flows[9].host = Some(8);
    flows
}

fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    sum * sum / (shares.len() as f64 * squares)
}

/// Returns the used slots of each flow relative to its max-min fair share.
fn ratios(order: QueueOrder, seed: u64, flows: &[Flow]) -> Vec<f64> {
    let usage = Pool::new(seed, order, flows.to_vec()).run();
    let demand = |(flow, usage): (&Flow, &FlowUsage)| {
        let total = usage.demand;
        let demand = SlotDemand { weight: flow.weight, total, ..SlotDemand::default() };
        (flow.organisation.clone(), demand)
    };
    let demands = flows.iter().zip(&usage).map(demand).collect();
    let fair = SlotAllocator::new(SLOTS).fair_shares(&demands);
    flows.iter().zip(usage).map(|(flow, usage)| usage.slots / fair[&flow.organisation]).collect()
}

#[test]
fn a_flooding_organisation_does_not_reduce_the_shares_of_others() {
    for seed in 0..5 {
        let ratios_fair = ratios(QueueOrder::Fair, seed, &flooded());
        let first_come = ratios(QueueOrder::FirstCome, seed, &flooded());
        println!(
            "seed {seed}: fair {ratios_fair:.3?} Jain {:.4}; first come {first_come:.3?} Jain {:.4}",
            jain(&ratios_fair),
            jain(&first_come)
        );
        for (index, ratio) in ratios_fair.iter().enumerate() {
            assert!((0.95..=1.05).contains(ratio), "seed {seed}: org-{index} got {ratio:.3}");
        }
        assert!(first_come.iter().any(|ratio| *ratio < 0.95), "the first-come order is fair too");
    }
}

#[test]
fn weights_divide_contended_slots() {
    let mut flows = vec![flow(0, 200.0, 100), flow(1, 200.0, 100), flow(2, 200.0, 100)];
    flows[2].weight = 4;
    let usage = Pool::new(1, QueueOrder::Fair, flows).run();
    let shares: Vec<f64> = usage.iter().map(|usage| usage.slots / f64::from(SLOTS)).collect();
    println!("weights 1, 1, 4: {shares:.3?}");
    for (share, expected) in shares.iter().zip([1.0 / 6.0, 1.0 / 6.0, 4.0 / 6.0]) {
        assert!((share / expected - 1.0).abs() <= 0.05, "{shares:?}");
    }
}

#[test]
fn short_requests_do_not_wait_for_long_ones_of_another_organisation() {
    let flows = vec![flow(0, 200.0, 800), flow(1, 2.0, 10)];
    let waits = |order| {
        let mut waits = Pool::new(3, order, flows.clone()).run()[1].waits.clone();
        waits.sort_unstable();
        waits[waits.len() * 95 / 100]
    };
    let (fair, first_come) = (waits(QueueOrder::Fair), waits(QueueOrder::FirstCome));
    println!("p95 wait of short requests in steps: fair {fair}, first come {first_come}");
    assert!(f64::from(fair) * STEP_SECONDS <= FIRST_TOKEN_SECONDS, "{fair}");
    assert!(fair < first_come);
}

#[test]
fn the_order_does_not_depend_on_the_names_of_organisations() {
    let mut queue = FairQueue::new();
    for (arrival, name) in ["zeta", "alpha", "mid"].into_iter().enumerate() {
        queue.push(&name.parse().unwrap(), 1, 10.0, arrival);
    }
    let order: Vec<usize> = std::iter::from_fn(|| queue.pop(|_| true)).map(|(_, i)| i).collect();
    assert_eq!(order, [0, 1, 2]);
}

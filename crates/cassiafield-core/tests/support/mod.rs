//! Simulation of hosts that share allowances, under virtual time and with fault injection.

use {
    cassiafield_core::{
        ids::{HostId, Moment, OrganisationId, ZoneId},
        process::{AllowanceLedger, LoanDemand, LoanRequest, LoanResponse},
        version::{
            FleetLists, FloorFraction, ListChange, ListEdit, PlanDraft, PlanLimits, ZoneShare,
        },
    },
    fastrand::Rng,
    std::{collections::VecDeque, time::Duration},
};

/// How the hosts share allowances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sharing {
    /// Floors and loans.
    Loans,
    /// Floors only.
    Floors,
    /// Incorrect on purpose: the borrower counts the term of a loan from a time later than the arrival
    /// of the response.
    LateExpiry,
    /// Incorrect on purpose: the lender keeps spending what it has lent.
    NoDeduction,
}

/// Which hosts the demand arrives at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Demand {
    OneHost,
    OneZone,
    Even,
}

/// The injected faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) pauses: bool,
    pub(crate) partitions: bool,
    pub(crate) drift: f64,
}

/// The measurements of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Largest amount by which any window exceeded `rate x window + burst`.
    pub(crate) excess: f64,
    /// Fraction of the plan's rate used in the first two seconds after a shift of the demand.
    pub(crate) early: f64,
    /// Fraction of the plan's rate used after that.
    pub(crate) late: f64,
}

pub(crate) const REQUESTS_PER_SECOND: f64 = 900.0;
pub(crate) const BURST_REQUESTS: f64 = 90.0;
const ZONES: usize = 3;
const HOSTS: usize = 9;
const STEP: Duration = Duration::from_millis(2);
const SHIFT_STEPS: usize = 3_000;
const EARLY_STEPS: usize = 1_000;
const LOAN_INTERVAL_STEPS: usize = 25;
const RESPONSE_TIMEOUT_STEPS: usize = 100;

struct Host {
    id: HostId,
    zone: usize,
    ledger: AllowanceLedger,
    clock_rate: f64,
    clock_offset_micros: u64,
    paused_until_step: usize,
    inbox: VecDeque<Message>,
    backlog: f64,
    remaining_peers: VecDeque<usize>,
    demands: Vec<LoanDemand>,
    pending_request: Option<(usize, usize, Moment)>,
}

enum Body {
    Request(LoanRequest),
    Response(LoanResponse),
}

struct Message {
    arrival_step: usize,
    from: usize,
    id: usize,
    body: Body,
}

pub(crate) struct Simulation {
    rng: Rng,
    sharing: Sharing,
    faults: Faults,
    demand: Demand,
    hosts: Vec<Host>,
    organisation: OrganisationId,
    is_partitioned: bool,
    sequence: usize,
    loaded_host: usize,
}

pub(crate) fn zones() -> Vec<ZoneShare> {
    let zone = |index: usize| -> ZoneId { format!("zone-{index}").parse().unwrap() };
    (0..ZONES)
        .map(|index| ZoneShare { zone: zone(index), hosts: (HOSTS / ZONES) as u16, weight: 1 })
        .collect()
}

pub(crate) fn limits(rate: f64, burst: f64) -> PlanLimits {
    PlanLimits::try_from(PlanDraft {
        request_rate: rate,
        request_burst: burst,
        token_rate: 1e6,
        token_burst: 1e6,
        concurrent: 90_000,
        max_tokens: 1_000,
        weight: 1,
        models: [].into(),
        services: [].into(),
    })
    .unwrap()
}

pub(crate) fn lists(rate: f64, burst: f64) -> FleetLists {
    let changes = ListChange::Batch(vec![
        ListChange::SetZones(zones()),
        ListChange::SetPlan {
            plan: "plan".parse().unwrap(),
            limits: limits(rate, burst),
            base: None,
        },
        ListChange::SetOrganisation {
            organisation: "traders".parse().unwrap(),
            plan: "plan".parse().unwrap(),
            key_hashes: Vec::new(),
            base: None,
        },
    ]);
    let edit = ListEdit { id: 1, author: "test".into(), change: changes };
    match FleetLists::default().apply(&edit).unwrap() {
        cassiafield_core::version::EditOutcome::Applied(lists) => *lists,
        other => panic!("{other:?}"),
    }
}

impl Simulation {
    pub(crate) fn new(seed: u64, sharing: Sharing, demand: Demand, faults: Faults) -> Self {
        let mut rng = Rng::with_seed(seed);
        let lists = lists(REQUESTS_PER_SECOND, BURST_REQUESTS);
        let hosts = (0..HOSTS)
            .map(|index| {
                let zone = index % ZONES;
                let fraction = FloorFraction::of(
                    &lists.zones,
                    &lists.zones[zone].zone,
                    (index / ZONES) as u16,
                );
                let clock_rate = 1.0 + faults.drift * (rng.f64() * 2.0 - 1.0);
                let clock_offset_micros = rng.u64(0..10_000_000);
                let mut ledger = AllowanceLedger::new(rng.u64(..), Duration::from_secs(120));
                ledger.set_floors(
                    &lists,
                    fraction.as_ref(),
                    true,
                    Moment::from_micros(clock_offset_micros),
                );
                Host {
                    id: format!("host-{index}").parse().unwrap(),
                    zone,
                    ledger,
                    clock_rate,
                    clock_offset_micros,
                    paused_until_step: 0,
                    inbox: VecDeque::new(),
                    backlog: 0.0,
                    remaining_peers: VecDeque::new(),
                    demands: Vec::new(),
                    pending_request: None,
                }
            })
            .collect();
        Self {
            rng,
            sharing,
            faults,
            demand,
            hosts,
            organisation: "traders".parse().unwrap(),
            is_partitioned: false,
            sequence: 0,
            loaded_host: 0,
        }
    }

    /// Runs for `shifts` shifts of the demand and returns the measurements.
    pub(crate) fn run(mut self, shifts: usize) -> Outcome {
        let mut spent = Vec::with_capacity(shifts * SHIFT_STEPS);
        for step in 0..shifts * SHIFT_STEPS {
            if step % SHIFT_STEPS == 0 {
                self.loaded_host = (self.loaded_host + 1 + self.rng.usize(..HOSTS - 1)) % HOSTS;
            }
            self.inject_faults(step);
            let mut total = 0.0;
            for index in 0..HOSTS {
                self.add_demand(index);
                if self.hosts[index].paused_until_step <= step {
                    total += self.run_host(index, step);
                }
            }
            spent.push(total);
        }
        measure(&spent)
    }

    fn now(&self, index: usize, step: usize) -> Moment {
        let host = &self.hosts[index];
        let micros = step as f64 * STEP.as_micros() as f64 * host.clock_rate;
        Moment::from_micros(host.clock_offset_micros + micros as u64)
    }

    fn inject_faults(&mut self, step: usize) {
        if self.faults.pauses && self.rng.f64() < 0.000_5 {
            let index = self.rng.usize(..HOSTS);
            self.hosts[index].paused_until_step = step + self.rng.usize(100..2_500);
        }
        if self.faults.partitions && self.rng.f64() < 0.000_5 {
            self.is_partitioned = !self.is_partitioned;
        }
    }

    fn add_demand(&mut self, index: usize) {
        let share = match self.demand {
            Demand::OneHost => f64::from(u8::from(index == self.loaded_host)),
            Demand::OneZone => f64::from(u8::from(index % ZONES == self.loaded_host % ZONES)) / 3.0,
            Demand::Even => 1.0 / HOSTS as f64,
        };
        self.hosts[index].backlog += 1.5 * REQUESTS_PER_SECOND * share * STEP.as_secs_f64();
    }

    fn run_host(&mut self, index: usize, step: usize) -> f64 {
        self.receive(index, step);
        let now = self.now(index, step);
        let organisation = self.organisation.clone();
        let host = &mut self.hosts[index];
        host.ledger.record_heartbeat(now);
        let mut admitted = 0.0;
        while host.backlog >= 1.0 {
            host.backlog -= 1.0;
            if host.ledger.admit(&organisation, 0, now).is_ok() {
                host.ledger.release(&organisation, 0, now);
                admitted += 1.0;
            }
        }
        if self.sharing != Sharing::Floors {
            self.request_loans(index, step, now);
        }
        admitted
    }

    fn receive(&mut self, index: usize, step: usize) {
        let mut due = Vec::new();
        let inbox = &mut self.hosts[index].inbox;
        while let Some(at) = inbox.iter().position(|message| message.arrival_step <= step) {
            due.extend(inbox.remove(at));
        }
        for message in due {
            let now = self.now(index, step);
            let from = self.hosts[message.from].id.clone();
            match message.body {
                Body::Request(request) => {
                    let response = if self.sharing == Sharing::NoDeduction {
                        let mut copy = self.hosts[index].ledger.clone();
                        copy.handle_request(&from, &request, now)
                    } else {
                        self.hosts[index].ledger.handle_request(&from, &request, now)
                    };
                    self.send(index, message.from, step, message.id, Body::Response(response));
                }
                Body::Response(response) => self.accept(index, step, &from, message.id, &response),
            }
        }
    }

    fn accept(
        &mut self,
        index: usize,
        step: usize,
        from: &HostId,
        id: usize,
        response: &LoanResponse,
    ) {
        let now = self.now(index, step);
        let is_late = self.sharing == Sharing::LateExpiry;
        let host = &mut self.hosts[index];
        let Some((expected, _, sent_at)) = host.pending_request else { return };
        if expected != id {
            return;
        }
        host.pending_request = None;
        for grant in &response.grants {
            if let Some(demand) =
                host.demands.iter_mut().find(|demand| demand.key == grant.loan.key)
            {
                demand.amount -= grant.rate.max(0.001);
            }
        }
        host.demands.retain(|demand| demand.amount > 0.0);
        let sent_at = if is_late { now + Duration::from_millis(500) } else { sent_at };
        host.ledger.apply_response(from, response, sent_at, now);
    }

    /// Requests loans from one peer after the other, those of the same zone first.
    fn request_loans(&mut self, index: usize, step: usize, now: Moment) {
        let host = &mut self.hosts[index];
        if let Some((_, since, _)) = host.pending_request {
            if step - since < RESPONSE_TIMEOUT_STEPS {
                return;
            }
            host.pending_request = None;
        }
        if host.remaining_peers.is_empty() && step % LOAN_INTERVAL_STEPS == index {
            host.demands = host.ledger.loan_demands(now);
            let zone = host.zone;
            let mut peers: Vec<usize> = (0..HOSTS).filter(|&peer| peer != index).collect();
            self.rng.shuffle(&mut peers);
            peers.sort_by_key(|&peer| self.hosts[peer].zone != zone);
            self.hosts[index].remaining_peers = peers.into();
        }
        while let Some(peer) = self.hosts[index].remaining_peers.pop_front() {
            let to = self.hosts[peer].id.clone();
            let host = &mut self.hosts[index];
            let request = host.ledger.build_request(&to, &host.demands, now);
            if !request.is_empty() {
                self.sequence += 1;
                host.pending_request = Some((self.sequence, step, now));
                let id = self.sequence;
                self.send(index, peer, step, id, Body::Request(request));
                return;
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, step: usize, id: usize, body: Body) {
        let crosses_zones = self.hosts[from].zone != self.hosts[to].zone;
        if self.rng.f64() < self.faults.loss || (self.is_partitioned && crosses_zones) {
            return;
        }
        let arrival_step = step + 1 + self.rng.usize(0..2);
        self.hosts[to].inbox.push_back(Message { arrival_step, from, id, body });
    }
}

fn measure(spent: &[f64]) -> Outcome {
    let refill = REQUESTS_PER_SECOND * STEP.as_secs_f64();
    let (mut current, mut excess) = (0.0_f64, 0.0_f64);
    let (mut early, mut late) = (0.0, 0.0);
    for (step, amount) in spent.iter().enumerate() {
        current = (current + amount - refill).max(0.0);
        excess = excess.max(current);
        if step % SHIFT_STEPS < EARLY_STEPS {
            early += amount;
        } else {
            late += amount;
        }
    }
    let shifts = (spent.len() / SHIFT_STEPS) as f64;
    let seconds = |steps: usize| steps as f64 * STEP.as_secs_f64() * shifts;
    Outcome {
        excess: excess + refill - BURST_REQUESTS,
        early: early / (REQUESTS_PER_SECOND * seconds(EARLY_STEPS)),
        late: late / (REQUESTS_PER_SECOND * seconds(SHIFT_STEPS - EARLY_STEPS)),
    }
}

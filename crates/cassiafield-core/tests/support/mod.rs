//! A few hosts that share allowances under virtual time, with faults.

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

/// How the hosts share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sharing {
    /// Floors with loans.
    Loans,
    /// Floors alone.
    Floors,
    /// Broken: the borrower counts a loan's term from the arrival of the answer, and more.
    LateEnd,
    /// Broken: the lender keeps spending what it has lent.
    NoDeduction,
}

/// Where the demand arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Demand {
    OneHost,
    OneZone,
    Even,
}

/// Which faults happen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) loss: f64,
    pub(crate) pauses: bool,
    pub(crate) cuts: bool,
    pub(crate) drift: f64,
}

/// What a run measured.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Most that any window exceeded `rate x window + burst` by.
    pub(crate) excess: f64,
    /// Part of the plan's rate used in the first two seconds after a shift.
    pub(crate) early: f64,
    /// Part of the plan's rate used later.
    pub(crate) late: f64,
}

pub(crate) const RATE: f64 = 900.0;
pub(crate) const BURST: f64 = 90.0;
const ZONES: usize = 3;
const HOSTS: usize = 9;
const STEP: Duration = Duration::from_millis(2);
const SHIFT_STEPS: usize = 3_000;
const EARLY_STEPS: usize = 1_000;
const ROUND_STEPS: usize = 25;
const ANSWER_PATIENCE: usize = 100;

struct Host {
    id: HostId,
    zone: usize,
    book: AllowanceLedger,
    skew: f64,
    offset: u64,
    paused_until: usize,
    inbox: VecDeque<Message>,
    backlog: f64,
    plan: VecDeque<usize>,
    wants: Vec<LoanDemand>,
    waiting: Option<(usize, usize, Moment)>,
}

enum Body {
    Ask(LoanRequest),
    Answer(LoanResponse),
}

struct Message {
    arrives: usize,
    from: usize,
    serial: usize,
    body: Body,
}

pub(crate) struct World {
    rng: Rng,
    sharing: Sharing,
    faults: Faults,
    demand: Demand,
    hosts: Vec<Host>,
    organisation: OrganisationId,
    cut: bool,
    serial: usize,
    hot: usize,
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

impl World {
    pub(crate) fn new(seed: u64, sharing: Sharing, demand: Demand, faults: Faults) -> Self {
        let mut rng = Rng::with_seed(seed);
        let lists = lists(RATE, BURST);
        let hosts = (0..HOSTS)
            .map(|index| {
                let zone = index % ZONES;
                let part = FloorFraction::of(
                    &lists.zones,
                    &lists.zones[zone].zone,
                    (index / ZONES) as u16,
                );
                let skew = 1.0 + faults.drift * (rng.f64() * 2.0 - 1.0);
                let offset = rng.u64(0..10_000_000);
                let mut book = AllowanceLedger::new(rng.u64(..), Duration::from_secs(120));
                book.set_floors(&lists, part.as_ref(), true, Moment::from_micros(offset));
                Host {
                    id: format!("host-{index}").parse().unwrap(),
                    zone,
                    book,
                    skew,
                    offset,
                    paused_until: 0,
                    inbox: VecDeque::new(),
                    backlog: 0.0,
                    plan: VecDeque::new(),
                    wants: Vec::new(),
                    waiting: None,
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
            cut: false,
            serial: 0,
            hot: 0,
        }
    }

    /// Runs for `shifts` shifts of demand and measures.
    pub(crate) fn run(mut self, shifts: usize) -> Outcome {
        let mut spent = Vec::with_capacity(shifts * SHIFT_STEPS);
        for step in 0..shifts * SHIFT_STEPS {
            if step % SHIFT_STEPS == 0 {
                self.hot = (self.hot + 1 + self.rng.usize(..HOSTS - 1)) % HOSTS;
            }
            self.fail(step);
            let mut total = 0.0;
            for index in 0..HOSTS {
                self.offer(index);
                if self.hosts[index].paused_until <= step {
                    total += self.work(index, step);
                }
            }
            spent.push(total);
        }
        measure(&spent)
    }

    fn now(&self, index: usize, step: usize) -> Moment {
        let host = &self.hosts[index];
        let micros = step as f64 * STEP.as_micros() as f64 * host.skew;
        Moment::from_micros(host.offset + micros as u64)
    }

    fn fail(&mut self, step: usize) {
        if self.faults.pauses && self.rng.f64() < 0.000_5 {
            let index = self.rng.usize(..HOSTS);
            self.hosts[index].paused_until = step + self.rng.usize(100..2_500);
        }
        if self.faults.cuts && self.rng.f64() < 0.000_5 {
            self.cut = !self.cut;
        }
    }

    fn offer(&mut self, index: usize) {
        let share = match self.demand {
            Demand::OneHost => f64::from(u8::from(index == self.hot)),
            Demand::OneZone => f64::from(u8::from(index % ZONES == self.hot % ZONES)) / 3.0,
            Demand::Even => 1.0 / HOSTS as f64,
        };
        self.hosts[index].backlog += 1.5 * RATE * share * STEP.as_secs_f64();
    }

    fn work(&mut self, index: usize, step: usize) -> f64 {
        self.receive(index, step);
        let now = self.now(index, step);
        let organisation = self.organisation.clone();
        let host = &mut self.hosts[index];
        host.book.record_heartbeat(now);
        let mut admitted = 0.0;
        while host.backlog >= 1.0 {
            host.backlog -= 1.0;
            if host.book.admit(&organisation, 0, now).is_ok() {
                host.book.release(&organisation, 0, now);
                admitted += 1.0;
            }
        }
        if self.sharing != Sharing::Floors {
            self.round(index, step, now);
        }
        admitted
    }

    fn receive(&mut self, index: usize, step: usize) {
        let mut due = Vec::new();
        let inbox = &mut self.hosts[index].inbox;
        while let Some(at) = inbox.iter().position(|message| message.arrives <= step) {
            due.extend(inbox.remove(at));
        }
        for message in due {
            let now = self.now(index, step);
            let from = self.hosts[message.from].id.clone();
            match message.body {
                Body::Ask(ask) => {
                    let answer = if self.sharing == Sharing::NoDeduction {
                        let mut copy = self.hosts[index].book.clone();
                        copy.handle_request(&from, &ask, now)
                    } else {
                        self.hosts[index].book.handle_request(&from, &ask, now)
                    };
                    self.send(index, message.from, step, message.serial, Body::Answer(answer));
                }
                Body::Answer(answer) => self.take(index, step, &from, message.serial, &answer),
            }
        }
    }

    fn take(
        &mut self,
        index: usize,
        step: usize,
        from: &HostId,
        serial: usize,
        answer: &LoanResponse,
    ) {
        let now = self.now(index, step);
        let late = self.sharing == Sharing::LateEnd;
        let host = &mut self.hosts[index];
        let Some((expected, _, sent)) = host.waiting else { return };
        if expected != serial {
            return;
        }
        host.waiting = None;
        for grant in &answer.grants {
            if let Some(want) = host.wants.iter_mut().find(|want| want.key == grant.loan.key) {
                want.amount -= grant.rate.max(0.001);
            }
        }
        host.wants.retain(|want| want.amount > 0.0);
        let sent = if late { now + Duration::from_millis(500) } else { sent };
        host.book.apply_response(from, answer, sent, now);
    }

    /// Asks one peer after the other, those of the zone first.
    fn round(&mut self, index: usize, step: usize, now: Moment) {
        let host = &mut self.hosts[index];
        if let Some((_, since, _)) = host.waiting {
            if step - since < ANSWER_PATIENCE {
                return;
            }
            host.waiting = None;
        }
        if host.plan.is_empty() && step % ROUND_STEPS == index {
            host.wants = host.book.loan_demands(now);
            let zone = host.zone;
            let mut peers: Vec<usize> = (0..HOSTS).filter(|&peer| peer != index).collect();
            self.rng.shuffle(&mut peers);
            peers.sort_by_key(|&peer| self.hosts[peer].zone != zone);
            self.hosts[index].plan = peers.into();
        }
        while let Some(peer) = self.hosts[index].plan.pop_front() {
            let to = self.hosts[peer].id.clone();
            let host = &mut self.hosts[index];
            let ask = host.book.build_request(&to, &host.wants, now);
            if !ask.is_empty() {
                self.serial += 1;
                host.waiting = Some((self.serial, step, now));
                let serial = self.serial;
                self.send(index, peer, step, serial, Body::Ask(ask));
                return;
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, step: usize, serial: usize, body: Body) {
        let apart = self.hosts[from].zone != self.hosts[to].zone;
        if self.rng.f64() < self.faults.loss || (self.cut && apart) {
            return;
        }
        let arrives = step + 1 + self.rng.usize(0..2);
        self.hosts[to].inbox.push_back(Message { arrives, from, serial, body });
    }
}

fn measure(spent: &[f64]) -> Outcome {
    let refill = RATE * STEP.as_secs_f64();
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
        excess: excess + refill - BURST,
        early: early / (RATE * seconds(EARLY_STEPS)),
        late: late / (RATE * seconds(SHIFT_STEPS - EARLY_STEPS)),
    }
}

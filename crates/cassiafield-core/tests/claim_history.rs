//! Simulates concurrent calls under one idempotency key with lost, delayed and repeated store
//! writes, host crashes and retries. Checks that the call runs at most once and that a request
//! reported as "not run" did not run.

use {
    cassiafield_core::request::{
        CallClaim, CallOutcome, ClaimEvent, ClaimRecord, ClaimState, ClaimStep, RefusalCause,
        RequestVerdict,
    },
    fastrand::Rng,
};

/// Behaviour of the simulated host. The checks must detect the incorrect variants; `NeverSettle` only
/// leaves more requests in doubt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Correct,
    /// Treats a claim write with an unknown outcome as applied.
    UnknownCountsAsApplied,
    /// Reports a call whose response is lost as not run.
    LostResponseCountsAsNotRun,
    /// Takes over a claim that another attempt holds.
    TakeOver,
    /// Never writes final records that did not reach the store.
    NeverSettle,
}

#[derive(Default)]
struct KeyStore {
    revision: u64,
    record: Option<(u64, ClaimRecord)>,
    delayed: Vec<(Option<u64>, ClaimRecord)>,
}

impl KeyStore {
    fn swap(&mut self, expected: Option<u64>, record: ClaimRecord) -> ClaimEvent {
        if self.record.as_ref().map(|(revision, _)| *revision) != expected {
            return ClaimEvent::SwapLost;
        }
        self.revision += 1;
        self.record = Some((self.revision, record));
        ClaimEvent::SwapWon(self.revision)
    }

    fn apply_delayed(&mut self, rng: &mut Rng) {
        if !self.delayed.is_empty() && rng.f64() < 0.2 {
            let (expected, record) = self.delayed.swap_remove(rng.usize(..self.delayed.len()));
            self.swap(expected, record);
        }
    }
}

struct SimulatedCaller {
    claim: CallClaim,
    step: Option<ClaimStep>,
    retries: u32,
    ran: bool,
}

#[derive(Default)]
struct History {
    runs: u32,
    served: u32,
    not_run: u32,
    in_doubt: u32,
    violations: Vec<&'static str>,
}

struct Simulation {
    rng: Rng,
    variant: Variant,
    store: KeyStore,
    history: History,
    unsettled: Vec<ClaimRecord>,
    next_attempt: u128,
}

/// Length of a store outage, in simulation steps.
const OUTAGE_STEPS: u32 = 40;

impl Simulation {
    fn new(seed: u64, variant: Variant) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            variant,
            store: KeyStore::default(),
            history: History::default(),
            unsettled: Vec::new(),
            next_attempt: 1,
        }
    }

    fn start(&mut self) -> SimulatedCaller {
        let mut claim = CallClaim::new(self.next_attempt, "digest");
        self.next_attempt += 1;
        let step = Some(claim.start());
        SimulatedCaller { claim, step, retries: 6, ran: false }
    }

    fn run_to_end(mut self) -> History {
        let mut callers: Vec<SimulatedCaller> =
            (0..self.rng.usize(1..=3)).map(|_| self.start()).collect();
        let mut outage = 0;
        for _ in 0..600 {
            self.store.apply_delayed(&mut self.rng);
            outage = match outage {
                0 if self.rng.f64() < 0.01 => OUTAGE_STEPS,
                0 => 0,
                left => left - 1,
            };
            if outage == 0 && self.variant != Variant::NeverSettle && self.rng.f64() < 0.1 {
                self.settle();
            }
            let open: Vec<usize> =
                (0..callers.len()).filter(|&i| callers[i].step.is_some()).collect();
            if open.is_empty() {
                break;
            }
            let index = open[self.rng.usize(..open.len())];
            let mut caller = callers.swap_remove(index);
            self.advance(&mut caller, outage > 0);
            callers.push(caller);
        }
        self.history
    }

    /// Runs the caller's next step, or simulates a host crash, after which the caller sees a broken
    /// connection and may retry.
    fn advance(&mut self, caller: &mut SimulatedCaller, outage: bool) {
        if self.rng.f64() < 0.02 {
            self.retry(caller);
            return;
        }
        let Some(step) = caller.step.take() else { return };
        let event = match step {
            ClaimStep::Swap { expected, record } => self.swap(expected, record, outage),
            ClaimStep::Read if outage || self.rng.f64() < 0.1 => ClaimEvent::StoreOutcomeUnknown,
            ClaimStep::Read => self.read(),
            ClaimStep::Backoff(_) => ClaimEvent::BackoffElapsed,
            ClaimStep::Dispatch => self.dispatch(caller),
            ClaimStep::Respond(_) => {
                self.history.served += 1;
                if self.history.runs == 0 {
                    self.history.violations.push("responded without a run");
                }
                return;
            }
            ClaimStep::Refuse(cause, verdict) => {
                self.handle_refusal(caller, cause, verdict);
                return;
            }
        };
        caller.step = Some(caller.claim.advance(event));
    }

    fn swap(&mut self, expected: Option<u64>, record: ClaimRecord, outage: bool) -> ClaimEvent {
        let draw = self.rng.f64();
        if outage || draw < 0.1 {
            return self.unknown_outcome(ClaimEvent::StoreOutcomeUnknown);
        }
        if draw < 0.2 {
            self.store.delayed.push((expected, record));
            return self.unknown_outcome(ClaimEvent::StoreOutcomeUnknown);
        }
        let event = self.store.swap(expected, record);
        if draw < 0.35 {
            return self.unknown_outcome(ClaimEvent::StoreOutcomeUnknown);
        }
        event
    }

    fn unknown_outcome(&self, event: ClaimEvent) -> ClaimEvent {
        match self.variant {
            Variant::UnknownCountsAsApplied => ClaimEvent::SwapWon(self.store.revision),
            _ => event,
        }
    }

    fn read(&mut self) -> ClaimEvent {
        let mut found = self.store.record.clone();
        if self.variant == Variant::TakeOver {
            if let Some((_, record)) = &mut found {
                if record.state == ClaimState::Claimed {
                    record.state = ClaimState::Released;
                }
            }
        }
        ClaimEvent::ReadDone(found)
    }

    fn dispatch(&mut self, caller: &mut SimulatedCaller) -> ClaimEvent {
        let draw = self.rng.f64();
        if draw < 0.2 {
            return ClaimEvent::NotSent;
        }
        if draw < 0.3 {
            return self.lose_response();
        }
        self.history.runs += 1;
        caller.ran = true;
        if self.history.runs > 1 {
            self.history.violations.push("ran twice");
        }
        if draw < 0.4 {
            return self.lose_response();
        }
        ClaimEvent::ResponseReceived(CallOutcome {
            status: 200,
            content_type: "x".into(),
            body: None,
        })
    }

    fn lose_response(&self) -> ClaimEvent {
        match self.variant {
            Variant::LostResponseCountsAsNotRun => ClaimEvent::NotSent,
            _ => ClaimEvent::ResponseLost,
        }
    }

    fn handle_refusal(
        &mut self,
        caller: &mut SimulatedCaller,
        cause: RefusalCause,
        verdict: RequestVerdict,
    ) {
        self.unsettled.extend(caller.claim.unsettled().cloned());
        match verdict {
            RequestVerdict::NotRun => {
                self.history.not_run += 1;
                if caller.ran {
                    self.history.violations.push("reported not run, but this request ran");
                }
            }
            _ => self.history.in_doubt += 1,
        }
        if cause != RefusalCause::KeyReused {
            self.retry(caller);
        }
    }

    fn retry(&mut self, caller: &mut SimulatedCaller) {
        if caller.retries == 0 {
            caller.step = None;
            return;
        }
        let retries = caller.retries - 1;
        *caller = SimulatedCaller { retries, ..self.start() };
    }

    fn settle(&mut self) {
        let open = std::mem::take(&mut self.unsettled);
        for record in open {
            let found = self.store.record.clone();
            let step = found.and_then(|found| CallClaim::resolve(&record, &found));
            match step {
                Some(ClaimStep::Swap { expected, record }) => {
                    self.store.swap(expected, record);
                }
                _ => self.unsettled.push(record),
            }
        }
    }
}

fn run_many(seeds: std::ops::Range<u64>, variant: Variant) -> (u32, [u32; 3]) {
    let (mut violations, mut totals) = (0, [0; 3]);
    for seed in seeds {
        let history = Simulation::new(seed, variant).run_to_end();
        violations += u32::from(!history.violations.is_empty());
        totals[0] += history.served;
        totals[1] += history.not_run;
        totals[2] += history.in_doubt;
    }
    (violations, totals)
}

#[test]
fn a_key_runs_at_most_once_and_not_run_is_accurate() {
    for seed in 0..20_000 {
        let history = Simulation::new(seed, Variant::Correct).run_to_end();
        assert!(history.violations.is_empty(), "seed {seed}: {:?}", history.violations);
    }
}

#[test]
fn each_incorrect_variant_is_detected() {
    for variant in
        [Variant::UnknownCountsAsApplied, Variant::LostResponseCountsAsNotRun, Variant::TakeOver]
    {
        let (violations, _) = run_many(0..2_000, variant);
        assert!(violations > 0, "{variant:?} was not detected");
    }
}

#[test]
fn settling_unsettled_claims_leaves_fewer_requests_in_doubt() {
    let (_, settled) = run_many(0..5_000, Variant::Correct);
    let (_, unsettled) = run_many(0..5_000, Variant::NeverSettle);
    println!("served, not run, in doubt: settled {settled:?}, never settled {unsettled:?}");
    assert!(settled[2] < unsettled[2]);
}

/// Guards against a "not run" verdict that ignores earlier requests with the same key.
///
/// A caller that retries only after a response must not get this verdict once its call has run.
#[test]
fn not_run_covers_earlier_requests_with_the_key() {
    for seed in 0..20_000 {
        let mut simulation = Simulation::new(seed, Variant::Correct);
        let mut caller = simulation.start();
        let mut ran_before = false;
        while caller.step.is_some() {
            let reported = match &caller.step {
                Some(ClaimStep::Refuse(_, verdict)) => Some(*verdict),
                _ => None,
            };
            assert!(
                reported != Some(RequestVerdict::NotRun) || !ran_before,
                "seed {seed}: reported not run after a run"
            );
            simulation.store.apply_delayed(&mut simulation.rng);
            let outage = simulation.rng.f64() < 0.3;
            simulation.advance(&mut caller, outage);
            ran_before = simulation.history.runs > 0;
        }
        assert!(simulation.history.violations.is_empty(), "seed {seed}");
    }
}

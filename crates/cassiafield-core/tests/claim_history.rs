//! Checks histories of concurrent calls under one idempotency key: at most one run, and a true
//! "not run", under lost, late and repeated store writes, crashes and retries.

use {
    cassiafield_core::request::{
        CallClaim, CallOutcome, ClaimEvent, ClaimRecord, ClaimState, ClaimStep, RefusalCause,
        RequestVerdict,
    },
    fastrand::Rng,
};

/// Deliberately broken variants; each must be caught by the check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Variant {
    Sound,
    /// A lost answer to the claim's write counts as a won claim.
    TrustUnknown,
    /// A call whose answer is lost is reported as not run.
    CallLostNotRun,
    /// A claim held by another attempt is taken over.
    TakeOver,
    /// Final records that did not reach the store are never written.
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

    fn land_delayed(&mut self, rng: &mut Rng) {
        if !self.delayed.is_empty() && rng.f64() < 0.2 {
            let (expected, record) = self.delayed.swap_remove(rng.usize(..self.delayed.len()));
            self.swap(expected, record);
        }
    }
}

struct Caller {
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

struct Run {
    rng: Rng,
    variant: Variant,
    store: KeyStore,
    history: History,
    unsettled: Vec<ClaimRecord>,
    next_attempt: u128,
}

const OUTAGE_STEPS: u32 = 40;

impl Run {
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

    fn start(&mut self) -> Caller {
        let mut claim = CallClaim::new(self.next_attempt, "digest");
        self.next_attempt += 1;
        let step = Some(claim.start());
        Caller { claim, step, retries: 6, ran: false }
    }

    fn play(mut self) -> History {
        let mut callers: Vec<Caller> = (0..self.rng.usize(1..=3)).map(|_| self.start()).collect();
        let mut outage = 0;
        for _ in 0..600 {
            self.store.land_delayed(&mut self.rng);
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

    /// A host crash ends the request: the caller sees a broken connection and may retry.
    fn advance(&mut self, caller: &mut Caller, outage: bool) {
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
                    self.history.violations.push("answered without a run");
                }
                return;
            }
            ClaimStep::Refuse(cause, verdict) => {
                self.refused(caller, cause, verdict);
                return;
            }
        };
        caller.step = Some(caller.claim.advance(event));
    }

    fn swap(&mut self, expected: Option<u64>, record: ClaimRecord, outage: bool) -> ClaimEvent {
        let chance = self.rng.f64();
        if outage || chance < 0.1 {
            return self.unknown(ClaimEvent::StoreOutcomeUnknown);
        }
        if chance < 0.2 {
            self.store.delayed.push((expected, record));
            return self.unknown(ClaimEvent::StoreOutcomeUnknown);
        }
        let event = self.store.swap(expected, record);
        if chance < 0.35 {
            return self.unknown(ClaimEvent::StoreOutcomeUnknown);
        }
        event
    }

    fn unknown(&self, event: ClaimEvent) -> ClaimEvent {
        match self.variant {
            Variant::TrustUnknown => ClaimEvent::SwapWon(self.store.revision),
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

    fn dispatch(&mut self, caller: &mut Caller) -> ClaimEvent {
        let chance = self.rng.f64();
        if chance < 0.2 {
            return ClaimEvent::NotSent;
        }
        if chance < 0.3 {
            return self.lost();
        }
        self.history.runs += 1;
        caller.ran = true;
        if self.history.runs > 1 {
            self.history.violations.push("ran twice");
        }
        if chance < 0.4 {
            return self.lost();
        }
        ClaimEvent::ResponseReceived(CallOutcome {
            status: 200,
            content_type: "x".into(),
            body: None,
        })
    }

    fn lost(&self) -> ClaimEvent {
        match self.variant {
            Variant::CallLostNotRun => ClaimEvent::NotSent,
            _ => ClaimEvent::ResponseLost,
        }
    }

    fn refused(&mut self, caller: &mut Caller, cause: RefusalCause, verdict: RequestVerdict) {
        self.unsettled.extend(caller.claim.unsettled().cloned());
        match verdict {
            RequestVerdict::NotRun => {
                self.history.not_run += 1;
                if caller.ran {
                    self.history.violations.push("told not run, but this request ran");
                }
            }
            _ => self.history.in_doubt += 1,
        }
        if cause != RefusalCause::KeyReused {
            self.retry(caller);
        }
    }

    fn retry(&mut self, caller: &mut Caller) {
        if caller.retries == 0 {
            caller.step = None;
            return;
        }
        let retries = caller.retries - 1;
        *caller = Caller { retries, ..self.start() };
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

fn play_many(seeds: std::ops::Range<u64>, variant: Variant) -> (u32, [u32; 3]) {
    let (mut violations, mut ends) = (0, [0; 3]);
    for seed in seeds {
        let history = Run::new(seed, variant).play();
        violations += u32::from(!history.violations.is_empty());
        ends[0] += history.served;
        ends[1] += history.not_run;
        ends[2] += history.in_doubt;
    }
    (violations, ends)
}

#[test]
fn no_key_runs_twice_and_not_run_is_true() {
    for seed in 0..20_000 {
        let history = Run::new(seed, Variant::Sound).play();
        assert!(history.violations.is_empty(), "seed {seed}: {:?}", history.violations);
    }
}

#[test]
fn each_broken_variant_is_caught() {
    for variant in [Variant::TrustUnknown, Variant::CallLostNotRun, Variant::TakeOver] {
        let (violations, _) = play_many(0..2_000, variant);
        assert!(violations > 0, "{variant:?} went unnoticed");
    }
}

#[test]
fn settling_later_leaves_fewer_requests_in_doubt() {
    let (_, settled) = play_many(0..5_000, Variant::Sound);
    let (_, unsettled) = play_many(0..5_000, Variant::NeverSettle);
    println!("served, not run, in doubt: settled {settled:?}, never settled {unsettled:?}");
    assert!(settled[2] < unsettled[2]);
}

/// A caller that waits for each answer before it asks again is never told "not run" once its
/// call has run.
#[test]
fn not_run_speaks_for_earlier_requests_with_the_key() {
    for seed in 0..20_000 {
        let mut run = Run::new(seed, Variant::Sound);
        let mut caller = run.start();
        let mut ran_before = false;
        while caller.step.is_some() {
            let told = match &caller.step {
                Some(ClaimStep::Refuse(_, verdict)) => Some(*verdict),
                _ => None,
            };
            assert!(
                told != Some(RequestVerdict::NotRun) || !ran_before,
                "seed {seed}: told not run after a run"
            );
            run.store.land_delayed(&mut run.rng);
            let outage = run.rng.f64() < 0.3;
            run.advance(&mut caller, outage);
            ran_before = run.history.runs > 0;
        }
        assert!(run.history.violations.is_empty(), "seed {seed}");
    }
}

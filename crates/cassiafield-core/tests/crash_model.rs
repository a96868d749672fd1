//! A model of a fleet in which parts of prompts, and a request that comes again, end endpoints, beside
//! endpoints that end for other reasons: what hosts block, and what they let through, over many seeds.

use {
    cassiafield_core::{
        ids::{CrashSubject, EndpointId, Moment},
        process::{CrashLedger, CrashReport, EndpointIncarnation, EndpointLife},
        request::{FingerprintSource, PromptPrefix, RequestFingerprint, RequestIdentity},
    },
    std::collections::VecDeque,
};

const TICK_MS: u64 = 10;
const LENGTH_MS: u64 = 40_000;
const ZONES: usize = 3;
const HOSTS: usize = 9;
const ENDPOINTS: usize = 24;
const CLASSES: u64 = 3;
const SUBJECTS: u64 = 120;
/// Requests of the fleet in a second, and those of them in a hundred that end an endpoint.
const REQUESTS_PER_SECOND: u64 = 60;
const CULPRITS_PERCENT: u64 = 4;
/// What the rule allows: sends later than this after the fifth end.
const CONTACT_MS: u64 = 3_000;
const ENDS_BEFORE_COUNT: usize = 5;
/// The same for a request that comes again.
const REPEAT_ENDS_BEFORE_COUNT: usize = 3;
const MAX_LATE_SENDS: usize = 3;
/// Requests in a hundred that are the one which comes again and ends endpoints, and those that are one
/// popular sound request, where such requests come at all.
const REPEATS_PERCENT: u64 = 2;
const POPULAR_PERCENT: u64 = 25;
const REPEATED_TARGET: &str = "/repeated";
const POPULAR_TARGET: &str = "/popular";
const CULPRIT_PART: &str = "bad0";

/// A small generator, so that seeds mean the same everywhere.
struct Dice(u64);

impl Dice {
    fn next(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % bound.max(1)
    }
}

#[derive(Clone, Copy, Debug)]
struct Trouble {
    has_culprits: bool,
    /// Whether requests without parts come too, one of which ends endpoints again and again.
    has_repeats: bool,
    /// Pause between two ends of single endpoints for another reason.
    kill_interval_ms: Option<u64>,
    /// Pause between two ends of a third of the endpoints at once.
    group_kill_interval_ms: Option<u64>,
    /// Whether one zone is cut off from the others' messages for half of the time.
    has_cut: bool,
    /// Whether hosts restart now and then and forget all.
    has_restarts: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunKind {
    Sound,
    /// A sound request without parts, whose whole answer comes at once.
    SoundLookup,
    /// A stream with the part that ends endpoints.
    CulpritPart,
    /// The request that comes again and ends endpoints.
    CulpritRequest,
}

impl RunKind {
    const fn is_culprit(self) -> bool {
        matches!(self, RunKind::CulpritPart | RunKind::CulpritRequest)
    }

    const fn is_lookup(self) -> bool {
        matches!(self, RunKind::SoundLookup | RunKind::CulpritRequest)
    }
}

struct Run {
    host: usize,
    endpoint: usize,
    identity: RequestIdentity,
    kind: RunKind,
    first_event_at: u64,
    ends_at: u64,
    ends: u32,
    is_under_way: bool,
}

struct Endpoint {
    id: EndpointId,
    incarnation: u64,
    up_at: u64,
}

struct Fleet {
    dice: Dice,
    trouble: Trouble,
    ledgers: Vec<CrashLedger>,
    endpoints: Vec<Endpoint>,
    runs: Vec<Run>,
    messages: VecDeque<(u64, usize, CrashReport)>,
    ends_under_culprits: Vec<u64>,
    late_sends: usize,
    ends_under_repeats: Vec<u64>,
    late_repeats: usize,
    wrongly_blocked: Vec<CrashSubject>,
    request_count: u64,
}

fn moment(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

impl Fleet {
    fn new(seed: u64, trouble: Trouble) -> Self {
        let endpoint = |number| Endpoint {
            id: format!("i-{number}").parse().expect("a valid name"),
            incarnation: 1,
            up_at: 0,
        };
        Self {
            dice: Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            trouble,
            ledgers: vec![CrashLedger::default(); HOSTS],
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            runs: Vec::new(),
            messages: VecDeque::new(),
            ends_under_culprits: Vec::new(),
            late_sends: 0,
            ends_under_repeats: Vec::new(),
            late_repeats: 0,
            wrongly_blocked: Vec::new(),
            request_count: 0,
        }
    }

    fn play(mut self) -> Self {
        for now in (0..LENGTH_MS).step_by(usize::try_from(TICK_MS).expect("small")) {
            if self.dice.next(1_000 / TICK_MS) < REQUESTS_PER_SECOND * TICK_MS / 10 {
                self.request(now);
            }
            self.advance(now);
            self.disturb(now);
            if now.is_multiple_of(150) {
                self.send_reports(now);
            }
            self.deliver(now);
        }
        self
    }

    fn request(&mut self, now: u64) {
        // Nothing ends endpoints in the first seconds, nor with the parts that others share.
        let is_culprit =
            self.trouble.has_culprits && now > 4_000 && self.dice.next(100) < CULPRITS_PERCENT;
        let class = self.dice.next(CLASSES);
        // Few subjects get most of the requests.
        let subject = self.dice.next(SUBJECTS).min(self.dice.next(SUBJECTS));
        self.request_count += 1;
        let own = self.request_count;
        if self.trouble.has_repeats {
            let draw = self.dice.next(100);
            if draw < REPEATS_PERCENT + POPULAR_PERCENT {
                self.look_up(now, draw, own);
                return;
            }
        }
        let text = if is_culprit {
            match own % 3 {
                0 => format!("a{class}:40,{CULPRIT_PART}:80,d{subject:x}:9,{own:x}:7"),
                1 => format!("{CULPRIT_PART}:80,d{subject:x}:9,{own:x}:7"),
                _ => format!("a{class}:40,d{subject:x}:9,{CULPRIT_PART}:80,{own:x}:7"),
            }
        } else {
            format!("a{class}:40,d{subject:x}:9,{own:x}:7")
        };
        let prefix: PromptPrefix = text.parse().expect("a prompt");
        let host = usize::try_from(self.dice.next(HOSTS as u64)).expect("small");
        let kind = if is_culprit { RunKind::CulpritPart } else { RunKind::Sound };
        self.send(now, host, identify(prefix, own, &text), kind, 0);
    }

    /// Sends the request that comes again, the popular one, or one that comes once.
    fn look_up(&mut self, now: u64, draw: u64, own: u64) {
        let is_repeat = draw < REPEATS_PERCENT && now > 4_000;
        let unique = format!("/orders/{own}");
        let (target, kind) = match draw % 5 {
            _ if is_repeat => (REPEATED_TARGET, RunKind::CulpritRequest),
            0 => (unique.as_str(), RunKind::SoundLookup),
            _ => (POPULAR_TARGET, RunKind::SoundLookup),
        };
        let identity = identify(PromptPrefix::default(), own, target);
        let host = usize::try_from(self.dice.next(HOSTS as u64)).expect("small");
        self.send(now, host, identity, kind, 0);
    }

    fn send(&mut self, now: u64, host: usize, identity: RequestIdentity, kind: RunKind, ends: u32) {
        self.judge(now, host);
        if self.ledgers[host].check(&identity, moment(now)).is_some() {
            return;
        }
        let up: Vec<usize> =
            (0..ENDPOINTS).filter(|number| self.endpoints[*number].up_at <= now).collect();
        if up.is_empty() {
            return;
        }
        // Hosts prefer the same endpoints, so that broken streams move together.
        let choice = self.dice.next(up.len() as u64).min(self.dice.next(up.len() as u64));
        let endpoint = up[usize::try_from(choice).expect("small")];
        let is_late = |at: Option<&u64>| at.is_some_and(|at| now > at + CONTACT_MS);
        match kind {
            RunKind::CulpritPart => {
                let last = self.ends_under_culprits.get(ENDS_BEFORE_COUNT - 1);
                self.late_sends += usize::from(is_late(last));
            }
            RunKind::CulpritRequest => {
                let last = self.ends_under_repeats.get(REPEAT_ENDS_BEFORE_COUNT - 1);
                self.late_repeats += usize::from(is_late(last));
            }
            RunKind::Sound | RunKind::SoundLookup => {}
        }
        let first_event_at = now + 60 + self.dice.next(250);
        let length = if kind.is_lookup() { 0 } else { 300 + self.dice.next(3_000) };
        let ends_at = first_event_at + length;
        self.runs.push(Run {
            host,
            endpoint,
            identity,
            kind,
            first_event_at,
            ends_at,
            ends,
            is_under_way: false,
        });
    }

    fn advance(&mut self, now: u64) {
        for run in &mut self.runs {
            let is_begun = now >= run.first_event_at + 400 || now >= run.ends_at;
            if is_begun && !run.is_under_way && !run.kind.is_culprit() {
                run.is_under_way = true;
                self.ledgers[run.host].record_survival(&run.identity, moment(now));
            }
        }
        let is_due = |run: &&Run| run.kind.is_culprit() && now >= run.first_event_at;
        let culprits = self.runs.iter().filter(is_due);
        let crashed: Vec<(usize, RunKind)> = culprits.map(|run| (run.endpoint, run.kind)).collect();
        self.runs.retain(|run| run.kind.is_culprit() || now < run.ends_at);
        for (endpoint, kind) in crashed {
            if self.endpoints[endpoint].up_at <= now {
                match kind {
                    RunKind::CulpritRequest => self.ends_under_repeats.push(now),
                    _ => self.ends_under_culprits.push(now),
                }
                self.end(now, endpoint);
            }
        }
    }

    fn end(&mut self, now: u64, number: usize) {
        let endpoint = &mut self.endpoints[number];
        let life = EndpointLife {
            endpoint: endpoint.id.clone(),
            incarnation: EndpointIncarnation(endpoint.incarnation),
        };
        endpoint.incarnation += 1;
        endpoint.up_at = now + 5_000;
        let (broken, kept) =
            std::mem::take(&mut self.runs).into_iter().partition(|run| run.endpoint == number);
        self.runs = kept;
        let broken: Vec<Run> = broken;
        for run in broken.iter().filter(|run| !run.is_under_way) {
            let ledger = &mut self.ledgers[run.host];
            ledger.record_break(vec![life.clone()], &run.identity, moment(now));
            ledger.record_end(&life.endpoint, moment(now));
        }
        for host in 0..HOSTS {
            self.judge(now, host);
        }
        for run in broken {
            let ends = run.ends + u32::from(!run.is_under_way);
            if self.ledgers[run.host].may_repeat(&run.identity, ends) {
                self.send(now + TICK_MS, run.host, run.identity, run.kind, ends);
            }
        }
    }

    fn judge(&mut self, now: u64, host: usize) {
        for found in self.ledgers[host].judge(moment(now)) {
            let is_wrong = match &found.subject {
                CrashSubject::Request(fingerprint) => {
                    *fingerprint != fingerprint_of(REPEATED_TARGET)
                }
                CrashSubject::Part(part) => {
                    // Together with the culprit, another part is blocked only beside it.
                    let alone: PromptPrefix = format!("{part}:1,ffff:1").parse().expect("a prompt");
                    let alone = RequestIdentity::from(alone);
                    let is_blocked = self.ledgers[host].check(&alone, moment(now)).is_some();
                    part.as_str() != CULPRIT_PART && is_blocked
                }
            };
            if is_wrong {
                self.wrongly_blocked.push(found.subject);
            }
        }
    }

    fn disturb(&mut self, now: u64) {
        let is_due =
            |interval: Option<u64>| interval.is_some_and(|ms| now > 0 && now.is_multiple_of(ms));
        if is_due(self.trouble.kill_interval_ms) {
            let number = usize::try_from(self.dice.next(ENDPOINTS as u64)).expect("small");
            self.kill(now, number);
        }
        if is_due(self.trouble.group_kill_interval_ms) {
            let offset = self.dice.next(3);
            for number in (0..ENDPOINTS).filter(|number| *number as u64 % 3 == offset) {
                self.kill(now, number);
            }
        }
        if self.trouble.has_restarts && now % 7_000 == 3_000 {
            let host = usize::try_from(self.dice.next(HOSTS as u64)).expect("small");
            self.ledgers[host] = CrashLedger::default();
            self.runs.retain(|run| run.host != host);
        }
    }

    fn kill(&mut self, now: u64, number: usize) {
        if self.endpoints[number].up_at <= now {
            self.end(now, number);
        }
    }

    fn send_reports(&mut self, now: u64) {
        let is_cut =
            |zone: usize| self.trouble.has_cut && zone == 0 && (10_000..30_000).contains(&now);
        for host in 0..HOSTS {
            let zone = host % ZONES;
            let report = self.ledgers[host].report(moment(now));
            if report.is_empty() {
                continue;
            }
            for other in (0..HOSTS).filter(|other| *other != host) {
                let other_zone = other % ZONES;
                let is_leader = host < ZONES && now.is_multiple_of(300);
                let is_reached = if zone == other_zone {
                    true
                } else {
                    is_leader && !is_cut(zone) && !is_cut(other_zone)
                };
                if is_reached && self.dice.next(50) > 0 {
                    let delay = 1 + self.dice.next(30);
                    self.messages.push_back((now + delay, other, report.clone()));
                }
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let due: Vec<_> = self.messages.iter().filter(|(at, _, _)| *at <= now).cloned().collect();
        self.messages.retain(|(at, _, _)| *at > now);
        for (_, host, report) in due {
            self.ledgers[host].merge(report, moment(now));
            self.judge(now, host);
        }
    }
}

fn fingerprint_of(target: &str) -> RequestFingerprint {
    let source = FingerprintSource { method: "GET", target, ..FingerprintSource::default() };
    RequestFingerprint::from(source)
}

fn identify(prefix: PromptPrefix, attempt: u64, target: &str) -> RequestIdentity {
    let identity = RequestIdentity::new(prefix, attempt);
    identity.identify(|| fingerprint_of(target));
    identity
}

const CALM: Trouble = Trouble {
    has_culprits: false,
    has_repeats: false,
    kill_interval_ms: None,
    group_kill_interval_ms: None,
    has_cut: false,
    has_restarts: false,
};

/// Number of seeds; `CASSIAFIELD_MODEL_SEEDS` sets another one.
fn seeds(count: u64) -> impl Iterator<Item = u64> {
    let set = std::env::var("CASSIAFIELD_MODEL_SEEDS").ok().and_then(|text| text.parse().ok());
    1..=set.unwrap_or(count)
}

/// Plays a kind of trouble; returns what was broken.
fn play_all(name: &str, trouble: Trouble, count: u64) -> Vec<String> {
    let (mut ends, mut late, mut late_repeats, mut broken) = (0, 0, 0, Vec::new());
    for seed in seeds(count) {
        let fleet = Fleet::new(seed, trouble).play();
        ends += fleet.ends_under_culprits.len() + fleet.ends_under_repeats.len();
        late += fleet.late_sends;
        late_repeats += fleet.late_repeats;
        let late_in_run = fleet.late_sends.max(fleet.late_repeats);
        if late_in_run > MAX_LATE_SENDS || !fleet.wrongly_blocked.is_empty() {
            let blocked = fleet.wrongly_blocked;
            broken.push(format!("{name}, seed {seed}: {late_in_run} late, blocked {blocked:?}"));
        }
        if trouble.has_repeats {
            assert!(!fleet.ends_under_repeats.is_empty(), "seed {seed} plays no repeats");
        }
        if trouble.has_culprits {
            assert!(!fleet.ends_under_culprits.is_empty(), "seed {seed} plays no culprit");
        }
    }
    println!(
        "{name}: {ends} ends under culprits, {late} late sends, {late_repeats} late repeats, {} broken",
        broken.len()
    );
    broken
}

fn assert_none(broken: &[Vec<String>]) {
    assert!(broken.concat().is_empty(), "{broken:?}");
}

/// Guards against requests with a part that go on after it has ended five endpoints.
#[test]
fn a_part_that_ends_endpoints_is_blocked_in_the_whole_fleet() {
    assert_none(&[play_all("culprits", Trouble { has_culprits: true, ..CALM }, 60)]);
}

/// Guards against blocking parts that sound requests share when endpoints end for another reason.
#[test]
fn ends_for_other_reasons_block_no_part() {
    let kills = Trouble { kill_interval_ms: Some(700), ..CALM };
    let groups = Trouble { group_kill_interval_ms: Some(3_000), ..kills };
    assert_none(&[play_all("kills", kills, 40), play_all("kills of groups", groups, 40)]);
}

/// Guards against blaming the parts of sound requests beside a part that does end endpoints, and
/// against hosts that do not hear of each other or have forgotten.
#[test]
fn a_culprit_is_told_from_what_is_in_flight_beside_it() {
    let mixed = Trouble { has_culprits: true, kill_interval_ms: Some(1_500), ..CALM };
    let groups = Trouble { group_kill_interval_ms: Some(6_000), ..mixed };
    let restarts = Trouble { has_restarts: true, ..mixed };
    assert_none(&[
        play_all("culprits and kills", mixed, 40),
        play_all("culprits and kills of groups", groups, 40),
        play_all("culprits, kills and restarts", restarts, 40),
    ]);
}

/// Guards against a zone that is cut off from the others' messages and lets a part through.
#[test]
fn a_zone_that_is_cut_off_blocks_what_it_has_seen() {
    let cut = Trouble { has_culprits: true, has_cut: true, ..CALM };
    let (mut worst, mut blocked) = (0, Vec::new());
    for seed in seeds(40) {
        let fleet = Fleet::new(seed, cut).play();
        worst = worst.max(fleet.late_sends);
        blocked.extend(fleet.wrongly_blocked);
    }
    println!("cut: {worst} late sends at most");
    assert!(blocked.is_empty(), "{blocked:?}");
    assert!(worst <= MAX_LATE_SENDS, "{worst}");
}

/// Guards against a request that comes again and ends endpoints after it has ended three, and against
/// blocking a popular sound one beside it, alone and beside prompts that end endpoints.
#[test]
fn a_request_that_comes_again_is_blocked_in_the_whole_fleet() {
    let repeats = Trouble { has_repeats: true, ..CALM };
    let both = Trouble { has_culprits: true, ..repeats };
    assert_none(&[play_all("repeats", repeats, 40), play_all("repeats and culprits", both, 40)]);
}

/// Guards against blaming sound requests when endpoints end one after the other or a third at once,
/// and against hosts that have forgotten.
#[test]
fn a_request_that_comes_again_is_told_from_what_is_in_flight_beside_it() {
    let kills = Trouble { has_repeats: true, kill_interval_ms: Some(700), ..CALM };
    let groups = Trouble { group_kill_interval_ms: Some(3_000), ..kills };
    let restarts = Trouble { has_restarts: true, ..kills };
    let cut = Trouble { has_cut: true, has_repeats: true, ..CALM };
    assert_none(&[
        play_all("repeats and kills", kills, 40),
        play_all("repeats and kills of groups", groups, 40),
        play_all("repeats, kills and restarts", restarts, 40),
        play_all("repeats in a divided fleet", cut, 40),
    ]);
}

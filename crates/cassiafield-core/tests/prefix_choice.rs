//! Placement by held beginnings of prompts, under the patterns that callers bring.

mod engine_support;

use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment},
        prefix::{
            CacheProfile, PrefixChoice, PrefixDecision, PrefixDigest, PrefixEvidence, PrefixKey,
            PrefixReason, PrefixTable, PromptChain,
        },
        process::{
            EndpointDirectory, EndpointEntry, EndpointIncarnation, EngineLoad, EngineProfile,
            EngineReading, LoadReservation, OrganisationLoad, PathPlanner, PathRequest,
            PlannedPath,
        },
        request::PromptPrefix,
        version::{RequestKind, RouteRule},
    },
    engine_support::{directory, endpoint, engine, entry, service, span, zone},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const CACHE: CacheProfile =
    CacheProfile { block_tokens: 16, idle_retention: Duration::from_secs(60) };
const START: Moment = Moment::from_millis(100_000);
const PROMPT_TOKENS: u32 = 4_000;
const OUTPUT_TOKENS: u32 = 200;

fn light_engine() -> EngineProfile {
    EngineProfile { layer_mb: 100.0, prefix_cache: Some(CACHE), ..engine() }
}

fn model() -> ModelId {
    "m".parse().expect("a valid name")
}

/// Returns the beginnings of a prompt whose first part is number `part`.
fn chain(part: u32) -> PromptChain {
    let text = format!("{part:x}:3200,ffff:10");
    let prefix: PromptPrefix = text.parse().expect("always valid");
    PromptChain::new(&prefix, &service(), &model(), &CACHE)
}

/// Hosts and engines in virtual time: what one host believes and what engines really hold.
struct Play {
    engine: EngineProfile,
    directory: EndpointDirectory,
    load: EngineLoad,
    table: PrefixTable,
    now: Moment,
    /// Beginnings that endpoints hold, most recently used last.
    held: BTreeMap<EndpointId, VecDeque<PrefixKey>>,
    /// Number of beginnings that an endpoint has memory for.
    room: usize,
    running: Vec<(Moment, LoadReservation)>,
    is_choosing: bool,
    /// What the callers waited for, in milliseconds over all answers.
    waited_ms: f64,
    found: u32,
    sent_to: BTreeMap<EndpointId, u32>,
}

impl Play {
    fn new(entries: Vec<EndpointEntry>, is_choosing: bool) -> Self {
        Self {
            engine: light_engine(),
            directory: directory(entries),
            load: EngineLoad::default(),
            table: PrefixTable::default(),
            now: START,
            held: BTreeMap::new(),
            room: usize::MAX,
            running: Vec::new(),
            is_choosing,
            waited_ms: 0.0,
            found: 0,
            sent_to: BTreeMap::new(),
        }
    }

    fn decide(&self, chain: &PromptChain) -> PrefixDecision {
        self.decide_within(chain, OrganisationLoad::MAX_MEMORY_FRACTION)
    }

    fn decide_within(&self, chain: &PromptChain, memory_fraction: f64) -> PrefixDecision {
        let (planner, names) = (self.planner(), (model(), service(), zone("a")));
        let request = request(&names, memory_fraction);
        let best = planner.plan(&request).expect("a path");
        let choice = PrefixChoice { planner: &planner, table: &self.table, cache: &CACHE };
        choice.choose(&request, chain, best)
    }

    fn planner(&self) -> PathPlanner<'_> {
        let Self { directory, load, engine, now, .. } = self;
        PathPlanner { directory, load, engine, now: *now }
    }

    /// Plays one request `gap` after the one before.
    fn request(&mut self, chain: &PromptChain, gap: Duration) {
        self.now = self.now + gap;
        let now = self.now;
        for (_, reservation) in self.running.extract_if(.., |(end, _)| *end <= now) {
            self.load.release(reservation);
        }
        self.table.record_request(chain, now);
        let decision = self.decide(chain);
        let path = if self.is_choosing { decision.path } else { self.best() };
        let first = path.route.stages()[0].endpoint.clone();
        let found = self.read(&path, chain);
        let names = (model(), service(), zone("a"));
        let request = request(&names, OrganisationLoad::MAX_MEMORY_FRACTION);
        let cost = self.planner().path_cost(&request, &path.route, found).expect("listed");
        self.table.record_reading(&path, now);
        self.waited_ms += cost.total_ms();
        self.found += u32::from(found > 0);
        *self.sent_to.entry(first).or_default() += 1;
        if path.held_tokens > 0 {
            let evidence = PrefixEvidence::Reported { tokens: found };
            let stages = path.route.stages();
            self.table.record_evidence(stages, chain, path.held_tokens, evidence, now);
        }
        self.table.record_read(path.route.stages(), chain, &self.directory, now);
        let end = now + Duration::from_secs_f64(cost.total_ms() / 1e3);
        let reservation = self.load.reserve(&path.route, PROMPT_TOKENS + OUTPUT_TOKENS / 2);
        self.running.push((end, reservation));
    }

    fn best(&self) -> PlannedPath {
        let names = (model(), service(), zone("a"));
        let request = request(&names, OrganisationLoad::MAX_MEMORY_FRACTION);
        self.planner().plan(&request).expect("a path")
    }

    /// Reads a prompt at the endpoints of a path; returns how many tokens all of them held.
    fn read(&mut self, path: &PlannedPath, chain: &PromptChain) -> u32 {
        let link = chain.links()[0];
        let mut found = link.tokens;
        for stage in path.route.stages() {
            let held = self.held.entry(stage.endpoint.clone()).or_default();
            match held.iter().position(|key| *key == link.key) {
                Some(index) => drop(held.remove(index)),
                None => found = 0,
            }
            if self.room > 0 {
                held.push_back(link.key);
            }
            while held.len() > self.room {
                held.pop_front();
            }
        }
        found
    }
}

type Names = (ModelId, cassiafield_core::ids::ServiceId, cassiafield_core::ids::ZoneId);

fn request(names: &Names, memory_fraction: f64) -> PathRequest<'_> {
    let (model, service, zone) = names;
    PathRequest {
        model,
        service,
        zone,
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        excluded: &[],
        allowed_firsts: None,
        memory_fraction,
        foreign_memory_fraction: memory_fraction,
    }
}

fn whole(names: &[&str]) -> Vec<EndpointEntry> {
    names.iter().map(|name| entry(name, "fast", "a", Some(span(0, 80)))).collect()
}

const FOUR: [&str; 4] = ["e1", "e2", "e3", "e4"];

/// Plays 400 requests to 16 endpoints, of which `share` of 100 have one beginning and the others one of
/// their own.
fn play_share(share: u32, is_choosing: bool) -> Play {
    let names: Vec<String> = (10..26).map(|number| format!("e{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut play = Play::new(whole(&names), is_choosing);
    let mut random = fastrand::Rng::with_seed(7);
    for number in 0..400 {
        let is_shared = random.u32(0..100) < share;
        let chain = chain(if is_shared { 1 } else { 0x1000 + number });
        play.request(&chain, Duration::from_millis(25));
    }
    play
}

#[test]
fn one_beginning_at_1_of_100_requests_costs_the_others_nothing() {
    let (with, without) = (play_share(1, true), play_share(1, false));
    assert!(with.waited_ms <= without.waited_ms, "{} {}", with.waited_ms, without.waited_ms);
}

#[test]
fn one_beginning_at_10_of_100_requests_is_found_held_more_often() {
    let (with, without) = (play_share(10, true), play_share(10, false));
    assert!(with.found > without.found, "{} {}", with.found, without.found);
    assert!(with.waited_ms < without.waited_ms, "{} {}", with.waited_ms, without.waited_ms);
}

#[test]
fn one_beginning_at_60_of_100_requests_spreads_over_several_endpoints() {
    let (with, without) = (play_share(60, true), play_share(60, false));
    assert!(with.waited_ms < without.waited_ms, "{} {}", with.waited_ms, without.waited_ms);
    let key = chain(1).links()[0].key;
    let copies = with.held.values().filter(|held| held.contains(&key)).count();
    assert!(copies >= 2, "{copies}");
    let most = with.sent_to.values().max().copied().unwrap_or_default();
    assert!(most <= 240, "one endpoint got {most} of 400");
}

#[test]
fn more_beginnings_than_memory_cost_at_most_the_stated_part() {
    let play = |is_choosing| {
        let mut play = Play::new(whole(&FOUR), is_choosing);
        play.room = 4;
        let mut random = fastrand::Rng::with_seed(3);
        for _ in 0..600 {
            play.request(&chain(random.u32(0..120)), Duration::from_millis(25));
        }
        play.waited_ms
    };
    let (with, without) = (play(true), play(false));
    assert!(with <= without * (1.0 + PrefixChoice::MAX_EXTRA_FRACTION), "{with} {without}");
}

#[test]
fn beliefs_that_are_all_wrong_cost_at_most_the_stated_part() {
    let play = |is_choosing| {
        let mut play = Play::new(whole(&FOUR), is_choosing);
        play.room = 0;
        for number in 0..600 {
            play.request(&chain(number % 5), Duration::from_millis(25));
        }
        play.waited_ms
    };
    let (with, without) = (play(true), play(false));
    assert!(with <= without * (1.0 + PrefixChoice::MAX_EXTRA_FRACTION), "{with} {without}");
}

/// Returns a play in which the slower `held` of two endpoints holds a beginning.
fn held_at_the_busier_endpoint() -> (Play, PromptChain) {
    let mut play = Play::new(whole(&["e1", "e2"]), true);
    let chain = chain(1);
    let stages = play.best().route.stages().to_vec();
    assert_eq!(stages[0].endpoint, endpoint("e1"));
    play.table.record_read(&stages, &chain, &play.directory, play.now);
    let busy = play.load.reserve(&play.best().route, 1_000);
    play.running.push((START + Duration::from_secs(600), busy));
    (play, chain)
}

fn first(decision: &PrefixDecision) -> EndpointId {
    decision.path.route.stages()[0].endpoint.clone()
}

#[test]
fn a_held_beginning_outweighs_a_slightly_busier_endpoint() {
    let (play, chain) = held_at_the_busier_endpoint();
    assert_eq!(play.best().route.stages()[0].endpoint, endpoint("e2"));
    let decision = play.decide(&chain);
    assert_eq!((decision.reason, first(&decision)), (PrefixReason::Held, endpoint("e1")));
    assert_eq!(decision.path.held_tokens, 3_200);
}

#[test]
fn a_hot_beginning_whose_endpoint_restarts_is_forgotten() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    let mut list = whole(&["e1", "e2"]);
    list[0].incarnation = EndpointIncarnation(2);
    play.directory.apply_list(list, play.now);
    assert_eq!(play.decide(&chain).reason, PrefixReason::NotHeld);
    play.table.expire(&play.directory, play.now);
    assert!(play.table.is_empty());
}

#[test]
fn a_beginning_is_forgotten_with_new_weights_or_other_layers() {
    for change in [
        |entry: &mut EndpointEntry| entry.software = "v2".into(),
        |entry: &mut EndpointEntry| entry.span = Some(span(0, 79)),
    ] {
        let (mut play, chain) = held_at_the_busier_endpoint();
        let mut list = whole(&["e1", "e2"]);
        change(&mut list[0]);
        play.directory.apply_list(list, play.now);
        assert_eq!(play.decide(&chain).reason, PrefixReason::NotHeld);
    }
}

#[test]
fn a_hot_beginning_whose_endpoint_leaves_is_read_elsewhere() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    let life = play.directory.life(&endpoint("e1")).expect("listed");
    play.directory.record_leaving(&life, play.now);
    assert_eq!(first(&play.decide(&chain)), endpoint("e2"));
}

#[test]
fn a_hot_beginning_whose_endpoint_is_suspect_is_read_elsewhere() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    play.directory.record_failure(&endpoint("e1"), play.now);
    let decision = play.decide(&chain);
    assert_eq!((decision.reason, first(&decision)), (PrefixReason::NotHeld, endpoint("e2")));
}

#[test]
fn a_hot_beginning_whose_endpoint_turns_slow_is_read_elsewhere() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    let slow = EngineReading { slowdown: 4.0, used: 0.0, total: 1e9 };
    play.load.record_reading(endpoint("e1"), slow, play.now);
    let decision = play.decide(&chain);
    assert_eq!((decision.reason, first(&decision)), (PrefixReason::ReadAgain, endpoint("e2")));
}

#[test]
fn prompts_that_a_holder_still_reads_count_as_a_wait() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    let held = play.decide(&chain).path;
    assert_eq!(held.route.stages()[0].endpoint, endpoint("e1"));
    let whole = PlannedPath { spared_ms: 0.0, ..held };
    for _ in 0..3 {
        play.table.record_reading(&whole, play.now);
    }
    let decision = play.decide(&chain);
    assert_eq!((decision.reason, first(&decision)), (PrefixReason::ReadAgain, endpoint("e2")));
    play.now = play.now + Duration::from_secs(5);
    assert_eq!(first(&play.decide(&chain)), endpoint("e1"));
}

#[test]
fn a_beginning_at_an_endpoint_short_of_memory_does_not_count() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    let entry = play.directory.entry(&endpoint("e1")).expect("listed").clone();
    let used = play.planner().free_memory(&entry) * 0.9;
    let full = EngineReading { slowdown: 1.0, used, total: 1e9 };
    play.load.record_reading(endpoint("e1"), full, play.now);
    assert_eq!(play.decide(&chain).reason, PrefixReason::MemoryShort);
}

#[test]
fn beginnings_that_no_longer_fit_are_dropped_least_recently_used_first() {
    let (mut play, old) = held_at_the_busier_endpoint();
    let new = chain(2);
    let stages = play.directory.entry(&endpoint("e1")).map(|_| play.running.len());
    assert_eq!(stages, Some(1));
    let route = {
        play.table.record_free_memory(&endpoint("e2"), 0.0);
        let decision = play.decide(&old);
        decision.path.route
    };
    play.now = play.now + Duration::from_secs(1);
    play.table.record_read(route.stages(), &new, &play.directory, play.now);
    play.table.record_free_memory(&endpoint("e1"), 3_200.0 * 80.0);
    let used_at = |chain: &PromptChain| play.table.used_at(&endpoint("e1"), chain.links()[0].key);
    assert_eq!((used_at(&old), used_at(&new).is_some()), (None, true));
}

#[test]
fn a_beginning_counts_only_where_every_stage_holds_it() {
    let half = |name: &str, start, end| entry(name, "fast", "a", Some(span(start, end)));
    let entries =
        vec![half("a1", 0, 40), half("a2", 40, 80), half("b1", 0, 40), half("b2", 40, 80)];
    let mut play = Play::new(entries, true);
    let chain = chain(1);
    let route = play.best().route;
    play.table.record_read(&route.stages()[..1], &chain, &play.directory, play.now);
    assert_eq!(play.decide(&chain).path.held_tokens, 0);
    play.table.record_read(route.stages(), &chain, &play.directory, play.now);
    assert_eq!(play.decide(&chain).path.held_tokens, 3_200);
}

#[test]
fn a_held_beginning_gives_an_organisation_over_its_share_no_room() {
    let (mut play, chain) = held_at_the_busier_endpoint();
    let entry = play.directory.entry(&endpoint("e1")).expect("listed").clone();
    let used = play.planner().free_memory(&entry) * 0.6;
    let reading = EngineReading { slowdown: 1.0, used, total: 1e9 };
    play.load.record_reading(endpoint("e1"), reading, play.now);
    assert_eq!(first(&play.decide(&chain)), endpoint("e1"));
    let decision = play.decide_within(&chain, 0.5);
    assert_eq!((decision.reason, first(&decision)), (PrefixReason::NoPath, endpoint("e2")));
}

#[test]
fn two_hosts_that_believe_differently_agree_after_one_digest() {
    let (mut one, chain) = held_at_the_busier_endpoint();
    let (mut other, _) = held_at_the_busier_endpoint();
    other.table = PrefixTable::default();
    assert_eq!(other.decide(&chain).reason, PrefixReason::NotHeld);
    for _ in 0..2 {
        one.table.record_request(&chain, one.now);
    }
    let digest = one.table.digest(one.now);
    other.table.merge(digest.clone(), &other.directory, other.now);
    assert_eq!(other.decide(&chain).reason, PrefixReason::Held);
    // What a peer reported is not forwarded.
    other.table.record_request(&chain, other.now);
    other.table.record_request(&chain, other.now);
    assert!(other.table.digest(other.now).is_empty());
    // The same report does not bring back what an answer refuted.
    let stages = other.decide(&chain).path.route;
    let evidence = PrefixEvidence::Reported { tokens: 0 };
    other.table.record_evidence(stages.stages(), &chain, 3_200, evidence, other.now);
    other.table.merge(digest, &other.directory, other.now);
    assert_eq!(other.decide(&chain).reason, PrefixReason::NotHeld);
}

#[test]
fn digests_of_195_hosts_stay_within_the_stated_bytes() {
    const HOSTS: usize = 195;
    let names: Vec<String> =
        (0..100).map(|number| format!("endpoint-with-name-{number:05}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut play = Play::new(whole(&names), true);
    for number in 0..2_000 {
        let chain = chain(number % 400);
        play.request(&chain, Duration::from_millis(2));
    }
    let digest = play.table.digest(play.now);
    let entries: usize = digest.held.values().map(|(_, entries)| entries.len()).sum();
    assert_eq!(entries, PrefixDigest::MAX_ENTRIES);
    let bytes = rmp_serde::to_vec_named(&digest).expect("encodes").len();
    assert!(bytes <= PrefixDigest::MAX_BYTES, "{bytes}");
    let per_second = PrefixDigest::bytes_per_second(HOSTS);
    assert!(per_second <= 17_000, "{per_second} bytes a second to each host");
}

#[test]
fn a_route_without_affinity_and_an_engine_that_keeps_nothing_are_placed_as_before() {
    let rule = RouteRule {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RequestKind::ResumableStream,
        targets: Vec::new(),
        attempts: 2,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(500),
        event_gap_objective: None,
        priority: 0,
        is_public: false,
        has_affinity: true,
    };
    let keeping = light_engine();
    assert_eq!(CacheProfile::in_force(&rule, &keeping), Some(&CACHE));
    assert_eq!(CacheProfile::in_force(&rule, &engine()), None);
    let plain = RouteRule { has_affinity: false, ..rule.clone() };
    assert_eq!(CacheProfile::in_force(&plain, &keeping), None);
    let call = RouteRule { kind: RequestKind::Idempotent, ..rule };
    assert_eq!(CacheProfile::in_force(&call, &keeping), None);
}

#[test]
fn beginnings_are_named_by_all_that_comes_before() {
    let of = |text: &str| {
        let prefix: PromptPrefix = text.parse().expect("always valid");
        PromptChain::new(&prefix, &service(), &model(), &CACHE)
    };
    let (one, other) = (of("a:100,b:100,1:5"), of("c:100,b:100,1:5"));
    assert_eq!(one.links()[0], of("a:100,d:9,1:5").links()[0]);
    assert_ne!(one.links()[1].key, other.links()[1].key);
    let tokens: Vec<u32> = one.links().iter().map(|link| link.tokens).collect();
    assert_eq!(tokens, [96, 192]);
    assert!(of("a:15,1:5").is_empty());
    // What follows an entry that cannot be read, or is repeated, is not known to be a beginning.
    assert_eq!(of("a:100,?:1,b:100,1:5").links().len(), 1);
    assert_eq!(of("a:100,a:100,b:100,1:5").links().len(), 1);
}

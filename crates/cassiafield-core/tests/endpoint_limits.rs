//! Limits that endpoints name, and turns at them, in virtual time.

mod engine_support;

use {
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment},
        process::{
            EndpointDirectory, EndpointIncarnation, EndpointLimits, EngineLoad, HostShare,
            LimitReport, OrganisationLoad, PathError, PathPlanner, PathRequest, ServiceChoice,
            TurnReply, TurnSchedule,
        },
        request::{RequestRate, RequestRateError},
    },
    engine_support::{directory, endpoint, engine, entry, service, span, zone},
    proptest::prelude::*,
    std::time::Duration,
};

const START: Moment = Moment::from_millis(100_000);
const FIRST: EndpointIncarnation = EndpointIncarnation(1);

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

fn rate(text: &str) -> RequestRate {
    text.parse().expect("a rate")
}

fn name() -> EndpointId {
    endpoint("e1")
}

fn report(text: &str, is_over: bool, age_ms: u32) -> LimitReport {
    LimitReport { incarnation: FIRST, rate: rate(text), is_over, age_ms }
}

fn limited(text: &str) -> EndpointLimits {
    let mut limits = EndpointLimits::default();
    limits.record_named(&name(), FIRST, rate(text), at(0));
    limits
}

fn granted(reply: TurnReply) -> Option<Duration> {
    match reply {
        TurnReply::Granted { delay } => Some(delay),
        TurnReply::Refused { .. } => None,
    }
}

/// Guards against values that end a host or are taken for a limit.
#[test]
fn odd_values_are_refused_or_bounded() {
    for text in ["", "soon", "nan", "inf", "infinity", "1,2", "0x1", "1 2"] {
        assert_eq!(text.parse::<RequestRate>(), Err(RequestRateError::Malformed), "{text:?}");
    }
    for text in ["-1", "-0.5", "-1e300"] {
        assert_eq!(text.parse::<RequestRate>(), Err(RequestRateError::Negative), "{text:?}");
    }
    for text in ["1e30", "1e400", "1000000000"] {
        assert_eq!(rate(text), RequestRate::MAX, "{text:?}");
    }
    for text in ["0", "-0", "0.0", "1e-300"] {
        assert_eq!(rate(text), RequestRate::ZERO, "{text:?}");
    }
    assert_eq!(rate(" 2.5 ").interval(), Some(Duration::from_millis(400)));
}

/// Guards against a limit that silence ends, and against one of nothing that lasts for ever.
#[test]
fn a_limit_lasts_through_silence_and_always_leaves_trials() {
    let limits = limited("0");
    for millis in [0, 1_000, 3_600_000] {
        let found = limits.rate(&name(), FIRST, at(millis)).expect("a limit");
        assert_eq!(found, EndpointLimits::TRIAL_RATE);
    }
    assert_eq!(limited("0.2").rate(&name(), FIRST, at(600_000)), Some(rate("0.2")));
}

/// Guards against an answer to a request that was sent before the limit was named.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let mut limits = limited("2");
    assert!(!limits.record_unnamed(&name(), FIRST, at(0)));
    assert!(!limits.record_unnamed(&name(), FIRST, START.earlier_by(Duration::from_secs(1))));
    assert!(limits.rate(&name(), FIRST, at(10)).is_some());
    assert!(limits.record_unnamed(&name(), FIRST, at(5)));
    assert!(!limits.record_unnamed(&name(), FIRST, at(6)));
}

/// Guards against load that returns all at once after a limit has ended.
#[test]
fn the_rate_grows_in_steps_after_a_limit_has_ended() {
    let mut limits = limited("2");
    limits.record_unnamed(&name(), FIRST, at(5));
    let rates: Vec<f64> = (0..20)
        .map(|step| limits.rate(&name(), FIRST, at(5 + step * 100)).expect("a rate"))
        .map(RequestRate::as_per_second)
        .collect();
    assert!((rates[0] - 2.0).abs() < 0.01, "{rates:?}");
    assert!(rates.windows(2).all(|pair| pair[1] > pair[0] && pair[1] < pair[0] * 2.0));
    assert_eq!(limits.rate(&name(), FIRST, at(2_100)), None);
}

/// Guards against a limit that outlives the run of the endpoint that named it, and against an older
/// run's word.
#[test]
fn a_limit_belongs_to_one_run_of_its_endpoint() {
    let mut limits = limited("2");
    let next = EndpointIncarnation(2);
    assert_eq!(limits.rate(&name(), next, at(1)), None);
    limits.record_named(&name(), next, rate("5"), at(2));
    assert_eq!(limits.rate(&name(), next, at(3)), Some(rate("5")));
    assert!(!limits.merge(&name(), report("1", false, 0), at(4)));
    assert_eq!(limits.rate(&name(), next, at(5)), Some(rate("5")));
}

/// Guards against words of peers that are older than what this host has heard itself.
#[test]
fn an_older_word_of_a_peer_overrides_no_newer_one() {
    let mut limits = EndpointLimits::default();
    assert!(limits.merge(&name(), report("3", false, 200), at(300)));
    assert!(!limits.merge(&name(), report("3", true, 400), at(400)));
    assert!(!limits.merge(&name(), report("9", false, 350), at(420)));
    assert_eq!(limits.rate(&name(), FIRST, at(430)), Some(rate("3")));
    assert!(limits.merge(&name(), report("4", false, 20), at(450)));
    assert!(limits.merge(&name(), report("4", true, 10), at(500)));
    // The end of a limit that nobody here knew is no news after the load has returned.
    let mut other = EndpointLimits::default();
    assert!(!other.merge(&name(), report("4", true, 60_000), at(60_500)));
    assert!(other.report(true, at(60_500)).is_empty());
}

/// Guards against a word that two hosts tell each other for ever, which would get younger with each
/// message.
#[test]
fn a_word_that_comes_back_from_a_peer_does_not_get_younger() {
    let (mut one, mut other) = (limited("3"), EndpointLimits::default());
    for step in 0..100 {
        let now = at(step * 150);
        for (endpoint, found) in one.report(true, now) {
            other.merge(&endpoint, found, now + Duration::from_millis(20));
        }
        for (endpoint, found) in other.report(true, now) {
            one.merge(&endpoint, found, now + Duration::from_millis(20));
        }
    }
    let age = one.report_of(&name(), at(15_000)).expect("a word").age_ms;
    assert!(age >= 14_500, "{age} ms");
}

/// Guards against changes that peers are not told, and against messages that grow without bound.
#[test]
fn changes_are_reported_at_once_and_reports_are_bounded() {
    let mut limits = EndpointLimits::default();
    for number in 0..6_000 {
        limits.record_named(&endpoint(&format!("e{number}")), FIRST, rate("1"), at(number));
    }
    assert!(limits.report(true, at(6_000)).len() <= 256);
    limits.record_unnamed(&endpoint("e7"), FIRST, at(6_100));
    assert!(limits.report(false, at(6_200))[&endpoint("e7")].is_over);
}

/// Guards against a table that forgets limits of listed endpoints, and one that keeps all others.
#[test]
fn limits_of_endpoints_that_are_gone_are_forgotten_after_a_time() {
    let mut limits = limited("1");
    limits.retain_listed(|_| false, at(60_000));
    assert!(limits.rate(&name(), FIRST, at(60_000)).is_some());
    limits.retain_listed(|_| true, at(3_600_000));
    assert!(limits.rate(&name(), FIRST, at(3_600_000)).is_some());
    limits.retain_listed(|_| false, at(3_600_001));
    assert_eq!(limits.rate(&name(), FIRST, at(3_600_001)), None);
}

/// Guards against requests that wait at a limited endpoint while another one stands free.
#[test]
fn calls_and_streams_avoid_an_endpoint_without_a_free_turn() {
    let now = at(10);
    let model: ModelId = "m".parse().expect("a valid name");
    let mut directory: EndpointDirectory = directory(vec![
        entry("e1", "fast", "a", Some(span(0, 40))),
        entry("e2", "fast", "b", Some(span(0, 40))),
        entry("e3", "fast", "a", Some(span(40, 80))),
    ]);
    let planned = |directory: &EndpointDirectory| {
        let (engine, load) = (engine(), EngineLoad::default());
        let planner = PathPlanner { directory, load: &load, engine: &engine, now };
        let path = planner.plan(&PathRequest {
            model: &model,
            service: &service(),
            zone: &zone("a"),
            prompt_tokens: 800,
            output_tokens: 200,
            excluded: &[],
            allowed_firsts: None,
            memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
            foreign_memory_fraction: OrganisationLoad::MAX_MEMORY_FRACTION,
        })?;
        Ok(path.route.stages()[0].endpoint.clone())
    };
    let service = service();
    let choice =
        ServiceChoice { service: &service, zone: &zone("a"), excluded: &[], at_most_once: false };
    assert_eq!(planned(&directory), Ok(endpoint("e1")));
    directory.record_limit(&endpoint("e1"), Some(rate("1")), at(0), at(0));
    let refused = TurnReply::Refused { free_in: Duration::from_millis(700) };
    directory.record_turn_reply(&endpoint("e1"), refused, now);
    assert_eq!(planned(&directory), Ok(endpoint("e2")));
    let chosen = directory.choose(&choice, now).expect("an endpoint");
    assert_ne!(chosen.endpoint, endpoint("e1"));
    assert_eq!(directory.service_unavailable_until(&service, now), None);
    directory.record_limit(&endpoint("e2"), Some(rate("1")), at(0), at(0));
    directory.record_turn_reply(&endpoint("e2"), refused, now);
    let until = now + Duration::from_millis(700);
    assert_eq!(planned(&directory), Err(PathError::Unavailable { until }));
    directory.record_limit(&endpoint("e3"), Some(rate("1")), at(0), at(0));
    directory.record_turn_reply(&endpoint("e3"), refused, now);
    assert_eq!(planned(&directory), Err(PathError::Unavailable { until }));
    assert_eq!(directory.service_unavailable_until(&service, now), Some(until));
}

/// Guards against an endpoint that is left alone after it takes more, since it had no turn free before.
#[test]
fn a_new_rate_or_the_end_of_a_limit_frees_the_endpoint() {
    for (text, is_over) in [("50", false), ("0", true)] {
        let mut limits = limited("0");
        limits.record_full(&name(), at(9_000));
        assert!(limits.full_until(&name(), FIRST, at(10)).is_some());
        assert!(limits.merge(&name(), report(text, is_over, 0), at(500)));
        assert_eq!(limits.full_until(&name(), FIRST, at(510)), None, "{text}");
    }
}

/// Guards against a schedule that grants a burst when it begins, changes its rate or takes turns back.
#[test]
fn a_schedule_begins_with_nothing_and_keeps_one_turn_at_most() {
    let mut schedule = TurnSchedule::new(rate("2"), at(0));
    let wait = Duration::from_millis(600);
    assert_eq!(granted(schedule.acquire(rate("2"), Duration::ZERO, at(0))), None);
    assert_eq!(granted(schedule.acquire(rate("2"), wait, at(0))), Some(Duration::from_millis(500)));
    schedule.give_back();
    assert_eq!(
        granted(schedule.acquire(rate("2"), wait, at(100))),
        Some(Duration::from_millis(400))
    );
    let later = at(60_000);
    let burst =
        (0..10).filter(|_| granted(schedule.acquire(rate("2"), Duration::ZERO, later)).is_some());
    assert_eq!(burst.count(), 2);
    for _ in 0..100 {
        schedule.give_back();
    }
    let burst =
        (0..10).filter(|_| granted(schedule.acquire(rate("2"), Duration::ZERO, later)).is_some());
    assert_eq!(burst.count(), 2);
}

/// Guards against hosts that all send at the moment at which they lose touch.
#[test]
fn a_share_is_never_used_before_it_is_due_and_lapses() {
    let mut share = HostShare::default();
    let own = rate("0.5");
    assert_eq!(granted(share.acquire(own, 0.5, Duration::ZERO, at(0))), None);
    assert!(granted(share.acquire(own, 0.5, Duration::ZERO, at(2_100))).is_some());
    assert_eq!(granted(share.acquire(own, 0.5, Duration::ZERO, at(2_200))), None);
    assert_eq!(granted(share.acquire(own, 0.5, Duration::ZERO, at(60_000))), None);
}

proptest! {
    /// Guards against any pattern of requests that gets more turns than the rate and one.
    #[test]
    fn turns_in_any_window_are_bounded_by_the_rate(
        steps in proptest::collection::vec((0u64..400, 0u64..300, any::<bool>()), 1..300),
        per_second in 1u32..40,
    ) {
        let limit = RequestRate::per_second(f64::from(per_second) / 4.0);
        let mut schedule = TurnSchedule::new(limit, at(0));
        let (mut now, mut turns) = (0, Vec::new());
        for (step, wait, is_used) in steps {
            now += step;
            let reply = schedule.acquire(limit, Duration::from_millis(wait), at(now));
            match granted(reply) {
                Some(delay) if is_used => turns.push(at(now) + delay),
                Some(_) => schedule.give_back(),
                None => {}
            }
        }
        turns.sort();
        for (index, from) in turns.iter().enumerate() {
            let within = turns[index..].iter().filter(|at| at.since(*from) < Duration::from_secs(4));
            let allowed = limit.as_per_second() * 4.0 + 2.0;
            prop_assert!(within.count() as f64 <= allowed + 1e-6);
        }
    }
}

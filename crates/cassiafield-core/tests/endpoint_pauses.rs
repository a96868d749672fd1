//! Pauses that endpoints ask a host for, in virtual time.

mod engine_support;

use {
    cassiafield_core::{
        ids::{ModelId, Moment},
        process::{
            EndpointDirectory, EndpointIncarnation, EngineLoad, OrganisationLoad, PathError,
            PathPlanner, PathRequest, ServiceChoice,
        },
        request::{RetryAfter, RetryAfterError},
    },
    engine_support::{directory, endpoint, engine, entry, service, span, zone},
    proptest::prelude::*,
    std::time::Duration,
};

const START: Moment = Moment::from_millis(100_000);

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

fn asked(text: &str) -> RetryAfter {
    text.parse().expect("a time")
}

fn record_pause(
    directory: &mut EndpointDirectory,
    name: &str,
    seconds: &str,
    spread: f64,
    now: Moment,
) -> Moment {
    let life = directory.life(&endpoint(name)).expect("a listed endpoint");
    directory.record_pause(&life, asked(seconds), spread, now)
}

fn chosen(directory: &EndpointDirectory, now: Moment) -> Option<String> {
    let choice =
        ServiceChoice { service: &service(), zone: &zone("a"), excluded: &[], at_most_once: false };
    directory.choose(&choice, now).map(|entry| entry.endpoint.to_string())
}

fn plan(directory: &EndpointDirectory, now: Moment) -> Result<Vec<String>, PathError> {
    let model: ModelId = "m".parse().expect("a valid name");
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
    Ok(path.route.stages().iter().map(|stage| stage.endpoint.to_string()).collect())
}

/// Guards against values that end a host or take an endpoint away for good.
#[test]
fn odd_values_are_refused_or_bounded() {
    for text in
        ["", "soon", "nan", "inf", "infinity", "Wed, 21 Oct 2026 07:28:00 GMT", "1,2", "0x1"]
    {
        assert_eq!(text.parse::<RetryAfter>(), Err(RetryAfterError::Malformed), "{text:?}");
    }
    for text in ["-1", "-0.5", "-1e300"] {
        assert_eq!(text.parse::<RetryAfter>(), Err(RetryAfterError::Negative), "{text:?}");
    }
    for (text, millis) in [("0", 0), ("-0", 0), (" 1.25 ", 1_250), ("7", 7_000), ("1e-3", 1)] {
        assert_eq!(asked(text).duration(), Duration::from_millis(millis), "{text:?}");
    }
    for text in ["601", "1e300", "99999999999999999999999999", "1e999"] {
        assert_eq!(asked(text).duration(), RetryAfter::MAX, "{text:?}");
    }
}

proptest! {
    #[test]
    fn any_value_is_read_or_refused(text in ".*", seconds in any::<f64>()) {
        for text in [text, seconds.to_string()] {
            if let Ok(read) = text.parse::<RetryAfter>() {
                prop_assert!(read.duration() <= RetryAfter::MAX);
            }
        }
    }
}

/// Guards against requests to an endpoint within its pause, from any choice of an endpoint.
#[test]
fn an_endpoint_in_a_pause_is_not_chosen() {
    let mut directory = directory(vec![
        entry("e1", "fast", "a", Some(span(0, 40))),
        entry("e2", "fast", "b", Some(span(0, 40))),
        entry("e3", "fast", "a", Some(span(40, 80))),
    ]);
    let path = |first: &str| Ok(vec![first.to_owned(), "e3".to_owned()]);
    assert_eq!(plan(&directory, at(0)), path("e1"));
    record_pause(&mut directory, "e1", "3", 0.0, at(0));
    assert_eq!(chosen(&directory, at(3_000)).as_deref(), Some("e1"));
    for millis in [1, 500, 2_999] {
        assert_eq!(chosen(&directory, at(millis)).as_deref(), Some("e3"));
        assert_eq!(plan(&directory, at(millis)), path("e2"));
        assert_eq!(directory.service_unavailable_until(&service(), at(millis)), None);
    }
    assert_eq!(plan(&directory, at(3_000)), path("e1"));
}

/// Guards against a pause that a success, a shorter wish or an entry that lapses ends too early.
#[test]
fn only_its_end_or_a_restart_of_the_endpoint_ends_a_pause() {
    let entries = || vec![entry("e1", "fast", "a", Some(span(0, 80)))];
    let mut directory = directory(entries());
    record_pause(&mut directory, "e1", "5", 0.0, at(0));
    record_pause(&mut directory, "e1", "1", 0.0, at(100));
    record_pause(&mut directory, "e1", "0", 0.0, at(200));
    directory.record_success(&endpoint("e1"), None);
    directory.record_progress(&endpoint("e1"), at(300));
    directory.apply_list(Vec::new(), at(400));
    assert_eq!(directory.len(), 0);
    directory.apply_list(entries(), at(500));
    assert_eq!(directory.blocked_until(&endpoint("e1"), at(600)), Some(at(5_000)));
    let restarted = entries()
        .into_iter()
        .map(|entry| cassiafield_core::process::EndpointEntry {
            incarnation: EndpointIncarnation(entry.incarnation.0 + 1),
            ..entry
        })
        .collect();
    directory.apply_list(restarted, at(700));
    assert_eq!(directory.blocked_until(&endpoint("e1"), at(700)), None);
}

/// Guards against a pause that is forgotten because the endpoint is not listed when it asks.
#[test]
fn a_pause_counts_although_the_endpoint_is_not_listed_when_it_asks() {
    let entries = || vec![entry("e1", "fast", "a", Some(span(0, 80)))];
    let mut directory = directory(entries());
    let life = directory.life(&endpoint("e1")).expect("a listed endpoint");
    directory.apply_list(Vec::new(), at(100));
    assert_eq!(directory.len(), 0);
    assert_eq!(directory.record_pause(&life, asked("5"), 0.0, at(200)), at(5_200));
    directory.apply_list(entries(), at(300));
    assert_eq!(directory.blocked_until(&endpoint("e1"), at(400)), Some(at(5_200)));
}

/// Guards against a pause that is forgotten when the entry of the run that asked for it is listed: an
/// endpoint that has just restarted may ask before that.
#[test]
fn a_pause_asked_for_by_a_run_that_is_not_listed_yet_counts_for_it() {
    let run = |incarnation| {
        let entries = vec![entry("e1", "fast", "a", Some(span(0, 80)))].into_iter();
        let runs = entries.map(|entry| cassiafield_core::process::EndpointEntry {
            incarnation: EndpointIncarnation(incarnation),
            ..entry
        });
        runs.collect::<Vec<_>>()
    };
    let mut directory = directory(run(1_000));
    record_pause(&mut directory, "e1", "5", 0.0, at(0));
    directory.extend_pause(&endpoint("e1"), EndpointIncarnation(1_400));
    directory.apply_list(run(1_300), at(9));
    assert_eq!(directory.blocked_until(&endpoint("e1"), at(10)), Some(at(5_000)));
    directory.apply_list(run(1_500), at(200));
    assert_eq!(directory.blocked_until(&endpoint("e1"), at(210)), None);
}

/// Guards against callers that wait although it is known when a path returns.
#[test]
fn without_another_path_the_end_of_the_pause_is_known() {
    let mut directory = directory(vec![
        entry("e1", "fast", "a", Some(span(0, 40))),
        entry("e2", "fast", "a", Some(span(40, 80))),
        entry("e3", "slow", "a", Some(span(40, 80))),
    ]);
    record_pause(&mut directory, "e1", "2", 0.0, at(0));
    assert_eq!(plan(&directory, at(10)), Err(PathError::Unavailable { until: at(2_000) }));
    record_pause(&mut directory, "e2", "4", 0.0, at(0));
    record_pause(&mut directory, "e3", "3", 0.0, at(0));
    assert!(matches!(plan(&directory, at(10)), Err(PathError::Unavailable { .. })));
    assert_eq!(directory.service_unavailable_until(&service(), at(10)), Some(at(2_000)));
    // Another failure than a pause is named as it is.
    directory.apply_list(vec![entry("e1", "fast", "a", Some(span(0, 40)))], at(20));
    assert_eq!(plan(&directory, at(30)), Err(PathError::NoCover));
}

/// Guards against a load that returns all at once, from one host and from all hosts together.
#[test]
fn requests_return_in_steps_and_hosts_apart() {
    let mut directory = directory(vec![entry("e1", "fast", "a", Some(span(0, 80)))]);
    record_pause(&mut directory, "e1", "2", 0.0, at(0));
    let mut sends = Vec::new();
    for millis in 0..3_500 {
        if directory.blocked_until(&endpoint("e1"), at(millis)).is_none() {
            directory.record_send(&endpoint("e1"), at(millis));
            sends.push(millis);
        }
    }
    let count = |from, to| sends.iter().filter(|at| (from..to).contains(*at)).count();
    assert_eq!((count(0, 2_000), sends[0]), (0, 2_000));
    // The steps fall from 100 ms to 50 ms over the first half second.
    assert!((5..=10).contains(&count(2_000, 2_500)), "{}", count(2_000, 2_500));
    assert!(count(2_500, 3_000) > count(2_000, 2_500));
    assert_eq!(count(3_000, 3_500), 500);

    let ends: Vec<Moment> = (0..=10_u32)
        .map(|host| {
            let spread = f64::from(host) / 10.0;
            let mut directory =
                engine_support::directory(vec![entry("e1", "fast", "a", Some(span(0, 80)))]);
            record_pause(&mut directory, "e1", "4", spread, at(0))
        })
        .collect();
    assert!(ends.windows(2).all(|pair| pair[0] < pair[1]));
    assert_eq!((ends[0], ends[10]), (at(4_000), at(4_400)));
}

//! What speaks for and against parts of prompts and requests, in virtual time.

use {
    cassiafield_core::{
        ids::{CrashSubject, Moment},
        process::{CrashLedger, CrashReport, EndpointIncarnation, EndpointLife},
        request::{FingerprintSource, PromptPrefix, RequestIdentity},
    },
    proptest::prelude::*,
    std::time::Duration,
};

const START: Moment = Moment::from_millis(1_000_000);

fn at(millis: u64) -> Moment {
    START + Duration::from_millis(millis)
}

fn request(text: &str) -> RequestIdentity {
    let prefix: PromptPrefix = text.parse().expect("a prompt");
    prefix.into()
}

fn part(text: &str) -> CrashSubject {
    text.parse().expect("a part")
}

fn life(number: u64) -> EndpointLife {
    let endpoint = format!("i-{number}").parse().expect("a valid name");
    EndpointLife { endpoint, incarnation: EndpointIncarnation(1) }
}

/// Ends an endpoint under a request.
fn end(ledger: &mut CrashLedger, number: u64, text: &str, now: Moment) {
    ledger.record_break(vec![life(number)], &request(text), now);
    ledger.record_end(&life(number).endpoint, now);
}

fn judged(ledger: &mut CrashLedger, now: Moment) -> Vec<String> {
    ledger.judge(now).iter().map(|found| found.subject.to_string()).collect()
}

/// Returns a ledger in which part `bad` has ended three endpoints.
fn convinced() -> CrashLedger {
    let mut ledger = CrashLedger::default();
    for number in 0..3 {
        end(&mut ledger, number, &format!("aa:40,bad:9,{number:x}:7"), at(number * 1_000));
        ledger.record_survival(&request("aa:40,cc:9,ff:1"), at(number * 1_000 + 500));
    }
    ledger
}

#[test]
fn three_ends_under_three_requests_block_a_part() {
    let mut ledger = convinced();
    assert_eq!(judged(&mut ledger, at(3_000)), ["bad"]);
    assert!(judged(&mut ledger, at(3_000)).is_empty());
    let blocked = ledger.check(&request("dd:1,bad:9,77:1"), at(3_100)).expect("a blocked part");
    assert_eq!((blocked.ends, blocked.subject), (3, part("bad")));
    assert!(ledger.check(&request("aa:40,cc:9,77:1"), at(3_100)).is_none());
    // The last part is the request's own.
    assert!(ledger.check(&request("aa:40,bad:9"), at(3_100)).is_none());
}

/// Guards against blaming one request, one moment, or one endpoint several times.
#[test]
fn ends_that_are_not_independent_block_nothing() {
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        end(&mut ledger, number, "bad:9,1:7", at(number * 1_000));
    }
    assert!(judged(&mut ledger, at(7_000)).is_empty(), "one request");
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        end(&mut ledger, number, &format!("bad:9,{number:x}:7"), at(number * 10));
    }
    assert!(judged(&mut ledger, at(7_000)).is_empty(), "one moment");
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        end(&mut ledger, 1, &format!("bad:9,{number:x}:7"), at(number * 1_000));
    }
    assert!(judged(&mut ledger, at(7_000)).is_empty(), "one run of an endpoint");
}

/// Guards against blaming what happened to be at one of many endpoints that lost power together.
#[test]
fn ends_of_many_endpoints_at_once_speak_against_what_most_of_them_ran() {
    let (mut ledger, mut number) = (CrashLedger::default(), 0);
    for group in 0..4 {
        for rank in 0..6_u64 {
            let rare = if rank == 0 { "dd:9," } else { "" };
            end(&mut ledger, number, &format!("{rare}ee{rank}:9,{number:x}:7"), at(group * 5_000));
            number += 1;
        }
    }
    assert!(judged(&mut ledger, at(20_000)).is_empty());
    for group in 0..3 {
        for _ in 0..6 {
            end(&mut ledger, number, &format!("bad:9,{number:x}:7"), at(30_000 + group * 5_000));
            number += 1;
        }
    }
    assert_eq!(judged(&mut ledger, at(45_000)), ["bad"]);
}

/// Guards against evidence from connections that break at endpoints which live on.
#[test]
fn a_broken_connection_counts_only_once_its_endpoint_has_ended() {
    let mut ledger = CrashLedger::default();
    for number in 0..6 {
        ledger.record_break(vec![life(number)], &request(&format!("bad:9,{number:x}:7")), at(0));
    }
    assert!(judged(&mut ledger, at(100)).is_empty());
    // Found too late to be the reason.
    ledger.record_end(&life(0).endpoint, at(2_500));
    assert!(ledger.report(at(2_500)).is_empty());
    // In either order.
    ledger.record_end(&life(1).endpoint, at(3_000));
    ledger.record_break(vec![life(1)], &request("bad:9,5:7"), at(3_010));
    assert_eq!(ledger.report(at(3_020)).subjects.len(), 1);
}

/// Guards against blocking a part that other requests share and that was answered meanwhile.
#[test]
fn an_answer_clears_the_parts_of_its_request() {
    let mut ledger = convinced();
    ledger.record_survival(&request("bad:9,99:1"), at(2_500));
    assert!(judged(&mut ledger, at(3_000)).is_empty());
    let mut ledger = convinced();
    assert_eq!(judged(&mut ledger, at(3_000)), ["bad"]);
    ledger.record_survival(&request("bad:9,99:1"), at(3_500));
    assert_eq!(ledger.take_released(), [part("bad")]);
    assert!(ledger.check(&request("bad:9,9a:1"), at(3_600)).is_none());
}

#[test]
fn a_part_that_was_answered_lately_needs_more_ends() {
    let mut ledger = CrashLedger::default();
    ledger.record_survival(&request("bad:9,99:1"), at(0));
    for number in 1..=5 {
        end(&mut ledger, number, &format!("bad:9,{number:x}:7"), at(number * 1_000));
    }
    assert!(judged(&mut ledger, at(6_000)).is_empty());
    end(&mut ledger, 6, "bad:9,6:7", at(6_100));
    assert_eq!(judged(&mut ledger, at(6_400)), ["bad"]);
}

/// Guards against picking one of two parts that came together in all of the ends so far.
#[test]
fn two_parts_that_always_came_together_are_blocked_together_only() {
    let tied = || {
        let mut ledger = CrashLedger::default();
        for number in 0..3 {
            end(&mut ledger, number, &format!("bad:9,dd:9,{number:x}:7"), at(number * 1_000));
        }
        assert_eq!(judged(&mut ledger, at(3_000)).len(), 1);
        assert!(ledger.check(&request("dd:9,bad:9,7:7"), at(3_000)).is_some());
        assert!(ledger.check(&request("bad:9,7:7"), at(3_000)).is_none());
        assert!(ledger.check(&request("dd:9,7:7"), at(3_000)).is_none());
        ledger
    };
    // Another end tells them apart, and so does an answer.
    let mut ledger = tied();
    end(&mut ledger, 3, "bad:9,ee:9,3:7", at(3_500));
    assert_eq!(judged(&mut ledger, at(3_600)), ["bad"]);
    assert!(ledger.check(&request("bad:9,7:7"), at(3_700)).is_some());
    assert!(ledger.check(&request("dd:9,7:7"), at(3_700)).is_none());
    let mut ledger = tied();
    ledger.record_survival(&request("dd:9,7:7"), at(3_500));
    judged(&mut ledger, at(3_600));
    assert!(ledger.check(&request("bad:9,8:7"), at(3_700)).is_some());
    assert!(ledger.check(&request("dd:9,8:7"), at(3_700)).is_none());
}

#[test]
fn a_request_is_repeated_once_unless_others_were_hit_too() {
    let mut ledger = CrashLedger::default();
    end(&mut ledger, 0, "bad:9,1:7", at(0));
    assert!(ledger.may_repeat(&request("bad:9,1:7"), 1));
    assert!(!ledger.may_repeat(&request("bad:9,1:7"), 2));
    assert!(ledger.may_repeat(&request("bad:9,2:7"), 0));
    end(&mut ledger, 1, "bad:9,2:7", at(500));
    assert!(!ledger.may_repeat(&request("bad:9,2:7"), 1));
}

/// Guards against evidence that is lost or counted twice on its way between hosts.
#[test]
fn two_halves_of_the_evidence_add_up_once() {
    let (mut first, mut second) = (CrashLedger::default(), CrashLedger::default());
    end(&mut first, 0, "bad:9,0:7", at(0));
    end(&mut first, 1, "bad:9,1:7", at(1_000));
    end(&mut second, 1, "bad:9,1:7", at(1_005));
    assert!(first.merge(second.report(at(1_100)), at(1_110)).is_empty());
    assert!(judged(&mut first, at(1_110)).is_empty());
    end(&mut second, 2, "bad:9,2:7", at(2_000));
    first.merge(second.report(at(2_050)), at(2_060));
    // Other evidence may be on its way.
    assert!(judged(&mut first, at(2_060)).is_empty());
    assert_eq!(judged(&mut first, at(2_260)), ["bad"]);
    // A host that has seen nothing takes the verdict over, with its age.
    let mut late = CrashLedger::default();
    let adopted = late.merge(first.report(at(5_260)), at(5_260));
    assert_eq!((adopted[0].subject.clone(), adopted[0].age), (part("bad"), Duration::from_secs(3)));
    assert!(late.check(&request("bad:9,9:7"), at(5_270)).is_some());
}

/// Guards against two hosts that keep a verdict alive between them after it was set aside.
#[test]
fn a_release_reaches_all_hosts_and_stays() {
    let mut hosts = [convinced(), CrashLedger::default(), CrashLedger::default()];
    assert_eq!(judged(&mut hosts[0], at(3_000)), ["bad"]);
    let exchange = |hosts: &mut [CrashLedger; 3], now: u64| {
        for from in 0..3 {
            let report = hosts[from].report(at(now));
            for to in (0..3).filter(|to| *to != from) {
                hosts[to].merge(report.clone(), at(now + 20));
                hosts[to].judge(at(now + 20));
            }
        }
    };
    exchange(&mut hosts, 3_100);
    assert!(hosts.iter().all(|host| host.blocked(at(3_200)).len() == 1));
    assert!(hosts[1].lift(&part("bad"), at(4_000)));
    for round in 0..100 {
        exchange(&mut hosts, 4_100 + round * 150);
    }
    assert!(hosts.iter().all(|host| host.blocked(at(20_000)).is_empty()));
}

/// Guards against a block that outlasts the requests it is for, and against a part that must end as
/// many endpoints again when its requests return.
#[test]
fn a_block_lapses_without_requests_and_one_end_renews_it() {
    let mut ledger = convinced();
    assert_eq!(judged(&mut ledger, at(3_000)), ["bad"]);
    let mut now = 3_000;
    for _ in 0..10 {
        now += 100_000;
        assert!(ledger.check(&request("bad:9,9:7"), at(now)).is_some(), "while requests come");
    }
    assert!(ledger.check(&request("bad:9,9:7"), at(now + 121_000)).is_none());

    let mut ledger = convinced();
    ledger.judge(at(3_000));
    assert!(judged(&mut ledger, at(130_000)).is_empty());
    assert_eq!(ledger.take_released(), [part("bad")]);
    end(&mut ledger, 9, "bad:9,9:7", at(131_000));
    assert_eq!(judged(&mut ledger, at(131_300)), ["bad"]);
}

/// Guards against tables that grow with the number of sessions.
#[test]
fn the_tables_are_bounded() {
    let mut ledger = convinced();
    ledger.judge(at(3_000));
    for number in 0..20_000_u64 {
        let text = format!("{number:x}a:1,{number:x}b:1,{number:x}:1");
        ledger.record_survival(&request(&text), at(3_100));
        end(&mut ledger, 100 + number, &text, at(3_100 + number));
    }
    let report = ledger.report(at(30_000));
    assert!(report.subjects.len() <= 64, "{} parts", report.subjects.len());
    assert!(
        report.subjects.iter().any(|found| found.subject == part("bad")),
        "the blocked part stays"
    );
}

proptest! {
    /// Any report of a peer is merged without harm.
    #[test]
    fn any_header_and_any_report_is_taken(
        text in ".{0,200}",
        ages in proptest::collection::vec(any::<u32>(), 0..6),
    ) {
        let parsed = request(&text);
        let mut ledger = CrashLedger::default();
        ledger.record_break(vec![life(1)], &parsed, at(0));
        ledger.record_end(&life(1).endpoint, at(0));
        ledger.judge(at(1));
        let mut report: CrashReport = convinced().report(at(2_500));
        for (found, age) in report.subjects.iter_mut().zip(&ages) {
            found.blocked_ms = Some(*age);
            found.requested_ms = ages.last().copied();
            found.survived_ms = ages.first().copied();
        }
        ledger.merge(report, at(10));
        ledger.judge(at(20));
        ledger.check(&parsed, at(30));
    }
}

/// Returns an attempt of a request without parts.
fn lookup(target: &str, attempt: u64) -> RequestIdentity {
    let identity = RequestIdentity::new(PromptPrefix::default(), attempt);
    let source = FingerprintSource { target, ..FingerprintSource::default() };
    identity.identify(|| source.into());
    identity
}

/// Ends an endpoint under an attempt of a request.
fn end_under(ledger: &mut CrashLedger, number: u64, identity: &RequestIdentity, now: Moment) {
    ledger.record_break(vec![life(number)], identity, now);
    ledger.record_end(&life(number).endpoint, now);
}

/// Guards against a request that comes again and goes on to end endpoints, and against others that are
/// blocked with it.
#[test]
fn three_ends_under_two_attempts_block_a_request() {
    let mut ledger = CrashLedger::default();
    end_under(&mut ledger, 1, &lookup("/bad", 1), at(0));
    assert!(ledger.may_repeat(&lookup("/bad", 1), 1));
    end_under(&mut ledger, 2, &lookup("/bad", 1), at(75));
    assert!(ledger.is_suspect(&lookup("/bad", 2)));
    assert!(!ledger.may_repeat(&lookup("/bad", 2), 1), "others have ended under it");
    end_under(&mut ledger, 3, &lookup("/bad", 2), at(200));
    assert!(judged(&mut ledger, at(300)).is_empty(), "an answer may be on its way");
    assert_eq!(judged(&mut ledger, at(800)).len(), 1);
    let blocked = ledger.check(&lookup("/bad", 3), at(900)).expect("a blocked request");
    assert!(blocked.subject.is_request());
    assert_eq!(blocked.ends, 3);
    assert!(ledger.check(&lookup("/good", 4), at(900)).is_none());
    assert!(ledger.lift(&blocked.subject, at(1_000)));
    assert!(ledger.check(&lookup("/bad", 5), at(1_100)).is_none());
}

/// Guards against blocking a request because of one attempt, whose endpoints may have ended together.
#[test]
fn one_attempt_or_one_moment_blocks_no_request() {
    let mut ledger = CrashLedger::default();
    for number in 0..4 {
        end_under(&mut ledger, number, &lookup("/one", 1), at(number * 500));
        end_under(&mut ledger, 10 + number, &lookup("/all", number), at(5_000 + number * 5));
    }
    assert!(judged(&mut ledger, at(10_000)).is_empty());
}

/// Guards against blocking a sound request that comes often while others end endpoints.
#[test]
fn an_answer_clears_a_request() {
    let mut ledger = CrashLedger::default();
    for number in 0..12 {
        end_under(&mut ledger, number, &lookup("/popular", number), at(number * 1_000));
        ledger.record_survival(&lookup("/popular", 100), at(number * 1_000 + 400));
        assert!(judged(&mut ledger, at(number * 1_000 + 900)).is_empty());
    }
    assert!(!ledger.is_suspect(&lookup("/popular", 200)));
}

/// Guards against hosts of which each has seen one end.
#[test]
fn evidence_on_a_request_adds_up_over_hosts() {
    let mut hosts = vec![CrashLedger::default(); 3];
    for (number, host) in hosts.iter_mut().enumerate() {
        let number = number as u64;
        end_under(host, number, &lookup("/bad", number), at(number * 500));
    }
    let reports: Vec<CrashReport> = hosts.iter().map(|host| host.report(at(1_100))).collect();
    let bytes: Vec<Vec<u8>> =
        reports.iter().map(|report| rmp_serde::to_vec(report).expect("encodes")).collect();
    let mut late = CrashLedger::default();
    for report in bytes {
        late.merge(rmp_serde::from_slice(&report).expect("decodes"), at(1_200));
    }
    assert_eq!(judged(&mut late, at(3_000)).len(), 1);
    assert!(late.check(&lookup("/bad", 9), at(3_000)).is_some());
}

/// Guards against callers that fill the table with different requests, and push out what speaks against
/// parts or against one request.
#[test]
fn many_different_requests_push_nothing_else_out() {
    let mut ledger = convinced();
    end_under(&mut ledger, 50, &lookup("/bad", 1), at(3_000));
    end_under(&mut ledger, 51, &lookup("/bad", 1), at(3_200));
    for number in 0..2_000 {
        ledger.record_break(
            vec![life(100 + number)],
            &lookup(&format!("/{number}"), number),
            at(4_000),
        );
        ledger.record_end(&life(100 + number).endpoint, at(4_000));
    }
    assert!(ledger.report(at(4_100)).subjects.len() <= 64);
    assert_eq!(judged(&mut ledger, at(4_500)), ["bad"]);
    end_under(&mut ledger, 52, &lookup("/bad", 2), at(6_000));
    assert_eq!(judged(&mut ledger, at(7_000)).len(), 1);
}

/// Guards against the hashing of every request's body while nothing is under suspicion.
#[test]
fn fingerprints_are_needed_only_after_an_end() {
    let mut ledger = CrashLedger::default();
    ledger.record_survival(&lookup("/good", 1), at(0));
    assert!(!ledger.needs_fingerprints());
    end_under(&mut ledger, 1, &lookup("/bad", 1), at(10));
    assert!(ledger.needs_fingerprints());
}

/// Guards against a popular sound request that is refused because one endpoint of two has ended.
#[test]
fn one_end_spares_no_endpoint() {
    let mut ledger = CrashLedger::default();
    end_under(&mut ledger, 1, &lookup("/x", 1), at(0));
    assert!(!ledger.has_just_ended_several(&lookup("/x", 2), at(10)));
    end_under(&mut ledger, 2, &lookup("/x", 2), at(100));
    assert!(ledger.has_just_ended_several(&lookup("/x", 3), at(110)));
    assert!(!ledger.has_just_ended_several(&lookup("/x", 3), at(6_000)));
    ledger.record_survival(&lookup("/x", 3), at(6_100));
    assert!(!ledger.has_just_ended_several(&lookup("/x", 4), at(6_110)));
}

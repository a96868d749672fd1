//! Leaving endpoints, ejection and its limit per pool, and the retry budget.

use {
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::{EndpointRecord, EndpointRole, EndpointState, EndpointTable, RetryBudget},
    },
    std::time::Duration,
};

fn record(index: usize) -> EndpointRecord {
    EndpointRecord {
        endpoint: id(index),
        address: format!("127.0.0.1:{index}").into(),
        zone: "zone-a".parse().unwrap(),
        role: EndpointRole::Service { service: "permits".parse().unwrap() },
        state: EndpointState::Live,
        slots: 4,
        link_micros: 1,
    }
}

fn id(index: usize) -> EndpointId {
    format!("permits-{index}").parse().unwrap()
}

fn table(count: usize) -> EndpointTable {
    let mut table = EndpointTable::new();
    table.replace_list((0..count).map(record).collect(), Moment::ORIGIN);
    table
}

fn usable(table: &EndpointTable, now: Moment) -> Vec<EndpointId> {
    table.usable(now).into_iter().map(|record| record.endpoint.clone()).collect()
}

#[test]
fn leaving_takes_precedence_over_a_stale_list() {
    let mut table = table(3);
    let now = Moment::from_millis(1_000);
    assert!(table.mark_leaving(id(1), now));
    table.replace_list((0..3).map(record).collect(), now + Duration::from_secs(1));
    assert_eq!(usable(&table, now), [id(0), id(2)]);
}

#[test]
fn an_endpoint_that_returns_at_another_address_is_usable() {
    let mut table = table(2);
    table.mark_leaving(id(1), Moment::ORIGIN);
    let moved = EndpointRecord { address: "127.0.0.1:99".into(), ..record(1) };
    table.replace_list(vec![record(0), moved], Moment::from_millis(10));
    assert_eq!(usable(&table, Moment::from_millis(10)), [id(0), id(1)]);
}

#[test]
fn a_failed_endpoint_gets_one_trial_after_its_ejection() {
    let mut table = table(3);
    let now = Moment::from_millis(1_000);
    table.record_failure(&id(0), now);
    assert_eq!(usable(&table, now), [id(1), id(2)]);
    let later = now + Duration::from_millis(500);
    assert_eq!(usable(&table, later), [id(0), id(1), id(2)]);
    table.record_dispatch(&id(0), later);
    assert_eq!(usable(&table, later), [id(1), id(2)], "a second request during the trial");
    table.record_success(&id(0));
    assert_eq!(usable(&table, later).len(), 3);
}

#[test]
fn no_endpoint_is_ejected_if_more_than_half_of_a_pool_fails() {
    let mut table = table(4);
    let now = Moment::from_millis(1_000);
    for index in 0..2 {
        table.record_failure(&id(index), now);
    }
    assert_eq!(usable(&table, now), [id(2), id(3)]);
    table.record_failure(&id(2), now);
    assert_eq!(usable(&table, now).len(), 4);
}

#[test]
fn retries_are_at_most_a_tenth_of_the_requests_under_total_failure() {
    const REQUESTS: u32 = 10_000;
    const INITIAL_RETRIES: u32 = 10;
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..REQUESTS {
        budget.record_request();
        while budget.try_acquire() {
            retries += 1;
        }
    }
    assert!(retries <= REQUESTS / 10 + INITIAL_RETRIES, "{retries}");
}

#[test]
fn an_inconclusive_trial_is_followed_by_another() {
    let mut table = table(3);
    let now = Moment::from_millis(1_000);
    table.record_failure(&id(0), now);
    let later = now + Duration::from_millis(600);
    table.record_dispatch(&id(0), later);
    assert!(!usable(&table, later).contains(&id(0)));
    table.record_end(&id(0));
    assert!(usable(&table, later).contains(&id(0)));
}

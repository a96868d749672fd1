//! Floods of log lines.

use {
    cassiafield::process::{LogEvent, LogRateLimiter},
    std::time::{Duration, Instant},
};

#[test]
fn a_flood_is_cut_and_what_was_left_out_is_told_with_the_next_line() {
    let budget = LogRateLimiter::default();
    let start = Instant::now();
    let written = (0..1_000).filter(|_| budget.try_acquire(start).is_some()).count();
    assert_eq!(u32::try_from(written), Ok(LogRateLimiter::LINES_PER_SECOND));
    assert_eq!(budget.try_acquire(start + Duration::from_millis(1_100)), Some(800));
    assert_eq!(budget.try_acquire(start + Duration::from_millis(1_200)), Some(0));
}

#[test]
fn events_have_budgets_of_their_own() {
    let refused = LogRateLimiter::for_event(LogEvent::RequestRefused);
    let started = LogRateLimiter::for_event(LogEvent::StreamStarted);
    assert!(!std::ptr::eq(refused, started));
    assert!(std::ptr::eq(refused, LogRateLimiter::for_event(LogEvent::RequestRefused)));
}

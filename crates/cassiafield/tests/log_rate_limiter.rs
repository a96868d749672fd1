//! Rate limit of log lines.

use {
    cassiafield::process::{LogEvent, LogRateLimiter},
    std::time::{Duration, Instant},
};

#[test]
fn excess_lines_are_suppressed_and_counted_with_the_next_line() {
    let limiter = LogRateLimiter::default();
    let start = Instant::now();
    let written = (0..1_000).filter(|_| limiter.try_acquire(start).is_some()).count();
    assert_eq!(u32::try_from(written), Ok(LogRateLimiter::LINES_PER_SECOND));
    assert_eq!(limiter.try_acquire(start + Duration::from_millis(1_100)), Some(800));
    assert_eq!(limiter.try_acquire(start + Duration::from_millis(1_200)), Some(0));
}

#[test]
fn every_event_has_its_own_limiter() {
    let refused = LogRateLimiter::for_event(LogEvent::RequestRefused);
    let started = LogRateLimiter::for_event(LogEvent::StreamStarted);
    assert!(!std::ptr::eq(refused, started));
    assert!(std::ptr::eq(refused, LogRateLimiter::for_event(LogEvent::RequestRefused)));
}

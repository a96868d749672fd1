use {
    crate::process::LogEvent,
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicU64, Ordering},
            Mutex, OnceLock, PoisonError,
        },
        time::{Duration, Instant},
    },
};

/// Limits the log lines per second of one event and counts the suppressed ones.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    window: Mutex<RateWindow>,
}

/// Lines that all limiters of the process have suppressed.
static SUPPRESSED: AtomicU64 = AtomicU64::new(0);

#[derive(Debug, Default)]
struct RateWindow {
    started_at: Option<Instant>,
    lines: u32,
    suppressed: u32,
}

impl LogRateLimiter {
    /// Log lines per second of one event. A host serves some tens of requests per second, each
    /// with a few log lines; only a flood of one event exceeds the limit.
    pub const LINES_PER_SECOND: u32 = 200;

    /// Returns the process-wide limiter of an event.
    #[must_use]
    pub fn for_event(event: LogEvent) -> &'static Self {
        static LIMITERS: OnceLock<HashMap<LogEvent, LogRateLimiter>> = OnceLock::new();
        static FALLBACK: OnceLock<LogRateLimiter> = OnceLock::new();
        let limiters = LIMITERS.get_or_init(|| {
            LogEvent::ALL.iter().map(|&event| (event, LogRateLimiter::default())).collect()
        });
        limiters.get(&event).unwrap_or_else(|| FALLBACK.get_or_init(LogRateLimiter::default))
    }

    /// Returns the number of lines suppressed since the process started.
    #[must_use]
    pub fn suppressed_total() -> u64 {
        SUPPRESSED.load(Ordering::Relaxed)
    }

    /// Requests permission to write one line at `now`.
    ///
    /// Returns the number of lines suppressed in the previous window, or `None` if this line must
    /// be suppressed.
    pub fn try_acquire(&self, now: Instant) -> Option<u32> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let has_expired = window.started_at.is_none_or(|started_at| {
            now.saturating_duration_since(started_at) >= Duration::from_secs(1)
        });
        let mut suppressed = 0;
        if has_expired {
            suppressed = window.suppressed;
            *window = RateWindow { started_at: Some(now), lines: 0, suppressed: 0 };
        }
        if window.lines >= Self::LINES_PER_SECOND {
            window.suppressed += 1;
            SUPPRESSED.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        window.lines += 1;
        Some(suppressed)
    }
}

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

/// Limits the lines of one event in a second, and counts those that were left out.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    window: Mutex<RateWindow>,
}

/// Lines that all budgets of the process have left out.
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

#[derive(Debug, Default)]
struct RateWindow {
    started_at: Option<Instant>,
    lines: u32,
    suppressed: u32,
}

impl LogRateLimiter {
    /// Lines of one event in a second. A host takes some tens of requests a second, each with a few
    /// decisions; only floods of one event exceed it.
    pub const LINES_PER_SECOND: u32 = 200;

    /// Returns the budget of an event, which lives as long as the process.
    #[must_use]
    pub fn for_event(event: LogEvent) -> &'static Self {
        static BUDGETS: OnceLock<HashMap<LogEvent, LogRateLimiter>> = OnceLock::new();
        static SPARE: OnceLock<LogRateLimiter> = OnceLock::new();
        let budgets = BUDGETS.get_or_init(|| {
            LogEvent::ALL.iter().map(|&event| (event, LogRateLimiter::default())).collect()
        });
        budgets.get(&event).unwrap_or_else(|| SPARE.get_or_init(LogRateLimiter::default))
    }

    /// Returns how many lines were left out since the process began.
    #[must_use]
    pub fn suppressed_total() -> u64 {
        LEFT_OUT.load(Ordering::Relaxed)
    }

    /// Takes the right to write one line at `now`; returns the lines that were left out in the
    /// second before, or `None` if this one is to be left out.
    pub fn try_acquire(&self, now: Instant) -> Option<u32> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let is_over = window
            .started_at
            .is_none_or(|began| now.saturating_duration_since(began) >= Duration::from_secs(1));
        let mut left_out = 0;
        if is_over {
            left_out = window.suppressed;
            *window = RateWindow { started_at: Some(now), lines: 0, suppressed: 0 };
        }
        if window.lines >= Self::LINES_PER_SECOND {
            window.suppressed += 1;
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        window.lines += 1;
        Some(left_out)
    }
}

use {
    cassiafield_core::ids::Moment,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Streams that wait a short time for memory that other streams release.
///
/// The number of waiting streams is limited to those that are likely to get memory in time, which
/// is estimated from the rate at which streams ended lately.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    notify: Notify,
    waiters: Cell<u32>,
    recent_ends: RefCell<VecDeque<Moment>>,
}

impl AdmissionQueue {
    /// Time window in which ended streams are counted.
    const RATE_WINDOW: Duration = Duration::from_secs(1);
    /// Maximum time between two checks for memory that streams of other hosts have released.
    const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

    /// Records that a stream of this host has ended, and wakes the stream that waits longest.
    pub fn record_stream_end(&self, now: Moment) {
        let mut recent_ends = self.recent_ends.borrow_mut();
        recent_ends.push_back(now);
        while recent_ends.front().is_some_and(|&at| now.since(at) > Self::RATE_WINDOW) {
            recent_ends.pop_front();
        }
        self.notify.notify_one();
    }

    /// Returns `true` if one more stream may wait for up to `max_wait`.
    #[must_use]
    pub fn has_capacity(&self, max_wait: Duration, now: Moment) -> bool {
        let recent_ends = self.recent_ends.borrow();
        let recent = recent_ends.iter().filter(|&&at| now.since(at) <= Self::RATE_WINDOW).count();
        let expected = recent as f64 * max_wait.as_secs_f64() / Self::RATE_WINDOW.as_secs_f64();
        f64::from(self.waiters.get()) < expected.max(1.0)
    }

    /// Waits until a stream ends or the next check is due.
    pub async fn wait(&self) {
        self.waiters.set(self.waiters.get() + 1);
        let guard = WaiterGuard(&self.waiters);
        // The caller checks again in either case.
        drop(timeout(Self::RECHECK_INTERVAL, self.notify.notified()).await);
        drop(guard);
    }
}

struct WaiterGuard<'a>(&'a Cell<u32>);

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

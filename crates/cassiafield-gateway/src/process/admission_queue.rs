use {
    cassiafield_core::{ids::Moment, process::ReturnSchedule},
    std::{
        cell::{Cell, RefCell},
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
    returns: RefCell<ReturnSchedule>,
}

impl AdmissionQueue {
    /// Maximum time between two checks for memory that streams of other hosts have released.
    const RECHECK_INTERVAL: Duration = Duration::from_millis(40);

    /// Records that a stream of this host has ended, and wakes the stream that waits longest.
    pub fn record_stream_end(&self, now: Moment) {
        self.returns.borrow_mut().record_end(now);
        self.notify.notify_one();
    }

    /// Returns `true` if one more stream may wait for up to `max_wait`.
    #[must_use]
    pub fn has_capacity(&self, max_wait: Duration, now: Moment) -> bool {
        let expected = self.returns.borrow().expected_ends(max_wait, now);
        f64::from(self.waiters.get()) < expected.max(1.0)
    }

    /// Returns after which delay the next refused caller should return, at most `max_delay`.
    pub fn next_return(&self, max_delay: Duration, now: Moment) -> Duration {
        self.returns.borrow_mut().next_return(now, max_delay)
    }

    /// Returns what [`next_return`](Self::next_return) would, without promising it to anyone.
    #[must_use]
    pub fn expected_return(&self, max_delay: Duration, now: Moment) -> Duration {
        self.returns.borrow().clone().next_return(now, max_delay)
    }

    /// Returns the number of streams that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        self.waiters.get()
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

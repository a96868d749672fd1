use {
    cassiafield_core::ids::Moment,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        time::Duration,
    },
    tokio::{sync::Notify, time::timeout},
};

/// Streams that wait a short while for others to end and leave memory.
///
/// No more may wait than are likely to get memory in time, by how many streams ended lately.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    notify: Notify,
    waiting: Cell<u32>,
    ended: RefCell<VecDeque<Moment>>,
}

impl AdmissionQueue {
    /// Time over which ended streams are counted.
    const WINDOW: Duration = Duration::from_secs(1);
    /// Longest time between two looks for memory that other hosts' streams have left.
    const LOOK_PAUSE: Duration = Duration::from_millis(40);

    /// Records that a stream of this host has ended, and wakes the one that waits longest.
    pub fn stream_ended(&self, now: Moment) {
        let mut ended = self.ended.borrow_mut();
        ended.push_back(now);
        while ended.front().is_some_and(|&at| now.since(at) > Self::WINDOW) {
            ended.pop_front();
        }
        self.notify.notify_one();
    }

    /// Says whether one more stream may wait for up to `limit`.
    #[must_use]
    pub fn has_place(&self, limit: Duration, now: Moment) -> bool {
        let ended = self.ended.borrow();
        let recent = ended.iter().filter(|&&at| now.since(at) <= Self::WINDOW).count();
        let expected = recent as f64 * limit.as_secs_f64() / Self::WINDOW.as_secs_f64();
        f64::from(self.waiting.get()) < expected.max(1.0)
    }

    /// Waits for a stream to end, or until it is time to look again.
    pub async fn wait(&self) {
        self.waiting.set(self.waiting.get() + 1);
        let guard = PlaceGuard(&self.waiting);
        // Whether it was woken or not, the caller looks again.
        drop(timeout(Self::LOOK_PAUSE, self.notify.notified()).await);
        drop(guard);
    }
}

struct PlaceGuard<'a>(&'a Cell<u32>);

impl Drop for PlaceGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

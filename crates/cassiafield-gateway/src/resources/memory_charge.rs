use {
    crate::resources::ResourceKeeper,
    cassiafield_core::resources::{ByteCount, HolderId},
    std::rc::Rc,
};

/// Memory that is charged to a host's account until it is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    keeper: Rc<ResourceKeeper>,
    id: HolderId,
}

impl MemoryCharge {
    pub(super) const fn new(keeper: Rc<ResourceKeeper>, id: HolderId) -> Self {
        Self { keeper, id }
    }

    /// Charges more memory; returns `false` if there is no room.
    pub(super) fn grow(&self, bytes: usize) -> bool {
        self.keeper.charge(self.id, ByteCount::of_length(bytes))
    }

    pub(super) fn record_progress(&self, bytes: usize) {
        let now = ResourceKeeper::now();
        self.keeper.account.borrow_mut().record_progress(self.id, bytes, now);
    }

    /// Records whether the caller is awaited, so that the charge may have to make room.
    pub(crate) fn set_waiting(&self, is_waiting: bool) {
        self.keeper.account.borrow_mut().set_waiting(self.id, is_waiting, ResourceKeeper::now());
    }

    /// Records bytes that a caller took.
    pub(crate) fn record_taken(&self, bytes: usize) {
        self.record_progress(bytes);
    }

    /// Returns `true` if the charge has to make room.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.keeper.account.borrow().is_evicted(self.id)
    }

    /// Waits until the charge has to make room.
    pub(super) async fn wait_evicted(&self) {
        loop {
            let woken = self.keeper.evicted.notified();
            if self.is_evicted() {
                return;
            }
            woken.await;
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.keeper.account.borrow_mut().close(self.id);
    }
}

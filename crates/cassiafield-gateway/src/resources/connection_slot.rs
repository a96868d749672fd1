use {crate::resources::ResourceKeeper, cassiafield_core::resources::ListenerKind, std::rc::Rc};

/// A connection's place in the account, until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    keeper: Rc<ResourceKeeper>,
    listener: ListenerKind,
}

impl ConnectionSlot {
    pub(super) const fn new(keeper: Rc<ResourceKeeper>, listener: ListenerKind) -> Self {
        Self { keeper, listener }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.keeper.shares.borrow_mut().close(self.listener);
    }
}

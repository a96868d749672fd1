use {
    crate::{
        process::BootClock,
        resources::{ConnectionSlot, MemoryCharge},
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{Moment, OrganisationId},
        resources::{
            AcceptVerdict, ByteCount, ConnectionShares, HolderId, HoldingKind, ListenerKind,
            MemoryAccount, ResourceLimits, ResourceSettings,
        },
    },
    prometheus::{IntCounterVec, Opts},
    std::{cell::RefCell, rc::Rc},
    tokio::sync::Notify,
};

/// Keeps the account of a host's memory and connections.
#[derive(Debug)]
pub struct ResourceKeeper {
    pub(super) account: RefCell<MemoryAccount>,
    pub(super) shares: RefCell<ConnectionShares>,
    /// Wakes holders, some of which have to make room.
    pub(super) evicted: Notify,
    refusals: IntCounterVec,
}

impl ResourceKeeper {
    /// Creates the account of a host that holds nothing.
    ///
    /// # Panics
    ///
    /// Never, as the name of its counter is valid.
    #[must_use]
    pub fn new(settings: ResourceSettings) -> Self {
        let limits = ResourceLimits::new(settings);
        let options = Opts::new(
            "cassiafield_room_refused_total",
            "Bodies, answers and connections without room",
        );
        Self {
            account: RefCell::new(MemoryAccount::new(limits)),
            shares: RefCell::new(ConnectionShares::new(limits)),
            evicted: Notify::new(),
            refusals: IntCounterVec::new(options, &["what"]).expect("a constant name is valid"),
        }
    }

    /// Opens a charge, which holds nothing yet.
    #[must_use]
    pub fn open(
        self: &Rc<Self>,
        kind: HoldingKind,
        organisation: Option<&OrganisationId>,
    ) -> MemoryCharge {
        let id = self.account.borrow_mut().open(kind, organisation.cloned(), Self::now());
        MemoryCharge::new(Rc::clone(self), id)
    }

    /// Takes a connection into the account, unless there is no room.
    ///
    /// Also returns how many quiet connections are to be closed for others.
    #[must_use]
    pub fn accept(self: &Rc<Self>, listener: ListenerKind) -> (Option<ConnectionSlot>, usize) {
        let verdict = self.shares.borrow_mut().open(listener);
        match verdict {
            AcceptVerdict::Accept => (Some(ConnectionSlot::new(Rc::clone(self), listener)), 0),
            AcceptVerdict::AcceptAndTrim(count) => {
                (Some(ConnectionSlot::new(Rc::clone(self), listener)), count)
            }
            AcceptVerdict::Refuse(count) => {
                self.refusals.with_label_values(&[listener.name()]).inc();
                LogEvent::RoomShort.log(format_args!("connections of {listener}: none is left"));
                (None, count)
            }
        }
    }

    /// Returns the memory that is held for callers.
    #[must_use]
    pub fn used(&self) -> ByteCount {
        self.account.borrow().used()
    }

    /// Returns the counter of what found no room, by what it was.
    #[must_use]
    pub fn refusals(&self) -> IntCounterVec {
        self.refusals.clone()
    }

    pub(super) fn charge(&self, id: HolderId, bytes: ByteCount) -> bool {
        let charged = self.account.borrow_mut().charge(id, bytes, Self::now());
        let Err(refused) = charged else { return true };
        self.refusals.with_label_values(&[refused.kind.name()]).inc();
        LogEvent::RoomShort.log(refused);
        if refused.evicted > 0 {
            self.evicted.notify_waiters();
        }
        false
    }

    pub(super) fn now() -> Moment {
        BootClock.now()
    }
}

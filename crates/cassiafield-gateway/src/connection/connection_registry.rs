use {
    crate::connection::CallerConnection,
    cassiafield_core::{ids::Moment, process::ConnectionPhase, resources::ConnectionShares},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::Rc,
    },
    tokio::sync::Notify,
};

/// The open connections of callers.
#[derive(Default)]
pub struct ConnectionRegistry {
    connections: RefCell<BTreeMap<u64, Rc<CallerConnection>>>,
    next_number: Cell<u64>,
    is_exiting: Cell<bool>,
    exit_begun: Notify,
}

/// Keeps a connection in the registry until it is dropped.
pub(super) struct RegistryEntry {
    registry: Rc<ConnectionRegistry>,
    number: u64,
}

impl ConnectionRegistry {
    /// Returns the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Returns `true` if no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Returns `true` if a connection has read a part of a request and not answered it completely.
    #[must_use]
    pub fn is_any_busy(&self) -> bool {
        self.connections.borrow().values().any(|connection| connection.is_busy())
    }

    /// Returns the connections that have read a part of a request and not answered it completely.
    #[must_use]
    pub fn busy_connections(&self) -> Vec<Rc<CallerConnection>> {
        let connections = self.connections.borrow();
        connections.values().filter(|connection| connection.is_busy()).cloned().collect()
    }

    /// Has all connections closed as soon as they are between requests.
    pub fn begin_exit(&self) {
        self.is_exiting.set(true);
        self.exit_begun.notify_waiters();
    }

    /// Returns `true` if the process is about to exit.
    #[must_use]
    pub fn is_exiting(&self) -> bool {
        self.is_exiting.get()
    }

    /// Waits until the process is about to exit.
    pub(super) async fn wait_for_exit(&self) {
        let begun = self.exit_begun.notified();
        if !self.is_exiting.get() {
            begun.await;
        }
    }

    /// Has the `count` connections closed that have been quiet for longest; what the host works on is spared.
    pub(super) fn trim(&self, count: usize, now: Moment) {
        let connections = self.connections.borrow();
        let mut quiet: Vec<_> = connections
            .values()
            .filter(|connection| !connection.is_unwanted())
            .map(|connection| (connection.activity(), connection))
            .filter(|(activity, _)| {
                matches!(
                    activity.phase(),
                    ConnectionPhase::BetweenRequests | ConnectionPhase::ReadingBody
                )
            })
            .map(|(activity, connection)| (activity.quiet_time(now), connection))
            .filter(|(quiet_time, _)| *quiet_time >= ConnectionShares::MIN_QUIET_TIME)
            .collect();
        quiet.sort_unstable_by_key(|(quiet_time, _)| std::cmp::Reverse(*quiet_time));
        for (_, connection) in quiet.into_iter().take(count) {
            connection.set_unwanted();
        }
    }

    pub(super) fn add(self: &Rc<Self>, connection: &Rc<CallerConnection>) -> RegistryEntry {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.connections.borrow_mut().insert(number, Rc::clone(connection));
        RegistryEntry { registry: Rc::clone(self), number }
    }
}

impl Drop for RegistryEntry {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.number);
    }
}

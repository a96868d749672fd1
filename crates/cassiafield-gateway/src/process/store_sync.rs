use {
    crate::{
        connection::{StoreAnswer, StoreCall, StoreClient, StoreFault, StoreItem},
        process::GatewayState,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::process::EndpointEntry,
    std::{collections::HashSet, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Keeps the configuration and the endpoints of a host in step with the store.
pub struct StoreSync {
    state: Rc<GatewayState>,
}

impl StoreSync {
    /// Pause between two reads of the configuration; a change must be in force within two seconds.
    const CONFIGURATION_PAUSE: Duration = Duration::from_millis(950);
    /// Pause between two reads of the endpoints; a leaving one must get no new work after two
    /// seconds.
    const ENDPOINTS_PAUSE: Duration = Duration::from_millis(850);
    /// Pause after a failed read.
    const FAULT_PAUSE: Duration = Duration::from_millis(200);

    /// Creates the synchronisation of a host.
    #[must_use]
    pub const fn new(state: Rc<GatewayState>) -> Self {
        Self { state }
    }

    fn client(&self) -> StoreClient {
        StoreClient::new(Rc::clone(&self.state.codec), self.state.profile.store_address)
    }

    /// Keeps the configuration in step; never returns.
    pub async fn follow_configuration(self) {
        let mut client = self.client();
        let mut revision = 0;
        let mut contact = StoreContact::default();
        let key = self.state.codec.configuration_key();
        loop {
            let asked = self.state.now();
            let call = StoreCall::Get { key: key.to_owned() };
            let answer = client.call(&call).await;
            let pause = match contact.note(answer, "configuration") {
                Some(StoreAnswer::Item(Some(item))) => {
                    if item.revision == revision {
                        self.state.confirm_configuration(asked);
                    } else if self.take_configuration(&item, asked) {
                        revision = item.revision;
                    }
                    Self::CONFIGURATION_PAUSE
                }
                _ => Self::FAULT_PAUSE,
            };
            sleep(pause).await;
        }
    }

    fn take_configuration(&self, item: &StoreItem, asked: cassiafield_core::ids::Moment) -> bool {
        match self.state.codec.configuration(&item.value) {
            Ok(table) => {
                self.state.take_configuration(table, asked);
                true
            }
            Err(error) => {
                let revision = item.revision;
                LogEvent::ListsRejected.log(format_args!("revision {revision}: {error:#}"));
                false
            }
        }
    }

    /// Keeps the endpoints in step; never returns.
    pub async fn follow_endpoints(self) {
        let mut client = self.client();
        let mut contact = StoreContact::default();
        let mut rejected = HashSet::new();
        let prefix = self.state.codec.endpoints_prefix();
        loop {
            let asked = self.state.now();
            let answer = client.list(prefix, false).await;
            let pause = match contact.note(answer, "endpoints") {
                Some(items) => {
                    let entries = self.decode(&items, &mut rejected);
                    let news = self.state.directory.borrow_mut().take_list(entries, asked);
                    for change in news {
                        LogEvent::EndpointChanged.log(change);
                    }
                    self.state.confirm_endpoints(asked);
                    self.state.pool.sweep(self.state.now());
                    Self::ENDPOINTS_PAUSE
                }
                None => {
                    self.state.directory.borrow_mut().list_failed();
                    Self::FAULT_PAUSE
                }
            };
            sleep(pause).await;
        }
    }

    /// Decodes entries; each revision of one that names no endpoint is logged once.
    fn decode(
        &self,
        items: &[StoreItem],
        rejected: &mut HashSet<(String, u64)>,
    ) -> Vec<EndpointEntry> {
        let mut entries = Vec::with_capacity(items.len());
        for item in items {
            match self.state.codec.endpoint(&item.key, &item.value) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    if rejected.insert((item.key.clone(), item.revision)) {
                        LogEvent::EntryRejected.log(format_args!("{}: {error:#}", item.key));
                    }
                }
            }
        }
        entries
    }
}

/// Logs when the store is lost and when it is back.
#[derive(Debug, Default)]
struct StoreContact {
    is_lost: bool,
}

impl StoreContact {
    fn note<T>(&mut self, answer: Result<T, StoreFault>, what: &str) -> Option<T> {
        match answer {
            Ok(answer) => {
                if std::mem::take(&mut self.is_lost) {
                    LogEvent::StoreBack.log(what);
                }
                Some(answer)
            }
            Err(fault) => {
                if !std::mem::replace(&mut self.is_lost, true) {
                    LogEvent::StoreUnreachable.log(format_args!("{what}: {fault}"));
                }
                None
            }
        }
    }
}

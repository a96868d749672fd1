use {
    crate::{
        connection::{HttpListener, HttpPeerClient, ListenerLimits, PeerSeal, RequestHandler},
        process::{
            EntryDependencies, EntryHost, EntrySettings, LogEvent, OrdinalManager, PeerAgent,
            PeerApi,
        },
        request::CallerApi,
        version::{ListWatcher, WatchRole},
    },
    anyhow::Context as _,
    cassiafield_core::ids::HostId,
    std::{
        hash::{DefaultHasher, Hash as _, Hasher as _},
        net::{SocketAddr, TcpListener},
        sync::{
            atomic::{AtomicBool, Ordering},
            Arc,
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// A running entry host: its listeners and background threads.
pub struct EntryServer {
    host: Arc<EntryHost>,
    callers: HttpListener,
    peers: HttpListener,
    shutdown: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    ordinal: JoinHandle<OrdinalManager>,
}

impl EntryServer {
    const HOST_LIST_INTERVAL: Duration = Duration::from_secs(1);
    const LOAN_INTERVAL: Duration = Duration::from_millis(50);
    const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
    const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
    const SETTLE_INTERVAL: Duration = Duration::from_millis(500);
    const ORDINAL_INTERVAL: Duration = Duration::from_millis(100);
    /// Longest step of a sleeping background thread.
    const MAX_SLEEP: Duration = Duration::from_millis(50);
    const MAX_PEER_REQUESTS: usize = 512;
    /// Hosts of a zone that keep a watch on the store.
    const WATCHERS_PER_ZONE: usize = 2;
    /// Checkpoints tried when the host stops.
    const FINAL_CHECKPOINT_ATTEMPTS: u32 = 5;

    /// Starts a host with listeners bound to the addresses in its settings.
    ///
    /// # Errors
    ///
    /// Returns why a listener could not be bound or a thread not started.
    pub fn start(settings: EntrySettings, borders: EntryDependencies) -> anyhow::Result<Self> {
        let callers = TcpListener::bind(settings.listen)
            .with_context(|| format!("[host] listen: cannot bind {}", settings.listen))?;
        let peers = TcpListener::bind(settings.peer_listen)
            .with_context(|| format!("[host] peer_listen: cannot bind {}", settings.peer_listen))?;
        Self::start_with_listeners(settings, borders, callers, peers)
    }

    /// Starts a host on bound listeners; its settings take their addresses.
    ///
    /// # Errors
    ///
    /// Returns why a thread could not be started.
    pub fn start_with_listeners(
        mut settings: EntrySettings,
        borders: EntryDependencies,
        callers: TcpListener,
        peers: TcpListener,
    ) -> anyhow::Result<Self> {
        settings.listen = callers.local_addr()?;
        settings.peer_listen = peers.local_addr()?;
        let seal = PeerSeal::new(&settings.peer_secret);
        let client = Arc::new(HttpPeerClient::new(settings.host.clone(), seal.clone()));
        let limits = ListenerLimits { requests: settings.max_requests };
        let host = Arc::new(EntryHost::new(settings, borders)?);
        let agent = Arc::new(PeerAgent::new(host.clone(), client));
        let closed = Arc::new(AtomicBool::new(false));
        let peer_api: Arc<dyn RequestHandler> = Arc::new(PeerApi::new(host.clone(), seal));
        let peer_limits = ListenerLimits { requests: Self::MAX_PEER_REQUESTS };
        let peers = HttpListener::open(peers, peer_limits, peer_api)?;
        let caller_api: Arc<dyn RequestHandler> = Arc::new(CallerApi::new(host.clone()));
        let callers = HttpListener::open(callers, limits, caller_api)?;
        let threads = start_threads(&host, &agent, &closed)?;
        let ordinal = start_ordinal(&host, &agent, &closed)?;
        LogEvent::HostStarted.log(&host.settings.host);
        Ok(Self { host, callers, peers, shutdown: closed, threads, ordinal })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.host.settings.listen
    }

    /// Returns the address for peers and operators.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.host.settings.peer_listen
    }

    /// Returns the host.
    #[must_use]
    pub fn host(&self) -> &EntryHost {
        &self.host
    }

    /// Stops in order: refuses to be ready, finishes every request, hands floors back, writes
    /// the last usage checkpoint.
    pub fn close(self) {
        LogEvent::HostStopping.log(&self.host.settings.host);
        self.host.begin_stop();
        thread::sleep(self.host.settings.stop_notice);
        let cut = self.callers.close(self.host.settings.request_timeout + Duration::from_secs(5));
        self.host.settle_claims();
        self.shutdown.store(true, Ordering::SeqCst);
        if let Ok(keeper) = self.ordinal.join() {
            keeper.release();
        }
        for thread in self.threads {
            let _ = thread.join();
        }
        for _ in 0..Self::FINAL_CHECKPOINT_ATTEMPTS {
            if self.host.usage.checkpoint(self.host.store.as_ref(), true) {
                break;
            }
        }
        let _ = self.peers.close(Duration::from_millis(200));
        LogEvent::HostStopped.log(format_args!("{cut} requests cut"));
    }
}

/// Sleeps until the time is over or the host closes; returns whether it goes on.
fn pause(closed: &AtomicBool, duration: Duration) -> bool {
    let mut left = duration;
    while left > Duration::ZERO && !closed.load(Ordering::SeqCst) {
        let step = left.min(EntryServer::MAX_SLEEP);
        thread::sleep(step);
        left -= step;
    }
    !closed.load(Ordering::SeqCst)
}

fn start_loop(
    name: &str,
    closed: &Arc<AtomicBool>,
    interval: Duration,
    mut round: impl FnMut() + Send + 'static,
) -> anyhow::Result<JoinHandle<()>> {
    let closed = closed.clone();
    let thread = thread::Builder::new().name(name.into()).spawn(move || loop {
        round();
        if !pause(&closed, interval) {
            break;
        }
    })?;
    Ok(thread)
}

fn start_threads(
    host: &Arc<EntryHost>,
    agent: &Arc<PeerAgent>,
    closed: &Arc<AtomicBool>,
) -> anyhow::Result<Vec<JoinHandle<()>>> {
    let mut threads = vec![start_lists(host, closed)?];
    let state = host.clone();
    threads.push(start_loop("hosts", closed, EntryServer::HOST_LIST_INTERVAL, move || {
        state.refresh_hosts();
    })?);
    threads.push(start_digests(host, agent, closed)?);
    let state = agent.clone();
    threads.push(start_loop("loans", closed, EntryServer::LOAN_INTERVAL, move || {
        state.loan_round();
    })?);
    let state = host.clone();
    threads.push(start_loop("pump", closed, EntryServer::DISPATCH_INTERVAL, move || {
        state.allowances.record_heartbeat();
        state.admission.dispatch_waiting();
    })?);
    let state = host.clone();
    threads.push(start_loop("demand", closed, EntryServer::DEMAND_INTERVAL, move || {
        state.admission.update_average_demand();
    })?);
    let state = host.clone();
    threads.push(start_loop("settle", closed, EntryServer::SETTLE_INTERVAL, move || {
        state.settle_claims();
    })?);
    let state = host.clone();
    let interval = host.settings.checkpoint_interval;
    threads.push(start_loop("checkpoint", closed, interval, move || {
        state.usage.checkpoint(state.store.as_ref(), false);
    })?);
    Ok(threads)
}

/// Exchanges digests in rounds; news about leaving goes out at once.
fn start_digests(
    host: &Arc<EntryHost>,
    agent: &Arc<PeerAgent>,
    closed: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (host, agent, closed) = (host.clone(), agent.clone(), closed.clone());
    let thread = thread::Builder::new().name("digests".into()).spawn(move || loop {
        let end = Instant::now() + agent.digest_round();
        agent.fetch_lists();
        while Instant::now() < end && !host.has_urgent_digest() {
            agent.fetch_lists();
            if !pause(&closed, EntryServer::MAX_SLEEP) {
                return;
            }
        }
        if !pause(&closed, EntryServer::MAX_SLEEP) {
            return;
        }
    })?;
    Ok(thread)
}

fn start_lists(host: &Arc<EntryHost>, closed: &Arc<AtomicBool>) -> anyhow::Result<JoinHandle<()>> {
    let (host, closed) = (host.clone(), closed.clone());
    let mut watcher = ListWatcher::new(host.store.clone(), host.lists.clone());
    let thread = thread::Builder::new().name("lists".into()).spawn(move || {
        let mut announced = false;
        loop {
            let role = watch_role(&host);
            let before = host.lists.revision();
            let answered = watcher.round(role);
            if host.lists.revision() > before {
                host.apply_lists();
                host.request_urgent_digest();
            }
            if !announced && host.readiness().is_ok() {
                announced = true;
                LogEvent::HostReady.log(&host.settings.host);
            }
            if !pause(&closed, list_pause(role, answered, host.lists.revision().0 == 0)) {
                break;
            }
        }
    })?;
    Ok(thread)
}

fn list_pause(role: WatchRole, answered: bool, empty: bool) -> Duration {
    let mean = match role {
        _ if empty || !answered => Duration::from_millis(500),
        WatchRole::Watcher => Duration::from_millis(20),
        WatchRole::Poller => ListWatcher::POLL_INTERVAL,
    };
    mean.mul_f64(0.5 + fastrand::f64())
}

/// Chooses the watchers of a zone by rendezvous hashing over its hosts.
fn watch_role(host: &EntryHost) -> WatchRole {
    let own = rendezvous_rank(&host.settings.host);
    let above = host.peers.zone_hosts().iter().filter(|peer| rendezvous_rank(peer) > own).count();
    if above < EntryServer::WATCHERS_PER_ZONE {
        WatchRole::Watcher
    } else {
        WatchRole::Poller
    }
}

fn rendezvous_rank(host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}

fn start_ordinal(
    host: &Arc<EntryHost>,
    agent: &Arc<PeerAgent>,
    closed: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<OrdinalManager>> {
    let mut keeper = OrdinalManager::new(host.clone());
    let (agent, closed) = (agent.clone(), closed.clone());
    let thread = thread::Builder::new().name("ordinal".into()).spawn(move || loop {
        keeper.round(&agent);
        if !pause(&closed, EntryServer::ORDINAL_INTERVAL) {
            break keeper;
        }
    })?;
    Ok(thread)
}

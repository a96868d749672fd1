use {
    crate::{
        connection::{
            HttpListener, HttpPeerClient, ListenerLimits, PeerAuthenticator, RequestHandler,
        },
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

/// A running entry host with its listeners and background threads.
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
    /// Longest uninterrupted sleep of a background thread; bounds how late it notices a shutdown.
    const MAX_SLEEP: Duration = Duration::from_millis(50);
    /// Maximum number of requests from peers and operators in flight.
    const MAX_PEER_REQUESTS: usize = 512;
    /// Hosts per zone that watch the store; the others poll it.
    const WATCHERS_PER_ZONE: usize = 2;
    /// Attempts to write the last usage checkpoint when the host stops.
    const FINAL_CHECKPOINT_ATTEMPTS: u32 = 5;
    /// Maximum wait for responses that are being written when a listener is closed.
    const RESPONSE_GRACE: Duration = Duration::from_millis(200);

    /// Starts a host with listeners bound to the addresses in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be bound or a thread cannot be started.
    pub fn start(settings: EntrySettings, dependencies: EntryDependencies) -> anyhow::Result<Self> {
        let callers = TcpListener::bind(settings.listen)
            .with_context(|| format!("[host] listen: cannot bind {}", settings.listen))?;
        let peers = TcpListener::bind(settings.peer_listen)
            .with_context(|| format!("[host] peer_listen: cannot bind {}", settings.peer_listen))?;
        Self::start_with_listeners(settings, dependencies, callers, peers)
    }

    /// Starts a host on bound listeners, whose addresses replace those in its settings.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread cannot be started.
    pub fn start_with_listeners(
        mut settings: EntrySettings,
        dependencies: EntryDependencies,
        callers: TcpListener,
        peers: TcpListener,
    ) -> anyhow::Result<Self> {
        settings.listen = callers.local_addr()?;
        settings.peer_listen = peers.local_addr()?;
        let authenticator = PeerAuthenticator::new(&settings.peer_secret);
        let client = Arc::new(HttpPeerClient::new(settings.host.clone(), authenticator.clone()));
        let limits = ListenerLimits { max_requests: settings.max_requests };
        let host = Arc::new(EntryHost::new(settings, dependencies)?);
        let agent = Arc::new(PeerAgent::new(host.clone(), client));
        let shutdown = Arc::new(AtomicBool::new(false));
        let peer_api: Arc<dyn RequestHandler> = Arc::new(PeerApi::new(host.clone(), authenticator));
        let peer_limits = ListenerLimits { max_requests: Self::MAX_PEER_REQUESTS };
        let peers = HttpListener::open(peers, peer_limits, peer_api)?;
        let caller_api: Arc<dyn RequestHandler> = Arc::new(CallerApi::new(host.clone()));
        let callers = HttpListener::open(callers, limits, caller_api)?;
        let threads = spawn_background_threads(&host, &agent, &shutdown)?;
        let ordinal = spawn_ordinal_thread(&host, &agent, &shutdown)?;
        LogEvent::HostStarted.log(&host.settings.host);
        Ok(Self { host, callers, peers, shutdown, threads, ordinal })
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

    /// Shuts down gracefully: reports not ready, drains running requests, releases the ordinal and
    /// writes the last usage checkpoint.
    pub fn close(self) {
        LogEvent::HostStopping.log(&self.host.settings.host);
        self.host.begin_shutdown();
        thread::sleep(self.host.settings.stop_notice);
        let aborted =
            self.callers.drain(self.host.settings.request_timeout + Duration::from_secs(5));
        self.host.settle_claims();
        self.shutdown.store(true, Ordering::SeqCst);
        if let Ok(manager) = self.ordinal.join() {
            manager.close();
        }
        for thread in self.threads {
            let _ = thread.join();
        }
        for _ in 0..Self::FINAL_CHECKPOINT_ATTEMPTS {
            if self.host.usage.checkpoint(self.host.store.as_ref(), true) {
                break;
            }
        }
        let _ = self.peers.close(Self::RESPONSE_GRACE);
        let _ = self.callers.close(Self::RESPONSE_GRACE);
        LogEvent::HostStopped.log(format_args!("{aborted} requests aborted"));
    }
}

/// Sleeps for `duration`, or until shutdown.
///
/// Returns `true` if the host is not shutting down.
fn sleep_unless_shutdown(shutdown: &AtomicBool, duration: Duration) -> bool {
    let mut left = duration;
    while left > Duration::ZERO && !shutdown.load(Ordering::SeqCst) {
        let step = left.min(EntryServer::MAX_SLEEP);
        thread::sleep(step);
        left -= step;
    }
    !shutdown.load(Ordering::SeqCst)
}

fn spawn_periodic(
    name: &str,
    shutdown: &Arc<AtomicBool>,
    interval: Duration,
    mut round: impl FnMut() + Send + 'static,
) -> anyhow::Result<JoinHandle<()>> {
    let shutdown = shutdown.clone();
    let thread = thread::Builder::new().name(name.into()).spawn(move || loop {
        round();
        if !sleep_unless_shutdown(&shutdown, interval) {
            break;
        }
    })?;
    Ok(thread)
}

fn spawn_background_threads(
    host: &Arc<EntryHost>,
    agent: &Arc<PeerAgent>,
    shutdown: &Arc<AtomicBool>,
) -> anyhow::Result<Vec<JoinHandle<()>>> {
    let mut threads = vec![spawn_list_thread(host, shutdown)?];
    let state = host.clone();
    threads.push(spawn_periodic("hosts", shutdown, EntryServer::HOST_LIST_INTERVAL, move || {
        state.refresh_hosts();
    })?);
    threads.push(spawn_digest_thread(host, agent, shutdown)?);
    let state = agent.clone();
    threads.push(spawn_periodic("loans", shutdown, EntryServer::LOAN_INTERVAL, move || {
        state.loan_round();
    })?);
    let state = host.clone();
    threads.push(spawn_periodic("pump", shutdown, EntryServer::DISPATCH_INTERVAL, move || {
        state.allowances.record_heartbeat();
        state.admission.dispatch_waiting();
    })?);
    let state = host.clone();
    threads.push(spawn_periodic("demand", shutdown, EntryServer::DEMAND_INTERVAL, move || {
        state.admission.update_average_demand();
    })?);
    let state = host.clone();
    threads.push(spawn_periodic("settle", shutdown, EntryServer::SETTLE_INTERVAL, move || {
        state.settle_claims();
    })?);
    let state = host.clone();
    let interval = host.settings.checkpoint_interval;
    threads.push(spawn_periodic("checkpoint", shutdown, interval, move || {
        state.usage.checkpoint(state.store.as_ref(), false);
    })?);
    Ok(threads)
}

/// Starts the thread that exchanges digests in rounds; an urgent digest starts a round at once.
fn spawn_digest_thread(
    host: &Arc<EntryHost>,
    agent: &Arc<PeerAgent>,
    shutdown: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (host, agent, shutdown) = (host.clone(), agent.clone(), shutdown.clone());
    let thread = thread::Builder::new().name("digests".into()).spawn(move || loop {
        let end = Instant::now() + agent.digest_round();
        agent.fetch_lists();
        while Instant::now() < end && !host.has_urgent_digest() {
            agent.fetch_lists();
            if !sleep_unless_shutdown(&shutdown, EntryServer::MAX_SLEEP) {
                return;
            }
        }
        if !sleep_unless_shutdown(&shutdown, EntryServer::MAX_SLEEP) {
            return;
        }
    })?;
    Ok(thread)
}

fn spawn_list_thread(
    host: &Arc<EntryHost>,
    shutdown: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<()>> {
    let (host, shutdown) = (host.clone(), shutdown.clone());
    let mut watcher = ListWatcher::new(host.store.clone(), host.lists.clone());
    let thread = thread::Builder::new().name("lists".into()).spawn(move || {
        let mut announced = false;
        loop {
            let role = watch_role(&host);
            let before = host.lists.revision();
            let answered = watcher.sync(role);
            if host.lists.revision() > before {
                host.apply_lists();
                host.request_urgent_digest();
            }
            if !announced && host.readiness().is_ok() {
                announced = true;
                LogEvent::HostReady.log(&host.settings.host);
            }
            if !sleep_unless_shutdown(
                &shutdown,
                list_watch_delay(role, answered, host.lists.revision().0 == 0),
            ) {
                break;
            }
        }
    })?;
    Ok(thread)
}

fn list_watch_delay(role: WatchRole, answered: bool, lists_missing: bool) -> Duration {
    let mean = match role {
        _ if lists_missing || !answered => Duration::from_millis(500),
        WatchRole::Watcher => Duration::from_millis(20),
        WatchRole::Poller => ListWatcher::POLL_INTERVAL,
    };
    mean.mul_f64(0.5 + fastrand::f64())
}

/// Returns this host's role in its zone; the watchers are selected by rendezvous hashing.
fn watch_role(host: &EntryHost) -> WatchRole {
    let own = rendezvous_hash(&host.settings.host);
    let higher_ranked =
        host.peers.zone_hosts().iter().filter(|peer| rendezvous_hash(peer) > own).count();
    if higher_ranked < EntryServer::WATCHERS_PER_ZONE {
        WatchRole::Watcher
    } else {
        WatchRole::Poller
    }
}

fn rendezvous_hash(host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    host.hash(&mut hasher);
    hasher.finish()
}

fn spawn_ordinal_thread(
    host: &Arc<EntryHost>,
    agent: &Arc<PeerAgent>,
    shutdown: &Arc<AtomicBool>,
) -> anyhow::Result<JoinHandle<OrdinalManager>> {
    let mut manager = OrdinalManager::new(host.clone());
    let (agent, shutdown) = (agent.clone(), shutdown.clone());
    let thread = thread::Builder::new().name("ordinal".into()).spawn(move || loop {
        manager.round(&agent);
        if !sleep_unless_shutdown(&shutdown, EntryServer::ORDINAL_INTERVAL) {
            break manager;
        }
    })?;
    Ok(thread)
}

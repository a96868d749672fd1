use {
    crate::{EngineSpec, EngineStandin, PlatformStandin, ServiceSpec, ServiceStandin},
    cassiafield::{
        connection::{
            EntryRecord, EtcdStore, HttpEngineClient, HttpHostListClient, HttpServiceClient,
        },
        process::{EntryDependencies, EntryServer, EntrySettings},
        request::hash_bearer_key,
        version::ListEditor,
    },
    cassiafield_core::{
        ids::{EndpointId, ModelId, ServiceId},
        process::{EndpointRecord, EndpointRole, EndpointState},
        request::LayerSpan,
        version::{ListChange, ListEdit, PlanDraft, PlanLimits, ZoneShare},
    },
    compact_str::CompactString,
    std::{
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Configuration of a [`LocalFleet`].
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Number of replicas of each stage.
    pub replicas: u16,
    /// Number of pipeline stages of the model.
    pub stages: u16,
    /// Number of entry hosts.
    pub entry_hosts: u16,
    /// Caller address of the first entry host; the others bind free ports.
    pub listen: String,
    /// Processing time of a stage per token.
    pub token_time: Duration,
    /// Slots of each engine, which limit its concurrent streams.
    pub slots: u32,
    /// Organisations with the SHA-256 hashes of their API keys.
    pub organisations: Vec<(CompactString, CompactString)>,
    /// Limits of the plan that all organisations have.
    pub limits: PlanDraft,
}

impl FleetSpec {
    /// Number of layers in each stage.
    pub const LAYERS_PER_STAGE: u16 = 8;
    /// API key of the organisation `demo`.
    pub const DEMO_API_KEY: &'static str = "demo-key";

    /// Returns a fleet of two stages, two replicas of each, one entry host and one organisation.
    ///
    /// # Errors
    ///
    /// Never returns an error, since the names are valid.
    pub fn demo() -> anyhow::Result<Self> {
        let model: ModelId = "demo-model".parse()?;
        let service: ServiceId = "permits".parse()?;
        Ok(Self {
            replicas: 2,
            stages: 2,
            entry_hosts: 1,
            listen: "127.0.0.1:8080".into(),
            token_time: Duration::from_millis(10),
            slots: 16,
            organisations: vec![("demo".into(), hash_bearer_key(Self::DEMO_API_KEY).into())],
            limits: PlanDraft {
                request_rate: 100.0,
                request_burst: 100.0,
                token_rate: 10_000.0,
                token_burst: 10_000.0,
                concurrent: 64,
                max_tokens: 1_024,
                weight: 1,
                models: [model].into(),
                services: [service].into(),
            },
        })
    }
}

/// A platform, engines, a service and entry hosts in one process.
pub struct LocalFleet {
    platform: PlatformStandin,
    engines: Vec<EngineStandin>,
    service: ServiceStandin,
    entry_hosts: Vec<EntryServer>,
}

impl LocalFleet {
    /// Maximum time until all entry hosts are ready.
    const READY_TIMEOUT: Duration = Duration::from_secs(10);
    /// Address that binds a free port of the loopback interface.
    const FREE_PORT_ADDRESS: &'static str = "127.0.0.1:0";

    /// Starts everything and waits until the entry hosts are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started or an entry host does not become ready.
    pub fn start(spec: &FleetSpec) -> anyhow::Result<Self> {
        let platform = PlatformStandin::start(Self::FREE_PORT_ADDRESS)?;
        let platform_url = format!("http://{}", platform.address());
        write_lists(&platform_url, spec)?;
        let engines = start_engines(spec)?;
        for engine in &engines {
            platform.register(engine.record().clone());
        }
        let service = start_service(&platform_url)?;
        platform.register(service.record().clone());
        let mut entry_hosts = Vec::new();
        for index in 0..spec.entry_hosts {
            let listen = if index == 0 { spec.listen.as_str() } else { Self::FREE_PORT_ADDRESS };
            let entry = start_entry(index, listen, &platform_url)?;
            platform.register_entry(EntryRecord {
                host: format!("entry-{}", index + 1).parse()?,
                address: entry.peer_address().to_string().into(),
                zone: "zone-a".parse()?,
            });
            entry_hosts.push(entry);
        }
        let fleet = Self { platform, engines, service, entry_hosts };
        fleet.wait_ready()?;
        Ok(fleet)
    }

    /// Returns the platform stand-in.
    #[must_use]
    pub const fn platform(&self) -> &PlatformStandin {
        &self.platform
    }

    /// Returns the engines, ordered by stage and then by replica.
    #[must_use]
    pub fn engines(&self) -> &[EngineStandin] {
        &self.engines
    }

    /// Returns the entry hosts.
    #[must_use]
    pub fn entry_hosts(&self) -> &[EntryServer] {
        &self.entry_hosts
    }

    /// Returns the entry hosts' caller addresses.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry_hosts.iter().map(EntryServer::caller_address).collect()
    }

    /// Stops the entry hosts, then the engines, the service and the platform.
    pub fn close(self) {
        for entry in self.entry_hosts {
            entry.close();
        }
        for engine in self.engines {
            engine.close();
        }
        self.service.close();
        self.platform.close();
    }

    fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + Self::READY_TIMEOUT;
        for entry in &self.entry_hosts {
            while let Err(reason) = entry.host().readiness() {
                anyhow::ensure!(Instant::now() < deadline, "{reason}");
                thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }
}

fn write_lists(platform_url: &str, spec: &FleetSpec) -> anyhow::Result<()> {
    let editor = ListEditor::new(Arc::new(EtcdStore::new(platform_url)));
    let zone = ZoneShare { zone: "zone-a".parse()?, hosts: spec.entry_hosts, weight: 1 };
    let limits = PlanLimits::try_from(spec.limits.clone())?;
    let mut changes = vec![
        ListChange::SetZones(vec![zone]),
        ListChange::SetPlan { plan: "standard".parse()?, limits, base: None },
    ];
    for (organisation, hash) in &spec.organisations {
        changes.push(ListChange::SetOrganisation {
            organisation: organisation.parse()?,
            plan: "standard".parse()?,
            key_hashes: vec![hash.clone()],
            base: None,
        });
    }
    for change in changes {
        editor.submit(&ListEdit { id: fastrand::u128(..), author: "local".into(), change })?;
    }
    Ok(())
}

fn start_engines(spec: &FleetSpec) -> anyhow::Result<Vec<EngineStandin>> {
    let mut engines = Vec::new();
    for stage in 0..spec.stages {
        for replica in 0..spec.replicas {
            let record = stage_record(spec, stage, replica)?;
            let engine_spec = EngineSpec {
                record,
                token_time: spec.token_time,
                prompt_time: Duration::ZERO,
                kept: None,
            };
            engines.push(EngineStandin::start(LocalFleet::FREE_PORT_ADDRESS, engine_spec)?);
        }
    }
    Ok(engines)
}

fn stage_record(spec: &FleetSpec, stage: u16, replica: u16) -> anyhow::Result<EndpointRecord> {
    let start = stage * FleetSpec::LAYERS_PER_STAGE;
    let endpoint: EndpointId = format!("engine-{}-{}", stage + 1, replica + 1).parse()?;
    Ok(EndpointRecord {
        endpoint,
        address: CompactString::default(),
        zone: "zone-a".parse()?,
        role: EndpointRole::Stage {
            model: "demo-model".parse()?,
            layers: spec.stages * FleetSpec::LAYERS_PER_STAGE,
            span: LayerSpan::try_from((start, start + FleetSpec::LAYERS_PER_STAGE))?,
            accelerator: "toy".parse()?,
        },
        state: EndpointState::Live,
        slots: spec.slots,
        link_micros: 100,
    })
}

fn start_service(platform_url: &str) -> anyhow::Result<ServiceStandin> {
    let record = EndpointRecord {
        endpoint: "permits-1".parse()?,
        address: CompactString::default(),
        zone: "zone-a".parse()?,
        role: EndpointRole::Service { service: "permits".parse()? },
        state: EndpointState::Live,
        slots: 64,
        link_micros: 100,
    };
    let platform_url = platform_url.to_owned();
    let spec = ServiceSpec {
        record,
        delay_before_run: Duration::ZERO,
        delay_after_run: Duration::ZERO,
        platform_url,
    };
    ServiceStandin::start(LocalFleet::FREE_PORT_ADDRESS, spec)
}

fn start_entry(index: u16, listen: &str, platform_url: &str) -> anyhow::Result<EntryServer> {
    let text = format!(
        "[host]\nid = entry-{}\n[platform]\nstore_url = {platform_url}\n\
         hosts_url = {platform_url}/v1/hosts\n[stop]\nnotice_ms = 0\n",
        index + 1
    );
    let settings = EntrySettings::parse("local fleet", &text)
        .map_err(|faults| anyhow::anyhow!("{}", faults[0]))?;
    let dependencies = EntryDependencies {
        store: Arc::new(EtcdStore::new(platform_url)),
        host_list: Arc::new(HttpHostListClient::new(format!("{platform_url}/v1/hosts"))),
        engines: Arc::new(HttpEngineClient::new()),
        services: Arc::new(HttpServiceClient),
    };
    let callers = TcpListener::bind(listen)?;
    let peers = TcpListener::bind(LocalFleet::FREE_PORT_ADDRESS)?;
    EntryServer::start_with_listeners(settings, dependencies, callers, peers)
}

//! What all cases need: addresses, hosts, the record and the configuration.

use {
    crate::{
        http::{exchange, Call, Message},
        store::Store,
    },
    std::{
        fs::{self, File},
        io::{self, Write},
        net::{Ipv4Addr, SocketAddrV4, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// The record of a case: what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn log(&self, line: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", line.as_ref());
    }
}

/// One run of a case.
pub struct Play {
    pub record: Arc<Record>,
    /// Whether the disruption comes.
    pub has_trouble: bool,
    pub folder: PathBuf,
    network: [u8; 2],
    next_id: AtomicU64,
}

impl Play {
    pub fn new(record_path: &Path) -> io::Result<Self> {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder)?;
        let record =
            Record { file: Mutex::new(File::create(record_path)?), started_at: Instant::now() };
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let network = [10 + (pid % 240) as u8, (pid / 240 % 250) as u8];
        record.log(format!("trouble: {has_trouble}"));
        Ok(Self {
            record: Arc::new(record),
            has_trouble,
            folder,
            network,
            next_id: AtomicU64::new(1),
        })
    }

    /// Returns the loopback address of a machine.
    pub fn ip(&self, machine: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], machine)
    }

    /// Returns an address of a machine with a free port.
    pub fn address(&self, machine: u8) -> SocketAddrV4 {
        let ip = self.ip(machine);
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        SocketAddrV4::new(ip, listener.local_addr().map(|found| found.port()).unwrap_or(0))
    }

    /// Returns an id that no other request has.
    pub fn request_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("{number:04x}{:08x}", u64::from(std::process::id()) * 2_654_435_761 % 0xffff_ffff)
    }

    /// Starts an entry host with the command of the deploy file.
    pub fn start_host(&self, host: &HostPlan, bounds: &str) -> io::Result<Host> {
        let HostPlan { name, zone, ip, front, ready, peers, store, is_first_start, program } = host;
        let text = format!(
            "{{\"node\":\"{name}\",\"role\":\"entry\",\"machine_class\":\"front\",\
             \"serves\":[\"front\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",\"region\":\"r\",\
             \"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\"}},\
             \"port_range\":[{peers},{}],\"seeds\":[],\"bootstrap\":{is_first_start},\
             \"limits\":{{\"cpu_share\":0.25,\"cpus\":1,\"memory_mb\":260,\"max_fds\":4100,\
             \"link_mbps\":1000.0,\"disk_mb\":0}},\"data_dir\":null,\"discovery\":\"platform\",\
             \"heartbeat_ms\":1200,\"bounds\":{bounds},\
             \"provider\":{{\"address\":\"{store}\",\"form\":\"kv\",\"writes_per_s\":400,\
             \"reads_per_s\":2000,\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}}}",
            peers + 15
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, text)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .env("CASSIAFIELD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.log(format!("host {name} started, callers at {front}: {program}"));
        Ok(Host { plan: host.clone(), child })
    }

    /// Waits until a host says that it is ready.
    pub fn wait_ready(&self, host: &Host, wait: Duration) -> bool {
        let call = Call {
            method: "GET",
            host: "ready".to_owned(),
            path: "/readyz".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
        };
        let started_at = Instant::now();
        while started_at.elapsed() < wait {
            let (answer, _) = exchange(host.plan.ready, &call, Duration::from_millis(500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                self.record.log(format!("host {} is ready", host.plan.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.log(format!("host {} is not ready", host.plan.name));
        false
    }
}

/// Where a host runs.
#[derive(Clone, Debug)]
pub struct HostPlan {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub front: SocketAddrV4,
    pub ready: SocketAddrV4,
    /// First port of the traffic between hosts.
    pub peers: u16,
    pub store: SocketAddrV4,
    pub is_first_start: bool,
    pub program: &'static str,
}

impl HostPlan {
    /// The program that the deploy file starts.
    pub const PROGRAM: &'static str = "target/release/cassiafield-gateway";

    pub fn new(play: &Play, name: &str, machine: u8, store: SocketAddrV4) -> Self {
        Self {
            name: name.to_owned(),
            zone: "zone-a".to_owned(),
            ip: play.ip(machine),
            front: play.address(machine),
            ready: play.address(machine),
            peers: play.address(machine).port().min(65_000),
            store,
            is_first_start: true,
            program: Self::PROGRAM,
        }
    }
}

/// A running entry host; it ends with this value.
pub struct Host {
    pub plan: HostPlan,
    pub child: Child,
}

impl Host {
    /// Stops the host as the platform does: SIGTERM, and the end of the process after `grace_s` at the latest.
    pub fn stop(mut self) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(8) {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The bounds of the users' installations, with another budget for retries if one is given.
pub fn bounds(retry_slack: u32) -> String {
    format!(
        "{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\
         \"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\
         \"config_ms\":2000,\"back_ms\":250,\"outer_ms\":5000,\"strict_revoke\":true,\
         \"revoke_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,\
         \"retry_slack\":{retry_slack},\"recovery_s\":12,\"pass_ms\":120,\"retry_after_s\":0,\
         \"stall_ms\":2500,\"require_fence\":false}}"
    )
}

/// Time between two writes of a server's entry, `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Registers a server in the store, and writes its entry again at each heartbeat.
pub fn register(store: &Arc<Store>, id: &str, service: &str, address: SocketAddrV4, more: &str) {
    let (key, service, more) = (format!("servers/{id}"), service.to_owned(), more.to_owned());
    let entry = move |seq: u64| {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"slots\":192,\"state\":\"ready\",\"cold_left_ms\":0,\
             \"seq\":{seq},\"born\":1765100000000{more}}}"
        )
    };
    store.put(&key, &entry(0));
    let store = Arc::clone(store);
    thread::spawn(move || {
        for seq in 1.. {
            thread::sleep(HEARTBEAT);
            store.put(&key, &entry(seq));
        }
    });
}

/// Returns the headers that a sound server's answer bears.
pub fn answer_headers<'a>(request: &'a Message, stamp: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![
        ("X-Cassiafield-Attempt-Id", request.header("x-cassiafield-attempt-id").unwrap_or("-")),
        ("X-Cassiafield-Server-Stamp", stamp),
    ]
}

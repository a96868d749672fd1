//! The processes of a case, its record, and the operator's configuration.

use {
    crate::{
        http::{ask, Answer},
        store::Store,
    },
    std::{
        fs,
        io::{BufRead, BufReader, Write},
        net::TcpListener,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this test started.
pub fn signal(child: &Child, number: i32) {
    let pid = i32::try_from(child.id()).expect("a process id");
    // SAFETY: kill only takes two numbers; the process is a child that has not been waited for.
    unsafe { kill(pid, number) };
}

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started_at: Instant,
}

impl Record {
    pub fn new(folder: &Path) -> Record {
        let file = fs::File::create(folder.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn add(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:8.3} {text}").expect("a line of the record");
    }
}

/// A process that ends with the test.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn signal(&self, number: i32) {
        signal(&self.child, number);
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGCONT);
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A line that a server printed, with the time at which it was read.
#[derive(Clone, Debug)]
pub struct ServerLine {
    pub at: Instant,
    pub server: String,
    pub text: String,
}

/// The lines of all servers.
#[derive(Clone, Default)]
pub struct ServerLines(Arc<Mutex<Vec<ServerLine>>>);

impl ServerLines {
    pub fn all(&self) -> Vec<ServerLine> {
        self.0.lock().unwrap().clone()
    }

    pub fn starting(&self, start: &str) -> Vec<ServerLine> {
        self.all().into_iter().filter(|line| line.text.starts_with(start)).collect()
    }
}

pub fn wait_until(patience: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + patience;
    while Instant::now() < end {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Sleeps until `millis` have passed since `start`.
pub fn sleep_to(start: Instant, millis: u64) {
    thread::sleep(Duration::from_millis(millis).saturating_sub(start.elapsed()));
}

pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// A server: its process, and its entry in the store, written anew at each heartbeat.
pub struct Server {
    pub process: Process,
    pub id: String,
    pub address: String,
    pub born: u128,
}

/// All that a case runs.
pub struct Fleet {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub record: Record,
    pub store: Store,
    pub lines: ServerLines,
    pub has_trouble: bool,
    beats: Arc<Mutex<Vec<(String, String)>>>,
    next_attempt: AtomicU64,
}

/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Service of all servers.
pub const SERVICE: &str = "permit-desk";
/// Host name of all routes.
pub const DOOR: &str = "permits.example";

impl Fleet {
    pub fn new(folder: &Path) -> Fleet {
        let root = std::env::current_dir().expect("the repository's root");
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&temp).expect("a temporary folder");
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::new(folder);
        record.add(if has_trouble { "with the disruption" } else { "without the disruption" });
        let fleet = Fleet {
            root,
            temp,
            record,
            store: Store::start("127.0.0.1"),
            lines: ServerLines::default(),
            has_trouble,
            beats: Arc::default(),
            next_attempt: AtomicU64::new(1),
        };
        let (store, beats) = (fleet.store.clone(), Arc::clone(&fleet.beats));
        thread::spawn(move || {
            for seq in 1.. {
                thread::sleep(HEARTBEAT);
                for (key, entry) in &*beats.lock().unwrap() {
                    store.put(key, &entry.replace("SEQ", &seq.to_string()));
                }
            }
        });
        fleet
    }

    /// Writes the entries of all servers that run.
    pub fn beat_now(&self) {
        for (key, entry) in &*self.beats.lock().unwrap() {
            self.store.put(key, &entry.replace("SEQ", "1"));
        }
    }

    /// Starts a server and registers it.
    pub fn start_server(&self, id: &str, address: &str) -> Server {
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["server", address, id])
            .stdout(Stdio::piped())
            .spawn()
            .expect("a server");
        let output = child.stdout.take().expect("its output");
        let (lines, record, name) = (self.lines.clone(), self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for text in BufReader::new(output).lines().map_while(Result::ok) {
                record.add(&format!("server {name}: {text}"));
                let at = Instant::now();
                lines.0.lock().unwrap().push(ServerLine { at, server: name.clone(), text });
            }
        });
        let born = unix_millis();
        let address = address.to_owned();
        let server = Server { process: Process { child }, id: id.to_owned(), address, born };
        wait_until(Duration::from_secs(2), || {
            std::net::TcpStream::connect(&server.address).is_ok()
        });
        self.register(&server);
        server
    }

    pub fn register(&self, server: &Server) {
        let key = format!("servers/{}", server.id);
        let entry = format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0,\"born\":{},\"beat\":SEQ}}",
            server.address, server.born
        );
        let mut beats = self.beats.lock().unwrap();
        beats.retain(|(known, _)| known != &key);
        beats.push((key.clone(), entry.clone()));
        drop(beats);
        self.store.put(&key, &entry.replace("SEQ", "0"));
    }

    /// Ends the heartbeats of a server that has ended.
    pub fn silence(&self, id: &str) {
        let key = format!("servers/{id}");
        self.beats.lock().unwrap().retain(|(known, _)| known != &key);
    }

    /// Starts an entry host on a loopback address of its own.
    pub fn start_host(&self, host: &Host) -> Process {
        let settings = host.settings_path(self);
        let log = fs::OpenOptions::new().create(true).append(true).open(host.log_path(self));
        let child = Command::new(self.root.join("target/release/cassiafield-gateway"))
            .env("CASSIAFIELD_SETTINGS", settings)
            .current_dir(&self.root)
            .stdout(log.expect("the host's log"))
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/cassiafield-gateway");
        Process { child }
    }

    /// Waits until a host says that it is ready.
    pub fn wait_ready(&self, host: &Host, patience: Duration) -> bool {
        wait_until(patience, || is_ready(&host.ready))
    }

    /// Sends a request, and records it with its answer.
    pub fn request(&self, host: &Host, request: &Request<'_>) -> (String, Answer) {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{:08x}{number:08x}", std::process::id());
        let text = request.head(&attempt);
        let Request { method, path, .. } = request;
        self.record.add(&format!("client: {method} {path} attempt {attempt}"));
        let patience = Duration::from_millis(request.deadline_ms + 1_000);
        let answer = ask(&host.front, &text, request.body.as_bytes(), patience);
        self.record.add(&format!(
            "client: answer to {attempt}: status {} after {} ms, complete: {}, {} body bytes, stamp {}",
            answer.status,
            answer.millis,
            answer.is_complete,
            answer.message.body.len(),
            answer.message.header("x-cassiafield-server-stamp").unwrap_or("-"),
        ));
        (attempt, answer)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.temp).ok();
    }
}

pub fn is_ready(address: &str) -> bool {
    let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    ask(address, request, b"", Duration::from_millis(900)).status == 200
}

/// A request of a client.
#[derive(Clone, Copy)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub body: &'a str,
}

impl Request<'_> {
    fn head(&self, attempt: &str) -> String {
        let Request { method, path, key, deadline_ms, body } = self;
        let key = key.map_or_else(String::new, |key| format!("Authorization: Bearer {key}\r\n"));
        let length = if body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: {DOOR}\r\nX-Cassiafield-Attempt-Id: {attempt}\r\nX-Cassiafield-Deadline-Ms: {deadline_ms}\r\n{key}{length}\r\n"
        )
    }
}

/// The addresses of an entry host.
#[derive(Clone, Debug)]
pub struct Host {
    pub name: String,
    pub ip: String,
    pub front: String,
    pub ready: String,
}

impl Host {
    /// Takes free ports on a loopback address; the metrics port is the same on all hosts.
    pub fn new(name: &str, number: u8) -> Host {
        let ip = format!("127.{}.{}.{number}", 64 + std::process::id() % 128, std::process::id() / 128 % 250);
        let (front, ready) = (free_port(&ip), free_port(&ip));
        let at = |port: u16| format!("{ip}:{port}");
        Host { name: name.to_owned(), front: at(front), ready: at(ready), ip }
    }

    fn settings_path(&self, fleet: &Fleet) -> PathBuf {
        fleet.temp.join(format!("{}.json", self.name))
    }

    pub fn log_path(&self, fleet: &Fleet) -> PathBuf {
        fleet.temp.join(format!("{}.log", self.name))
    }

    /// Writes the settings file, with the time that the platform leaves a process to stop.
    pub fn write_settings(&self, fleet: &Fleet, grace_s: u32) {
        self.write_limited_settings(fleet, grace_s, 4_100);
    }

    /// Writes the settings file, with the number of file descriptors that the host may use.
    pub fn write_limited_settings(&self, fleet: &Fleet, grace_s: u32, max_fds: u32) {
        let Host { name, ip, front, ready } = self;
        let store = &fleet.store.address;
        let text = format!(
            r#"{{"node": "{name}", "role": "entry", "machine_class": "front", "serves": ["front"], "ip": "{ip}",
 "zone": "zone-a", "region": "region", "zones": {{"zone-a": "region"}},
 "listen": {{"front": "{front}", "ready": "{ready}"}}, "port_range": [7340, 7355], "seeds": [], "bootstrap": true,
 "loss_counted": false,
 "limits": {{"cpu_share": 0.25, "cpus": 1, "memory_mb": 260, "max_fds": {max_fds}, "link_mbps": 1000.0, "disk_mb": 0}},
 "data_dir": null, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
 "contracts": ["base", "drain", "config", "cost", "retry", "recover", "tenants", "platform"],
 "tolerate": {{"machines": 1, "zones": 0, "regions": 0}},
 "bounds": {{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
  "grace_s": {grace_s}, "loss_slack_ms": 200, "config_ms": 2000, "back_ms": 250, "outer_ms": 5000, "strict_revoke": true,
  "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 202, "recovery_s": 12, "pass_ms": 120,
  "retry_after_s": 0, "stall_ms": 2500, "require_fence": false}},
 "provider": {{"address": "{store}", "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
  "value_bytes": 1048576, "ttl_min_ms": 1000}}}}
"#
        );
        fs::write(self.settings_path(fleet), text).expect("the settings file");
    }
}

pub fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("its address").port()
}

/// A route of a configuration.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub attempts: u32,
    pub is_public: bool,
}

/// Returns a configuration with one service and a tenant `ranch` that has some keys.
pub fn configuration(version: u64, routes: &[Route<'_>], keys: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, attempts, is_public } = route;
            format!("{{\"name\":\"{name}\",\"host\":\"{DOOR}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":10000,\"slo_ms\":100,\"priority\":2,\"service\":\"{SERVICE}\",\"attempts\":{attempts},\"public\":{is_public}}}")
        })
        .collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":20000}},\"tenants\":[{{\"name\":\"ranch\",\"api_keys\":[{}]}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

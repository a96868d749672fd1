use {
    anyhow::Context as _,
    std::{
        env, fs,
        io::{BufRead as _, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::Duration,
    },
};

/// A process of a benchmark fleet; killed when the value is dropped.
pub(crate) struct BenchProcess {
    child: Child,
    /// Fields of the first line on standard output: `listening`, the address and, for an entry
    /// host, the peer address.
    startup_fields: Vec<String>,
}

/// Size and parameters of a benchmark fleet.
#[derive(Clone, Debug)]
pub(crate) struct BenchSpec {
    /// Engines per stage; there are two stages.
    pub(crate) replicas: usize,
    /// Entry hosts.
    pub(crate) entry_hosts: usize,
    /// Concurrent requests of each engine.
    pub(crate) slots: u32,
    /// Processing time per token in each stage.
    pub(crate) token_ms: u32,
    /// Request rate of the plan per second, and its burst.
    pub(crate) request_rate: u32,
}

impl Default for BenchSpec {
    fn default() -> Self {
        Self { replicas: 2, entry_hosts: 3, slots: 100, token_ms: 10, request_rate: 100_000 }
    }
}

/// A fleet of release builds on free ports of the loopback interface.
pub(crate) struct BenchFleet {
    pub(crate) platform: BenchProcess,
    pub(crate) engines: Vec<BenchProcess>,
    pub(crate) entry_hosts: Vec<BenchProcess>,
    _service: BenchProcess,
    directory: PathBuf,
}

/// Limits of the benchmark plan except its request rate.
const LISTS: &str = "\
[plan standard]
token_rate = 100000000
token_burst = 100000000
concurrent = 30000
max_tokens = 4000
weight = 1
models = demo-model
services = permits
";

impl BenchProcess {
    fn start(program: &str, arguments: &[&str]) -> anyhow::Result<Self> {
        let mut child = Command::new(Path::new("target/release").join(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .with_context(|| format!("cannot start {program}"))?;
        let mut line = String::new();
        let stdout = child.stdout.take().context("the standard output of the child is missing")?;
        BufReader::new(stdout).read_line(&mut line)?;
        let startup_fields: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        anyhow::ensure!(
            startup_fields.len() > 1,
            "{program} did not print its address at startup: {line:?}"
        );
        Ok(Self { child, startup_fields })
    }

    pub(crate) fn address(&self) -> &str {
        &self.startup_fields[1]
    }

    pub(crate) fn peer_address(&self) -> &str {
        &self.startup_fields[2]
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(crate) fn signal(&self, name: &str) -> anyhow::Result<()> {
        let pid = self.pid().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status()?;
        Ok(())
    }
}

impl Drop for BenchProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl BenchFleet {
    /// Time that the entry hosts get to become ready before load starts.
    const SETTLE_TIME: Duration = Duration::from_secs(2);
    const LAYERS: usize = 16;

    /// Starts the fleet and waits for [`Self::SETTLE_TIME`].
    pub(crate) fn start(spec: &BenchSpec) -> anyhow::Result<Self> {
        let directory = env::temp_dir().join(format!("cassiafield-bench-{}", std::process::id()));
        fs::create_dir_all(&directory)?;
        let platform = BenchProcess::start("cassiafield-standin", &["platform"])?;
        let url = format!("http://{}", platform.address());
        write_lists(&directory, &url, spec)?;
        let mut engines = Vec::new();
        for stage in 0..2 {
            for replica in 0..spec.replicas {
                engines.push(start_engine(&url, spec, stage, replica)?);
            }
        }
        let service = BenchProcess::start(
            "cassiafield-standin",
            &["service", "--platform", &url, "--endpoint", "permits-0"],
        )?;
        let mut entry_hosts = Vec::new();
        for index in 0..spec.entry_hosts {
            entry_hosts.push(start_entry(&directory, &url, index)?);
        }
        thread::sleep(Self::SETTLE_TIME);
        Ok(Self { platform, engines, entry_hosts, _service: service, directory })
    }

    pub(crate) fn targets(&self) -> String {
        join(self.entry_hosts.iter().map(|entry| entry.address().to_owned()))
    }

    pub(crate) fn peer_addresses(&self) -> String {
        join(self.entry_hosts.iter().map(|entry| entry.peer_address().to_owned()))
    }

    pub(crate) fn entry_pids(&self) -> String {
        join(self.entry_hosts.iter().map(|entry| entry.pid().to_string()))
    }

    pub(crate) fn platform_url(&self) -> String {
        format!("http://{}", self.platform.address())
    }
}

impl Drop for BenchFleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn join(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join(",")
}

fn write_lists(directory: &Path, url: &str, spec: &BenchSpec) -> anyhow::Result<()> {
    let mut organisations = String::new();
    for name in ["demo", "large", "flood"] {
        let hash = key_hash(&format!("{name}-key"))?;
        organisations
            .push_str(&format!("\n[organisation {name}]\nplan = standard\nkey_hashes = {hash}\n"));
    }
    let (entry_hosts, rate) = (spec.entry_hosts, spec.request_rate);
    let text = format!(
        "[zone zone-a]\nhosts = {entry_hosts}\nweight = 1\n{LISTS}request_rate = {rate}\n\
         request_burst = {rate}\n{organisations}"
    );
    let file = directory.join("lists.ini");
    fs::write(&file, text)?;
    let status = Command::new("target/release/cassiafield-ctl")
        .args(["--store", url, "--author", "bench", "apply"])
        .arg(&file)
        .stdout(Stdio::null())
        .status()?;
    anyhow::ensure!(status.success(), "cassiafield-ctl did not accept the lists");
    Ok(())
}

fn key_hash(key: &str) -> anyhow::Result<String> {
    let mut child = Command::new("target/release/cassiafield-ctl")
        .arg("key-hash")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()?;
    let mut stdin = child.stdin.take().context("the standard input of the child is missing")?;
    std::io::Write::write_all(&mut stdin, key.as_bytes())?;
    drop(stdin);
    Ok(String::from_utf8(child.wait_with_output()?.stdout)?.trim().to_owned())
}

fn start_engine(
    url: &str,
    spec: &BenchSpec,
    stage: usize,
    replica: usize,
) -> anyhow::Result<BenchProcess> {
    let half = BenchFleet::LAYERS / 2;
    let span = format!("{}..{}", stage * half, (stage + 1) * half);
    let endpoint = format!("engine-{stage}-{replica}");
    let (slots, token_ms) = (spec.slots.to_string(), spec.token_ms.to_string());
    BenchProcess::start(
        "cassiafield-standin",
        &[
            "engine",
            "--platform",
            url,
            "--endpoint",
            &endpoint,
            "--span",
            &span,
            "--slots",
            &slots,
            "--token-ms",
            &token_ms,
        ],
    )
}

fn start_entry(directory: &Path, url: &str, index: usize) -> anyhow::Result<BenchProcess> {
    let file = directory.join(format!("entry-{index}.ini"));
    let text = format!(
        "[host]\nid = entry-{index}\nlisten = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\n[platform]\n\
         store_url = {url}\nhosts_url = {url}/v1/hosts\n[limits]\nmax_requests = 4000\n[log]\n\
         level = error\n"
    );
    fs::write(&file, text)?;
    let path = file.to_str().context("the path of the settings file is not valid UTF-8")?;
    let entry = BenchProcess::start("cassiafield-entry", &["--settings", path])?;
    let record = format!(
        "{{\"host\":\"entry-{index}\",\"address\":\"{}\",\"zone\":\"zone-a\"}}",
        entry.peer_address()
    );
    ureq::post(&format!("{url}/standin/entry")).send_string(&record)?;
    Ok(entry)
}

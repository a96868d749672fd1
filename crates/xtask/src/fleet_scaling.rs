use {
    crate::bench_fleet::{BenchFleet, BenchProcess, BenchSpec},
    cassiafield::{connection::EtcdStore, version::ListEditor},
    cassiafield_core::version::{ListChange, ListEdit},
    cassiafield_load::{CallKind, LineFit, LoadGenerator, LoadSummary, ProcessMeter, ProcessUsage},
    std::{
        fs,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Duration of the measurement at each value.
const MEASURE_TIME: Duration = Duration::from_secs(8);
/// Tokens of each measured stream.
const STREAM_TOKENS: u32 = 60;

/// Points of one measured quantity.
struct ScalingRow {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Quantities measured against the same variable.
struct ScalingTable {
    variable: &'static str,
    rows: Vec<ScalingRow>,
}

impl ScalingTable {
    fn new(variable: &'static str, names: &[&'static str]) -> Self {
        let rows = names.iter().map(|name| ScalingRow { name, points: Vec::new() });
        Self { variable, rows: rows.collect() }
    }

    fn add(&mut self, x: f64, values: &[f64]) {
        for (row, value) in self.rows.iter_mut().zip(values) {
            row.points.push((x, *value));
        }
    }

    fn print(&self) {
        for row in &self.rows {
            let shown: Vec<String> =
                row.points.iter().map(|(x, y)| format!("{x:.1}: {y:.3}")).collect();
            let fit = LineFit::of(&row.points);
            let fit = fit.map_or_else(|| "no fit".to_owned(), |fit| fit.to_string());
            println!("{} by {}: {} | {fit}", row.name, self.variable, shown.join(", "));
        }
    }
}

/// Measures on running fleets how resource usage grows with streams, claims, edits and peers.
pub(crate) fn run() -> anyhow::Result<()> {
    streams()?;
    claims()?;
    edits()?;
    peers()
}

fn pids(processes: &[BenchProcess]) -> Vec<u32> {
    processes.iter().map(BenchProcess::pid).collect()
}

fn cpu_percent(usage: &ProcessUsage, hosts: usize) -> f64 {
    usage.cpu_seconds * 100.0 / usage.wall_seconds / hosts as f64
}

fn targets(fleet: &BenchFleet) -> Vec<String> {
    fleet.entry_hosts.iter().map(|entry| entry.address().to_owned()).collect()
}

fn streams() -> anyhow::Result<()> {
    let spec = BenchSpec { entry_hosts: 1, slots: 400, token_ms: 30, ..BenchSpec::default() };
    let fleet = BenchFleet::start(&spec)?;
    let mut by_tokens = ScalingTable::new("tokens/s", &["CPU, % of a core"]);
    let mut by_streams = ScalingTable::new("concurrent streams", &["memory, MB", "threads"]);
    for rate in [5.0, 10.0, 20.0, 40.0] {
        let meter = ProcessMeter::start(pids(&fleet.entry_hosts))?;
        let generator =
            LoadGenerator::new(targets(&fleet), "demo-key").rate(rate).tokens(STREAM_TOKENS);
        let records = generator.duration(MEASURE_TIME).run();
        let usage = meter.read()?;
        let summary = LoadSummary::of(&records)?;
        by_tokens.add(summary.token_rate(), &[cpu_percent(&usage, 1)]);
        let total_us: u64 = records.iter().map(|record| record.ended - record.scheduled).sum();
        let concurrency = total_us as f64 / 1e6 / MEASURE_TIME.as_secs_f64();
        by_streams.add(concurrency, &[usage.resident_bytes as f64 / 1e6, usage.threads as f64]);
    }
    by_tokens.print();
    by_streams.print();
    Ok(())
}

fn store_writes(fleet: &BenchFleet) -> anyhow::Result<f64> {
    let url = format!("{}/standin/counts", fleet.platform_url());
    let counts: cassiafield_standin::StoreCallCounts = ureq::get(&url).call()?.into_json()?;
    Ok(counts.writes as f64)
}

fn claims() -> anyhow::Result<()> {
    let fleet = BenchFleet::start(&BenchSpec { entry_hosts: 1, ..BenchSpec::default() })?;
    let mut table = ScalingTable::new("claims/s", &["CPU, % of a core", "store writes/s"]);
    for rate in [25.0, 50.0, 100.0, 200.0] {
        let meter = ProcessMeter::start(pids(&fleet.entry_hosts))?;
        let before = store_writes(&fleet)?;
        let generator =
            LoadGenerator::new(targets(&fleet), "demo-key").kind(CallKind::Filing).rate(rate);
        let records = generator.duration(MEASURE_TIME).run();
        let usage = meter.read()?;
        anyhow::ensure!(records.iter().all(|record| record.complete), "a filing did not succeed");
        let writes = (store_writes(&fleet)? - before) / usage.wall_seconds;
        table.add(rate, &[cpu_percent(&usage, 1), writes]);
    }
    table.print();
    Ok(())
}

fn edits() -> anyhow::Result<()> {
    let fleet = BenchFleet::start(&BenchSpec::default())?;
    let editor = ListEditor::new(Arc::new(EtcdStore::new(fleet.platform_url())));
    let mut table = ScalingTable::new("edits/s", &["CPU per host, % of a core"]);
    for rate in [1_u32, 2, 4, 8] {
        let meter = ProcessMeter::start(pids(&fleet.entry_hosts))?;
        let started = Instant::now();
        for index in 0..rate * MEASURE_TIME.as_secs() as u32 {
            let offset = Duration::from_secs(1) / rate * index;
            thread::sleep(offset.saturating_sub(started.elapsed()));
            let zones = editor.read()?.lists.zones;
            let change = ListChange::SetZones(zones);
            editor.submit(&ListEdit { id: fastrand::u128(..), author: "bench".into(), change })?;
        }
        let usage = meter.read()?;
        table.add(f64::from(rate), &[cpu_percent(&usage, fleet.entry_hosts.len())]);
    }
    table.print();
    Ok(())
}

fn loopback_bytes() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/sys/class/net/lo/statistics/tx_bytes")?;
    Ok(text.trim().parse()?)
}

fn peers() -> anyhow::Result<()> {
    let names =
        ["CPU per idle host, % of a core", "memory per host, MB", "loopback, KB/s per host"];
    let mut table = ScalingTable::new("hosts of a zone", &names);
    for entry_hosts in [3, 6, 12, 24] {
        let spec = BenchSpec { replicas: 1, entry_hosts, ..BenchSpec::default() };
        let fleet = BenchFleet::start(&spec)?;
        let meter = ProcessMeter::start(pids(&fleet.entry_hosts))?;
        let before = loopback_bytes()?;
        thread::sleep(MEASURE_TIME * 2);
        let usage = meter.read()?;
        let bytes = loopback_bytes()? - before;
        let hosts = entry_hosts as f64;
        let memory = usage.resident_bytes as f64 / 1e6 / hosts;
        let traffic = bytes / 1e3 / usage.wall_seconds / hosts;
        table.add(hosts, &[cpu_percent(&usage, entry_hosts), memory, traffic]);
    }
    table.print();
    Ok(())
}

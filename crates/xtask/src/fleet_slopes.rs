use {
    crate::bench_fleet::{BenchFleet, BenchProcess, BenchShape},
    cassiafield::{connection::EtcdStore, version::ListEditor},
    cassiafield_core::version::{ListChange, ListEdit},
    cassiafield_load::{CallKind, LineFit, LoadPlan, LoadSummary, ProcessMeter, ProcessUse},
    std::{
        fs,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Time for which each value is measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);
const STREAM_TOKENS: u32 = 60;

/// What one row of slopes collects: a name and a point for each value.
struct SlopeRow {
    name: &'static str,
    points: Vec<(f64, f64)>,
}

/// Rows that share their values.
struct SlopeTable {
    variable: &'static str,
    rows: Vec<SlopeRow>,
}

impl SlopeTable {
    fn new(variable: &'static str, names: &[&'static str]) -> Self {
        let rows = names.iter().map(|name| SlopeRow { name, points: Vec::new() });
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

/// Measures what grows with peers, streams, claims and edits on running fleets.
pub(crate) fn run() -> anyhow::Result<()> {
    streams()?;
    claims()?;
    edits()?;
    peers()
}

fn ids(processes: &[BenchProcess]) -> Vec<u32> {
    processes.iter().map(BenchProcess::id).collect()
}

fn core_percent(used: &ProcessUse, hosts: usize) -> f64 {
    used.cpu_seconds * 100.0 / used.wall_seconds / hosts as f64
}

fn targets(fleet: &BenchFleet) -> Vec<String> {
    fleet.entries.iter().map(|entry| entry.address().to_owned()).collect()
}

fn streams() -> anyhow::Result<()> {
    let shape = BenchShape { entries: 1, slots: 400, token_ms: 30, ..BenchShape::default() };
    let fleet = BenchFleet::start(&shape)?;
    let mut by_tokens = SlopeTable::new("tokens/s", &["processor, % of a core"]);
    let mut by_streams = SlopeTable::new("streams at once", &["memory, MB", "threads"]);
    for rate in [5.0, 10.0, 20.0, 40.0] {
        let meter = ProcessMeter::start(ids(&fleet.entries))?;
        let plan = LoadPlan::new(targets(&fleet), "demo-key").rate(rate).tokens(STREAM_TOKENS);
        let records = plan.duration(MEASURE_TIME).run();
        let used = meter.read()?;
        let summary = LoadSummary::of(&records)?;
        by_tokens.add(summary.token_rate(), &[core_percent(&used, 1)]);
        let spent: u64 = records.iter().map(|record| record.ended - record.scheduled).sum();
        let at_once = spent as f64 / 1e6 / MEASURE_TIME.as_secs_f64();
        by_streams.add(at_once, &[used.resident_bytes as f64 / 1e6, used.threads as f64]);
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
    let fleet = BenchFleet::start(&BenchShape { entries: 1, ..BenchShape::default() })?;
    let mut table = SlopeTable::new("claims/s", &["processor, % of a core", "store writes/s"]);
    for rate in [25.0, 50.0, 100.0, 200.0] {
        let meter = ProcessMeter::start(ids(&fleet.entries))?;
        let before = store_writes(&fleet)?;
        let plan = LoadPlan::new(targets(&fleet), "demo-key").kind(CallKind::Filing).rate(rate);
        let records = plan.duration(MEASURE_TIME).run();
        let used = meter.read()?;
        anyhow::ensure!(records.iter().all(|record| record.whole), "a filing was not served");
        let writes = (store_writes(&fleet)? - before) / used.wall_seconds;
        table.add(rate, &[core_percent(&used, 1), writes]);
    }
    table.print();
    Ok(())
}

fn edits() -> anyhow::Result<()> {
    let fleet = BenchFleet::start(&BenchShape::default())?;
    let editor = ListEditor::new(Arc::new(EtcdStore::new(fleet.platform_url())));
    let mut table = SlopeTable::new("edits/s", &["processor of a host, % of a core"]);
    for rate in [1_u32, 2, 4, 8] {
        let meter = ProcessMeter::start(ids(&fleet.entries))?;
        let begin = Instant::now();
        for number in 0..rate * MEASURE_TIME.as_secs() as u32 {
            let at = Duration::from_secs(1) / rate * number;
            thread::sleep(at.saturating_sub(begin.elapsed()));
            let zones = editor.read()?.lists.zones;
            let change = ListChange::SetZones(zones);
            editor.submit(&ListEdit { id: fastrand::u128(..), author: "bench".into(), change })?;
        }
        let used = meter.read()?;
        table.add(f64::from(rate), &[core_percent(&used, fleet.entries.len())]);
    }
    table.print();
    Ok(())
}

fn loopback_bytes() -> anyhow::Result<f64> {
    let text = fs::read_to_string("/sys/class/net/lo/statistics/tx_bytes")?;
    Ok(text.trim().parse()?)
}

fn peers() -> anyhow::Result<()> {
    let names = ["processor of an idle host, % of a core", "memory, MB", "loopback, KB/s a host"];
    let mut table = SlopeTable::new("hosts of a zone", &names);
    for entries in [3, 6, 12, 24] {
        let shape = BenchShape { replicas: 1, entries, ..BenchShape::default() };
        let fleet = BenchFleet::start(&shape)?;
        let meter = ProcessMeter::start(ids(&fleet.entries))?;
        let before = loopback_bytes()?;
        thread::sleep(MEASURE_TIME * 2);
        let used = meter.read()?;
        let bytes = loopback_bytes()? - before;
        let hosts = entries as f64;
        let memory = used.resident_bytes as f64 / 1e6 / hosts;
        let traffic = bytes / 1e3 / used.wall_seconds / hosts;
        table.add(hosts, &[core_percent(&used, entries), memory, traffic]);
    }
    table.print();
    Ok(())
}

//! Generates load and checks its history, and measures resource usage, edit propagation and
//! scaling; for development only.

use {
    anyhow::{bail, Context as _},
    cassiafield_core::request::{LayerSpan, RouteStage},
    cassiafield_load::{
        CallKind, CallRecord, CoreScaling, EditMeter, HistoryCheck, LoadGenerator, LoadSummary,
        ProcessMeter,
    },
    getopts::{Matches, Options},
    std::{
        collections::BTreeMap, env, fs, io::Write as _, process::ExitCode, str::FromStr, thread,
        time::Duration,
    },
};

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code for a history that violates a guarantee.
const EXIT_VIOLATION: u8 = 3;
const USAGE: &str = "\
Usage: cassiafield-load run|check|meter|edits|slopes [OPTIONS]

  run     send requests to --targets, print latencies, check the history
  check   check the history stored in --history
  meter   measure CPU time and memory of --pids, and bytes on the loopback interface
  edits   measure the time from an edit until all --hosts apply it
  slopes  measure how the cost of decisions grows with the size of the fleet

Exit codes: 0 success, 1 failure, 2 invalid command line, 3 the history has violations";

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("cassiafield-load: {error}; see --help");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let command = matches.free.first().map_or("", String::as_str);
    if matches.opt_present("help") || command.is_empty() {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    let result = match command {
        "run" => run(&matches),
        "check" => check(&matches),
        "meter" => meter(&matches).map(|()| ExitCode::SUCCESS),
        "edits" => edits(&matches).map(|()| ExitCode::SUCCESS),
        "slopes" => slopes().map(|()| ExitCode::SUCCESS),
        other => Err(anyhow::anyhow!("unknown command {other:?}")),
    };
    result.unwrap_or_else(|error| {
        eprintln!("cassiafield-load: {error:#}");
        ExitCode::FAILURE
    })
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("t", "targets", "addresses of entry hosts, separated by commas", "ADDRESSES");
    options.optopt(
        "",
        "direct",
        "engine route to call without an entry host: NAME=ADDRESS=SPAN,...",
        "ROUTE",
    );
    options.optopt("k", "key", "bearer key (default demo-key)", "KEY");
    options.optopt("", "kind", "stream, filing or lookup (default stream)", "KIND");
    options.optopt("r", "rate", "requests per second (default 10)", "N");
    options.optopt("s", "seconds", "duration in seconds (default 10)", "N");
    options.optopt("n", "tokens", "tokens per stream (default 50)", "N");
    options.optopt("", "pids", "processes to measure, separated by commas", "PIDS");
    options.optopt("", "history", "history file (JSON lines)", "FILE");
    options.optopt(
        "",
        "platform",
        "base URL of the platform stand-in (for filings and edits)",
        "URL",
    );
    options.optopt("", "hosts", "peer addresses of hosts, separated by commas", "ADDRESSES");
    options.optopt("", "edits", "number of edits (default 50)", "N");
    options.optflag("h", "help", "print this help");
    options
}

fn value<T: FromStr>(matches: &Matches, name: &str, default: &str) -> anyhow::Result<T> {
    let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    text.parse().map_err(|_| anyhow::anyhow!("--{name}: invalid value {text:?}"))
}

fn list(matches: &Matches, name: &str) -> Vec<String> {
    let text = matches.opt_str(name).unwrap_or_default();
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}

fn run(matches: &Matches) -> anyhow::Result<ExitCode> {
    let targets = list(matches, "targets");
    let stages = direct_stages(matches)?;
    if targets.is_empty() && stages.is_empty() {
        bail!("--targets is missing");
    }
    let kind: CallKind = value(matches, "kind", "stream")?;
    let seconds: f64 = value(matches, "seconds", "10")?;
    let generator = LoadGenerator::new(targets, value::<String>(matches, "key", "demo-key")?)
        .kind(kind)
        .rate(value(matches, "rate", "10")?)
        .duration(Duration::from_secs_f64(seconds))
        .tokens(value(matches, "tokens", "50")?);
    let generator = if stages.is_empty() { generator } else { generator.direct(stages) };
    let pids =
        list(matches, "pids").iter().map(|pid| pid.parse()).collect::<Result<Vec<u32>, _>>()?;
    let meter = ProcessMeter::start(pids)?;
    let records = generator.run();
    let usage = meter.read()?;
    let summary = LoadSummary::of(&records)?;
    print!("{summary}");
    if usage.threads > 0 {
        println!(
            "measured processes: {:.2} s CPU in {:.1} s, {:.3} s CPU per thousand tokens, {:.3} ms \
             CPU per request, {:.1} MB resident, {} threads",
            usage.cpu_seconds,
            usage.wall_seconds,
            usage.cpu_seconds * 1e3 / summary.tokens().max(1) as f64,
            usage.cpu_seconds * 1e3 / records.len().max(1) as f64,
            usage.resident_bytes as f64 / 1e6,
            usage.threads
        );
    }
    if let Some(file) = matches.opt_str("history") {
        write_history(&file, &records)?;
    }
    check_records(matches, &records)
}

/// Parses `--direct`, one NAME=ADDRESS=START..END for each stage of the route.
fn direct_stages(matches: &Matches) -> anyhow::Result<Vec<RouteStage>> {
    let parse = |text: &String| {
        let parts: Vec<&str> = text.split('=').collect();
        let [endpoint, address, span] = parts[..] else {
            bail!("--direct: invalid value {text:?}")
        };
        let (start, end) = span.split_once("..").context("--direct: expected START..END")?;
        let span = LayerSpan::try_from((start.parse()?, end.parse()?))?;
        Ok(RouteStage { endpoint: endpoint.parse()?, address: address.into(), span })
    };
    list(matches, "direct").iter().map(parse).collect()
}

fn write_history(file: &str, records: &[CallRecord]) -> anyhow::Result<()> {
    let mut out = std::io::BufWriter::new(fs::File::create(file)?);
    for record in records {
        serde_json::to_writer(&mut out, record)?;
        out.write_all(b"\n")?;
    }
    out.flush()?;
    Ok(())
}

fn check(matches: &Matches) -> anyhow::Result<ExitCode> {
    let file = matches.opt_str("history").context("--history is missing")?;
    let text = fs::read_to_string(&file).with_context(|| file.clone())?;
    let mut records = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line);
        records.push(record.with_context(|| format!("{file}:{}", index + 1))?);
    }
    check_records(matches, &records)
}

fn check_records(matches: &Matches, records: &[CallRecord]) -> anyhow::Result<ExitCode> {
    let runs: BTreeMap<String, u64> = match matches.opt_str("platform") {
        Some(url) => ureq::get(&format!("{url}/standin/runs")).call()?.into_json()?,
        None if records.iter().any(|record| record.kind == CallKind::Filing) => {
            println!("history: not checked, since --platform is missing");
            return Ok(ExitCode::SUCCESS);
        }
        None => BTreeMap::new(),
    };
    let check = HistoryCheck::of(records, &runs);
    print!("history: {check}");
    let valid = check.violations().is_empty();
    Ok(if valid { ExitCode::SUCCESS } else { ExitCode::from(EXIT_VIOLATION) })
}

/// Measures processes without sending them requests.
fn meter(matches: &Matches) -> anyhow::Result<()> {
    let pids =
        list(matches, "pids").iter().map(|pid| pid.parse()).collect::<Result<Vec<u32>, _>>()?;
    let count = pids.len().max(1) as f64;
    let seconds: f64 = value(matches, "seconds", "10")?;
    let meter = ProcessMeter::start(pids)?;
    let bytes = loopback_bytes()?;
    thread::sleep(Duration::from_secs_f64(seconds));
    let usage = meter.read()?;
    let bytes = loopback_bytes()? - bytes;
    println!(
        "{count} processes, on average: {:.3}% of a core, {:.1} MB resident, {:.1} threads, {:.2} \
         KB/s on the loopback",
        usage.cpu_seconds * 100.0 / usage.wall_seconds / count,
        usage.resident_bytes as f64 / 1e6 / count,
        usage.threads as f64 / count,
        bytes as f64 / 1e3 / usage.wall_seconds / count
    );
    Ok(())
}

fn loopback_bytes() -> anyhow::Result<u64> {
    let text = fs::read_to_string("/sys/class/net/lo/statistics/tx_bytes")?;
    Ok(text.trim().parse()?)
}

fn edits(matches: &Matches) -> anyhow::Result<()> {
    let store = matches.opt_str("platform").context("--platform is missing")?;
    let propagation_times =
        EditMeter::new(store, list(matches, "hosts")).run(value(matches, "edits", "50")?)?;
    let value = |quantile| propagation_times.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{} edits applied on all hosts: p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        propagation_times.len(),
        value(0.5),
        value(0.99),
        propagation_times.max() as f64 / 1e3
    );
    Ok(())
}

fn slopes() -> anyhow::Result<()> {
    print!("{}", CoreScaling.run()?);
    Ok(())
}

use {
    crate::{
        bench_fleet::{BenchFleet, BenchSpec},
        cargo, fleet_scaling,
    },
    anyhow::{bail, Context as _},
    std::{process::Command, thread, time::Duration},
};

/// Name and function of a benchmark.
type Bench = (&'static str, fn() -> anyhow::Result<()>);

const BENCHES: [Bench; 10] = [
    ("load", load),
    ("streams", streams),
    ("recovery", recovery),
    ("overload", overload),
    ("allowance", allowance),
    ("shares", shares),
    ("edits", edits),
    ("store", store),
    ("slopes", slopes),
    ("fleet-slopes", fleet_scaling::run),
];

/// Runs the benchmark of this name, or all of them.
pub(crate) fn run(name: Option<&str>) -> anyhow::Result<()> {
    if name.is_some_and(|name| BENCHES.iter().all(|(known, _)| *known != name)) {
        bail!("unknown benchmark {:?}", name.unwrap_or(""));
    }
    cargo(&["build", "--release", "--workspace", "--locked", "--quiet"])?;
    for (known, bench) in BENCHES {
        if name.is_none_or(|name| name == known) {
            println!("== {known}");
            bench()?;
        }
    }
    Ok(())
}

fn load_tool(arguments: &[&str]) -> anyhow::Result<()> {
    println!("-- cassiafield-load {}", arguments.join(" "));
    let status = Command::new("target/release/cassiafield-load")
        .args(arguments)
        .status()
        .context("cannot start cassiafield-load")?;
    if !status.success() {
        println!("cassiafield-load: {status}");
    }
    Ok(())
}

/// Measures streams, filings and lookups through three entry hosts, and streams sent directly to
/// the engines for comparison.
fn load() -> anyhow::Result<()> {
    let spec = BenchSpec { slots: 200, ..BenchSpec::default() };
    let fleet = BenchFleet::start(&spec)?;
    let (targets, pids, platform) = (fleet.targets(), fleet.entry_pids(), fleet.platform_url());
    let direct = format!(
        "engine-0-0={}=0..8,engine-1-0={}=8..16",
        fleet.engines[0].address(),
        fleet.engines[2].address()
    );
    load_tool(&["run", "--direct", &direct, "--rate", "40", "--tokens", "20", "--seconds", "10"])?;
    let runs = [("stream", "40", "20"), ("filing", "100", "1"), ("lookup", "300", "1")];
    for (kind, rate, tokens) in runs {
        load_tool(&[
            "run",
            "--targets",
            &targets,
            "--pids",
            &pids,
            "--platform",
            &platform,
            "--kind",
            kind,
            "--rate",
            rate,
            "--tokens",
            tokens,
            "--seconds",
            "10",
        ])?;
    }
    Ok(())
}

/// Measures CPU time and memory of one entry host at increasing stream rates.
fn streams() -> anyhow::Result<()> {
    let spec = BenchSpec { entry_hosts: 1, slots: 400, token_ms: 30, ..BenchSpec::default() };
    let fleet = BenchFleet::start(&spec)?;
    let (targets, pids) = (fleet.targets(), fleet.entry_pids());
    load_tool(&[
        "run",
        "--targets",
        &targets,
        "--pids",
        &pids,
        "--rate",
        "0.2",
        "--seconds",
        "10",
    ])?;
    for rate in ["5", "10", "20", "40"] {
        load_tool(&[
            "run",
            "--targets",
            &targets,
            "--pids",
            &pids,
            "--rate",
            rate,
            "--tokens",
            "60",
            "--seconds",
            "10",
        ])?;
    }
    Ok(())
}

/// Measures gaps in streams when a stage is killed or frozen, and without a failure for comparison.
fn recovery() -> anyhow::Result<()> {
    type Failure = fn(&mut BenchFleet) -> anyhow::Result<()>;
    let failures: [(&str, Failure); 5] = [
        ("no failure", |_| Ok(())),
        ("first stage killed", |fleet| {
            fleet.engines[0].kill();
            Ok(())
        }),
        ("last stage killed", |fleet| {
            fleet.engines[2].kill();
            Ok(())
        }),
        ("first stage frozen", |fleet| fleet.engines[0].signal("STOP")),
        ("last stage frozen", |fleet| fleet.engines[2].signal("STOP")),
    ];
    for (name, fail) in failures {
        println!("-- {name} after 3 s");
        let spec = BenchSpec::default();
        let mut fleet = BenchFleet::start(&spec)?;
        let targets = fleet.targets();
        let load = thread::spawn(move || {
            load_tool(&[
                "run",
                "--targets",
                &targets,
                "--rate",
                "20",
                "--tokens",
                "100",
                "--seconds",
                "6",
            ])
        });
        thread::sleep(Duration::from_secs(3));
        fail(&mut fleet)?;
        load.join().map_err(|_| anyhow::anyhow!("the load thread panicked"))??;
    }
    Ok(())
}

/// Measures complete answers per second below, at and above the capacity of the engines.
fn overload() -> anyhow::Result<()> {
    for rate in ["20", "40", "80", "200"] {
        let spec = BenchSpec { slots: 16, ..BenchSpec::default() };
        let fleet = BenchFleet::start(&spec)?;
        let targets = fleet.targets();
        load_tool(&[
            "run",
            "--targets",
            &targets,
            "--rate",
            rate,
            "--tokens",
            "40",
            "--seconds",
            "15",
        ])?;
    }
    Ok(())
}

/// Measures complete answers per second of a plan limited to 90 requests per second under a load of
/// 150, sent to one of nine hosts and to all of them.
fn allowance() -> anyhow::Result<()> {
    for hosts in [1, 9] {
        let spec =
            BenchSpec { replicas: 1, entry_hosts: 9, request_rate: 90, ..BenchSpec::default() };
        let fleet = BenchFleet::start(&spec)?;
        let targets: Vec<&str> = fleet.entry_hosts[..hosts]
            .iter()
            .map(crate::bench_fleet::BenchProcess::address)
            .collect();
        println!("-- all requests at {hosts} of 9 hosts");
        load_tool(&[
            "run",
            "--targets",
            &targets.join(","),
            "--kind",
            "lookup",
            "--rate",
            "150",
            "--seconds",
            "20",
        ])?;
    }
    Ok(())
}

/// Measures how three organisations share engines with a capacity of about 39 answers per second.
///
/// One sends 4 requests per second to all hosts, one 40 to one host, and one 200 to another host.
fn shares() -> anyhow::Result<()> {
    let fleet = BenchFleet::start(&BenchSpec { slots: 16, ..BenchSpec::default() })?;
    let address = |index: usize| fleet.entry_hosts[index].address().to_owned();
    let loads = [
        ("demo-key", fleet.targets(), "4"),
        ("large-key", address(0), "40"),
        ("flood-key", address(1), "200"),
    ];
    thread::scope(|scope| {
        for (key, targets, rate) in &loads {
            scope.spawn(move || {
                let output = Command::new("target/release/cassiafield-load")
                    .args(["run", "--targets", targets, "--key", key, "--rate", rate])
                    .args(["--tokens", "40", "--seconds", "60"])
                    .output();
                let text =
                    output.map(|output| String::from_utf8_lossy(&output.stdout).into_owned());
                println!("-- {key}, {rate}/s\n{}", text.unwrap_or_default());
            });
        }
    });
    Ok(())
}

/// Measures the time until nine hosts apply an edit.
fn edits() -> anyhow::Result<()> {
    let spec = BenchSpec { replicas: 1, entry_hosts: 9, ..BenchSpec::default() };
    let fleet = BenchFleet::start(&spec)?;
    let (platform, hosts) = (fleet.platform_url(), fleet.peer_addresses());
    load_tool(&["edits", "--platform", &platform, "--hosts", &hosts, "--edits", "60"])
}

/// Measures store calls, CPU time, memory and network traffic of idle hosts in one zone, by number
/// of hosts.
fn store() -> anyhow::Result<()> {
    for entry_hosts in [3, 6, 12, 24] {
        let spec = BenchSpec { replicas: 1, entry_hosts, ..BenchSpec::default() };
        let fleet = BenchFleet::start(&spec)?;
        let url = format!("{}/standin/counts", fleet.platform_url());
        let before = ureq::get(&url).call()?.into_string()?;
        load_tool(&["meter", "--pids", &fleet.entry_pids(), "--seconds", "20"])?;
        let after = ureq::get(&url).call()?.into_string()?;
        println!("{entry_hosts} hosts, 20 s: {before} -> {after}");
    }
    Ok(())
}

fn slopes() -> anyhow::Result<()> {
    load_tool(&["slopes"])
}

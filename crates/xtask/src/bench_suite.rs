use {
    crate::{
        bench_fleet::{BenchFleet, BenchShape},
        cargo, fleet_slopes,
    },
    anyhow::{bail, Context as _},
    std::{process::Command, thread, time::Duration},
};

/// A measurement by name.
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
    ("fleet-slopes", fleet_slopes::run),
];

/// Runs one measurement, or all of them.
pub(crate) fn run(name: Option<&str>) -> anyhow::Result<()> {
    if name.is_some_and(|name| BENCHES.iter().all(|(known, _)| *known != name)) {
        bail!("unknown measurement {:?}", name.unwrap_or(""));
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

/// Streams, filings and lookups against three entry hosts.
fn load() -> anyhow::Result<()> {
    let shape = BenchShape { slots: 200, ..BenchShape::default() };
    let fleet = BenchFleet::start(&shape)?;
    let (targets, pids, platform) = (fleet.targets(), fleet.entry_ids(), fleet.platform_url());
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

/// One entry host under more and more streams, for slopes of processor time and memory.
fn streams() -> anyhow::Result<()> {
    let shape = BenchShape { entries: 1, slots: 400, token_ms: 30, ..BenchShape::default() };
    let fleet = BenchFleet::start(&shape)?;
    let (targets, pids) = (fleet.targets(), fleet.entry_ids());
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

/// Gaps in streams while a stage is killed or frozen, against none.
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
        let shape = BenchShape::default();
        let mut fleet = BenchFleet::start(&shape)?;
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
        load.join().map_err(|_| anyhow::anyhow!("the load ended early"))??;
    }
    Ok(())
}

/// Whole answers a second below, at and above what the engines can do.
fn overload() -> anyhow::Result<()> {
    for rate in ["20", "40", "80", "200"] {
        let shape = BenchShape { slots: 16, ..BenchShape::default() };
        let fleet = BenchFleet::start(&shape)?;
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

/// Whole answers a second against a plan of 90, asked for at 150, on one of nine hosts and on all.
fn allowance() -> anyhow::Result<()> {
    for hosts in [1, 9] {
        let shape =
            BenchShape { replicas: 1, entries: 9, request_rate: 90, ..BenchShape::default() };
        let fleet = BenchFleet::start(&shape)?;
        let targets: Vec<&str> =
            fleet.entries[..hosts].iter().map(crate::bench_fleet::BenchProcess::address).collect();
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

/// Three organisations on engines that can do about 39 answers a second: one asks for 4 at all
/// hosts, one for 40 at one host, and one floods another host with 200.
fn shares() -> anyhow::Result<()> {
    let fleet = BenchFleet::start(&BenchShape { slots: 16, ..BenchShape::default() })?;
    let one = |index: usize| fleet.entries[index].address().to_owned();
    let loads = [
        ("demo-key", fleet.targets(), "4"),
        ("large-key", one(0), "40"),
        ("flood-key", one(1), "200"),
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

/// Time until an edit is in force on nine hosts.
fn edits() -> anyhow::Result<()> {
    let shape = BenchShape { replicas: 1, entries: 9, ..BenchShape::default() };
    let fleet = BenchFleet::start(&shape)?;
    let (platform, hosts) = (fleet.platform_url(), fleet.hosts());
    load_tool(&["edits", "--platform", &platform, "--hosts", &hosts, "--edits", "60"])
}

/// Calls to the platform store, processor time, memory and bytes of idle hosts of one zone, by
/// number of hosts.
fn store() -> anyhow::Result<()> {
    for entries in [3, 6, 12, 24] {
        let shape = BenchShape { replicas: 1, entries, ..BenchShape::default() };
        let fleet = BenchFleet::start(&shape)?;
        let url = format!("{}/standin/counts", fleet.platform_url());
        let before = ureq::get(&url).call()?.into_string()?;
        load_tool(&["meter", "--pids", &fleet.entry_ids(), "--seconds", "20"])?;
        let after = ureq::get(&url).call()?.into_string()?;
        println!("{entries} hosts, 20 s: {before} -> {after}");
    }
    Ok(())
}

fn slopes() -> anyhow::Result<()> {
    load_tool(&["slopes"])
}

//! Engines that keep the beginnings of prompts, with and without a choice of paths by them, in
//! virtual time. `--nocapture` prints the figures.

use {
    cassiafield_core::{
        ids::ZoneId,
        prefix::CacheProfile,
        process::{AcceleratorProfile, EndpointEntry, EndpointIncarnation, EngineProfile},
        request::LayerSpan,
    },
    cassiafield_standin::{
        KeptPrefixes, SharedPrompts, SimulatedTraffic, SimulationReport, ZoneSimulator,
    },
    std::{
        net::{Ipv4Addr, SocketAddrV4},
        time::Duration,
    },
};

const CACHE: CacheProfile =
    CacheProfile { block_tokens: 16, idle_retention: Duration::from_secs(60) };
/// Streams a second of eight endpoints that are lightly loaded, and near their limit.
const LIGHT: f64 = 12.0;
const FULL: f64 = 80.0;

fn simulate(rate: f64, shared: SharedPrompts, seed: u64) -> SimulationReport {
    let engine = EngineProfile {
        layers: 40,
        layer_mb: 100.0,
        token_bytes: 400_000.0,
        step_ms: 2.0,
        stream_ms: 0.02,
        context_ms: 0.02,
        prefill_tokens_per_ms: 20.0,
        load_seconds: 10.0,
        tokens_per_event: 3,
        activation_bytes: 10_000.0,
        zone_bandwidth_mbps: 22_000.0,
        zone_delay_ms: 0.3,
        mean_prompt_tokens: 300,
        mean_output_tokens: 120,
        accelerators: vec![AcceleratorProfile {
            kind: "fast".parse().expect("a name"),
            memory_mb: 24_000.0,
            step_factor: 1.0,
            prefill_factor: 1.0,
        }],
        prefix_cache: Some(CACHE),
    };
    let entries = (1..=8_u16).map(|port| EndpointEntry {
        endpoint: format!("e-{port}").parse().expect("a name"),
        incarnation: EndpointIncarnation(1),
        service: "writers".parse().expect("a name"),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: zone(),
        is_leaving: false,
        slots: 192,
        accelerator: Some("fast".parse().expect("a name")),
        span: Some(LayerSpan::try_from((0, 40)).expect("a range")),
        orders: 1,
        software: "v1".into(),
    });
    let traffic = SimulatedTraffic {
        arrival_rate: rate,
        duration: Duration::from_secs(20),
        first_event_limit: Duration::from_millis(350),
        event_gap_limit: Duration::from_millis(200),
        seed,
    };
    let simulator = ZoneSimulator::new(engine, entries.collect()).with_shared_prompts(shared);
    simulator.run_with_report(&zone(), &traffic)
}

fn zone() -> ZoneId {
    "a".parse().expect("a name")
}

fn shared(share: f64, parts: u32, kept_tokens: u32) -> SharedPrompts {
    SharedPrompts {
        share,
        parts,
        part_tokens: 1_600,
        cache: CACHE,
        kept_tokens,
        is_reported: false,
        is_choosing: false,
    }
}

/// Plays a pattern without and with the choice, and prints both.
fn compare(name: &str, rate: f64, shared: SharedPrompts) -> [SimulationReport; 2] {
    [false, true].map(|is_choosing| {
        let report = simulate(rate, SharedPrompts { is_choosing, ..shared }, 11);
        let [p50, p90, p99] = [0.5, 0.9, 0.99].map(|part| report.first_event(part).as_millis());
        println!(
            "{name}, {rate} a second, choosing {is_choosing}: first events {p50} {p90} {p99} ms, \
             on time {:.3} of {}, {} tokens read, {} found",
            report.outcome.on_time_ratio(),
            report.outcome.arrived,
            report.read_tokens,
            report.found_tokens,
        );
        report
    })
}

#[test]
fn one_beginning_at_1_10_and_60_of_100_requests_is_read_less_and_served_no_worse() {
    for rate in [LIGHT, FULL] {
        for share in [0.01, 0.1, 0.6] {
            let [without, with] = compare("one beginning", rate, shared(share, 1, 20_000));
            assert!(with.read_tokens <= without.read_tokens);
            assert!(with.outcome.on_time_ratio() >= without.outcome.on_time_ratio() - 0.01);
        }
    }
}

#[test]
fn many_beginnings_at_short_memory_are_served_no_worse() {
    for (rate, is_reported) in [(LIGHT, false), (FULL, false), (LIGHT, true), (FULL, true)] {
        let short = SharedPrompts { is_reported, ..shared(0.8, 40, 6_400) };
        let name = format!("40 beginnings, short memory, reported {is_reported}");
        let [without, with] = compare(&name, rate, short);
        assert!(with.read_tokens <= without.read_tokens);
        assert!(with.outcome.on_time_ratio() >= without.outcome.on_time_ratio() - 0.01);
    }
}

#[test]
fn many_beginnings_are_found_more_often_by_choice() {
    let [without, with] = compare("40 beginnings", LIGHT, shared(0.8, 40, 30_000));
    assert!(with.found_tokens > without.found_tokens);
}

#[test]
fn blocks_are_shared_by_running_requests_and_yield_when_memory_is_needed() {
    let mut kept = KeptPrefixes::new(4, 16, true);
    let one = kept.blocks_of([1, 2, 3, 4, 5, 6, 7, 8, 9]);
    let other = kept.blocks_of([1, 2, 3, 4, 9, 9, 9, 9]);
    let (first, second) = (kept.begin(&one), kept.begin(&other));
    assert_eq!((kept.report(&first), kept.report(&second)), (Some(0), Some(4)));
    assert_eq!(kept.kept_tokens(), 12);
    kept.end(first);
    // The block that only the ended request used is the first to go; those in use stay.
    let third = kept.begin(&kept.blocks_of([7; 8]));
    assert_eq!((third.found_tokens, kept.kept_tokens()), (0, 16));
    assert_eq!(kept.begin(&one).found_tokens, 4);
    kept.end(second);
    kept.restart();
    assert_eq!(kept.begin(&other).found_tokens, 0);
    assert_eq!(KeptPrefixes::new(4, 16, false).report(&third), None);
}

#[test]
fn short_memory_at_full_load_serves_no_fewer_with_any_of_eight_seeds() {
    for is_reported in [false, true] {
        let short = SharedPrompts { is_reported, ..shared(0.8, 40, 6_400) };
        for seed in 1..=8 {
            let [without, with] = [false, true].map(|is_choosing| {
                let report = simulate(FULL, SharedPrompts { is_choosing, ..short }, seed);
                report.outcome.on_time_ratio()
            });
            println!("seed {seed}, reported {is_reported}: {without:.3} -> {with:.3} on time");
            assert!(with >= without, "seed {seed}, reported {is_reported}: {without} {with}");
        }
    }
}

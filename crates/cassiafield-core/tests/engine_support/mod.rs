//! Fixtures: a model engine with three kinds of accelerators of typical proportions.

#![allow(dead_code, reason = "each test uses a part of the fixtures")]

use {
    cassiafield_core::{
        ids::{EndpointId, Moment, ServiceId, ZoneId},
        process::{
            AcceleratorProfile, EndpointDirectory, EndpointEntry, EndpointIncarnation,
            EngineProfile, PlacementCandidate,
        },
        request::LayerSpan,
    },
    std::net::{Ipv4Addr, SocketAddrV4},
};

/// Returns the service of all model endpoints.
pub(crate) fn service() -> ServiceId {
    "writers".parse().expect("a valid name")
}

/// Parses the name of a zone.
pub(crate) fn zone(name: &str) -> ZoneId {
    name.parse().expect("a valid name")
}

/// Parses the name of an endpoint.
pub(crate) fn endpoint(name: &str) -> EndpointId {
    name.parse().expect("a valid name")
}

/// Returns the span `start..end`.
pub(crate) fn span(start: u16, end: u16) -> LayerSpan {
    LayerSpan::try_from((start, end)).expect("a range that is not empty")
}

/// Returns an engine with 80 layers and the accelerators `fast`, `middle` and `slow`.
pub(crate) fn engine() -> EngineProfile {
    let accelerator = |kind: &str, memory_mb, step_factor, prefill_factor| AcceleratorProfile {
        kind: kind.parse().expect("a valid name"),
        memory_mb,
        step_factor,
        prefill_factor,
    };
    EngineProfile {
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 900_000.0,
        step_ms: 1.0,
        stream_ms: 0.007,
        context_ms: 0.01,
        prefill_tokens_per_ms: 100.0,
        load_seconds: 14.0,
        tokens_per_event: 3,
        activation_bytes: 46_000.0,
        zone_bandwidth_mbps: 22_000.0,
        zone_delay_ms: 0.3,
        mean_prompt_tokens: 770,
        mean_output_tokens: 200,
        accelerators: vec![
            accelerator("fast", 72_000.0, 2.4, 3.2),
            accelerator("middle", 43_000.0, 5.6, 2.7),
            accelerator("slow", 21_600.0, 16.0, 8.2),
        ],
        prefix_cache: None,
    }
}

/// Returns the profile of a kind of accelerator.
pub(crate) fn profile(kind: &str) -> AcceleratorProfile {
    let engine = engine();
    let kind = kind.parse().expect("a valid name");
    engine.accelerator(&kind).expect("a kind of the engine").clone()
}

/// Returns a candidate of `kind` in zone `a` that holds `held`.
pub(crate) fn candidate(name: &str, kind: &str, held: Option<LayerSpan>) -> PlacementCandidate {
    PlacementCandidate {
        endpoint: endpoint(name),
        zone: zone("a"),
        profile: profile(kind),
        held,
        is_loading: false,
        is_deferred: false,
        is_busy: false,
    }
}

/// Returns the list entry of an endpoint.
pub(crate) fn entry(
    name: &str,
    kind: &str,
    zone_name: &str,
    held: Option<LayerSpan>,
) -> EndpointEntry {
    let number = name.bytes().fold(0_u16, |sum, byte| sum.wrapping_mul(31) + u16::from(byte));
    EndpointEntry {
        endpoint: endpoint(name),
        incarnation: EndpointIncarnation(1),
        service: service(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, number.max(1)),
        zone: zone(zone_name),
        is_leaving: false,
        slots: 192,
        accelerator: Some(kind.parse().expect("a valid name")),
        span: held,
        orders: 0,
        software: "v1".into(),
    }
}

/// Returns a directory whose list has been readable for longer than the grace time.
pub(crate) fn directory(entries: Vec<EndpointEntry>) -> EndpointDirectory {
    let mut directory = EndpointDirectory::default();
    directory.apply_list(entries.clone(), Moment::ORIGIN);
    directory.apply_list(entries, Moment::from_millis(60_000));
    directory
}

//! Route matching, target weights, API keys and validation of a configuration version.

use {
    cassiafield_core::{
        ids::{OrganisationId, ServiceId},
        version::{
            CallerLimits, RequestKind, RouteRule, RouteTable, RouteTableDraft, RouteTarget,
            ServiceRule, TableError,
        },
    },
    std::time::Duration,
};

fn service(name: &str) -> ServiceId {
    name.parse().expect("a valid name")
}

fn rule(host: &str, prefix: &str, targets: &[(&str, u32)]) -> RouteRule {
    let targets = targets
        .iter()
        .map(|&(name, weight)| RouteTarget { service: service(name), weight })
        .collect();
    RouteRule {
        name: prefix.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        targets,
        attempts: 2,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(100),
        event_gap_objective: None,
        priority: 0,
        is_public: false,
        has_affinity: false,
    }
}

fn draft(routes: Vec<RouteRule>) -> RouteTableDraft {
    let services = ["s1", "s2"].map(|name| ServiceRule {
        service: service(name),
        health_path: "/healthz".into(),
        max_connections: 10,
        engine: None,
    });
    let organisation: OrganisationId = "org".parse().expect("a valid name");
    RouteTableDraft {
        version: 3,
        routes,
        services: services.to_vec(),
        limits: CallerLimits::default(),
        organisations: Some(vec![(organisation, vec!["k1".into(), "k2".into()])]),
        ..RouteTableDraft::default()
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_selected() {
    let routes = vec![
        rule("h", "/a/", &[("s1", 1)]),
        rule("h", "/a/b/", &[("s2", 1)]),
        rule("other", "/a/b/c/", &[("s1", 1)]),
    ];
    let table = RouteTable::try_from(draft(routes)).expect("a valid table");
    let name = |host, path| table.route(host, path).map(|rule| rule.name.as_str());
    assert_eq!(name("h", "/a/b/c/d"), Some("/a/b/"));
    assert_eq!(name("h", "/a/bc"), Some("/a/"));
    assert_eq!(name("h", "/a"), None);
    assert_eq!(name("unknown", "/a/b/"), None);
}

#[test]
fn targets_receive_requests_in_proportion_to_their_weights() {
    let rule = rule("h", "/a/", &[("s1", 90), ("s2", 10)]);
    let to_second = (0..1_000).filter(|&draw| rule.target(draw) == Some(&service("s2"))).count();
    assert_eq!(to_second, 100);
    let unweighted = self::rule("h", "/a/", &[("s1", 0)]);
    assert_eq!(unweighted.target(7), Some(&service("s1")));
}

#[test]
fn keys_identify_their_organisation() {
    let table = RouteTable::try_from(draft(Vec::new())).expect("a valid table");
    assert_eq!(table.organisation("k2").map(OrganisationId::as_str), Some("org"));
    assert_eq!(table.organisation("k3"), None);
}

#[test]
fn an_invalid_version_is_rejected() {
    let rejection = |rule| RouteTable::try_from(draft(vec![rule])).err();
    assert_eq!(rejection(rule("h", "a/", &[("s1", 1)])), Some(TableError::BadPrefix("a/".into())));
    assert_eq!(rejection(rule("h", "/a", &[("s1", 1)])), Some(TableError::BadPrefix("/a".into())));
    assert_eq!(
        rejection(rule("h", "/a/", &[("s9", 1)])),
        Some(TableError::UnknownService(service("s9")))
    );
    assert_eq!(rejection(rule("h", "/a/", &[])), Some(TableError::NoTarget("/a/".into())));
}

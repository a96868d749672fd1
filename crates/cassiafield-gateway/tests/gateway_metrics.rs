//! The text that a host serves on its metrics address.

use {
    cassiafield_core::{ids::OrganisationId, request::RefusalCause, version::RequestKind},
    cassiafield_gateway::process::{GatewayMetrics, HostReading},
    std::time::Duration,
};

fn text(metrics: &GatewayMetrics) -> String {
    let reading = HostReading { configuration_age: 0.7, lines_dropped: 3.0, ..Default::default() };
    String::from_utf8(metrics.text(reading).expect("text")).expect("text")
}

fn organisation(number: usize) -> OrganisationId {
    format!("org-{number}").parse().expect("a valid name")
}

#[test]
fn what_happened_to_requests_is_counted_by_organisation_and_kind() {
    let metrics = GatewayMetrics::new();
    let (own, kind) = (organisation(1), RequestKind::ResumableStream);
    metrics.answered(Some(&own), kind, 200, Duration::from_millis(60));
    metrics.completed(Some(&own), kind, Duration::from_millis(2_500));
    metrics.event_gaps(Some(&own)).observe(0.04);
    metrics.sent(RequestKind::AtMostOnce, Duration::from_micros(900));
    metrics.refused(RefusalCause::Overloaded);
    metrics.retry_asked(false);
    metrics.stream_broken(true);
    metrics.layers_ordered(false);
    metrics.store_calls().with_label_values(&["list", "unreachable"]).inc();
    let text = text(&metrics);
    for line in [
        "cassiafield_answers_total{kind=\"stream\",organisation=\"org-1\",status=\"200\"} 1",
        "cassiafield_answer_seconds_bucket{kind=\"stream\",organisation=\"org-1\",le=\"0.1\"} 1",
        "cassiafield_whole_seconds_bucket{kind=\"stream\",organisation=\"org-1\",le=\"2\"} 0",
        "cassiafield_whole_seconds_bucket{kind=\"stream\",organisation=\"org-1\",le=\"5\"} 1",
        "cassiafield_event_gap_seconds_bucket{organisation=\"org-1\",le=\"0.05\"} 1",
        "cassiafield_added_seconds_bucket{kind=\"once\",le=\"0.001\"} 1",
        "cassiafield_refused_total{cause=\"overloaded\"} 1",
        "cassiafield_retries_total{granted=\"no\"} 1",
        "cassiafield_streams_broken_total{outcome=\"resumed\"} 1",
        "cassiafield_layer_orders_total{accepted=\"no\"} 1",
        "cassiafield_store_calls_total{call=\"list\",result=\"unreachable\"} 1",
        "cassiafield_configuration_age_seconds 0.7",
        "cassiafield_log_lines_dropped 3",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn organisations_beyond_the_bound_share_a_label() {
    let metrics = GatewayMetrics::new();
    for number in 0..1_000 {
        let own = organisation(number);
        metrics.answered(Some(&own), RequestKind::AtMostOnce, 200, Duration::ZERO);
    }
    let text = text(&metrics);
    let series = text.lines().filter(|line| line.starts_with("cassiafield_answers_total"));
    assert_eq!(series.count(), 257);
    assert!(text.contains("organisation=\"other\",status=\"200\"} 744"));
}

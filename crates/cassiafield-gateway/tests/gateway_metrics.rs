//! The metrics text of a host.

use {
    cassiafield_core::{
        ids::OrganisationId,
        request::{GiveUpReason, RefusalCause},
        version::RequestKind,
    },
    cassiafield_gateway::process::{GatewayMetrics, GaugeValues},
    std::time::Duration,
};

fn text(metrics: &GatewayMetrics) -> String {
    let values = GaugeValues { configuration_age: 0.7, lines_dropped: 3.0, ..Default::default() };
    String::from_utf8(metrics.encode(values).expect("encoded metrics")).expect("UTF-8 text")
}

fn organisation(number: usize) -> OrganisationId {
    format!("org-{number}").parse().expect("a valid name")
}

#[test]
fn requests_are_counted_by_organisation_and_kind() {
    let metrics = GatewayMetrics::new();
    let (label, kind) = (organisation(1), RequestKind::ResumableStream);
    metrics.record_response(Some(&label), kind, 200, Duration::from_millis(60));
    metrics.record_completion(Some(&label), kind, Duration::from_millis(2_500));
    metrics.event_gaps(Some(&label)).observe(0.04);
    metrics.record_send(RequestKind::AtMostOnce, Duration::from_micros(900));
    metrics.count_refusal(RefusalCause::Overloaded);
    metrics.count_retry_request(false);
    metrics.count_broken_stream(true);
    metrics.count_given_up_stream(GiveUpReason::RetryBudget);
    metrics.count_layer_order(false);
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
        "cassiafield_streams_given_up_total{reason=\"retry-budget\"} 1",
        "cassiafield_layer_orders_total{accepted=\"no\"} 1",
        "cassiafield_store_calls_total{call=\"list\",result=\"unreachable\"} 1",
        "cassiafield_configuration_age_seconds 0.7",
        "cassiafield_log_lines_dropped 3",
    ] {
        assert!(text.lines().any(|found| found == line), "{line} is missing in\n{text}");
    }
}

#[test]
fn organisations_beyond_the_limit_share_a_label() {
    let metrics = GatewayMetrics::new();
    for number in 0..1_000 {
        let label = organisation(number);
        metrics.record_response(Some(&label), RequestKind::AtMostOnce, 200, Duration::ZERO);
    }
    let text = text(&metrics);
    let series = text.lines().filter(|line| line.starts_with("cassiafield_answers_total"));
    assert_eq!(series.count(), 257);
    assert!(text.contains("organisation=\"other\",status=\"200\"} 744"));
}

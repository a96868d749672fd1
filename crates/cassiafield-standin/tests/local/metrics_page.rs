//! Metrics are served to operators and peers only, labelled by organisation and class, without
//! prompts or API keys.

use crate::support::{complete, fleet_spec, read_response, start_fleet};

#[test]
fn metrics_are_served_on_the_internal_listener_only() {
    let (fleet, address) = start_fleet(&fleet_spec());
    assert_eq!(complete(address, "a very private prompt", 8).status, 200);
    let internal = fleet.entry_hosts()[0].peer_address();
    let page = read_response(ureq::get(&format!("http://{internal}/metrics")).call());
    let text = page.body.as_str().unwrap().to_owned();
    for line in [
        "cassiafield_first_token_seconds_count{class=\"generation\",organisation=\"demo\"}",
        "cassiafield_between_tokens_seconds_count{class=\"generation\",organisation=\"demo\"}",
        "cassiafield_request_seconds_count{class=\"generation\",organisation=\"demo\"}",
        "cassiafield_queue_seconds_count{class=\"generation\",organisation=\"demo\"}",
        "cassiafield_running_requests{class=\"generation\",organisation=\"demo\"} 0",
        "cassiafield_endpoint_usable{endpoint=\"engine-1-1\"} 1",
        "cassiafield_endpoints{state=\"usable\"} 5",
    ] {
        assert!(text.contains(line), "{line} is missing from\n{text}");
    }
    assert!(!text.contains("private") && !text.contains("demo-key"));
    let outside = read_response(ureq::get(&format!("http://{address}/metrics")).call());
    assert_eq!(outside.status, 401);
    fleet.close();
}

//! The caller API: response formats, statuses, refusal causes, verdicts and idempotency keys.

use {
    crate::support::{
        complete, expected_completion, fleet_spec, post, read_response, start_fleet, stream_events,
    },
    expect_test::expect,
    serde_json::{json, Value},
};

#[test]
fn a_completion_matches_the_models_output() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let response = complete(address, "when to feed", 20);
    assert_eq!(response.status, 200);
    assert_eq!(response.body["choices"][0]["text"], expected_completion("when to feed", 20));
    assert_eq!(response.body["usage"]["completion_tokens"], 20);
    assert_eq!(response.body["choices"][0]["finish_reason"], "length");
    fleet.close();
}

#[test]
fn a_streamed_chat_has_the_chunk_format_of_client_libraries() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let body = json!({
        "model": "demo-model", "max_tokens": 4,
        "stream_options": { "include_usage": true },
        "messages": [{ "role": "user", "content": [{ "type": "text", "text": "moss" }] }],
    });
    let events = stream_events(address, "/v1/chat/completions", body);
    assert_eq!(events.last().map(String::as_str), Some("[DONE]"));
    let parsed: Vec<Value> = events[..events.len() - 1]
        .iter()
        .map(|event| serde_json::from_str(event).unwrap())
        .collect();
    let text: String = parsed
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str())
        .collect();
    assert_eq!(text, expected_completion("user: moss\n", 4));
    let chunk_formats: Vec<String> = parsed
        .iter()
        .map(|event| {
            let choice = &event["choices"][0];
            format!(
                "{} {} {}",
                event["object"],
                if choice["delta"]["role"].is_string() { "role" } else { "-" },
                choice["finish_reason"]
            )
        })
        .collect();
    expect![[r#"
        "chat.completion.chunk" role null
        "chat.completion.chunk" - null
        "chat.completion.chunk" - null
        "chat.completion.chunk" - null
        "chat.completion.chunk" - null
        "chat.completion.chunk" - "length"
        "chat.completion.chunk" - null"#]]
    .assert_eq(&chunk_formats.join("\n"));
    assert_eq!(parsed.last().unwrap()["usage"]["completion_tokens"], 4);
    fleet.close();
}

#[test]
fn refusals_have_the_expected_status_cause_and_verdict() {
    let mut spec = fleet_spec();
    spec.limits.max_tokens = 50;
    let (fleet, address) = start_fleet(&spec);
    let url = |path: &str| format!("http://{address}{path}");
    let key = "Bearer demo-key";
    let responses = [
        ("no key", read_response(ureq::get(&url("/v1/models")).call())),
        (
            "wrong key",
            read_response(ureq::get(&url("/v1/models")).set("Authorization", "Bearer x").call()),
        ),
        ("no path", read_response(ureq::get(&url("/v1/nothing")).set("Authorization", key).call())),
        (
            "method",
            read_response(ureq::get(&url("/v1/completions")).set("Authorization", key).call()),
        ),
        (
            "no json",
            read_response(
                ureq::post(&url("/v1/completions")).set("Authorization", key).send_string("{"),
            ),
        ),
        ("model", post(address, "/v1/completions", &json!({ "model": "other", "prompt": "x" }))),
        ("service", post(address, "/v1/services/other/x", &json!({}))),
        ("tokens", complete(address, "x", 51)),
        (
            "n",
            post(
                address,
                "/v1/completions",
                &json!({ "model": "demo-model", "prompt": "x", "n": 2 }),
            ),
        ),
        ("large", post(address, "/v1/completions", &json!("x".repeat(2 << 20)))),
    ];
    let lines: Vec<String> = responses
        .iter()
        .map(|(name, response)| {
            assert_eq!(response.header("Content-Type"), Some("application/problem+json"), "{name}");
            let body = &response.body;
            format!(
                "{name}: {} {} {} {}",
                response.status, body["cause"], body["verdict"], body["detail"]
            )
        })
        .collect();
    expect![[r#"
        no key: 401 "unauthorised" "not-run" "Authorization: expected a bearer key of an organisation"
        wrong key: 401 "unauthorised" "not-run" "Authorization: expected a bearer key of an organisation"
        no path: 404 "not-found" "not-run" "no such path: /v1/nothing"
        method: 405 "method-not-allowed" "not-run" "/v1/completions takes POST"
        no json: 400 "bad-request" "not-run" "body, line 1 column 1: expected a JSON object"
        model: 403 "not-in-plan" "not-run" "the plan does not include model other"
        service: 403 "not-in-plan" "not-run" "the plan does not include service other"
        tokens: 400 "bad-request" "not-run" "max_tokens: the plan allows at most 50"
        n: 400 "bad-request" "not-run" "n: expected 1, the only value served"
        large: 413 "too-large" "not-run" "the body has more than 1048576 bytes""#]]
    .assert_eq(&lines.join("\n"));
    fleet.close();
}

#[test]
fn exceeding_the_request_rate_is_refused_with_retry_after() {
    let mut spec = fleet_spec();
    spec.limits.request_rate = 0.5;
    spec.limits.request_burst = 2.0;
    let (fleet, address) = start_fleet(&spec);
    let responses: Vec<_> = (0..8).map(|_| complete(address, "x", 1)).collect();
    let refused = responses.iter().find(|response| response.status == 429).unwrap();
    assert_eq!(refused.body["cause"], "request-rate");
    assert!(refused.header("Retry-After").unwrap().parse::<u64>().unwrap() >= 1);
    fleet.close();
}

#[test]
fn a_repeated_idempotency_key_replays_the_first_outcome() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let submit = |body: &str| {
        let request = ureq::post(&format!("http://{address}/v1/services/permits/file?calf=7"));
        let request = request.set("Authorization", "Bearer demo-key");
        let request = request.set("Content-Type", "text/x-permit").set("Idempotency-Key", "k");
        read_response(request.send_string(body))
    };
    let (first, second, other) = (submit("a"), submit("a"), submit("b"));
    assert_eq!(first.body["path"], "/file?calf=7");
    assert_eq!(first.body["content_type"], "text/x-permit");
    assert_eq!(first.body, second.body);
    assert_eq!(second.header("Cassiafield-Verdict"), Some("ran"));
    assert_eq!((other.status, other.body["cause"].as_str()), (422, Some("key-reused")));
    assert_eq!(fleet.platform().run_counts().get("k"), Some(&1));
    fleet.close();
}

#[test]
fn a_call_with_an_idempotency_key_is_refused_during_a_store_outage() {
    let (fleet, address) = start_fleet(&fleet_spec());
    fleet
        .platform()
        .store()
        .set_faults(cassiafield_standin::StoreFaults { outage: true, ..Default::default() });
    let request = ureq::post(&format!("http://{address}/v1/services/permits/file"));
    let request = request.set("Authorization", "Bearer demo-key").set("Idempotency-Key", "k2");
    let response = read_response(request.send_string("a"));
    assert_eq!(
        (response.status, response.body["cause"].as_str()),
        (503, Some("store-unavailable"))
    );
    assert!(response.header("Retry-After").is_some());
    assert_eq!(complete(address, "still served", 3).status, 200);
    assert_eq!(fleet.platform().run_counts().get("k2"), None);
    fleet.close();
}

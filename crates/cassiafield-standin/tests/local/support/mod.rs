//! Starts local fleets and sends requests to them.

use {
    cassiafield_standin::{FleetSpec, LocalFleet, ToyModel},
    serde_json::{json, Value},
    std::{net::SocketAddr, thread, time::Duration},
};

pub(crate) fn fleet_spec() -> FleetSpec {
    let mut spec = FleetSpec::demo().unwrap();
    spec.listen = "127.0.0.1:0".into();
    spec.token_time = Duration::from_millis(2);
    spec.limits.request_rate = 1e6;
    spec.limits.request_burst = 1e6;
    spec.limits.token_rate = 1e8;
    spec.limits.token_burst = 1e8;
    spec
}

pub(crate) fn start_fleet(spec: &FleetSpec) -> (LocalFleet, SocketAddr) {
    let fleet = LocalFleet::start(spec).unwrap();
    let address = fleet.caller_addresses()[0];
    while complete(address, "until the first allowance has accrued", 1).status == 429 {
        thread::sleep(Duration::from_millis(50));
    }
    (fleet, address)
}

pub(crate) fn expected_completion(prompt: &str, max_tokens: u32) -> String {
    ToyModel::new(16).generate(prompt, max_tokens).concat()
}

pub(crate) struct ReadResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Value,
}

impl ReadResponse {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub(crate) fn read_response(result: Result<ureq::Response, ureq::Error>) -> ReadResponse {
    let response = match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => response,
        Err(error) => panic!("{error}"),
    };
    let names = response.headers_names();
    let headers = names
        .into_iter()
        .map(|name| {
            let value = response.header(&name).unwrap_or("").to_owned();
            (name, value)
        })
        .collect();
    let status = response.status();
    let text = response.into_string().unwrap();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    ReadResponse { status, headers, body }
}

pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> ReadResponse {
    let request = ureq::post(&format!("http://{address}{path}"));
    let request = request.set("Authorization", &format!("Bearer {}", FleetSpec::DEMO_API_KEY));
    read_response(request.set("Content-Type", "application/json").send_string(&body.to_string()))
}

pub(crate) fn complete(address: SocketAddr, prompt: &str, max_tokens: u32) -> ReadResponse {
    let body = json!({ "model": "demo-model", "prompt": prompt, "max_tokens": max_tokens });
    post(address, "/v1/completions", &body)
}

/// Returns the `data:` payloads of a streamed response.
pub(crate) fn stream_events(address: SocketAddr, path: &str, mut body: Value) -> Vec<String> {
    body["stream"] = true.into();
    let request = ureq::post(&format!("http://{address}{path}"));
    let request = request.set("Authorization", &format!("Bearer {}", FleetSpec::DEMO_API_KEY));
    let text = request.send_string(&body.to_string()).unwrap().into_string().unwrap();
    text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")).map(str::to_owned).collect()
}

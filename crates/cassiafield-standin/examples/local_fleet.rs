//! Starts a local fleet, requests one completion and prints it.
//!
//! Run with `cargo run -p cassiafield-standin --example local_fleet`.

use {
    cassiafield_standin::{FleetSpec, LocalFleet},
    serde_json::{json, Value},
    std::{thread, time::Duration},
};

/// Time until the rate limits have accrued enough for one request.
const ACCRUAL_TIME: Duration = Duration::from_millis(500);

fn main() -> anyhow::Result<()> {
    let mut spec = FleetSpec::demo()?;
    spec.listen = "127.0.0.1:0".into();
    let fleet = LocalFleet::start(&spec)?;
    thread::sleep(ACCRUAL_TIME);
    let url = format!("http://{}/v1/completions", fleet.caller_addresses()[0]);
    let request =
        ureq::post(&url).set("Authorization", &format!("Bearer {}", FleetSpec::DEMO_API_KEY));
    let body = json!({ "model": "demo-model", "prompt": "Why does moss return?", "max_tokens": 8 });
    let response: Value = request.send_json(body)?.into_json()?;
    println!("{}", response["choices"][0]["text"]);
    fleet.close();
    Ok(())
}

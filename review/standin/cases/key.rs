//! A new version of the configuration adds a public route below one that needs a key. Clients that still
//! send their key have it passed on to the server.

use super::{entry, root, PlainServer};
use crate::base::{record, request, sleep_ms, unix_ms, Answer, Folder, Host, Store};
use std::time::Duration;

fn config(version: u32, has_public_route: bool) -> String {
    let public = r#"{"name":"notices","host":"desk.example","prefix":"/desk/notices/","kind":"safe","service":"permits",
"timeout_ms":3000,"slo_ms":100,"attempts":2,"priority":1,"public":true},"#;
    format!(
        r#"{{"version":{version},"routes":[{public}{{"name":"desk","host":"desk.example","prefix":"/desk/",
"kind":"safe","service":"permits","timeout_ms":3000,"slo_ms":100,"attempts":2,"priority":1}}],
"services":[{{"name":"permits","health_path":"/healthz","max_conns":110}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":10000}},
"tenants":[{{"name":"ranch","api_keys":["n2ctnfzs989anu6wsjnb"]}}]}}"#,
        public = if has_public_route { public } else { "" },
    )
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    const KEY: &str = "n2ctnfzs989anu6wsjnb";
    let folder = Folder::new();
    let store = Store::start();
    let server = PlainServer::start("i-1");
    store.put("op/config", &config(4, false));
    store.put("servers/i-1", &entry("permits", server.address, "za", "ready", 0, unix_ms()));
    let ip = Host::free_ip(0);
    let settings = Host::settings("front-za-1", "za", &["za"], ip, store.address);
    let mut host = Host::start("front-za-1", ip, &settings, &folder.0, &root());
    if !host.wait_ready() {
        return Err("the host does not get ready".to_owned());
    }
    sleep_ms(3_500);
    let mut answered = 0;
    for number in 0..24_u64 {
        if number == 8 && has_trouble {
            let revision = store.put("op/config", &config(9, true));
            record(&format!("the operator adds the public route /desk/notices/, acknowledged at revision {revision}"));
        }
        let id = format!("{:016x}", 0xc000_0000_u64 + number);
        let authorization = format!("Bearer {KEY}");
        let headers = [
            ("Host", "desk.example"),
            ("Authorization", authorization.as_str()),
            ("X-Cassiafield-Attempt-Id", id.as_str()),
            ("X-Cassiafield-Deadline-Ms", "3000"),
            ("Connection", "close"),
        ];
        match request(host.front(), "GET", "/desk/notices/today", &headers, b"", Duration::from_secs(4)) {
            Answer::Response(found) => {
                record(&format!("client got {} for {id}", found.status()));
                answered += u32::from(found.status() == 200);
            }
            Answer::Nothing(reason) => record(&format!("client got nothing for {id}: {reason}")),
        }
        sleep_ms(250);
    }
    let mut is_broken = false;
    for arrival in server.arrivals.lock().expect("arrivals").iter() {
        let id = arrival.request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
        let tenant = arrival.request.header("x-cassiafield-tenant").unwrap_or("none").to_owned();
        let leaked = arrival.request.headers.iter().find(|(_, value)| value.contains(KEY));
        if let Some((name, value)) = leaked {
            record(&format!("BROKEN: server i-1 ran request {id} and got the client's key: {name}: {value}; tenant {tenant}"));
            is_broken = true;
        }
    }
    if !host.is_running() || answered < 20 {
        return Err(format!("only {answered} requests were answered"));
    }
    Ok(is_broken)
}

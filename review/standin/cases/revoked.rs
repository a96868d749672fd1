//! A key is taken away. The platform's store comes back from an older copy, and a host that starts before the operator
//! has written again accepts the key.

use super::{entry, root, PlainServer};
use crate::base::{record, request, sleep_ms, unix_ms, Answer, Folder, Host, Store};
use std::time::Duration;

const REVOKE_MS: u128 = 5_000;

fn config(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"desk","host":"desk.example","prefix":"/desk/",
"kind":"unsafe","service":"permits","timeout_ms":3000,"slo_ms":100,"attempts":1,"priority":1}}],
"services":[{{"name":"permits","health_path":"/healthz","max_conns":110}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"ranch","api_keys":[{keys}]}}]}}"#
    )
}

/// Files a permit with a key; `sent` gets the request's id.
fn file(host: &Host, key: &str, sent: &mut Vec<String>) -> u16 {
    let base: u64 = if key == "key-lost" { 0xc100_0000 } else { 0xc200_0000 };
    let id = format!("{:08x}{:08x}", u32::from(host.ip), base + sent.len() as u64);
    sent.push(id.clone());
    let authorization = format!("Bearer {key}");
    let headers = [
        ("Host", "desk.example"),
        ("Authorization", authorization.as_str()),
        ("X-Cassiafield-Attempt-Id", id.as_str()),
        ("X-Cassiafield-Deadline-Ms", "3000"),
        ("Connection", "close"),
    ];
    let answer = request(host.front(), "POST", "/desk/permit", &headers, b"permit", Duration::from_secs(4));
    let status = match answer {
        Answer::Response(found) => found.status(),
        Answer::Nothing(_) => 0,
    };
    record(&format!("client got {status} for {id} with {key} at host {}", host.name));
    status
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let folder = Folder::new();
    let store = Store::start();
    let server = PlainServer::start("i-1");
    store.put("op/config", &config(4, "\"key-lost\",\"key-kept\""));
    store.put("servers/i-1", &entry("permits", server.address, "za", "ready", 0, unix_ms()));
    let start = |number: u8, name: &str, is_first_start: bool| {
        let ip = Host::free_ip(number);
        let settings = Host::settings(name, "za", &["za"], ip, store.address);
        let settings = settings.replace("\"bootstrap\":true", &format!("\"bootstrap\":{is_first_start}"));
        Host::start(name, ip, &settings, &folder.0, &root())
    };
    let (mut with_lost, mut with_kept) = (Vec::new(), Vec::new());
    let mut hosts = vec![start(0, "front-za-1", true), start(1, "front-za-2", true)];
    for host in &hosts {
        if !host.wait_ready() {
            return Err(format!("host {} does not get ready", host.name));
        }
    }
    sleep_ms(7_000);
    for host in &hosts {
        if file(host, "key-lost", &mut with_lost) != 200 {
            return Err("the key is not accepted before it is taken away".to_owned());
        }
    }
    let newest = config(9, "\"key-kept\"");
    let revision = store.put("op/config", &newest);
    let taken_at = unix_ms();
    record(&format!("the operator takes key-lost away (version 9), acknowledged at revision {revision}"));
    sleep_ms(4_300);
    for host in &hosts {
        file(host, "key-lost", &mut with_lost);
    }
    if has_trouble {
        record("drill: the store goes away, and will be back from a copy that is 5 s old");
        store.drill(Duration::from_millis(500), Duration::from_millis(5_000));
        record(&format!("drill: the store is back, at revision {}", store.revision()));
    } else {
        sleep_ms(500);
    }
    record("a machine is added: front-za-3");
    hosts.push(start(2, "front-za-3", false));
    let returned_at = unix_ms();
    // The operator writes again 1 s after the store's return.
    let mut has_written = false;
    while unix_ms() < returned_at + 3_000 {
        if !has_written && unix_ms() >= returned_at + 1_000 {
            has_written = true;
            if has_trouble {
                let revision = store.put("op/config", &newest);
                record(&format!("the operator writes version 9 again, revision {revision}"));
            }
        }
        for host in &hosts {
            file(host, "key-lost", &mut with_lost);
        }
        sleep_ms(100);
    }
    for host in &hosts {
        if file(host, "key-kept", &mut with_kept) != 200 {
            record(&format!("host {} does not accept the key that was kept", host.name));
        }
    }
    let mut is_broken = false;
    for arrival in server.arrivals.lock().expect("arrivals").iter() {
        let id = arrival.request.header("x-cassiafield-attempt-id").unwrap_or("-");
        let is_lost = with_lost.iter().any(|sent| sent == id);
        // Some milliseconds for the way from the client to the server.
        if is_lost && arrival.at_ms > taken_at + REVOKE_MS + 50 {
            record(&format!(
                "BROKEN: request {id} with key-lost ran {} ms after the key was taken away (revoke_ms {REVOKE_MS})",
                arrival.at_ms - taken_at
            ));
            is_broken = true;
        }
    }
    for host in &mut hosts {
        if !host.is_running() {
            return Err(format!("host {} ended by itself", host.name));
        }
    }
    Ok(is_broken)
}

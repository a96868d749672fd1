//! Another writer leaves an entry among those of the servers. No host can read the list of servers any more.

use super::{entry, root, PlainServer};
use crate::base::{record, request, sleep_ms, unix_ms, Answer, Folder, Host, Store};
use std::sync::atomic::Ordering;
use std::time::Duration;

const DRAIN_MS: u128 = 2_000;
const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"safe","service":"permits",
"timeout_ms":3000,"slo_ms":100,"attempts":2,"priority":1}],
"services":[{"name":"permits","health_path":"/healthz","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"ranch","api_keys":["key-1"]}]}"#;

fn look_up(host: &Host, number: u32) -> u16 {
    let id = format!("{:016x}", 0xa000_0000_u64 + u64::from(number));
    let headers = [
        ("Host", "desk.example"),
        ("Authorization", "Bearer key-1"),
        ("X-Cassiafield-Attempt-Id", id.as_str()),
        ("X-Cassiafield-Deadline-Ms", "3000"),
        ("Connection", "close"),
    ];
    record(&format!("client sends request {id} to host {}", host.name));
    match request(host.front(), "GET", "/lookup/tag", &headers, b"", Duration::from_secs(4)) {
        Answer::Response(found) => {
            let body = String::from_utf8_lossy(&found.body).into_owned();
            record(&format!("client got {} for {id}: {body}", found.status()));
            found.status()
        }
        Answer::Nothing(reason) => {
            record(&format!("client got nothing for {id}: {reason}"));
            0
        }
    }
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let folder = Folder::new();
    let store = Store::start();
    let born = unix_ms();
    let near = PlainServer::start("i-near");
    let far = PlainServer::start("i-far");
    store.put("op/config", CONFIG);
    store.put("servers/i-near", &entry("permits", near.address, "za", "ready", 0, born));
    store.put("servers/i-far", &entry("permits", far.address, "zb", "ready", 0, born));
    let mut hosts = Vec::new();
    for (number, name) in ["front-za-1", "front-za-2"].iter().enumerate() {
        let ip = Host::free_ip(number as u8);
        let settings = Host::settings(name, "za", &["za", "zb"], ip, store.address);
        hosts.push(Host::start(name, ip, &settings, &folder.0, &root()));
    }
    for host in &hosts {
        if !host.wait_ready() {
            return Err(format!("host {} does not get ready", host.name));
        }
    }
    sleep_ms(4_500);
    if has_trouble {
        // Bytes that can't be read, as long as a value may be.
        let bytes: Vec<u8> = (0..1_048_576_u32).map(|at| (at.wrapping_mul(2_654_435_761) >> 24) as u8).collect();
        let key = std::env::var("KEY").unwrap_or_else(|_| "servers/backup of i-near".to_owned());
        let revision = store.put_bytes(&key, &bytes);
        record(&format!("another writer leaves {key:?} with {} bytes, revision {revision}", bytes.len()));
    }
    sleep_ms(5_000);
    for (number, host) in hosts.iter().enumerate() {
        look_up(host, number as u32);
    }
    sleep_ms(300);
    near.is_leaving.store(true, Ordering::SeqCst);
    let text = entry("permits", near.address, "za", "draining", 0, born);
    let revision = store.put("servers/i-near", &text);
    let leaving_at = unix_ms();
    record(&format!("server i-near reports that it is draining: acknowledged at revision {revision}"));
    sleep_ms(2_700);
    for (number, host) in hosts.iter().enumerate() {
        look_up(host, 16 + number as u32);
    }
    sleep_ms(500);
    let mut late = 0;
    for arrival in near.arrivals.lock().expect("arrivals").iter() {
        if arrival.at_ms > leaving_at + DRAIN_MS {
            late += 1;
            let id = arrival.request.header("x-cassiafield-attempt-id").unwrap_or("-");
            record(&format!(
                "BROKEN: request {id} reached server {} {} ms after its draining was acknowledged (drain_ms {DRAIN_MS})",
                arrival.server,
                arrival.at_ms - leaving_at
            ));
        }
    }
    // A host that starts now never gets ready.
    let ip = Host::free_ip(7);
    let settings = Host::settings("front-za-3", "za", &["za", "zb"], ip, store.address);
    let new = Host::start("front-za-3", ip, &settings, &folder.0, &root());
    let is_ready = new.wait_ready();
    record(&format!("host front-za-3, started after that, is ready within 10 s: {is_ready}"));
    for host in &mut hosts {
        if !host.is_running() {
            return Err(format!("host {} ended by itself", host.name));
        }
    }
    Ok(late > 0)
}

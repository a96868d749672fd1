//! The platform's store comes back from a copy that is some seconds old; later a server reports that it
//! leaves, and a host that gets the list from another host goes on sending to it.

use super::{entry, root, PlainServer};
use crate::base::{record, request, sleep_ms, unix_ms, Answer, Folder, Host, Store};
use std::net::SocketAddrV4;
use std::sync::atomic::Ordering;
use std::time::Duration;

const DRAIN_MS: u128 = 2_000;
const SERVICE: &str = "permits";
const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"safe","service":"permits",
"timeout_ms":3000,"slo_ms":100,"attempts":2,"priority":1}],
"services":[{"name":"permits","health_path":"/healthz","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":10000},
"tenants":[{"name":"ranch","api_keys":["key-1"]}]}"#;

fn look_up(host: &Host, number: u32) -> Option<String> {
    let id = format!("{:016x}", 0xa000_0000_u64 + u64::from(number));
    let headers = [
        ("Host", "desk.example"),
        ("Authorization", "Bearer key-1"),
        ("X-Cassiafield-Attempt-Id", id.as_str()),
        ("X-Cassiafield-Deadline-Ms", "3000"),
        ("Connection", "close"),
    ];
    record(&format!("client sends request {id} to host {}", host.name));
    let address: SocketAddrV4 = host.front();
    match request(address, "GET", "/lookup/tag", &headers, b"", Duration::from_secs(4)) {
        Answer::Response(found) => {
            let body = String::from_utf8_lossy(&found.body).into_owned();
            record(&format!("client got {} for {id}: {body}", found.status()));
            (found.status() == 200).then_some(body)
        }
        Answer::Nothing(reason) => {
            record(&format!("client got nothing for {id}: {reason}"));
            None
        }
    }
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let folder = Folder::new();
    let store = Store::start();
    let born = unix_ms();
    // One server in the zone of the hosts, one in another zone.
    let near = PlainServer::start("i-near");
    let far = PlainServer::start("i-far");
    store.put("op/config", CONFIG);
    store.put("servers/i-near", &entry(SERVICE, near.address, "za", "ready", 0, born));
    store.put("servers/i-far", &entry(SERVICE, far.address, "zb", "ready", 0, born));
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
    for (number, host) in hosts.iter().enumerate() {
        look_up(host, number as u32);
    }
    // Two more servers start. Each reports every 1.2 s how much longer it is slow (`cold_left_ms`).
    let new: Vec<_> = ["i-new-1", "i-new-2"].iter().map(|id| PlainServer::start(id)).collect();
    let new_born = unix_ms();
    let mut revision = 0;
    for round in 0..4_u64 {
        for server in &new {
            let left = 3_600 - 1_200 * round;
            let text = entry(SERVICE, server.address, "zb", "ready", left, new_born);
            revision = store.put(&format!("servers/{}", server.id), &text);
        }
        record(&format!("the new servers report; the store is at revision {revision}"));
        sleep_ms(if round < 3 { 1_200 } else { 1_000 });
    }
    if has_trouble {
        record("drill: the store goes away, and will be back from a copy that is 5 s old");
        store.drill(Duration::from_millis(150), Duration::from_millis(5_000));
        record(&format!("drill: the store is back, at revision {}", store.revision()));
    }
    // What the operator and the servers wrote is written again.
    sleep_ms(300);
    if has_trouble {
        for server in &new {
            let text = entry(SERVICE, server.address, "zb", "ready", 0, new_born);
            let revision = store.put(&format!("servers/{}", server.id), &text);
            record(&format!("server {} writes its entry again, revision {revision}", server.id));
        }
    }
    // contact_ms is 3 s: the store is stable and the hosts are in touch again.
    sleep_ms(5_000);
    for (number, host) in hosts.iter().enumerate() {
        look_up(host, 16 + number as u32);
    }
    sleep_ms(300);
    let text = entry(SERVICE, near.address, "za", "draining", 0, born);
    near.is_leaving.store(true, Ordering::SeqCst);
    let revision = store.put("servers/i-near", &text);
    let leaving_at = unix_ms();
    record(&format!("server i-near reports that it is draining: acknowledged at revision {revision}"));
    // It serves for drain_ms and a little longer.
    sleep_ms(2_700);
    for (number, host) in hosts.iter().enumerate() {
        look_up(host, 32 + number as u32);
    }
    sleep_ms(500);
    let arrivals = near.arrivals.lock().expect("arrivals").clone();
    let late: Vec<_> =
        arrivals.iter().filter(|arrival| arrival.at_ms > leaving_at + DRAIN_MS).collect();
    for arrival in &late {
        let id = arrival.request.header("x-cassiafield-attempt-id").unwrap_or("-");
        record(&format!(
            "BROKEN: request {id} reached server {} {} ms after its draining was acknowledged (drain_ms {DRAIN_MS})",
            arrival.server,
            arrival.at_ms - leaving_at
        ));
    }
    for host in &mut hosts {
        if !host.is_running() {
            return Err(format!("host {} ended by itself", host.name));
        }
    }
    Ok(!late.is_empty())
}

//! A host is frozen while a server crashes in the middle of an answer without a length and starts again.
//! When the host wakes, it hands the part of the answer to the client as a whole one.

use super::{entry, root};
use crate::base::{
    read_message, record, remember, request, signal, sleep_ms, unix_ms, Answer, Folder, Host, Store,
};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

const CONFIG: &str = r#"{"version":3,
"routes":[{"name":"lookup","host":"desk.example","prefix":"/lookup/","kind":"safe","service":"permits",
"timeout_ms":15000,"slo_ms":2000,"attempts":2,"priority":1}],
"services":[{"name":"permits","health_path":"/healthz","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":5000,"idle_timeout_ms":10000},
"tenants":[{"name":"ranch","api_keys":["key-1"]}]}"#;
const LINES: usize = 12;

fn whole_answer() -> String {
    (1..=LINES).map(|line| format!("line {line} of {LINES}\n")).collect()
}

/// Serves as a process of its own: each answer has no length, takes 1.2 s and ends with its channel.
pub fn serve(port: u16, id: &str) {
    let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else { std::process::exit(2) };
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || answer(stream, &id));
    }
}

fn answer(mut stream: TcpStream, id: &str) {
    let Ok(Some(request)) = read_message(&mut stream, false) else { return };
    let attempt = request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
    record(&format!("server {id}, process {}, runs request {attempt}", std::process::id()));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Cassiafield-Attempt-Id: {attempt}\r\nX-Cassiafield-Server-Stamp: stamp-{attempt}\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    for line in whole_answer().lines() {
        if stream.write_all(format!("{line}\n").as_bytes()).is_err() {
            return;
        }
        sleep_ms(100);
    }
    record(&format!("server {id} has written the whole answer to {attempt}"));
}

fn spawn_server(port: u16, id: &str, start_ms: u128, record_path: &str) -> Child {
    let program = std::env::current_exe().expect("this program");
    let child = Command::new(program)
        .args(["server", record_path, &start_ms.to_string(), &port.to_string(), id, "unframed"])
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("a server");
    remember(child.id());
    record(&format!("server {id} started, process {}", child.id()));
    child
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").port()
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let record_path = std::env::args().nth(2).unwrap_or_default() + "/record.txt";
    let start_ms = unix_ms();
    let folder = Folder::new();
    let store = Store::start();
    let port = free_port();
    let address = format!("127.0.0.1:{port}").parse().expect("an address");
    store.put("op/config", CONFIG);
    let mut server = spawn_server(port, "i-1", start_ms, &record_path);
    store.put("servers/i-1", &entry("permits", address, "za", "ready", 0, unix_ms()));
    let ip = Host::free_ip(0);
    let settings = Host::settings("front-za-1", "za", &["za"], ip, store.address);
    let mut host = Host::start("front-za-1", ip, &settings, &folder.0, &root());
    if !host.wait_ready() {
        return Err("the host does not get ready".to_owned());
    }
    sleep_ms(3_500);
    let mut is_broken = false;
    for number in 0..2_u64 {
        let id = format!("{:016x}", 0xb000_0000_u64 + number);
        let front = host.front();
        let sent = id.clone();
        let client = thread::spawn(move || {
            let headers = [
                ("Host", "desk.example"),
                ("Authorization", "Bearer key-1"),
                ("X-Cassiafield-Attempt-Id", sent.as_str()),
                ("X-Cassiafield-Deadline-Ms", "15000"),
                ("Connection", "close"),
            ];
            record(&format!("client sends request {sent}"));
            request(front, "GET", "/lookup/herd", &headers, b"", Duration::from_secs(16))
        });
        // The first request shows how it is without a disruption.
        if number == 1 && has_trouble {
            sleep_ms(500);
            host.signal("STOP");
            sleep_ms(200);
            record("the server crashes");
            signal(server.id(), "KILL");
            let _ = server.wait();
            sleep_ms(2_000);
            server = spawn_server(port, "i-1", start_ms, &record_path);
            store.put("servers/i-1", &entry("permits", address, "za", "ready", 0, unix_ms()));
            sleep_ms(1_000);
            host.signal("CONT");
        }
        match client.join().map_err(|_| "the client failed")? {
            Answer::Response(found) => {
                let body = String::from_utf8_lossy(&found.body).into_owned();
                let lines = body.lines().count();
                let is_success = (200..300).contains(&found.status());
                record(&format!(
                    "client got {} for {id}, with {lines} of {LINES} lines; framing: {}, complete: {}",
                    found.status(),
                    found.header("content-length").map_or("chunks or none".to_owned(), |length| format!("length {length}")),
                    found.is_complete,
                ));
                if is_success && found.is_complete && body != whole_answer() {
                    record(&format!("BROKEN: {id} got a success whose body is not the server's whole body, and it looks complete"));
                    is_broken = true;
                }
                if number == 0 && body != whole_answer() {
                    return Err("the request without a disruption failed".to_owned());
                }
            }
            Answer::Nothing(reason) => record(&format!("client got no answer for {id}: {reason}")),
        }
    }
    let is_running = host.is_running();
    signal(server.id(), "KILL");
    let _ = server.wait();
    if !is_running {
        return Err("the host ended by itself".to_owned());
    }
    Ok(is_broken)
}

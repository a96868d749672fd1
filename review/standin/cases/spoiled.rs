//! A server hands out wrong bytes in the last event of a few streams. The host drops that event and ends the
//! stream as if it were complete.

use super::{entry, root};
use crate::base::{read_message, record, request, sleep_ms, unix_ms, Answer, Folder, Host, Store};
use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// One in so many answers of the server is spoiled (`garble`, x = 0.02, at one of two servers).
const SPOILED_ONE_IN: u64 = 50;
const EVENTS: u64 = 12;
const CLIENTS: u64 = 20;
const ROUNDS: u64 = 16;

const CONFIG: &str = r#"{"version":3,
"routes":[{"name":"advice","host":"garden.example","prefix":"/advice/","kind":"streaming","service":"models",
"timeout_ms":20000,"slo_ms":500,"attempts":2,"priority":1,"public":false,"affinity":true,"resumable":true,"gap_aim_ms":200}],
"services":[{"name":"models","health_path":"/healthz","max_conns":988,"engine":{"slots":192,"kv_capacity":100000,
"kv_token_bytes":918000,"link_mbps":400000.0,"stride":3,"models":[{"name":"m0","pace":1.0,"load_s":14.0,"warm_s":1.0}],
"step_ms":1.02,"per_seq_ms":0.00714,"context_per_k":0.00956,"read_per_s":105000.0,"pairs_per_m":0.309,"chunk":512,
"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":5,"delays":[],"usual":{"prompt":774,"answer":204},
"layers":8,"layer_mb":1750.0,"act_bytes":45900,"pipe_mbps":22000.0,
"kinds":[{"name":"l40s","mb":43200.0,"pace":5.6,"read_x":2.7}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"ranch","api_keys":["key-1"]}]}"#;

fn event(number: u64, attempt: &str) -> String {
    format!("id: {number}\ndata: piece {number} of {EVENTS} for {attempt}\n\n")
}

fn whole_answer(attempt: &str) -> String {
    (1..=EVENTS).map(|number| event(number, attempt)).collect()
}

/// A model server that holds all layers.
struct ModelServer {
    id: String,
    address: SocketAddrV4,
    spoils: AtomicBool,
    answers: AtomicU64,
    spoiled: Mutex<Vec<String>>,
}

impl ModelServer {
    fn start(id: &str) -> Result<Arc<ModelServer>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let Ok(std::net::SocketAddr::V4(address)) = listener.local_addr() else {
            return Err("no address".to_owned());
        };
        let server = Arc::new(ModelServer {
            id: id.to_owned(),
            address,
            spoils: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            spoiled: Mutex::default(),
        });
        let served = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&served);
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    fn entry(&self) -> String {
        let plain = entry("models", self.address, "za", "ready", 0, unix_ms());
        let layers = r#""slots":192,"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"kind":"l40s","layers":{"from":0,"target":8,"version":1}"#;
        plain.replace("\"slots\":6", layers)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Ok(Some(request)) = read_message(&mut stream, false) {
            let attempt = request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
            let expected = request.header("x-cassiafield-expect-instance").unwrap_or(&self.id);
            let done = match request.target() {
                _ if expected != self.id => {
                    write_whole(&mut stream, "421 Misdirected Request", "X-Cassiafield-Not-Executed: 1\r\n", "")
                }
                "/report" => {
                    let body = r#"{"stage":"both","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"active":0,"kv_used":0,"kv_total":800000,"handles":0,"kind":"l40s","pace":1.0,"layers":{"from":0,"target":8,"version":1}}"#;
                    write_whole(&mut stream, "200 OK", "Content-Type: application/json\r\n", body)
                }
                "/order" => write_whole(&mut stream, "409 Conflict", "", "{}"),
                _ => {
                    let last = request.header("last-event-id").and_then(|value| value.parse().ok());
                    self.answer(&mut stream, &attempt, last.unwrap_or(0))
                }
            };
            if done.is_err() {
                return;
            }
        }
    }

    /// Writes the events after `last`; the last two are flushed together.
    fn answer(&self, stream: &mut TcpStream, attempt: &str, last: u64) -> std::io::Result<()> {
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        let is_spoiled = self.spoils.load(Ordering::SeqCst) && number % SPOILED_ONE_IN == 0;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Cassiafield-Attempt-Id: {attempt}\r\nX-Cassiafield-Server-Stamp: stamp-{attempt}\r\nX-Cassiafield-Weight-Versions: 1\r\nKeep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for number in last + 1..=EVENTS {
            sleep_ms(20);
            let mut bytes = event(number, attempt).into_bytes();
            if number == EVENTS - 1 {
                continue;
            }
            if number == EVENTS {
                let mut both = if last < EVENTS - 1 { event(EVENTS - 1, attempt).into_bytes() } else { Vec::new() };
                if is_spoiled {
                    record(&format!("server {} hands out wrong bytes in event {number} of {attempt}", self.id));
                    self.spoiled.lock().expect("ids").push(attempt.to_owned());
                    for byte in &mut bytes[..2] {
                        *byte ^= 0x15;
                    }
                }
                both.extend_from_slice(&bytes);
                bytes = both;
            }
            stream.write_all(format!("{:x}\r\n", bytes.len()).as_bytes())?;
            bytes.extend_from_slice(b"\r\n");
            stream.write_all(&bytes)?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

fn write_whole(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(head.as_bytes())
}

pub fn run(has_trouble: bool) -> Result<bool, String> {
    let folder = Folder::new();
    let store = Store::start();
    store.put("op/config", CONFIG);
    let servers = [ModelServer::start("i-1")?, ModelServer::start("i-2")?];
    for server in &servers {
        store.put(&format!("servers/{}", server.id), &server.entry());
    }
    let ip = Host::free_ip(0);
    let settings = Host::settings("front-za-1", "za", &["za"], ip, store.address);
    let mut host = Host::start("front-za-1", ip, &settings, &folder.0, &root());
    if !host.wait_ready() {
        return Err("the host does not get ready".to_owned());
    }
    sleep_ms(3_500);
    servers[0].spoils.store(has_trouble, Ordering::SeqCst);
    let front = host.front();
    record(&format!("{CLIENTS} clients ask for {ROUNDS} streams each, of {EVENTS} events"));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::spawn(move || {
                let mut seen = Vec::new();
                for round in 0..ROUNDS {
                    let id = format!("{:016x}", 0x1_0000_0000_u64 + number * 100 + round);
                    let prefix = format!("5c1e07a2:40,{:x}:700", 0x2000_0000 + number * 100 + round);
                    let headers = [
                        ("Host", "garden.example"),
                        ("Authorization", "Bearer key-1"),
                        ("X-Cassiafield-Attempt-Id", id.as_str()),
                        ("X-Cassiafield-Model", "m0"),
                        ("X-Cassiafield-Token-Counts", "740,36"),
                        ("X-Cassiafield-Prompt-Prefix", prefix.as_str()),
                        ("X-Cassiafield-Deadline-Ms", "20000"),
                        ("Connection", "close"),
                    ];
                    let answer = request(front, "POST", "/advice/soil", &headers, b"when do I feed the lawn?", Duration::from_secs(21));
                    seen.push((id, answer));
                }
                seen
            })
        })
        .collect();
    let (mut whole, mut is_broken, mut others) = (0, false, 0);
    let mut all = Vec::new();
    for client in clients {
        all.extend(client.join().map_err(|_| "a client failed")?);
    }
    let spoiled = servers[0].spoiled.lock().expect("ids").clone();
    for (id, answer) in all {
        let Answer::Response(found) = answer else {
            others += 1;
            record(&format!("client got no answer for {id}"));
            continue;
        };
        let body = String::from_utf8_lossy(&found.body).into_owned();
        if found.status() == 200 && body == whole_answer(&id) {
            whole += 1;
            continue;
        }
        others += 1;
        let events = body.matches("\n\n").count();
        record(&format!(
            "client got {} for {id}: {events} of {EVENTS} events, ended as complete: {}, spoiled by the server: {}",
            found.status(),
            found.is_complete,
            spoiled.contains(&id)
        ));
        if found.status() == 200 && found.is_complete {
            record(&format!("BROKEN: the stream {id} ended as complete, and a piece is missing"));
            is_broken = true;
        }
    }
    record(&format!(
        "{whole} streams whole, {others} others; server i-1 spoiled {} of {} answers",
        spoiled.len(),
        servers[0].answers.load(Ordering::SeqCst)
    ));
    if !host.is_running() || whole < CLIENTS * ROUNDS * 9 / 10 {
        return Err("too few streams were answered".to_owned());
    }
    if has_trouble && spoiled.is_empty() {
        return Err("no answer was spoiled".to_owned());
    }
    Ok(is_broken)
}

//! A server of a plain service, as a process of its own: `standin server IP:PORT ID`.
//!
//! The last part of a path says what a request does: `half` is answered in two parts and without a length,
//! `crash` ends the server, `limited` is
//! answered at once with the rate that a server in need takes, `workN` takes N milliseconds; everything else is answered at once.

use {
    crate::http::{Message, Wire},
    std::{net::TcpListener, process, thread, time::Duration},
};

/// Time between the two parts of an answer without a length.
pub const HALF_TIME: Duration = Duration::from_millis(1_000);

/// Requests a second that a server in need takes from all hosts together.
pub const NAMED_LIMIT: f64 = 20.0;

/// Returns the whole answer to the request with an attempt id.
pub fn whole_answer(attempt: &str) -> String {
    format!("{{\"permit\":\"{attempt}\",\"lines\":[\"{}\"],\"end\":true}}", "x".repeat(760))
}

pub fn run(address: &str, id: &str) -> ! {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| {
        println!("failed {error}");
        process::exit(3)
    });
    println!("listening");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || serve(Wire::new(stream), &id));
    }
    process::exit(0)
}

fn serve(mut wire: Wire, id: &str) {
    while let Ok(Some(mut message)) = wire.read_head() {
        if !wire.read_body(&mut message, false) {
            return;
        }
        if !answer(&mut wire, &message, id) {
            return;
        }
    }
}

/// Answers a request; returns `false` if its channel ends with the answer.
fn answer(wire: &mut Wire, message: &Message, id: &str) -> bool {
    if message.path() == "/healthz" {
        return respond(wire, 200, &format!("X-Cassiafield-Instance-Id: {id}\r\n"), "ok");
    }
    let attempt = message.header("x-cassiafield-attempt-id").unwrap_or("").to_owned();
    let echo = format!("X-Cassiafield-Attempt-Id: {attempt}\r\n");
    if message.header("x-cassiafield-expect-instance").is_some_and(|expected| expected != id) {
        let head = format!("{echo}X-Cassiafield-Instance-Id: {id}\r\n");
        return respond(wire, 421, &head, "");
    }
    let work = message.path().rsplit('/').next().unwrap_or("").to_owned();
    println!(
        "run {attempt} {} tenant={} authorization={}",
        message.path(),
        message.header("x-cassiafield-tenant").unwrap_or("-"),
        message.header("authorization").unwrap_or("-").replace(' ', "_"),
    );
    let head = format!("{echo}X-Cassiafield-Server-Stamp: {id}.5a2.{attempt}\r\n");
    let body = whole_answer(&attempt);
    match work.as_str() {
        "crash" => process::exit(1),
        "half" => {
            let (first, second) = body.split_at(body.len() / 2);
            let start = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n{head}\r\n{first}"
            );
            if wire.write(start.as_bytes()).is_err() {
                return false;
            }
            println!("first-half {attempt}");
            thread::sleep(HALF_TIME);
            wire.write(second.as_bytes()).ok();
            println!("second-half {attempt}");
            false
        }
        "limited" => {
            let head = format!("{head}Server-Limit: {NAMED_LIMIT}\r\n");
            respond(wire, 200, &head, &body)
        }
        work => {
            let millis = work.strip_prefix("work").and_then(|text| text.parse().ok()).unwrap_or(5);
            thread::sleep(Duration::from_millis(millis));
            respond(wire, 200, &head, &body)
        }
    }
}

fn respond(wire: &mut Wire, status: u16, head: &str, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nKeep-Alive: timeout=30\r\n{head}\r\n{body}",
        body.len()
    );
    wire.write(text.as_bytes()).is_ok()
}

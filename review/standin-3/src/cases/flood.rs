//! A server in trouble sends interim answers without end.

use {
    crate::{
        http::{exchange, response, Call},
        play::{answer_headers, register, Play},
        world::{configuration, plain_service, serve, start_one, start_store, Route},
    },
    std::{
        io,
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Bytes a second on one connection: 24 Mbit/s; a machine's link has 1,000 Mbit/s.
const RATE: f64 = 3e6;
/// Number of clients; three in four call the service with the faulty server.
const CLIENTS: u64 = 48;
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the route's timeout within which half of the open requests need an answer.
const GRACE: Duration = Duration::from_millis(500);

/// Returns interim answers with many short fields.
fn interim_answers() -> Vec<u8> {
    let mut head = String::from("HTTP/1.1 103 Early Hints\r\n");
    for number in 0..90_u8 {
        let letter = |index: u8| char::from(b'a' + index % 26);
        head.push(letter(number));
        if number >= 26 {
            head.push(letter(number / 26));
        }
        head.push_str(":\r\n");
    }
    head.push_str("\r\n");
    head.repeat(20).into_bytes()
}

pub fn run(play: &Play) -> io::Result<bool> {
    let route = |prefix, service| Route {
        prefix,
        kind: "unsafe",
        service,
        timeout_ms: TIMEOUT.as_millis() as u32,
        attempts: 1,
        more: "",
    };
    let services = [plain_service("desk"), plain_service("sound")].join(",");
    let routes = [route("/desk/", "desk"), route("/sound/", "sound")];
    let (store, store_address) = start_store(play, &configuration(7, &routes, &services, ""))?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    let flooded = Arc::new(AtomicU64::new(0));
    for (number, service) in [(1_u8, "desk"), (2, "desk"), (3, "sound")] {
        let (is_faulty, flooded) = (Arc::clone(&is_faulty), Arc::clone(&flooded));
        let record = Arc::clone(&play.record);
        let address = play.address(10 + number);
        serve(
            address,
            Arc::new(move |request, channel| {
                let id = request.header("x-cassiafield-attempt-id").unwrap_or("-");
                if number != 1 || !is_faulty.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(15));
                    let answer = response(200, "OK", &answer_headers(request, "s"), b"done");
                    return channel.write(&answer).is_ok();
                }
                record.log(format!("server {number} answers {id} without end"));
                let (block, started_at) = (interim_answers(), Instant::now());
                let mut sent = 0_u64;
                while channel.write(&block).is_ok() {
                    flooded.fetch_add(block.len() as u64, Ordering::Relaxed);
                    sent += block.len() as u64;
                    let due = Duration::from_secs_f64(sent as f64 / RATE);
                    thread::sleep(due.saturating_sub(started_at.elapsed()));
                }
                record.log(format!("server {number}: the caller of {id} has closed"));
                false
            }),
        )?;
        register(&store, &format!("i-{number}"), service, address, "");
    }
    let host = start_one(play, store_address)?;
    thread::sleep(Duration::from_secs(4));
    is_faulty.store(play.has_trouble, Ordering::Relaxed);
    let started_at = Instant::now();
    let times = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, front) = (Arc::clone(&play.record), host.plan.front);
        let ids: Vec<String> = (0..20).map(|_| play.request_id()).collect();
        let times = Arc::clone(&times);
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(client * 20));
            let service = if client % 4 != 0 { "desk" } else { "sound" };
            for id in ids {
                let call = Call {
                    method: "POST",
                    host: "a.example".to_owned(),
                    path: format!("/{service}/x"),
                    headers: vec![
                        ("X-Cassiafield-Attempt-Id".to_owned(), id.clone()),
                        ("X-Cassiafield-Deadline-Ms".to_owned(), "10000".to_owned()),
                    ],
                    body: b"hello".to_vec(),
                };
                let (answer, time) = exchange(front, &call, Duration::from_secs(10));
                let text = match &answer {
                    Ok(answer) => answer.status().to_string(),
                    Err(error) => error.to_string(),
                };
                record.log(format!("{service} {id}: {text} after {} ms", time.as_millis()));
                times.lock().unwrap().push(time);
                if started_at.elapsed() > Duration::from_secs(6) {
                    return;
                }
                thread::sleep(Duration::from_millis(300));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let times = times.lock().unwrap();
    let open = times.iter().filter(|time| **time > TIMEOUT).count();
    let late = times.iter().filter(|time| **time > TIMEOUT + GRACE).count();
    play.record.log(format!(
        "{open} of {} requests had no answer at the route's timeout_ms, {late} none half a second \
         later; {} MB of interim answers",
        times.len(),
        flooded.load(Ordering::Relaxed) / 1_000_000
    ));
    Ok(2 * late <= open)
}

//! A faulty server sends bytes after complete answers, at the point where the next one is expected.

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

/// Of a faulty server's answers, one in this many is followed by wrong bytes.
const ONE_IN: u64 = 34;
const SERVERS: u8 = 5;
/// Of these, the first ones are faulty.
const FAULTY: u8 = 3;
/// Time for which they are faulty.
const TROUBLE: Duration = Duration::from_secs(5);
const CLIENTS: u32 = 8;
/// The bytes after an answer; they bear no id and no stamp.
const EXTRA: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";

pub fn run(play: &Play) -> io::Result<bool> {
    let route = Route {
        prefix: "/desk/",
        kind: "unsafe",
        service: "desk",
        timeout_ms: 3_000,
        attempts: 1,
        more: "",
    };
    let text = configuration(7, &[route], &plain_service("desk"), "");
    let (store, store_address) = start_store(play, &text)?;
    let is_faulty = Arc::new(AtomicBool::new(false));
    for number in 1..=SERVERS {
        let address = play.address(10 + number);
        let (record, is_faulty) = (Arc::clone(&play.record), Arc::clone(&is_faulty));
        let answers = AtomicU64::new(0);
        // Channels whose last answer is to be followed by wrong bytes.
        let marked = Mutex::new(Vec::new());
        serve(
            address,
            Arc::new(move |request, channel| {
                let id = request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
                let peer = channel.stream.peer_addr().ok();
                let is_marked = {
                    let mut marked = marked.lock().unwrap();
                    let index = marked.iter().position(|found| *found == peer);
                    index.map(|index| marked.swap_remove(index)).is_some()
                };
                if is_marked {
                    record.log(format!("server {number}: bytes of no request come before {id}"));
                    if channel.write(EXTRA).is_err() {
                        return false;
                    }
                }
                thread::sleep(Duration::from_millis(15));
                record.log(format!("server {number} has run {id}"));
                let count = answers.fetch_add(1, Ordering::Relaxed) + 1;
                let is_due = number <= FAULTY && count % ONE_IN == 0;
                if is_due && is_faulty.load(Ordering::Relaxed) {
                    marked.lock().unwrap().push(peer);
                }
                channel.write(&response(200, "OK", &answer_headers(request, "s"), b"done")).is_ok()
            }),
        )?;
        register(&store, &format!("i-{number}"), "desk", address, "");
    }
    let host = start_one(play, store_address)?;
    thread::sleep(Duration::from_secs(2));
    is_faulty.store(play.has_trouble, Ordering::Relaxed);
    let until = Instant::now() + TROUBLE;
    let wrong = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (record, front) = (Arc::clone(&play.record), host.plan.front);
        let ids: Vec<String> = (0..1_000).map(|_| play.request_id()).collect();
        let wrong = Arc::clone(&wrong);
        clients.push(thread::spawn(move || {
            for id in ids {
                if Instant::now() >= until {
                    return;
                }
                let call = Call {
                    method: "POST",
                    host: "a.example".to_owned(),
                    path: "/desk/x".to_owned(),
                    headers: vec![
                        ("X-Cassiafield-Attempt-Id".to_owned(), id.clone()),
                        ("X-Cassiafield-Deadline-Ms".to_owned(), "3000".to_owned()),
                    ],
                    body: b"hello".to_vec(),
                };
                let (answer, _) = exchange(front, &call, Duration::from_secs(4));
                match answer {
                    Ok(answer) => {
                        let stamp = answer.header("x-cassiafield-server-stamp");
                        let is_wrong = (200..300).contains(&answer.status())
                            && (stamp.is_none() || answer.text() != "done");
                        wrong.fetch_add(u64::from(is_wrong), Ordering::Relaxed);
                        record.log(format!(
                            "client gets {} for {id}: stamp {stamp:?}, body {:?}",
                            answer.status(),
                            answer.text()
                        ));
                    }
                    Err(error) => record.log(format!("client gets {error} for {id}")),
                }
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let wrong = wrong.load(Ordering::Relaxed);
    play.record.log(format!("{wrong} clients got a success without a stamp or with another body"));
    Ok(wrong == 0)
}

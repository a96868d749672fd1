//! A stream whose events are numbered from 0 breaks after its first event.

use {
    crate::{
        http::{exchange, response, Call},
        play::{answer_headers, register, Play},
        world::{
            configuration, model_service, serve, start_one, start_store, Route, MODEL_ENTRY, REPORT,
        },
    },
    std::{
        io,
        sync::{
            atomic::{AtomicU32, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
};

/// Number of model servers; one of them crashes.
const SERVERS: u8 = 7;

pub fn run(play: &Play) -> io::Result<bool> {
    let route = Route {
        prefix: "/llm/",
        kind: "streaming",
        service: "llm",
        timeout_ms: 20_000,
        attempts: 2,
        more: ",\"resumable\":true,\"affinity\":true,\"gap_aim_ms\":200",
    };
    let text = configuration(7, &[route], &model_service("llm"), "");
    let (store, store_address) = start_store(play, &text)?;
    let runs = Arc::new(AtomicU32::new(0));
    for number in 1..=SERVERS {
        let address = play.address(10 + number);
        let (record, runs, has_trouble) =
            (Arc::clone(&play.record), Arc::clone(&runs), play.has_trouble);
        serve(
            address,
            Arc::new(move |request, channel| {
                if request.target() == "/report" {
                    let headers = [("Content-Type", "application/json")];
                    return channel
                        .write(&response(200, "OK", &headers, REPORT.as_bytes()))
                        .is_ok();
                }
                let id = request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
                let last = request.header("last-event-id").map(str::to_owned);
                record.log(format!("server {number} runs {id} after {last:?}"));
                let is_first = runs.fetch_add(1, Ordering::Relaxed) == 0;
                let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                                Transfer-Encoding: chunked\r\n"
                    .to_owned();
                for (name, value) in answer_headers(request, "s") {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                if channel.write(head.as_bytes()).is_err() {
                    return false;
                }
                let start =
                    last.and_then(|last| last.parse::<u32>().ok()).map_or(0, |last| last + 1);
                for event in start..10 {
                    let text = format!("id: {event}\ndata: piece {event}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    if channel.write(chunk.as_bytes()).is_err() {
                        return false;
                    }
                    thread::sleep(Duration::from_millis(60));
                    if is_first && has_trouble {
                        record.log(format!("server {number} breaks {id} off after event {event}"));
                        let _ = channel.stream.shutdown(std::net::Shutdown::Both);
                        return false;
                    }
                }
                channel.write(b"0\r\n\r\n").is_ok()
            }),
        )?;
        register(&store, &format!("i-{number}"), "llm", address, MODEL_ENTRY);
    }
    let host = start_one(play, store_address)?;
    thread::sleep(Duration::from_secs(3));
    let id = play.request_id();
    let call = Call {
        method: "POST",
        host: "a.example".to_owned(),
        path: "/llm/x".to_owned(),
        headers: vec![
            ("X-Cassiafield-Attempt-Id".to_owned(), id.clone()),
            ("X-Cassiafield-Deadline-Ms".to_owned(), "20000".to_owned()),
            ("X-Cassiafield-Model".to_owned(), "m".to_owned()),
            ("X-Cassiafield-Token-Counts".to_owned(), "100,30".to_owned()),
            ("X-Cassiafield-Prompt-Prefix".to_owned(), "5c1e07a2:40,91bd3f06:60".to_owned()),
        ],
        body: b"hello".to_vec(),
    };
    let (answer, _) = exchange(host.plan.front, &call, Duration::from_secs(10));
    let answer = answer?;
    let text = answer.text();
    play.record.log(format!(
        "client gets {} complete {}: {text:?}",
        answer.status(),
        answer.is_complete
    ));
    let ids: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
    let expected: Vec<String> = (0..10).map(|event| event.to_string()).collect();
    Ok(ids == expected)
}

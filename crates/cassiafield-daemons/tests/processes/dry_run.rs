//! `cassiafield-ctl dry-run` against a host that answers as the gateway does.

use {
    cassiafield::process::{DryRunOutcome, DryRunReport, EndpointView, PathReport, StageReport},
    cassiafield_daemons::control::{ControlError, ControlProgram},
    std::{
        io::{Read as _, Write as _},
        net::TcpListener,
        thread,
    },
};

fn report() -> DryRunReport {
    let endpoint = "i-1";
    DryRunReport {
        host: "host-1".parse().expect("a name"),
        zone: "z1".parse().expect("a name"),
        route: "chat".into(),
        service: "model".parse().expect("a name"),
        organisation: None,
        outcome: DryRunOutcome::Wait,
        reason: Some("no path has room beyond layer 4".into()),
        wait_ms: Some(250),
        return_ms: None,
        paths: vec![PathReport {
            total_ms: 300.0,
            first_ms: 100.0,
            token_ms: 1.0,
            held_tokens: 800,
            stages: vec![StageReport {
                endpoint: endpoint.parse().expect("a name"),
                layers: "0..8".into(),
                terms_ms: vec![("decode".into(), 0.8)],
            }],
        }],
        prefix: None,
        endpoints: vec![EndpointView {
            endpoint: endpoint.parse().expect("a name"),
            zone: "z1".parse().expect("a name"),
            standing: "paused".into(),
            until_ms: Some(40),
            load: "".into(),
        }],
        state: vec![("running".into(), "3".into())],
    }
}

/// Answers one request with `status` and `body`; returns the request's first line at the end.
fn run(status: u16, body: Vec<u8>, arguments: &[&str]) -> (Result<String, ControlError>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 4_096];
        let length = stream.read(&mut head).expect("a request");
        let head = String::from_utf8_lossy(&head[..length]).into_owned();
        let length = body.len();
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(answer.as_bytes()).expect("written");
        stream.write_all(&body).expect("written");
        head.lines().next().unwrap_or_default().to_owned()
    });
    let arguments = ["dry-run", "--at", &address].into_iter().chain(arguments.iter().copied());
    let arguments: Vec<String> = arguments.map(str::to_owned).collect();
    let result = ControlProgram::new().run(&arguments);
    (result, server.join().expect("the server ends"))
}

#[test]
fn the_answer_is_printed_as_text_or_as_the_host_sent_it() {
    let fields = ["host=h.example", "path=/v1/chat", "tokens=820,200"];
    let (text, line) = run(200, report().to_json(), &fields);
    assert!(line.starts_with("GET /dry-run?host=h.example&path="), "{line}");
    let expected = "\
host host-1 zone z1: route chat, service model: wait: no path has room beyond layer 4; up to 250 ms
chosen: 300.0 ms in all, first 100.0 ms, token 1.00 ms, 800 tokens held
  i-1 0..8 decode 0.80
endpoints:
  i-1 z1 paused for 40 ms
decided by:
  running: 3
";
    assert_eq!(text.expect("a report"), expected);
    let (json, _) = run(200, report().to_json(), &["--json"]);
    let json = json.expect("a report");
    assert_eq!(DryRunReport::from_json(json.as_bytes()).expect("JSON"), report());
}

#[test]
fn a_refused_dry_run_ends_with_the_code_of_its_cause() {
    let (error, _) = run(400, b"tokens: expected PROMPT,OUTPUT\n".to_vec(), &["tokens=x"]);
    let error = error.expect_err("bad input");
    assert_eq!(error.exit_code(), 2);
    assert!(error.to_string().contains("tokens: expected"), "{error}");
    let (error, _) = run(403, b"on the host itself only\n".to_vec(), &["host=h"]);
    assert_eq!(error.expect_err("no access").exit_code(), 3);
    let arguments = ["dry-run", "host"].map(str::to_owned);
    assert_eq!(ControlProgram::new().run(&arguments).expect_err("no address").exit_code(), 2);
}

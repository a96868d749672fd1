//! Callers that are silent, slow, half-done or gone harm nobody else.

use {
    crate::support::{complete, fleet_spec, start},
    cassiafield_standin::{FleetSpec, LocalFleet, ToyModel},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const PATIENCE: Duration = Duration::from_secs(30);

fn open(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Tokens of an answer that takes longer than the test's patience.
const LONG_ANSWER: u32 = 3_000;

/// Returns a prompt whose answer does not end early.
fn long_prompt() -> String {
    let model = ToyModel::new(16);
    let prompts = (0..).map(|number| format!("long {number}"));
    let mut long =
        prompts.filter(|prompt| model.generate(prompt, LONG_ANSWER).len() == LONG_ANSWER as usize);
    long.next().unwrap()
}

fn running(fleet: &LocalFleet) -> u32 {
    fleet.engines().iter().map(cassiafield_standin::EngineStandin::running_streams).sum()
}

#[test]
fn silent_and_half_sent_requests_do_not_stop_others() {
    let (fleet, address) = start(&fleet_spec());
    let mut held: Vec<TcpStream> = (0..40).map(|_| open(address, b"")).collect();
    held.extend(
        (0..40).map(|_| open(address, b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuth")),
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Content-Length: 1000\r\n\r\n{{\"model\"",
        FleetSpec::DEMO_API_KEY
    );
    held.extend((0..40).map(|_| open(address, head.as_bytes())));
    for request in 0..10 {
        assert_eq!(complete(address, &format!("served {request}"), 3).status, 200);
    }
    drop(held);
    fleet.close();
}

#[test]
fn a_caller_that_hangs_up_frees_the_engine() {
    let mut spec = fleet_spec();
    spec.token_time = Duration::from_millis(10);
    spec.limits.max_tokens = LONG_ANSWER;
    let (fleet, address) = start(&spec);
    let prompt = long_prompt();
    let body = format!(
        r#"{{"model":"demo-model","prompt":"{prompt}","max_tokens":{LONG_ANSWER},"stream":true}}"#
    );
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        FleetSpec::DEMO_API_KEY,
        body.len()
    );
    let mut stream = open(address, request.as_bytes());
    let mut first = [0; 256];
    assert!(stream.read(&mut first).unwrap() > 0);
    assert_eq!(running(&fleet), 1);
    drop(stream);
    let deadline = Instant::now() + PATIENCE;
    while running(&fleet) > 0 {
        assert!(Instant::now() < deadline, "the stream still runs");
        thread::sleep(Duration::from_millis(20));
    }
    fleet.close();
}

//! Requests that stall or are aborted neither block other callers nor hold engine slots.

use {
    crate::support::{complete, fleet_spec, start_fleet},
    cassiafield_standin::{FleetSpec, LocalFleet, ToyModel},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);

fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Length of a completion that takes longer than `TIMEOUT`, so that only its cancellation frees
/// the engine in time.
const LONG_TOKENS: u32 = 3_000;

/// Returns a prompt whose completion reaches `LONG_TOKENS`.
fn long_prompt() -> String {
    let model = ToyModel::new(16);
    let prompts = (0..).map(|number| format!("long {number}"));
    let mut long_prompts =
        prompts.filter(|prompt| model.generate(prompt, LONG_TOKENS).len() == LONG_TOKENS as usize);
    long_prompts.next().unwrap()
}

fn running_streams(fleet: &LocalFleet) -> u32 {
    fleet.engines().iter().map(cassiafield_standin::EngineStandin::running_streams).sum()
}

#[test]
fn idle_and_partial_requests_do_not_block_other_callers() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let mut connections: Vec<TcpStream> = (0..40).map(|_| connect(address, b"")).collect();
    connections.extend(
        (0..40).map(|_| connect(address, b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuth")),
    );
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Content-Length: 1000\r\n\r\n{{\"model\"",
        FleetSpec::DEMO_API_KEY
    );
    connections.extend((0..40).map(|_| connect(address, head.as_bytes())));
    for request in 0..10 {
        assert_eq!(complete(address, &format!("served {request}"), 3).status, 200);
    }
    drop(connections);
    fleet.close();
}

#[test]
fn a_disconnected_caller_frees_its_engine_slot() {
    let mut spec = fleet_spec();
    spec.token_time = Duration::from_millis(10);
    spec.limits.max_tokens = LONG_TOKENS;
    let (fleet, address) = start_fleet(&spec);
    let prompt = long_prompt();
    let body = format!(
        r#"{{"model":"demo-model","prompt":"{prompt}","max_tokens":{LONG_TOKENS},"stream":true}}"#
    );
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        FleetSpec::DEMO_API_KEY,
        body.len()
    );
    let mut stream = connect(address, request.as_bytes());
    let mut first = [0; 256];
    assert!(stream.read(&mut first).unwrap() > 0);
    assert_eq!(running_streams(&fleet), 1);
    drop(stream);
    let deadline = Instant::now() + TIMEOUT;
    while running_streams(&fleet) > 0 {
        assert!(Instant::now() < deadline, "the stream is still running");
        thread::sleep(Duration::from_millis(20));
    }
    fleet.close();
}

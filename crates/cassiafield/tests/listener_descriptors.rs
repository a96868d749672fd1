//! A listener serves again after the descriptors were used up.

use {
    cassiafield::connection::{HttpListener, ListenerLimits},
    std::{
        io::{Read as _, Write as _},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        time::{Duration, Instant},
    },
    tiny_http::{Request, Response},
};

const PATIENCE: Duration = Duration::from_secs(30);

fn get(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    stream.write_all(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// Limits of descriptors; which call of the library fails first depends on their number.
const LIMITS: std::ops::Range<u64> = 60..66;

/// Opens connections until there are no descriptors left, holds them a little and lets go.
fn use_up_descriptors(address: SocketAddr, limit: u64) {
    let (_, hard) = rlimit::Resource::NOFILE.get().unwrap();
    rlimit::Resource::NOFILE.set(limit, hard).unwrap();
    let mut silent = Vec::new();
    while let Ok(stream) = TcpStream::connect(address) {
        silent.push(stream);
        if silent.len() as u64 > limit {
            break;
        }
    }
    assert!(get(address).is_err(), "descriptors were not used up");
    std::thread::sleep(Duration::from_millis(300));
    drop(silent);
}

#[test]
fn a_listener_serves_again_after_descriptors_were_used_up() {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let handler = Arc::new(|request: Request| {
        let _ = request.respond(Response::from_string("served"));
    });
    let listener = HttpListener::open(socket, ListenerLimits { max_requests: 8 }, handler).unwrap();
    let address = listener.address().unwrap();
    assert!(get(address).unwrap().contains("served"));

    for limit in LIMITS {
        use_up_descriptors(address, limit);
        let deadline = Instant::now() + PATIENCE;
        while !get(address).is_ok_and(|text| text.contains("served")) {
            assert!(Instant::now() < deadline, "the listener stays deaf after {limit} descriptors");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
    let _ = listener.close(Duration::ZERO);
}

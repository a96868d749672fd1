//! The cases.

pub mod bodies;
pub mod drill;
pub mod flood;
pub mod revoked;
pub mod spoiled;

use crate::base::{read_message, record, unix_ms, Message};
use std::io::Write;
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The root of the repository: the folder in which the scripts run.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("a working folder")
}

/// A request as a server got it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u128,
    pub server: String,
    pub request: Message,
}

/// A sound server of a plain service, in this process.
pub struct PlainServer {
    pub id: String,
    pub address: SocketAddrV4,
    pub is_leaving: AtomicBool,
    /// Time that each request takes.
    pub work_ms: u64,
    pub arrivals: Mutex<Vec<Arrival>>,
}

impl PlainServer {
    pub fn start(id: &str) -> Arc<PlainServer> {
        Self::start_with(id, 0)
    }

    /// Starts a server at which each request takes `work_ms`.
    pub fn start_with(id: &str, work_ms: u64) -> Arc<PlainServer> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let std::net::SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
            unreachable!()
        };
        let server = Arc::new(PlainServer {
            id: id.to_owned(),
            address,
            is_leaving: AtomicBool::new(false),
            work_ms,
            arrivals: Mutex::default(),
        });
        let served = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&served);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(std::time::Duration::from_secs(5)));
        while let Ok(Some(request)) = read_message(&mut stream, false) {
            let id = request.header("x-cassiafield-attempt-id").unwrap_or("-").to_owned();
            let expected = request.header("x-cassiafield-expect-instance").map(str::to_owned);
            let is_other = expected.is_some_and(|expected| expected != self.id);
            let (status, not_run) = if is_other { (421, true) } else { (200, false) };
            if !is_other {
                let arrival = Arrival {
                    at_ms: unix_ms(),
                    server: self.id.clone(),
                    request: request.clone(),
                };
                self.arrivals.lock().expect("arrivals").push(arrival);
                record(&format!("server {} runs request {id}: {}", self.id, request.first_line));
                crate::base::sleep_ms(self.work_ms);
            }
            let body = format!("answer to {id} by {}", self.id);
            let is_leaving = self.is_leaving.load(Ordering::SeqCst);
            let mut head = format!(
                "HTTP/1.1 {status} X\r\nX-Cassiafield-Attempt-Id: {id}\r\nX-Cassiafield-Server-Stamp: stamp-{id}\r\n"
            );
            if not_run {
                head += "X-Cassiafield-Not-Executed: 1\r\n";
            }
            if is_leaving {
                head += "Server-Leaving: 1\r\nConnection: close\r\n";
            } else {
                head += "Keep-Alive: timeout=5\r\n";
            }
            head += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(head.as_bytes()).is_err() || is_leaving {
                return;
            }
        }
    }
}

/// Returns a server's entry in the store.
pub fn entry(service: &str, address: SocketAddrV4, zone: &str, state: &str, cold_left_ms: u64, born: u128) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"1","slots":6,"state":"{state}","cold_left_ms":{cold_left_ms},"seq":0,"born":{born}}}"#
    )
}

//! Signals at the start of a host, and requests that arrive late in its stop.

use {
    crate::fleet::{ChildProcess, ProcessFleet, ProcessFleetSpec, API_KEY},
    cassiafield_standin::RelayMode,
    std::{
        fs,
        io::{Read as _, Write as _},
        net::TcpStream,
        process::{Command, Stdio},
        thread,
        time::Duration,
    },
};

const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// A caller that sends the bytes of its requests itself.
struct RawCaller(TcpStream);

impl RawCaller {
    fn connect(entry: &ChildProcess) -> Self {
        let stream = TcpStream::connect(entry.address()).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        Self(stream)
    }

    fn head() -> String {
        format!("GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n\r\n")
    }

    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Reads one response and returns its status; 0 if it is not complete.
    fn read_status(&mut self) -> u16 {
        let mut text = String::new();
        let mut buffer = [0; 4_096];
        while !is_complete(&text) {
            match self.0.read(&mut buffer) {
                Ok(count) if count > 0 => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
                _ => return 0,
            }
        }
        text.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return false };
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut lengths = fields.filter(|(name, _)| name.eq_ignore_ascii_case("Content-Length"));
    body.len() >= lengths.next().unwrap().1.parse().unwrap()
}

/// Guards against a signal that ends the process because its handler is not installed yet. The
/// settings come from a named pipe, so the process waits for them.
#[test]
fn signals_before_the_settings_are_read_are_handled() {
    for signal in ["TERM", "INT"] {
        let name = format!("cassiafield-{:016x}.ini", fastrand::u64(..));
        let path = std::env::temp_dir().join(name);
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let mut child = Command::new(env!("CARGO_BIN_EXE_cassiafield-entry"))
            .args(["--settings", path.to_str().unwrap()])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        // Opening the pipe blocks until the process has opened it too.
        let mut pipe = fs::OpenOptions::new().write(true).open(&path).unwrap();
        let pid = child.id().to_string();
        assert!(Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status()
            .unwrap()
            .success());
        let settings = "[host]\nid = entry-0\nzone = zone-0\nlisten = 127.0.0.1:0\n\
                        peer_listen = 127.0.0.1:0\n[platform]\n\
                        store_url = http://127.0.0.1:1\nhosts_url = http://127.0.0.1:1\n";
        let written = pipe.write_all(settings.as_bytes());
        drop(pipe);
        let status = child.wait().unwrap();
        fs::remove_file(&path).unwrap();
        assert!(status.success(), "SIG{signal}: {status}, settings: {written:?}");
    }
}

/// Guards against requests that get no response while a stopping host writes its last records,
/// which takes long if the store does not answer.
#[test]
fn requests_after_the_drain_are_refused_until_the_exit() {
    let mut fleet = ProcessFleet::start(ProcessFleetSpec {
        settings: "[stop]\nnotice_ms = 100\n",
        relayed: &[0],
        ..ProcessFleetSpec::default()
    });
    let mut early = RawCaller::connect(&fleet.entry_hosts[0]);
    early.send(&RawCaller::head());
    assert_eq!(early.read_status(), 200);
    let mut pieces = RawCaller::connect(&fleet.entry_hosts[0]);
    pieces.send(&RawCaller::head()[..20]);
    fleet.relay.set_mode(RelayMode::Silent);
    fleet.entry_hosts[0].signal("TERM");
    let mut late = RawCaller::connect(&fleet.entry_hosts[0]);
    thread::sleep(Duration::from_millis(400));
    early.send(&RawCaller::head());
    pieces.send(&RawCaller::head()[20..]);
    late.send(&RawCaller::head());
    let statuses = [early.read_status(), pieces.read_status(), late.read_status()];
    assert!(statuses.iter().all(|status| [200, 503].contains(status)), "{statuses:?}");
    assert!(fleet.entry_hosts[0].wait().success());
}

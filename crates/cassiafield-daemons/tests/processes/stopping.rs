//! Signals at the start of a host, and requests that arrive late in its stop.

use std::{
    fs,
    io::Write as _,
    process::{Command, Stdio},
};

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

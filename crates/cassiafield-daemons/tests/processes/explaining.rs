//! `cassiafield-ctl explain` on the logs of several hosts.

use {
    expect_test::expect,
    serde_json::Value,
    std::{
        fs,
        io::Write as _,
        path::PathBuf,
        process::{Command, Output, Stdio},
    },
};

const FRONT_A: &str = r#"{"timestamp":"2026-12-04T01:00:00.100Z","level":"INFO","number":1407,"name":"StreamStarted","request":"r1","sends":1,"detail":"120 ms after its arrival; route i-1=0..40,i-2=40..80","configuration":3,"configuration_age_ms":700,"endpoints":12,"endpoints_age_ms":650}
{"timestamp":"2026-12-04T01:00:01.900Z","level":"WARN","number":1301,"name":"EndpointFailed","detail":"endpoint i-9: no answer in time"}
{"timestamp":"2026-12-04T01:00:02.000Z","level":"WARN","number":1301,"name":"EndpointFailed","detail":"endpoint i-2: no answer in time"}
{"timestamp":"2026-12-04T01:00:02.100Z","level":"INFO","number":1404,"name":"StreamBroken","request":"r1","sends":1,"detail":"stalled, silent: i-2 after event 17; route i-1=0..40,i-2=40..80","configuration":3,"configuration_age_ms":900,"endpoints":12,"endpoints_age_ms":850}
{"timestamp":"2026-12-04T01:00:02.800Z","level":"WARN","number":1402,"name":"StreamGivenUp","request":"r1","sends":2,"detail":"last event 17","configuration":3,"configuration_age_ms":1600,"endpoints":11,"endpoints_age_ms":350}
"#;

const MERGED: &str = r#"1.20 front-b {"timestamp":"2026-12-04T01:00:05.000Z","level":"INFO","number":1406,"name":"RequestRefused","request":"r2","cause":"store-unavailable","verdict":"not-run","detail":"path /x","configuration":3,"configuration_age_ms":4406,"endpoints":12,"endpoints_age_ms":4400}
1.10 front-b {"timestamp":"2026-12-04T01:00:01.000Z","level":"WARN","number":1203,"name":"StoreUnreachable","detail":"configuration: no answer in time"}
1.15 front-c {"timestamp":"2026-12-04T01:00:01.000Z","level":"WARN","number":1203,"name":"StoreUnreachable","detail":"configuration: no answer in time"}
1.16 front-b {"timestamp":"2026-12-04T01:00:01.400Z","level":"INFO","number":1205,"name":"StoreCallDelayed","detail":"lists: no answer after 900 ms"}
1.17 front-b {"timestamp":"2026-12-04T01:00:01.600Z","level":"INFO","number":1206,"name":"RevisionHeard","detail":"revision 8 of front-a"}
1.18 front-c {"timestamp":"2026-12-04T01:00:01.700Z","level":"INFO","number":1206,"name":"RevisionHeard","detail":"revision 8 of front-a"}
another program's line
1.30 front-b {"timestamp":"2026-12-04T01:00:06.000Z","level":"IN
"#;

struct LogDirectory(PathBuf);

impl LogDirectory {
    fn new() -> Self {
        let name = format!("cassiafield-logs-{:016x}", fastrand::u64(..));
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).unwrap();
        fs::write(directory.join("front-a.log"), FRONT_A).unwrap();
        fs::write(directory.join("merged.log"), MERGED).unwrap();
        Self(directory)
    }

    fn explain(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cassiafield-ctl"));
        text(command.current_dir(&self.0).arg("explain").args(arguments).output().unwrap())
    }
}

impl Drop for LogDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn text(output: Output) -> (i32, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn a_stream_that_ended_early_is_explained_in_order_with_the_failed_endpoint() {
    let logs = LogDirectory::new();
    let (code, text) = logs.explain(&["r1", "merged.log", "front-a.log"]);
    assert_eq!(code, 0);
    expect![[r#"
        request r1: front-a ended its stream early: stalled, silent: i-2 after event 17; route i-1=0..40,i-2=40..80; last event 17 (it knew configuration 3, 1600 ms old, and 11 endpoints, 350 ms old)
          2026-12-04T01:00:00.100Z front-a 1407 StreamStarted: 120 ms after its arrival; route i-1=0..40,i-2=40..80
          2026-12-04T01:00:02.100Z front-a 1404 StreamBroken: stalled, silent: i-2 after event 17; route i-1=0..40,i-2=40..80
          2026-12-04T01:00:02.800Z front-a 1402 StreamGivenUp: last event 17
        before it on the same host:
          2026-12-04T01:00:02.000Z front-a 1301 EndpointFailed: endpoint i-2: no answer in time
        skipped merged.log:8: no log line: EOF while parsing a string at line 1 column 51
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_refusal_for_a_stale_configuration_cites_store_errors_of_that_host_only() {
    let logs = LogDirectory::new();
    let (code, text) = logs.explain(&["--json", "r2", "merged.log", "front-a.log"]);
    assert_eq!(code, 0, "{text}");
    let found: Value = serde_json::from_str(&text).unwrap();
    let trace = &found["story"];
    let expected =
        "front-b refused it with 503: the configuration was too old to rule out that its \
                    key was taken away; it has not run (it knew configuration 3, 4406 ms old, and \
                    12 endpoints, 4400 ms old)";
    assert_eq!(trace["summary"], expected);
    let context = trace["context"].as_array().unwrap();
    let numbers: Vec<_> = context.iter().map(|line| line["number"].as_u64().unwrap()).collect();
    assert_eq!(numbers, [1203, 1205, 1206]);
    assert!(context.iter().all(|line| line["host"] == "front-b"), "{context:?}");
    assert_eq!(found["broken_lines"].as_array().unwrap().len(), 1);
}

#[test]
fn logs_are_read_from_standard_input() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_cassiafield-ctl"))
        .args(["explain", "r2"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(MERGED.as_bytes()).unwrap();
    let (code, text) = text(child.wait_with_output().unwrap());
    assert_eq!((code, text.starts_with("request r2: front-b refused it")), (0, true), "{text}");
}

#[test]
fn a_missing_request_or_file_is_reported_with_its_own_exit_code() {
    let logs = LogDirectory::new();
    let (code, text) = logs.explain(&["r9", "front-a.log"]);
    assert_eq!(code, 5);
    assert_eq!(text, "cassiafield-ctl: no line of request r9 among 5 lines\n");
    let (code, text) = logs.explain(&["r1", "nowhere.log"]);
    assert_eq!((code, text.contains("nowhere.log: ")), (2, true), "{text}");
    let (code, text) = logs.explain(&[]);
    assert_eq!((code, text.contains("the request's id is missing")), (2, true), "{text}");
}

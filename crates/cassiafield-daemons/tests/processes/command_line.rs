//! Settings checks, commands and exit codes of the programs.

use {
    crate::fleet::{ProcessFleet, ProcessFleetSpec},
    expect_test::expect,
    std::{
        fs,
        process::{Command, Output},
    },
};

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program).args(arguments).output().unwrap()
}

fn entry(arguments: &[&str]) -> Output {
    run(env!("CARGO_BIN_EXE_cassiafield-entry"), arguments)
}

fn control(fleet: &ProcessFleet, arguments: &[&str]) -> (i32, String) {
    let url = fleet.platform_url();
    let mut all_arguments = vec!["--store", url.as_str(), "--author", "ana"];
    all_arguments.extend(arguments);
    let output = run(env!("CARGO_BIN_EXE_cassiafield-ctl"), &all_arguments);
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap(), String::from_utf8(text).unwrap())
}

#[test]
fn every_error_in_a_settings_file_is_reported_with_its_line() {
    let file = std::env::temp_dir().join(format!("cassiafield-{:x}.ini", fastrand::u64(..)));
    let text = "[host]\nid = no spaces\nlisten = nowhere\n\n[platform]\nstore_url = ftp://x\n\
                [peers]\nsecret = short\n[limits]\nqueue_ms = 0\nmax_request = 5\n";
    fs::write(&file, text).unwrap();
    let output = entry(&["--settings", file.to_str().unwrap(), "--check"]);
    let errors = String::from_utf8(output.stderr).unwrap().replace(file.to_str().unwrap(), "FILE");
    fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(2));
    expect![[r#"
        FILE:2: [host] id: expected a name, found "no spaces"
        FILE:3: [host] listen: expected an address:port, found "nowhere"
        FILE:6: [platform] store_url: expected an http:// URL, found "ftp://x"
        FILE:8: [peers] secret: expected 16 characters or more, found "5 characters"
        FILE:10: [limits] queue_ms: expected a whole number from 1 to 60000, found "0"
        FILE:11: [limits] max_request: expected a known key, found "5"
    "#]]
    .assert_eq(&errors);
}

#[test]
fn the_default_settings_pass_their_own_check() {
    let output = entry(&["--print-defaults"]);
    let file = std::env::temp_dir().join(format!("cassiafield-{:x}.ini", fastrand::u64(..)));
    fs::write(&file, output.stdout).unwrap();
    let output = entry(&["--settings", file.to_str().unwrap(), "--check"]);
    fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn lists_are_edited_exported_and_applied() {
    let fleet = ProcessFleet::start(ProcessFleetSpec {
        replicas: 0,
        entry_hosts: 0,
        services: 0,
        ..ProcessFleetSpec::default()
    });
    assert_eq!(control(&fleet, &["plan", "set", "gold", "concurrent=9", "weight=2"]).0, 0);
    let (code, text) = control(&fleet, &["plan", "set", "gold", "concurrent=0", "colour=red"]);
    assert_eq!(code, 2);
    expect![[r#"
        cassiafield-ctl: command line:1: [plan] colour: expected a plan limit with a valid value, found "red"
    "#]]
    .assert_eq(&text);
    let (code, text) = control(&fleet, &["plan", "set", "gold", "concurrent=0"]);
    assert_eq!((code, text.contains("concurrent: expected 1 or more")), (2, true), "{text}");
    let (code, text) = control(&fleet, &["--base", "0", "plan", "set", "gold", "weight=3"]);
    assert_eq!((code, text.contains("gold was changed by ana")), (3, true), "{text}");
    let (code, text) = control(&fleet, &["plan", "remove", "plan"]);
    assert_eq!((code, text.contains("still held by organisation traders")), (3, true), "{text}");

    let exported = control(&fleet, &["export"]).1;
    let file = fleet.directory.join("lists.ini");
    let path = file.to_str().unwrap();
    fs::write(&file, &exported).unwrap();
    assert_eq!(control(&fleet, &["apply", path]), (0, "nothing to change\n".into()));
    fs::write(&file, exported.replace("weight = 2", "weight = 7")).unwrap();
    assert_eq!(control(&fleet, &["apply", path]).0, 0);
    let (code, text) = control(&fleet, &["apply", path]);
    assert_eq!((code, text.contains("made from revision")), (3, true), "{text}");
    fs::write(&file, exported.replace("weight = 2", "weight = many")).unwrap();
    let (code, text) = control(&fleet, &["apply", path]);
    assert_eq!((code, text.contains("weight: expected a value in range")), (2, true), "{text}");
    assert!(control(&fleet, &["plan", "list"]).1.contains("weight 7"));
    let history = control(&fleet, &["history"]).1;
    assert!(history.contains("ana: set plan gold"), "{history}");
}

#[test]
fn an_edit_without_the_store_reports_that_nothing_was_written() {
    let arguments = ["--store", "http://127.0.0.1:1", "plan", "remove", "x"];
    let output = run(env!("CARGO_BIN_EXE_cassiafield-ctl"), &arguments);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8(output.stderr).unwrap().contains("not written"));
}

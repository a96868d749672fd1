//! Checks that the documentation and the examples match the code.

use {
    cassiafield::{
        process::{EntrySettings, LogEvent},
        version::ListFile,
    },
    std::{fs, path::PathBuf},
};

fn repository_path(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

#[test]
fn event_table_lists_exactly_the_defined_events() {
    let text = fs::read_to_string(repository_path("docs/events.md")).unwrap();
    let rows: Vec<&str> = text.lines().filter(|line| line.starts_with("| 1")).collect();
    let expected: Vec<String> = LogEvent::ALL
        .iter()
        .map(|event| {
            format!(
                "| {} | {event:?} | {:?} | {} |",
                event.number(),
                event.level(),
                event.description()
            )
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<u16> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
}

#[test]
fn example_lists_and_settings_are_valid() {
    for user in ["ruta-bovina", "grasvard"] {
        let file = format!("examples/{user}-lists.ini");
        let lists =
            ListFile::parse(&file, &fs::read_to_string(repository_path(&file)).unwrap()).unwrap();
        assert_eq!(lists.organisations.len(), 10);
        assert_eq!(lists.zones.iter().map(|zone| zone.hosts).sum::<u16>(), 9);
        let file = format!("examples/{user}-entry.ini");
        EntrySettings::parse(&file, &fs::read_to_string(repository_path(&file)).unwrap()).unwrap();
    }
}

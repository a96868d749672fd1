//! The usage report lists processes that ended without a final checkpoint.

use {
    cassiafield::{
        connection::{CompareAndSwap, PlatformStore as _},
        process::{HostClock, ReportFormat, UsageReport},
    },
    cassiafield_core::process::{RequestClass, UsageRecord},
    cassiafield_standin::MemoryStore,
};

fn write_usage_record(store: &MemoryStore, host: &str, age_seconds: u64, closed: bool) {
    let now = HostClock::unix_seconds();
    let mut record = UsageRecord { closed, written: now - age_seconds, ..UsageRecord::default() };
    record.record_arrival(&"traders".parse().unwrap(), RequestClass::Filing);
    let swap = CompareAndSwap {
        key: format!("cassiafield/usage/{:08}/{host}/0000000000000001", now / 3_600),
        expected: None,
        value: Some(rmp_serde::to_vec_named(&record).unwrap()),
        lease: None,
    };
    store.compare_and_swap(&swap).unwrap();
}

#[test]
fn a_process_that_stopped_writing_without_closing_is_a_gap() {
    let store = MemoryStore::new();
    write_usage_record(&store, "dead", 100, false);
    write_usage_record(&store, "alive", 3, false);
    write_usage_record(&store, "stopped", 100, true);
    let report = UsageReport::read(&store, 1).unwrap();
    let gaps: Vec<&str> = report.gaps().iter().map(|gap| gap.host.as_str()).collect();
    assert_eq!(gaps, ["dead"]);
    let text = report.render(ReportFormat::Text);
    assert!(text.contains("gap: host dead"), "{text}");
    assert_eq!(report.rows().values().map(|count| count.asked).sum::<u64>(), 3);
}

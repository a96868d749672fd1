//! Rate of calls to the platform's store for host entries, by the size of the fleet.

use cassiafield_core::process::FleetIntervals;

/// Returns the renewals and the reads per second of all hosts together.
fn calls_per_second(hosts: usize) -> (f64, f64) {
    let intervals = FleetIntervals { hosts };
    let count = hosts as f64;
    (
        count / intervals.renewal_interval().as_secs_f64(),
        count / intervals.read_interval().as_secs_f64(),
    )
}

#[test]
fn calls_of_all_hosts_use_at_most_half_of_the_store_rate_up_to_the_design_size() {
    for hosts in [1, 9, 30, 79, 100, 380] {
        let (renewals, reads) = calls_per_second(hosts);
        // Half of the 400 writes per second that the platform allows for all hosts together.
        assert!(renewals <= 200.0, "{hosts}: {renewals}");
        assert!(reads <= 200.0, "{hosts}: {reads}");
    }
}

#[test]
fn two_renewals_may_be_lost_before_an_entry_expires() {
    for hosts in [1, 9, 79, 380, 5_000] {
        let interval = FleetIntervals { hosts }.renewal_interval();
        assert!(interval * 3 <= FleetIntervals::ENTRY_TTL, "{hosts}: {interval:?}");
    }
}

#[test]
fn a_small_fleet_detects_changes_as_fast_as_a_single_host() {
    assert_eq!(
        FleetIntervals { hosts: 30 }.read_interval(),
        FleetIntervals { hosts: 1 }.read_interval()
    );
}

//! Calls to the platform's store for the entries of hosts, as a fleet grows.

use cassiafield_core::process::FleetIntervals;

/// Calls a second of all hosts together.
fn calls(hosts: usize) -> (f64, f64) {
    let pace = FleetIntervals { hosts };
    let all = hosts as f64;
    (all / pace.renewal_interval().as_secs_f64(), all / pace.read_interval().as_secs_f64())
}

#[test]
fn calls_of_all_hosts_stay_under_half_of_the_store_s_rate_up_to_the_design_size() {
    for hosts in [1, 9, 30, 79, 100, 380] {
        let (renewals, readings) = calls(hosts);
        // Half of the 400 writes a second that the platform states for all hosts together.
        assert!(renewals <= 200.0, "{hosts}: {renewals}");
        assert!(readings <= 200.0, "{hosts}: {readings}");
    }
}

#[test]
fn two_renewals_may_be_lost_before_an_entry_lapses() {
    for hosts in [1, 9, 79, 380, 5_000] {
        let pause = FleetIntervals { hosts }.renewal_interval();
        assert!(pause * 3 <= FleetIntervals::ENTRY_TTL, "{hosts}: {pause:?}");
    }
}

#[test]
fn a_small_fleet_notices_changes_as_fast_as_one_host_would() {
    assert_eq!(
        FleetIntervals { hosts: 30 }.read_interval(),
        FleetIntervals { hosts: 1 }.read_interval()
    );
}

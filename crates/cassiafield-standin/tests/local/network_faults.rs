//! Network faults on the links to engines, and the return of repaired engines.

use {
    crate::support::{complete, expected_completion, fleet_spec, start_fleet},
    cassiafield_core::process::EndpointRecord,
    cassiafield_standin::{EngineFault, LocalFleet, RelayMode, TcpRelay},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const TIMEOUT: Duration = Duration::from_secs(30);

/// Delay in each direction that is added to a link of less than a millisecond.
const SLOW_LINK_DELAY: Duration = Duration::from_millis(80);
/// Time in which every host refreshes its list of hosts.
const HOST_LIST_REFRESH_TIME: Duration = Duration::from_millis(2_500);

/// Streams on a repaired engine that show regular use; a single one could be a probe.
const STREAMS_AFTER_REPAIR: u32 = 8;

/// Registers an engine under the address of a new relay to it.
fn relay_engine(fleet: &LocalFleet, index: usize) -> TcpRelay {
    let engine = &fleet.engines()[index];
    let target: SocketAddr = engine.record().address.parse().unwrap();
    let relay = TcpRelay::start("127.0.0.1:0", target).unwrap();
    let address = relay.address().to_string().into();
    fleet.platform().register(EndpointRecord { address, ..engine.record().clone() });
    relay
}

/// Puts a relay in front of each first stage and waits until the hosts use it.
fn relay_first_stages(fleet: &LocalFleet) -> Vec<TcpRelay> {
    let relays = (0..2).map(|index| relay_engine(fleet, index)).collect();
    thread::sleep(HOST_LIST_REFRESH_TIME);
    relays
}

fn wait_until_served(address: SocketAddr) {
    let deadline = Instant::now() + TIMEOUT;
    while complete(address, "x", 2).status != 200 {
        assert!(Instant::now() < deadline, "requests are still refused after the repair");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn streams_resume_over_new_connections_when_open_ones_go_silent() {
    let mut spec = fleet_spec();
    spec.token_time = Duration::from_millis(8);
    let (fleet, address) = start_fleet(&spec);
    let relays = relay_first_stages(&fleet);
    let streams: Vec<_> = (0..6)
        .map(|index| {
            thread::spawn(move || {
                let prompt = format!("forgotten {index}");
                let response = complete(address, &prompt, 60);
                assert_eq!(response.status, 200, "{}", response.body);
                assert_eq!(response.body["choices"][0]["text"], expected_completion(&prompt, 60));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    for relay in &relays {
        relay.set_mode(RelayMode::ForgetOpen);
    }
    for stream in streams {
        stream.join().unwrap();
    }
    for relay in relays {
        relay.close();
    }
    fleet.close();
}

/// The link between two stages becomes slow: streams move to the other replica, later streams use
/// it from the start, and every completion is correct.
#[test]
fn streams_avoid_a_link_that_became_slow() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let relay = relay_engine(&fleet, 2);
    thread::sleep(HOST_LIST_REFRESH_TIME);
    for request in 0..8 {
        assert_eq!(complete(address, &format!("measure both {request}"), 40).status, 200);
    }
    relay.set_delay(SLOW_LINK_DELAY);
    for request in 0..8 {
        let prompt = format!("slow link {request}");
        let response = complete(address, &prompt, 60);
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.body["choices"][0]["text"], expected_completion(&prompt, 60));
    }
    let hops = fleet.engines()[2].hops();
    assert!(hops > 0, "the slow link was never used");
    for request in 0..10 {
        assert_eq!(complete(address, &format!("later {request}"), 4).status, 200);
    }
    assert_eq!(fleet.engines()[2].hops(), hops, "new streams still take the slow link");
    relay.close();
    fleet.close();
}

#[test]
fn cut_paths_are_avoided_and_used_again_after_the_repair() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let relays = relay_first_stages(&fleet);
    relays[0].set_mode(RelayMode::Cut);
    for request in 0..10 {
        let prompt = format!("one path {request}");
        let response = complete(address, &prompt, 10);
        assert_eq!(response.status, 200, "{}", response.body);
        assert_eq!(response.body["choices"][0]["text"], expected_completion(&prompt, 10));
    }
    relays[1].set_mode(RelayMode::Silent);
    let response = complete(address, "no path", 10);
    assert!(matches!(response.status, 502 | 503), "{}", response.status);
    assert!(response.header("Retry-After").is_some());
    for relay in &relays {
        relay.set_mode(RelayMode::Pass);
    }
    wait_until_served(address);
    for relay in relays {
        relay.close();
    }
    fleet.close();
}

#[test]
fn a_repaired_engine_returns_to_regular_use() {
    let (fleet, address) = start_fleet(&fleet_spec());
    let engine = &fleet.engines()[0];
    engine.set_fault(EngineFault::WrongLayers);
    let mut number = 0;
    let mut send_request = || {
        number += 1;
        let response = complete(address, &format!("request {number}"), 6);
        assert_eq!(response.status, 200, "{}", response.body);
    };
    for _ in 0..6 {
        send_request();
    }
    engine.set_fault(EngineFault::None);
    let opened = engine.opened_streams();
    let deadline = Instant::now() + TIMEOUT;
    while engine.opened_streams() < opened + STREAMS_AFTER_REPAIR {
        assert!(
            Instant::now() < deadline,
            "{} streams after the repair",
            engine.opened_streams() - opened
        );
        send_request();
        thread::sleep(Duration::from_millis(10));
    }
    fleet.close();
}

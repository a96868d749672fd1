//! Connections that go silent while new ones work, and paths that are cut.

use {
    crate::support::{complete, expected, fleet_spec, start},
    cassiafield_core::process::EndpointRecord,
    cassiafield_standin::{EngineFault, LocalFleet, RelayMode, TcpRelay},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

const PATIENCE: Duration = Duration::from_secs(30);

/// One-way time of a link that was a fraction of a millisecond.
const SLOW_LINK: Duration = Duration::from_millis(80);
/// Time until every host has read the list of hosts anew.
const LIST_PATIENCE: Duration = Duration::from_millis(2_500);

/// Uses of a repaired engine that show more than one trial.
const USES_AFTER_REPAIR: u32 = 8;

/// Leads to an engine over a relay.
fn relay_engine(fleet: &LocalFleet, index: usize) -> TcpRelay {
    let engine = &fleet.engines()[index];
    let target: SocketAddr = engine.record().address.parse().unwrap();
    let relay = TcpRelay::start("127.0.0.1:0", target).unwrap();
    let address = relay.address().to_string().into();
    fleet.platform().register(EndpointRecord { address, ..engine.record().clone() });
    relay
}

/// Leads to each first stage over a relay.
fn relay_first_stages(fleet: &LocalFleet) -> Vec<TcpRelay> {
    let relays = (0..2).map(|index| relay_engine(fleet, index)).collect();
    thread::sleep(LIST_PATIENCE);
    relays
}

fn wait_served(address: SocketAddr) {
    let deadline = Instant::now() + PATIENCE;
    while complete(address, "x", 2).status != 200 {
        assert!(Instant::now() < deadline, "not served again");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn streams_go_on_over_new_connections_when_old_ones_are_forgotten() {
    let mut spec = fleet_spec();
    spec.token_time = Duration::from_millis(8);
    let (fleet, address) = start(&spec);
    let relays = relay_first_stages(&fleet);
    let streams: Vec<_> = (0..6)
        .map(|index| {
            thread::spawn(move || {
                let prompt = format!("forgotten {index}");
                let reply = complete(address, &prompt, 60);
                assert_eq!(reply.status, 200, "{}", reply.body);
                assert_eq!(reply.body["choices"][0]["text"], expected(&prompt, 60));
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

/// The link between two stages becomes slow: streams move to the other replica, later ones go
/// there at once, and every answer is right.
#[test]
fn streams_leave_a_link_that_has_become_slow() {
    let (fleet, address) = start(&fleet_spec());
    let relay = relay_engine(&fleet, 2);
    thread::sleep(LIST_PATIENCE);
    for request in 0..8 {
        assert_eq!(complete(address, &format!("measure both {request}"), 40).status, 200);
    }
    relay.set_delay(SLOW_LINK);
    for request in 0..8 {
        let prompt = format!("slow link {request}");
        let reply = complete(address, &prompt, 60);
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body["choices"][0]["text"], expected(&prompt, 60));
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
fn a_cut_path_is_refused_or_avoided_and_used_again_when_healed() {
    let (fleet, address) = start(&fleet_spec());
    let relays = relay_first_stages(&fleet);
    relays[0].set_mode(RelayMode::Cut);
    for request in 0..10 {
        let prompt = format!("one path {request}");
        let reply = complete(address, &prompt, 10);
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.body["choices"][0]["text"], expected(&prompt, 10));
    }
    relays[1].set_mode(RelayMode::Silent);
    let reply = complete(address, "no path", 10);
    assert!(matches!(reply.status, 502 | 503), "{}", reply.status);
    assert!(reply.header("Retry-After").is_some());
    for relay in &relays {
        relay.set_mode(RelayMode::Pass);
    }
    wait_served(address);
    for relay in relays {
        relay.close();
    }
    fleet.close();
}

#[test]
fn an_engine_that_failed_is_used_again_for_good_once_it_works() {
    let (fleet, address) = start(&fleet_spec());
    let engine = &fleet.engines()[0];
    engine.set_fault(EngineFault::WrongLayers);
    let mut number = 0;
    let mut ask = || {
        number += 1;
        let reply = complete(address, &format!("request {number}"), 6);
        assert_eq!(reply.status, 200, "{}", reply.body);
    };
    for _ in 0..6 {
        ask();
    }
    engine.set_fault(EngineFault::None);
    let opened = engine.opened_streams();
    let deadline = Instant::now() + PATIENCE;
    while engine.opened_streams() < opened + USES_AFTER_REPAIR {
        assert!(Instant::now() < deadline, "used {} times", engine.opened_streams() - opened);
        ask();
        thread::sleep(Duration::from_millis(10));
    }
    fleet.close();
}

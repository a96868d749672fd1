//! A model of a fleet that sends to an endpoint with a limit: what it gets from all hosts together,
//! while hosts are cut off from each other, restart, join, stop, freeze and lose messages.

use {
    cassiafield_core::{
        ids::{HostId, Moment, ZoneId},
        process::{
            EndpointIncarnation, EndpointLife, FleetReach, TurnBroker, TurnReply, TurnRequest,
            ZoneLeaders, ZoneMembers,
        },
        request::RequestRate,
    },
    std::{net::SocketAddr, time::Duration},
};

const TICK_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
const ZONES: usize = 3;
const MESSAGE_INTERVAL_MS: u64 = 150;
/// How long a request waits for a turn.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// What the rule allows in a window: one and a half times the limit, and five requests.
const WINDOW_MS: u64 = 4_000;
const MAX_FACTOR: f64 = 1.5;
const MAX_EXTRA: f64 = 5.0;

/// A small generator, so that seeds mean the same everywhere.
struct Dice(u64);

impl Dice {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    Calm,
    /// The endpoint's zone hears no other one for half of the time, but all hosts reach the endpoint.
    ZoneCut,
    /// No host hears any other one.
    AllAlone,
    /// A host at a time, of any zone, starts anew and knows nothing; the leader's too.
    Restarts,
    /// The leader of the endpoint's zone stops and comes back, again and again.
    LeaderStops,
    /// The leader of the endpoint's zone hears and says nothing for two seconds of four.
    LeaderFreezes,
    /// A fifth of all messages and queries is lost.
    Losses,
}

struct ModelHost {
    id: HostId,
    zone: usize,
    address: SocketAddr,
    members: ZoneMembers,
    leaders: ZoneLeaders,
    turns: TurnBroker,
    is_down: bool,
    is_stopping: bool,
}

struct Fleet {
    dice: Dice,
    trouble: Trouble,
    limit: RequestRate,
    hosts: Vec<ModelHost>,
    /// When requests arrive at the endpoint, which is in the first zone, in milliseconds.
    arrivals: Vec<u64>,
}

fn moment(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

fn zone_id(zone: usize) -> ZoneId {
    format!("z{zone}").parse().expect("a valid name")
}

impl ModelHost {
    fn new(number: usize) -> Self {
        Self {
            id: format!("h-{number:03}").parse().expect("a valid name"),
            zone: number % ZONES,
            address: SocketAddr::from(([127, 0, 0, 1], u16::try_from(number + 1).expect("few"))),
            members: ZoneMembers::default(),
            leaders: ZoneLeaders::default(),
            turns: TurnBroker::default(),
            is_down: false,
            is_stopping: false,
        }
    }

    fn is_leader(&self, now: Moment) -> bool {
        self.members.leader(&self.id, self.is_stopping, now) == &self.id
    }

    fn live_members(&self, now: Moment) -> usize {
        self.members.live(now).count() + 1
    }

    fn reach(&self, hosts: usize, now: Moment) -> FleetReach {
        let reachable = self.live_members(now) + self.leaders.live_hosts(now);
        FleetReach { reachable, hosts }
    }
}

impl Fleet {
    fn new(seed: u64, hosts: usize, limit: RequestRate, trouble: Trouble) -> Self {
        Self {
            dice: Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            trouble,
            limit,
            hosts: (0..hosts).map(ModelHost::new).collect(),
            arrivals: Vec::new(),
        }
    }

    fn play(mut self, demand: f64) -> Self {
        for now in (0..LENGTH_MS).step_by(usize::try_from(TICK_MS).expect("small")) {
            self.disturb(now);
            if now.is_multiple_of(MESSAGE_INTERVAL_MS) {
                self.exchange(now);
            }
            // Demand arrives unevenly: a third of the hosts gets most of it.
            for host in 0..self.hosts.len() {
                let part = if host % 4 == 0 { 3.0 } else { 1.0 / 3.0 };
                let expected = demand * part / self.hosts.len() as f64 * TICK_MS as f64 / 1e3;
                if self.dice.next() < expected {
                    self.request(host, now);
                }
            }
        }
        self.arrivals.sort_unstable();
        self
    }

    fn is_connected(&mut self, one: usize, other: usize, now: u64) -> bool {
        let zones = (self.hosts[one].zone, self.hosts[other].zone);
        let is_up = !self.hosts[one].is_down && !self.hosts[other].is_down;
        is_up
            && match self.trouble {
                Trouble::ZoneCut => {
                    zones.0 == zones.1
                        || zones.0 != 0 && zones.1 != 0
                        || !(10_000..30_000).contains(&now)
                }
                Trouble::AllAlone => now < 8_000,
                Trouble::Losses => self.dice.next() > 0.2,
                _ => true,
            }
    }

    fn exchange(&mut self, now: u64) {
        let at = moment(now);
        for from in 0..self.hosts.len() {
            let sender = &self.hosts[from];
            let (id, zone, address) = (sender.id.clone(), sender.zone, sender.address);
            let (is_leader, is_stopping) = (sender.is_leader(at), sender.is_stopping);
            if !sender.is_down {
                self.hosts[from].turns.record_lead(is_leader, at);
            }
            let sender = &self.hosts[from];
            let members = sender.live_members(at);
            for to in 0..self.hosts.len() {
                let is_due = self.hosts[to].zone == zone
                    || is_leader && now.is_multiple_of(2 * MESSAGE_INTERVAL_MS);
                if to == from || !is_due || !self.is_connected(from, to, now) {
                    continue;
                }
                let receiver = &mut self.hosts[to];
                if receiver.zone == zone {
                    receiver.members.record(&id, is_stopping, at);
                } else {
                    receiver.leaders.record(zone_id(zone), address, members, at);
                }
            }
        }
    }

    fn request(&mut self, host: usize, now: u64) {
        let (at, hosts, limit) = (moment(now), self.hosts.len(), self.limit);
        if self.hosts[host].is_down {
            return;
        }
        let life = EndpointLife {
            endpoint: "i-1".parse().expect("a valid name"),
            incarnation: EndpointIncarnation(1),
        };
        let request = TurnRequest { life: &life, limit, max_wait: MAX_WAIT };
        let granter = self.granter(host, at);
        let reply = granter.and_then(|granter| self.ask(host, granter, request, now));
        let reply = reply.unwrap_or_else(|| {
            let spread = self.dice.next();
            let reach = self.hosts[host].reach(hosts, at);
            let address = granter.map(|granter| self.hosts[granter].address);
            self.hosts[host].turns.take_share(request, address, reach, spread, at)
        });
        if let TurnReply::Granted { delay } = reply {
            let delay = u64::try_from(delay.as_millis()).expect("short");
            self.arrivals.push(now + delay);
        }
    }

    /// Asks for a turn as hosts do; `None` without an answer.
    fn ask(
        &mut self,
        host: usize,
        granter: usize,
        request: TurnRequest<'_>,
        now: u64,
    ) -> Option<TurnReply> {
        let (at, hosts) = (moment(now), self.hosts.len());
        let address = self.hosts[granter].address;
        if granter != host && !self.hosts[host].turns.may_ask(address, at) {
            return None;
        }
        for _ in 0..2 {
            let is_heard = granter == host || self.is_connected(host, granter, now);
            let grants = self.hosts[granter].is_leader(at) && self.hosts[granter].zone == 0;
            let spread = self.dice.next();
            let reply = (is_heard && grants).then(|| {
                let granter = &mut self.hosts[granter];
                let reach = granter.reach(hosts, at);
                granter.turns.grant(request, reach, spread, at)
            });
            let is_answered = granter == host || is_heard && self.is_connected(granter, host, now);
            self.hosts[host].turns.record_query(address, is_answered, at);
            if is_answered {
                return reply;
            }
        }
        None
    }

    fn granter(&self, host: usize, at: Moment) -> Option<usize> {
        let asking = &self.hosts[host];
        if asking.zone == 0 {
            let leader = asking.members.leader(&asking.id, asking.is_stopping, at);
            return self.hosts.iter().position(|other| &other.id == leader);
        }
        let address = asking.leaders.leader(&zone_id(0), at)?;
        self.hosts.iter().position(|other| other.address == address)
    }

    fn disturb(&mut self, now: u64) {
        match self.trouble {
            Trouble::Restarts if now > 5_000 && now.is_multiple_of(1_500) => {
                let number = usize::try_from(now / 1_500).expect("small") % self.hosts.len();
                self.hosts[number] = ModelHost::new(number);
            }
            Trouble::LeaderStops if now > 5_000 => match now % 6_000 {
                0 => self.hosts[0].is_stopping = true,
                2_400 => self.hosts[0].is_down = true,
                3_000 => self.hosts[0] = ModelHost::new(0),
                _ => {}
            },
            Trouble::LeaderFreezes if now > 5_000 => {
                self.hosts[0].is_down = now % 4_000 < 2_000;
            }
            _ => {}
        }
    }

    /// Returns the largest number of arrivals in a window.
    fn most_arrivals(&self) -> usize {
        let within = |from: &u64| {
            let ends_at = from + WINDOW_MS;
            self.arrivals.partition_point(|at| *at < ends_at)
                - self.arrivals.partition_point(|at| at < from)
        };
        self.arrivals.iter().map(within).max().unwrap_or(0)
    }
}

/// Number of seeds; `CASSIAFIELD_MODEL_SEEDS` sets another one.
fn seeds() -> impl Iterator<Item = u64> {
    let set = std::env::var("CASSIAFIELD_MODEL_SEEDS").ok().and_then(|text| text.parse().ok());
    1..=set.unwrap_or(3)
}

/// Plays a trouble with several limits and numbers of hosts; returns the smallest part of a limit
/// that was used.
fn play_all(trouble: Trouble) -> f64 {
    let mut least_used: f64 = 1.0;
    for seed in seeds() {
        for hosts in [1, 9, 87] {
            for limit in ["0.1", "1", "7", "50"] {
                let limit: RequestRate = limit.parse().expect("a rate");
                let per_second = limit.as_per_second();
                let fleet = Fleet::new(seed, hosts, limit, trouble).play(per_second * 4.0 + 8.0);
                let allowed = MAX_FACTOR * per_second * WINDOW_MS as f64 / 1e3 + MAX_EXTRA;
                let most = fleet.most_arrivals();
                let used = fleet.arrivals.len() as f64 / (per_second * LENGTH_MS as f64 / 1e3);
                println!("{trouble:?} seed {seed}, {hosts} hosts, {limit}: {most} of {allowed}, {used:.2} used");
                assert!(
                    most as f64 <= allowed,
                    "{trouble:?}, seed {seed}, {hosts} hosts, {limit}: {most} requests in a window, \
                     {allowed} allowed"
                );
                if per_second >= 1.0 {
                    least_used = least_used.min(used);
                }
            }
        }
    }
    least_used
}

/// Guards against hosts whose sum is over a limit, and against a limit that is not used.
#[test]
fn a_calm_fleet_uses_a_limit_and_stays_within_it() {
    let used = play_all(Trouble::Calm);
    assert!(used > 0.9, "{used}");
}

/// Guards against parts of a fleet that are cut off and together go over a limit.
#[test]
fn a_divided_fleet_stays_within_a_limit() {
    play_all(Trouble::ZoneCut);
    play_all(Trouble::AllAlone);
    play_all(Trouble::Losses);
}

/// Guards against turns that are granted twice when hosts start anew or the lead changes.
#[test]
fn a_limit_holds_while_hosts_restart_and_the_lead_changes() {
    play_all(Trouble::Restarts);
    play_all(Trouble::LeaderStops);
    play_all(Trouble::LeaderFreezes);
}

//! A model of a fleet that sends to an endpoint with a limit: what it gets from all hosts together,
//! while hosts are cut off from each other, restart, join, stop, end, freeze and lose messages, and
//! while the platform's store loses the entries of the hosts.

use {
    cassiafield_core::{
        ids::{HostId, Moment, ZoneId},
        process::{
            EndpointIncarnation, EndpointLife, FleetIntervals, FleetMembership, FleetReach,
            ListedHost, TurnBroker, TurnReply, TurnRequest, ZoneLeaders, ZoneMembers,
        },
        request::RequestRate,
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        ops::Range,
        time::Duration,
    },
};

const TICK_MS: u64 = 10;
const LENGTH_MS: u64 = 60_000;
const ZONES: usize = 3;
const MESSAGE_INTERVAL_MS: u64 = 150;
/// Age of the lists that hosts read.
const READ_AGE_MS: u64 = 2_500;
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
    /// The store goes away again and again, and loses the leases of all hosts.
    StoreLapses,
    /// The same while the endpoint's zone hears no other one.
    LapseOfCutZones,
    /// The same while hosts start anew, as the store goes, while it is away and when it is back.
    LapseAndRestarts,
    /// The fleet doubles, in part while the store is away.
    LapseAndGrowth,
    /// Two of three hosts end for good.
    HostsEnd,
}

impl Trouble {
    /// When the store goes away, in milliseconds; it loses the leases two seconds later.
    const LAPSES_MS: [u64; 3] = [10_000, 25_000, 40_000];
    const LAPSE_DELAY_MS: u64 = 2_000;
    const OUTAGE_MS: u64 = 4_500;

    fn loses_leases(self) -> bool {
        matches!(
            self,
            Self::StoreLapses
                | Self::LapseOfCutZones
                | Self::LapseAndRestarts
                | Self::LapseAndGrowth
        )
    }

    fn has_store(self, now: u64) -> bool {
        let is_away = |began: &u64| (*began..began + Self::OUTAGE_MS).contains(&now);
        !self.loses_leases() || !Self::LAPSES_MS.iter().any(is_away)
    }
}

/// The entries of hosts in the platform's store, with the ends of their leases.
#[derive(Default)]
struct ModelStore {
    entries: BTreeMap<usize, u64>,
    /// Earlier states, for reads that are old.
    earlier: VecDeque<(u64, Vec<usize>)>,
}

impl ModelStore {
    fn tick(&mut self, now: u64) {
        self.entries.retain(|_, ends_at| *ends_at > now);
        self.earlier.push_back((now, self.entries.keys().copied().collect()));
        while self.earlier.get(1).is_some_and(|(at, _)| now - at >= READ_AGE_MS) {
            self.earlier.pop_front();
        }
    }

    /// Renews the entry of a host; returns `true` if it was there.
    fn renew(&mut self, host: usize, now: u64) -> bool {
        let ttl = u64::try_from(FleetIntervals::ENTRY_TTL.as_millis()).expect("short");
        self.entries.insert(host, now + ttl).is_some()
    }
}

struct ModelHost {
    id: HostId,
    zone: usize,
    address: SocketAddr,
    members: ZoneMembers,
    leaders: ZoneLeaders,
    membership: FleetMembership,
    turns: TurnBroker,
    is_down: bool,
    is_stopping: bool,
}

struct Fleet {
    dice: Dice,
    trouble: Trouble,
    limit: RequestRate,
    hosts: Vec<ModelHost>,
    store: ModelStore,
    /// When requests arrive at the endpoint, which is in the first zone, in milliseconds.
    arrivals: Vec<u64>,
}

fn moment(ms: u64) -> Moment {
    Moment::from_millis(1_000_000 + ms)
}

fn zone_id(zone: usize) -> ZoneId {
    format!("z{zone}").parse().expect("a valid name")
}

fn host_id(number: usize) -> HostId {
    format!("h-{number:03}").parse().expect("a valid name")
}

fn host_address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, u16::try_from(number + 1).expect("few"))
}

impl ModelHost {
    fn new(number: usize, is_first_start: bool) -> Self {
        let id = host_id(number);
        Self {
            membership: FleetMembership::new(id.clone(), zone_id(number % ZONES), is_first_start),
            id,
            zone: number % ZONES,
            address: SocketAddr::V4(host_address(number)),
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

    fn reach(&self, now: Moment) -> FleetReach {
        let foreign = self.leaders.live_hosts(now);
        let mutual = foreign.map(|(zone, hosts)| self.membership.mutual_hosts(zone, hosts));
        FleetReach {
            reachable: self.live_members(now) + mutual.sum::<usize>(),
            hosts: self.membership.fleet_hosts(),
            is_known: self.membership.is_known(),
        }
    }
}

impl Fleet {
    fn new(seed: u64, hosts: usize, limit: RequestRate, trouble: Trouble) -> Self {
        Self {
            dice: Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            trouble,
            limit,
            hosts: (0..hosts).map(|number| ModelHost::new(number, true)).collect(),
            store: ModelStore::default(),
            arrivals: Vec::new(),
        }
    }

    fn play(mut self, demand: f64) -> Self {
        for now in (0..LENGTH_MS).step_by(usize::try_from(TICK_MS).expect("small")) {
            self.disturb(now);
            self.synchronise(now);
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
                Trouble::LapseOfCutZones => {
                    zones.0 == zones.1
                        || zones.0 != 0 && zones.1 != 0
                        || !(11_000..50_000).contains(&now)
                }
                Trouble::AllAlone => now < 8_000,
                Trouble::Losses => self.dice.next() > 0.2,
                _ => true,
            }
    }

    /// Renews entries in the store and reads the list of hosts.
    fn synchronise(&mut self, now: u64) {
        let began = |after| Trouble::LAPSES_MS.iter().any(|began| now == began + after);
        if self.trouble.loses_leases() && began(Trouble::LAPSE_DELAY_MS) {
            self.store.entries.clear();
        }
        self.store.tick(now);
        let intervals = FleetIntervals { hosts: self.hosts.len() };
        let interval = u64::try_from(intervals.renewal_interval().as_millis()).expect("short");
        for (number, host) in self.hosts.iter_mut().enumerate().filter(|(_, host)| !host.is_down) {
            let phase = u64::try_from(number).expect("few") * 10 * 17;
            let (at, round) = (moment(now), (now + phase) / TICK_MS);
            if !round.is_multiple_of(interval / TICK_MS) && now > 0 {
                continue;
            }
            if !self.trouble.has_store(now) {
                host.membership.record_disturbance(at);
                continue;
            }
            if !self.store.renew(number, now) {
                host.membership.record_disturbance(at);
            }
            let (_, numbers) = self.store.earlier.front().expect("the present state");
            let entry = |number: usize| ListedHost {
                zone: zone_id(number % ZONES),
                peer_address: host_address(number),
                carry_address: None,
                carry_token: 0,
            };
            let list = numbers.iter().map(|number| (host_id(*number), entry(*number))).collect();
            host.membership.record_list(list, at);
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
            let (members, reported) =
                (sender.live_members(at), sender.membership.hosts_to_report());
            let mut receivers: BTreeSet<SocketAddr> =
                sender.membership.zone_addresses().into_iter().collect();
            if is_leader && now.is_multiple_of(2 * MESSAGE_INTERVAL_MS) {
                receivers.extend(sender.membership.foreign_addresses());
            }
            for to in 0..self.hosts.len() {
                let is_due = receivers.contains(&self.hosts[to].address);
                if to == from || !is_due || !self.is_connected(from, to, now) {
                    continue;
                }
                let receiver = &mut self.hosts[to];
                if let Some(hosts) = reported {
                    receiver.membership.record_reported_hosts(hosts);
                }
                if receiver.zone == zone {
                    receiver.membership.record_message(&id, address, at);
                    receiver.members.record(&id, is_stopping, at);
                } else {
                    receiver.membership.record_zone_message(&zone_id(zone), members, at);
                    receiver.leaders.record(zone_id(zone), address, members, at);
                }
            }
        }
    }

    fn request(&mut self, host: usize, now: u64) {
        let (at, limit) = (moment(now), self.limit);
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
            let reach = self.hosts[host].reach(at);
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
        let at = moment(now);
        let address = self.hosts[granter].address;
        if granter != host && !self.hosts[host].turns.may_ask(address, at) {
            return None;
        }
        for _ in 0..2 {
            let is_heard = granter == host || self.is_connected(host, granter, now);
            let grants = self.hosts[granter].is_leader(at) && self.hosts[granter].zone == 0;
            let spread = self.dice.next();
            let is_known = granter == host || self.hosts[granter].membership.is_known();
            let reply = (is_heard && grants && is_known).then(|| {
                let granter = &mut self.hosts[granter];
                let reach = granter.reach(at);
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
                self.hosts[number] = ModelHost::new(number, false);
            }
            // Around each lapse a quarter of the hosts starts anew, the first of their zones among them.
            Trouble::LapseAndRestarts => {
                let restarts = [-500_i64, 3_000, 5_000, 6_500];
                for (turn, after) in restarts.into_iter().enumerate() {
                    let is_due = |began: &u64| began.checked_add_signed(after) == Some(now);
                    if Trouble::LAPSES_MS.iter().any(is_due) {
                        for number in (turn * ZONES..self.hosts.len()).step_by(4 * ZONES) {
                            self.hosts[number] = ModelHost::new(number, false);
                        }
                    }
                }
            }
            Trouble::LapseAndGrowth => {
                let hosts = self.hosts.len();
                let (first, second) = (hosts.div_ceil(2), hosts.div_ceil(4) * 3);
                match now {
                    0 => self.hosts[first..].iter_mut().for_each(|host| host.is_down = true),
                    13_000 => self.start_anew(first..second.min(hosts)),
                    33_000 => self.start_anew(second.min(hosts)..hosts),
                    _ => {}
                }
            }
            Trouble::HostsEnd if now == 10_000 => {
                let hosts = self.hosts.len();
                for host in &mut self.hosts[..hosts * 2 / 3] {
                    host.is_down = true;
                }
            }
            Trouble::LeaderStops if now > 5_000 => match now % 6_000 {
                0 => self.hosts[0].is_stopping = true,
                2_400 => self.hosts[0].is_down = true,
                3_000 => self.hosts[0] = ModelHost::new(0, false),
                _ => {}
            },
            Trouble::LeaderFreezes if now > 5_000 => {
                self.hosts[0].is_down = now % 4_000 < 2_000;
            }
            _ => {}
        }
    }

    fn start_anew(&mut self, numbers: Range<usize>) {
        for number in numbers {
            self.hosts[number] = ModelHost::new(number, false);
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

/// Guards against hosts that take an empty or incomplete list of the store for the whole fleet.
#[test]
fn a_limit_holds_while_the_store_loses_the_entries_of_hosts() {
    let used = play_all(Trouble::StoreLapses);
    assert!(used > 0.9, "{used}");
    play_all(Trouble::LapseOfCutZones);
    play_all(Trouble::LapseAndRestarts);
    play_all(Trouble::LapseAndGrowth);
}

/// Guards against a limit that stays divided by hosts that have ended for good.
#[test]
fn the_hosts_that_are_left_soon_use_the_whole_limit_again() {
    const ENDED_MS: u64 = 10_000;
    /// The lease of a host, the age of a read, and some intervals between two reads.
    const MAX_DELAY_MS: u64 = 20_000;
    play_all(Trouble::HostsEnd);
    for seed in seeds() {
        for hosts in [9, 87] {
            let limit: RequestRate = "7".parse().expect("a rate");
            let fleet = Fleet::new(seed, hosts, limit, Trouble::HostsEnd).play(90.0);
            let from = ENDED_MS + MAX_DELAY_MS;
            let late = fleet.arrivals.iter().filter(|at| **at >= from).count() as f64;
            let used = late / (limit.as_per_second() * (LENGTH_MS - from) as f64 / 1e3);
            assert!(used >= 0.95, "seed {seed}, {hosts} hosts: {used} used");
        }
    }
}

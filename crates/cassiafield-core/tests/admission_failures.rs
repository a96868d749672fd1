//! A zone's grantor that is lost, cut off, slow, frozen or doubled: no room is granted beyond what there
//! is, and every request gets a decision within its wait.

use {
    cassiafield_core::{
        admission::{
            AdmissionGrantor, AdmissionNews, AdmissionReply, AdmissionReport, AdmissionRoom,
            AdmissionTicket, HostAdmission, RequestPriority, WaitVerdict, WaitingRequest,
        },
        ids::{EndpointId, HostId, Moment, OrganisationId},
        process::ZoneMembers,
    },
    fastrand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

const HOSTS: usize = 6;
const ROOM: u32 = 40_000;
const LENGTH_MS: u64 = 4_500;
const STEP_MS: u64 = 3;
const MESSAGE_MS: u64 = 150;
/// Age of what endpoints report.
const READING_MS: u64 = 300;
/// Silence of a host after which the readings of endpoints count instead of its messages.
const SILENCE_MS: u64 = 500;

#[derive(Clone)]
enum Message {
    Host { used: u32, news: AdmissionNews, report: Option<AdmissionReport> },
    Reply(AdmissionReply),
}

/// The room as one host knows it.
#[derive(Default)]
struct KnownRoom {
    own: u32,
    kept: u32,
    held: u32,
    peers: BTreeMap<usize, u32>,
    heard: [u64; HOSTS],
}

impl AdmissionRoom for KnownRoom {
    type Hold = u32;

    fn hold(&mut self, request: &WaitingRequest) -> Option<u32> {
        let used = self.own + self.kept + self.held + self.peers.values().sum::<u32>();
        let tokens = request.tokens();
        (used + tokens <= ROOM).then(|| {
            self.held += tokens;
            tokens
        })
    }

    fn endpoints(&self, _: &u32) -> Vec<EndpointId> {
        Vec::new()
    }

    fn release(&mut self, hold: u32) {
        self.held -= hold;
    }

    fn excess(&self, _: &OrganisationId) -> f64 {
        1.0
    }
}

struct Host {
    id: HostId,
    admission: HostAdmission<u32>,
    grantor: AdmissionGrantor<u32>,
    members: ZoneMembers,
    room: KnownRoom,
    /// Streams that run: their ends, their memory, and whether they went by the host's own view.
    running: Vec<(u64, u32, bool)>,
    waiting: BTreeMap<AdmissionTicket, (u64, u32)>,
    ends: u32,
    next_message: u64,
    next_report: u64,
    inbox: Vec<(u64, usize, Message)>,
    is_dead: bool,
}

/// What goes wrong, and when.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Lost,
    Cut { is_deaf: bool, is_mute: bool },
    Slow { delay: u64 },
    Frozen,
    Halves,
}

struct Zone {
    hosts: Vec<Host>,
    rng: Rng,
    failure: Failure,
    seed: u64,
    victim: usize,
    period: std::ops::Range<u64>,
    admitted: [u32; 3],
    refused: u32,
    /// What each host used, by step: endpoints report it with a lag.
    readings: Vec<[u32; HOSTS]>,
}

impl Zone {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let failure = match seed % 5 {
            0 => Failure::Lost,
            1 => Failure::Cut { is_deaf: rng.bool(), is_mute: rng.bool() },
            2 => Failure::Slow { delay: rng.u64(30..300) },
            3 => Failure::Frozen,
            _ => Failure::Halves,
        };
        let hosts = (0..HOSTS).map(|index| Host {
            id: format!("host-{index}").parse().unwrap(),
            admission: HostAdmission::new(rng.u64(1..)),
            grantor: AdmissionGrantor::default(),
            members: ZoneMembers::default(),
            room: KnownRoom::default(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            ends: 0,
            next_message: rng.u64(0..MESSAGE_MS),
            next_report: 0,
            inbox: Vec::new(),
            is_dead: false,
        });
        let hosts = hosts.collect();
        let start = rng.u64(1_200..2_500);
        let period = start..start + rng.u64(60..1_900);
        // Mostly the leader.
        let victim = if rng.u8(..4) > 0 { 0 } else { rng.usize(..HOSTS) };
        Self {
            seed,
            hosts,
            rng,
            failure,
            victim,
            period,
            admitted: [0; 3],
            refused: 0,
            readings: Vec::new(),
        }
    }

    fn is_hit(&self, host: usize, ms: u64) -> bool {
        self.period.contains(&ms) && host == self.victim
    }

    fn send(&mut self, from: usize, to: usize, message: Message, ms: u64) {
        let mut delay = self.rng.u64(1..6);
        let is_lost = match self.failure {
            Failure::Cut { is_deaf, is_mute } => {
                is_mute && self.is_hit(from, ms) || is_deaf && self.is_hit(to, ms)
            }
            Failure::Halves => self.period.contains(&ms) && (from < HOSTS / 2) != (to < HOSTS / 2),
            Failure::Slow { delay: extra } => {
                if self.is_hit(from, ms) {
                    delay += extra;
                }
                false
            }
            Failure::Lost | Failure::Frozen => false,
        };
        if !is_lost && self.rng.u8(..100) >= 2 {
            self.hosts[to].inbox.push((ms + delay, from, message));
        }
    }

    /// Lets all hosts act, and checks what they have given away.
    fn step(&mut self, ms: u64) {
        if self.readings.is_empty() {
            self.readings.push([0; HOSTS]);
        }
        for index in 0..HOSTS {
            let is_hit = self.is_hit(index, ms);
            if matches!(self.failure, Failure::Lost) && is_hit {
                let host = &mut self.hosts[index];
                host.is_dead = true;
                host.running.clear();
                host.waiting.clear();
            }
            self.end_streams(index, ms);
            let is_frozen = matches!(self.failure, Failure::Frozen) && is_hit;
            if !self.hosts[index].is_dead && !is_frozen {
                self.act(index, ms);
            }
        }
        let mut reading = [0; HOSTS];
        for (used, host) in reading.iter_mut().zip(&self.hosts) {
            *used = if host.is_dead { 0 } else { host.room.own + host.room.kept };
        }
        self.readings.push(reading);
        let granted: u32 =
            self.hosts.iter().flat_map(|host| &host.running).map(|s| s.1 * u32::from(!s.2)).sum();
        assert!(
            granted <= ROOM,
            "{granted} granted of {ROOM} at {ms} ms, {:?} seed {}",
            self.failure,
            self.seed
        );
    }

    fn end_streams(&mut self, index: usize, ms: u64) {
        let host = &mut self.hosts[index];
        // Endpoints end streams also while their host is frozen; it learns of them later.
        let now = Moment::from_millis(ms);
        let (ended, running): (Vec<_>, Vec<_>) = host.running.iter().partition(|s| s.0 <= ms);
        host.running = running;
        for (_, tokens, is_by_own_view) in ended {
            host.ends += 1;
            host.room.own -= tokens;
            if is_by_own_view {
                // Nobody granted this room, so it does not count here.
                continue;
            }
            host.room.kept += tokens;
            if let Some(tokens) = host.admission.keep(tokens, tokens, now) {
                host.room.kept -= tokens;
            }
        }
    }

    fn act(&mut self, index: usize, ms: u64) {
        let now = Moment::from_millis(ms);
        let host = &mut self.hosts[index];
        let (due, later) = std::mem::take(&mut host.inbox).into_iter().partition(|m| m.0 <= ms);
        host.inbox = later;
        let due: Vec<(u64, usize, Message)> = due;
        for (_, from, message) in due {
            self.receive(index, from, message, now);
        }
        let host = &mut self.hosts[index];
        let leader = host.members.leader(&host.id, false, now).clone();
        let is_leader = leader == host.id;
        host.admission.follow(&leader, is_leader);
        let reach = host.admission.reach(&host.id, HOSTS, now);
        host.grantor.record_lead(is_leader, reach, &mut host.room, now);
        for tokens in host.admission.expired_share(now) {
            host.room.kept -= tokens;
        }
        if self.rng.u32(..1_000) < 28 {
            let (tokens, wait) = (self.rng.u32(500..4_000), self.rng.u64(150..900));
            let request = WaitingRequest {
                ticket: AdmissionTicket::ZERO,
                service: "service".parse().unwrap(),
                organisation: None,
                priority: RequestPriority::default(),
                prompt_tokens: tokens,
                output_tokens: 0,
                wait_left_ms: 0,
            };
            let host = &mut self.hosts[index];
            let max_wait = Duration::from_millis(wait);
            let ticket = host.admission.enter(request, max_wait, now).expect("few wait");
            host.waiting.insert(ticket, (ms + wait, tokens));
            host.next_report = ms;
        }
        let has_settled = self.serve_waiting(index, ms);
        let host = &mut self.hosts[index];
        let is_due = ms >= host.next_message;
        if is_due {
            host.next_message = ms + MESSAGE_MS;
        }
        if is_due || has_settled || host.admission.is_active(now) && ms >= host.next_report {
            host.next_report = ms + 50;
            self.report(index, is_due, ms);
        }
        self.decide(index, ms);
    }

    fn receive(&mut self, index: usize, from: usize, message: Message, now: Moment) {
        let sender = self.hosts[from].id.clone();
        let host = &mut self.hosts[index];
        match message {
            Message::Host { used, news, report } => {
                host.members.record(&sender, false, now);
                let Some(ends) = host.admission.record_news(&sender, Some(&news), now) else {
                    return;
                };
                host.grantor.record_ends(ends, now);
                host.room.peers.insert(from, used);
                host.room.heard[from] = now.as_micros() / 1_000;
                if let Some(report) = report {
                    host.grantor.record_report(&sender, report, &mut host.room, now);
                }
            }
            Message::Reply(reply) => drop(host.admission.apply_reply(&sender, &reply, now)),
        }
    }

    /// Serves what may be served now; returns `true` if grants were used.
    fn serve_waiting(&mut self, index: usize, ms: u64) -> bool {
        let now = Moment::from_millis(ms);
        let in_use: u32 = self.hosts.iter().flat_map(|host| &host.running).map(|s| s.1).sum();
        let run = self.rng.u64(300..900);
        let host = &mut self.hosts[index];
        let mut has_settled = false;
        for (ticket, (expires_at, tokens)) in host.waiting.clone() {
            let verdict = host.admission.verdict(ticket, now);
            let kind = match verdict {
                WaitVerdict::Wait { until } => {
                    assert!(until <= now + Duration::from_millis(40), "a decision is late");
                    assert!(until <= Moment::from_millis(expires_at), "a request is forgotten");
                    continue;
                }
                WaitVerdict::UseGrant => 0,
                WaitVerdict::UseShare => {
                    let taken = host.admission.take_share(ticket).into_iter().sum::<u32>();
                    assert!(taken >= tokens);
                    host.room.kept -= taken;
                    1
                }
                // The endpoint itself refuses what has no room.
                WaitVerdict::TryOwnView if in_use + tokens <= ROOM => 2,
                WaitVerdict::TryOwnView => continue,
                WaitVerdict::Refuse { .. } => {
                    host.admission.leave(ticket, now);
                    host.waiting.remove(&ticket);
                    self.refused += 1;
                    continue;
                }
            };
            has_settled |= host.admission.leave(ticket, now);
            host.waiting.remove(&ticket);
            host.room.own += tokens;
            host.running.push((ms + run, tokens, kind == 2));
            self.admitted[kind] += 1;
            if kind == 2 {
                break;
            }
        }
        has_settled
    }

    fn report(&mut self, index: usize, is_periodic: bool, ms: u64) {
        let now = Moment::from_millis(ms);
        let host = &mut self.hosts[index];
        let leader = host.admission.leader().cloned();
        let is_own = leader.as_ref() == Some(&host.id);
        let short = host.grantor.short_services().into_iter().collect();
        let news = host.admission.news(host.ends, short);
        let used = host.room.own + host.room.kept;
        let report = host.admission.report(now);
        if is_own {
            host.grantor.record_report(&host.id, report.clone(), &mut host.room, now);
        }
        for to in (0..HOSTS).filter(|to| *to != index) {
            let is_leader = leader.as_ref() == Some(&self.hosts[to].id);
            if is_leader || is_periodic {
                let (news, report) = (news.clone(), is_leader.then(|| report.clone()));
                self.send(index, to, Message::Host { used, news, report }, ms);
            }
        }
    }

    fn decide(&mut self, index: usize, ms: u64) {
        let now = Moment::from_millis(ms);
        let host = &mut self.hosts[index];
        for peer in (0..HOSTS).filter(|peer| ms >= host.room.heard[*peer] + SILENCE_MS) {
            let step = usize::try_from(ms.saturating_sub(READING_MS) / STEP_MS).unwrap();
            host.room.peers.insert(peer, self.readings[step][peer]);
        }
        host.room.peers.remove(&index);
        let reach = host.admission.reach(&host.id, HOSTS, now);
        let (replies, _) = host.grantor.decide(&mut host.room, reach, now);
        for (to, reply) in replies {
            let to = self.hosts.iter().position(|host| host.id == to).unwrap();
            if to == index {
                let id = self.hosts[to].id.clone();
                self.hosts[to].admission.apply_reply(&id, &reply, now);
            } else {
                self.send(index, to, Message::Reply(reply), ms);
            }
        }
    }
}

#[test]
fn a_failing_grantor_grants_no_room_twice_and_forgets_nobody() {
    let (mut admitted, mut refused) = ([0_u64; 3], 0_u64);
    for seed in 0..1_000 {
        let mut zone = Zone::new(seed);
        for ms in (0..LENGTH_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            zone.step(ms);
        }
        let [granted, _, _] = zone.admitted;
        assert!(granted > 20, "seed {seed}: {:?} {:?}", zone.failure, zone.admitted);
        for (sum, count) in admitted.iter_mut().zip(zone.admitted) {
            *sum += u64::from(count);
        }
        refused += u64::from(zone.refused);
    }
    println!("granted, by share, by own view: {admitted:?}; refused {refused}");
    assert!(admitted[1] > 0, "no host used its share");
}

use {
    crate::{
        admission::{
            AdmissionNews, AdmissionOutcome, AdmissionReply, AdmissionReport, AdmissionTicket,
            GrantNumber, GrantorReach, RequestPriority, WaitingRequest,
        },
        ids::{EndpointId, HostId, Moment, ServiceId},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Who decides on the waiting requests of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionSource {
    /// The zone's leader, which answers.
    Grantor,
    /// This host: the leader has not answered in time. It gives away the room that its own streams leave.
    Share,
    /// This host, as while nothing waits: the leader is of a release that grants nothing, or has been
    /// silent for so long that its successor should have answered.
    OwnView,
}

/// What a waiting request does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitVerdict {
    /// It waits until it is woken, or until the time passes.
    Wait {
        /// When to ask again.
        until: Moment,
    },
    /// It uses the granted room.
    UseGrant,
    /// It uses room that this host's own streams have left, if that fits.
    UseShare,
    /// It uses whatever room this host sees.
    TryOwnView,
    /// It can't be served in time.
    Refuse {
        /// When its caller should return, if the grantor has said so.
        return_in: Option<Duration>,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EntryState {
    Waiting,
    /// The grant, and when the report was sent that it answers.
    Granted(GrantNumber, Moment),
    Refused(Duration),
}

/// What another host said last.
#[derive(Clone, Debug)]
struct PeerNews {
    heard_at: Moment,
    /// `None` for releases that know of no grants.
    news: Option<AdmissionNews>,
}

#[derive(Clone, Debug)]
struct WaitingEntry {
    request: WaitingRequest,
    arrived_at: Moment,
    expires_at: Moment,
    state: EntryState,
    /// Endpoints whose room is granted.
    endpoints: Vec<EndpointId>,
    /// Requests of the zone before it, by the grantor's last reply.
    place: Option<u32>,
}

/// The waiting requests of one host, and its side of the exchange with the zone's grantor.
///
/// `K` is room that this host's own streams have left while nobody granted it: it stays taken, for all
/// others to see, until a waiting request of this host uses it or it is given back.
#[derive(Debug)]
pub struct HostAdmission<K> {
    incarnation: u64,
    sequence: u64,
    /// Number of messages to the other hosts.
    messages: u64,
    last_ticket: AdmissionTicket,
    entries: BTreeMap<AdmissionTicket, WaitingEntry>,
    settled: VecDeque<(Moment, GrantNumber)>,
    /// When the reports were sent that a reply may refer to.
    sent: VecDeque<(u64, Moment)>,
    leader: Option<HostId>,
    /// Whether this host itself leads the zone.
    is_leader: bool,
    /// The other hosts of the zone, by their last messages.
    peers: BTreeMap<HostId, PeerNews>,
    /// When a report last had waiting requests.
    waited_at: Option<Moment>,
    /// When the oldest report was sent that has no reply.
    unanswered_since: Option<Moment>,
    short: BTreeMap<ServiceId, Moment>,
    kept: VecDeque<(Moment, u32, K)>,
}

impl AdmissionSource {
    /// Returns the name used in metrics and the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            AdmissionSource::Grantor => "grantor",
            AdmissionSource::Share => "share",
            AdmissionSource::OwnView => "own-view",
        }
    }
}

impl<K> HostAdmission<K> {
    /// Time after which a request no longer waits for the grantor's decision; a message and its reply
    /// take a few ms.
    pub const DECISION_TIME: Duration = Duration::from_millis(40);
    /// Silence of the grantor after which this host goes by its own view: the next leader takes over
    /// within 700 ms and grants 450 ms later.
    const SHARE_TIME: Duration = Duration::from_millis(1_200);
    /// Time between two reports while requests wait.
    pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
    /// Time between two looks of a request that goes by this host's own view.
    const RECHECK_INTERVAL: Duration = Duration::from_millis(40);
    /// Age of the report that a usable grant refers to; it leaves the grantor's takeover time a margin.
    pub const GRANT_VALIDITY: Duration = Duration::from_millis(150);
    /// Time for which a service counts as short after an announcement; two may be lost.
    const SHORT_TIME: Duration = Duration::from_millis(400);
    /// Time for which settled grants are reported; two reports may be lost.
    const SETTLED_TIME: Duration = Duration::from_millis(700);
    /// Time after which kept room is given back.
    const KEPT_TIME: Duration = Duration::from_millis(600);
    /// Largest number of waiting requests, and of entries in each list of a report (at 60 bytes each they
    /// fit a datagram beside the usage).
    pub const MAX_WAITING: usize = 128;
    /// Time after which another host's last message no longer counts it as a follower.
    const FOLLOWER_TIME: Duration = Duration::from_millis(500);
    /// Time after which another host is forgotten.
    const PEER_RETENTION: Duration = Duration::from_secs(3);
    /// Largest number of services that are known to be short.
    const MAX_SHORT: usize = 64;

    /// Creates the state of a host; `incarnation` differs between its starts.
    #[must_use]
    pub const fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            sequence: 0,
            messages: 0,
            last_ticket: AdmissionTicket::ZERO,
            entries: BTreeMap::new(),
            settled: VecDeque::new(),
            sent: VecDeque::new(),
            leader: None,
            is_leader: false,
            peers: BTreeMap::new(),
            waited_at: None,
            unanswered_since: None,
            short: BTreeMap::new(),
            kept: VecDeque::new(),
        }
    }

    /// Records who leads the zone; a new leader has not left anything unanswered.
    pub fn follow(&mut self, leader: &HostId, is_leader: bool) {
        self.is_leader = is_leader;
        if self.leader.as_ref() != Some(leader) {
            let had_leader = self.leader.replace(leader.clone()).is_some();
            self.sent.clear();
            if !had_leader {
                self.unanswered_since = None;
            }
            for entry in self.entries.values_mut() {
                // A grant of the former leader must be used before its successor's first one.
                entry.place = None;
            }
        }
    }

    /// Returns the news for the next message to the other hosts; a leader announces what requests wait for.
    pub fn news(&mut self, ends: u32, short: Vec<ServiceId>) -> AdmissionNews {
        self.messages += 1;
        let (incarnation, sequence) = (self.incarnation, self.messages);
        AdmissionNews { incarnation, sequence, follows: self.leader.clone(), ends, short }
    }

    /// Records a message of a host of the zone, with its news unless its release has none.
    ///
    /// Returns how many of its streams have ended since its message before; `None` if the message has been
    /// overtaken by a newer one, so that its usage no longer holds.
    pub fn record_news(
        &mut self,
        host: &HostId,
        news: Option<&AdmissionNews>,
        now: Moment,
    ) -> Option<u32> {
        self.peers.retain(|_, peer| now.since(peer.heard_at) < Self::PEER_RETENTION);
        let Some(news) = news else {
            self.peers.insert(host.clone(), PeerNews { heard_at: now, news: None });
            return Some(0);
        };
        let known = self.peers.get(host).and_then(|peer| peer.news.as_ref());
        let known = known.filter(|known| known.incarnation == news.incarnation);
        if known.is_some_and(|known| known.sequence >= news.sequence) {
            return None;
        }
        let ended = known.map_or(0, |known| news.ends.wrapping_sub(known.ends));
        let mut kept = news.clone();
        kept.short.clear();
        self.peers.insert(host.clone(), PeerNews { heard_at: now, news: Some(kept) });
        if self.leader.as_ref() == Some(host) {
            self.record_short(&news.short, now);
        }
        Some(ended)
    }

    /// Records the services that the leader announces as short; the leader itself calls it, too.
    pub fn record_short(&mut self, short: &[ServiceId], now: Moment) {
        self.short.retain(|_, at| now.since(*at) < Self::SHORT_TIME);
        for service in short.iter().take(Self::MAX_SHORT) {
            self.short.insert(service.clone(), now);
        }
    }

    /// Returns how many of `hosts` listed hosts of the zone this one may speak for as `own`.
    #[must_use]
    pub fn reach(&self, own: &HostId, hosts: usize, now: Moment) -> GrantorReach {
        let followers = self.peers.values().filter(|peer| {
            let follows = peer.news.as_ref().and_then(|news| news.follows.as_ref());
            now.since(peer.heard_at) < Self::FOLLOWER_TIME
                && follows.is_none_or(|leader| leader == own)
        });
        GrantorReach { followers: followers.count() + 1, hosts }
    }

    /// Returns who decides now.
    #[must_use]
    pub fn source(&self, now: Moment) -> AdmissionSource {
        let leader = self.leader.as_ref();
        let is_known = |leader| self.peers.get(leader).is_some_and(|peer| peer.news.is_some());
        if !self.is_leader && !leader.is_some_and(is_known) {
            return AdmissionSource::OwnView;
        }
        match self.unanswered_since.map(|since| now.since(since)) {
            Some(silence) if silence >= Self::SHARE_TIME => AdmissionSource::OwnView,
            Some(silence) if silence >= Self::DECISION_TIME => AdmissionSource::Share,
            _ => AdmissionSource::Grantor,
        }
    }

    /// Returns `true` if a request that arrives now joins those that wait.
    #[must_use]
    pub fn must_wait(&self, service: &ServiceId, now: Moment) -> bool {
        if self.source(now) == AdmissionSource::OwnView {
            return false;
        }
        self.is_announced(service, now)
            || self.entries.values().any(|entry| &entry.request.service == service)
    }

    fn is_announced(&self, service: &ServiceId, now: Moment) -> bool {
        self.short.get(service).is_some_and(|at| now.since(*at) < Self::SHORT_TIME)
    }

    /// Returns `true` if requests of any service wait in the zone, as far as is known.
    #[must_use]
    pub fn knows_shortage(&self, now: Moment) -> bool {
        self.short.values().any(|at| now.since(*at) < Self::SHORT_TIME)
    }

    /// Returns the grant of a waiting request, if it has one.
    #[must_use]
    pub fn grant_of(&self, ticket: AdmissionTicket) -> Option<GrantNumber> {
        match self.entries.get(&ticket)?.state {
            EntryState::Granted(number, _) => Some(number),
            _ => None,
        }
    }

    /// Returns the endpoints whose room is granted to a waiting request.
    #[must_use]
    pub fn granted_endpoints(&self, ticket: AdmissionTicket) -> Vec<EndpointId> {
        self.entries.get(&ticket).map(|entry| entry.endpoints.clone()).unwrap_or_default()
    }

    /// Adds a request that waits for up to `max_wait`; `None` if too many wait. Its ticket is set here.
    pub fn enter(
        &mut self,
        mut request: WaitingRequest,
        max_wait: Duration,
        now: Moment,
    ) -> Option<AdmissionTicket> {
        if self.entries.len() >= Self::MAX_WAITING {
            return None;
        }
        self.last_ticket = self.last_ticket.next();
        request.ticket = self.last_ticket;
        let entry = WaitingEntry {
            request,
            arrived_at: now,
            expires_at: now + max_wait,
            state: EntryState::Waiting,
            endpoints: Vec::new(),
            place: None,
        };
        self.entries.insert(self.last_ticket, entry);
        Some(self.last_ticket)
    }

    /// Removes a request that was served, refused or is gone; a grant of it is settled.
    ///
    /// Returns `true` if the grantor should hear of it at once.
    pub fn leave(&mut self, ticket: AdmissionTicket, now: Moment) -> bool {
        let Some(entry) = self.entries.remove(&ticket) else { return false };
        let EntryState::Granted(number, _) = entry.state else { return false };
        self.settle(number, now);
        true
    }

    /// Records that a request found no room at its grant's use: it waits on, and the grant is given back.
    pub fn return_grant(&mut self, ticket: AdmissionTicket, now: Moment) {
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        if let EntryState::Granted(number, _) = entry.state {
            entry.state = EntryState::Waiting;
            self.settle(number, now);
        }
    }

    fn settle(&mut self, number: GrantNumber, now: Moment) {
        if self.settled.iter().any(|(_, known)| *known == number) {
            return;
        }
        if self.settled.len() >= Self::MAX_WAITING {
            self.settled.pop_front();
        }
        self.settled.push_back((now, number));
    }

    /// Returns the next report to the leader, which must go with the usage of this very moment.
    pub fn report(&mut self, now: Moment) -> AdmissionReport {
        self.sequence += 1;
        self.settled.retain(|(at, _)| now.since(*at) < Self::SETTLED_TIME);
        self.sent.retain(|(_, at)| now.since(*at) < Self::GRANT_VALIDITY);
        self.sent.push_back((self.sequence, now));
        let waiting: Vec<WaitingRequest> = self
            .entries
            .values()
            .filter(|entry| entry.state == EntryState::Waiting && entry.expires_at > now)
            .map(|entry| {
                let left = entry.expires_at.since(now).as_millis();
                let wait_left_ms = u32::try_from(left).unwrap_or(u32::MAX);
                WaitingRequest { wait_left_ms, ..entry.request.clone() }
            })
            .collect();
        if !waiting.is_empty() {
            self.waited_at = Some(now);
            self.unanswered_since.get_or_insert(now);
        }
        let settled = self.settled.iter().map(|(_, number)| *number).collect();
        AdmissionReport { incarnation: self.incarnation, sequence: self.sequence, waiting, settled }
    }

    /// Returns `true` if reports are due periodically.
    #[must_use]
    pub fn is_active(&self, now: Moment) -> bool {
        let waited_at = self.waited_at;
        !self.entries.is_empty() || waited_at.is_some_and(|at| now.since(at) < Self::SETTLED_TIME)
    }

    /// Applies a reply of the leader; returns the requests to wake.
    ///
    /// A reply of another host, or one that refers to an old report, changes nothing: another host may have
    /// granted the room since.
    pub fn apply_reply(
        &mut self,
        from: &HostId,
        reply: &AdmissionReply,
        now: Moment,
    ) -> Vec<AdmissionTicket> {
        let sent = self.sent.iter().find(|(sequence, _)| *sequence == reply.sequence);
        let is_own = self.leader.as_ref() == Some(from) && reply.incarnation == self.incarnation;
        let sent_at = match sent {
            Some((_, at)) if is_own && now.since(*at) < Self::GRANT_VALIDITY => *at,
            _ => return Vec::new(),
        };
        self.unanswered_since = None;
        let mut woken = Vec::new();
        for (ticket, outcome) in &reply.outcomes {
            let entry = self.entries.get_mut(ticket);
            match (outcome, entry) {
                (AdmissionOutcome::Waiting { place }, Some(entry)) => entry.place = Some(*place),
                (AdmissionOutcome::Granted { number, endpoints }, Some(entry)) => match entry.state
                {
                    EntryState::Granted(known, _) if known != *number => self.settle(*number, now),
                    EntryState::Granted(..) => {}
                    // A grant that was given back may arrive again.
                    _ if self.settled.iter().any(|(_, settled)| settled == number) => {}
                    _ => {
                        entry.state = EntryState::Granted(*number, sent_at);
                        entry.endpoints.clone_from(endpoints);
                        woken.push(*ticket);
                    }
                },
                (AdmissionOutcome::Granted { number, .. }, None) => self.settle(*number, now),
                (AdmissionOutcome::Refused { return_in_ms }, Some(entry))
                    if entry.state == EntryState::Waiting =>
                {
                    let return_in = Duration::from_millis(u64::from(*return_in_ms));
                    entry.state = EntryState::Refused(return_in);
                    woken.push(*ticket);
                }
                (AdmissionOutcome::Waiting { .. } | AdmissionOutcome::Refused { .. }, _) => {}
            }
        }
        woken
    }

    /// Returns what a waiting request does next; a grant that is too old is given back.
    pub fn verdict(&mut self, ticket: AdmissionTicket, now: Moment) -> WaitVerdict {
        let state = self.entries.get(&ticket).map(|entry| entry.state);
        if let Some(EntryState::Granted(_, sent_at)) = state {
            if now.since(sent_at) >= Self::GRANT_VALIDITY {
                self.return_grant(ticket, now);
            }
        }
        let Some(entry) = self.entries.get(&ticket) else {
            return WaitVerdict::Refuse { return_in: None };
        };
        match entry.state {
            EntryState::Granted(..) => return WaitVerdict::UseGrant,
            EntryState::Refused(return_in) => {
                return WaitVerdict::Refuse { return_in: Some(return_in) };
            }
            EntryState::Waiting => {}
        }
        if entry.expires_at <= now {
            return WaitVerdict::Refuse { return_in: None };
        }
        let recheck_at = (now + Self::RECHECK_INTERVAL).min(entry.expires_at);
        match self.source(now) {
            AdmissionSource::OwnView => WaitVerdict::TryOwnView,
            AdmissionSource::Share if self.is_first(ticket) && self.covers(&entry.request) => {
                WaitVerdict::UseShare
            }
            // Nobody says any more that others wait for the service.
            AdmissionSource::Share if !self.is_announced(&entry.request.service, now) => {
                WaitVerdict::TryOwnView
            }
            AdmissionSource::Share => WaitVerdict::Wait { until: recheck_at },
            AdmissionSource::Grantor => {
                let since = self.unanswered_since.unwrap_or(now);
                let until = (since + Self::DECISION_TIME).max(now + Duration::from_millis(1));
                WaitVerdict::Wait { until: until.min(entry.expires_at) }
            }
        }
    }

    /// Returns the first waiting request of this host, by rank and end of wait.
    #[must_use]
    pub fn first(&self) -> Option<AdmissionTicket> {
        let waiting = self.entries.iter().filter(|(_, entry)| entry.state == EntryState::Waiting);
        waiting
            .min_by_key(|(ticket, entry)| {
                let key: (RequestPriority, Moment) = (entry.request.priority, entry.expires_at);
                (key, **ticket)
            })
            .map(|(ticket, _)| *ticket)
    }

    fn is_first(&self, ticket: AdmissionTicket) -> bool {
        self.first() == Some(ticket)
    }

    fn covers(&self, request: &WaitingRequest) -> bool {
        let kept: u64 = self.kept.iter().map(|(_, tokens, _)| u64::from(*tokens)).sum();
        kept >= u64::from(request.tokens())
    }

    /// Takes the room of a stream of this host that has ended. It is kept while this host gives its own room
    /// away and requests wait; otherwise it comes back, to be released.
    pub fn keep(&mut self, tokens: u32, room: K, now: Moment) -> Option<K> {
        let keeps = self.source(now) == AdmissionSource::Share && !self.entries.is_empty();
        if !keeps || self.kept.len() >= Self::MAX_WAITING {
            return Some(room);
        }
        self.kept.push_back((now, tokens, room));
        None
    }

    /// Returns kept room for a request to use, the oldest first; it must be released right before use.
    pub fn take_share(&mut self, ticket: AdmissionTicket) -> Vec<K> {
        let needed = self.entries.get(&ticket).map_or(0, |entry| entry.request.tokens());
        let (mut taken, mut tokens) = (Vec::new(), 0_u32);
        while tokens < needed {
            let Some((_, amount, room)) = self.kept.pop_front() else { break };
            tokens = tokens.saturating_add(amount);
            taken.push(room);
        }
        taken
    }

    /// Returns kept room to be released: it is old, or the grantor gives room away again.
    pub fn expired_share(&mut self, now: Moment) -> Vec<K> {
        let is_over = self.source(now) != AdmissionSource::Share || self.entries.is_empty();
        let mut expired = Vec::new();
        while let Some((at, _, _)) = self.kept.front() {
            if !is_over && now.since(*at) < Self::KEPT_TIME {
                break;
            }
            expired.extend(self.kept.pop_front().map(|(_, _, room)| room));
        }
        expired
    }

    /// Returns the requests that wait, for wake-ups.
    #[must_use]
    pub fn tickets(&self) -> BTreeSet<AdmissionTicket> {
        self.entries.keys().copied().collect()
    }

    /// Returns how long a request has waited, and its last known place.
    #[must_use]
    pub fn place(&self, ticket: AdmissionTicket, now: Moment) -> (Duration, Option<u32>) {
        let entry = self.entries.get(&ticket);
        entry.map_or((Duration::ZERO, None), |entry| (now.since(entry.arrived_at), entry.place))
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.entries.len()
    }

    /// Returns the leader that this host takes grants of.
    #[must_use]
    pub const fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Returns how long the leader has left reports unanswered.
    #[must_use]
    pub fn silence(&self, now: Moment) -> Duration {
        self.unanswered_since.map_or(Duration::ZERO, |since| now.since(since))
    }
}

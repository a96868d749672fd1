use {
    crate::{
        admission::{
            AdmissionOrder, AdmissionOutcome, AdmissionReply, AdmissionReport, AdmissionRoom,
            AdmissionTicket, GrantNumber, RequestKey,
        },
        ids::{HostId, Moment, ServiceId},
        returns::ReturnSchedule,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How many hosts of its zone a grantor speaks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GrantorReach {
    /// Hosts that it hears and that follow no other one, itself included.
    pub followers: usize,
    /// Hosts that the platform lists.
    pub hosts: usize,
}

impl GrantorReach {
    /// Returns `true` if no other host can speak for as many.
    #[must_use]
    pub const fn is_majority(self) -> bool {
        self.followers * 2 > self.hosts
    }
}

/// A decision on one request, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdmissionDecision {
    /// The request's host.
    pub host: HostId,
    /// The request.
    pub ticket: AdmissionTicket,
    /// What becomes of it.
    pub outcome: AdmissionOutcome,
    /// Number of requests that waited.
    pub waiting: usize,
}

/// Room that was granted and that the usage of its host does not show yet.
#[derive(Debug)]
struct HeldGrant<H> {
    key: RequestKey,
    hold: H,
    granted_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct KnownHost {
    incarnation: u64,
    sequence: u64,
    heard_at: Moment,
    /// Whether it has reported since the last replies.
    awaits_reply: bool,
}

/// Grants room to the waiting requests of a zone's hosts, as the leader of the zone.
///
/// Granted room counts as taken until the usage that its host reports includes it, or until it lapses.
/// A new leader waits until the grants of the one before it have lapsed or show in the hosts' usage, and
/// a leader that speaks for no more than half of the zone's hosts grants nothing; so two leaders never
/// grant the same room.
#[derive(Debug)]
pub struct AdmissionGrantor<H> {
    order: AdmissionOrder,
    hosts: BTreeMap<HostId, KnownHost>,
    holds: BTreeMap<GrantNumber, HeldGrant<H>>,
    leading_since: Option<Moment>,
    led_at: Option<Moment>,
    next_number: u64,
    grants: u64,
    returns: ReturnSchedule,
}

impl<H> Default for AdmissionGrantor<H> {
    fn default() -> Self {
        Self {
            order: AdmissionOrder::default(),
            hosts: BTreeMap::new(),
            holds: BTreeMap::new(),
            leading_since: None,
            led_at: None,
            next_number: 0,
            grants: 0,
            returns: ReturnSchedule::default(),
        }
    }
}

impl<H> AdmissionGrantor<H> {
    /// Time after which others lead the zone of a host that has not shown itself.
    const LEAD_TIME: Duration = Duration::from_millis(700);
    /// Time for which a new leader grants nothing: hosts use a grant within its validity and report their
    /// usage each 150 ms.
    pub const TAKEOVER_TIME: Duration = Duration::from_millis(450);
    /// Time after which granted room lapses if its host's usage is known and does not show it; the grant is
    /// no longer valid for long then.
    pub const HOLD_TIME: Duration = Duration::from_millis(700);
    /// Time after which granted room of a silent host lapses; its former usage is no longer counted either.
    const LOST_TIME: Duration = Duration::from_secs(3);
    /// Time after which a silent host is forgotten.
    const KNOWN_TIME: Duration = Duration::from_secs(10);
    /// Time after which the requests of a silent host no longer wait.
    const HOST_RETENTION: Duration = Duration::from_millis(500);
    /// Number of grants that may overtake the first request while it finds no room; the room is then left
    /// for it.
    const MAX_OVERTAKEN: u32 = 6;
    /// Number of requests of a service that are tried for room after each other without success.
    const MAX_FAILED_HOLDS: u32 = 4;
    /// Number of grants in one round; the next round follows at once.
    const MAX_ROUND_GRANTS: usize = 64;
    /// Of this many grants, one disregards ranks.
    const GRANTS_PER_UNRANKED: u64 = 8;
    /// Longest wait until a refused caller returns; callers bound it further by their deadlines.
    const MAX_RETURN: Duration = Duration::from_secs(6);

    /// Records whether this host leads its zone, and for how many hosts it speaks; gives back all room if it
    /// no longer does, or has been away for so long that others may have.
    pub fn record_lead(
        &mut self,
        is_leader: bool,
        reach: GrantorReach,
        room: &mut impl AdmissionRoom<Hold = H>,
        now: Moment,
    ) {
        let was_away = self.led_at.is_some_and(|at| now.since(at) >= Self::LEAD_TIME);
        if !is_leader || was_away {
            self.leading_since = None;
            self.order = AdmissionOrder::default();
            self.hosts.clear();
            for held in std::mem::take(&mut self.holds).into_values() {
                room.release(held.hold);
            }
        }
        self.led_at = is_leader.then_some(now);
        if !reach.is_majority() {
            // Another host may grant now.
            self.leading_since = None;
        } else if is_leader && self.leading_since.is_none() {
            self.leading_since = Some(now);
            self.next_number = self.next_number.max(now.as_micros());
        }
    }

    /// Records streams that ended at any host of the zone.
    pub fn record_ends(&mut self, count: u32, now: Moment) {
        self.returns.record_ends(count, now);
    }

    /// Records a host's report; its usage must have been recorded just before.
    pub fn record_report(
        &mut self,
        host: &HostId,
        report: AdmissionReport,
        room: &mut impl AdmissionRoom<Hold = H>,
        now: Moment,
    ) {
        let known = self.hosts.get(host);
        let is_same = known.is_some_and(|known| known.incarnation == report.incarnation);
        if is_same && known.is_some_and(|known| known.sequence >= report.sequence) {
            return;
        }
        let AdmissionReport { incarnation, sequence, waiting, settled } = report;
        let state = KnownHost { incarnation, sequence, heard_at: now, awaits_reply: true };
        self.hosts.insert(host.clone(), state);
        for number in settled {
            self.settle(host, number, room);
        }
        let tickets: BTreeSet<_> = waiting.iter().map(|request| request.ticket).collect();
        self.order.retain(|key, _| &key.0 != host || is_same && tickets.contains(&key.1));
        let held: BTreeSet<_> =
            self.holds.values().filter(|held| &held.key.0 == host).map(|held| held.key.1).collect();
        for request in waiting {
            if !held.contains(&request.ticket) {
                self.order.insert(host, request, now);
            }
        }
    }

    /// Frees the room of a grant that is used or given back.
    pub fn settle(
        &mut self,
        host: &HostId,
        number: GrantNumber,
        room: &mut impl AdmissionRoom<Hold = H>,
    ) {
        if self.holds.get(&number).is_some_and(|held| &held.key.0 == host) {
            if let Some(held) = self.holds.remove(&number) {
                room.release(held.hold);
            }
        }
    }

    /// Returns the services that requests wait for.
    #[must_use]
    pub fn short_services(&self) -> BTreeSet<ServiceId> {
        self.order.iter().map(|(_, entry)| entry.request.service.clone()).collect()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of grants that no usage has shown yet.
    #[must_use]
    pub fn outstanding(&self) -> usize {
        self.holds.len()
    }

    /// Returns `true` if this host may grant room now.
    #[must_use]
    pub fn may_grant(&self, reach: GrantorReach, now: Moment) -> bool {
        let is_settled =
            self.leading_since.is_some_and(|since| now.since(since) >= Self::TAKEOVER_TIME);
        let is_recent = self.led_at.is_some_and(|at| now.since(at) < Self::LEAD_TIME);
        is_settled && is_recent && reach.is_majority()
    }

    /// Decides on all waiting requests; returns the replies to hosts and what was decided.
    ///
    /// A host gets a reply if it has reported since the last round, or something was decided for it.
    pub fn decide(
        &mut self,
        room: &mut impl AdmissionRoom<Hold = H>,
        reach: GrantorReach,
        now: Moment,
    ) -> (BTreeMap<HostId, AdmissionReply>, Vec<AdmissionDecision>) {
        self.evict(room, now);
        if !self.may_grant(reach, now) {
            return Default::default();
        }
        let mut decisions = Vec::new();
        let mut outcomes: BTreeMap<HostId, Vec<_>> = BTreeMap::new();
        let waiting = self.order.len();
        let mut record = |key: RequestKey, outcome| {
            let outcome: AdmissionOutcome = outcome;
            decisions.push(AdmissionDecision {
                host: key.0.clone(),
                ticket: key.1,
                outcome: outcome.clone(),
                waiting,
            });
            outcomes.entry(key.0).or_default().push((key.1, outcome));
        };
        // A lost grant is repeated with the same room.
        for (number, held) in &self.holds {
            let endpoints = room.endpoints(&held.hold);
            let outcome = AdmissionOutcome::Granted { number: *number, endpoints };
            if self.hosts.get(&held.key.0).is_some_and(|known| known.awaits_reply) {
                record(held.key.clone(), outcome);
            }
        }
        let mut rejected: BTreeSet<RequestKey> = BTreeSet::new();
        for _ in 0..Self::MAX_ROUND_GRANTS {
            let Some((key, outcome)) = self.grant_next(room, &mut rejected, now) else { break };
            record(key, outcome);
        }
        for key in self.hopeless(reach, room, now) {
            self.order.remove(&key);
            let return_in = self.returns.next_return(now, Self::MAX_RETURN);
            let return_in_ms = u32::try_from(return_in.as_millis()).unwrap_or(u32::MAX);
            record(key, AdmissionOutcome::Refused { return_in_ms });
        }
        let order = self.order.sorted(true, |organisation| room.excess(organisation));
        for (place, (host, ticket)) in order.into_iter().enumerate() {
            if self.hosts.get(&host).is_some_and(|known| known.awaits_reply) {
                let place = u32::try_from(place).unwrap_or(u32::MAX);
                let outcome = AdmissionOutcome::Waiting { place };
                outcomes.entry(host).or_default().push((ticket, outcome));
            }
        }
        let mut replies = BTreeMap::new();
        for (host, known) in &mut self.hosts {
            let found = outcomes.remove(host);
            if found.is_some() || std::mem::take(&mut known.awaits_reply) {
                let outcomes = found.unwrap_or_default();
                let KnownHost { incarnation, sequence, .. } = *known;
                replies.insert(host.clone(), AdmissionReply { incarnation, sequence, outcomes });
            }
            known.awaits_reply = false;
        }
        (replies, decisions)
    }

    /// Grants room to the next request in order that finds some.
    fn grant_next(
        &mut self,
        room: &mut impl AdmissionRoom<Hold = H>,
        rejected: &mut BTreeSet<RequestKey>,
        now: Moment,
    ) -> Option<(RequestKey, AdmissionOutcome)> {
        let by_rank = self.grants % Self::GRANTS_PER_UNRANKED != Self::GRANTS_PER_UNRANKED - 1;
        let order = self.order.sorted(by_rank, |organisation| room.excess(organisation));
        // The first request of each service that found no room, and the number of those.
        let mut failures: BTreeMap<ServiceId, (RequestKey, u32)> = BTreeMap::new();
        for key in order {
            let Some(entry) = self.order.get(&key) else { continue };
            let request = entry.request.clone();
            let failed = failures.get(&request.service);
            let is_closed = failed.is_some_and(|(first, count)| {
                *count >= Self::MAX_FAILED_HOLDS || self.is_reserved(first)
            });
            if is_closed {
                continue;
            }
            let hold = if rejected.contains(&key) { None } else { room.hold(&request) };
            let Some(hold) = hold else {
                rejected.insert(key.clone());
                let first = (key, 0);
                failures.entry(request.service).or_insert(first).1 += 1;
                continue;
            };
            if let Some((first, _)) = failures.get(&request.service) {
                self.order.record_overtaken(first);
            }
            self.order.remove(&key);
            self.grants += 1;
            self.next_number += 1;
            let number = GrantNumber(self.next_number);
            let endpoints = room.endpoints(&hold);
            self.holds.insert(number, HeldGrant { key: key.clone(), hold, granted_at: now });
            return Some((key, AdmissionOutcome::Granted { number, endpoints }));
        }
        None
    }

    /// Returns `true` if room is left for a request that others have overtaken.
    fn is_reserved(&self, key: &RequestKey) -> bool {
        self.order.get(key).is_some_and(|entry| entry.overtaken >= Self::MAX_OVERTAKEN)
    }

    /// Returns the requests that reported just now and can't be served within their waits, by the rate at
    /// which streams end and the returns that are promised.
    fn hopeless(
        &self,
        reach: GrantorReach,
        room: &impl AdmissionRoom<Hold = H>,
        now: Moment,
    ) -> Vec<RequestKey> {
        let order = self.order.sorted(true, |organisation| room.excess(organisation));
        let mut places: BTreeMap<&ServiceId, usize> = BTreeMap::new();
        let mut found = Vec::new();
        for key in &order {
            let Some(entry) = self.order.get(key) else { continue };
            let place = places.entry(&entry.request.service).or_default();
            *place += 1;
            if !self.hosts.get(&key.0).is_some_and(|known| known.awaits_reply) {
                continue;
            }
            let left = entry.expires_at.since(now);
            let ends = self.returns.expected_ends(left, now);
            let capacity = ends - self.returns.promised_within(left, now) as f64;
            if *place as f64 > capacity.max(reach.hosts as f64) {
                found.push(key.clone());
                *place -= 1;
            }
        }
        found
    }

    fn evict(&mut self, room: &mut impl AdmissionRoom<Hold = H>, now: Moment) {
        let hosts = &self.hosts;
        self.order.retain(|key, entry| {
            let is_live = hosts
                .get(&key.0)
                .is_some_and(|known| now.since(known.heard_at) < Self::HOST_RETENTION);
            is_live && entry.expires_at > now
        });
        let lapsed: Vec<GrantNumber> = self
            .holds
            .iter()
            .filter(|(_, held)| {
                let age = now.since(held.granted_at);
                // The report was sent after the grant's validity had ended.
                let is_shown = hosts.get(&held.key.0).is_some_and(|known| {
                    known.heard_at.since(held.granted_at) >= Self::HOLD_TIME / 2
                });
                age >= Self::LOST_TIME || age >= Self::HOLD_TIME && is_shown
            })
            .map(|(number, _)| *number)
            .collect();
        self.hosts.retain(|_, known| now.since(known.heard_at) < Self::KNOWN_TIME);
        for number in lapsed {
            if let Some(held) = self.holds.remove(&number) {
                room.release(held.hold);
            }
        }
    }
}

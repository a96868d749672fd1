//! Turns of requests at endpoints that take a limited rate from all hosts together.
//!
//! The leader of an endpoint's availability zone grants them, at the endpoint's limit times the part
//! of the fleet's hosts that can ask it. A host that cannot takes its own part of the limit without it,
//! so that the parts add up to the limit.

use {
    crate::process::GatewayState,
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{EndpointId, ServiceId, ZoneId},
        process::{EndpointLife, FleetReach, LimitReport, TurnReply, TurnRequest},
        request::RequestRate,
    },
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Who grants the turns at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TurnGranter {
    ThisHost,
    Peer(SocketAddr),
    /// Nobody whom this host reaches: it has its own share.
    Nobody,
}

/// A query for a turn, as it is sent to the host that grants it.
#[derive(Clone, Debug)]
#[derive(serde::Serialize, serde::Deserialize)]
pub(crate) struct TurnQuery {
    pub(super) life: EndpointLife,
    /// What the querying host knows of the limit, and the rate that follows.
    pub(super) limit: LimitReport,
    pub(super) rate: RequestRate,
    pub(super) max_wait_ms: u32,
}

/// The permission to send one request to an endpoint.
///
/// A turn that is dropped before it is used goes back to the host that granted it.
pub struct SendTurn {
    state: Rc<GatewayState>,
    life: EndpointLife,
    /// `None` if the endpoint had no limit.
    granter: Option<TurnGranter>,
    is_used: Cell<bool>,
}

impl SendTurn {
    /// Returns `true` unless the endpoint has named a limit since the turn was taken.
    pub(super) fn covers(&self, endpoint: &EndpointId, is_limited: bool) -> bool {
        &self.life.endpoint == endpoint && (self.granter.is_some() || !is_limited)
    }

    /// Records that the request is being sent.
    pub(super) fn mark_used(&self) {
        self.is_used.set(true);
    }

    /// Gives the turn back although it was used: not a byte of the request has left.
    pub fn close(self) {
        self.is_used.set(false);
    }
}

impl Drop for SendTurn {
    fn drop(&mut self) {
        if self.is_used.get() {
            return;
        }
        match self.granter {
            Some(TurnGranter::ThisHost) => self.state.take_turn_back(&self.life),
            Some(TurnGranter::Peer(address)) => {
                self.state.exchange.return_turn(address, self.life.clone());
            }
            Some(TurnGranter::Nobody) | None => {}
        }
    }
}

impl GatewayState {
    /// Number of queries for a turn until the host that grants it counts as silent.
    const MAX_TURN_QUERIES: u32 = 2;
    /// Upper bound of the time over which refused callers return.
    const MAX_RETURN_SPREAD: Duration = Duration::from_secs(5);

    /// Waits for a turn to send a request to an endpoint, for up to `max_wait`.
    ///
    /// Returns `None` if no turn is free in time, and if the endpoint takes no new work any more;
    /// plans and choices leave it out then.
    pub async fn acquire_turn(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        max_wait: Duration,
    ) -> Option<SendTurn> {
        let (life, zone) = {
            let directory = self.directory.borrow();
            let entry = directory.entry(endpoint)?;
            (entry.life(), entry.zone.clone())
        };
        let turn = |granter| SendTurn {
            state: Rc::clone(self),
            life: life.clone(),
            granter,
            is_used: Cell::default(),
        };
        let now = self.now();
        let rate = self.directory.borrow().request_rate(endpoint, now);
        let Some(rate) = rate else { return Some(turn(None)) };
        let request = TurnRequest { life: &life, limit: rate, max_wait };
        let (granter, reply) = self.request_turn(&zone, request).await;
        self.directory.borrow_mut().record_turn_reply(endpoint, reply, self.now());
        let TurnReply::Granted { delay } = reply else {
            self.metrics.count_turn(false);
            return None;
        };
        self.metrics.count_turn(true);
        let turn = turn(Some(granter));
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let directory = self.directory.borrow();
        let entry = directory.entry(endpoint);
        let is_usable =
            entry.is_some_and(|entry| entry.incarnation == life.incarnation && !entry.is_leaving);
        is_usable.then_some(turn)
    }

    /// Asks for a turn, and returns who has answered.
    async fn request_turn(
        &self,
        zone: &ZoneId,
        request: TurnRequest<'_>,
    ) -> (TurnGranter, TurnReply) {
        let granter = self.turn_granter(zone);
        let address = match granter {
            TurnGranter::ThisHost => return (granter, self.grant_own_turn(request)),
            TurnGranter::Peer(address) => Some(address),
            TurnGranter::Nobody => None,
        };
        if let Some(address) = address {
            if let Some(reply) = self.query_turn(address, request).await {
                return (granter, reply);
            }
        }
        let (reach, spread, now) = (self.fleet_reach(), fastrand::f64(), self.now());
        let mut turns = self.turns.borrow_mut();
        (TurnGranter::Nobody, turns.take_share(request, address, reach, spread, now))
    }

    fn turn_granter(&self, zone: &ZoneId) -> TurnGranter {
        let own_zone = &self.settings.zone;
        if zone == own_zone && self.is_zone_leader() {
            return TurnGranter::ThisHost;
        }
        let address = if zone == own_zone {
            self.peer_address(&self.zone_leader())
        } else {
            self.exchange.zone_leader_address(zone, self.now())
        };
        address.map_or(TurnGranter::Nobody, TurnGranter::Peer)
    }

    /// Asks the host that grants an endpoint's turns, twice if the first message may be lost.
    async fn query_turn(&self, granter: SocketAddr, request: TurnRequest<'_>) -> Option<TurnReply> {
        let TurnRequest { life, limit: rate, max_wait } = request;
        if !self.turns.borrow().may_ask(granter, self.now()) {
            return None;
        }
        for _ in 0..Self::MAX_TURN_QUERIES {
            let asked_at = self.now();
            let limit = self.directory.borrow().limit_report(&life.endpoint, asked_at)?;
            let max_wait_ms = u32::try_from(max_wait.as_millis()).unwrap_or(u32::MAX);
            let query = TurnQuery { life: life.clone(), limit, rate, max_wait_ms };
            let answer = self.exchange.query_turn(granter, query).await;
            self.turns.borrow_mut().record_query(granter, answer.is_some(), asked_at);
            if let Some(answer) = answer {
                return answer;
            }
        }
        None
    }

    /// Answers a query for a turn; `None` if this host does not lead the endpoint's zone, or does not
    /// know the fleet yet: the querying host has its own share then.
    pub(super) fn grant_turn(&self, query: TurnQuery) -> Option<TurnReply> {
        let TurnQuery { life, limit, rate, max_wait_ms } = query;
        let now = self.now();
        let mut directory = self.directory.borrow_mut();
        directory.merge_limit(&life.endpoint, limit, now);
        let entry = directory.entry(&life.endpoint);
        let is_own_zone = entry.is_none_or(|entry| entry.zone == self.settings.zone);
        // An endpoint that is not listed here yet has the limit that the querying host knows.
        let known = entry.is_some().then(|| directory.request_rate(&life.endpoint, now));
        drop(directory);
        if !is_own_zone || !self.is_zone_leader() || !self.membership.borrow().is_known() {
            return None;
        }
        let Some(rate) = known.unwrap_or(Some(rate)) else {
            return Some(TurnReply::Granted { delay: Duration::ZERO });
        };
        let max_wait = Duration::from_millis(u64::from(max_wait_ms));
        Some(self.grant_own_turn(TurnRequest { life: &life, limit: rate, max_wait }))
    }

    fn grant_own_turn(&self, request: TurnRequest<'_>) -> TurnReply {
        let (reach, spread, now) = (self.fleet_reach(), fastrand::f64(), self.now());
        self.turns.borrow_mut().grant(request, reach, spread, now)
    }

    /// Takes back a turn that was not used.
    pub(super) fn take_turn_back(&self, life: &EndpointLife) {
        self.turns.borrow_mut().give_back(life);
    }

    /// Records whether this host leads its zone, and forgets turns at endpoints without a limit.
    pub(super) fn refresh_turns(&self, is_zone_leader: bool) {
        let now = self.now();
        let directory = self.directory.borrow();
        let mut turns = self.turns.borrow_mut();
        turns.record_lead(is_zone_leader, now);
        turns.retain_limited(|endpoint| directory.request_rate(endpoint, now).is_some());
    }

    /// Returns a random time over which callers of a service return, so that each finds a turn.
    ///
    /// It is zero unless all endpoints of the service take a limited rate.
    pub fn return_spread(&self, service: &ServiceId) -> Duration {
        let rate = self.directory.borrow().service_rate(service, self.now());
        let interval = rate.and_then(RequestRate::interval).unwrap_or_default();
        let spread = interval
            .saturating_mul(u32::try_from(self.fleet_reach().fleet_size()).unwrap_or(u32::MAX));
        spread.min(Self::MAX_RETURN_SPREAD).mul_f64(fastrand::f64())
    }

    /// Returns the number of hosts of the own zone whose messages arrive, this one included.
    pub(super) fn live_members(&self) -> usize {
        self.members.borrow().live(self.now()).count() + 1
    }

    /// Logs how much of the fleet this host knows and reaches, if that has changed.
    pub(super) fn log_fleet_reach(&self) {
        let reach = self.fleet_reach();
        if self.logged_reach.replace(Some(reach)) == Some(reach) {
            return;
        }
        let rank = if reach.is_majority() { "a majority" } else { "no majority" };
        LogEvent::FleetReachChanged.log(format_args!(
            "{} hosts known, messages of {} arrive, this host included: {rank}",
            reach.fleet_size(),
            reach.reachable
        ));
    }

    /// Returns how much of the fleet this host knows and reaches.
    pub(super) fn fleet_reach(&self) -> FleetReach {
        let membership = self.membership.borrow();
        let foreign = self.exchange.live_foreign_hosts(&membership, self.now());
        FleetReach {
            reachable: self.live_members() + foreign,
            hosts: membership.fleet_hosts(),
            is_known: membership.is_known(),
        }
    }
}

use {
    crate::{
        ids::{EndpointId, Moment},
        process::{EndpointLife, FleetReach, HostShare, TurnReply, TurnSchedule},
        request::RequestRate,
    },
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// A request for a turn at an endpoint that takes a limited rate.
#[derive(Clone, Copy, Debug)]
pub struct TurnRequest<'a> {
    /// The endpoint.
    pub life: &'a EndpointLife,
    /// Its limit.
    pub limit: RequestRate,
    /// How long the request can wait.
    pub max_wait: Duration,
}

/// The turns at endpoints that take a limited rate, as one host sees them.
///
/// The leader of an endpoint's availability zone grants its turns. A host falls back to its own share
/// of the limit once its queries have been unanswered for so long that the leader no longer counts it;
/// a single lost message does not suffice.
#[derive(Clone, Debug, Default)]
pub struct TurnBroker {
    schedules: BTreeMap<EndpointLife, TurnSchedule>,
    shares: BTreeMap<EndpointLife, HostShare>,
    /// When this host last made sure that it leads its zone.
    led_at: Option<Moment>,
    silences: HashMap<SocketAddr, GranterSilence>,
}

/// A time in which a host that grants turns left all queries unanswered.
#[derive(Clone, Copy, Debug)]
struct GranterSilence {
    began_at: Moment,
    asked_at: Moment,
}

impl TurnBroker {
    /// Time after which others lead the zone of a host that has not shown itself.
    const LEAD_TIME: Duration = Duration::from_millis(700);
    /// Silence after which the granter no longer counts this host, if messages to it are lost as well.
    const SILENCE_TIME: Duration = Duration::from_millis(1_500);
    /// Interval between two queries to a silent granter; requests are refused in between.
    const QUERY_INTERVAL: Duration = Duration::from_millis(150);
    /// Upper bounds of the tables.
    const MAX_SCHEDULES: usize = 4_096;
    const MAX_SILENCES: usize = 1_024;

    /// Records whether this host leads its zone, before it tells its peers.
    pub fn record_lead(&mut self, is_leader: bool, now: Moment) {
        self.forget_former_lead(now);
        self.led_at = is_leader.then_some(now);
        if !is_leader {
            self.schedules.clear();
        }
    }

    /// Grants a turn as the leader of the endpoint's zone.
    ///
    /// `spread`, from 0 to 1, should differ between hosts.
    pub fn grant(
        &mut self,
        request: TurnRequest<'_>,
        reach: FleetReach,
        spread: f64,
        now: Moment,
    ) -> TurnReply {
        let TurnRequest { life, limit, max_wait } = request;
        self.forget_former_lead(now);
        self.led_at.get_or_insert(now);
        if !reach.is_known {
            return TurnReply::Refused { free_in: Self::QUERY_INTERVAL };
        }
        let rate = reach.granted_rate(limit);
        if !reach.is_majority() {
            self.schedules.remove(life);
            let share = self.shares.entry(life.clone()).or_default();
            return share.acquire(rate, spread, max_wait, now);
        }
        if !self.schedules.contains_key(life) && self.schedules.len() >= Self::MAX_SCHEDULES {
            return TurnReply::Refused { free_in: Self::QUERY_INTERVAL };
        }
        let schedule = self.schedules.entry(life.clone());
        schedule.or_insert_with(|| TurnSchedule::new(rate, now)).acquire(rate, max_wait, now)
    }

    /// Takes a turn back that this host has granted.
    pub fn give_back(&mut self, life: &EndpointLife) {
        if let Some(schedule) = self.schedules.get_mut(life) {
            schedule.give_back();
        }
    }

    /// Takes a turn from this host's own part of the limit, if `granter` has been silent for long, or
    /// nobody is known who grants turns.
    ///
    /// `spread`, from 0 to 1, should differ between hosts.
    pub fn take_share(
        &mut self,
        request: TurnRequest<'_>,
        granter: Option<SocketAddr>,
        reach: FleetReach,
        spread: f64,
        now: Moment,
    ) -> TurnReply {
        let TurnRequest { life, limit, max_wait } = request;
        let silence = granter.and_then(|granter| self.silences.get(&granter));
        let is_silent = silence.is_some_and(|found| now.since(found.began_at) < Self::SILENCE_TIME);
        if is_silent || !reach.is_known {
            return TurnReply::Refused { free_in: Self::QUERY_INTERVAL };
        }
        let share = self.shares.entry(life.clone()).or_default();
        share.acquire(reach.own_rate(limit), spread, max_wait, now)
    }

    /// Returns `true` if a granter may be queried now: it responds, or the query interval has passed.
    #[must_use]
    pub fn may_ask(&self, granter: SocketAddr, now: Moment) -> bool {
        let silence = self.silences.get(&granter);
        silence.is_none_or(|found| now.since(found.asked_at) >= Self::QUERY_INTERVAL)
    }

    /// Records whether a granter answered a query that was sent at `asked_at`.
    pub fn record_query(&mut self, granter: SocketAddr, is_answered: bool, asked_at: Moment) {
        if is_answered {
            self.silences.remove(&granter);
            return;
        }
        if self.silences.len() >= Self::MAX_SILENCES {
            self.silences.clear();
        }
        let new = GranterSilence { began_at: asked_at, asked_at };
        self.silences.entry(granter).or_insert(new).asked_at = asked_at;
    }

    /// Evicts endpoints without a limit.
    pub fn retain_limited(&mut self, is_limited: impl Fn(&EndpointId) -> bool) {
        self.schedules.retain(|life, _| is_limited(&life.endpoint));
        self.shares.retain(|life, _| is_limited(&life.endpoint));
    }

    /// Forgets what this host granted if it has been away: others have granted turns since.
    fn forget_former_lead(&mut self, now: Moment) {
        if self.led_at.is_some_and(|led_at| now.since(led_at) >= Self::LEAD_TIME) {
            self.schedules.clear();
            self.led_at = None;
        }
    }
}

use {
    crate::ids::{HostId, Moment, ServiceId, ZoneId},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddrV4,
        time::Duration,
    },
};

/// A host's ability to send requests of other hosts to endpoints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct CarrierStatus {
    /// Whether it is stopping.
    pub is_stopping: bool,
    /// Services to whose endpoints it has no way.
    pub lost: BTreeSet<ServiceId>,
}

impl CarrierStatus {
    /// Returns `true` if the host may be asked to carry requests for any service.
    #[must_use]
    pub fn is_fit(&self) -> bool {
        !self.is_stopping && self.lost.is_empty()
    }

    fn is_fit_for(&self, service: &ServiceId) -> bool {
        !self.is_stopping && !self.lost.contains(service)
    }
}

/// A host that sends requests of another one to endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestCarrier {
    /// Its name.
    pub host: HostId,
    /// The address at which it takes requests of other hosts.
    pub address: SocketAddrV4,
}

/// A host as the platform's store lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address of its messages.
    pub peer_address: SocketAddrV4,
    /// The address at which it takes requests of other hosts, if it does.
    pub carry_address: Option<SocketAddrV4>,
    /// Token that authenticates the requests that it hands over; 0 if it hands none over.
    pub carry_token: u64,
}

/// The other hosts of the fleet, and which of them can send requests to endpoints for this one.
///
/// Hosts of the own availability zone go first, those of other zones follow. Among them the host with
/// the fewest requests of this one is chosen, so that all carry alike.
#[derive(Clone, Debug, Default)]
pub struct CarrierDirectory {
    hosts: BTreeMap<HostId, KnownHost>,
    /// When the leader of each other zone was last heard.
    zones: BTreeMap<ZoneId, Moment>,
}

#[derive(Clone, Debug)]
struct KnownHost {
    listed: ListedHost,
    status: CarrierStatus,
    /// When a message of the host itself last arrived.
    heard_at: Moment,
    /// The host is not asked until then, since it refused or did not answer.
    avoided_until: Moment,
    /// Requests of this host that it carries.
    in_flight: u32,
}

impl CarrierDirectory {
    /// Time after the last message of a host, or of the leader of its zone, for which it may be asked.
    const RETENTION: Duration = Duration::from_millis(1_500);
    /// Time for which a host is not asked after it refused to carry a request.
    const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);
    /// Time for which a host is not asked after it did not answer.
    const FAILURE_BACKOFF: Duration = Duration::from_millis(1_000);

    /// Replaces the list of the other hosts; what is known of those that stay is kept.
    pub fn set_hosts(&mut self, hosts: BTreeMap<HostId, ListedHost>) {
        let mut known = std::mem::take(&mut self.hosts);
        for (host, listed) in hosts {
            let before = known.remove(&host);
            let before = before.filter(|before| before.listed.peer_address == listed.peer_address);
            let fresh = KnownHost {
                listed: listed.clone(),
                status: CarrierStatus::default(),
                heard_at: Moment::ORIGIN,
                avoided_until: Moment::ORIGIN,
                in_flight: 0,
            };
            self.hosts.insert(host, KnownHost { listed, ..before.unwrap_or(fresh) });
        }
    }

    /// Returns `true` if the token is the host's.
    #[must_use]
    pub fn is_token_of(&self, host: &HostId, token: u64) -> bool {
        let known = self.hosts.get(host).map(|known| known.listed.carry_token);
        token != 0 && known == Some(token)
    }

    /// Records a message of a host.
    pub fn record_host(&mut self, host: &HostId, status: CarrierStatus, now: Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.status = status;
            known.heard_at = now;
        }
    }

    /// Records a message of another zone's leader, which names the hosts of the zone that are not fit.
    pub fn record_zone(
        &mut self,
        zone: &ZoneId,
        unfit: &BTreeMap<HostId, CarrierStatus>,
        now: Moment,
    ) {
        for (host, known) in self.hosts.iter_mut().filter(|(_, known)| &known.listed.zone == zone) {
            known.status = unfit.get(host).cloned().unwrap_or_default();
        }
        self.zones.insert(zone.clone(), now);
    }

    /// Returns the hosts of a zone that are not fit, for the other zones.
    #[must_use]
    pub fn unfit(&self, zone: &ZoneId, now: Moment) -> BTreeMap<HostId, CarrierStatus> {
        let hosts = self.hosts.iter().filter(|(_, known)| &known.listed.zone == zone);
        let silent = CarrierStatus { is_stopping: true, lost: BTreeSet::new() };
        let status = |known: &KnownHost| {
            let is_silent = now.since(known.heard_at) >= Self::RETENTION;
            if is_silent {
                silent.clone()
            } else {
                known.status.clone()
            }
        };
        let named = hosts.map(|(host, known)| (host.clone(), status(known)));
        named.filter(|(_, status)| !status.is_fit()).collect()
    }

    /// Records that a host refused to carry a request.
    pub fn record_refusal(&mut self, host: &HostId, now: Moment) {
        self.avoid(host, now + Self::REFUSAL_BACKOFF);
    }

    /// Records that a host did not answer.
    pub fn record_failure(&mut self, host: &HostId, now: Moment) {
        self.avoid(host, now + Self::FAILURE_BACKOFF);
    }

    fn avoid(&mut self, host: &HostId, until: Moment) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.avoided_until = known.avoided_until.max(until);
        }
    }

    /// Records that a host begins to carry a request of this one.
    pub fn record_start(&mut self, host: &HostId) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.in_flight += 1;
        }
    }

    /// Records that a host no longer carries a request of this one.
    pub fn record_end(&mut self, host: &HostId) {
        if let Some(known) = self.hosts.get_mut(host) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// Chooses a host that can carry a request for a service; `spread`, from 0 to 1, decides between
    /// equal ones.
    #[must_use]
    pub fn choose(
        &self,
        service: &ServiceId,
        own_zone: &ZoneId,
        excluded: &[HostId],
        spread: f64,
        now: Moment,
    ) -> Option<RequestCarrier> {
        let fit = self.fit(service, own_zone, now);
        let left = fit.filter(|(host, known)| {
            known.listed.carry_address.is_some() && !excluded.contains(host)
        });
        let rank = |known: &KnownHost| (&known.listed.zone != own_zone, known.in_flight);
        let mut best: Vec<(&HostId, &KnownHost)> = Vec::new();
        for found in left {
            match best.first().map(|first| rank(found.1).cmp(&rank(first.1))) {
                Some(std::cmp::Ordering::Greater) => {}
                Some(std::cmp::Ordering::Equal) => best.push(found),
                Some(std::cmp::Ordering::Less) | None => best = vec![found],
            }
        }
        let index = (spread.clamp(0.0, 1.0) * best.len() as f64) as usize;
        let (host, known) = best.get(index.min(best.len().saturating_sub(1)))?;
        Some(RequestCarrier { host: (*host).clone(), address: known.listed.carry_address? })
    }

    /// Returns the message addresses of hosts that can be asked whether they reach a service, at most
    /// `count` of the own zone and as many of the others; `spread`, from 0 to 1, decides which.
    ///
    /// Each question should ask others: hosts that are cut but do not know it yet reach nothing either.
    #[must_use]
    pub fn witnesses(
        &self,
        service: &ServiceId,
        own_zone: &ZoneId,
        count: usize,
        spread: f64,
        now: Moment,
    ) -> Vec<SocketAddrV4> {
        let fit = self.fit(service, own_zone, now).map(|(_, known)| &known.listed);
        let (mut own, mut foreign): (Vec<_>, Vec<_>) =
            fit.partition(|listed| &listed.zone == own_zone);
        for hosts in [&mut own, &mut foreign] {
            let start = (spread.clamp(0.0, 1.0) * hosts.len() as f64) as usize;
            let start = start.min(hosts.len());
            hosts.rotate_left(start);
        }
        let chosen = own.into_iter().take(count).chain(foreign.into_iter().take(count));
        chosen.map(|listed| listed.peer_address).collect()
    }

    fn fit<'a>(
        &'a self,
        service: &'a ServiceId,
        own_zone: &'a ZoneId,
        now: Moment,
    ) -> impl Iterator<Item = (&'a HostId, &'a KnownHost)> {
        let is_live = move |known: &KnownHost| {
            let zone_heard_at =
                self.zones.get(&known.listed.zone).copied().unwrap_or(Moment::ORIGIN);
            let heard_at =
                if &known.listed.zone == own_zone { known.heard_at } else { zone_heard_at };
            heard_at > Moment::ORIGIN && now.since(heard_at) < Self::RETENTION
        };
        self.hosts.iter().filter(move |(_, known)| {
            now >= known.avoided_until && known.status.is_fit_for(service) && is_live(known)
        })
    }
}

use {
    crate::ids::{Moment, ServiceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Reachability of each service's endpoints from this host.
///
/// An endpoint that does not respond has failed as long as others of its service accept connections from
/// this host. If none does while another host reaches them, this host has lost its way to the service,
/// and its failures are no evidence against endpoints.
///
/// ```
/// use cassiafield_core::{ids::Moment, process::EndpointReach};
///
/// let (service, at) = ("advice".parse()?, Moment::from_millis);
/// let mut reach = EndpointReach::default();
/// reach.record_connection(&service, at(1_000));
/// assert!(reach.is_sound_since(&service, at(900)));
/// reach.record_loss(&service, at(2_000));
/// assert!(reach.is_lost(&service));
/// reach.record_trial(&service, true, at(2_400));
/// reach.record_trial(&service, true, at(2_500));
/// assert!(!reach.is_lost(&service));
/// # Ok::<(), cassiafield_core::ids::IdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointReach {
    services: BTreeMap<ServiceId, ServiceReach>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServiceReach {
    /// Latest start of a connection that was opened.
    connected_at: Moment,
    /// When an endpoint last answered.
    answered_at: Moment,
    /// Latest start of a check that found no host with a way, so that the endpoints themselves failed.
    judged_at: Moment,
    loss: Option<WayLoss>,
}

/// A time in which a host has no way to a service's endpoints.
#[derive(Clone, Copy, Debug)]
struct WayLoss {
    since: Moment,
    next_trial: Moment,
    /// Number of trials in a row that reached an endpoint.
    successes: u32,
}

impl EndpointReach {
    /// Time from the loss of a way, or from a trial that failed, to the next trial.
    const TRIAL_INTERVAL: Duration = Duration::from_millis(400);
    /// Time from a trial that succeeded to the one that confirms it.
    const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);
    /// Number of consecutive trials that must reach an endpoint; links may flap.
    const MIN_SUCCESSES: u32 = 2;

    /// Records that a connection to an endpoint of a service was opened, which began at `started_at`.
    pub fn record_connection(&mut self, service: &ServiceId, started_at: Moment) {
        let known = self.known(service);
        known.connected_at = known.connected_at.max(started_at);
        known.answered_at = known.answered_at.max(started_at);
    }

    /// Records that an endpoint of a service has answered at `at`.
    pub fn record_answer(&mut self, service: &ServiceId, at: Moment) {
        let known = self.known(service);
        known.answered_at = known.answered_at.max(at);
    }

    /// Records that a check which began at `started_at` found no other host that reaches the service.
    pub fn record_general_failure(&mut self, service: &ServiceId, started_at: Moment) {
        let known = self.known(service);
        known.judged_at = known.judged_at.max(started_at);
    }

    /// Returns `true` if failures that began at `at` are known to be those of endpoints: a connection to
    /// another one was opened since, or no host reached any.
    #[must_use]
    pub fn is_sound_since(&self, service: &ServiceId, at: Moment) -> bool {
        self.services
            .get(service)
            .is_some_and(|known| known.connected_at >= at || known.judged_at >= at)
    }

    /// Returns `true` if an endpoint of the service has answered at `at` or later.
    #[must_use]
    pub fn has_answered_since(&self, service: &ServiceId, at: Moment) -> bool {
        self.services.get(service).is_some_and(|known| known.answered_at >= at)
    }

    /// Returns whether the host has reached the service's endpoints since a moment; `None` if that must
    /// be tried.
    ///
    /// An earlier answer does not count: the endpoints may have ended since.
    #[must_use]
    pub fn is_reached_since(&self, service: &ServiceId, at: Moment) -> Option<bool> {
        let known = self.services.get(service)?;
        if known.loss.is_some() {
            return Some(false);
        }
        (known.answered_at >= at).then_some(true)
    }

    /// Records that the host has no way to a service's endpoints; returns `true` if that is news.
    pub fn record_loss(&mut self, service: &ServiceId, now: Moment) -> bool {
        let known = self.known(service);
        let is_news = known.loss.is_none();
        known.loss.get_or_insert(WayLoss {
            since: now,
            next_trial: now + Self::TRIAL_INTERVAL,
            successes: 0,
        });
        is_news
    }

    /// Returns `true` if the host has no way to the service's endpoints.
    #[must_use]
    pub fn is_lost(&self, service: &ServiceId) -> bool {
        self.services.get(service).is_some_and(|known| known.loss.is_some())
    }

    /// Returns the services to whose endpoints the host has no way.
    pub fn lost(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.iter().filter(|(_, known)| known.loss.is_some()).map(|(service, _)| service)
    }

    /// Returns the services whose way is due to be tried again.
    pub fn due_trials(&self, now: Moment) -> impl Iterator<Item = &ServiceId> {
        let is_due =
            move |known: &ServiceReach| known.loss.is_some_and(|loss| loss.next_trial <= now);
        self.services.iter().filter(move |(_, known)| is_due(known)).map(|(service, _)| service)
    }

    /// Records a trial of a lost way; returns how long it was lost if it is back.
    pub fn record_trial(
        &mut self,
        service: &ServiceId,
        is_success: bool,
        now: Moment,
    ) -> Option<Duration> {
        let known = self.known(service);
        let loss = known.loss.as_mut()?;
        if !is_success {
            *loss = WayLoss { next_trial: now + Self::TRIAL_INTERVAL, successes: 0, ..*loss };
            return None;
        }
        loss.successes += 1;
        loss.next_trial = now + Self::CONFIRMATION_DELAY;
        let since = (loss.successes >= Self::MIN_SUCCESSES).then_some(loss.since)?;
        known.loss = None;
        Some(now.since(since))
    }

    /// Forgets the services for which `is_known` returns `false`.
    pub fn retain(&mut self, mut is_known: impl FnMut(&ServiceId) -> bool) {
        self.services.retain(|service, _| is_known(service));
    }

    fn known(&mut self, service: &ServiceId) -> &mut ServiceReach {
        self.services.entry(service.clone()).or_default()
    }
}

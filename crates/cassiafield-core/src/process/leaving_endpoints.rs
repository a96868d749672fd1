use {
    crate::{
        ids::{EndpointId, Moment},
        process::{EndpointIncarnation, EndpointLife},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Endpoints that announced in a response or in their entry that they are leaving.
///
/// A notice applies to the incarnation that gave it, whatever its entry says later, and outlives an entry
/// that lapses.
#[derive(Clone, Debug, Default)]
pub struct LeavingEndpoints {
    heard: BTreeMap<EndpointId, LeavingNotice>,
}

#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    incarnation: EndpointIncarnation,
    heard_at: Moment,
}

impl LeavingEndpoints {
    /// Time for which an endpoint that is not listed is remembered; the longest departures take less.
    const RETENTION: Duration = Duration::from_secs(600);

    /// Records the notice of an endpoint's run; returns `true` if it is the first of that run or a later one.
    pub fn record(&mut self, life: &EndpointLife, now: Moment) -> bool {
        let EndpointLife { endpoint, incarnation } = life;
        if self.heard.get(endpoint).is_some_and(|known| known.incarnation > *incarnation) {
            return false;
        }
        let notice = LeavingNotice { incarnation: *incarnation, heard_at: now };
        let before = self.heard.insert(endpoint.clone(), notice);
        before.is_none_or(|known| known.incarnation < *incarnation)
    }

    /// Returns `true` if this incarnation of an endpoint, or a later one, is leaving.
    #[must_use]
    pub fn contains(&self, endpoint: &EndpointId, incarnation: EndpointIncarnation) -> bool {
        self.heard.get(endpoint).is_some_and(|notice| notice.incarnation >= incarnation)
    }

    /// Forgets endpoints that have not been listed for a long time.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&EndpointId) -> bool, now: Moment) {
        self.heard.retain(|endpoint, notice| {
            is_listed(endpoint) || now.since(notice.heard_at) < Self::RETENTION
        });
    }
}

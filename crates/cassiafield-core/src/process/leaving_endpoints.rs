use {
    crate::{
        ids::{EndpointId, Moment},
        process::EndpointIncarnation,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The endpoints that have said in an answer that they are leaving.
///
/// The word of an endpoint holds for the incarnation that gave it, whatever its entry in the list says,
/// and outlives an entry that lapses.
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

    /// Records that an endpoint said that it is leaving.
    pub fn record(&mut self, endpoint: &EndpointId, incarnation: EndpointIncarnation, now: Moment) {
        let notice = LeavingNotice { incarnation, heard_at: now };
        self.heard.insert(endpoint.clone(), notice);
    }

    /// Returns `true` if this incarnation of an endpoint, or a later one, said that it is leaving.
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

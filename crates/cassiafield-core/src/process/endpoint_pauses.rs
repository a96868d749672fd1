use {
    crate::{
        ids::{EndpointId, Moment},
        process::EndpointIncarnation,
        request::RetryAfter,
    },
    std::collections::BTreeMap,
};

/// The pauses that endpoints have asked this host for.
///
/// A pause belongs to one incarnation of an endpoint and outlives its entry in the list: an entry
/// that lapses and returns does not end it.
#[derive(Clone, Debug, Default)]
pub struct EndpointPauses {
    pauses: BTreeMap<EndpointId, EndpointPause>,
}

#[derive(Clone, Copy, Debug)]
struct EndpointPause {
    incarnation: EndpointIncarnation,
    ends_at: Moment,
}

impl EndpointPauses {
    /// Records that an endpoint asked for a pause at `now`, and returns when it ends.
    ///
    /// A pause is never shortened: each answer stands for itself.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        asked: RetryAfter,
        now: Moment,
    ) -> Moment {
        self.pauses.retain(|_, pause| pause.ends_at > now);
        let ends_at = now + asked.duration();
        let pause =
            self.pauses.entry(endpoint.clone()).or_insert(EndpointPause { incarnation, ends_at });
        if pause.incarnation < incarnation {
            *pause = EndpointPause { incarnation, ends_at };
        } else if pause.incarnation == incarnation {
            pause.ends_at = pause.ends_at.max(ends_at);
        }
        pause.ends_at
    }

    /// Returns when the pause of an endpoint's incarnation ends; `None` if there is none.
    #[must_use]
    pub fn ends_at(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> Option<Moment> {
        let pause = self.pauses.get(endpoint)?;
        (pause.incarnation >= incarnation && pause.ends_at > now).then_some(pause.ends_at)
    }
}

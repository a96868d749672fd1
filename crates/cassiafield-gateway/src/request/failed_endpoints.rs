use {
    cassiafield_core::{
        ids::{EndpointId, Moment},
        process::EndpointDirectory,
    },
    std::time::Duration,
};

/// Endpoints that did not respond to a request, refused it or broke its stream off.
///
/// The request may return to one that has responded since.
#[derive(Debug, Default)]
pub(super) struct FailedEndpoints {
    failures: Vec<EndpointFailure>,
}

/// The last failure of an endpoint.
#[derive(Debug)]
struct EndpointFailure {
    endpoint: EndpointId,
    failed_at: Moment,
    /// Time for which the request does not return.
    backoff: Duration,
}

impl FailedEndpoints {
    /// Time for which a request does not return to an endpoint that failed it; doubles with each failure.
    const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

    pub(super) fn record(&mut self, endpoint: EndpointId, failed_at: Moment) {
        let known = self.failures.iter_mut().find(|failure| failure.endpoint == endpoint);
        match known {
            Some(failure) => {
                failure.failed_at = failed_at;
                failure.backoff = failure.backoff.saturating_mul(2);
            }
            None => {
                let backoff = Self::INITIAL_BACKOFF;
                self.failures.push(EndpointFailure { endpoint, failed_at, backoff });
            }
        }
    }

    /// Forgets the failures of endpoints that `is_sound` accepts.
    pub(super) fn forget(&mut self, is_sound: impl Fn(&EndpointId) -> bool) {
        self.failures.retain(|failure| !is_sound(&failure.endpoint));
    }

    pub(super) fn is_empty(&self) -> bool {
        self.failures.is_empty()
    }

    pub(super) fn contains(&self, endpoint: &EndpointId) -> bool {
        self.iter().any(|failed| failed == endpoint)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &EndpointId> {
        self.failures.iter().map(|failure| &failure.endpoint)
    }

    /// Returns the endpoints that have responded since they failed and are in use again, and then the others.
    pub(super) fn split_returned(
        &self,
        directory: &EndpointDirectory,
        now: Moment,
    ) -> (Vec<EndpointId>, Vec<EndpointId>) {
        let has_returned = |failure: &&EndpointFailure| {
            let EndpointFailure { endpoint, failed_at, backoff } = failure;
            now.since(*failed_at) >= *backoff
                && directory.has_responded_since(endpoint, *failed_at)
                && !directory.is_suspect(endpoint, now)
        };
        let (returned, others): (Vec<_>, Vec<_>) = self.failures.iter().partition(has_returned);
        let names = |failures: Vec<&EndpointFailure>| {
            failures.into_iter().map(|failure| failure.endpoint.clone()).collect()
        };
        (names(returned), names(others))
    }
}

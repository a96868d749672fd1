use {
    crate::{
        ids::{EndpointId, Moment},
        process::EndpointIncarnation,
        request::RetryAfter,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The pauses that endpoints have asked this host for.
///
/// A pause belongs to one incarnation of an endpoint and outlives its entry in the list: an entry
/// that lapses and returns does not end it. After a pause requests return in steps: all at once
/// would bring the endpoint back to where it asked for the pause.
///
/// ```
/// use {
///     cassiafield_core::{ids::Moment, process::{EndpointIncarnation, EndpointPauses}},
///     std::time::Duration,
/// };
///
/// let (mut pauses, now) = (EndpointPauses::default(), Moment::from_millis(5_000));
/// let (endpoint, incarnation) = ("i-1".parse().unwrap(), EndpointIncarnation(1));
/// pauses.record(&endpoint, incarnation, "2".parse().unwrap(), 0.0, now);
/// let until = pauses.blocked_until(&endpoint, incarnation, now + Duration::from_secs(1));
/// assert_eq!(until, Some(now + Duration::from_secs(2)));
/// assert_eq!(pauses.blocked_until(&endpoint, EndpointIncarnation(2), now), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct EndpointPauses {
    pauses: BTreeMap<EndpointId, EndpointPause>,
}

#[derive(Clone, Copy, Debug)]
struct EndpointPause {
    incarnation: EndpointIncarnation,
    /// The latest incarnation that may have asked: it had started when the answer came.
    latest_incarnation: EndpointIncarnation,
    ends_at: Moment,
    /// Earliest time of the next request after the pause.
    next_send_at: Moment,
}

impl EndpointPauses {
    /// Time after a pause in which requests return in steps.
    const RETURN_TIME: Duration = Duration::from_secs(1);
    /// Time between the first two requests after a pause; it falls to zero over the return time.
    const FIRST_STEP: Duration = Duration::from_millis(100);
    /// Part of a pause by which hosts that were asked at the same time return apart, in percent.
    const SPREAD_PERCENT: u32 = 10;
    /// Upper bound of the time by which hosts return apart.
    const MAX_SPREAD: Duration = Duration::from_millis(500);

    /// Records that an endpoint asked for a pause at `now`, and returns when it ends.
    ///
    /// A pause is never shortened: each answer stands for itself. `spread`, from 0 to 1, delays the
    /// end a little; it should differ between hosts.
    pub fn record(
        &mut self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        asked: RetryAfter,
        spread: f64,
        now: Moment,
    ) -> Moment {
        self.pauses.retain(|_, pause| pause.ends_at + Self::RETURN_TIME > now);
        let length = asked.duration();
        let max_spread = (length * Self::SPREAD_PERCENT / 100).min(Self::MAX_SPREAD);
        let ends_at = now + length + max_spread.mul_f64(spread.clamp(0.0, 1.0));
        if length.is_zero() {
            return now;
        }
        let asked = EndpointPause {
            incarnation,
            latest_incarnation: incarnation,
            ends_at,
            next_send_at: ends_at,
        };
        let pause = self.pauses.entry(endpoint.clone()).or_insert(asked);
        if pause.incarnation < incarnation
            || pause.incarnation == incarnation && pause.ends_at < ends_at
        {
            *pause = asked;
        }
        pause.ends_at
    }

    /// Extends an endpoint's pause to its incarnations up to `latest`, which had started when the pause was
    /// asked for.
    ///
    /// An endpoint that has restarted may ask before its new entry is listed.
    pub fn extend(&mut self, endpoint: &EndpointId, latest: EndpointIncarnation) {
        if let Some(pause) = self.pauses.get_mut(endpoint) {
            pause.latest_incarnation = pause.latest_incarnation.max(latest);
        }
    }

    /// Records that a request is being sent to an endpoint.
    pub fn record_send(
        &mut self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) {
        let Some(pause) = self.pauses.get_mut(endpoint) else { return };
        let since_end = now.since(pause.ends_at);
        if pause.covers(incarnation) && since_end < Self::RETURN_TIME {
            let left = (Self::RETURN_TIME - since_end).as_secs_f64();
            pause.next_send_at =
                now + Self::FIRST_STEP.mul_f64(left / Self::RETURN_TIME.as_secs_f64());
        }
    }

    /// Returns until when nothing may be sent to an endpoint's incarnation; `None` if it may now.
    #[must_use]
    pub fn blocked_until(
        &self,
        endpoint: &EndpointId,
        incarnation: EndpointIncarnation,
        now: Moment,
    ) -> Option<Moment> {
        let pause = self.pauses.get(endpoint)?;
        let until = pause.ends_at.max(pause.next_send_at);
        (pause.covers(incarnation) && until > now).then_some(until)
    }
}

impl EndpointPause {
    /// Returns `true` if an incarnation, or a later one, asked for the pause, or may have.
    fn covers(&self, incarnation: EndpointIncarnation) -> bool {
        self.latest_incarnation >= incarnation
    }
}

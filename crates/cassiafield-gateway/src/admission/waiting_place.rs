use {
    crate::process::GatewayState,
    cassiafield_core::{
        admission::{AdmissionSource, AdmissionTicket, WaitVerdict},
        ids::{EndpointId, Moment},
    },
    std::{fmt, rc::Rc, time::Duration},
    tokio::{sync::Notify, time::timeout},
};

/// The place of a request among those that wait; it is left when this is dropped.
pub(crate) struct WaitingPlace {
    state: Rc<GatewayState>,
    ticket: AdmissionTicket,
    waker: Rc<Notify>,
}

impl WaitingPlace {
    pub(super) const fn new(
        state: Rc<GatewayState>,
        ticket: AdmissionTicket,
        waker: Rc<Notify>,
    ) -> Self {
        Self { state, ticket, waker }
    }

    /// Waits until there is something to do for the request.
    ///
    /// Room that it may use has been made free: it must plan without a pause.
    pub(crate) async fn next(&self) -> WaitVerdict {
        let desk = &self.state.admission;
        loop {
            let now = self.state.now();
            let verdict = desk.verdict(self.ticket, now);
            match verdict {
                WaitVerdict::Wait { until } => self.pause(until, now).await,
                WaitVerdict::UseGrant => desk.begin_use(self.ticket, &self.state),
                WaitVerdict::UseShare => desk.release_share(self.ticket, &self.state),
                WaitVerdict::TryOwnView | WaitVerdict::Refuse { .. } => {}
            }
            if !matches!(verdict, WaitVerdict::Wait { .. }) {
                return verdict;
            }
        }
    }

    /// Returns the endpoints whose room is granted to the request.
    pub(crate) fn granted_endpoints(&self) -> Vec<EndpointId> {
        self.state.admission.host.borrow().granted_endpoints(self.ticket)
    }

    async fn pause(&self, until: Moment, now: Moment) {
        // The verdict is asked for again in either case.
        drop(timeout(until.since(now), self.waker.notified()).await);
    }

    /// Waits a short time after a look for room without success; a grant is given back.
    pub(crate) async fn wait_again(&self, verdict: WaitVerdict) {
        if verdict == WaitVerdict::UseGrant {
            self.state.admission.return_grant(self.ticket, self.state.now());
        }
        self.state.admission.wait_for_room().await;
    }

    /// Leaves the place, with or without room.
    ///
    /// `return_in` is when the caller of a refused request should return, if the grantor has said so.
    pub(crate) fn close(self, is_admitted: bool, return_in: Option<Duration>) -> WaitSummary {
        let now = self.state.now();
        let host = self.state.admission.host.borrow();
        let (time, place) = host.place(self.ticket, now);
        let summary = WaitSummary {
            time,
            place,
            source: host.source(now),
            silence: host.silence(now),
            return_in,
        };
        drop(host);
        self.state.metrics.admission.record_wait(is_admitted, time);
        summary
    }
}

impl Drop for WaitingPlace {
    fn drop(&mut self) {
        self.state.admission.leave(self.ticket, self.state.now());
    }
}

/// How a request has waited, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitSummary {
    time: Duration,
    place: Option<u32>,
    source: AdmissionSource,
    silence: Duration,
    /// When the caller should return, if the grantor has said so.
    pub(crate) return_in: Option<Duration>,
}

impl fmt::Display for WaitSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "waited {} ms, decided by {}", self.time.as_millis(), self.source.name())?;
        if let Some(place) = self.place {
            write!(f, ", last behind {place} of the zone")?;
        }
        write!(f, ", grantor unanswered for {} ms", self.silence.as_millis())
    }
}

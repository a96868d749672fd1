//! Planning of new streams in the order of all requests that wait.

use {
    crate::request::{
        stream_call::{AttemptError, StreamCall},
        stream_path::QueueWait,
    },
    cassiafield::process::LogEvent,
    cassiafield_core::{
        admission::{AdmissionTicket, WaitVerdict, WaitingRequest},
        process::{PathError, PlannedPath},
        request::RefusalCause,
    },
    std::time::Duration,
};

impl StreamCall {
    /// Number of grants that this host can't use until a request is refused: the endpoints differ from what
    /// the grantor knows.
    const MAX_FAILED_GRANTS: u32 = 3;

    /// Returns `true` if the request waits in the order of all: nothing of it has been sent or failed yet.
    pub(super) fn may_queue(&self) -> bool {
        let has_failed = !self.excluded.is_empty() || !self.failed.is_empty();
        self.sends == 0 && self.context.note.is_none() && !has_failed
    }

    /// Plans a path for a new request, which waits for up to `max_wait` behind those that wait already.
    ///
    /// Returns `None` if the request lacks something else than memory: it looks for a path by itself then.
    pub(super) async fn plan_in_order(
        &self,
        wait: QueueWait,
        max_wait: Duration,
    ) -> Option<Result<PlannedPath, AttemptError>> {
        let (state, service) = (&self.context.state, &self.context.service.service);
        let overloaded = || Err(AttemptError::NoPath(RefusalCause::Overloaded));
        let is_short = state.admission.must_wait(service, state.now());
        if !is_short || max_wait.is_zero() {
            let planned = self.plan(wait);
            let is_full = matches!(planned, Err(AttemptError::NoPath(RefusalCause::Overloaded)));
            if !is_full || max_wait.is_zero() || state.is_out_of_reach(service) {
                return Some(planned);
            }
            if !self.lacks_memory() {
                return None;
            }
        }
        let Some(place) = state.admission.enter(self.waiting_request(), max_wait, state) else {
            return Some(overloaded());
        };
        let (mut failed_grants, mut return_in) = (0, None);
        let planned = loop {
            let verdict = place.next().await;
            if let WaitVerdict::Refuse { return_in: told } = verdict {
                return_in = told;
                // What the log says of the endpoints.
                drop(self.plan(wait));
                break overloaded();
            }
            let planned = match verdict {
                WaitVerdict::UseGrant => self.plan_granted(&place.granted_endpoints()),
                _ => self.plan(wait),
            };
            let is_full = matches!(planned, Err(AttemptError::NoPath(RefusalCause::Overloaded)));
            failed_grants += u32::from(is_full && verdict == WaitVerdict::UseGrant);
            let is_lost = state.is_out_of_reach(service);
            if is_full && !self.lacks_memory() {
                return None;
            }
            if !is_full || is_lost || failed_grants >= Self::MAX_FAILED_GRANTS {
                break planned;
            }
            place.wait_again(verdict).await;
        };
        let summary = place.close(planned.is_ok(), return_in);
        if planned.is_ok() {
            self.context.decision(LogEvent::AdmissionWaited).log(format_args!(
                "{summary}, rank {}, tokens {}+{}, {:.1} times the equal share in use",
                self.context.priority,
                self.prompt_tokens,
                self.output_tokens,
                self.organisation_excess()
            ));
        } else {
            // The line of the refusal says it.
            self.last_wait.set(Some(summary));
        }
        Some(planned)
    }

    /// Returns `true` if the last planning found too little memory; other reasons, such as a pause that an
    /// endpoint has asked this host for, are not the grantor's to see.
    fn lacks_memory(&self) -> bool {
        matches!(self.bottleneck.get(), Some(PathError::NoMemory { .. }))
    }

    fn waiting_request(&self) -> WaitingRequest {
        WaitingRequest {
            ticket: AdmissionTicket::ZERO,
            service: self.context.service.service.clone(),
            organisation: self.context.request.organisation.clone(),
            priority: self.context.priority,
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            wait_left_ms: 0,
        }
    }
}

//! Refusals of streams, and when their callers return.

use {
    crate::request::{stream_call::StreamCall, ResponseBody},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        process::PathError,
        request::{RefusalCause, RequestVerdict},
    },
    http::Response,
    std::time::Duration,
};

impl StreamCall {
    /// Minimum retry delay advised to callers while layers have no endpoint; jitter raises it up to
    /// threefold.
    pub(super) const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_millis(1_500);
    /// Time over which callers return that were refused during the same pause.
    const PAUSE_SPREAD: Duration = Duration::from_millis(500);
    /// Part of the remaining time that callers wait at most before they return, in percent.
    pub(super) const MAX_RETRY_DELAY_PERCENT: u32 = 30;

    pub(super) fn refuse(
        &self,
        verdict: RequestVerdict,
        cause: RefusalCause,
    ) -> Response<ResponseBody> {
        let is_not_run = verdict == RequestVerdict::NotRun;
        let cause = match &self.blocked {
            _ if !is_not_run => RefusalCause::EndpointFailed,
            Some(blocked) if cause == RefusalCause::PromptBlocked => blocked.refusal_cause(),
            _ => cause,
        };
        self.context.state.metrics.count_refusal(cause);
        let retry_after = is_not_run.then(|| self.retry_delay(cause));
        let bottleneck = match (&self.blocked, self.bottleneck.get()) {
            (Some(blocked), _) => format!("blocked: {blocked}"),
            (None, Some(error)) => format!("{error}{}", self.describe_bottleneck(error)),
            (None, None) => self.refusal_reason().to_owned(),
        };
        let waited = self.last_wait.get().map_or_else(String::new, |wait| format!(", {wait}"));
        self.context
            .decision(LogEvent::RequestRefused)
            .cause(cause)
            .verdict(verdict)
            .sends(self.sends)
            .log(format_args!(
                "{bottleneck}; route {}, tokens {}+{}, {:.1} times the equal share in use{waited}, return after {} ms",
                self.context.rule.name,
                self.prompt_tokens,
                self.output_tokens,
                self.organisation_excess(),
                retry_after.unwrap_or_default().as_millis(),
            ));
        self.context.refusal(cause, retry_after, self.sends)
    }

    /// Returns when the caller should return.
    fn retry_delay(&self, cause: RefusalCause) -> Duration {
        if matches!(cause, RefusalCause::PromptBlocked | RefusalCause::RequestBlocked) {
            return Self::BLOCKED_RETRY_DELAY;
        }
        if let Some(PathError::Unavailable { until }) = self.bottleneck.get() {
            // Callers that were refused at the same time return apart.
            let state = &self.context.state;
            let spread = Self::PAUSE_SPREAD.mul_f64(fastrand::f64())
                + state.return_spread(&self.context.service.service);
            return until.since(state.now()) + spread;
        }
        if cause == RefusalCause::Unreachable {
            return Self::OUT_OF_REACH_RETRY_DELAY.mul_f64(1.0 + fastrand::f64());
        }
        if cause == RefusalCause::NoEndpoint {
            return Self::UNAVAILABLE_RETRY_DELAY.mul_f64(1.0 + 2.0 * fastrand::f64());
        }
        let state = &self.context.state;
        let max_delay = self.context.remaining_time() * Self::MAX_RETRY_DELAY_PERCENT / 100;
        match self.last_wait.get().and_then(|wait| wait.return_in) {
            Some(return_in) => return_in.min(max_delay),
            None => state.admission.next_return(max_delay, state.now()),
        }
    }

    /// Returns why the request is not sent again although a path may exist.
    fn refusal_reason(&self) -> &'static str {
        if self.context.remaining_time().is_zero() {
            "the deadline has passed"
        } else if self.context.state.is_out_of_reach(&self.context.service.service) {
            "no endpoint is in reach of this host, nor a host that carries the request"
        } else if !self.may_repeat() {
            "endpoints ended under the request"
        } else if self.sends >= Self::MAX_SENDS {
            "the send limit is reached"
        } else if self.sends == 0 {
            "no connection to an endpoint could be opened"
        } else {
            "the retry budget is used up"
        }
    }
}

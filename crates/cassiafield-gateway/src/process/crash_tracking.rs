//! Requests and parts of prompts under which endpoints end, and what keeps them from endpoints.

use {
    crate::process::{reach_tracking::EndpointFate, GatewayState},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{CrashSubject, EndpointId, ServiceId},
        process::{BlockedSubject, CrashReport},
        request::{RequestIdentity, StageRoute},
    },
    std::{fmt, rc::Rc, time::Duration},
    tokio::{sync::MutexGuard, time::timeout},
};

impl GatewayState {
    /// Maximum time that a request under suspicion waits for others to be answered.
    const MAX_SUSPECT_WAIT: Duration = Duration::from_secs(1);

    /// Records that an endpoint is found to have ended, and logs what was in flight there.
    pub(super) fn record_endpoint_end(&self, endpoint: &EndpointId) {
        let summary = self.crashes.borrow_mut().record_end(endpoint, self.now());
        if summary.suspects == 0 {
            return;
        }
        self.metrics.count_endpoint_end();
        let subjects: Vec<String> =
            summary.subjects.iter().map(|(subject, ends)| format!("{subject} ({ends})")).collect();
        LogEvent::EndpointEnded.log(format_args!(
            "endpoint {endpoint}; {} requests of this host had no answer under way; these and the parts \
             of their prompts, with the ends known under each: {}",
            summary.suspects,
            subjects.join(", "),
        ));
        self.judge_prompts();
        self.urgent_message.notify_one();
    }

    /// Blocks the parts of prompts that enough speaks against, and logs each change.
    pub(super) fn judge_prompts(&self) {
        let mut crashes = self.crashes.borrow_mut();
        let blocked = crashes.judge(self.now());
        drop(crashes);
        if !blocked.is_empty() {
            self.urgent_message.notify_one();
        }
        self.log_prompts(&blocked, "this host's evidence");
        self.log_released_parts();
    }

    fn log_released_parts(&self) {
        for part in self.crashes.borrow_mut().take_released() {
            LogEvent::PromptPartReleased.log(format_args!("part or request {part}"));
            self.urgent_message.notify_one();
        }
    }

    /// Adds what a peer knows of prompts that crash endpoints.
    pub(super) fn merge_crash_report(&self, report: CrashReport, source: impl fmt::Display) {
        if report.is_empty() {
            return;
        }
        let adopted = self.crashes.borrow_mut().merge(report, self.now());
        self.log_prompts(&adopted, &format!("the verdict of {source}"));
        self.judge_prompts();
    }

    fn log_prompts(&self, blocked: &[BlockedSubject], source: &str) {
        for found in blocked {
            self.metrics.count_blocked_part();
            LogEvent::PromptPartBlocked.log(format_args!("part or request {found}, by {source}"));
        }
    }

    /// Returns what of a request is kept from endpoints, if anything is: a part of its prompt, or all of
    /// it.
    pub fn blocked_subject(&self, identity: &RequestIdentity) -> Option<BlockedSubject> {
        self.judge_prompts();
        self.crashes.borrow_mut().check(identity, self.now())
    }

    /// Returns the parts of prompts and the requests that are kept from endpoints now.
    #[must_use]
    pub fn blocked_subjects(&self) -> Vec<BlockedSubject> {
        self.crashes.borrow().blocked(self.now())
    }

    /// Returns the parts of prompts that are kept from endpoints, one a line.
    #[must_use]
    pub fn describe_blocked_parts(&self) -> String {
        let blocked = self.crashes.borrow().blocked(self.now());
        blocked.iter().map(|found| format!("{found}\n")).collect()
    }

    /// Lets a part of prompts, or a request, reach endpoints again, on all hosts; returns `true` if it
    /// was blocked.
    pub fn release_subject(&self, subject: &CrashSubject) -> bool {
        let was_blocked = self.crashes.borrow_mut().lift(subject, self.now());
        self.judge_prompts();
        was_blocked
    }

    /// Waits until a request may be sent whose prompt is under suspicion: one at a time, until its
    /// answer has begun.
    ///
    /// Returns `None` if it need not wait, or has waited long enough.
    pub async fn suspect_turn(
        &self,
        identity: &RequestIdentity,
        ends: u32,
    ) -> Option<MutexGuard<'_, ()>> {
        let is_suspect = ends > 0 || self.crashes.borrow().is_suspect(identity);
        if !is_suspect {
            return None;
        }
        timeout(Self::MAX_SUSPECT_WAIT, self.suspect_turns.lock()).await.ok()
    }

    /// Records that a request's connection broke before its answer was under way, and finds out
    /// whether the endpoint has ended; returns `true` if it has.
    ///
    /// `route` is empty for a plain service. Any endpoint of a route may have ended.
    pub async fn record_request_break(
        self: &Rc<Self>,
        endpoint: &EndpointId,
        route: Option<&StageRoute>,
        identity: &RequestIdentity,
    ) -> bool {
        let stages = route.map_or(&[][..], StageRoute::stages);
        let mut endpoints: Vec<EndpointId> =
            stages.iter().map(|stage| stage.endpoint.clone()).collect();
        if endpoints.is_empty() {
            endpoints.push(endpoint.clone());
        }
        let lives = {
            let directory = self.directory.borrow();
            endpoints.iter().filter_map(|endpoint| directory.life(endpoint)).collect()
        };
        if self.is_endpoint_out_of_reach(endpoint) {
            return false;
        }
        self.crashes.borrow_mut().record_break(lives, identity, self.now());
        let fate = self.endpoint_fate(endpoint).await;
        if fate == EndpointFate::Unknown {
            self.crashes.borrow_mut().forget_breaks(endpoint);
        }
        fate == EndpointFate::Ended
    }

    /// Returns `true` if a request may be sent again under which `ends` endpoints have ended.
    #[must_use]
    pub fn may_repeat(&self, identity: &RequestIdentity, ends: u32) -> bool {
        self.crashes.borrow().may_repeat(identity, ends)
    }

    /// Returns `true` if fingerprints of requests matter now.
    #[must_use]
    pub fn needs_fingerprints(&self) -> bool {
        self.crashes.borrow().needs_fingerprints()
    }

    /// Returns `true` if a request must not be sent to a service now: endpoints of it have just ended
    /// under it, and the last one in use should serve the others until they are back.
    #[must_use]
    pub fn spares_last_endpoint(&self, service: &ServiceId, identity: &RequestIdentity) -> bool {
        let now = self.now();
        self.crashes.borrow().has_just_ended_several(identity, now)
            && self.directory.borrow().usable_count(service, now) <= 1
    }

    /// Records that a request's answer got under way.
    pub fn record_survival(&self, identity: &RequestIdentity) {
        self.crashes.borrow_mut().record_survival(identity, self.now());
        self.log_released_parts();
    }
}

//! Placement of a request by the beginning of its prompt.

use {
    crate::{prefix::PlacedPrompt, request::call_context::CallContext},
    cassiafield::process::LogEvent,
    cassiafield_core::{
        ids::{ModelId, Moment},
        prefix::PrefixReason,
        process::{PathPlanner, PathRequest, PlannedPath},
    },
};

impl CallContext {
    /// Returns the path over endpoints that hold the beginning of the prompt, if that is better than
    /// `best` and `is_allowed`.
    pub(super) fn prefer_held<'a>(
        &self,
        planner: &PathPlanner<'a>,
        request: &PathRequest<'a>,
        best: PlannedPath,
        is_allowed: impl Fn(&PlannedPath) -> bool,
    ) -> PlannedPath {
        let Some(prompt) = self.placed_prompt(request.model) else { return best };
        let decision = self.state.prefixes.choose(planner, request, &prompt, best.clone());
        if decision.reason == PrefixReason::Held && !is_allowed(&decision.path) {
            return best;
        }
        decision.path
    }

    /// Records that the request is being sent over a path.
    pub(super) fn record_prefix_request(&self, model: &ModelId, path: &PlannedPath) {
        let Some(prompt) = self.placed_prompt(model) else { return };
        self.state.prefixes.record_request(&prompt, path, self.state.now());
        if let Some(reason) = path.prefix_reason {
            self.state.metrics.prefixes().count_decision(reason);
        }
        if path.prefix_reason == Some(PrefixReason::Held) {
            self.decision(LogEvent::PrefixHeld).log(format_args!(
                "{} of {} tokens; not reading them again spares {:.1} ms",
                path.held_tokens,
                prompt.chain.tokens(),
                path.spared_ms,
            ));
        }
    }

    /// Records the first event over a path on which the request was sent at `sent_at`.
    pub(super) fn record_prefix_answer(
        &self,
        model: &ModelId,
        path: &PlannedPath,
        sent_at: Moment,
    ) {
        let Some(prompt) = self.placed_prompt(model) else { return };
        let (state, now) = (&self.state, self.state.now());
        let stride = self.service.engine.as_ref().map_or(1, |engine| engine.tokens_per_event);
        let waited = now.since(sent_at);
        let directory = state.directory.borrow();
        let held =
            state.prefixes.record_first_event(&prompt, (path, stride), waited, &directory, now);
        if let Some(was_held) = held {
            state.metrics.prefixes().count_answer(was_held);
        }
        if held == Some(false) {
            self.decision(LogEvent::PrefixMissed).log(format_args!(
                "{} tokens; the first event came after {} ms, expected after {:.1} ms",
                path.held_tokens,
                waited.as_millis(),
                path.first_token_ms - path.spared_ms,
            ));
        }
    }

    fn placed_prompt(&self, model: &ModelId) -> Option<PlacedPrompt<'_>> {
        PlacedPrompt::of(&self.rule, &self.service, model, self.identity.prefix())
    }
}

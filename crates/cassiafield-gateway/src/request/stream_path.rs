//! The choice of a stream's path, and what the host believed when it chose.

use {
    crate::request::stream_call::{AttemptFault, StreamCall},
    cassiafield_core::{
        ids::EndpointId,
        process::{EngineProfile, PathError, PathPlanner, PathRequest, PlannedPath},
        request::RefusalCause,
    },
    std::time::Duration,
};

impl StreamCall {
    /// Multiple of the longest event gap on time beyond which a path is not worth taking: callers
    /// leave after eight times that gap.
    const MAX_GAPS: f64 = 3.0;

    /// Plans a path, and waits a short while for memory if there is none.
    pub(super) async fn plan_in_time(&self, wait: Duration) -> Result<PlannedPath, AttemptFault> {
        let began = self.context.state.now();
        let limit = wait.min(self.context.time_left());
        let mut has_waited = false;
        loop {
            let planned = self.plan();
            let now = self.context.state.now();
            let left = limit.saturating_sub(now.since(began));
            let is_full = matches!(planned, Err(AttemptFault::NoPath(RefusalCause::Overloaded)));
            if !is_full || left.is_zero() {
                return planned;
            }
            if !has_waited && !self.context.state.waiting.has_place(left, now) {
                return planned;
            }
            has_waited = true;
            self.context.state.waiting.wait().await;
        }
    }

    fn plan(&self) -> Result<PlannedPath, AttemptFault> {
        let Some(engine) = &self.context.service.engine else {
            return Err(AttemptFault::NoPath(RefusalCause::NoEndpoint));
        };
        let directory = self.context.state.directory.borrow();
        let load = self.context.state.load.borrow();
        let planner = PathPlanner {
            directory: &directory,
            load: &load,
            engine,
            now: self.context.state.now(),
        };
        let most = usize::try_from(self.context.rule.attempts.max(1)).unwrap_or(usize::MAX);
        let has_all = self.sent_to.len() >= most;
        let request = PathRequest {
            model: &self.model,
            service: &self.context.service.service,
            zone: &self.context.state.profile.zone,
            prompt_tokens: self.prompt,
            answer_tokens: self.answer,
            excluded: &self.avoided,
            allowed_firsts: has_all.then_some(&self.sent_to[..]),
        };
        let both: Vec<EndpointId> = self.avoided.iter().chain(&self.suspected).cloned().collect();
        let first_choice = PathRequest { excluded: &both, ..request.clone() };
        let planned = match planner.plan(&first_choice) {
            Err(_) if !self.suspected.is_empty() => planner.plan(&request),
            planned => planned,
        };
        let path = planned.map_err(|error| {
            self.bottleneck.set(Some(error));
            AttemptFault::NoPath(match error {
                PathError::NoCover => RefusalCause::NoEndpoint,
                PathError::NoMemory { .. } => RefusalCause::Overloaded,
            })
        })?;
        if self.sent == 0 && self.is_too_slow(engine, &path) {
            return Err(AttemptFault::NoPath(RefusalCause::Overloaded));
        }
        Ok(path)
    }

    /// Says whether the path's events would come so slowly that callers would leave.
    fn is_too_slow(&self, engine: &EngineProfile, path: &PlannedPath) -> bool {
        let gap_ms = path.token_ms * f64::from(engine.tokens_per_event.max(1));
        self.context
            .rule
            .event_gap
            .is_some_and(|gap| gap_ms > gap.as_secs_f64() * 1e3 * Self::MAX_GAPS)
    }

    pub(super) fn is_nearly_full(&self, endpoint: &EndpointId) -> bool {
        let is_full = self.with_planner(|planner| {
            planner.directory.entry(endpoint).is_some_and(|entry| planner.is_nearly_full(entry))
        });
        is_full.unwrap_or(false)
    }

    /// Runs `use_it` with a planner over what the host knows now; `None` without an engine.
    fn with_planner<T>(&self, use_it: impl FnOnce(&PathPlanner<'_>) -> T) -> Option<T> {
        let engine = self.context.service.engine.as_ref()?;
        let state = &self.context.state;
        let (directory, load) = (state.directory.borrow(), state.load.borrow());
        let (directory, load) = (&*directory, &*load);
        Some(use_it(&PathPlanner { directory, load, engine, now: state.now() }))
    }

    /// Describes the endpoints at which a path ended for want of memory.
    pub(super) fn describe_bottleneck(&self, error: PathError) -> String {
        let PathError::NoMemory { layer } = error else { return String::new() };
        let service = &self.context.service.service;
        let found = self.with_planner(|planner| planner.describe_holders(service, layer));
        found.map_or_else(String::new, |text| format!(": {text}"))
    }

    /// Describes what the host believed of an endpoint that refused the request.
    pub(super) fn describe_endpoint(&self, endpoint: &EndpointId) -> String {
        let described = self.with_planner(|planner| {
            planner.directory.entry(endpoint).map(|entry| planner.describe(entry))
        });
        described.flatten().unwrap_or_else(|| format!("{endpoint} is not listed"))
    }
}

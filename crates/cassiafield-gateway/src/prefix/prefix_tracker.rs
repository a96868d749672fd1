use {
    crate::process::GatewayState,
    cassiafield_core::{
        ids::{EndpointId, ModelId, Moment},
        prefix::{
            CacheProfile, PrefixChoice, PrefixDecision, PrefixDigest, PrefixEvidence, PrefixTable,
            PromptChain,
        },
        process::{EndpointDirectory, PathPlanner, PathRequest, PlannedPath},
        request::{PromptPrefix, RouteStage},
        version::{RouteRule, ServiceRule},
    },
    std::{
        cell::{Cell, Ref, RefCell},
        time::Duration,
    },
};

/// Keeps what this host believes endpoints to hold of prompts.
#[derive(Debug, Default)]
pub struct PrefixTracker {
    table: RefCell<PrefixTable>,
    digest_sent_at: Cell<Option<Moment>>,
}

/// A prompt that is placed by its beginning.
#[derive(Debug)]
pub struct PlacedPrompt<'a> {
    /// The beginnings of the prompt.
    pub chain: PromptChain,
    /// How the engine keeps them.
    pub cache: &'a CacheProfile,
}

impl<'a> PlacedPrompt<'a> {
    /// Returns the prompt of a request if its route and service call for placement by beginnings.
    #[must_use]
    pub fn of(
        rule: &RouteRule,
        service: &'a ServiceRule,
        model: &ModelId,
        prefix: &PromptPrefix,
    ) -> Option<Self> {
        let cache = CacheProfile::in_force(rule, service.engine.as_ref()?)?;
        let chain = PromptChain::new(prefix, &service.service, model, cache);
        (!chain.is_empty()).then_some(Self { chain, cache })
    }
}

impl PrefixTracker {
    /// Saved reading time below which the time of the first event shows nothing, in milliseconds; steps
    /// of running requests delay it by as much.
    const MIN_TIMED_SAVING_MS: f64 = 20.0;
    /// Fraction of the saved reading time by which the first event must be early.
    const EARLY_FRACTION: f64 = 0.5;

    /// Returns what is believed.
    pub fn table(&self) -> Ref<'_, PrefixTable> {
        self.table.borrow()
    }

    /// Decides whether a request goes to endpoints that hold the beginning of its prompt.
    #[must_use]
    pub fn choose<'b>(
        &self,
        planner: &PathPlanner<'b>,
        request: &PathRequest<'b>,
        prompt: &PlacedPrompt<'_>,
        best: PlannedPath,
    ) -> PrefixDecision {
        let table = self.table.borrow();
        let choice = PrefixChoice { planner, table: &table, cache: prompt.cache };
        choice.choose(request, &prompt.chain, best)
    }

    /// Records that a request is being sent over a path.
    pub fn record_request(&self, prompt: &PlacedPrompt<'_>, path: &PlannedPath, now: Moment) {
        let mut table = self.table.borrow_mut();
        table.record_request(&prompt.chain, now);
        table.record_reading(path, now);
    }

    /// Records the first event of an answer, `waited` after the request was sent.
    ///
    /// Returns whether its path held the beginning that it was believed to hold; `None` if none was, or
    /// if the time does not show it.
    pub fn record_first_event(
        &self,
        prompt: &PlacedPrompt<'_>,
        (path, tokens_per_event): (&PlannedPath, u32),
        waited: Duration,
        directory: &EndpointDirectory,
        now: Moment,
    ) -> Option<bool> {
        let stages: &[RouteStage] = path.route.stages();
        let mut table = self.table.borrow_mut();
        let is_timed = path.held_tokens > 0 && path.spared_ms >= Self::MIN_TIMED_SAVING_MS;
        let is_early = is_timed.then(|| {
            let event_ms = path.token_ms * f64::from(tokens_per_event);
            let limit_ms = path.first_token_ms + event_ms - path.spared_ms * Self::EARLY_FRACTION;
            waited.as_secs_f64() * 1e3 <= limit_ms
        });
        if let Some(is_early) = is_early {
            let evidence = PrefixEvidence::Timed { is_early };
            table.record_evidence(stages, &prompt.chain, path.held_tokens, evidence, now);
        }
        table.record_read(stages, &prompt.chain, directory, now);
        is_early
    }

    /// Adds what a peer has seen endpoints read.
    pub fn merge(&self, digest: PrefixDigest, directory: &EndpointDirectory, now: Moment) {
        self.table.borrow_mut().merge(digest, directory, now);
    }

    /// Returns what the hosts of the zone should know, when that is due.
    #[must_use]
    pub fn due_digest(&self, hosts: usize, now: Moment) -> Option<PrefixDigest> {
        let interval = PrefixDigest::interval(hosts);
        if self.digest_sent_at.get().is_some_and(|at| now.since(at) < interval) {
            return None;
        }
        let table = self.table.borrow();
        if table.is_empty() {
            return None;
        }
        self.digest_sent_at.set(Some(now));
        Some(table.digest(now)).filter(|digest| !digest.is_empty())
    }

    /// Drops what endpoints no longer hold, by the state, load and memory that this host knows of them.
    pub fn refresh(&self, state: &GatewayState) {
        let mut table = self.table.borrow_mut();
        if table.is_empty() {
            return;
        }
        let now = state.now();
        let (directory, load) = (state.directory.borrow(), state.load.borrow());
        let routes = state.route_table();
        table.expire(&directory, now);
        let endpoints: Vec<EndpointId> = table.endpoints().cloned().collect();
        for endpoint in endpoints {
            let entry = directory.entry(&endpoint);
            let service = entry.and_then(|entry| routes.as_ref()?.service(&entry.service));
            let engine = service.and_then(|service| service.engine.as_ref());
            let free = entry.zip(engine).map_or(0.0, |(entry, engine)| {
                let (directory, load) = (&*directory, &*load);
                PathPlanner { directory, load, engine, now }.free_memory(entry)
            });
            table.record_free_memory(&endpoint, free);
        }
        state.metrics.prefixes().set_beliefs(table.len());
    }
}

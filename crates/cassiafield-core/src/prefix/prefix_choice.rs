use {
    crate::{
        ids::Moment,
        prefix::{CacheProfile, ChainLink, PrefixTable, PromptChain},
        process::{EndpointEntry, PathPlanner, PathRequest, PlannedPath},
        request::{RouteStage, StageRoute},
    },
    std::fmt,
};

/// Why a request goes where it goes, as far as the beginning of its prompt decides.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefixReason {
    /// No endpoint is believed to hold the beginning.
    NotHeld,
    /// The endpoints that hold it cannot take the request, or do not make up a path.
    NoPath,
    /// An endpoint that holds it is short of memory.
    MemoryShort,
    /// Reading the prompt costs less than the slower path of the endpoints that hold it, or a copy at
    /// faster endpoints is worth its reading.
    ReadAgain,
    /// The best path holds it anyway.
    BestHolds,
    /// The path was chosen since its endpoints hold it.
    Held,
}

impl PrefixReason {
    /// Every reason, in the order of the metrics' labels.
    pub const ALL: [PrefixReason; 6] = [
        PrefixReason::NotHeld,
        PrefixReason::NoPath,
        PrefixReason::MemoryShort,
        PrefixReason::ReadAgain,
        PrefixReason::BestHolds,
        PrefixReason::Held,
    ];

    /// Returns the name of the reason, which does not change between releases.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            PrefixReason::NotHeld => "not-held",
            PrefixReason::NoPath => "no-path",
            PrefixReason::MemoryShort => "memory-short",
            PrefixReason::ReadAgain => "read-again",
            PrefixReason::BestHolds => "best-holds",
            PrefixReason::Held => "held",
        }
    }
}

impl fmt::Display for PrefixReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// The path of a request, and what its beginning had to do with it.
#[derive(Clone, Debug)]
pub struct PrefixDecision {
    /// The path.
    pub path: PlannedPath,
    /// Why it was chosen.
    pub reason: PrefixReason,
    /// Expected saving of the path over the endpoints that hold the beginning, in milliseconds of reading;
    /// 0 if there is none.
    pub saved_ms: f64,
    /// What that path costs beyond the best one apart from the saving, in milliseconds over the answer.
    pub extra_ms: f64,
    /// Number of further requests that are expected to use a copy at the best path.
    pub expected_uses: f64,
}

/// Decides whether a request goes to endpoints that hold the beginning of its prompt.
#[derive(Clone, Copy, Debug)]
pub struct PrefixChoice<'a, 'b> {
    /// Plans the paths that are compared.
    pub planner: &'b PathPlanner<'a>,
    /// What is believed to be held.
    pub table: &'b PrefixTable,
    /// How the engine keeps beginnings.
    pub cache: &'b CacheProfile,
}

/// A path over endpoints that hold a beginning, compared with the best path.
struct HeldOption {
    path: PlannedPath,
    saved_ms: f64,
    extra_ms: f64,
    expected_uses: f64,
}

impl HeldOption {
    /// Returns what the caller gains, less what the slower path costs those who could use a copy.
    fn gain_ms(&self, plain_saved_ms: f64) -> f64 {
        self.saved_ms - plain_saved_ms - self.extra_ms * self.expected_uses
    }
}

impl PrefixChoice<'_, '_> {
    /// Confidence below which a beginning counts as not held.
    ///
    /// The expected saving is weighed by the confidence; this bounds how many doubtful paths are planned.
    const MIN_CONFIDENCE: f64 = 0.25;
    /// Fraction of an endpoint's request memory in use above which its beginnings do not count.
    ///
    /// Beyond it the engine needs the memory of kept beginnings for running requests.
    const MAX_MEMORY_FRACTION: f64 = 0.85;
    /// Largest cost of a path over that of the best one, apart from the saving, as a fraction of the best.
    ///
    /// It bounds what callers lose if every belief is wrong.
    pub const MAX_EXTRA_FRACTION: f64 = 0.1;
    /// Least gain for which a path is changed, in milliseconds; callers do not notice less.
    const MIN_GAIN_MS: f64 = 2.0;
    /// Largest number of uses of a further copy that is counted; later ones are uncertain.
    const MAX_EXPECTED_USES: f64 = 8.0;
    /// Number of beginnings of a prompt for which paths are planned, the longest held ones.
    const MAX_PLANS: usize = 3;
}

impl<'a> PrefixChoice<'a, '_> {
    /// Compares the best path of a request with those over endpoints that hold the beginning of its
    /// prompt, and returns the better one.
    #[must_use]
    pub fn choose(
        &self,
        request: &PathRequest<'a>,
        chain: &PromptChain,
        best: PlannedPath,
    ) -> PrefixDecision {
        let plain = self.with_held(request, chain, best);
        let plain_cost = self.planner.path_cost(request, &plain.path.route, 0);
        let Some(plain_cost) = plain_cost else {
            return plain.into_decision(PrefixReason::NotHeld);
        };
        let plain_ms = plain_cost.total_ms() + self.reading_wait_ms(&plain.path.route);
        let mut reason = PrefixReason::NotHeld;
        let mut found: Option<HeldOption> = None;
        let mut plans = 0;
        for link in chain.links().iter().rev() {
            let holders = self.holders(request, *link);
            if holders.is_empty() {
                continue;
            }
            plans += 1;
            if plans > Self::MAX_PLANS {
                break;
            }
            let option = match self.held_option(request, *link, &holders, plain_ms) {
                Ok(option) => option,
                Err(error) => {
                    reason = error;
                    continue;
                }
            };
            if option.path.route == plain.path.route {
                reason = PrefixReason::BestHolds;
                break;
            }
            let gain = option.gain_ms(plain.saved_ms);
            let is_better = found.as_ref().is_none_or(|known| gain > known.gain_ms(plain.saved_ms));
            if is_better {
                found = Some(option);
            }
        }
        let Some(option) = found else { return plain.into_decision(reason) };
        let max_extra_ms = plain_ms * Self::MAX_EXTRA_FRACTION;
        let is_worth_it =
            option.gain_ms(plain.saved_ms) >= Self::MIN_GAIN_MS && option.extra_ms <= max_extra_ms;
        if is_worth_it {
            return option.into_decision(PrefixReason::Held);
        }
        let HeldOption { saved_ms, extra_ms, expected_uses, .. } = option;
        let plain = HeldOption { saved_ms, extra_ms, expected_uses, ..plain };
        plain.into_decision(PrefixReason::ReadAgain)
    }

    /// Returns the best path with what its endpoints are believed to hold.
    fn with_held(
        &self,
        request: &PathRequest<'a>,
        chain: &PromptChain,
        path: PlannedPath,
    ) -> HeldOption {
        let held = chain.links().iter().rev().find_map(|link| {
            let confidence = self.path_confidence(&path.route, *link);
            (confidence >= Self::MIN_CONFIDENCE).then_some((*link, confidence))
        });
        let (held_tokens, spared_ms, saved_ms) =
            held.map_or((0, 0.0, 0.0), |(link, confidence)| {
                let spared_ms = self.saved_ms(request, &path.route, link).unwrap_or_default();
                (link.tokens, spared_ms, spared_ms * confidence)
            });
        let path = PlannedPath { held_tokens, spared_ms, ..path };
        HeldOption { path, saved_ms, extra_ms: 0.0, expected_uses: 0.0 }
    }

    /// Plans a path over the endpoints that hold a beginning.
    fn held_option(
        &self,
        request: &PathRequest<'a>,
        link: ChainLink,
        holders: &[&'a EndpointEntry],
        plain_total_ms: f64,
    ) -> Result<HeldOption, PrefixReason> {
        let is_short = |entry: &&EndpointEntry| {
            let used = self.planner.memory_fraction(entry);
            used.is_none_or(|used| used > Self::MAX_MEMORY_FRACTION)
        };
        let roomy: Vec<&EndpointEntry> =
            holders.iter().filter(|entry| !is_short(entry)).copied().collect();
        let without_path = if roomy.len() < holders.len() {
            PrefixReason::MemoryShort
        } else {
            PrefixReason::NoPath
        };
        let path = self.planner.plan_holding(request, link.tokens, &roomy).ok_or(without_path)?;
        let confidence = self.path_confidence(&path.route, link);
        if confidence < Self::MIN_CONFIDENCE {
            return Err(PrefixReason::NoPath);
        }
        let full = self.planner.path_cost(request, &path.route, 0).ok_or(PrefixReason::NoPath)?;
        let spared_ms = self.saved_ms(request, &path.route, link).unwrap_or_default();
        let first_token_ms = path.first_token_ms + spared_ms;
        let path = PlannedPath { spared_ms, first_token_ms, ..path };
        let saved_ms = spared_ms * confidence;
        let total_ms = full.total_ms() + self.reading_wait_ms(&path.route);
        let extra_ms = (total_ms - plain_total_ms).max(0.0);
        let copies =
            holders.iter().filter(|entry| entry.span.is_some_and(|span| span.start() == 0));
        let expected_uses = self.expected_uses(link, copies.count());
        Ok(HeldOption { path, saved_ms, extra_ms, expected_uses })
    }

    /// Returns how many requests a further copy is expected to serve while it is kept, this one included.
    fn expected_uses(&self, link: ChainLink, copies: usize) -> f64 {
        let windows =
            self.cache.idle_retention.as_secs_f64() / PrefixTable::DEMAND_WINDOW.as_secs_f64();
        let demand = self.table.demand(link.key, self.now()) * windows.min(1.0);
        (demand / (copies as f64 + 1.0)).clamp(1.0, Self::MAX_EXPECTED_USES)
    }

    /// Returns the reading time that a held beginning saves on a path, in milliseconds.
    fn saved_ms(
        &self,
        request: &PathRequest<'a>,
        route: &StageRoute,
        link: ChainLink,
    ) -> Option<f64> {
        let full = self.planner.path_cost(request, route, 0)?;
        let held = self.planner.path_cost(request, route, link.tokens)?;
        Some(full.first_ms() - held.first_ms())
    }

    /// Returns how long the prompt waits on a path for others to be read, in milliseconds.
    fn reading_wait_ms(&self, route: &StageRoute) -> f64 {
        self.table.reading_wait(route.stages(), self.now()).as_secs_f64() * 1e3
    }

    /// Returns how likely all stages of a path hold a beginning.
    fn path_confidence(&self, route: &StageRoute, link: ChainLink) -> f64 {
        let of_stage = |stage: &RouteStage| {
            let entry = self.planner.directory.entry(&stage.endpoint);
            entry.map_or(0.0, |entry| {
                self.table.confidence(entry, Some(stage.span), link, self.cache, self.now())
            })
        };
        // Endpoints of a path read and drop its prompts together, so the least certain one decides.
        route.stages().iter().map(of_stage).fold(1.0, f64::min)
    }

    /// Returns the endpoints that are believed to hold a beginning and may be used.
    fn holders(&self, request: &PathRequest<'a>, link: ChainLink) -> Vec<&'a EndpointEntry> {
        let entries = self.planner.directory.live_entries(request.service);
        let holds = |entry: &&'a EndpointEntry| {
            let confidence = self.table.confidence(entry, None, link, self.cache, self.now());
            confidence >= Self::MIN_CONFIDENCE
                && !self.planner.directory.is_suspect(&entry.endpoint, self.now())
        };
        entries.filter(holds).collect()
    }

    const fn now(&self) -> Moment {
        self.planner.now
    }
}

impl HeldOption {
    fn into_decision(self, reason: PrefixReason) -> PrefixDecision {
        let Self { path, saved_ms, extra_ms, expected_uses } = self;
        let path = PlannedPath { prefix_reason: Some(reason), ..path };
        PrefixDecision { path, reason, saved_ms, extra_ms, expected_uses }
    }
}

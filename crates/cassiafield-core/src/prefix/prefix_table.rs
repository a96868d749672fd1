use {
    crate::{
        ids::{EndpointId, Moment},
        prefix::{
            CacheProfile, ChainLink, DigestEntry, HolderState, PrefixDigest, PrefixKey, PromptChain,
        },
        process::{EndpointDirectory, EndpointEntry, PlannedPath},
        request::{LayerSpan, RouteStage},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// What an answer shows about a beginning that its path was believed to hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PrefixEvidence {
    /// The endpoint reported how many tokens it found held.
    Reported {
        /// Number of tokens.
        tokens: u32,
    },
    /// The endpoint reported nothing; the first event came as early or as late as this.
    Timed {
        /// Whether it came earlier than it could have if the beginning had been read again.
        is_early: bool,
    },
}

/// What a host believes about the beginnings that endpoints hold.
///
/// A belief decides where a request goes; it may be wrong at any time, which costs time and nothing else.
#[derive(Clone, Debug, Default)]
pub struct PrefixTable {
    holders: BTreeMap<EndpointId, PrefixHolder>,
    demand: HashMap<PrefixKey, PrefixDemand>,
    /// When endpoints are expected to have read the prompts that this host has sent them.
    reading_until: HashMap<EndpointId, Moment>,
}

#[derive(Clone, Debug)]
struct PrefixHolder {
    state: HolderState,
    beliefs: HashMap<PrefixKey, HeldBelief>,
    /// Fraction of beliefs that lately proved right, and when it was updated.
    trust: f64,
    trust_at: Moment,
    /// When a belief last proved wrong.
    refuted_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct HeldBelief {
    tokens: u32,
    /// Length of the next shorter beginning, whose memory both share.
    base_tokens: u32,
    /// The layers for which the beginning was read.
    span: LayerSpan,
    used_at: Moment,
    is_own: bool,
}

/// A decaying count of the requests with a beginning.
#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    count: f64,
    at: Moment,
}

impl PrefixTable {
    /// Maximum number of beginnings that are known per endpoint.
    ///
    /// An endpoint with memory for 100,000 tokens holds fewer of 400 tokens.
    const MAX_BELIEFS: usize = 256;
    /// Maximum number of endpoints that are known; a service of the largest fleet has 1,300.
    const MAX_HOLDERS: usize = 2_048;
    /// Maximum number of beginnings whose demand is counted.
    const MAX_DEMANDS: usize = 4_096;
    /// Time after which confidence in an unused belief has decayed by half.
    ///
    /// Other hosts fill the memory meanwhile, which this host sees only in part.
    const CONFIDENCE_HALF_LIFE: Duration = Duration::from_secs(30);
    /// Confidence in a belief that a peer has reported, relative to one of this host's own.
    const PEER_CONFIDENCE: f64 = 0.8;
    /// Trust in an endpoint of which nothing is known yet.
    const INITIAL_TRUST: f64 = 0.8;
    /// Weight of the latest evidence in the trust; four false beliefs in a row end the reliance on an endpoint.
    const TRUST_WEIGHT: f64 = 0.3;
    /// Time after which the trust has returned half-way to its initial value, so that an endpoint is tried
    /// again.
    const TRUST_HALF_LIFE: Duration = Duration::from_secs(30);
    /// Longest reading of a prompt that is counted, in milliseconds; a longer one is an absurd report.
    const MAX_READING_MS: f64 = 10_000.0;
    /// Time after which an unused belief is forgotten; little confidence is left by then.
    const MAX_RETENTION: Duration = Duration::from_secs(180);
    /// Time over which the demand for a beginning is counted.
    pub const DEMAND_WINDOW: Duration = Duration::from_secs(10);

    /// Records that a request with these beginnings has come.
    pub fn record_request(&mut self, chain: &PromptChain, now: Moment) {
        for link in chain.links() {
            let count = self.demand(link.key, now) + 1.0;
            self.demand.insert(link.key, PrefixDemand { count, at: now });
        }
        if self.demand.len() > Self::MAX_DEMANDS {
            let window = Self::DEMAND_WINDOW;
            self.demand.retain(|_, demand| now.since(demand.at) < window);
            while self.demand.len() > Self::MAX_DEMANDS {
                let oldest = self.demand.iter().min_by_key(|(key, demand)| (demand.at, **key));
                let Some(key) = oldest.map(|(key, _)| *key) else { break };
                self.demand.remove(&key);
            }
        }
    }

    /// Records that a prompt is being sent over a path, whose endpoints read what they do not hold.
    ///
    /// Endpoints read one prompt after another, so later ones wait.
    pub fn record_reading(&mut self, path: &PlannedPath, now: Moment) {
        self.reading_until.retain(|_, until| *until > now);
        let reading_ms = (path.first_token_ms - path.spared_ms).clamp(0.0, Self::MAX_READING_MS);
        let stages = path.route.stages();
        let layers: f64 = stages.iter().map(|stage| f64::from(stage.span.layers())).sum();
        for stage in stages {
            let part = f64::from(stage.span.layers()) / layers.max(1.0);
            let time = Duration::from_secs_f64(reading_ms * part / 1e3);
            let until = self.reading_until.entry(stage.endpoint.clone()).or_insert(now);
            *until = (*until).max(now) + time;
        }
    }

    /// Returns how long a prompt waits on a path for others of this host to be read.
    #[must_use]
    pub fn reading_wait(&self, stages: &[RouteStage], now: Moment) -> Duration {
        let until = stages.iter().filter_map(|stage| self.reading_until.get(&stage.endpoint));
        until.max().map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns how many requests with a beginning have come to this host lately; the count decays over
    /// [`PrefixTable::DEMAND_WINDOW`].
    #[must_use]
    pub fn demand(&self, key: PrefixKey, now: Moment) -> f64 {
        self.demand.get(&key).map_or(0.0, |demand| {
            let windows = now.since(demand.at).as_secs_f64() / Self::DEMAND_WINDOW.as_secs_f64();
            demand.count * (-windows).exp()
        })
    }

    /// Records that all endpoints of a path have read a prompt, which the first event shows.
    pub fn record_read(
        &mut self,
        stages: &[RouteStage],
        chain: &PromptChain,
        directory: &EndpointDirectory,
        now: Moment,
    ) {
        for stage in stages {
            let Some(entry) = directory.entry(&stage.endpoint) else { continue };
            let Some(holder) = self.holder(entry, now) else { continue };
            let mut base_tokens = 0;
            for link in chain.links() {
                let known = holder.beliefs.get(&link.key).map(|belief| belief.span);
                let span = known.filter(|known| covers(*known, stage.span)).unwrap_or(stage.span);
                let belief = HeldBelief {
                    tokens: link.tokens,
                    base_tokens,
                    span,
                    used_at: now,
                    is_own: true,
                };
                holder.beliefs.insert(link.key, belief);
                base_tokens = link.tokens;
            }
            holder.limit();
        }
    }

    /// Records what an answer shows about a beginning of `expected` tokens that its path was believed to
    /// hold; beliefs that it refutes are dropped.
    pub fn record_evidence(
        &mut self,
        stages: &[RouteStage],
        chain: &PromptChain,
        expected: u32,
        evidence: PrefixEvidence,
        now: Moment,
    ) {
        let outcome = match evidence {
            PrefixEvidence::Reported { tokens } => {
                (f64::from(tokens) / f64::from(expected.max(1))).min(1.0)
            }
            PrefixEvidence::Timed { is_early } => f64::from(u8::from(is_early)),
        };
        for stage in stages {
            let Some(holder) = self.holders.get_mut(&stage.endpoint) else { continue };
            let trust = holder.trust(now);
            holder.trust = trust + (outcome - trust) * Self::TRUST_WEIGHT;
            holder.trust_at = now;
            if outcome < 1.0 {
                holder.refuted_at = now;
            }
            if let PrefixEvidence::Reported { tokens } = evidence {
                for link in chain.links().iter().filter(|link| link.tokens > tokens) {
                    holder.beliefs.remove(&link.key);
                }
            }
        }
    }

    /// Drops the beginnings that no longer fit an endpoint's free memory, least recently used first.
    ///
    /// `free` is in tokens times layers.
    pub fn record_free_memory(&mut self, endpoint: &EndpointId, free: f64) {
        let Some(holder) = self.holders.get_mut(endpoint) else { return };
        let size = |belief: &HeldBelief| {
            let tokens = belief.tokens.saturating_sub(belief.base_tokens);
            f64::from(tokens) * f64::from(belief.span.layers())
        };
        let mut used: f64 = holder.beliefs.values().map(size).sum();
        if used <= free {
            return;
        }
        for key in holder.least_recent() {
            if used <= free {
                break;
            }
            used -= holder.beliefs.remove(&key).as_ref().map_or(0.0, size);
        }
    }

    /// Forgets what endpoints held before they ended, restarted or changed their weights or layers, and
    /// what has not been used for too long.
    pub fn expire(&mut self, directory: &EndpointDirectory, now: Moment) {
        self.holders.retain(|endpoint, holder| {
            holder.beliefs.retain(|_, belief| now.since(belief.used_at) < Self::MAX_RETENTION);
            let state = directory.entry(endpoint).and_then(HolderState::of);
            state.as_ref() == Some(&holder.state)
        });
        self.demand.retain(|_, demand| now.since(demand.at) < Self::DEMAND_WINDOW * 4);
    }

    /// Returns how likely an endpoint holds a beginning, from 0 to 1: for the layers `span`, or for any if
    /// that is `None`.
    #[must_use]
    pub fn confidence(
        &self,
        entry: &EndpointEntry,
        span: Option<LayerSpan>,
        link: ChainLink,
        cache: &CacheProfile,
        now: Moment,
    ) -> f64 {
        let holder = self.holders.get(&entry.endpoint);
        let state = HolderState::of(entry);
        let Some(holder) = holder.filter(|holder| state.as_ref() == Some(&holder.state)) else {
            return 0.0;
        };
        let belief = holder.beliefs.get(&link.key);
        let is_wide = |belief: &&HeldBelief| span.is_none_or(|span| covers(belief.span, span));
        let Some(belief) = belief.filter(is_wide) else { return 0.0 };
        let age = now.since(belief.used_at);
        if age >= cache.idle_retention || belief.tokens != link.tokens {
            return 0.0;
        }
        let origin = if belief.is_own { 1.0 } else { Self::PEER_CONFIDENCE };
        origin * half_after(age, Self::CONFIDENCE_HALF_LIFE) * holder.trust(now)
    }

    /// Returns when an endpoint is believed to have last used a beginning, if it is believed to hold it.
    #[must_use]
    pub fn used_at(&self, endpoint: &EndpointId, key: PrefixKey) -> Option<Moment> {
        self.holders.get(endpoint)?.beliefs.get(&key).map(|belief| belief.used_at)
    }

    /// Returns the endpoints of which beginnings are known.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        self.holders.keys()
    }

    /// Returns the number of beliefs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.holders.values().map(|holder| holder.beliefs.len()).sum()
    }

    /// Returns `true` if nothing is believed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the beginnings in most demand that this host has seen endpoints read within the last
    /// [`PrefixTable::DEMAND_WINDOW`], for peers.
    ///
    /// What peers reported is not forwarded, or it would circulate without end.
    #[must_use]
    pub fn digest(&self, now: Moment) -> PrefixDigest {
        let mut hot: Vec<(f64, &EndpointId, &PrefixHolder, PrefixKey, HeldBelief)> = Vec::new();
        for (endpoint, holder) in &self.holders {
            for (key, belief) in &holder.beliefs {
                let demand = self.demand(*key, now);
                let is_recent = now.since(belief.used_at) < Self::DEMAND_WINDOW;
                // One that a single request had is of no use to others.
                if belief.is_own && is_recent && demand > 1.0 {
                    hot.push((demand, endpoint, holder, *key, *belief));
                }
            }
        }
        hot.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, a.3).cmp(&(b.1, b.3))));
        let mut digest = PrefixDigest::default();
        for (_, endpoint, holder, key, belief) in hot.into_iter().take(PrefixDigest::MAX_ENTRIES) {
            let age = now.since(belief.used_at).as_millis();
            let entry = DigestEntry {
                key,
                tokens: belief.tokens,
                base_tokens: belief.base_tokens,
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            };
            let held = digest.held.entry(endpoint.clone());
            let held = held.or_insert_with(|| (holder.state.incarnation(), Vec::new()));
            held.1.push(entry);
        }
        digest
    }

    /// Adds what a peer has seen endpoints read, unless this host knows something newer.
    pub fn merge(&mut self, digest: PrefixDigest, directory: &EndpointDirectory, now: Moment) {
        let mut left = PrefixDigest::MAX_ENTRIES;
        for (endpoint, (incarnation, entries)) in digest.held {
            let listed = directory.entry(&endpoint);
            let Some(entry) = listed.filter(|entry| entry.incarnation == incarnation) else {
                continue;
            };
            let (Some(span), Some(holder)) = (entry.span, self.holder(entry, now)) else {
                continue;
            };
            for found in entries.into_iter().take(left) {
                left -= 1;
                let used_at = now.earlier_by(Duration::from_millis(u64::from(found.age_ms)));
                let known = holder.beliefs.get_mut(&found.key);
                if let Some(known) = known {
                    known.used_at = known.used_at.max(used_at);
                    continue;
                }
                // A belief that this host's own evidence refuted later is not taken back.
                if holder.refuted_at >= used_at {
                    continue;
                }
                let belief = HeldBelief {
                    tokens: found.tokens,
                    base_tokens: found.base_tokens.min(found.tokens),
                    span,
                    used_at,
                    is_own: false,
                };
                holder.beliefs.insert(found.key, belief);
            }
            holder.limit();
        }
    }

    /// Returns the record of an endpoint in its present state; `None` if it holds no layers, or too many
    /// endpoints are known.
    fn holder(&mut self, entry: &EndpointEntry, now: Moment) -> Option<&mut PrefixHolder> {
        let state = HolderState::of(entry)?;
        let is_known = self.holders.contains_key(&entry.endpoint);
        if !is_known && self.holders.len() >= Self::MAX_HOLDERS {
            return None;
        }
        let new = || PrefixHolder::new(state.clone(), now);
        let holder = self.holders.entry(entry.endpoint.clone()).or_insert_with(new);
        if holder.state != state {
            *holder = PrefixHolder::new(state, now);
        }
        Some(holder)
    }
}

impl PrefixHolder {
    fn new(state: HolderState, now: Moment) -> Self {
        let trust = PrefixTable::INITIAL_TRUST;
        Self { state, beliefs: HashMap::new(), trust, trust_at: now, refuted_at: Moment::ORIGIN }
    }

    fn trust(&self, now: Moment) -> f64 {
        let initial = PrefixTable::INITIAL_TRUST;
        let left = half_after(now.since(self.trust_at), PrefixTable::TRUST_HALF_LIFE);
        initial + (self.trust - initial) * left
    }

    /// Returns the beginnings, least recently used first; of those used together the longest first.
    fn least_recent(&self) -> Vec<PrefixKey> {
        let mut keys: Vec<(Moment, u32, PrefixKey)> = self
            .beliefs
            .iter()
            .map(|(key, belief)| (belief.used_at, u32::MAX - belief.tokens, *key))
            .collect();
        keys.sort_unstable();
        keys.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Drops the least recently used beliefs beyond the bound.
    fn limit(&mut self) {
        let surplus = self.beliefs.len().saturating_sub(PrefixTable::MAX_BELIEFS);
        if surplus > 0 {
            for key in self.least_recent().into_iter().take(surplus) {
                self.beliefs.remove(&key);
            }
        }
    }
}

fn covers(held: LayerSpan, wanted: LayerSpan) -> bool {
    held.start() <= wanted.start() && wanted.end() <= held.end()
}

fn half_after(time: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(time.as_secs_f64() / half_life.as_secs_f64())
}

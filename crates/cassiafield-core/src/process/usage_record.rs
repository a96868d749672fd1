use {
    crate::{
        ids::OrganisationId,
        request::{RefusalCause, RequestVerdict},
    },
    std::{collections::BTreeMap, fmt, time::Duration},
};

/// The class of a request.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Text generation by a model.
    Generation,
    /// A call to a plain service that may be repeated.
    Lookup,
    /// A call to a plain service that may not be repeated.
    Filing,
}

impl RequestClass {
    /// Returns the name that is used in metrics and reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            RequestClass::Generation => "generation",
            RequestClass::Lookup => "lookup",
            RequestClass::Filing => "filing",
        }
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Upper bounds of the latency histogram buckets, in milliseconds; the last bucket is unbounded.
pub const LATENCY_BOUNDS_MS: [u64; 12] =
    [5, 10, 25, 50, 100, 250, 500, 690, 1_000, 2_500, 10_000, u64::MAX];

/// The usage of one organisation in one request class.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct UsageCount {
    /// Requests received.
    pub asked: u64,
    /// Requests that received a complete answer.
    pub served: u64,
    /// Refused requests by cause.
    pub refused: BTreeMap<RefusalCause, u64>,
    /// Refused requests that may have run.
    pub in_doubt: u64,
    /// Requests whose caller disconnected.
    pub abandoned: u64,
    /// Tokens delivered to callers.
    pub tokens: u64,
    /// Histogram of the latencies of complete answers, by [`LATENCY_BOUNDS_MS`].
    pub latency: [u64; LATENCY_BOUNDS_MS.len()],
}

/// How one request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UsageOutcome {
    /// A complete answer, with the number of tokens and the latency.
    Served(u64, Duration),
    /// A refusal, with the number of tokens that had been delivered.
    Refused(RefusalCause, RequestVerdict, u64),
    /// The caller disconnected; the number of tokens that had been delivered.
    Abandoned(u64),
}

/// Cumulative counts of one process in one hour.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct UsageRecord {
    /// Counts by organisation and class.
    pub counts: BTreeMap<OrganisationId, BTreeMap<RequestClass, UsageCount>>,
    /// Number of checkpoints written before this one; it lets a reader detect a rollback.
    pub sequence: u64,
    /// Whether the process shut down cleanly, with all requests counted.
    pub closed: bool,
    /// When the record was written, in seconds since the Unix epoch.
    pub written: u64,
}

impl UsageRecord {
    /// Counts a received request.
    pub fn record_arrival(&mut self, organisation: &OrganisationId, class: RequestClass) {
        self.count(organisation, class).asked += 1;
    }

    /// Counts the end of a request.
    pub fn record_outcome(
        &mut self,
        organisation: &OrganisationId,
        class: RequestClass,
        outcome: UsageOutcome,
    ) {
        let count = self.count(organisation, class);
        match outcome {
            UsageOutcome::Served(tokens, latency) => {
                count.served += 1;
                count.tokens += tokens;
                let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
                let bucket = LATENCY_BOUNDS_MS.iter().position(|&bound| millis <= bound);
                count.latency[bucket.unwrap_or(LATENCY_BOUNDS_MS.len() - 1)] += 1;
            }
            UsageOutcome::Refused(cause, verdict, tokens) => {
                *count.refused.entry(cause).or_default() += 1;
                count.in_doubt += u64::from(verdict == RequestVerdict::MayHaveRun);
                count.tokens += tokens;
            }
            UsageOutcome::Abandoned(tokens) => {
                count.abandoned += 1;
                count.tokens += tokens;
            }
        }
    }

    /// Adds the counts of another record.
    pub fn merge(&mut self, other: &UsageRecord) {
        for (organisation, classes) in &other.counts {
            for (class, count) in classes {
                self.count(organisation, *class).merge(count);
            }
        }
    }

    fn count(&mut self, organisation: &OrganisationId, class: RequestClass) -> &mut UsageCount {
        let classes = self.counts.entry(organisation.clone()).or_default();
        classes.entry(class).or_default()
    }
}

impl UsageCount {
    /// Adds another count.
    pub fn merge(&mut self, other: &UsageCount) {
        self.asked += other.asked;
        self.served += other.served;
        self.in_doubt += other.in_doubt;
        self.abandoned += other.abandoned;
        self.tokens += other.tokens;
        for (cause, count) in &other.refused {
            *self.refused.entry(*cause).or_default() += count;
        }
        for (own, other) in self.latency.iter_mut().zip(other.latency) {
            *own += other;
        }
    }

    /// Returns the number of refused requests.
    #[must_use]
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }

    /// Returns the number of requests that have not ended yet.
    #[must_use]
    pub fn open(&self) -> u64 {
        self.asked.saturating_sub(self.served + self.refusals() + self.abandoned)
    }
}

use {
    crate::CallRecord,
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, fmt},
};

/// Throughput and latencies of a history.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    requests: usize,
    complete: usize,
    wrong: usize,
    tokens: usize,
    seconds: f64,
    statuses: BTreeMap<u16, usize>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    longest_gap: Histogram<u64>,
    complete_latency: Histogram<u64>,
    incomplete_latency: Histogram<u64>,
}

impl LoadSummary {
    /// Summarises a history.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created or filled.
    pub fn of(records: &[CallRecord]) -> anyhow::Result<Self> {
        let empty = || Histogram::<u64>::new(3);
        let last = records.iter().map(|record| record.ended).max().unwrap_or(0);
        let mut summary = Self {
            requests: records.len(),
            complete: 0,
            wrong: 0,
            tokens: 0,
            seconds: last as f64 / 1e6,
            statuses: BTreeMap::new(),
            first_token: empty()?,
            between_tokens: empty()?,
            longest_gap: empty()?,
            complete_latency: empty()?,
            incomplete_latency: empty()?,
        };
        for record in records {
            summary.add(record)?;
        }
        Ok(summary)
    }

    /// Returns complete and correct answers per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.complete as f64 / self.seconds.max(f64::MIN_POSITIVE)
    }

    /// Returns delivered tokens per second.
    #[must_use]
    pub fn token_rate(&self) -> f64 {
        self.tokens as f64 / self.seconds.max(f64::MIN_POSITIVE)
    }

    /// Returns the number of delivered tokens.
    #[must_use]
    pub const fn tokens(&self) -> usize {
        self.tokens
    }

    fn add(&mut self, record: &CallRecord) -> anyhow::Result<()> {
        *self.statuses.entry(record.status).or_default() += 1;
        self.complete += usize::from(record.complete);
        self.wrong += usize::from(record.wrong);
        self.tokens += record.tokens.len();
        let latency = record.ended.saturating_sub(record.scheduled);
        if record.complete {
            self.complete_latency.record(latency)?;
        } else {
            self.incomplete_latency.record(latency)?;
        }
        if let Some(first) = record.tokens.first() {
            self.first_token.record(first.saturating_sub(record.scheduled))?;
        }
        for pair in record.tokens.windows(2) {
            self.between_tokens.record(pair[1] - pair[0])?;
        }
        if record.tokens.len() > 1 {
            self.longest_gap.record(record.longest_gap())?;
        }
        Ok(())
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} requests, {} complete, {} wrong, statuses {:?}",
            self.requests, self.complete, self.wrong, self.statuses
        )?;
        writeln!(
            f,
            "{:.1} complete answers/s, {:.0} tokens/s over {:.1} s",
            self.goodput(),
            self.token_rate(),
            self.seconds
        )?;
        let rows = [
            ("first token", &self.first_token),
            ("between tokens", &self.between_tokens),
            ("longest gap of a stream", &self.longest_gap),
            ("complete answer", &self.complete_latency),
            ("refusal or failure", &self.incomplete_latency),
        ];
        for (name, histogram) in rows {
            if histogram.is_empty() {
                continue;
            }
            let value = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
            writeln!(
                f,
                "{name:<24} p50 {:>9.2} ms  p95 {:>9.2} ms  p99 {:>9.2} ms  max {:>9.2} ms",
                value(0.5),
                value(0.95),
                value(0.99),
                histogram.max() as f64 / 1e3
            )?;
        }
        Ok(())
    }
}

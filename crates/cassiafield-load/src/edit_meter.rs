use {
    cassiafield::{connection::EtcdStore, version::ListEditor},
    cassiafield_core::version::{ListChange, ListEdit, PlanDraft, PlanLimits},
    hdrhistogram::Histogram,
    serde_json::Value,
    std::{
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Measures the time from an accepted edit until every host applies it.
#[derive(Clone, Debug)]
pub struct EditMeter {
    store: String,
    hosts: Vec<String>,
}

impl EditMeter {
    /// Time between two rounds of status queries.
    const POLL_INTERVAL: Duration = Duration::from_millis(2);
    /// Longest wait until all hosts apply an edit; a longer one fails the measurement.
    const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(30);

    /// Creates a meter for the store at this URL and the hosts at these peer addresses.
    pub fn new(store: impl Into<String>, hosts: Vec<String>) -> Self {
        Self { store: store.into(), hosts }
    }

    /// Submits edits one after the other and returns their propagation times, in microseconds.
    ///
    /// # Errors
    ///
    /// Returns an error if an edit is rejected or not applied in time, or if the revision of a host
    /// decreases.
    pub fn run(&self, edits: u32) -> anyhow::Result<Histogram<u64>> {
        let editor = ListEditor::new(Arc::new(EtcdStore::new(self.store.clone())));
        let mut latencies_us = Histogram::new(3)?;
        let mut last_seen = vec![0; self.hosts.len()];
        for index in 0..edits {
            let change = ListChange::SetPlan {
                plan: "edit-meter".parse()?,
                limits: PlanLimits::try_from(sample_limits(index))?,
                base: None,
            };
            let edit = ListEdit { id: fastrand::u128(..), author: "load".into(), change };
            let revision = editor.submit(&edit)?.revision.0;
            let accepted = Instant::now();
            while !self.all_applied(revision, &mut last_seen)? {
                anyhow::ensure!(
                    accepted.elapsed() < Self::PROPAGATION_TIMEOUT,
                    "revision {revision} was not applied by all hosts in time"
                );
                thread::sleep(Self::POLL_INTERVAL);
            }
            latencies_us.record(u64::try_from(accepted.elapsed().as_micros())?)?;
            thread::sleep(Duration::from_millis(fastrand::u64(0..200)));
        }
        Ok(latencies_us)
    }

    fn all_applied(&self, revision: u64, last_seen: &mut [u64]) -> anyhow::Result<bool> {
        for (host, last_seen) in self.hosts.iter().zip(last_seen.iter_mut()) {
            let status: Value = ureq::get(&format!("http://{host}/status")).call()?.into_json()?;
            let current = status["revision"].as_u64().unwrap_or(0);
            anyhow::ensure!(
                current >= *last_seen,
                "the revision of {host} decreased from {last_seen} to {current}"
            );
            *last_seen = current;
        }
        Ok(last_seen.iter().all(|current| *current >= revision))
    }
}

fn sample_limits(index: u32) -> PlanDraft {
    PlanDraft {
        request_rate: 10.0,
        request_burst: 10.0,
        token_rate: 100.0,
        token_burst: 1_000.0,
        concurrent: index + 1,
        max_tokens: 100,
        weight: 1,
        models: [].into(),
        services: [].into(),
    }
}

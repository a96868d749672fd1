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

/// Measures the time from an accepted edit until it is in force on every host.
#[derive(Clone, Debug)]
pub struct EditMeter {
    store: String,
    hosts: Vec<String>,
}

impl EditMeter {
    const POLL_INTERVAL: Duration = Duration::from_millis(2);
    const PATIENCE: Duration = Duration::from_secs(30);

    /// Creates a meter for the hosts at these peer addresses.
    pub fn new(store: impl Into<String>, hosts: Vec<String>) -> Self {
        Self { store: store.into(), hosts }
    }

    /// Makes edits one after the other; returns the times to everywhere, in microseconds.
    ///
    /// # Errors
    ///
    /// Returns that an edit was not accepted or not in force in time, or that a host went back.
    pub fn run(&self, edits: u32) -> anyhow::Result<Histogram<u64>> {
        let editor = ListEditor::new(Arc::new(EtcdStore::new(self.store.clone())));
        let mut times = Histogram::new(3)?;
        let mut seen = vec![0; self.hosts.len()];
        for number in 0..edits {
            let change = ListChange::SetPlan {
                plan: "edit-meter".parse()?,
                limits: PlanLimits::try_from(sample_limits(number))?,
                base: None,
            };
            let edit = ListEdit { id: fastrand::u128(..), author: "load".into(), change };
            let revision = editor.submit(&edit)?.revision.0;
            let accepted = Instant::now();
            while !self.all_have(revision, &mut seen)? {
                anyhow::ensure!(
                    accepted.elapsed() < Self::PATIENCE,
                    "revision {revision}: in vain"
                );
                thread::sleep(Self::POLL_INTERVAL);
            }
            times.record(u64::try_from(accepted.elapsed().as_micros())?)?;
            thread::sleep(Duration::from_millis(fastrand::u64(0..200)));
        }
        Ok(times)
    }

    fn all_have(&self, revision: u64, seen: &mut [u64]) -> anyhow::Result<bool> {
        for (host, seen) in self.hosts.iter().zip(seen.iter_mut()) {
            let status: Value = ureq::get(&format!("http://{host}/status")).call()?.into_json()?;
            let found = status["revision"].as_u64().unwrap_or(0);
            anyhow::ensure!(found >= *seen, "{host} went back from {seen} to {found}");
            *seen = found;
        }
        Ok(seen.iter().all(|found| *found >= revision))
    }
}

fn sample_limits(number: u32) -> PlanDraft {
    PlanDraft {
        request_rate: 10.0,
        request_burst: 10.0,
        token_rate: 100.0,
        token_burst: 1_000.0,
        concurrent: number + 1,
        max_tokens: 100,
        weight: 1,
        models: [].into(),
        services: [].into(),
    }
}

use {
    crate::{CallKind, CallRecord},
    std::{collections::BTreeMap, fmt},
};

/// Checks a history against the guarantees on verdicts, answers and retries.
#[derive(Clone, Debug, Default)]
pub struct HistoryCheck {
    violations: Vec<String>,
    in_doubt: usize,
}

impl HistoryCheck {
    /// Checks records; `runs` maps the name of each filing to the number of times that it ran.
    #[must_use]
    pub fn of(records: &[CallRecord], runs: &BTreeMap<String, u64>) -> Self {
        let mut check = Self::default();
        for record in records {
            check.check(record, runs.get(&record.name).copied().unwrap_or(0));
        }
        check
    }

    /// Returns a message for each violated guarantee.
    #[must_use]
    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    fn check(&mut self, record: &CallRecord, runs: u64) {
        let name = &record.name;
        if record.wrong {
            self.violations.push(format!("{name}: wrong answer"));
        }
        self.in_doubt += usize::from(record.verdict == "may-have-run");
        let refused = matches!(record.status, 409 | 429 | 502 | 503) && record.tokens.is_empty();
        if refused && record.retry_after.is_none() {
            self.violations.push(format!("{name}: refused without Retry-After"));
        }
        if record.kind != CallKind::Filing {
            return;
        }
        if runs > 1 {
            self.violations.push(format!("{name}: ran {runs} times"));
        }
        if record.verdict == "not-run" && runs > 0 {
            self.violations.push(format!("{name}: reported as not run, but it ran"));
        }
        if record.complete && runs != 1 {
            self.violations.push(format!("{name}: answered, but it ran {runs} times"));
        }
    }
}

impl fmt::Display for HistoryCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} violations, {} in doubt", self.violations.len(), self.in_doubt)?;
        for violation in &self.violations {
            writeln!(f, "{violation}")?;
        }
        Ok(())
    }
}

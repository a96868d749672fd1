use {
    crate::ids::{Moment, PromptPart},
    std::{collections::HashMap, mem},
};

/// When requests with a part of a prompt last got an answer under way, for the parts seen lately.
#[derive(Clone, Debug, Default)]
pub(super) struct SurvivalTable {
    recent: HashMap<PromptPart, Moment>,
    /// The entries before `recent`; dropped when that is full.
    older: HashMap<PromptPart, Moment>,
}

impl SurvivalTable {
    /// Maximum number of parts in each of the two generations.
    const MAX_PARTS: usize = 2_048;

    pub(super) fn record(&mut self, part: &PromptPart, now: Moment) {
        if let Some(at) = self.recent.get_mut(part) {
            *at = now;
            return;
        }
        if self.recent.len() >= Self::MAX_PARTS {
            self.older = mem::take(&mut self.recent);
        }
        self.recent.insert(part.clone(), now);
    }

    pub(super) fn last(&self, part: &PromptPart) -> Option<Moment> {
        self.recent.get(part).or_else(|| self.older.get(part)).copied()
    }
}

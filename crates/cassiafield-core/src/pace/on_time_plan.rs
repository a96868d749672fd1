use {
    crate::{
        ids::EndpointId,
        process::{PathError, PathPlanner, PathRequest, PlannedPath},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// A path that is planned with regard to the pace of the streams that it joins.
#[derive(Clone, Debug)]
pub struct OnTimePlan {
    /// The path, or why there is none.
    pub planned: Result<PlannedPath, PathError>,
    /// Number of endpoints where one more stream makes another one late.
    pub limited: usize,
    /// Whether the path leaves these endpoints; otherwise no other path is on time.
    pub is_left: bool,
}

impl OnTimePlan {
    /// Plans a path on which neither the stream nor one of those that it joins has events later than
    /// `objective`; if there is none, the least late one.
    ///
    /// Paths that start at one of `connected` are preferred to others of about equal cost.
    #[must_use]
    pub fn new(
        planner: &PathPlanner<'_>,
        request: &PathRequest<'_>,
        connected: &BTreeSet<EndpointId>,
        objective: Option<Duration>,
    ) -> Self {
        let plan = |request: &PathRequest<'_>| planner.plan_preferring(request, connected);
        let limited = match objective {
            Some(_) => planner.load.pace.endpoints_at_limit(planner.now),
            None => BTreeSet::new(),
        };
        if limited.is_empty() {
            return Self { planned: plan(request), limited: 0, is_left: false };
        }
        let excluded: Vec<EndpointId> = request.excluded.iter().chain(&limited).cloned().collect();
        let max_gap_ms = objective.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * 1e3);
        let is_on_time = |path: &PlannedPath| {
            path.token_ms * f64::from(planner.engine.tokens_per_event.max(1)) <= max_gap_ms
        };
        let others = plan(&PathRequest { excluded: &excluded, ..request.clone() });
        let left = others.ok().filter(is_on_time);
        let is_left = left.is_some();
        let planned = left.map_or_else(|| plan(request), Ok);
        Self { planned, limited: limited.len(), is_left }
    }
}

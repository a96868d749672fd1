use {
    crate::{
        process::GatewayState,
        recovery::{PathDoubt, StreamTrack},
    },
    cassiafield_core::{
        ids::{EndpointId, Moment},
        recovery::{ReadBacklog, RecoverySchedule},
        request::RouteStage,
    },
    std::{
        cell::RefCell,
        future::pending,
        rc::{Rc, Weak},
        time::Duration,
    },
    tokio::{
        task::yield_now,
        time::{sleep, timeout},
    },
};

/// What the streams of a host know of each other for the recovery of their paths.
#[derive(Default)]
pub struct RecoveryDesk {
    streams: RefCell<Vec<Weak<StreamTrack>>>,
    /// Prompts that endpoints read again for streams of this host.
    pub backlog: RefCell<ReadBacklog>,
}

impl RecoveryDesk {
    /// Adds a stream, whose progress counts until the track is dropped.
    #[must_use]
    pub fn track_stream(&self) -> Rc<StreamTrack> {
        let track = Rc::new(StreamTrack::default());
        let mut streams = self.streams.borrow_mut();
        // Each stream adds one entry, so that the list stays within twice the streams in flight.
        if streams.len() == streams.capacity() {
            streams.retain(|stream| stream.strong_count() > 0);
        }
        streams.push(Rc::downgrade(&track));
        track
    }

    /// Returns `true` if a stream of this host made progress through an endpoint at `since` or later.
    fn has_progressed(&self, endpoint: &EndpointId, since: Moment) -> bool {
        let streams = self.streams.borrow();
        let hash = StreamTrack::hash_of(endpoint);
        let mut live = streams.iter().filter_map(Weak::upgrade);
        live.any(|stream| stream.has_progressed(hash, since))
    }

    /// Waits until endpoints of a path without an event since `since` are suspects or known to be
    /// unresponsive, at least for `wait`; never returns if all of them answer.
    ///
    /// `wait` is the time after which an event is late, and `verdict_wait` that after which endpoints count that
    /// are known to be unresponsive already.
    pub async fn wait_for_doubt(
        state: &Rc<GatewayState>,
        stages: &[RouteStage],
        since: Moment,
        wait: Duration,
        verdict_wait: Duration,
    ) -> PathDoubt {
        sleep(verdict_wait.min(wait)).await;
        loop {
            // A verdict of another host may concern its own link only.
            let mut unresponsive = state.unresponsive_stages(stages);
            unresponsive.retain(|endpoint| !state.recovery.has_progressed(endpoint, since));
            if !unresponsive.is_empty() {
                return PathDoubt { endpoints: unresponsive, is_verdict: true };
            }
            let left = wait.saturating_sub(state.now().since(since));
            if left.is_zero() || timeout(left, state.next_unresponsive_endpoint()).await.is_err() {
                break;
            }
        }
        // Endpoints through which other streams of this host go on need no probe.
        let is_unknown = |stage: &&RouteStage| {
            !state.recovery.has_progressed(&stage.endpoint, since + verdict_wait)
        };
        let unknown: Vec<RouteStage> = stages.iter().filter(is_unknown).cloned().collect();
        state.start_doubt_probes(&unknown, since);
        // The probes begin.
        yield_now().await;
        let mut may_suspect = true;
        loop {
            let unresponsive = state.unresponsive_stages(stages);
            if !unresponsive.is_empty() {
                return PathDoubt { endpoints: unresponsive, is_verdict: true };
            }
            let now = state.now();
            let suspects =
                if may_suspect { Self::suspects(state, stages, now) } else { Vec::new() };
            if !suspects.is_empty() {
                return PathDoubt { endpoints: suspects, is_verdict: false };
            }
            let unanswered =
                stages.iter().filter_map(|stage| state.unanswered_probe(&stage.endpoint));
            let due = unanswered.map(|began_at| began_at + RecoverySchedule::SUSPECT_AFTER);
            let Some(due) = due.filter(|due| *due > now).min() else {
                if may_suspect {
                    state.next_unresponsive_endpoint().await;
                } else {
                    sleep(RecoverySchedule::SUSPECT_AFTER).await;
                    may_suspect = true;
                }
                continue;
            };
            let asked = due.since(now);
            drop(timeout(asked, state.next_unresponsive_endpoint()).await);
            // A host that is held up itself finds answers only afterwards.
            may_suspect = state.now().since(now) < asked + RecoverySchedule::SUSPECT_AFTER;
        }
    }

    /// Returns the endpoints whose probe has been without an answer for too long, while no stream of this host
    /// made progress through them.
    pub(crate) fn suspects(
        state: &Rc<GatewayState>,
        stages: &[RouteStage],
        now: Moment,
    ) -> Vec<EndpointId> {
        let is_suspect = |endpoint: &EndpointId| {
            state.unanswered_probe(endpoint).is_some_and(|began_at| {
                now.since(began_at) >= RecoverySchedule::SUSPECT_AFTER
                    && !state.recovery.has_progressed(endpoint, began_at)
            })
        };
        let endpoints = stages.iter().map(|stage| &stage.endpoint);
        endpoints.filter(|endpoint| is_suspect(endpoint)).cloned().collect()
    }

    /// Like [`RecoveryDesk::wait_for_doubt`], but never returns without a schedule.
    pub async fn wait_for_doubt_if(
        state: &Rc<GatewayState>,
        stages: &[RouteStage],
        since: Moment,
        waits: Option<(Duration, Duration)>,
    ) -> PathDoubt {
        match waits {
            Some((wait, verdict_wait)) => {
                Self::wait_for_doubt(state, stages, since, wait, verdict_wait).await
            }
            None => pending().await,
        }
    }
}

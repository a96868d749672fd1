use {
    crate::{
        ids::{EndpointId, Moment},
        pace::{PathPart, PlannedPart},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Identifies a running stream of this host in a [`PaceModel`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct PacedStream(u64);

/// Estimates how much slower than planned the parts of paths are, from the events of this host's streams.
///
/// A stream's events say only how long all parts of its path take together. Each stream corrects the
/// estimates of its parts by what is left unexplained; where streams on time and late ones share parts, the
/// part that only late ones use remains.
#[derive(Clone, Debug, Default)]
pub struct PaceModel {
    parts: BTreeMap<PathPart, PartPace>,
    streams: BTreeMap<PacedStream, StreamPace>,
    next_stream: u64,
    /// Factor by which all streams are slower than planned, and when it was known last.
    baseline: Option<(f64, Moment)>,
}

#[derive(Clone, Copy, Debug)]
struct PartPace {
    /// Measured over planned time.
    factor: f64,
    updated_at: Moment,
    /// Number of streams that it rests on.
    streams: u32,
    last_stream: PacedStream,
}

#[derive(Clone, Debug)]
struct StreamPace {
    parts: Vec<PlannedPart>,
    planned_ms: f64,
    objective_ms: f64,
    gap_ms: f64,
    deviation_ms: f64,
    /// When the gap was measured last.
    measured_at: Option<Moment>,
}

impl PaceModel {
    /// Fraction of what a stream leaves unexplained by which it corrects the estimates.
    ///
    /// A single late event must not decide; three in a row nearly do.
    const CORRECTION_WEIGHT: f64 = 0.4;
    /// The same for a stream that is faster than explained, which clears all its parts.
    const CLEARING_WEIGHT: f64 = 0.8;
    /// Bounds of an estimate: a part is not faster than planned, and one above is of no use.
    const FACTOR_RANGE: (f64, f64) = (1.0, 50.0);
    /// Smallest factor that counts as slower than planned; below it, batches and prompts explain it.
    const MIN_CORRECTION: f64 = 1.5;
    /// Largest factor by which all streams may be slower than planned before it counts against parts.
    const MAX_BASELINE: f64 = 3.0;
    /// Fraction by which that factor may rise in a second.
    const BASELINE_RISE_PER_SECOND: f64 = 0.1;
    /// Number of streams that an estimate must rest on: one alone cannot tell its parts apart.
    const MIN_STREAMS: u32 = 2;
    /// Time without a new measurement before an estimate fades; events come several times in it.
    const HOLD: Duration = Duration::from_millis(500);
    /// Time after that in which an estimate fades by half towards the profile.
    const HALF_LIFE: Duration = Duration::from_secs(2);
    /// Age at which an estimate no longer counts.
    const RETENTION: Duration = Duration::from_secs(8);
    /// Weight of the latest gap in a stream's moving averages.
    const GAP_WEIGHT: f64 = 0.2;
    /// Multiple of the mean deviation that an objective must leave room for.
    const DEVIATIONS: f64 = 2.0;
    /// Age at which the gap of a running stream says nothing of the present.
    const GAP_RETENTION: Duration = Duration::from_secs(2);

    /// Adds a stream that runs over `parts`, whose events should come within `objective`.
    pub fn begin(&mut self, parts: Vec<PlannedPart>, objective: Duration) -> PacedStream {
        let stream = PacedStream(self.next_stream);
        self.next_stream += 1;
        let objective_ms = objective.as_secs_f64() * 1e3;
        let planned_ms = parts.iter().map(|part| part.gap_ms).sum();
        let pace = StreamPace {
            parts,
            planned_ms,
            objective_ms,
            gap_ms: planned_ms,
            deviation_ms: 0.0,
            measured_at: None,
        };
        self.streams.insert(stream, pace);
        stream
    }

    /// Removes a stream that has ended or broken.
    pub fn close(&mut self, stream: PacedStream) {
        self.streams.remove(&stream);
    }

    /// Records the time between two events of a stream that its path delivered at `now`.
    ///
    /// The wait for the first event and pauses in which the path failed are not recorded.
    pub fn record_gap(&mut self, stream: PacedStream, gap: Duration, now: Moment) {
        let Some(pace) = self.streams.get_mut(&stream) else { return };
        let gap_ms = gap.as_secs_f64() * 1e3;
        let deviation = (gap_ms - pace.gap_ms).abs();
        pace.gap_ms += (gap_ms - pace.gap_ms) * Self::GAP_WEIGHT;
        pace.deviation_ms += (deviation - pace.deviation_ms) * Self::GAP_WEIGHT;
        pace.measured_at = Some(now);
        let measured_ms = pace.gap_ms;
        let parts: Vec<(PathPart, f64)> =
            pace.parts.iter().map(|planned| (planned.part.clone(), planned.gap_ms)).collect();
        let baseline = self.update_baseline(now);
        let explained: f64 =
            parts.iter().map(|(part, planned)| planned * self.estimate(part, now)).sum();
        let squares: f64 = parts.iter().map(|(_, planned)| planned * planned).sum();
        if squares <= 0.0 {
            return;
        }
        let unexplained_ms = measured_ms / baseline - explained;
        let weight =
            if unexplained_ms < 0.0 { Self::CLEARING_WEIGHT } else { Self::CORRECTION_WEIGHT };
        let correction = unexplained_ms * weight / squares;
        let (lowest, highest) = Self::FACTOR_RANGE;
        for (part, planned) in parts {
            let factor = self.estimate(&part, now) + correction * planned;
            let known = self.parts.get(&part).filter(|known| !Self::is_stale(known, now)).copied();
            let streams = known.map_or(1, |known| {
                known.streams.saturating_add(u32::from(known.last_stream != stream))
            });
            let factor = factor.clamp(lowest, highest);
            let pace = PartPace { factor, updated_at: now, streams, last_stream: stream };
            self.parts.insert(part, pace);
        }
        self.parts.retain(|_, known| !Self::is_stale(known, now));
    }

    /// Returns by what factor a part is slower than planned, and when that was measured last.
    ///
    /// `None` if too few streams say so; 1 if it is as fast as planned.
    #[must_use]
    pub fn slowdown(&self, part: &PathPart, now: Moment) -> Option<(f64, Moment)> {
        let known = self.parts.get(part)?;
        if known.streams < Self::MIN_STREAMS || Self::is_stale(known, now) {
            return None;
        }
        let factor = self.estimate(part, now);
        let factor = if factor < Self::MIN_CORRECTION { 1.0 } else { factor };
        Some((factor, known.updated_at))
    }

    /// Returns the parts that are slower than planned, for logs and metrics.
    pub fn slow_parts(&self, now: Moment) -> impl Iterator<Item = (&PathPart, f64)> {
        self.parts.keys().filter_map(move |part| {
            let (factor, _) = self.slowdown(part, now)?;
            (factor > 1.0).then_some((part, factor))
        })
    }

    /// Returns the endpoints at which one more stream would make another one late that is on time now.
    #[must_use]
    pub fn endpoints_at_limit(&self, now: Moment) -> BTreeSet<EndpointId> {
        let mut found = BTreeSet::new();
        for stream in self.streams.values() {
            let is_recent =
                stream.measured_at.is_some_and(|at| now.since(at) < Self::GAP_RETENTION);
            let expected = stream.gap_ms + stream.deviation_ms * Self::DEVIATIONS;
            if !is_recent || expected > stream.objective_ms {
                continue;
            }
            for planned in &stream.parts {
                if let PathPart::Endpoint(endpoint) = &planned.part {
                    if expected + planned.joined_ms > stream.objective_ms {
                        found.insert(endpoint.clone());
                    }
                }
            }
        }
        found
    }

    /// Returns by what factor all streams are slower than planned: the factor of the fastest one.
    ///
    /// Profiles leave out what every path has, such as prompts that are read between tokens; that says
    /// nothing of one part against another. It rises slowly: many parts may turn slow at once.
    fn update_baseline(&mut self, now: Moment) -> f64 {
        let recent = self.streams.values().filter(|pace| {
            pace.planned_ms > 0.0
                && pace.measured_at.is_some_and(|at| now.since(at) < Self::GAP_RETENTION)
        });
        let lowest = recent.map(|pace| pace.gap_ms / pace.planned_ms).fold(f64::INFINITY, f64::min);
        let lowest = lowest.clamp(1.0, Self::MAX_BASELINE);
        let highest = self.baseline.map_or(lowest, |(known, at)| {
            known * (1.0 + Self::BASELINE_RISE_PER_SECOND * now.since(at).as_secs_f64())
        });
        let baseline = lowest.min(highest);
        self.baseline = Some((baseline, now));
        baseline
    }

    fn is_stale(known: &PartPace, now: Moment) -> bool {
        now.since(known.updated_at) >= Self::RETENTION
    }

    /// Returns the faded estimate of a part.
    fn estimate(&self, part: &PathPart, now: Moment) -> f64 {
        let Some(known) = self.parts.get(part) else { return 1.0 };
        let unconfirmed = now.since(known.updated_at).saturating_sub(Self::HOLD);
        let halves = unconfirmed.as_secs_f64() / Self::HALF_LIFE.as_secs_f64();
        1.0 + (known.factor - 1.0) * 0.5_f64.powf(halves)
    }
}

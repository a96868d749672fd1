use {
    crate::{
        ids::{CrashSubject, EndpointId, Moment},
        process::{
            survival_table::SurvivalTable, CrashReport, EndpointLife, SubjectEndReport,
            SubjectReport,
        },
        request::{RefusalCause, RequestIdentity},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        fmt,
        time::Duration,
    },
};

/// A part of prompts, or a request, that is kept from endpoints, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockedSubject {
    /// What the requests have in common.
    pub subject: CrashSubject,
    /// Number of endpoints that ended under requests with it, as far as known.
    pub ends: usize,
    /// Time since it was blocked.
    pub age: Duration,
    /// Time since a request with it last came.
    pub idle: Duration,
}

impl BlockedSubject {
    /// Returns the cause for which requests with it are refused.
    #[must_use]
    pub const fn refusal_cause(&self) -> RefusalCause {
        match self.subject {
            CrashSubject::Part(_) => RefusalCause::PromptBlocked,
            CrashSubject::Request(_) => RefusalCause::RequestBlocked,
        }
    }
}

impl fmt::Display for BlockedSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: {} endpoints ended under it, blocked {} ms ago, last requested {} ms ago",
            self.subject,
            self.ends,
            self.age.as_millis(),
            self.idle.as_millis(),
        )
    }
}

/// The end of an endpoint with the requests that may have caused it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndSummary {
    /// Number of requests that had been sent to the endpoint and had no answer under way.
    pub suspects: usize,
    /// What they may have in common with others, each with the number of ends that speak against it.
    pub subjects: Vec<(CrashSubject, usize)>,
}

/// Finds the parts of prompts and the requests that crash endpoints, and keeps them from endpoints.
///
/// Evidence against one of these subjects is the end of an endpoint to which a request with it had
/// been sent and at which that request had no answer under way. Evidence for it is a request whose
/// answer got under way. Each run of an endpoint counts once, whichever host reports it.
///
/// A part is blocked if several ends, some time apart and under different requests, have no other
/// explanation. A part whose requests were answered lately needs more: it is shared by sound
/// requests, which are in flight when others crash an endpoint. A request is blocked if it comes again
/// and ends endpoints each time; a sound one that comes often is answered in between.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: BTreeMap<CrashSubject, SubjectRecord>,
    survivals: SurvivalTable,
    /// Broken connections of requests without an answer under way, whose endpoint may have ended.
    breaks: VecDeque<BrokenRequest>,
    /// When endpoints ended at which requests had no answer under way, whatever came of it.
    end_times: BTreeMap<EndpointLife, Moment>,
    /// Whether anything has changed since the last verdicts.
    has_new_evidence: bool,
    /// When evidence that suffices will be old enough for a verdict.
    judge_again_at: Option<Moment>,
    /// Subjects that are no longer blocked, until they are taken.
    released: Vec<CrashSubject>,
    /// Endpoints that ended lately.
    ended: VecDeque<(EndpointId, Moment)>,
}

#[derive(Clone, Debug)]
struct BrokenRequest {
    lives: Vec<EndpointLife>,
    identity: RequestIdentity,
    at: Moment,
}

#[derive(Clone, Debug, Default)]
struct SubjectRecord {
    ends: BTreeMap<EndpointLife, SubjectEnd>,
    survived_at: Option<Moment>,
    /// Evidence up to then does not count.
    cleared_at: Option<Moment>,
    blocked_at: Option<Moment>,
    /// When a request with the blocked part last came.
    requested_at: Option<Moment>,
    /// Parts with the same evidence, if there are any: then only requests with all of them are
    /// blocked, and the next end or answer tells them apart.
    companions: Vec<CrashSubject>,
    /// When the part was released since no request with it came.
    lapsed_at: Option<Moment>,
    changed_at: Moment,
}

#[derive(Clone, Copy, Debug)]
struct SubjectEnd {
    at: Moment,
    own: u64,
    position: u8,
}

/// How much speaks against a part; the greatest is blocked first.
///
/// Of parts with equal evidence the later one in the prompt is the more specific.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct EvidenceWeight {
    ends: usize,
    requests: usize,
    position: u8,
    /// When the last of the ends came that suffice.
    suffices_at: Moment,
}

impl CrashLedger {
    /// Number of ends that block a part without any known answer to its requests.
    const MIN_ENDS: usize = 3;
    /// Number of different requests under which these ends came.
    const MIN_REQUESTS: usize = 3;
    /// The same for a part whose requests were answered within [`Self::SURVIVAL_TIME`].
    const MIN_ENDS_AFTER_SURVIVAL: usize = 6;
    const MIN_REQUESTS_AFTER_SURVIVAL: usize = 3;
    /// Number of attempts of a request under which ends came.
    const MIN_ATTEMPTS: usize = 2;
    /// Time for which an answer speaks for the parts of its request.
    const SURVIVAL_TIME: Duration = Duration::from_secs(60);
    /// Ends closer together count as one: they may have one cause, such as a rack without power.
    const COMMON_CAUSE_TIME: Duration = Duration::from_millis(100);
    /// The same for a request, which is sent to the next endpoint only after the end of one.
    const REQUEST_COMMON_CAUSE_TIME: Duration = Duration::from_millis(30);
    /// Number of ends under a request after which it spares the last endpoint of its service.
    const SEVERAL_ENDS: usize = 2;
    /// Time after an end in which the endpoint has not returned yet.
    const RETURN_TIME: Duration = Duration::from_secs(5);
    /// Number of ends at one moment of which a part must be under half to be their cause.
    const MASS_ENDS: usize = 4;
    /// Time after the last end that a verdict needs, in which peers report other causes of the ends.
    const JOINING_TIME: Duration = Duration::from_millis(250);
    /// The same for a request, in which the next answer to a sound one reaches this host.
    const REQUEST_JOINING_TIME: Duration = Duration::from_millis(500);
    /// Time between a broken connection and the finding that its endpoint has ended.
    const CONFIRMATION_TIME: Duration = Duration::from_secs(2);
    /// Time for which an end counts.
    const RETENTION: Duration = Duration::from_secs(600);
    /// Time without a request after which a part is no longer blocked; one more end blocks it again.
    const LAPSE_TIME: Duration = Duration::from_secs(120);
    /// Time for which changes are reported.
    const REPORT_TIME: Duration = Duration::from_secs(2);
    /// Interval at which evidence without a verdict is reported again, for hosts that were cut off, and
    /// the time in which it is.
    const REPEAT_INTERVAL: Duration = Duration::from_secs(10);
    const REPEAT_TIME: Duration = Duration::from_millis(400);
    /// Upper bounds of the table for each kind of subject, of the ends of one and of a report.
    const MAX_SUBJECTS: usize = 256;
    const MAX_ENDS: usize = 16;
    const MAX_REPORTED: usize = 64;
    const MAX_REPORTED_ENDS: usize = 8;
    const MAX_BREAKS: usize = 512;
    const MAX_END_TIMES: usize = 512;
    /// Difference below which two times from peers are the same one, delayed on its way.
    const MESSAGE_DELAY: Duration = Duration::from_millis(400);

    /// Records that a request's connection broke before its answer was under way.
    ///
    /// `lives` are the endpoints that may have ended. It is evidence only if one of them has.
    pub fn record_break(
        &mut self,
        lives: Vec<EndpointLife>,
        identity: &RequestIdentity,
        now: Moment,
    ) {
        self.expire(now);
        let broken = BrokenRequest { lives, identity: identity.clone(), at: now };
        let ended: Vec<EndpointLife> = broken
            .lives
            .iter()
            .filter(|life| self.ended.iter().any(|(endpoint, _)| endpoint == &life.endpoint))
            .cloned()
            .collect();
        for life in ended {
            self.add_end(&life, &broken.identity, now);
        }
        if self.breaks.len() >= Self::MAX_BREAKS {
            self.breaks.pop_front();
        }
        self.breaks.push_back(broken);
    }

    /// Forgets the broken connections to an endpoint: this host had lost its way to it.
    pub fn forget_breaks(&mut self, endpoint: &EndpointId) {
        self.breaks.retain(|broken| broken.lives.iter().all(|life| &life.endpoint != endpoint));
    }

    /// Returns `true` if connections to an endpoint broke lately under requests without an answer.
    #[must_use]
    pub fn has_breaks(&self, endpoint: &EndpointId) -> bool {
        let is_at = |life: &EndpointLife| &life.endpoint == endpoint;
        self.breaks.iter().any(|broken| broken.lives.iter().any(is_at))
    }

    /// Records that an endpoint has ended; returns what was in flight there.
    pub fn record_end(&mut self, endpoint: &EndpointId, now: Moment) -> EndSummary {
        self.expire(now);
        if !self.ended.iter().any(|(known, _)| known == endpoint) {
            self.ended.push_back((endpoint.clone(), now));
        }
        let mut summary = EndSummary::default();
        let breaks = std::mem::take(&mut self.breaks);
        let mut subjects = BTreeSet::new();
        for broken in &breaks {
            for life in broken.lives.iter().filter(|life| &life.endpoint == endpoint) {
                summary.suspects += 1;
                self.add_end(life, &broken.identity, broken.at);
                subjects.extend(subjects_of(&broken.identity));
            }
        }
        // Each of them speaks against its subjects once only.
        self.breaks = breaks;
        self.breaks.retain(|broken| broken.lives.iter().all(|life| &life.endpoint != endpoint));
        let counted = subjects.into_iter().map(|subject| {
            let ends = self.records.get(&subject).map_or(0, |found| found.ends.len());
            (subject, ends)
        });
        summary.subjects = counted.collect();
        summary
    }

    /// Records that a request's answer got under way, which clears its subjects.
    pub fn record_survival(&mut self, identity: &RequestIdentity, now: Moment) {
        for part in identity.prefix().shared() {
            self.survivals.record(part, now);
        }
        for subject in subjects_of(identity) {
            if let Some(record) = self.records.get_mut(&subject) {
                self.has_new_evidence |= !record.ends.is_empty();
                record.survived_at = Some(now);
                if record.clear(now) {
                    self.released.push(subject);
                }
            }
        }
    }

    /// Returns `true` if a request is known under which endpoints ended, so that fingerprints matter.
    #[must_use]
    pub fn needs_fingerprints(&self) -> bool {
        // Requests are the last ones in order.
        self.records.keys().next_back().is_some_and(CrashSubject::is_request)
    }

    /// Returns `true` if several endpoints ended under a request, or others with one of its subjects,
    /// none of which has been answered since, and one so recently that it has not returned yet.
    ///
    /// A single end has another reason far more often.
    #[must_use]
    pub fn has_just_ended_several(&self, identity: &RequestIdentity, now: Moment) -> bool {
        subjects_of(identity).any(|subject| {
            let record = self.records.get(&subject).filter(|found| found.survived_at.is_none());
            record.is_some_and(|record| {
                let is_recent = |end: &SubjectEnd| now.since(end.at) < Self::RETURN_TIME;
                record.ends.len() >= Self::SEVERAL_ENDS && record.ends.values().any(is_recent)
            })
        })
    }

    /// Sets the evidence against a subject aside, as an operator asks; returns `true` if it was blocked.
    pub fn lift(&mut self, subject: &CrashSubject, now: Moment) -> bool {
        self.has_new_evidence = true;
        let was_blocked = self.records.get_mut(subject).is_some_and(|record| record.clear(now));
        if was_blocked {
            self.released.push(subject.clone());
        }
        was_blocked
    }

    /// Returns the subjects that are no longer blocked, each once.
    pub fn take_released(&mut self) -> Vec<CrashSubject> {
        std::mem::take(&mut self.released)
    }

    /// Returns the first blocked subject of a request; the block lasts while such requests come.
    pub fn check(&mut self, identity: &RequestIdentity, now: Moment) -> Option<BlockedSubject> {
        if self.records.is_empty() {
            return None;
        }
        let subjects: Vec<CrashSubject> = subjects_of(identity).collect();
        let is_match = |subject: &&CrashSubject| {
            self.records.get(*subject).is_some_and(|record| {
                record.is_blocked(now)
                    && record.companions.iter().all(|other| subjects.contains(other))
            })
        };
        let subject = subjects.iter().find(is_match)?;
        let record = self.records.get_mut(subject)?;
        let blocked = record.describe(subject, now);
        record.requested_at = Some(now);
        blocked
    }

    /// Returns `true` if an endpoint ended under a request with one of the subjects, and none of its
    /// requests has been answered since.
    #[must_use]
    pub fn is_suspect(&self, identity: &RequestIdentity) -> bool {
        subjects_of(identity).any(|subject| {
            let record = self.records.get(&subject);
            record.is_some_and(|record| !record.ends.is_empty() && record.survived_at.is_none())
        })
    }

    /// Returns `true` if a request may be sent again under which `ends` endpoints have ended.
    ///
    /// After the first end it may once, unless endpoints ended under other requests with one of its
    /// subjects, or under other attempts of it, as well.
    #[must_use]
    pub fn may_repeat(&self, identity: &RequestIdentity, ends: u32) -> bool {
        let is_shared_suspicion = |subject: CrashSubject| {
            let Some(record) = self.records.get(&subject) else { return false };
            let own = own_number(&subject, identity);
            let has_other = record.ends.values().any(|end| end.own != own);
            has_other && record.survived_at.is_none()
        };
        match ends {
            0 => true,
            1 => !subjects_of(identity).any(is_shared_suspicion),
            _ => false,
        }
    }

    /// Returns the blocked subjects.
    #[must_use]
    pub fn blocked(&self, now: Moment) -> Vec<BlockedSubject> {
        self.records.iter().filter_map(|(part, record)| record.describe(part, now)).collect()
    }

    /// Blocks the subjects that enough speaks against, and returns those that were not before.
    ///
    /// An end under a blocked subject speaks against no other one.
    pub fn judge(&mut self, now: Moment) -> Vec<BlockedSubject> {
        self.expire(now);
        let is_due = self.judge_again_at.is_some_and(|at| now >= at);
        if !std::mem::take(&mut self.has_new_evidence) && !is_due {
            return Vec::new();
        }
        self.judge_again_at = None;
        self.release_untied(now);
        let mut found = Vec::new();
        loop {
            let explained = self.explained_ends(None, now);
            let candidates = self.records.iter().filter(|(_, record)| !record.is_blocked(now));
            let weighed: Vec<(EvidenceWeight, CrashSubject)> = candidates
                .filter(|(_, record)| record.ends.len() >= Self::MIN_ENDS)
                .filter_map(|(part, record)| {
                    let mass_ends = self.unrelated_mass_ends(record);
                    let is_counted = |life: &EndpointLife| {
                        !explained.contains(life) && !mass_ends.contains(life)
                    };
                    Some((record.weigh(part.is_request(), is_counted, now)?, part.clone()))
                })
                .collect();
            let Some((weight, part)) = weighed.iter().max().cloned() else { return found };
            let joining_time =
                if part.is_request() { Self::REQUEST_JOINING_TIME } else { Self::JOINING_TIME };
            if now < weight.suffices_at + joining_time {
                self.judge_again_at = Some(weight.suffices_at + joining_time);
                return found;
            }
            let others = weighed.iter().map(|(_, other)| other).filter(|other| **other != part);
            let companions: Vec<CrashSubject> = others
                .filter(|other| self.has_same_ends(other, &part, &explained))
                .cloned()
                .collect();
            if let Some(record) = self.records.get_mut(&part) {
                record.blocked_at = Some(now);
                record.requested_at = Some(now);
                record.changed_at = now;
                record.companions = companions;
                found.extend(record.describe(&part, now));
            }
        }
    }

    /// Returns the ends under a part at moments at which many endpoints ended, most of them not under
    /// it.
    fn unrelated_mass_ends(&self, record: &SubjectRecord) -> BTreeSet<EndpointLife> {
        let is_near = |one: Moment, other: Moment| {
            one.since(other).max(other.since(one)) < Self::COMMON_CAUSE_TIME
        };
        let is_unrelated = |at: Moment| {
            let all = self.end_times.values().filter(|other| is_near(**other, at)).count();
            let own = record.ends.values().filter(|other| is_near(other.at, at)).count();
            all >= Self::MASS_ENDS && own * 2 < all
        };
        let unrelated = record.ends.iter().filter(|(_, end)| is_unrelated(end.at));
        unrelated.map(|(life, _)| life.clone()).collect()
    }

    fn record_end_time(&mut self, life: &EndpointLife, at: Moment) {
        if self.end_times.len() >= Self::MAX_END_TIMES {
            let oldest = self.end_times.iter().min_by_key(|(_, at)| **at);
            if let Some(life) = oldest.map(|(life, _)| life.clone()) {
                self.end_times.remove(&life);
            }
        }
        self.end_times.entry(life.clone()).or_insert(at);
    }

    /// Withdraws the verdicts on parts that have been told apart from their companions since.
    fn release_untied(&mut self, now: Moment) {
        let is_untied = |part: &CrashSubject, record: &SubjectRecord| {
            let explained = self.explained_ends(Some(part), now);
            record.companions.iter().any(|other| !self.has_same_ends(part, other, &explained))
        };
        let blocked = self.records.iter().filter(|(_, record)| record.is_blocked(now));
        let untied: Vec<CrashSubject> = blocked
            .filter(|(part, record)| is_untied(part, record))
            .map(|(part, _)| part.clone())
            .collect();
        for part in untied {
            if let Some(record) = self.records.get_mut(&part) {
                record.blocked_at = None;
                record.requested_at = None;
                record.companions.clear();
            }
        }
    }

    /// Returns the ends under blocked parts other than `part`.
    fn explained_ends(&self, part: Option<&CrashSubject>, now: Moment) -> BTreeSet<EndpointLife> {
        let blocked = self.records.iter().filter(|(_, record)| record.is_blocked(now));
        let others = blocked.filter(|(other, _)| Some(*other) != part);
        others.flat_map(|(_, record)| record.ends.keys().cloned()).collect()
    }

    /// Returns `true` if the same ends speak against two parts, apart from the explained ones.
    fn has_same_ends(
        &self,
        one: &CrashSubject,
        other: &CrashSubject,
        explained: &BTreeSet<EndpointLife>,
    ) -> bool {
        let lives = |part: &CrashSubject| -> Vec<&EndpointLife> {
            let ends = self.records.get(part).into_iter().flat_map(|record| record.ends.keys());
            ends.filter(|life| !explained.contains(*life)).collect()
        };
        lives(one) == lives(other)
    }

    /// Returns what peers should know.
    #[must_use]
    pub fn report(&self, now: Moment) -> CrashReport {
        let is_news = |record: &SubjectRecord| {
            let since_change = now.since(record.changed_at);
            let since_repeat = since_change.as_millis() % Self::REPEAT_INTERVAL.as_millis();
            record.is_blocked(now)
                || since_change < Self::REPORT_TIME
                || !record.ends.is_empty() && since_repeat < Self::REPEAT_TIME.as_millis()
        };
        let mut records: Vec<_> =
            self.records.iter().filter(|(_, record)| is_news(record)).collect();
        records.sort_by_key(|(_, record)| {
            let rank = (record.is_blocked(now), record.ends.len(), record.changed_at);
            std::cmp::Reverse(rank)
        });
        records.truncate(Self::MAX_REPORTED);
        let age = |at: Moment| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let subjects = records.into_iter().map(|(part, record)| {
            let ends = record.ends.iter().take(Self::MAX_REPORTED_ENDS);
            let ends = ends.map(|(life, end)| SubjectEndReport {
                life: life.clone(),
                age_ms: age(end.at),
                own: end.own,
                position: end.position,
            });
            SubjectReport {
                subject: part.clone(),
                ends: ends.collect(),
                survived_ms: record.survived_at.map(age),
                cleared_ms: record.cleared_at.map(age),
                companions: record.companions.clone(),
                blocked_ms: record.blocked_at.map(age),
                requested_ms: record.requested_at.map(age),
            }
        });
        CrashReport { subjects: subjects.collect() }
    }

    /// Returns the blocked parts with their evidence, to be kept where a restart of all hosts does not
    /// lose them.
    #[must_use]
    pub fn verdicts(&self, now: Moment) -> CrashReport {
        let mut report = self.report(now);
        report.subjects.retain(|found| found.blocked_ms.is_some());
        report
    }

    /// Adds what a peer knows; returns the parts that it blocks and this host did not.
    pub fn merge(&mut self, report: CrashReport, now: Moment) -> Vec<BlockedSubject> {
        self.expire(now);
        self.has_new_evidence |= !report.is_empty();
        let at = |age_ms: u32| now.earlier_by(Duration::from_millis(u64::from(age_ms)));
        let mut adopted = Vec::new();
        for end in report.subjects.iter().flat_map(|found| &found.ends) {
            self.record_end_time(&end.life, at(end.age_ms));
        }
        for found in report.subjects.into_iter().take(2 * Self::MAX_SUBJECTS) {
            let was_known = self.records.contains_key(&found.subject);
            let is_past = found.ends.is_empty() && found.blocked_ms.is_none();
            if !was_known && (is_past || !self.make_room(&found.subject)) {
                continue;
            }
            let survived_at = self.last_survival(&found.subject);
            let record = self.records.entry(found.subject.clone()).or_default();
            if !was_known {
                *record = SubjectRecord::new(survived_at, now);
            }
            record.survived_at = later(record.survived_at, found.survived_ms.map(at));
            let cleared_at = later(record.cleared_at, found.cleared_ms.map(at));
            if let Some(cleared_at) = cleared_at.filter(|_| cleared_at != record.cleared_at) {
                if record.clear(cleared_at) {
                    self.released.push(found.subject.clone());
                }
            }
            for end in found.ends {
                let found = SubjectEnd { at: at(end.age_ms), own: end.own, position: end.position };
                record.add_end(end.life, found, now);
            }
            let blocked_at = found.blocked_ms.map(at);
            let is_requested =
                found.requested_ms.is_some_and(|age| now.since(at(age)) < Self::LAPSE_TIME);
            let is_current = |at: Moment| record.cleared_at.is_none_or(|cleared| cleared < at);
            if let Some(blocked_at) = blocked_at.filter(|at| is_requested && is_current(*at)) {
                if record.blocked_at.is_none() {
                    record.blocked_at = Some(blocked_at);
                    record.changed_at = now;
                    record.requested_at = Some(found.requested_ms.map_or(now, at));
                    record.companions = found.companions;
                    adopted.extend(record.describe(&found.subject, now));
                }
            }
            record.requested_at = later(record.requested_at, found.requested_ms.map(at));
        }
        adopted
    }

    fn add_end(&mut self, life: &EndpointLife, identity: &RequestIdentity, now: Moment) {
        self.has_new_evidence = true;
        self.record_end_time(life, now);
        for (index, subject) in subjects_of(identity).enumerate() {
            if !self.records.contains_key(&subject) && !self.make_room(&subject) {
                continue;
            }
            let survived_at = self.last_survival(&subject);
            let own = own_number(&subject, identity);
            let record =
                self.records.entry(subject).or_insert_with(|| SubjectRecord::new(survived_at, now));
            let position = u8::try_from(index).unwrap_or(u8::MAX);
            record.add_end(life.clone(), SubjectEnd { at: now, own, position }, now);
        }
    }

    fn last_survival(&self, subject: &CrashSubject) -> Option<Moment> {
        match subject {
            CrashSubject::Part(part) => self.survivals.last(part),
            // Answers are kept for requests under which endpoints have ended only.
            CrashSubject::Request(_) => None,
        }
    }

    /// Makes room for one more subject; returns `false` if every known one of its kind is blocked.
    fn make_room(&mut self, subject: &CrashSubject) -> bool {
        let is_request = subject.is_request();
        let same_kind = self.records.iter().filter(|(other, _)| other.is_request() == is_request);
        if same_kind.clone().count() < Self::MAX_SUBJECTS {
            return true;
        }
        let unblocked = same_kind.filter(|(_, record)| record.blocked_at.is_none());
        let least = unblocked.min_by_key(|(_, record)| (record.ends.len(), record.changed_at));
        let least = least.map(|(other, _)| other.clone());
        least.is_some_and(|other| self.records.remove(&other).is_some())
    }

    fn expire(&mut self, now: Moment) {
        let is_recent = |at: Moment| now.since(at) < Self::CONFIRMATION_TIME;
        self.breaks.retain(|broken| is_recent(broken.at));
        self.ended.retain(|(_, at)| is_recent(*at));
        self.end_times.retain(|_, at| now.since(*at) < Self::RETENTION);
        let released = &mut self.released;
        self.records.retain(|part, record| {
            record.ends.retain(|_, end| now.since(end.at) < Self::RETENTION);
            if record.blocked_at.is_some() && !record.is_blocked(now) {
                released.push(part.clone());
                record.blocked_at = None;
                record.requested_at = None;
                record.companions.clear();
                record.lapsed_at = Some(now);
            }
            record.blocked_at.is_some()
                || !record.ends.is_empty()
                || now.since(record.changed_at) < Self::SURVIVAL_TIME
        });
    }
}

impl SubjectRecord {
    fn new(survived_at: Option<Moment>, now: Moment) -> Self {
        Self { survived_at, cleared_at: survived_at, changed_at: now, ..Self::default() }
    }

    fn is_blocked(&self, now: Moment) -> bool {
        let is_requested =
            self.requested_at.is_some_and(|at| now.since(at) < CrashLedger::LAPSE_TIME);
        self.blocked_at.is_some() && is_requested
    }

    fn describe(&self, part: &CrashSubject, now: Moment) -> Option<BlockedSubject> {
        let blocked_at = self.blocked_at.filter(|_| self.is_blocked(now))?;
        Some(BlockedSubject {
            subject: part.clone(),
            ends: self.ends.len(),
            age: now.since(blocked_at),
            idle: now.since(self.requested_at?),
        })
    }

    fn add_end(&mut self, life: EndpointLife, end: SubjectEnd, now: Moment) {
        if self.cleared_at.is_some_and(|cleared| end.at <= cleared) {
            // Whoever reports it has not heard of the answer.
            self.changed_at = now;
            return;
        }
        if let Some(known) = self.ends.get_mut(&life) {
            known.own = known.own.min(end.own);
            known.position = known.position.max(end.position);
        } else if self.ends.len() < CrashLedger::MAX_ENDS {
            self.ends.insert(life, end);
            self.changed_at = now;
        }
    }

    /// Sets the evidence up to `at` aside; returns `true` if the part was blocked.
    fn clear(&mut self, at: Moment) -> bool {
        if self.ends.values().any(|end| end.at <= at) || self.blocked_at.is_some() {
            self.changed_at = self.changed_at.max(at);
        }
        self.ends.retain(|_, end| end.at > at);
        self.cleared_at = self.cleared_at.max(Some(at));
        let is_outdated = self.blocked_at.is_some_and(|blocked| blocked <= at);
        if is_outdated {
            self.blocked_at = None;
            self.requested_at = None;
            self.companions.clear();
        }
        is_outdated
    }

    /// Returns the weight of the ends without another explanation, if it suffices.
    fn weigh(
        &self,
        is_request: bool,
        is_counted: impl Fn(&EndpointLife) -> bool,
        now: Moment,
    ) -> Option<EvidenceWeight> {
        let counted = self.ends.iter().filter(|(life, _)| is_counted(life));
        let mut ends: Vec<SubjectEnd> = counted.map(|(_, end)| *end).collect();
        ends.sort_by_key(|end| end.at);
        let common_cause_time = if is_request {
            CrashLedger::REQUEST_COMMON_CAUSE_TIME
        } else {
            CrashLedger::COMMON_CAUSE_TIME
        };
        let mut last: Option<Moment> = None;
        let is_apart = |end: &&SubjectEnd| {
            let is_apart = last.is_none_or(|last| end.at.since(last) >= common_cause_time);
            if is_apart {
                last = Some(end.at);
            }
            is_apart
        };
        let times: Vec<Moment> = ends.iter().filter(is_apart).map(|end| end.at).collect();
        let requests: BTreeSet<u64> = ends.iter().map(|end| end.own).collect();
        if self.lapsed_at.is_some_and(|lapsed_at| ends.iter().all(|end| end.at <= lapsed_at)) {
            return None;
        }
        let has_survived =
            self.survived_at.is_some_and(|at| now.since(at) < CrashLedger::SURVIVAL_TIME);
        let (min_ends, min_requests) = if has_survived {
            (CrashLedger::MIN_ENDS_AFTER_SURVIVAL, CrashLedger::MIN_REQUESTS_AFTER_SURVIVAL)
        } else {
            (CrashLedger::MIN_ENDS, CrashLedger::MIN_REQUESTS)
        };
        let min_requests = if is_request { CrashLedger::MIN_ATTEMPTS } else { min_requests };
        let suffices_at = *times.get(min_ends - 1)?;
        let position = ends.iter().map(|end| end.position).max()?;
        let weight =
            EvidenceWeight { ends: times.len(), requests: requests.len(), position, suffices_at };
        (requests.len() >= min_requests).then_some(weight)
    }
}

/// Returns the later of two times, unless they are so close that the other is the same one after its
/// way over a peer.
fn later(known: Option<Moment>, other: Option<Moment>) -> Option<Moment> {
    match (known, other) {
        (Some(known), Some(other)) if other <= known + CrashLedger::MESSAGE_DELAY => Some(known),
        (known, other) => known.max(other),
    }
}

/// Returns what a request may have in common with others; the request itself comes last.
fn subjects_of(identity: &RequestIdentity) -> impl Iterator<Item = CrashSubject> + '_ {
    let parts = identity.prefix().shared().iter().cloned().map(CrashSubject::Part);
    parts.chain(identity.fingerprint().map(CrashSubject::Request))
}

/// Returns a number that tells requests with a subject apart, or attempts of one request.
const fn own_number(subject: &CrashSubject, identity: &RequestIdentity) -> u64 {
    match subject {
        CrashSubject::Part(_) => identity.prefix().own(),
        CrashSubject::Request(_) => identity.attempt(),
    }
}

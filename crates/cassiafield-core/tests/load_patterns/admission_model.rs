//! A zone whose hosts share the memory of its endpoints, under the grantor and under the former rule.

use {
    cassiafield_core::{
        admission::{
            AdmissionGrantor, AdmissionOutcome, AdmissionReport, AdmissionRoom, AdmissionTicket,
            GrantNumber, GrantorReach, RequestPriority, WaitingRequest,
        },
        ids::{EndpointId, HostId, Moment, OrganisationId},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A kind of requests that arrive in the model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSource {
    pub(crate) organisation: &'static str,
    pub(crate) priority: u32,
    pub(crate) tokens: u32,
    /// Mean number of arrivals a second.
    pub(crate) rate: f64,
    /// How long a stream runs.
    pub(crate) run_ms: u64,
    pub(crate) max_wait_ms: u64,
}

/// Requests of one source that arrived and were admitted within their wait.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SourceOutcome {
    pub(crate) arrived: u32,
    pub(crate) admitted: u32,
}

impl SourceOutcome {
    pub(crate) fn share(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.arrived.max(1))
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Rule {
    /// One order over all hosts.
    Granted,
    /// Arrivals go first, those that wait look every 40 ms.
    Former,
}

#[derive(Debug, Default)]
struct ModelRoom {
    total: u32,
    used: BTreeMap<OrganisationId, u32>,
}

impl ModelRoom {
    fn sum(&self) -> u32 {
        self.used.values().sum()
    }

    fn take(&mut self, organisation: &OrganisationId, tokens: u32) -> bool {
        let fits = self.sum() + tokens <= self.total;
        if fits {
            *self.used.entry(organisation.clone()).or_default() += tokens;
        }
        fits
    }

    fn give(&mut self, organisation: &OrganisationId, tokens: u32) {
        if let Some(used) = self.used.get_mut(organisation) {
            *used -= tokens;
        }
        self.used.retain(|_, used| *used > 0);
    }
}

impl AdmissionRoom for ModelRoom {
    type Hold = (OrganisationId, u32);

    fn hold(&mut self, request: &WaitingRequest) -> Option<Self::Hold> {
        let organisation = request.organisation.clone()?;
        self.take(&organisation, request.tokens()).then_some((organisation, request.tokens()))
    }

    fn endpoints(&self, _hold: &Self::Hold) -> Vec<EndpointId> {
        Vec::new()
    }

    fn release(&mut self, _hold: Self::Hold) {
        // Every grant is used here: the stream has the room until its end.
    }

    fn excess(&self, organisation: &OrganisationId) -> f64 {
        let equal = f64::from(self.sum()) / self.used.len().max(1) as f64;
        f64::from(self.used.get(organisation).copied().unwrap_or_default()) / equal.max(1.0)
    }
}

struct Waiting {
    source: usize,
    host: usize,
    ticket: AdmissionTicket,
    expires_at: u64,
    /// When the former rule looks again.
    looks_at: u64,
}

/// Plays some seconds of arrivals; `rate` scales them in the middle third.
pub(crate) fn play(
    rule: Rule,
    sources: &[RequestSource],
    (hosts, room, burst): (usize, u32, f64),
    seed: u64,
) -> Vec<SourceOutcome> {
    const LENGTH_MS: u64 = 9_000;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut room = ModelRoom { total: room, ..ModelRoom::default() };
    let mut grantor = AdmissionGrantor::default();
    let reach = GrantorReach { followers: hosts, hosts };
    grantor.record_lead(true, reach, &mut room, Moment::ORIGIN);
    let names: Vec<HostId> =
        (0..hosts).map(|index| format!("host-{index:03}").parse().unwrap()).collect();
    let organisations: Vec<OrganisationId> =
        sources.iter().map(|source| source.organisation.parse().unwrap()).collect();
    let mut outcomes = vec![SourceOutcome::default(); sources.len()];
    let mut settled: BTreeMap<usize, Vec<GrantNumber>> = BTreeMap::new();
    let (mut waiting, mut running): (Vec<Waiting>, Vec<(u64, usize)>) = (Vec::new(), Vec::new());
    let mut ticket = AdmissionTicket::ZERO;
    let start = 1_000;
    for ms in (start..start + LENGTH_MS).step_by(5) {
        let now = Moment::from_millis(ms);
        running.retain(|&(until, source)| {
            let has_ended = until <= ms;
            if has_ended {
                room.give(&organisations[source], sources[source].tokens);
                grantor.record_ends(1, now);
            }
            !has_ended
        });
        waiting.retain(|request| request.expires_at > ms);
        let is_burst = (start + LENGTH_MS / 3..start + LENGTH_MS * 2 / 3).contains(&ms);
        for (index, source) in sources.iter().enumerate() {
            let factor = if is_burst && index == 0 { burst } else { 1.0 };
            let mut expected = source.rate * factor * 0.005;
            while expected > 0.0 && random.f64() < expected {
                expected -= 1.0;
                outcomes[index].arrived += 1;
                let tries_first = rule == Rule::Former || waiting.is_empty();
                if tries_first && room.take(&organisations[index], source.tokens) {
                    outcomes[index].admitted += 1;
                    running.push((ms + source.run_ms, index));
                    continue;
                }
                ticket = ticket.next();
                waiting.push(Waiting {
                    source: index,
                    host: random.usize(..hosts),
                    ticket,
                    expires_at: ms + source.max_wait_ms,
                    looks_at: ms + random.u64(1..=40),
                });
            }
        }
        match rule {
            Rule::Former => {
                random.shuffle(&mut waiting);
                waiting.retain_mut(|request| {
                    let source = &sources[request.source];
                    if request.looks_at > ms {
                        return true;
                    }
                    request.looks_at += 40;
                    let is_admitted = room.take(&organisations[request.source], source.tokens);
                    if is_admitted {
                        outcomes[request.source].admitted += 1;
                        running.push((ms + source.run_ms, request.source));
                    }
                    !is_admitted
                });
            }
            Rule::Granted => {
                for (host, name) in names.iter().enumerate() {
                    let report = AdmissionReport {
                        incarnation: 1,
                        sequence: ms,
                        waiting: (waiting.iter().filter(|request| request.host == host))
                            .map(|request| reported(request, sources, &organisations, ms))
                            .collect(),
                        settled: settled.remove(&host).unwrap_or_default(),
                    };
                    grantor.record_report(name, report, &mut room, now);
                }
                grantor.record_lead(true, reach, &mut room, now);
                for (name, reply) in grantor.decide(&mut room, reach, now).0 {
                    let host = names.iter().position(|found| *found == name).unwrap();
                    for (ticket, outcome) in reply.outcomes {
                        let Some(at) = waiting.iter().position(|found| found.ticket == ticket)
                        else {
                            continue;
                        };
                        match outcome {
                            AdmissionOutcome::Granted { number, .. } => {
                                let index = waiting.remove(at).source;
                                settled.entry(host).or_default().push(number);
                                outcomes[index].admitted += 1;
                                running.push((ms + sources[index].run_ms, index));
                            }
                            AdmissionOutcome::Refused { .. } => drop(waiting.remove(at)),
                            AdmissionOutcome::Waiting { .. } => {}
                        }
                    }
                }
            }
        }
        assert!(room.sum() <= room.total, "more in use than there is");
    }
    outcomes
}

fn reported(
    request: &Waiting,
    sources: &[RequestSource],
    organisations: &[OrganisationId],
    ms: u64,
) -> WaitingRequest {
    let source = &sources[request.source];
    WaitingRequest {
        ticket: request.ticket,
        service: "service".parse().unwrap(),
        organisation: Some(organisations[request.source].clone()),
        priority: RequestPriority::from(source.priority),
        prompt_tokens: source.tokens,
        output_tokens: 0,
        wait_left_ms: u32::try_from(Duration::from_millis(request.expires_at - ms).as_millis())
            .unwrap(),
    }
}

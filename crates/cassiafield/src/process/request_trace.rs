use {
    crate::process::{LogEvent, LogRecord},
    cassiafield_core::request::{RefusalCause, RequestVerdict},
    compact_str::CompactString,
    std::{collections::BTreeSet, fmt::Write as _},
};

/// Log lines of one request from all hosts, with a summary of its outcome.
#[derive(Clone, Debug)]
#[derive(serde::Serialize)]
pub struct RequestTrace {
    /// Id of the request.
    pub request: CompactString,
    /// One sentence that states the outcome and its cause.
    pub summary: String,
    /// Lines of the request, ordered by time.
    pub lines: Vec<LogRecord>,
    /// Earlier lines of the deciding host about the endpoints of the request, or about missing or
    /// stale configuration.
    pub context: Vec<LogRecord>,
}

impl RequestTrace {
    /// Number of context lines kept, the latest ones.
    const MAX_CONTEXT_LINES: usize = 12;

    /// Builds the trace of a request from `records`; `None` if no record mentions it.
    #[must_use]
    pub fn from_records(request: &str, records: &[LogRecord]) -> Option<Self> {
        let belongs_to_request = |record: &&LogRecord| record.request.as_deref() == Some(request);
        let mut lines: Vec<LogRecord> =
            records.iter().filter(belongs_to_request).cloned().collect();
        lines.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
        let decision = deciding_line(&lines)?;
        let summary = summarise(&lines, decision);
        let mut context = context_lines(&lines, decision, records);
        context.sort_by(|one, other| one.timestamp.cmp(&other.timestamp));
        let mut context = remove_repeated(context);
        let surplus = context.len().saturating_sub(Self::MAX_CONTEXT_LINES);
        context.drain(..surplus);
        Some(Self { request: request.into(), summary, lines, context })
    }

    /// Formats the trace as text: the summary, the request's lines and the context lines.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = format!("request {}: {}\n", self.request, self.summary);
        for line in &self.lines {
            let _ = writeln!(text, "  {line}");
        }
        if !self.context.is_empty() {
            text.push_str("before it on the same host:\n");
        }
        for line in &self.context {
            let _ = writeln!(text, "  {line}");
        }
        text
    }
}

/// Removes lines that a later line repeats.
fn remove_repeated(lines: Vec<LogRecord>) -> Vec<LogRecord> {
    let is_repeated = |index: usize| {
        let later = &lines[index + 1..];
        later.iter().any(|l| l.number == lines[index].number && l.detail == lines[index].detail)
    };
    let repeated: Vec<bool> = (0..lines.len()).map(is_repeated).collect();
    let last = lines.into_iter().zip(repeated).filter(|(_, is_repeated)| !is_repeated);
    last.map(|(line, _)| line).collect()
}

/// Returns the line that ended the request, or its last line if no line did.
fn deciding_line(lines: &[LogRecord]) -> Option<&LogRecord> {
    let end_events = [
        LogEvent::RequestRefused,
        LogEvent::StreamGivenUp,
        LogEvent::RequestAnswered,
        LogEvent::CallerGone,
    ];
    let is_end = |line: &&LogRecord| end_events.iter().any(|end| end.number() == line.number);
    lines.iter().rev().find(is_end).or(lines.last())
}

fn summarise(lines: &[LogRecord], decision: &LogRecord) -> String {
    let is = |event: LogEvent| decision.number == event.number();
    let mut text = format!("{} ", decision.host);
    let failure_events = [LogEvent::TryFailed, LogEvent::StreamBroken];
    let failed =
        |line: &&LogRecord| failure_events.iter().any(|event| event.number() == line.number);
    let failure = lines.iter().rev().find(failed);
    if is(LogEvent::RequestRefused) {
        let cause = cause_of(decision);
        text.push_str(&format!("refused it with {}: ", cause.map_or(0, RefusalCause::status)));
        text.push_str(&describe_cause(cause, decision, failure));
    } else if is(LogEvent::StreamGivenUp) {
        let reason = failure.map_or("its path failed", |line| line.detail.as_str());
        let _ = write!(text, "ended its stream early: {reason}; {}", decision.detail);
    } else if is(LogEvent::RequestAnswered) {
        let _ = write!(text, "answered it: {}", decision.detail);
    } else if is(LogEvent::CallerGone) {
        text.push_str("cancelled it, since the caller hung up");
    } else {
        let _ = write!(text, "wrote no end of it; its last line is {}", decision.name);
    }
    text + &describe_verdict(decision) + &describe_snapshot(decision)
}

fn describe_verdict(decision: &LogRecord) -> String {
    let Some(verdict) = &decision.verdict else { return String::new() };
    match verdict.parse() {
        Ok(RequestVerdict::NotRun) => "; it has not run".into(),
        Ok(RequestVerdict::MayHaveRun) => "; it may have run".into(),
        Ok(RequestVerdict::Ran) => "; it ran".into(),
        Err(_) => format!("; {verdict}"),
    }
}

/// Describes the deciding host's configuration and endpoints, with their ages.
fn describe_snapshot(decision: &LogRecord) -> String {
    let Some(configuration) = decision.configuration else { return String::new() };
    let age = |age: Option<u64>| age.map_or("of unknown age".into(), |ms| format!("{ms} ms old"));
    format!(
        " (it knew configuration {configuration}, {}, and {} endpoints, {})",
        age(decision.configuration_age_ms),
        decision.endpoints.unwrap_or(0),
        age(decision.endpoints_age_ms),
    )
}

fn cause_of(line: &LogRecord) -> Option<RefusalCause> {
    let name = line.cause.as_deref()?;
    RefusalCause::ALL.into_iter().find(|cause| cause.name() == name)
}

/// Describes why a request was refused or has failed.
fn describe_cause(
    cause: Option<RefusalCause>,
    decision: &LogRecord,
    failure: Option<&LogRecord>,
) -> String {
    let version = decision.configuration.unwrap_or(0);
    match cause {
        Some(RefusalCause::Overloaded) => format!("no room for it, {}", decision.detail),
        Some(RefusalCause::NoEndpoint) => {
            format!("no endpoint in use could take it, {}", decision.detail)
        }
        Some(RefusalCause::Unreachable) => {
            format!("the host had no way to an endpoint, {}", decision.detail)
        }
        Some(RefusalCause::EndpointFailed) => match failure {
            Some(line) => {
                let endpoint = line.endpoint.as_deref().unwrap_or("an endpoint of its path");
                format!("{endpoint} failed, {}", line.detail)
            }
            None => format!("an endpoint failed, {}", decision.detail),
        },
        Some(RefusalCause::StoreUnavailable) => {
            "the configuration was too old to rule out that its key was taken away".into()
        }
        Some(RefusalCause::NotReady) => "the host was stopping or had no configuration".into(),
        Some(RefusalCause::Unauthorised) => {
            format!("its key is missing or not in configuration {version}")
        }
        Some(RefusalCause::NotFound) => format!("no route of configuration {version} matches it"),
        Some(other) => format!("{other}, {}", decision.detail),
        None => decision.detail.clone(),
    }
}

/// Returns the deciding host's earlier lines that explain the state it decided on.
fn context_lines(
    lines: &[LogRecord],
    decision: &LogRecord,
    records: &[LogRecord],
) -> Vec<LogRecord> {
    let endpoints = endpoints_of(lines);
    let cause = cause_of(decision);
    let lacks_configuration = matches!(
        cause,
        Some(RefusalCause::StoreUnavailable | RefusalCause::NotReady | RefusalCause::Unauthorised)
    );
    let configuration_events = [
        LogEvent::HostStarted,
        LogEvent::HostStopping,
        LogEvent::ListsTaken,
        LogEvent::ListsRejected,
        LogEvent::StoreUnreachable,
        LogEvent::StoreBack,
        LogEvent::StoreCallDelayed,
        LogEvent::RevisionHeard,
    ];
    let endpoint_events = [
        LogEvent::EndpointFailed,
        LogEvent::EndpointLeaving,
        LogEvent::EndpointChanged,
        LogEvent::LayersOrdered,
    ];
    let is_any = |line: &LogRecord, events: &[LogEvent]| {
        events.iter().any(|event| event.number() == line.number)
    };
    let lacks_capacity = matches!(
        cause,
        Some(RefusalCause::Overloaded | RefusalCause::NoEndpoint | RefusalCause::Unreachable)
    );
    let is_related = |line: &&LogRecord| {
        line.host == decision.host
            && line.timestamp <= decision.timestamp
            && (lacks_configuration && is_any(line, &configuration_events)
                || is_any(line, &endpoint_events)
                    && (lacks_capacity || endpoints.iter().any(|name| line.mentions(name))))
    };
    records.iter().filter(is_related).cloned().collect()
}

/// Returns the endpoints that a request's lines mention, in the endpoint field or in a path of the
/// form `endpoint=layers,endpoint=layers`.
fn endpoints_of(lines: &[LogRecord]) -> BTreeSet<CompactString> {
    let mut endpoints = BTreeSet::new();
    for line in lines {
        endpoints.extend(line.endpoint.clone());
        let parts = line.detail.split(|c: char| c.is_whitespace() || c == ',' || c == ';');
        let stages = parts.filter_map(|part| part.split_once('='));
        endpoints.extend(stages.map(|(endpoint, _)| CompactString::from(endpoint)));
    }
    endpoints
}

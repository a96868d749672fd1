use {
    cassiafield_core::ids::{EndpointId, HostId, OrganisationId, ServiceId, ZoneId},
    compact_str::CompactString,
    std::fmt::Write as _,
};

/// What a host would do with a request now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DryRunOutcome {
    /// Send it at once.
    Admit,
    /// Let it wait for a turn or for memory, and refuse it if there is none in time.
    Wait,
    /// Refuse it at once.
    Refuse,
    /// Hand it to a host that reaches the endpoints.
    Carry,
}

impl DryRunOutcome {
    /// Returns the name of the outcome, which does not change between releases.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            DryRunOutcome::Admit => "admit",
            DryRunOutcome::Wait => "wait",
            DryRunOutcome::Refuse => "refuse",
            DryRunOutcome::Carry => "carry",
        }
    }
}

/// The answer to a dry run: where a request would go now, and why.
///
/// Times are in milliseconds. Fields that do not apply are left out of the JSON form.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct DryRunReport {
    /// The host that would decide.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Name of the route.
    pub route: CompactString,
    /// Service that would receive the request.
    pub service: ServiceId,
    /// Organisation of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// What would be done with the request.
    pub outcome: DryRunOutcome,
    /// Why it would wait or be refused.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<CompactString>,
    /// The longest time that it would wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
    /// When the caller would be told to return.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub return_ms: Option<u64>,
    /// The chosen path, and the next best ones.
    pub paths: Vec<PathReport>,
    /// What the beginning of the prompt has to do with the choice, where it may decide.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prefix: Option<PrefixReport>,
    /// The endpoints of the service.
    pub endpoints: Vec<EndpointView>,
    /// State and age of what decided, by name.
    pub state: Vec<(CompactString, CompactString)>,
}

/// A path and the terms of its cost.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PathReport {
    /// Expected cost of the whole answer, with penalties; 0 for a plain service.
    pub total_ms: f64,
    /// Expected time to the first token.
    pub first_ms: f64,
    /// Expected time per token.
    pub token_ms: f64,
    /// Tokens of the prompt that are not read again, if what is believed to be held is.
    pub held_tokens: u32,
    /// The stages in order.
    pub stages: Vec<StageReport>,
}

/// A stage of a path and the terms of its cost; those that are 0 are left out.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct StageReport {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The layers, for model endpoints.
    pub layers: CompactString,
    /// Terms by name.
    pub terms_ms: Vec<(CompactString, f64)>,
}

/// What the beginning of a prompt has to do with the choice of a path.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct PrefixReport {
    /// What decided.
    pub reason: CompactString,
    /// Expected saving of the path over the endpoints that hold the beginning.
    pub saved_ms: f64,
    /// What that path costs beyond the best one apart from the saving.
    pub extra_ms: f64,
    /// Number of requests that a further copy is expected to serve.
    pub expected_uses: f64,
    /// Endpoints that are believed to hold beginnings of the prompt, longest first.
    pub holders: Vec<HolderView>,
}

/// An endpoint that is believed to hold the beginning of a prompt.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HolderView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Length of the beginning.
    pub tokens: u32,
    /// How likely it is held, from 0 to 1.
    pub confidence: f64,
    /// Time since it was last used there.
    pub age_ms: u64,
}

/// An endpoint of the service and whether the request could use it.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// `usable`, or why it is left out.
    pub standing: CompactString,
    /// Time until that ends, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
    /// Load and capacity as in the log, for model endpoints.
    pub load: CompactString,
}

impl DryRunReport {
    /// Returns the report as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        // Numbers that are not finite become null; nothing else can fail.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads a report from JSON.
    ///
    /// # Errors
    ///
    /// Returns why the text is no report.
    pub fn from_json(text: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(text)
    }

    /// Formats the report as text for a terminal.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "host {} zone {}: route {}, service {}: {}",
            self.host,
            self.zone,
            self.route,
            self.service,
            self.outcome.name()
        );
        if let Some(reason) = &self.reason {
            let _ = write!(text, ": {reason}");
        }
        if let Some(wait_ms) = self.wait_ms {
            let _ = write!(text, "; up to {wait_ms} ms");
        }
        if let Some(return_ms) = self.return_ms {
            let _ = write!(text, "; return after {return_ms} ms");
        }
        text.push('\n');
        for (index, path) in self.paths.iter().enumerate() {
            let rank = if index == 0 { "chosen" } else { "next" };
            let _ = writeln!(
                text,
                "{rank}: {:.1} ms in all, first {:.1} ms, token {:.2} ms, {} tokens held",
                path.total_ms, path.first_ms, path.token_ms, path.held_tokens,
            );
            for stage in &path.stages {
                let _ = write!(text, "  {} {}", stage.endpoint, stage.layers);
                for (name, value) in &stage.terms_ms {
                    let _ = write!(text, " {name} {value:.2}");
                }
                text.push('\n');
            }
        }
        if let Some(prefix) = &self.prefix {
            let _ = writeln!(
                text,
                "beginning of the prompt: {}; saves {:.1} ms, costs {:.1} ms more, for {:.1} requests",
                prefix.reason, prefix.saved_ms, prefix.extra_ms, prefix.expected_uses,
            );
            for HolderView { endpoint, tokens, confidence, age_ms } in &prefix.holders {
                let _ = writeln!(
                    text,
                    "  {endpoint} {tokens} tokens, confidence {confidence:.2}, used {age_ms} ms ago"
                );
            }
        }
        text.push_str("endpoints:\n");
        for EndpointView { endpoint, zone, standing, until_ms, load } in &self.endpoints {
            let _ = write!(text, "  {endpoint} {zone} {standing}");
            if let Some(until_ms) = until_ms {
                let _ = write!(text, " for {until_ms} ms");
            }
            let _ = writeln!(text, "{}{load}", if load.is_empty() { "" } else { ": " });
        }
        text.push_str("decided by:\n");
        for (name, value) in &self.state {
            let _ = writeln!(text, "  {name}: {value}");
        }
        text
    }
}

use {
    compact_str::{CompactString, ToCompactString as _},
    std::fmt,
};

/// One line of a host's log, read back.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LogRecord {
    /// The host that wrote it.
    #[serde(default)]
    pub host: CompactString,
    /// Time of day by the host's clock.
    pub timestamp: CompactString,
    /// How serious the event is: `INFO`, `WARN` or `ERROR`.
    #[serde(default)]
    pub level: CompactString,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: CompactString,
    /// The request that a decision is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<CompactString>,
    /// Why the request was refused or has failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<CompactString>,
    /// Whether the request may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<CompactString>,
    /// Times that the request was sent to endpoints so far.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sends: Option<u32>,
    /// The endpoint that a decision is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<CompactString>,
    /// What else there is to say.
    #[serde(default)]
    pub detail: String,
    /// Version of the configuration that the host knew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<u64>,
    /// Its age in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration_age_ms: Option<u64>,
    /// Endpoints that the host knew.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<u64>,
    /// Age of their list in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints_age_ms: Option<u64>,
}

impl LogRecord {
    /// Reads a line; words before its JSON end with the host's name, as in merged logs, and
    /// `host` is the name if there are none.
    ///
    /// Returns `None` for a line without JSON, such as what other programs print.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the JSON.
    pub fn parse(line: &str, host: &str) -> Result<Option<Self>, serde_json::Error> {
        let Some(start) = line.find('{') else { return Ok(None) };
        let mut record: Self = serde_json::from_str(&line[start..])?;
        if record.host.is_empty() {
            let named = line[..start].split_whitespace().next_back();
            record.host = named.unwrap_or(host).to_compact_string();
        }
        Ok(Some(record))
    }

    /// Says whether the line is about an endpoint.
    #[must_use]
    pub fn mentions(&self, endpoint: &str) -> bool {
        let is_part = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
        self.endpoint.as_deref() == Some(endpoint)
            || self.detail.split(|c| !is_part(c)).any(|word| word == endpoint)
    }
}

impl fmt::Display for LogRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {} {}", self.timestamp, self.host, self.number, self.name)?;
        let words = [&self.cause, &self.verdict, &self.endpoint];
        for word in words.into_iter().flatten() {
            write!(f, " {word}")?;
        }
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        Ok(())
    }
}

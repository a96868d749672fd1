use {
    compact_str::{CompactString, ToCompactString as _},
    std::fmt,
};

/// One parsed line of a host's log.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct LogRecord {
    /// Host that wrote the line.
    #[serde(default)]
    pub host: CompactString,
    /// Time by the host's wall clock.
    pub timestamp: CompactString,
    /// Level of the event: `INFO`, `WARN` or `ERROR`.
    #[serde(default)]
    pub level: CompactString,
    /// Number of the event.
    pub number: u16,
    /// Name of the event.
    pub name: CompactString,
    /// Id of the request that the line is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<CompactString>,
    /// Why the request was refused or has failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<CompactString>,
    /// Whether the request has run, has not run or may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub verdict: Option<CompactString>,
    /// Number of times that the request was sent to endpoints so far.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sends: Option<u32>,
    /// Endpoint that the line is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoint: Option<CompactString>,
    /// Detail text of the event.
    #[serde(default)]
    pub detail: String,
    /// Version of the configuration in force on the host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration: Option<u64>,
    /// Age of that configuration in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub configuration_age_ms: Option<u64>,
    /// Number of endpoints known to the host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints: Option<u64>,
    /// Age of the list of endpoints in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub endpoints_age_ms: Option<u64>,
}

impl LogRecord {
    /// Parses one line of a log.
    ///
    /// In merged logs, text before the JSON ends with the name of the host; `host` is the name
    /// if there is none. Returns `None` for a line without JSON, such as output of other programs.
    ///
    /// # Errors
    ///
    /// Returns an error if the JSON is invalid.
    pub fn parse(line: &str, host: &str) -> Result<Option<Self>, serde_json::Error> {
        let Some(start) = line.find('{') else { return Ok(None) };
        let mut record: Self = serde_json::from_str(&line[start..])?;
        if record.host.is_empty() {
            let prefix_host = line[..start].split_whitespace().next_back();
            record.host = prefix_host.unwrap_or(host).to_compact_string();
        }
        Ok(Some(record))
    }

    /// Returns `true` if the line mentions the endpoint.
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
        let fields = [&self.cause, &self.verdict, &self.endpoint];
        for field in fields.into_iter().flatten() {
            write!(f, " {field}")?;
        }
        if !self.detail.is_empty() {
            write!(f, ": {}", self.detail)?;
        }
        Ok(())
    }
}

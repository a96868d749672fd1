use {
    cassiafield_core::ids::{HostId, ZoneId},
    ini::Ini,
    std::{fmt, net::SocketAddr, str::FromStr, time::Duration},
};

/// Output format of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err("text or json".into()),
        }
    }
}

/// An invalid or missing value in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingError {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1; the section's line if the key is missing, 0 if the section is missing
    /// too.
    pub line: usize,
    /// Section of the key.
    pub section: String,
    /// Key in the section.
    pub key: String,
    /// Description of a valid value.
    pub expected: String,
    /// Value found; `None` if the key is missing.
    pub found: Option<String>,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, section, key, expected, found } = self;
        match found {
            Some(found) => {
                write!(f, "{file}:{line}: [{section}] {key}: expected {expected}, found {found:?}")
            }
            None => write!(f, "{file}:{line}: [{section}] {key}: missing, expected {expected}"),
        }
    }
}

impl std::error::Error for SettingError {}

impl SettingError {
    /// Returns the line of a key, or of its section if the key is missing.
    ///
    /// Returns 0 if the section is missing too.
    #[must_use]
    pub fn line_of(text: &str, section: &str, key: &str) -> usize {
        let (mut current, mut section_line) = ("", 0);
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                current = name.trim();
                if current == section {
                    section_line = index + 1;
                }
            } else if current == section
                && line.split(['=', ':']).next().is_some_and(|name| name.trim() == key)
            {
                return index + 1;
            }
        }
        section_line
    }
}

/// Validated settings of an entry host.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone of the host.
    pub zone: ZoneId,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers, metrics and operators.
    pub peer_listen: SocketAddr,
    /// Base URL of the platform store.
    pub store_url: String,
    /// URL of the platform's list of hosts.
    pub hosts_url: String,
    /// Secret that authenticates messages between entry hosts.
    pub peer_secret: String,
    /// Peers to contact while no other peer is known.
    pub peer_seeds: Vec<SocketAddr>,
    /// Maximum number of requests in flight.
    pub max_requests: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Longest duration of one request.
    pub request_timeout: Duration,
    /// Longest time that a request waits for an endpoint.
    pub queue_timeout: Duration,
    /// Time for which a stopping host still accepts requests, until load balancers stop sending
    /// them.
    pub stop_notice: Duration,
    /// Time between usage checkpoints.
    pub checkpoint_interval: Duration,
    /// Log format.
    pub log_format: LogFormat,
    /// Log level.
    pub log_level: tracing::Level,
}

/// Default settings as the text of a settings file.
pub(crate) const DEFAULT_SETTINGS: &str = "\
[host]
; Name of this host; unique in the fleet.
id = entry-1
; Availability zone of this host.
zone = zone-a
; Address for callers.
listen = 127.0.0.1:8080
; Address for peers, metrics and operators; never reachable for callers.
peer_listen = 127.0.0.1:8081

[platform]
; Base URL of the key-value service (etcd v3 JSON gateway).
store_url = http://127.0.0.1:2379
; URL of the list of live and leaving hosts.
hosts_url = http://127.0.0.1:2380/v1/hosts

[peers]
; Secret shared by the system's hosts; 16 characters or more.
secret = change-me-change-me
; Peers to reach while the list of hosts cannot be read, separated by commas.
seeds =

[limits]
; Requests answered at the same time.
max_requests = 1024
; Largest request body, in bytes.
max_body_bytes = 1048576
; Longest time of one request, in seconds.
request_seconds = 120
; Longest time that a request waits for an endpoint, in milliseconds.
queue_ms = 500

[stop]
; Time for which a stopping host still accepts, in milliseconds.
notice_ms = 3000

[report]
; Time between usage checkpoints, in milliseconds.
checkpoint_ms = 10000

[log]
; text or json.
format = text
; error, warn, info or debug.
level = info
";

impl EntrySettings {
    /// Returns the default settings as the text of a file, with comments.
    #[must_use]
    pub const fn defaults() -> &'static str {
        DEFAULT_SETTINGS
    }

    /// Parses the text of a settings file; missing keys take their default values.
    ///
    /// # Errors
    ///
    /// Returns all errors in the file.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<SettingError>> {
        let mut reader = SettingReader::open(file, text)?;
        let settings = Self::read(&mut reader);
        reader.check_unknown();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(reader.errors),
        }
    }

    /// Reads every key even after an error, so that all errors are reported.
    fn read(reader: &mut SettingReader<'_>) -> Option<Self> {
        let host = reader.value("host", "id", "a name");
        let zone = reader.value("host", "zone", "a name");
        let listen = reader.value("host", "listen", "an address:port");
        let peer_listen = reader.value("host", "peer_listen", "an address:port");
        let store_url = reader.url("platform", "store_url");
        let hosts_url = reader.url("platform", "hosts_url");
        let peer_secret = reader.secret("peers", "secret");
        let peer_seeds = reader.addresses("peers", "seeds");
        let max_requests = reader.number("limits", "max_requests", 1, 100_000);
        let max_body_bytes = reader.number("limits", "max_body_bytes", 1_024, 64 << 20);
        let request_seconds = reader.number("limits", "request_seconds", 1, 3_600);
        let queue_ms = reader.number("limits", "queue_ms", 1, 60_000);
        let notice_ms = reader.number("stop", "notice_ms", 0, 60_000);
        let checkpoint_ms = reader.number("report", "checkpoint_ms", 100, 60_000);
        let log_format = reader.value("log", "format", "text or json");
        let log_level = reader.value("log", "level", "error, warn, info or debug");
        Some(Self {
            host: host?,
            zone: zone?,
            listen: listen?,
            peer_listen: peer_listen?,
            store_url: store_url?,
            hosts_url: hosts_url?,
            peer_secret: peer_secret?,
            peer_seeds: peer_seeds?,
            max_requests: usize::try_from(max_requests?).ok()?,
            max_body_bytes: usize::try_from(max_body_bytes?).ok()?,
            request_timeout: Duration::from_secs(request_seconds?),
            queue_timeout: Duration::from_millis(queue_ms?),
            stop_notice: Duration::from_millis(notice_ms?),
            checkpoint_interval: Duration::from_millis(checkpoint_ms?),
            log_format: log_format?,
            log_level: log_level?,
        })
    }
}

/// Reads values from a settings file and collects its errors.
struct SettingReader<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    defaults: Ini,
    errors: Vec<SettingError>,
}

impl<'a> SettingReader<'a> {
    fn open(file: &'a str, text: &'a str) -> Result<Self, Vec<SettingError>> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            vec![SettingError {
                file: file.into(),
                line: error.line + 1,
                section: String::new(),
                key: String::new(),
                expected: "an INI file".into(),
                found: Some(error.msg.into()),
            }]
        })?;
        let defaults = Ini::load_from_str(DEFAULT_SETTINGS).unwrap_or_default();
        Ok(Self { file, text, ini, defaults, errors: Vec::new() })
    }

    fn raw(&self, section: &str, key: &str) -> Option<String> {
        let found = self.ini.get_from(Some(section), key);
        found.or_else(|| self.defaults.get_from(Some(section), key)).map(str::to_owned)
    }

    fn record_error(
        &mut self,
        section: &str,
        key: &str,
        expected: impl Into<String>,
        found: String,
    ) {
        self.errors.push(SettingError {
            file: self.file.into(),
            line: SettingError::line_of(self.text, section, key),
            section: section.into(),
            key: key.into(),
            expected: expected.into(),
            found: Some(found),
        });
    }

    fn value<T: FromStr>(&mut self, section: &str, key: &str, expected: &str) -> Option<T> {
        let raw = self.raw(section, key).unwrap_or_default();
        let value = raw.parse().ok();
        if value.is_none() {
            self.record_error(section, key, expected, raw);
        }
        value
    }

    fn number(&mut self, section: &str, key: &str, low: u64, high: u64) -> Option<u64> {
        let raw = self.raw(section, key).unwrap_or_default();
        let value = raw.parse().ok().filter(|number| (low..=high).contains(number));
        if value.is_none() {
            self.record_error(section, key, format!("a whole number from {low} to {high}"), raw);
        }
        value
    }

    fn url(&mut self, section: &str, key: &str) -> Option<String> {
        let raw = self.raw(section, key).unwrap_or_default();
        let rest = raw.strip_prefix("http://").filter(|rest| !rest.is_empty());
        if rest.is_none() {
            self.record_error(section, key, "an http:// URL", raw.clone());
        }
        rest.map(|_| raw.trim_end_matches('/').to_owned())
    }

    /// Checks a secret; an error reports only its length.
    fn secret(&mut self, section: &str, key: &str) -> Option<String> {
        let raw = self.raw(section, key).unwrap_or_default();
        if raw.len() < 16 {
            let found = format!("{} characters", raw.len());
            self.record_error(section, key, "16 characters or more", found);
            return None;
        }
        Some(raw)
    }

    fn addresses(&mut self, section: &str, key: &str) -> Option<Vec<SocketAddr>> {
        let raw = self.raw(section, key).unwrap_or_default();
        let parts = raw.split(',').map(str::trim).filter(|part| !part.is_empty());
        let addresses: Result<_, _> = parts.map(str::parse).collect();
        if addresses.is_err() {
            self.record_error(section, key, "address:port, separated by commas", raw.clone());
        }
        addresses.ok()
    }

    /// Reports unknown keys, since a misspelt key would otherwise be ignored silently.
    fn check_unknown(&mut self) {
        let mut unknown = Vec::new();
        for (section, properties) in &self.ini {
            for (key, value) in properties {
                if self.defaults.get_from(section, key).is_none() {
                    let section = section.unwrap_or("").to_owned();
                    unknown.push((section, key.to_owned(), value.to_owned()));
                }
            }
        }
        for (section, key, value) in unknown {
            self.record_error(&section, &key, "a known key", value);
        }
    }
}

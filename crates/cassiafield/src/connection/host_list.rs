use {
    crate::process::lock,
    cassiafield_core::{
        ids::{HostId, ZoneId},
        process::EndpointRecord,
    },
    compact_str::CompactString,
    std::{
        fmt,
        io::Read as _,
        sync::{Arc, Mutex},
        time::Duration,
    },
    ureq::{Agent, AgentBuilder},
};

/// One entry host as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryRecord {
    /// The host.
    pub host: HostId,
    /// Its `address:port` for peers.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HostListing {
    /// Back ends of the system.
    pub endpoints: Vec<EndpointRecord>,
    /// Hosts of the system itself.
    #[serde(default)]
    pub entries: Vec<EntryRecord>,
}

/// Says why the list could not be had.
#[derive(Clone, Debug)]
pub struct HostListError(pub String);

impl fmt::Display for HostListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the host list cannot be read: {}", self.0)
    }
}

impl std::error::Error for HostListError {}

/// The platform's list of live and leaving hosts.
pub trait HostListClient: Send + Sync {
    /// Fetches the list as the platform sees it now; it lags.
    ///
    /// Returns `None` if it is the same as the last one fetched.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    fn fetch(&self) -> Result<Option<HostListing>, HostListError>;
}

/// The list over HTTP with JSON.
#[derive(Clone, Debug)]
pub struct HttpHostListClient {
    url: String,
    agent: Agent,
    etag: Arc<Mutex<Option<String>>>,
}

impl HttpHostListClient {
    const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
    /// HTTP status of a list that has not changed.
    const NOT_MODIFIED: u16 = 304;
    /// Largest list that is read, in bytes.
    const MAX_LIST_BYTES: u64 = 16 << 20;

    /// Creates a client of the list at `url`.
    pub fn new(url: impl Into<String>) -> Self {
        let agent = AgentBuilder::new()
            .timeout_connect(Self::REQUEST_TIMEOUT)
            .timeout_read(Self::REQUEST_TIMEOUT)
            .build();
        Self { url: url.into(), agent, etag: Arc::new(Mutex::new(None)) }
    }
}

impl HostListClient for HttpHostListClient {
    fn fetch(&self) -> Result<Option<HostListing>, HostListError> {
        let mut etag = lock(&self.etag);
        let mut request = self.agent.get(&self.url);
        if let Some(etag) = etag.as_ref() {
            request = request.set("If-None-Match", etag);
        }
        let response = request.call().map_err(|error| HostListError(error.to_string()))?;
        if response.status() == Self::NOT_MODIFIED {
            return Ok(None);
        }
        let new_etag = response.header("ETag").map(str::to_owned);
        let reader = response.into_reader().take(Self::MAX_LIST_BYTES);
        let listing =
            serde_json::from_reader(reader).map_err(|error| HostListError(error.to_string()))?;
        *etag = new_etag;
        Ok(Some(listing))
    }
}

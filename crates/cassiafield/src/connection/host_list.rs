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

/// An entry host in the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EntryRecord {
    /// The host.
    pub host: HostId,
    /// Its `address:port` for peer connections.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// A snapshot of the platform's host list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct HostListing {
    /// Endpoints that serve models and services.
    pub endpoints: Vec<EndpointRecord>,
    /// Entry hosts.
    #[serde(default)]
    pub entries: Vec<EntryRecord>,
}

/// Why the host list could not be fetched.
#[derive(Clone, Debug)]
pub struct HostListError(pub String);

impl fmt::Display for HostListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the host list cannot be fetched: {}", self.0)
    }
}

impl std::error::Error for HostListError {}

/// Client of the platform's list of live and leaving hosts.
pub trait HostListClient: Send + Sync {
    /// Fetches the list, which may lag behind the actual state of the hosts.
    ///
    /// Returns `None` if it has not changed since the last fetch.
    ///
    /// # Errors
    ///
    /// Returns why the list could not be fetched.
    fn fetch(&self) -> Result<Option<HostListing>, HostListError>;
}

/// A [`HostListClient`] over HTTP with JSON.
#[derive(Clone, Debug)]
pub struct HttpHostListClient {
    url: String,
    agent: Agent,
    etag: Arc<Mutex<Option<String>>>,
}

impl HttpHostListClient {
    const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
    /// HTTP status for a list that matches the `If-None-Match` entity tag.
    const NOT_MODIFIED: u16 = 304;
    /// Maximum size of a list that is read.
    const MAX_LIST_BYTES: u64 = 16 << 20;

    /// Creates a client for the list at `url`.
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

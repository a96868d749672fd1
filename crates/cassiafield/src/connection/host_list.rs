use {
    cassiafield_core::{
        ids::{HostId, ZoneId},
        process::EndpointRecord,
    },
    compact_str::CompactString,
    std::{fmt, io::Read as _, time::Duration},
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
pub struct ListFailure(pub String);

impl fmt::Display for ListFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the host list cannot be read: {}", self.0)
    }
}

impl std::error::Error for ListFailure {}

/// The platform's list of live and leaving hosts.
pub trait HostList: Send + Sync {
    /// Fetches the list as the platform sees it now; it lags.
    ///
    /// # Errors
    ///
    /// Returns why there is no list.
    fn fetch(&self) -> Result<HostListing, ListFailure>;
}

/// The list over HTTP with JSON.
#[derive(Clone, Debug)]
pub struct HttpHostList {
    url: String,
    agent: Agent,
}

impl HttpHostList {
    const TIMEOUT: Duration = Duration::from_secs(1);
    /// Largest list that is read, in bytes.
    const MAX_LIST_BYTES: u64 = 16 << 20;

    /// Creates a client of the list at `url`.
    pub fn new(url: impl Into<String>) -> Self {
        let agent =
            AgentBuilder::new().timeout_connect(Self::TIMEOUT).timeout_read(Self::TIMEOUT).build();
        Self { url: url.into(), agent }
    }
}

impl HostList for HttpHostList {
    fn fetch(&self) -> Result<HostListing, ListFailure> {
        let response =
            self.agent.get(&self.url).call().map_err(|error| ListFailure(error.to_string()))?;
        let reader = response.into_reader().take(Self::MAX_LIST_BYTES);
        serde_json::from_reader(reader).map_err(|error| ListFailure(error.to_string()))
    }
}

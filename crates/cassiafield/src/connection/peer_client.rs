use {
    crate::connection::{LeaseRelay, LeaseWord, PeerDigest, PeerEnvelope, PeerLists},
    cassiafield_core::{
        ids::{HostId, ListRevision},
        process::{LoanRequest, LoanResponse},
    },
    hmac::{Hmac, Mac as _},
    serde::{de::DeserializeOwned, Serialize},
    sha2::Sha256,
    std::{fmt, io::Read as _, time::Duration},
    ureq::{Agent, AgentBuilder},
};

/// Why a peer gave no answer.
#[derive(Clone, Debug)]
pub struct PeerFailure(pub String);

impl fmt::Display for PeerFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the peer gave no answer: {}", self.0)
    }
}

impl std::error::Error for PeerFailure {}

/// Authenticates messages between hosts with a shared secret.
#[derive(Clone)]
pub struct PeerSeal {
    secret: Vec<u8>,
}

impl PeerSeal {
    /// Header that carries the code.
    pub const HEADER: &'static str = "Cassiafield-Mac";
    /// Largest message, in bytes.
    pub const MAX_MESSAGE_BYTES: u64 = 4 << 20;

    /// Creates a seal.
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        Self { secret: secret.as_ref().to_vec() }
    }

    /// Returns the code of a message to a path.
    #[must_use]
    pub fn code(&self, path: &str, body: &[u8]) -> String {
        let code = self.mac(path, body).finalize().into_bytes();
        code.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Says whether the code of a message is right, in constant time.
    #[must_use]
    pub fn verify(&self, path: &str, body: &[u8], code: &str) -> bool {
        let bytes: Option<Vec<u8>> = (0..code.len() / 2)
            .map(|index| code.get(index * 2..index * 2 + 2))
            .map(|pair| pair.and_then(|pair| u8::from_str_radix(pair, 16).ok()))
            .collect();
        bytes.is_some_and(|bytes| self.mac(path, body).verify_slice(&bytes).is_ok())
    }

    fn mac(&self, path: &str, body: &[u8]) -> Hmac<Sha256> {
        #[allow(clippy::expect_used)]
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("HMAC takes keys of any length");
        mac.update(path.as_bytes());
        mac.update(&[0]);
        mac.update(body);
        mac
    }
}

impl fmt::Debug for PeerSeal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSeal")
    }
}

/// The other hosts of the system.
pub trait PeerClient: Send + Sync {
    /// Exchanges digests.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn digest(
        &self,
        address: &str,
        digest: &PeerDigest,
    ) -> Result<PeerEnvelope<PeerDigest>, PeerFailure>;

    /// Asks for loans.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn loans(&self, address: &str, ask: &LoanRequest) -> Result<LoanResponse, PeerFailure>;

    /// Fetches the lists.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn lists(&self, address: &str, have: ListRevision) -> Result<PeerLists, PeerFailure>;

    /// Renews a lease through the peer.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn renew(&self, address: &str, relay: LeaseRelay) -> Result<LeaseWord, PeerFailure>;
}

/// The other hosts over HTTP with MessagePack.
pub struct HttpPeerClient {
    host: HostId,
    seal: PeerSeal,
    agent: Agent,
}

impl HttpPeerClient {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

    /// Creates a client that speaks for `host`.
    #[must_use]
    pub fn new(host: HostId, seal: PeerSeal) -> Self {
        let agent = AgentBuilder::new()
            .timeout_connect(Self::CONNECT_TIMEOUT)
            .timeout(Self::ANSWER_TIMEOUT)
            .max_idle_connections(256)
            .max_idle_connections_per_host(2)
            .redirects(0)
            .build();
        Self { host, seal, agent }
    }

    fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &Q,
    ) -> Result<PeerEnvelope<A>, PeerFailure> {
        let failure = |error: &dyn fmt::Display| PeerFailure(error.to_string());
        let envelope = PeerEnvelope { sender: self.host.clone(), message };
        let body = rmp_serde::to_vec_named(&envelope).map_err(|error| failure(&error))?;
        let response = self
            .agent
            .post(&format!("http://{address}{path}"))
            .set(PeerSeal::HEADER, &self.seal.code(path, &body))
            .send_bytes(&body)
            .map_err(|error| failure(&error))?;
        let code = response.header(PeerSeal::HEADER).unwrap_or("").to_owned();
        let mut answer = Vec::new();
        let mut reader = response.into_reader().take(PeerSeal::MAX_MESSAGE_BYTES);
        reader.read_to_end(&mut answer).map_err(|error| failure(&error))?;
        if !self.seal.verify(path, &answer, &code) {
            return Err(PeerFailure("the answer's code is wrong".into()));
        }
        rmp_serde::from_slice(&answer).map_err(|error| failure(&error))
    }
}

impl PeerClient for HttpPeerClient {
    fn digest(
        &self,
        address: &str,
        digest: &PeerDigest,
    ) -> Result<PeerEnvelope<PeerDigest>, PeerFailure> {
        self.call(address, "/peer/v1/digest", digest)
    }

    fn loans(&self, address: &str, ask: &LoanRequest) -> Result<LoanResponse, PeerFailure> {
        self.call(address, "/peer/v1/loans", ask).map(|envelope| envelope.message)
    }

    fn lists(&self, address: &str, have: ListRevision) -> Result<PeerLists, PeerFailure> {
        self.call(address, "/peer/v1/lists", &have).map(|envelope| envelope.message)
    }

    fn renew(&self, address: &str, relay: LeaseRelay) -> Result<LeaseWord, PeerFailure> {
        self.call(address, "/peer/v1/renew", &relay).map(|envelope| envelope.message)
    }
}

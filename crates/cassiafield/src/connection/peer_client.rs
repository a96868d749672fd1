use {
    crate::connection::{
        LeaseRenewalRequest, LeaseRenewalResponse, PeerDigest, PeerEnvelope, PeerLists,
    },
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

/// Why a call to a peer failed.
#[derive(Clone, Debug)]
pub struct PeerError(pub String);

impl fmt::Display for PeerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the call to the peer failed: {}", self.0)
    }
}

impl std::error::Error for PeerError {}

/// Authenticates messages between hosts with HMAC-SHA-256 under a shared secret.
#[derive(Clone)]
pub struct PeerAuthenticator {
    secret: Vec<u8>,
}

impl PeerAuthenticator {
    /// HTTP header that carries the message authentication code.
    pub const HEADER: &'static str = "Cassiafield-Mac";
    /// Maximum size of a message body.
    pub const MAX_MESSAGE_BYTES: u64 = 4 << 20;

    /// Creates an authenticator with the shared secret.
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        Self { secret: secret.as_ref().to_vec() }
    }

    /// Returns the message authentication code of a path and body, in hexadecimal.
    #[must_use]
    pub fn sign(&self, path: &str, body: &[u8]) -> String {
        let code = self.mac(path, body).finalize().into_bytes();
        code.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns `true` if `code` authenticates the path and body; compares in constant time.
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

impl fmt::Debug for PeerAuthenticator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSeal")
    }
}

/// Client of the other entry hosts.
pub trait PeerClient: Send + Sync {
    /// Sends this host's digest and returns the peer's.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn exchange_digests(
        &self,
        address: &str,
        digest: &PeerDigest,
    ) -> Result<PeerEnvelope<PeerDigest>, PeerError>;

    /// Requests, renews and returns loans of allowance.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn request_loans(
        &self,
        address: &str,
        request: &LoanRequest,
    ) -> Result<LoanResponse, PeerError>;

    /// Fetches the peer's lists; `known_revision` is the revision that this host has.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn fetch_lists(
        &self,
        address: &str,
        known_revision: ListRevision,
    ) -> Result<PeerLists, PeerError>;

    /// Renews a lease of the platform store through the peer.
    ///
    /// # Errors
    ///
    /// Returns why the call failed.
    fn renew_lease(
        &self,
        address: &str,
        request: LeaseRenewalRequest,
    ) -> Result<LeaseRenewalResponse, PeerError>;
}

/// A [`PeerClient`] over HTTP with MessagePack.
pub struct HttpPeerClient {
    host: HostId,
    authenticator: PeerAuthenticator,
    agent: Agent,
}

impl HttpPeerClient {
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
    const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

    /// Creates a client that sends as `host`.
    #[must_use]
    pub fn new(host: HostId, authenticator: PeerAuthenticator) -> Self {
        let agent = AgentBuilder::new()
            .timeout_connect(Self::CONNECT_TIMEOUT)
            .timeout(Self::RESPONSE_TIMEOUT)
            .max_idle_connections(256)
            .max_idle_connections_per_host(2)
            .redirects(0)
            .build();
        Self { host, authenticator, agent }
    }

    fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &Q,
    ) -> Result<PeerEnvelope<A>, PeerError> {
        let to_error = |error: &dyn fmt::Display| PeerError(error.to_string());
        let envelope = PeerEnvelope { sender: self.host.clone(), message };
        let body = rmp_serde::to_vec_named(&envelope).map_err(|error| to_error(&error))?;
        let response = self
            .agent
            .post(&format!("http://{address}{path}"))
            .set(PeerAuthenticator::HEADER, &self.authenticator.sign(path, &body))
            .send_bytes(&body)
            .map_err(|error| to_error(&error))?;
        let code = response.header(PeerAuthenticator::HEADER).unwrap_or("").to_owned();
        let mut response_body = Vec::new();
        let mut reader = response.into_reader().take(PeerAuthenticator::MAX_MESSAGE_BYTES);
        reader.read_to_end(&mut response_body).map_err(|error| to_error(&error))?;
        if !self.authenticator.verify(path, &response_body, &code) {
            return Err(PeerError(
                "the message authentication code of the response is invalid".into(),
            ));
        }
        rmp_serde::from_slice(&response_body).map_err(|error| to_error(&error))
    }
}

impl PeerClient for HttpPeerClient {
    fn exchange_digests(
        &self,
        address: &str,
        digest: &PeerDigest,
    ) -> Result<PeerEnvelope<PeerDigest>, PeerError> {
        self.call(address, "/peer/v1/digest", digest)
    }

    fn request_loans(
        &self,
        address: &str,
        request: &LoanRequest,
    ) -> Result<LoanResponse, PeerError> {
        self.call(address, "/peer/v1/loans", request).map(|envelope| envelope.message)
    }

    fn fetch_lists(
        &self,
        address: &str,
        known_revision: ListRevision,
    ) -> Result<PeerLists, PeerError> {
        self.call(address, "/peer/v1/lists", &known_revision).map(|envelope| envelope.message)
    }

    fn renew_lease(
        &self,
        address: &str,
        request: LeaseRenewalRequest,
    ) -> Result<LeaseRenewalResponse, PeerError> {
        self.call(address, "/peer/v1/renew", &request).map(|envelope| envelope.message)
    }
}

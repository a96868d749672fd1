use {
    crate::{
        connection::{
            LeaseRenewalRequest, LeaseRenewalResponse, PeerAuthenticator, PeerClient, PeerDigest,
            PeerEnvelope, PeerLists, RequestHandler,
        },
        process::{lock, DigestTarget, EntryHost, LogEvent, PeerRecord},
        request::{header, respond},
        version::ListVersion,
    },
    cassiafield_core::{
        ids::{HostId, ListRevision},
        process::{LoanDemand, LoanRequest, RateBucket, RenewalResult},
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{
        collections::BTreeSet,
        io::Read as _,
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
    tiny_http::Request,
};

/// Exchanges digests, lists, loans and lease renewals with other entry hosts.
pub(crate) struct PeerAgent {
    host: Arc<EntryHost>,
    client: Arc<dyn PeerClient>,
    loan_request_budget: Mutex<RateBucket>,
}

impl PeerAgent {
    /// Shortest interval between digest rounds.
    pub(crate) const MIN_DIGEST_INTERVAL: Duration = Duration::from_millis(500);
    /// Average rate of the digests that a host initiates; its responses to others use as much again.
    const DIGEST_BYTES_PER_SECOND: f64 = 5_000.0;
    /// Estimated size of the HTTP headers of a message.
    const HTTP_OVERHEAD_BYTES: usize = 300;
    /// Average rate of requests for new loans.
    const LOAN_REQUESTS_PER_SECOND: f64 = 12.0;
    /// Burst of requests for new loans, after a sudden change in demand.
    const LOAN_REQUEST_BURST: f64 = 60.0;
    /// Peers asked for new loans in one round.
    const MAX_LENDERS: usize = 24;

    pub(crate) fn new(host: Arc<EntryHost>, client: Arc<dyn PeerClient>) -> Self {
        let budget = RateBucket::empty(
            Self::LOAN_REQUESTS_PER_SECOND,
            Self::LOAN_REQUEST_BURST,
            host.clock.now(),
        );
        Self { host, client, loan_request_budget: Mutex::new(budget) }
    }

    /// Exchanges digests with peers in parallel and returns the delay until the next round.
    ///
    /// The delay grows with the bytes sent, so that digests stay within their byte rate in a large
    /// zone.
    pub(crate) fn digest_round(&self) -> Duration {
        let urgent = self.host.take_urgent_digest();
        let targets = self.host.peers.digest_targets(self.host.clock.now(), urgent);
        let (local, remote) = (self.host.digest(&self.host.settings.zone), self.remote_digest());
        let bytes: usize =
            targets.iter().map(|target| self.digest_bytes(target, &local, &remote)).sum();
        thread::scope(|scope| {
            for target in &targets {
                let same_zone = target.zone == self.host.settings.zone;
                let digest = if same_zone { &local } else { &remote };
                scope.spawn(move || self.exchange_digest(&target.address, digest));
            }
        });
        let interval = Duration::from_secs_f64(bytes as f64 / Self::DIGEST_BYTES_PER_SECOND);
        interval.max(Self::MIN_DIGEST_INTERVAL)
    }

    fn remote_digest(&self) -> PeerDigest {
        PeerDigest { load: None, ..self.host.digest(&self.host.settings.zone) }
    }

    fn digest_bytes(
        &self,
        target: &DigestTarget,
        local: &PeerDigest,
        remote: &PeerDigest,
    ) -> usize {
        let same_zone = target.zone == self.host.settings.zone;
        let digest = if same_zone { local } else { remote };
        rmp_serde::to_vec_named(digest).map_or(0, |bytes| bytes.len()) + Self::HTTP_OVERHEAD_BYTES
    }

    fn exchange_digest(&self, address: &str, digest: &PeerDigest) {
        match self.client.exchange_digests(address, digest) {
            Ok(envelope) => {
                self.host.apply_digest(&envelope.sender, &envelope.message);
            }
            Err(failure) => {
                self.host.peers.record_failure(address, self.host.clock.now());
                self.host.metrics.count_event("peer-failed");
                tracing::debug!(%address, %failure, "digest exchange failed");
            }
        }
    }

    /// Fetches newer lists from a peer, if one is known to have them.
    pub(crate) fn fetch_lists(&self) {
        let Some(address) = self.host.take_newer_lists_address() else { return };
        if let Ok(found) = self.client.fetch_lists(&address, self.host.lists.revision()) {
            self.host.install_lists(ListVersion { revision: found.revision, lists: found.lists });
        }
    }

    /// Requests missing allowances from peers, and renews and returns loans.
    pub(crate) fn loan_round(&self) {
        let mut demands = self.host.allowances.loan_demands();
        let loan_peers = self.host.allowances.loan_peers();
        if demands.is_empty() && loan_peers.is_empty() {
            return;
        }
        let mut peers = self.host.peers.reachable(self.host.clock.now());
        peers.truncate(Self::MAX_LENDERS);
        for host in &loan_peers {
            if !peers.iter().any(|peer| &peer.host == host) {
                peers.extend(self.host.peers.get(host));
            }
        }
        for peer in &peers {
            self.request_loans(peer, &mut demands, &loan_peers);
        }
    }

    fn request_loans(
        &self,
        peer: &PeerRecord,
        demands: &mut Vec<LoanDemand>,
        loan_peers: &BTreeSet<HostId>,
    ) {
        if demands.is_empty() && !loan_peers.contains(&peer.host) {
            return;
        }
        let may_borrow = !peer.stopping && !demands.is_empty() && self.try_spend_loan_request();
        let requested = if may_borrow { &demands[..] } else { &[][..] };
        let (request, sent_at) = self.host.allowances.loan_request(&peer.host, requested);
        if request.is_empty() {
            return;
        }
        match self.client.request_loans(&peer.address, &request) {
            Ok(response) => {
                for grant in &response.grants {
                    let demand = demands.iter_mut().find(|demand| demand.key == grant.loan.key);
                    if let Some(demand) = demand {
                        demand.amount -= if grant.rate > 0.0 { grant.rate } else { grant.size };
                    }
                }
                demands.retain(|demand| demand.amount > 0.0);
                self.host.allowances.apply_loan_response(&peer.host, &response, sent_at);
            }
            Err(failure) => {
                self.host.peers.record_failure(&peer.address, self.host.clock.now());
                LogEvent::PeerFailed.log(format_args!("{}: {failure}", peer.host));
            }
        }
    }

    /// Returns `true` if the rate limit permits a request for new loans.
    ///
    /// Renewals and returns of loans are not limited.
    fn try_spend_loan_request(&self) -> bool {
        lock(&self.loan_request_budget).spend(1.0, self.host.clock.now()).is_ok()
    }

    /// Renews a lease through all reachable peers of the zone in parallel, while this host cannot
    /// reach the store.
    pub(crate) fn relay_renewal(&self, request: LeaseRenewalRequest) -> RenewalResult {
        let zone = &self.host.settings.zone;
        let peers = self.host.peers.reachable(self.host.clock.now());
        let local = peers.iter().filter(|peer| &peer.zone == zone);
        let results: Vec<_> = thread::scope(|scope| {
            let client = &self.client;
            let calls =
                local.map(|peer| scope.spawn(move || client.renew_lease(&peer.address, request)));
            let calls: Vec<_> = calls.collect();
            calls.into_iter().filter_map(|call| call.join().ok()?.ok()).collect()
        });
        let any_returned = |result| results.contains(&result);
        if any_returned(LeaseRenewalResponse::Renewed) {
            RenewalResult::Renewed
        } else if any_returned(LeaseRenewalResponse::Gone) {
            RenewalResult::Gone
        } else {
            RenewalResult::Unreachable
        }
    }
}

/// Serves messages from peers, and operators' requests for metrics and status.
pub(crate) struct PeerApi {
    host: Arc<EntryHost>,
    authenticator: PeerAuthenticator,
}

impl PeerApi {
    pub(crate) fn new(host: Arc<EntryHost>, authenticator: PeerAuthenticator) -> Self {
        Self { host, authenticator }
    }

    fn handle_message(&self, path: &str, body: &[u8]) -> Option<Vec<u8>> {
        match path {
            "/peer/v1/digest" => self.handle_envelope(body, |sender, digest: PeerDigest| {
                self.host.apply_digest(sender, &digest);
                self.host.digest(&digest.zone)
            }),
            "/peer/v1/loans" => self.handle_envelope(body, |sender, request: LoanRequest| {
                self.host.allowances.handle_loan_request(sender, &request)
            }),
            "/peer/v1/lists" => self.handle_envelope(body, |_, _: ListRevision| {
                let version = self.host.lists.current();
                PeerLists { revision: version.revision, lists: version.lists.clone() }
            }),
            "/peer/v1/renew" => self.handle_envelope(body, |_, request: LeaseRenewalRequest| {
                match self.host.store.renew_lease(request.lease) {
                    Ok(true) => LeaseRenewalResponse::Renewed,
                    Ok(false) => LeaseRenewalResponse::Gone,
                    Err(_) => LeaseRenewalResponse::Unreachable,
                }
            }),
            _ => None,
        }
    }

    fn handle_envelope<Q: DeserializeOwned, A: Serialize>(
        &self,
        body: &[u8],
        handler: impl FnOnce(&HostId, Q) -> A,
    ) -> Option<Vec<u8>> {
        let envelope: PeerEnvelope<Q> = rmp_serde::from_slice(body).ok()?;
        let message = handler(&envelope.sender, envelope.message);
        let sender = self.host.settings.host.clone();
        rmp_serde::to_vec_named(&PeerEnvelope { sender, message }).ok()
    }

    fn handle_peer(&self, mut http: Request, path: &str) {
        let code = header(&http, PeerAuthenticator::HEADER).unwrap_or("").to_owned();
        let mut body = Vec::new();
        let read =
            http.as_reader().take(PeerAuthenticator::MAX_MESSAGE_BYTES).read_to_end(&mut body);
        if read.is_err() || !self.authenticator.verify(path, &body, &code) {
            LogEvent::PeerRefused.log(path);
            return respond(http, 403, "text/plain", b"wrong code\n".to_vec(), &[]);
        }
        match self.handle_message(path, &body) {
            Some(response) => {
                let code = self.authenticator.sign(path, &response);
                let headers = [(PeerAuthenticator::HEADER, code.as_str())];
                respond(http, 200, "application/msgpack", response, &headers);
            }
            None => respond(http, 400, "text/plain", b"unknown message\n".to_vec(), &[]),
        }
    }
}

impl RequestHandler for PeerApi {
    fn handle(&self, request: Request) {
        let path = request.url().to_owned();
        match path.as_str() {
            "/healthz" => respond(request, 200, "text/plain", b"ok\n".to_vec(), &[]),
            "/metrics" => match self.host.encode_metrics() {
                Ok(text) => {
                    respond(request, 200, "text/plain; version=0.0.4", text.into_bytes(), &[]);
                }
                Err(error) => {
                    respond(request, 500, "text/plain", error.to_string().into_bytes(), &[]);
                }
            },
            "/status" => {
                let body = self.host.status().to_string().into_bytes();
                respond(request, 200, "application/json", body, &[]);
            }
            _ => self.handle_peer(request, &path),
        }
    }
}

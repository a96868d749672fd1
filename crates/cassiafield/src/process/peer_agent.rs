use {
    crate::{
        connection::{
            LeaseRelay, LeaseWord, PeerClient, PeerDigest, PeerEnvelope, PeerLists, PeerSeal,
            RequestHandler,
        },
        process::{lock, DigestPartner, EntryHost, LogEvent, PeerRecord},
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

/// Speaks with the other hosts of the system.
pub(crate) struct PeerAgent {
    host: Arc<EntryHost>,
    client: Arc<dyn PeerClient>,
    asks: Mutex<RateBucket>,
}

impl PeerAgent {
    /// Shortest time between rounds of digests.
    pub(crate) const SHORTEST_INTERVAL: Duration = Duration::from_millis(500);
    /// Bytes of digests that a host begins to send in a second, on average; it answers as many.
    const DIGEST_BYTES_PER_SECOND: f64 = 5_000.0;
    /// Bytes of HTTP around a message.
    const HEADER_BYTES: usize = 300;
    /// Messages that ask for new loans in a second, on average.
    const ASKS_PER_SECOND: f64 = 12.0;
    /// Messages that ask for new loans at once, after a shift of demand.
    const ASK_BURST: f64 = 60.0;
    /// Peers asked for loans in one round.
    const MAX_LENDERS: usize = 24;

    pub(crate) fn new(host: Arc<EntryHost>, client: Arc<dyn PeerClient>) -> Self {
        let asks = RateBucket::empty(Self::ASKS_PER_SECOND, Self::ASK_BURST, host.clock.now());
        Self { host, client, asks: Mutex::new(asks) }
    }

    /// Exchanges digests with peers, all at once; returns the time until the next round.
    ///
    /// The time grows with the bytes sent, so that digests stay within their budget in a large
    /// zone.
    pub(crate) fn digest_round(&self) -> Duration {
        let urgent = self.host.take_news();
        let partners = self.host.peers.digest_partners(self.host.clock.now(), urgent);
        let (near, far) = (self.host.digest(&self.host.settings.zone), self.far_digest());
        let bytes: usize =
            partners.iter().map(|partner| self.digest_bytes(partner, &near, &far)).sum();
        thread::scope(|scope| {
            for partner in &partners {
                let own = partner.zone == self.host.settings.zone;
                let digest = if own { &near } else { &far };
                scope.spawn(move || self.exchange(&partner.address, digest));
            }
        });
        let interval = Duration::from_secs_f64(bytes as f64 / Self::DIGEST_BYTES_PER_SECOND);
        interval.max(Self::SHORTEST_INTERVAL)
    }

    fn far_digest(&self) -> PeerDigest {
        PeerDigest { load: None, ..self.host.digest(&self.host.settings.zone) }
    }

    fn digest_bytes(&self, partner: &DigestPartner, near: &PeerDigest, far: &PeerDigest) -> usize {
        let own = partner.zone == self.host.settings.zone;
        let digest = if own { near } else { far };
        rmp_serde::to_vec_named(digest).map_or(0, |bytes| bytes.len()) + Self::HEADER_BYTES
    }

    fn exchange(&self, address: &str, digest: &PeerDigest) {
        match self.client.digest(address, digest) {
            Ok(envelope) => {
                self.host.take_digest(&envelope.sender, &envelope.message);
            }
            Err(failure) => {
                self.host.peers.failed(address, self.host.clock.now());
                self.host.metrics.event("peer-failed");
                tracing::debug!(%address, %failure, "no digest");
            }
        }
    }

    /// Fetches the lists from a peer that has newer ones, if one is known.
    pub(crate) fn fetch_lists(&self) {
        let Some(address) = self.host.take_newer_lists() else { return };
        if let Ok(found) = self.client.lists(&address, self.host.lists.revision()) {
            self.host.take_lists(ListVersion { revision: found.revision, lists: found.lists });
        }
    }

    /// Asks peers for what is missing, and renews and returns loans.
    pub(crate) fn loan_round(&self) {
        let mut wants = self.host.allowances.wants();
        let partners = self.host.allowances.loan_peers();
        if wants.is_empty() && partners.is_empty() {
            return;
        }
        let mut peers = self.host.peers.reachable(self.host.clock.now());
        peers.truncate(Self::MAX_LENDERS);
        for host in &partners {
            if !peers.iter().any(|peer| &peer.host == host) {
                peers.extend(self.host.peers.find(host));
            }
        }
        for peer in &peers {
            self.ask(peer, &mut wants, &partners);
        }
    }

    fn ask(&self, peer: &PeerRecord, wants: &mut Vec<LoanDemand>, partners: &BTreeSet<HostId>) {
        if wants.is_empty() && !partners.contains(&peer.host) {
            return;
        }
        let allowed = !peer.stopping && !wants.is_empty() && self.may_ask();
        let asked = if allowed { &wants[..] } else { &[][..] };
        let (ask, sent) = self.host.allowances.ask(&peer.host, asked);
        if ask.is_empty() {
            return;
        }
        match self.client.loans(&peer.address, &ask) {
            Ok(answer) => {
                for grant in &answer.grants {
                    let want = wants.iter_mut().find(|want| want.key == grant.loan.key);
                    if let Some(want) = want {
                        want.amount -= if grant.rate > 0.0 { grant.rate } else { grant.size };
                    }
                }
                wants.retain(|want| want.amount > 0.0);
                self.host.allowances.take_answer(&peer.host, &answer, sent);
            }
            Err(failure) => {
                self.host.peers.failed(&peer.address, self.host.clock.now());
                LogEvent::PeerFailed.log(format_args!("{}: {failure}", peer.host));
            }
        }
    }

    /// Takes one message from the budget of asks; renewals and returns need none.
    fn may_ask(&self) -> bool {
        lock(&self.asks).spend(1.0, self.host.clock.now()).is_ok()
    }

    /// Renews a lease through all peers of the zone at once, since the store is out of this host's reach.
    pub(crate) fn relay_renewal(&self, relay: LeaseRelay) -> RenewalResult {
        let zone = &self.host.settings.zone;
        let peers = self.host.peers.reachable(self.host.clock.now());
        let near = peers.iter().filter(|peer| &peer.zone == zone);
        let words: Vec<_> = thread::scope(|scope| {
            let client = &self.client;
            let calls = near.map(|peer| scope.spawn(move || client.renew(&peer.address, relay)));
            let calls: Vec<_> = calls.collect();
            calls.into_iter().filter_map(|call| call.join().ok()?.ok()).collect()
        });
        let has = |word| words.contains(&word);
        if has(LeaseWord::Renewed) {
            RenewalResult::Renewed
        } else if has(LeaseWord::Gone) {
            RenewalResult::Gone
        } else {
            RenewalResult::Unreachable
        }
    }
}

/// Answers the messages of peers, and operators' requests for metrics and state.
pub(crate) struct PeerApi {
    host: Arc<EntryHost>,
    seal: PeerSeal,
}

impl PeerApi {
    pub(crate) fn new(host: Arc<EntryHost>, seal: PeerSeal) -> Self {
        Self { host, seal }
    }

    fn answer(&self, path: &str, body: &[u8]) -> Option<Vec<u8>> {
        match path {
            "/peer/v1/digest" => self.reply(body, |sender, digest: PeerDigest| {
                self.host.take_digest(sender, &digest);
                self.host.digest(&digest.zone)
            }),
            "/peer/v1/loans" => self
                .reply(body, |sender, ask: LoanRequest| self.host.allowances.answer(sender, &ask)),
            "/peer/v1/lists" => self.reply(body, |_, _: ListRevision| {
                let version = self.host.lists.current();
                PeerLists { revision: version.revision, lists: version.lists.clone() }
            }),
            "/peer/v1/renew" => self.reply(body, |_, relay: LeaseRelay| {
                match self.host.store.keep_lease(relay.lease) {
                    Ok(true) => LeaseWord::Renewed,
                    Ok(false) => LeaseWord::Gone,
                    Err(_) => LeaseWord::Unreachable,
                }
            }),
            _ => None,
        }
    }

    fn reply<Q: DeserializeOwned, A: Serialize>(
        &self,
        body: &[u8],
        answer: impl FnOnce(&HostId, Q) -> A,
    ) -> Option<Vec<u8>> {
        let envelope: PeerEnvelope<Q> = rmp_serde::from_slice(body).ok()?;
        let message = answer(&envelope.sender, envelope.message);
        let sender = self.host.settings.host.clone();
        rmp_serde::to_vec_named(&PeerEnvelope { sender, message }).ok()
    }

    fn handle_peer(&self, mut http: Request, path: &str) {
        let code = header(&http, PeerSeal::HEADER).unwrap_or("").to_owned();
        let mut body = Vec::new();
        let read = http.as_reader().take(PeerSeal::MAX_MESSAGE_BYTES).read_to_end(&mut body);
        if read.is_err() || !self.seal.verify(path, &body, &code) {
            LogEvent::PeerRefused.log(path);
            return respond(http, 403, "text/plain", b"wrong code\n".to_vec(), &[]);
        }
        match self.answer(path, &body) {
            Some(answer) => {
                let code = self.seal.code(path, &answer);
                let headers = [(PeerSeal::HEADER, code.as_str())];
                respond(http, 200, "application/msgpack", answer, &headers);
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

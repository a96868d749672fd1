use {
    crate::{
        standin_http::{read_json, respond_json, serve},
        MemoryStore, StoreFaults,
    },
    base64::{engine::general_purpose::STANDARD, Engine as _},
    cassiafield::connection::{
        CompareAndSwap, EntryRecord, HostListing, HttpListener, LeaseId, PlatformStore, StoreEntry,
        StoreError, SwapResult,
    },
    cassiafield_core::{
        ids::EndpointId,
        process::{EndpointRecord, EndpointState},
    },
    serde_json::{json, Value},
    std::{
        collections::{BTreeMap, VecDeque},
        hash::{DefaultHasher, Hash as _, Hasher as _},
        io::Write as _,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tiny_http::{Header, Request, Response},
};

/// The platform over HTTP: a key-value service with etcd's v3 JSON API, and the list of hosts.
pub struct PlatformStandin {
    address: SocketAddr,
    shared: Arc<PlatformState>,
    listener: HttpListener,
}

struct PlatformState {
    store: Arc<MemoryStore>,
    hosts: Mutex<HostRegistry>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// The list of hosts, with the history that the lagging list is served from.
#[derive(Default)]
struct HostRegistry {
    current: HostListing,
    history: VecDeque<(Instant, HostListing)>,
    lag: Duration,
    outage: bool,
}

impl HostRegistry {
    /// Limits the versions kept for the lagging list.
    const MAX_HISTORY_VERSIONS: usize = 4_096;

    fn update(&mut self, update: impl FnOnce(&mut HostListing)) {
        update(&mut self.current);
        self.history.push_back((Instant::now(), self.current.clone()));
        while self.history.len() > Self::MAX_HISTORY_VERSIONS {
            self.history.pop_front();
        }
    }

    /// Returns the list as it was one `lag` ago, or an empty one if there was none.
    fn lagging_listing(&self) -> HostListing {
        let is_visible = |at: &Instant| at.elapsed() >= self.lag;
        let found = self.history.iter().rev().find(|(at, _)| is_visible(at));
        found.map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PlatformStandin {
    /// Longest time that a watch stays open without an event.
    const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: &str) -> anyhow::Result<Self> {
        let shared = Arc::new(PlatformState {
            store: Arc::new(MemoryStore::new()),
            hosts: Mutex::new(HostRegistry::default()),
            runs: Mutex::new(BTreeMap::new()),
        });
        let state = shared.clone();
        let (listener, address) =
            serve(address, Arc::new(move |http: Request| state.handle(http)))?;
        Ok(Self { address, shared, listener })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the store behind the HTTP API.
    #[must_use]
    pub fn store(&self) -> Arc<MemoryStore> {
        self.shared.store.clone()
    }

    /// Sets the lag of the list served at `/v1/hosts/lagging`.
    pub fn set_host_list_lag(&self, lag: Duration) {
        lock(&self.shared.hosts).lag = lag;
    }

    /// Sets whether requests for the list of hosts fail with status 503.
    pub fn set_host_list_outage(&self, outage: bool) {
        lock(&self.shared.hosts).outage = outage;
    }

    /// Adds or replaces an endpoint in the list.
    pub fn register(&self, record: EndpointRecord) {
        self.shared.register(record);
    }

    /// Adds or replaces an entry host in the list.
    pub fn register_entry(&self, record: EntryRecord) {
        self.shared.register_entry(record);
    }

    /// Sets the state of an endpoint in the list to leaving.
    pub fn mark_leaving(&self, endpoint: &EndpointId) {
        self.shared.mark_leaving(endpoint);
    }

    /// Removes an endpoint from the list.
    pub fn remove(&self, endpoint: &EndpointId) {
        lock(&self.shared.hosts)
            .update(|listing| listing.endpoints.retain(|record| &record.endpoint != endpoint));
    }

    /// Returns how often each call to a service has run, by idempotency key.
    ///
    /// Calls without a key are counted by path.
    #[must_use]
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        lock(&self.shared.runs).clone()
    }

    /// Stops the stand-in.
    pub fn close(self) {
        let _ = self.listener.close(Duration::ZERO);
    }
}

impl PlatformState {
    fn register(&self, record: EndpointRecord) {
        lock(&self.hosts).update(|listing| {
            listing.endpoints.retain(|old| old.endpoint != record.endpoint);
            listing.endpoints.push(record);
        });
    }

    fn register_entry(&self, record: EntryRecord) {
        lock(&self.hosts).update(|listing| {
            listing.entries.retain(|old| old.host != record.host);
            listing.entries.push(record);
        });
    }

    fn mark_leaving(&self, endpoint: &EndpointId) {
        lock(&self.hosts).update(|listing| {
            for record in &mut listing.endpoints {
                if &record.endpoint == endpoint {
                    record.state = EndpointState::Leaving;
                }
            }
        });
    }

    fn handle(&self, mut http: Request) {
        let path = http.url().to_owned();
        match path.as_str() {
            "/v1/hosts" => self.list_hosts(http, false),
            "/v1/hosts/lagging" => self.list_hosts(http, true),
            "/v3/watch" => self.watch(http),
            _ if path.starts_with("/v3/") => {
                let result = read_json(&mut http)
                    .map_err(|error| StoreError::Refused(error.to_string()))
                    .and_then(|body| self.store_call(&path, &body));
                match result {
                    Ok(body) => respond_json(http, 200, &body),
                    Err(StoreError::Refused(reason)) => {
                        respond_json(http, 400, &json!({ "error": reason }));
                    }
                    Err(error) => respond_json(http, 503, &json!({ "error": error.to_string() })),
                }
            }
            _ => match self.control(&mut http, &path) {
                Ok(body) => respond_json(http, 200, &body),
                Err(error) => respond_json(http, 400, &json!({ "error": error.to_string() })),
            },
        }
    }

    fn list_hosts(&self, http: Request, lagging: bool) {
        let hosts = lock(&self.hosts);
        if hosts.outage {
            drop(hosts);
            return respond_json(http, 503, &json!({ "error": "outage" }));
        }
        let listing = if lagging { hosts.lagging_listing() } else { hosts.current.clone() };
        drop(hosts);
        let body = json!(listing).to_string();
        let etag = format!("\"{:016x}\"", hash_text(&body));
        let is_unmodified = http
            .headers()
            .iter()
            .any(|header| header.field.equiv("If-None-Match") && header.value.as_str() == etag);
        let response = if is_unmodified {
            Response::from_string("").with_status_code(304)
        } else {
            Response::from_string(body)
        };
        let headers = [("ETag", etag.as_str()), ("Content-Type", "application/json")];
        let headers = headers.into_iter().filter_map(|(k, v)| Header::from_bytes(k, v).ok());
        let _ = http.respond(headers.fold(response, Response::with_header));
    }

    fn control(&self, http: &mut Request, path: &str) -> anyhow::Result<Value> {
        match path {
            "/standin/endpoint" => self.register(read_json(http)?),
            "/standin/entry" => self.register_entry(read_json(http)?),
            "/standin/leaving" => {
                let endpoint: EndpointId = read_json(http)?;
                self.mark_leaving(&endpoint);
            }
            "/standin/faults" => {
                let faults: StoreFaults = read_json(http)?;
                self.store.set_faults(faults);
            }
            "/standin/list-lag-ms" => {
                let millis: u64 = read_json(http)?;
                lock(&self.hosts).lag = Duration::from_millis(millis);
            }
            "/standin/list-outage" => lock(&self.hosts).outage = read_json(http)?,
            "/standin/run" => {
                let key: String = read_json(http)?;
                *lock(&self.runs).entry(key).or_default() += 1;
            }
            "/standin/runs" => return Ok(json!(*lock(&self.runs))),
            "/standin/hosts" => return Ok(json!(lock(&self.hosts).current)),
            "/standin/counts" => return Ok(json!(self.store.counts())),
            "/healthz" => {}
            other => anyhow::bail!("no such path: {other}"),
        }
        Ok(json!({}))
    }

    fn store_call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        match path {
            "/v3/kv/range" => self.range(body),
            "/v3/kv/txn" => self.txn(body),
            "/v3/lease/grant" => {
                let ttl = parse_number(&body["TTL"]).unwrap_or(1);
                let lease = self.store.grant_lease(Duration::from_secs(ttl))?;
                Ok(json!({ "ID": lease.0.to_string(), "TTL": ttl.to_string() }))
            }
            "/v3/lease/keepalive" => {
                let lease = lease_id(body);
                let ttl = u8::from(self.store.renew_lease(lease)?);
                Ok(json!({ "result": { "ID": lease.0.to_string(), "TTL": ttl.to_string() } }))
            }
            "/v3/lease/timetolive" => {
                let lease = lease_id(body);
                let ttl = if self.store.lease_exists(lease)? { "1" } else { "-1" };
                Ok(json!({ "ID": lease.0.to_string(), "TTL": ttl }))
            }
            "/v3/lease/revoke" => self.store.revoke_lease(lease_id(body)).map(|()| json!({})),
            other => Err(StoreError::Refused(format!("no such call: {other}"))),
        }
    }

    fn range(&self, body: &Value) -> Result<Value, StoreError> {
        let key = decode_text(&body["key"]);
        let entries = if body["range_end"].is_string() {
            self.store.list(&key)?
        } else if let Some(min_revision) = parse_number(&body["min_mod_revision"]) {
            let found = self.store.read_if_newer(&key, min_revision.saturating_sub(1))?;
            found.into_iter().map(|entry| (key.clone(), entry)).collect()
        } else {
            self.store.read(&key)?.into_iter().map(|entry| (key.clone(), entry)).collect()
        };
        let kvs: Vec<Value> = entries.iter().map(|(key, entry)| encode_kv(key, entry)).collect();
        Ok(json!({ "count": kvs.len().to_string(), "kvs": kvs }))
    }

    fn txn(&self, body: &Value) -> Result<Value, StoreError> {
        let compare = &body["compare"][0];
        let operation = &body["success"][0];
        let put = &operation["request_put"];
        let swap = CompareAndSwap {
            key: decode_text(&compare["key"]),
            expected: parse_number(&compare["mod_revision"]).filter(|&revision| revision > 0),
            value: put.is_object().then(|| decode_bytes(&put["value"])),
            lease: parse_number(&put["lease"])
                .filter(|&lease| lease > 0)
                .map(|lease| LeaseId(lease.cast_signed())),
        };
        Ok(match self.store.compare_and_swap(&swap)? {
            SwapResult::Applied(revision) => {
                json!({ "header": { "revision": revision.to_string() }, "succeeded": true })
            }
            SwapResult::Conflict => json!({ "succeeded": false }),
        })
    }

    /// Waits for one event and sends it as the only line of a chunked body.
    ///
    /// Unlike etcd, it ends the response after that event; the client has to watch again.
    fn watch(&self, mut http: Request) {
        let body: Value = read_json(&mut http).unwrap_or_default();
        let create = &body["create_request"];
        let key = decode_text(&create["key"]);
        let start_revision = parse_number(&create["start_revision"]).unwrap_or(1);
        let found = self.store.watch(&key, start_revision, PlatformStandin::WATCH_TIMEOUT);
        let Ok(found) = found else {
            return respond_json(http, 503, &json!({ "error": "outage" }));
        };
        let events: Vec<Value> = found
            .iter()
            .map(|entry| json!({ "type": "PUT", "kv": encode_kv(&key, entry) }))
            .collect();
        let line = format!("{}\n", json!({ "result": { "events": events } }));
        let mut writer = http.into_writer();
        let _ = write!(
            writer,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n0\r\n\r\n",
            line.len()
        );
        let _ = writer.flush();
    }
}

fn hash_text(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

fn encode_kv(key: &str, entry: &StoreEntry) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&entry.value),
        "mod_revision": entry.revision.to_string(),
    })
}

fn decode_bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or("")).unwrap_or_default()
}

fn decode_text(value: &Value) -> String {
    String::from_utf8_lossy(&decode_bytes(value)).into_owned()
}

fn parse_number(value: &Value) -> Option<u64> {
    value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_u64())
}

fn lease_id(body: &Value) -> LeaseId {
    LeaseId(parse_number(&body["ID"]).unwrap_or(0).cast_signed())
}

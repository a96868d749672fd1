use {
    crate::connection::{
        CompareAndSwap, LeaseId, PlatformStore, StoreEntry, StoreError, SwapResult, STORE_TIMEOUT,
    },
    base64::{engine::general_purpose::STANDARD, Engine as _},
    serde_json::{json, Value},
    std::{
        io::{BufRead as _, BufReader, Read as _},
        time::Duration,
    },
    ureq::{Agent, AgentBuilder, ErrorKind},
};

/// A [`PlatformStore`] over the JSON gateway of etcd v3.
#[derive(Clone, Debug)]
pub struct EtcdStore {
    base_url: String,
    agent: Agent,
}

impl EtcdStore {
    /// Maximum size of a response that is read.
    const MAX_RESPONSE_BYTES: u64 = 64 << 20;

    /// Creates a client for the base URL, for example `http://10.0.0.1:2379`.
    pub fn new(base_url: impl Into<String>) -> Self {
        let agent = AgentBuilder::new()
            .timeout_connect(STORE_TIMEOUT)
            .timeout(STORE_TIMEOUT)
            .redirects(0)
            .build();
        Self { base_url: base_url.into(), agent }
    }

    fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        let url = format!("{}{path}", self.base_url);
        let response = self.agent.post(&url).send_json(body).map_err(store_error)?;
        let mut text = String::new();
        let mut reader = response.into_reader().take(Self::MAX_RESPONSE_BYTES);
        reader.read_to_string(&mut text).map_err(|error| StoreError::Unknown(error.to_string()))?;
        serde_json::from_str(&text).map_err(|error| StoreError::Unknown(error.to_string()))
    }

    fn range(&self, body: &Value) -> Result<Vec<(String, StoreEntry)>, StoreError> {
        let response = self.call("/v3/kv/range", body)?;
        let kvs = response["kvs"].as_array().map_or(&[][..], Vec::as_slice);
        kvs.iter().map(parse_kv).collect()
    }
}

impl PlatformStore for EtcdStore {
    fn read(&self, key: &str) -> Result<Option<StoreEntry>, StoreError> {
        let entries = self.range(&json!({ "key": encode(key) }))?;
        Ok(entries.into_iter().next().map(|(_, entry)| entry))
    }

    fn read_if_newer(&self, key: &str, after: u64) -> Result<Option<StoreEntry>, StoreError> {
        let start_revision = (after + 1).to_string();
        let entries =
            self.range(&json!({ "key": encode(key), "min_mod_revision": start_revision }))?;
        Ok(entries.into_iter().next().map(|(_, entry)| entry))
    }

    fn list(&self, prefix: &str) -> Result<Vec<(String, StoreEntry)>, StoreError> {
        self.range(&json!({ "key": encode(prefix), "range_end": encode(range_end(prefix)) }))
    }

    fn compare_and_swap(&self, swap: &CompareAndSwap) -> Result<SwapResult, StoreError> {
        let key = encode(&swap.key);
        let compare = json!({
            "key": key, "target": "MOD", "result": "EQUAL",
            "mod_revision": swap.expected.unwrap_or(0).to_string(),
        });
        let operation = match &swap.value {
            Some(value) => json!({ "request_put": {
                "key": key,
                "value": encode(value),
                "lease": swap.lease.map_or(0, |lease| lease.0).to_string(),
            }}),
            None => json!({ "request_delete_range": { "key": key } }),
        };
        let body = json!({ "compare": [compare], "success": [operation] });
        let response = self.call("/v3/kv/txn", &body)?;
        if response["succeeded"].as_bool().unwrap_or(false) {
            Ok(SwapResult::Applied(parse_number(&response["header"]["revision"])?))
        } else {
            Ok(SwapResult::Conflict)
        }
    }

    fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = json!({ "TTL": ttl.as_secs().max(1).to_string() });
        let response = self.call("/v3/lease/grant", &body)?;
        let id: u64 = parse_number(&response["ID"])?;
        Ok(LeaseId(id.cast_signed()))
    }

    fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        let response = self.call("/v3/lease/keepalive", &body)?;
        Ok(parse_number(&response["result"]["TTL"]).is_ok_and(|ttl| ttl > 0))
    }

    fn lease_exists(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let response = self.call("/v3/lease/timetolive", &json!({ "ID": lease.0.to_string() }))?;
        Ok(parse_number(&response["TTL"]).is_ok_and(|ttl| ttl > 0))
    }

    fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call("/v3/lease/revoke", &json!({ "ID": lease.0.to_string() })).map(|_| ())
    }

    fn watch(
        &self,
        key: &str,
        start_revision: u64,
        timeout: Duration,
    ) -> Result<Option<StoreEntry>, StoreError> {
        let url = format!("{}/v3/watch", self.base_url);
        let create = json!({ "key": encode(key), "start_revision": start_revision.to_string() });
        let agent = AgentBuilder::new().timeout_connect(STORE_TIMEOUT).timeout_read(timeout);
        let request = agent.build().post(&url);
        let response =
            request.send_json(json!({ "create_request": create })).map_err(store_error)?;
        for line in BufReader::new(response.into_reader()).lines() {
            let Ok(line) = line else { return Ok(None) };
            let message: Value = serde_json::from_str(&line)
                .map_err(|error| StoreError::Unknown(error.to_string()))?;
            let events = message["result"]["events"].as_array().map_or(&[][..], Vec::as_slice);
            if let Some(event) = events.last() {
                return parse_kv(&event["kv"]).map(|(_, entry)| Some(entry));
            }
        }
        Ok(None)
    }
}

fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

fn decode(value: &Value) -> Result<Vec<u8>, StoreError> {
    let text = value.as_str().unwrap_or("");
    STANDARD.decode(text).map_err(|error| StoreError::Unknown(error.to_string()))
}

/// Returns the exclusive end of the key range with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn parse_kv(kv: &Value) -> Result<(String, StoreEntry), StoreError> {
    let key = String::from_utf8_lossy(&decode(&kv["key"])?).into_owned();
    let revision = parse_number(&kv["mod_revision"])?;
    Ok((key, StoreEntry { revision, value: decode(&kv["value"])? }))
}

/// Parses a 64-bit number, which the gateway encodes as a JSON string.
fn parse_number(value: &Value) -> Result<u64, StoreError> {
    let parsed = value.as_str().and_then(|text| text.parse().ok()).or_else(|| value.as_u64());
    parsed.ok_or_else(|| StoreError::Unknown(format!("expected a number, found {value}")))
}

fn store_error(error: ureq::Error) -> StoreError {
    match error {
        ureq::Error::Status(status, response) if status < 500 => {
            StoreError::Refused(format!("{status} {}", response.status_text()))
        }
        ureq::Error::Status(status, _) => StoreError::Unknown(format!("status {status}")),
        ureq::Error::Transport(transport) => match transport.kind() {
            ErrorKind::Dns | ErrorKind::ConnectionFailed | ErrorKind::InvalidUrl => {
                StoreError::NotSent(transport.to_string())
            }
            _ => StoreError::Unknown(transport.to_string()),
        },
    }
}

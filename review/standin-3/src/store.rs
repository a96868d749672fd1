//! The platform's store, as PROTOCOL.md describes it.

use {
    crate::{
        http::{response, Channel, Message},
        json::{self, Json},
    },
    std::{
        collections::{BTreeMap, HashMap},
        io,
        net::{SocketAddrV4, TcpListener},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Debug)]
struct Item {
    /// Base64 text, as it came.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    /// Returns the item as JSON without the closing brace.
    fn describe(&self, key: &str) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created\":{created},\"lease\":{lease}"
        )
    }
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// End and length of each lease.
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

pub struct Store {
    content: Mutex<Content>,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(address: SocketAddrV4) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let content = Content { revision: 1, next_lease: 1_000, ..Content::default() };
        let store = Arc::new(Self { content: Mutex::new(content) });
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(Channel::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator or a server does; returns its revision.
    pub fn put(&self, key: &str, text: &str) -> u64 {
        let mut content = self.content.lock().unwrap();
        content.write(key, encode(text.as_bytes()), 0)
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(call) = channel.read(true) {
            // The store takes about 4 ms for an answer.
            thread::sleep(Duration::from_millis(3));
            let answer = self.answer(&call);
            if channel.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Vec<u8> {
        let (path, query) = call.target().split_once('?').unwrap_or((call.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode_query(value));
            found.last().unwrap_or_default()
        };
        let mut content = self.content.lock().unwrap();
        content.expire();
        let ok = |text: String| json_response(200, "OK", &text);
        match (call.method(), path) {
            ("GET", "/kv-key") => {
                let key = parameter("key");
                match content.items.get(&key) {
                    Some(item) => {
                        ok(format!("{},\"as_of\":{}}}", item.describe(&key), content.revision))
                    }
                    None => json_response(404, "Not Found", "{}"),
                }
            }
            ("GET", "/kv-range") => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let found: Vec<String> = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| format!("{}}}", item.describe(key)))
                    .collect();
                let is_truncated = found.len() > 500;
                let found = found.into_iter().take(500).collect::<Vec<_>>().join(",");
                ok(format!(
                    "{{\"items\":[{found}],\"truncated\":{is_truncated},\"as_of\":{}}}",
                    content.revision
                ))
            }
            ("POST", "/kv-txn") => self.transact(&mut content, &call.text()),
            ("POST", "/kv-lease") => {
                let body = json::parse(&call.text()).unwrap_or(Json::Null);
                let length = body.number("ttl_ms").clamp(1_000, 600_000);
                content.next_lease += 1;
                let lease = content.next_lease;
                let length = Duration::from_millis(length);
                content.leases.insert(lease, (Instant::now() + length, length));
                ok(format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", length.as_millis()))
            }
            (method, path) => {
                let keep = path.strip_prefix("/kv-keep/").filter(|_| method == "POST");
                let end = path.strip_prefix("/kv-lease-end/").filter(|_| method == "DELETE");
                let lease: u64 = keep.or(end).and_then(|id| id.parse().ok()).unwrap_or(0);
                match content.leases.get_mut(&lease) {
                    None => json_response(404, "Not Found", "{}"),
                    Some((ends_at, length)) if keep.is_some() => {
                        *ends_at = Instant::now() + *length;
                        ok(format!("{{\"ttl_ms\":{}}}", length.as_millis()))
                    }
                    Some(_) => {
                        content.end_lease(lease);
                        ok("{}".to_owned())
                    }
                }
            }
        }
    }

    fn transact(&self, content: &mut Content, text: &str) -> Vec<u8> {
        let Some(body) = json::parse(text) else { return json_response(400, "Bad Request", "{}") };
        let is_expected = body.list("expected").iter().all(|row| {
            let found = content.items.get(&row.text("key")).map_or(0, |item| item.revision);
            found == row.number("revision")
        });
        if !is_expected {
            let current = body.list("expected").iter().filter_map(|row| {
                let key = row.text("key");
                content.items.get(&key).map(|item| format!("{}}}", item.describe(&key)))
            });
            let items = current.collect::<Vec<_>>().join(",");
            let text = format!("{{\"items\":[{items}],\"as_of\":{}}}", content.revision);
            return json_response(412, "Precondition Failed", &text);
        }
        let writes = body.list("writes");
        let has_leases = writes.iter().all(|row| {
            row.number("lease") == 0 || content.leases.contains_key(&row.number("lease"))
        });
        if !has_leases {
            return json_response(404, "Not Found", "{}");
        }
        for row in writes {
            content.write(&row.text("key"), row.text("value"), row.number("lease"));
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key {
                content.revision += 1;
                content.items.remove(key);
            }
        }
        json_response(200, "OK", &format!("{{\"revision\":{}}}", content.revision))
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
        self.revision
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (ends_at, _))| *ends_at <= now);
        for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.revision += 1;
        self.items.retain(|_, item| item.lease != lease);
    }
}

fn json_response(status: u16, reason: &str, text: &str) -> Vec<u8> {
    response(status, reason, &[("Content-Type", "application/json")], text.as_bytes())
}

fn decode_query(text: &str) -> String {
    let (mut bytes, mut at) = (Vec::new(), 0);
    let text = text.as_bytes();
    while at < text.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (text[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                at += 3;
            }
            (byte, _) => {
                bytes.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = (word >> (18 - 6 * index)) & 63;
            text.push(if index <= chunk.len() {
                char::from(ALPHABET[digit as usize])
            } else {
                '='
            });
        }
    }
    text
}

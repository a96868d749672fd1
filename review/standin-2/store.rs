//! The platform's store: keys with revisions, leases, and a drill in which it returns from an older copy.

use {
    crate::{
        http::{Message, Wire},
        json::{from_base64, to_base64, Json},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        net::{Shutdown, TcpListener, TcpStream},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, u64)>,
    revision: u64,
}

#[derive(Default)]
struct Inner {
    held: Copy,
    /// Lease ids are never given out again.
    last_lease: u64,
    era: u64,
    is_away: bool,
    /// Number of reads of the configuration.
    config_reads: u64,
    /// What stale reads return: earlier states with their times.
    earlier: VecDeque<(Instant, Copy)>,
    stale_by: Duration,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    pub address: String,
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("the store's port");
        let address = listener.local_addr().expect("the store's address").to_string();
        let inner = Inner { era: 1, ..Inner::default() };
        let store = Store { inner: Arc::new(Mutex::new(inner)), address };
        store.inner.lock().unwrap().held.revision = 10;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut inner = accepting.inner.lock().unwrap();
                if inner.is_away {
                    continue;
                }
                inner.open.push(stream.try_clone().expect("a second handle"));
                drop(inner);
                let store = accepting.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    /// Writes a key as the operator or a server does, and returns when it is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.held.put(key, value.as_bytes().to_vec(), 0);
    }

    pub fn holds(&self, key: &str) -> bool {
        let mut inner = self.inner.lock().unwrap();
        inner.held.expire();
        inner.held.items.contains_key(key)
    }

    /// Waits until the configuration has been read; returns `false` after `patience`.
    pub fn wait_for_config_read(&self, patience: Duration) -> bool {
        let reads = || self.inner.lock().unwrap().config_reads;
        let (before, end) = (reads(), Instant::now() + patience);
        while reads() == before && Instant::now() < end {
            thread::sleep(Duration::from_millis(1));
        }
        reads() != before
    }

    pub fn size_of(&self, key: &str) -> usize {
        let inner = self.inner.lock().unwrap();
        inner.held.items.get(key).map_or(0, |item| item.value.len())
    }

    /// Returns a copy of all that the store holds now.
    pub fn copy(&self) -> Copy {
        self.inner.lock().unwrap().held.clone()
    }

    /// Answers stale reads from a state of so long ago, from now on.
    pub fn serve_stale(&self, stale_by: Duration) {
        self.inner.lock().unwrap().stale_by = stale_by;
        let store = self.clone();
        thread::spawn(move || loop {
            let mut inner = store.inner.lock().unwrap();
            inner.held.expire();
            let (now, held) = (Instant::now(), inner.held.clone());
            inner.earlier.push_back((now, held));
            while inner.earlier.front().is_some_and(|(at, _)| *at + 2 * stale_by < now) {
                inner.earlier.pop_front();
            }
            drop(inner);
            thread::sleep(Duration::from_millis(20));
        });
    }

    /// Lets all leases run out, as they may while the store is down.
    pub fn end_leases(&self) {
        let mut inner = self.inner.lock().unwrap();
        let leases: Vec<u64> = inner.held.leases.keys().copied().collect();
        for lease in leases {
            inner.held.end_lease(lease);
        }
    }

    /// Goes away: its channels break and calls get no answer.
    pub fn leave(&self) {
        let mut inner = self.inner.lock().unwrap();
        inner.is_away = true;
        for stream in inner.open.drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Comes back; from an older copy if there is one, without the leases since.
    pub fn come_back(&self, copy: Option<Copy>) {
        let mut inner = self.inner.lock().unwrap();
        if let Some(copy) = copy {
            inner.held = copy;
            inner.era += 1;
        }
        inner.is_away = false;
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(mut message)) = wire.read_head() {
            if !wire.read_body(&mut message, false) {
                return;
            }
            thread::sleep(Duration::from_millis(2));
            let mut inner = self.inner.lock().unwrap();
            if inner.is_away {
                return;
            }
            inner.held.expire();
            let (status, body) = inner.answer(&message);
            let era = inner.era;
            drop(inner);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if wire.write(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }
}

impl Copy {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            self.revision += 1;
            self.items.retain(|_, item| item.lease != lease);
        }
    }

    fn item(&self, key: &str) -> Option<String> {
        self.items.get(key).map(|item| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
                to_base64(&item.value),
                item.revision,
                item.created,
                item.lease
            )
        })
    }
}

impl Inner {
    fn answer(&mut self, message: &Message) -> (u16, String) {
        if message.path() == "/kv-key" && message.query("key") == "op/config" {
            self.config_reads += 1;
        }
        let as_of = self.held.revision;
        let body = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        match (message.method(), message.path()) {
            ("GET", "/kv-key") => match self.held.item(&message.query("key")) {
                Some(item) => (200, format!("{},\"as_of\":{as_of}}}", &item[..item.len() - 1])),
                None => (404, format!("{{\"as_of\":{as_of}}}")),
            },
            ("GET", "/kv-range") => {
                let (prefix, after) = (message.query("prefix"), message.query("after"));
                let is_stale = message.query("serializable") == "1";
                let limit = Instant::now() - self.stale_by;
                let earlier = self.earlier.iter().rev().find(|(at, _)| is_stale && *at <= limit);
                let held = earlier.map_or(&self.held, |(_, held)| held);
                let keys = held.items.keys().filter(|key| key.starts_with(&prefix));
                let keys = keys.filter(|key| after.is_empty() || key.as_str() > after.as_str());
                let items: Vec<String> = keys.filter_map(|key| held.item(key)).collect();
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"truncated\":false,\"as_of\":{as_of}}}"))
            }
            ("POST", "/kv-txn") => self.write(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_ms").map_or(1_000, Json::number).clamp(1_000, 600_000);
                self.last_lease += 1;
                let end = Instant::now() + Duration::from_millis(ttl);
                self.held.leases.insert(self.last_lease, (end, ttl));
                (200, format!("{{\"lease\":{},\"ttl_ms\":{ttl}}}", self.last_lease))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match self.held.leases.get_mut(&id) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                        (200, format!("{{\"lease\":{id},\"ttl_ms\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                let is_known = self.held.leases.contains_key(&id);
                self.held.end_lease(id);
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn write(&mut self, body: &Json) -> (u16, String) {
        let rows = |name| body.get(name).map_or(&[][..], Json::list).to_vec();
        let text = |row: &Json, name| row.get(name).map_or("", Json::text).to_owned();
        let number = |row: &Json, name| row.get(name).map_or(0, Json::number);
        for row in rows("expected") {
            let found = self.held.items.get(&text(&row, "key")).map_or(0, |item| item.revision);
            if found != number(&row, "revision") {
                let item = self.held.item(&text(&row, "key")).unwrap_or_default();
                return (412, format!("{{\"items\":[{item}]}}"));
            }
        }
        for row in rows("writes") {
            let (key, lease) = (text(&row, "key"), number(&row, "lease"));
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
            if lease != 0 && !self.held.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for row in rows("writes") {
            let value = from_base64(&text(&row, "value"));
            self.held.put(&text(&row, "key"), value, number(&row, "lease"));
        }
        for key in rows("deletes") {
            self.held.revision += 1;
            self.held.items.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.held.revision))
    }
}

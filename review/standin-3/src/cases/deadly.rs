//! A request crashes each server that begins to run it, and comes again.

use {
    crate::{
        http::{exchange, response, Call, Channel, Message},
        play::{answer_headers, Play, Record, HEARTBEAT},
        store::Store,
        world::{configuration, model_service, start_one, start_store, Route, MODEL_ENTRY, REPORT},
    },
    std::{
        io,
        net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
        sync::{
            atomic::{AtomicBool, AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Number of model servers.
const SERVERS: u8 = 6;
/// Time for which a crashed server is away.
const AWAY: Duration = Duration::from_millis(2_500);
/// `contact_ms` of the installation.
const CONTACT: Duration = Duration::from_secs(3);
/// Start of each server's first run, as its report names it.
const FIRST_START: &str = "1765100000000";
const EVENT_GAP: Duration = Duration::from_millis(50);
const EVENTS: u32 = 30;
/// Path and body of the request that crashes servers.
const DEADLY: &str = "crash";

/// In what the two cases differ.
#[derive(Clone, Copy)]
pub struct Form {
    /// Events of the deadly request before its server crashes.
    pub crash_after: u32,
    /// Whether requests name the parts of their prompts: one, which belongs to the request itself.
    pub has_parts: bool,
}

#[derive(Default)]
struct Observed {
    /// When servers crashed.
    crashes: Mutex<Vec<Instant>>,
    /// When the deadly request began to run at a server, and under which id.
    runs: Mutex<Vec<(Instant, String)>>,
}

struct ModelServer {
    id: String,
    address: SocketAddrV4,
    record: Arc<Record>,
    observed: Arc<Observed>,
    /// `None` if nothing crashes.
    crash_after: Option<u32>,
    is_down: AtomicBool,
    born: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

impl ModelServer {
    fn announce(&self, store: &Store, seq: u64) {
        let born = self.born.load(Ordering::Relaxed);
        store.put(
            &format!("servers/{}", self.id),
            &format!(
                "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
                 \"slots\":192,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\
                 \"born\":{born}{MODEL_ENTRY}}}",
                self.address
            ),
        );
    }

    /// Serves, and comes back some seconds after each crash.
    fn run(self: Arc<Self>, store: Arc<Store>) {
        loop {
            let Ok(listener) = TcpListener::bind(self.address) else { return };
            let _ = listener.set_nonblocking(true);
            self.is_down.store(false, Ordering::Relaxed);
            let (mut seq, mut announced_at) = (0, Instant::now());
            self.announce(&store, seq);
            self.record.log(format!("server {} runs", self.id));
            while !self.is_down.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            self.streams.lock().unwrap().push(copy);
                        }
                        let server = Arc::clone(&self);
                        thread::spawn(move || server.serve(Channel::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
                if announced_at.elapsed() >= HEARTBEAT {
                    (seq, announced_at) = (seq + 1, Instant::now());
                    self.announce(&store, seq);
                }
            }
            drop(listener);
            for stream in self.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            thread::sleep(AWAY);
            self.born.fetch_add(AWAY.as_millis() as u64 + 1_000, Ordering::Relaxed);
        }
    }

    fn serve(&self, mut channel: Channel) {
        while let Ok(request) = channel.read(true) {
            if request.target() == "/report" {
                let headers = [("Content-Type", "application/json")];
                let born = self.born.load(Ordering::Relaxed).to_string();
                let report = REPORT.replace(FIRST_START, &born);
                if channel.write(&response(200, "OK", &headers, report.as_bytes())).is_err() {
                    return;
                }
            } else if self.stream(&request, &mut channel).is_err() {
                return;
            }
        }
    }

    fn stream(&self, request: &Message, channel: &mut Channel) -> io::Result<()> {
        let id = request.header("x-cassiafield-attempt-id").unwrap_or("-");
        let is_deadly = request.text() == DEADLY;
        if is_deadly {
            self.observed.runs.lock().unwrap().push((Instant::now(), id.to_owned()));
            self.record.log(format!("server {} begins to run the deadly request, {id}", self.id));
        }
        let mut head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                        Transfer-Encoding: chunked\r\n"
            .to_owned();
        for (name, value) in answer_headers(request, "s") {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        channel.write(head.as_bytes())?;
        let last = request.header("last-event-id").and_then(|last| last.parse().ok());
        let start = last.unwrap_or(0_u32) + 1;
        for event in start..=EVENTS {
            if is_deadly && self.crash_after.is_some_and(|count| event >= start + count) {
                self.observed.crashes.lock().unwrap().push(Instant::now());
                self.record.log(format!("server {} crashes under {id}", self.id));
                self.is_down.store(true, Ordering::Relaxed);
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            channel.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(EVENT_GAP);
        }
        channel.write(b"0\r\n\r\n")
    }
}

fn call(id: &str, body: &str, has_parts: bool) -> Call {
    let parts = format!("{}:100", &id[..8]);
    let mut headers = vec![
        ("X-Cassiafield-Attempt-Id", id),
        ("X-Cassiafield-Deadline-Ms", "20000"),
        ("X-Cassiafield-Model", "m"),
        ("X-Cassiafield-Token-Counts", "100,90"),
    ];
    if has_parts {
        headers.push(("X-Cassiafield-Prompt-Prefix", &parts));
    }
    let headers = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned()));
    Call {
        method: "POST",
        host: "a.example".to_owned(),
        path: format!("/llm/{body}"),
        headers: headers.collect(),
        body: body.as_bytes().to_vec(),
    }
}

pub fn run(play: &Play, form: Form) -> io::Result<bool> {
    let route = Route {
        prefix: "/llm/",
        kind: "streaming",
        service: "llm",
        timeout_ms: 20_000,
        attempts: 2,
        more: ",\"resumable\":true,\"affinity\":true,\"gap_aim_ms\":200",
    };
    let text = configuration(7, &[route], &model_service("llm"), "");
    let (store, store_address) = start_store(play, &text)?;
    let observed = Arc::new(Observed::default());
    for number in 1..=SERVERS {
        let server = Arc::new(ModelServer {
            id: format!("i-{number}"),
            address: play.address(10 + number),
            record: Arc::clone(&play.record),
            observed: Arc::clone(&observed),
            crash_after: play.has_trouble.then_some(form.crash_after),
            is_down: AtomicBool::new(false),
            born: AtomicU64::new(1_765_100_000_000),
            streams: Mutex::default(),
        });
        let store = Arc::clone(&store);
        thread::spawn(move || server.run(store));
    }
    let host = start_one(play, store_address)?;
    thread::sleep(Duration::from_secs(2));
    let front = host.plan.front;
    let send = |body: String| {
        let (record, id) = (Arc::clone(&play.record), play.request_id());
        thread::spawn(move || {
            let (answer, time) =
                exchange(front, &call(&id, &body, form.has_parts), Duration::from_secs(21));
            let text = match answer {
                Ok(answer) => {
                    let events = answer.text().matches("id: ").count();
                    let end = if answer.is_complete { "complete" } else { "broken off" };
                    format!("{} with {events} events, {end}", answer.status())
                }
                Err(error) => error.to_string(),
            };
            record.log(format!("client of {body} {id}: {text} after {} ms", time.as_millis()));
        })
    };
    let mut clients = Vec::new();
    for round in 0..40_u32 {
        clients.push(send(format!("sound-{}", 2 * round)));
        clients.push(send(format!("sound-{}", 2 * round + 1)));
        if round % 2 == 0 {
            clients.push(send(DEADLY.to_owned()));
        }
        thread::sleep(Duration::from_millis(500));
    }
    for client in clients {
        let _ = client.join();
    }
    let mut crashes = observed.crashes.lock().unwrap().clone();
    crashes.sort();
    let runs = observed.runs.lock().unwrap().clone();
    let (mut late, mut late_retries) = (0, 0);
    if let Some(third) = crashes.get(2) {
        for (index, (at, id)) in runs.iter().enumerate() {
            if at.duration_since(*third) > CONTACT {
                late += 1;
                // A client's own new attempt has another id.
                let is_retry = runs[..index].iter().any(|(_, earlier)| earlier == id);
                late_retries += u32::from(is_retry);
            }
        }
    }
    play.record.log(format!(
        "{} crashes; later than contact_ms after the third the deadly request reached servers \
         {late} times, {late_retries} of them in the system's own retries",
        crashes.len()
    ));
    Ok(late_retries <= 3)
}

use {
    crate::{CallKind, CallRecord},
    cassiafield::connection::{EngineClient as _, EngineEvent, HttpEngineClient, StreamRequest},
    cassiafield_core::{ids::StreamId, request::RouteStage},
    cassiafield_standin::ToyModel,
    serde_json::{json, Value},
    std::{
        io::{BufRead as _, BufReader},
        sync::{
            atomic::{AtomicUsize, Ordering},
            mpsc::{channel, Sender},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
    ureq::{Agent, AgentBuilder},
};

/// Open-loop load generator: sends requests at their scheduled times without waiting for answers.
///
/// Latencies are measured from the scheduled time. A slow system therefore cannot hide its delays
/// by slowing the load down (coordinated omission).
#[derive(Clone, Debug)]
pub struct LoadGenerator {
    targets: Vec<String>,
    key: String,
    kind: CallKind,
    rate: f64,
    duration: Duration,
    tokens: u32,
    layers: u16,
    run_id: u64,
    direct: Option<Arc<Vec<RouteStage>>>,
}

impl LoadGenerator {
    /// Stack of a request thread; small, since each request in flight has a thread.
    const STACK_BYTES: usize = 128 << 10;
    /// Longest wait for a connection and for each read.
    const TIMEOUT: Duration = Duration::from_secs(60);
    /// Maximum number of requests in flight; further ones are not sent and recorded with status 0.
    const MAX_IN_FLIGHT: usize = 4_000;

    /// Creates a generator that sends to the entry hosts at `targets` in turn.
    pub fn new(targets: Vec<String>, key: impl Into<String>) -> Self {
        Self {
            targets,
            key: key.into(),
            kind: CallKind::Stream,
            rate: 10.0,
            duration: Duration::from_secs(10),
            tokens: 50,
            layers: 16,
            run_id: fastrand::u64(..),
            direct: None,
        }
    }

    /// Sets the kind of the requests.
    #[must_use]
    pub const fn kind(mut self, kind: CallKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the rate, in requests per second.
    #[must_use]
    pub const fn rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets the duration of the load.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the number of tokens that each stream requests.
    #[must_use]
    pub const fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sends streams directly to the engines of this route, without an entry host.
    #[must_use]
    pub fn direct(mut self, stages: Vec<RouteStage>) -> Self {
        self.direct = Some(Arc::new(stages));
        self
    }

    /// Sends all requests, waits until they have ended and returns their records.
    #[must_use]
    pub fn run(&self) -> Vec<CallRecord> {
        let (sender, receiver) = channel();
        let load_start = Instant::now();
        let in_flight = Arc::new(AtomicUsize::new(0));
        let agent = AgentBuilder::new()
            .timeout_connect(Self::TIMEOUT)
            .timeout_read(Self::TIMEOUT)
            .max_idle_connections(Self::MAX_IN_FLIGHT)
            .max_idle_connections_per_host(Self::MAX_IN_FLIGHT)
            .build();
        let count = (self.rate * self.duration.as_secs_f64()) as u64;
        for index in 0..count {
            let offset = Duration::from_secs_f64(index as f64 / self.rate);
            thread::sleep(offset.saturating_sub(load_start.elapsed()));
            self.spawn_request(index, offset, load_start, &agent, &in_flight, &sender);
        }
        drop(sender);
        receiver.iter().collect()
    }

    fn spawn_request(
        &self,
        index: u64,
        offset: Duration,
        load_start: Instant,
        agent: &Agent,
        in_flight: &Arc<AtomicUsize>,
        sender: &Sender<CallRecord>,
    ) {
        let record = CallRecord {
            name: format!("{:016x}-{index}", self.run_id),
            kind: self.kind,
            scheduled: micros(offset),
            ended: 0,
            status: 0,
            verdict: String::new(),
            complete: false,
            wrong: false,
            tokens: Vec::new(),
            retry_after: None,
        };
        let target = self.targets.get(index as usize % self.targets.len().max(1)).cloned();
        let (generator, agent, target) = (self.clone(), agent.clone(), target.unwrap_or_default());
        let (in_flight, sender) = (in_flight.clone(), sender.clone());
        if in_flight.fetch_add(1, Ordering::SeqCst) >= Self::MAX_IN_FLIGHT {
            in_flight.fetch_sub(1, Ordering::SeqCst);
            let _ = sender.send(record);
            return;
        }
        let spawned = thread::Builder::new().stack_size(Self::STACK_BYTES).spawn(move || {
            let mut record = record;
            match &generator.direct {
                Some(stages) => generator.stream_from_engine(stages, load_start, &mut record),
                None => generator.send_request(&agent, &target, load_start, &mut record),
            }
            record.ended = micros(load_start.elapsed());
            in_flight.fetch_sub(1, Ordering::SeqCst);
            let _ = sender.send(record);
        });
        drop(spawned);
    }

    fn stream_from_engine(
        &self,
        stages: &[RouteStage],
        load_start: Instant,
        record: &mut CallRecord,
    ) {
        let Ok(model) = "demo-model".parse() else { return };
        let request = StreamRequest {
            stream: StreamId(fastrand::u128(..)),
            attempt: 1,
            model,
            prompt: record.name.clone(),
            generated: Vec::new(),
            max_tokens: self.tokens,
            stages: stages.to_vec(),
        };
        let Ok(mut stream) = HttpEngineClient::new().open(&request) else { return };
        let mut text = String::new();
        while let Ok(event) = stream.next_event() {
            let EngineEvent::Frame(frame) = event else { continue };
            let Some(token) = frame.text else { break };
            text.push_str(&token);
            record.tokens.push(micros(load_start.elapsed()));
        }
        record.status = 200;
        record.complete =
            text == ToyModel::new(self.layers).generate(&record.name, self.tokens).concat();
        record.wrong = !record.complete;
    }

    fn send_request(
        &self,
        agent: &Agent,
        target: &str,
        load_start: Instant,
        record: &mut CallRecord,
    ) {
        let authorization = format!("Bearer {}", self.key);
        let result = match self.kind {
            CallKind::Stream => {
                let body = json!({
                    "model": "demo-model", "prompt": record.name, "stream": true,
                    "max_tokens": self.tokens,
                });
                let request = agent.post(&format!("http://{target}/v1/completions"));
                request.set("Authorization", &authorization).send_string(&body.to_string())
            }
            CallKind::Filing => {
                let request = agent.post(&format!("http://{target}/v1/services/permits/file"));
                let request = request.set("Authorization", &authorization);
                request.set("Idempotency-Key", &record.name).send_string(&record.name)
            }
            CallKind::Lookup => {
                let url = format!("http://{target}/v1/services/permits/{}", record.name);
                agent.get(&url).set("Authorization", &authorization).call()
            }
        };
        let response = match result {
            Ok(response) | Err(ureq::Error::Status(_, response)) => response,
            Err(_) => return,
        };
        record.status = response.status();
        record.verdict = response.header("Cassiafield-Verdict").unwrap_or("").to_owned();
        record.retry_after = response.header("Retry-After").and_then(|text| text.parse().ok());
        if record.status == 200 && self.kind == CallKind::Stream {
            self.read_stream(response, load_start, record);
        } else {
            record.complete = response.into_string().is_ok() && record.status == 200;
        }
    }

    fn read_stream(&self, response: ureq::Response, load_start: Instant, record: &mut CallRecord) {
        let mut text = String::new();
        for line in BufReader::new(response.into_reader()).lines() {
            let Ok(line) = line else { return };
            let Some(event) = line.strip_prefix("data: ") else { continue };
            if event == "[DONE]" {
                let model = ToyModel::new(self.layers);
                let expected = model.generate(&record.name, self.tokens).concat();
                record.complete = text == expected;
                record.wrong = !record.complete;
                return;
            }
            let event: Value = serde_json::from_str(event).unwrap_or_default();
            if let Some(verdict) = event["verdict"].as_str() {
                verdict.clone_into(&mut record.verdict);
                record.status = event["status"].as_u64().unwrap_or(0) as u16;
            }
            let token = event["choices"][0]["text"].as_str().unwrap_or("");
            if !token.is_empty() {
                text.push_str(token);
                record.tokens.push(micros(load_start.elapsed()));
            }
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

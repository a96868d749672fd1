use {
    crate::{CallKind, CallRecord},
    cassiafield::connection::{EngineClient as _, EngineEvent, HttpEngineClient, StreamOrder},
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

/// Requests sent at their scheduled times, whatever the answers.
///
/// Latencies count from the scheduled time, so a slow system cannot hide its delays by slowing
/// the load down.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    targets: Vec<String>,
    key: String,
    kind: CallKind,
    rate: f64,
    duration: Duration,
    tokens: u32,
    layers: u16,
    run: u64,
    direct: Option<Arc<Vec<RouteStage>>>,
}

impl LoadPlan {
    const STACK_BYTES: usize = 128 << 10;
    const TIMEOUT: Duration = Duration::from_secs(60);
    /// Requests that are open at the same time, at most.
    const MAX_OPEN: usize = 4_000;

    /// Creates a plan against entry hosts at `targets`, in turn.
    pub fn new(targets: Vec<String>, key: impl Into<String>) -> Self {
        Self {
            targets,
            key: key.into(),
            kind: CallKind::Stream,
            rate: 10.0,
            duration: Duration::from_secs(10),
            tokens: 50,
            layers: 16,
            run: fastrand::u64(..),
            direct: None,
        }
    }

    /// Sets what requests ask for.
    #[must_use]
    pub const fn kind(mut self, kind: CallKind) -> Self {
        self.kind = kind;
        self
    }

    /// Sets the requests a second.
    #[must_use]
    pub const fn rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// Sets for how long requests are sent.
    #[must_use]
    pub const fn duration(mut self, duration: Duration) -> Self {
        self.duration = duration;
        self
    }

    /// Sets the tokens that each stream asks for.
    #[must_use]
    pub const fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Sends streams to engines over this route, without any entry host.
    #[must_use]
    pub fn direct(mut self, stages: Vec<RouteStage>) -> Self {
        self.direct = Some(Arc::new(stages));
        self
    }

    /// Sends everything and waits for all answers.
    #[must_use]
    pub fn run(&self) -> Vec<CallRecord> {
        let (sender, receiver) = channel();
        let begin = Instant::now();
        let open = Arc::new(AtomicUsize::new(0));
        let agent = AgentBuilder::new()
            .timeout_connect(Self::TIMEOUT)
            .timeout_read(Self::TIMEOUT)
            .max_idle_connections(Self::MAX_OPEN)
            .max_idle_connections_per_host(Self::MAX_OPEN)
            .build();
        let count = (self.rate * self.duration.as_secs_f64()) as u64;
        for index in 0..count {
            let at = Duration::from_secs_f64(index as f64 / self.rate);
            thread::sleep(at.saturating_sub(begin.elapsed()));
            self.start(index, at, begin, &agent, &open, &sender);
        }
        drop(sender);
        receiver.iter().collect()
    }

    fn start(
        &self,
        index: u64,
        at: Duration,
        begin: Instant,
        agent: &Agent,
        open: &Arc<AtomicUsize>,
        sender: &Sender<CallRecord>,
    ) {
        let record = CallRecord {
            name: format!("{:016x}-{index}", self.run),
            kind: self.kind,
            scheduled: micros(at),
            ended: 0,
            status: 0,
            verdict: String::new(),
            whole: false,
            wrong: false,
            tokens: Vec::new(),
            retry_after: None,
        };
        let target = self.targets.get(index as usize % self.targets.len().max(1)).cloned();
        let (plan, agent, target) = (self.clone(), agent.clone(), target.unwrap_or_default());
        let (open, sender) = (open.clone(), sender.clone());
        if open.fetch_add(1, Ordering::SeqCst) >= Self::MAX_OPEN {
            open.fetch_sub(1, Ordering::SeqCst);
            let _ = sender.send(record);
            return;
        }
        let started = thread::Builder::new().stack_size(Self::STACK_BYTES).spawn(move || {
            let mut record = record;
            match &plan.direct {
                Some(stages) => plan.call_engine(stages, begin, &mut record),
                None => plan.call(&agent, &target, begin, &mut record),
            }
            record.ended = micros(begin.elapsed());
            open.fetch_sub(1, Ordering::SeqCst);
            let _ = sender.send(record);
        });
        drop(started);
    }

    fn call_engine(&self, stages: &[RouteStage], begin: Instant, record: &mut CallRecord) {
        let Ok(model) = "demo-model".parse() else { return };
        let order = StreamOrder {
            stream: StreamId(fastrand::u128(..)),
            attempt: 1,
            model,
            prompt: record.name.clone(),
            generated: Vec::new(),
            max_tokens: self.tokens,
            stages: stages.to_vec(),
        };
        let Ok(mut stream) = HttpEngineClient::new().open(&order) else { return };
        let mut text = String::new();
        while let Ok(event) = stream.next_event() {
            let EngineEvent::Frame(frame) = event else { continue };
            let Some(token) = frame.text else { break };
            text.push_str(&token);
            record.tokens.push(micros(begin.elapsed()));
        }
        record.status = 200;
        record.whole =
            text == ToyModel::new(self.layers).generate(&record.name, self.tokens).concat();
        record.wrong = !record.whole;
    }

    fn call(&self, agent: &Agent, target: &str, begin: Instant, record: &mut CallRecord) {
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
            self.follow(response, begin, record);
        } else {
            record.whole = response.into_string().is_ok() && record.status == 200;
        }
    }

    fn follow(&self, response: ureq::Response, begin: Instant, record: &mut CallRecord) {
        let mut text = String::new();
        for line in BufReader::new(response.into_reader()).lines() {
            let Ok(line) = line else { return };
            let Some(event) = line.strip_prefix("data: ") else { continue };
            if event == "[DONE]" {
                let model = ToyModel::new(self.layers);
                let right = model.generate(&record.name, self.tokens).concat();
                record.whole = text == right;
                record.wrong = !record.whole;
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
                record.tokens.push(micros(begin.elapsed()));
            }
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

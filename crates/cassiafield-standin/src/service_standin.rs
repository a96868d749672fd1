use {
    crate::standin_http::{read_body, register, reply_json, serve},
    cassiafield::connection::HttpListener,
    cassiafield_core::process::{EndpointRecord, EndpointState},
    serde_json::json,
    std::{
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        thread,
        time::Duration,
    },
    tiny_http::{Method, Request},
};

/// What a service stand-in is.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// The endpoint as the platform lists it; its address is filled in when it starts.
    pub record: EndpointRecord,
    /// Time from the arrival of a call to its run.
    pub delay_before_run: Duration,
    /// Time from a call's run to its answer.
    pub delay_after_run: Duration,
    /// Base URL of the platform stand-in that counts runs.
    pub platform_url: String,
}

/// A plain service; each run of a call that changes something is counted at the platform
/// stand-in, where it outlives this process.
pub struct ServiceStandin {
    record: EndpointRecord,
    listener: HttpListener,
}

struct ServiceState {
    spec: ServiceSpec,
    runs: AtomicU64,
}

impl ServiceStandin {
    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// Returns why the address could not be bound.
    pub fn start(address: &str, spec: ServiceSpec) -> anyhow::Result<Self> {
        let record = spec.record.clone();
        let state = Arc::new(ServiceState { spec, runs: AtomicU64::new(0) });
        let (listener, bound) = serve(address, Arc::new(move |http: Request| state.handle(http)))?;
        let record = EndpointRecord {
            address: bound.to_string().into(),
            state: EndpointState::Live,
            ..record
        };
        Ok(Self { record, listener })
    }

    /// Returns the endpoint as the platform should list it.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Registers the endpoint with a platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns why the platform did not answer.
    pub fn register(&self, platform: &str) -> anyhow::Result<()> {
        register(platform, &self.record)
    }

    /// Stops the stand-in.
    pub fn close(self) {
        let _ = self.listener.close(Duration::ZERO);
    }
}

impl ServiceState {
    fn handle(&self, mut http: Request) {
        let path = http.url().to_owned();
        if path == "/healthz" {
            return reply_json(http, 200, &json!({}));
        }
        let body = read_body(&mut http);
        thread::sleep(self.spec.delay_before_run);
        let changes = !matches!(http.method(), Method::Get | Method::Head);
        let header = |name: &'static str| {
            let found = http.headers().iter().find(|header| header.field.equiv(name));
            found.map(|header| header.value.to_string())
        };
        let key = header("Idempotency-Key").unwrap_or_else(|| path.clone());
        let content_type = header("Content-Type");
        if changes {
            let _ = ureq::post(&format!("{}/standin/run", self.spec.platform_url)).send_json(&key);
        }
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(self.spec.delay_after_run);
        let answer = json!({
            "service": self.spec.record.endpoint,
            "method": http.method().to_string(),
            "path": path,
            "key": key,
            "content_type": content_type,
            "bytes": body.len(),
            "run": run,
        });
        reply_json(http, 200, &answer);
    }
}

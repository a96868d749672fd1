use {
    crate::standin_http::{read_body, register, respond_json, serve},
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

/// Configuration of a [`ServiceStandin`].
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Endpoint record for the host list; `address` and `state` are set on start.
    pub record: EndpointRecord,
    /// Delay between the arrival of a call and its run.
    pub delay_before_run: Duration,
    /// Delay between the run of a call and its response.
    pub delay_after_run: Duration,
    /// Base URL of the platform stand-in that counts the runs.
    pub platform_url: String,
}

/// A plain service that reports each run of a call.
///
/// Runs of calls other than GET and HEAD are counted by the platform stand-in, so that the counts
/// survive a crash of this process.
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
    /// Returns an error if the address cannot be bound.
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

    /// Returns the endpoint record with the bound address.
    #[must_use]
    pub const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Registers the endpoint with a platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stand-in does not accept the registration.
    pub fn register(&self, platform_url: &str) -> anyhow::Result<()> {
        register(platform_url, &self.record)
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
            return respond_json(http, 200, &json!({}));
        }
        let body = read_body(&mut http);
        thread::sleep(self.spec.delay_before_run);
        let is_write = !matches!(http.method(), Method::Get | Method::Head);
        let header = |name: &'static str| {
            let found = http.headers().iter().find(|header| header.field.equiv(name));
            found.map(|header| header.value.to_string())
        };
        let key = header("Idempotency-Key").unwrap_or_else(|| path.clone());
        let content_type = header("Content-Type");
        if is_write {
            let _ = ureq::post(&format!("{}/standin/run", self.spec.platform_url)).send_json(&key);
        }
        let run = self.runs.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(self.spec.delay_after_run);
        let response = json!({
            "service": self.spec.record.endpoint,
            "method": http.method().to_string(),
            "path": path,
            "key": key,
            "content_type": content_type,
            "bytes": body.len(),
            "run": run,
        });
        respond_json(http, 200, &response);
    }
}

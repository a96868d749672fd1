use {
    cassiafield_core::{
        ids::{EndpointId, OrganisationId},
        process::RequestClass,
        request::{RefusalCause, RequestVerdict},
    },
    prometheus::{
        Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts,
        Registry, TextEncoder,
    },
    std::time::Duration,
};

/// Prometheus metrics of an entry host.
///
/// The organisations in the lists bound the number of label values.
#[derive(Clone, Debug)]
pub struct EntryMetrics {
    registry: Registry,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    request_time: HistogramVec,
    queue_wait: HistogramVec,
    refusals: IntCounterVec,
    in_doubt: IntCounterVec,
    tokens: IntCounterVec,
    running: IntGaugeVec,
    events: IntCounterVec,
    endpoints: IntGaugeVec,
    endpoint_usable: IntGaugeVec,
}

/// Token latency histograms of one organisation.
#[derive(Clone, Debug)]
pub struct TokenLatencies {
    first_token: Histogram,
    between_tokens: Histogram,
}

impl TokenLatencies {
    /// Records the time to the first token.
    pub fn observe_first_token(&self, time: Duration) {
        self.first_token.observe(time.as_secs_f64());
    }

    /// Records the time between two tokens.
    pub fn observe_between_tokens(&self, time: Duration) {
        self.between_tokens.observe(time.as_secs_f64());
    }
}

const LABELS: &[&str] = &["organisation", "class"];
/// Upper bounds of the histogram buckets.
const BUCKET_BOUNDS_SECONDS: &[f64] =
    &[0.002, 0.005, 0.01, 0.02, 0.04, 0.064, 0.1, 0.2, 0.4, 0.69, 1.0, 2.0, 5.0, 10.0, 30.0, 120.0];

impl EntryMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric cannot be registered.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str| -> prometheus::Result<HistogramVec> {
            let options = HistogramOpts::new(name, help).buckets(BUCKET_BOUNDS_SECONDS.to_vec());
            let histogram = HistogramVec::new(options, LABELS)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<_> {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| -> prometheus::Result<_> {
            let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            first_token: histogram("cassiafield_first_token_seconds", "Time to first token")?,
            between_tokens: histogram("cassiafield_between_tokens_seconds", "Time between tokens")?,
            request_time: histogram("cassiafield_request_seconds", "Time of a served request")?,
            queue_wait: histogram("cassiafield_queue_seconds", "Time waiting for an endpoint")?,
            refusals: counter(
                "cassiafield_refusals_total",
                "Refused requests",
                &["organisation", "class", "cause"],
            )?,
            in_doubt: counter("cassiafield_in_doubt_total", "Refusals that may have run", LABELS)?,
            tokens: counter("cassiafield_tokens_total", "Delivered tokens", LABELS)?,
            running: gauge("cassiafield_running_requests", "Requests being answered", LABELS)?,
            events: counter("cassiafield_events_total", "Internal events", &["event"])?,
            endpoints: gauge("cassiafield_endpoints", "Endpoints by state", &["state"])?,
            endpoint_usable: gauge(
                "cassiafield_endpoint_usable",
                "Whether an endpoint gets new work",
                &["endpoint"],
            )?,
            registry,
        })
    }

    /// Returns the token latency histograms of one organisation.
    ///
    /// A stream looks them up once, to avoid the label lookup for every token.
    #[must_use]
    pub fn token_latencies(&self, organisation: &OrganisationId) -> TokenLatencies {
        let labels = [organisation.as_str(), RequestClass::Generation.name()];
        TokenLatencies {
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
        }
    }

    /// Records the time that a request waited for an endpoint.
    pub fn observe_queue_wait(&self, organisation: &OrganisationId, time: Duration) {
        let labels = [organisation.as_str(), RequestClass::Generation.name()];
        self.queue_wait.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Counts a request as running.
    pub fn request_started(&self, organisation: &OrganisationId, class: RequestClass) {
        self.running.with_label_values(&[organisation.as_str(), class.name()]).inc();
    }

    /// Counts a request as no longer running, whatever its outcome.
    pub fn request_ended(&self, organisation: &OrganisationId, class: RequestClass) {
        self.running.with_label_values(&[organisation.as_str(), class.name()]).dec();
    }

    /// Records the total time of a completely answered request.
    pub fn observe_request_time(
        &self,
        organisation: &OrganisationId,
        class: RequestClass,
        time: Duration,
    ) {
        let labels = [organisation.as_str(), class.name()];
        self.request_time.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Counts delivered tokens.
    pub fn add_tokens(&self, organisation: &OrganisationId, class: RequestClass, count: u64) {
        self.tokens.with_label_values(&[organisation.as_str(), class.name()]).inc_by(count);
    }

    /// Counts a refused request, and whether it may have run.
    pub fn count_refusal(
        &self,
        organisation: &OrganisationId,
        class: RequestClass,
        cause: RefusalCause,
        verdict: RequestVerdict,
    ) {
        let labels = [organisation.as_str(), class.name(), cause.name()];
        self.refusals.with_label_values(&labels).inc();
        if verdict == RequestVerdict::MayHaveRun {
            self.in_doubt.with_label_values(&labels[..2]).inc();
        }
    }

    /// Counts an internal event.
    pub fn count_event(&self, event: &str) {
        self.events.with_label_values(&[event]).inc();
    }

    /// Sets the number of endpoints in a state.
    pub fn set_endpoint_count(&self, state: &str, count: usize) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.endpoints.with_label_values(&[state]).set(count);
    }

    /// Sets whether each endpoint gets new work; series of endpoints not in `states` are removed.
    pub fn set_endpoint_usable<'a>(&self, states: impl Iterator<Item = (&'a EndpointId, bool)>) {
        self.endpoint_usable.reset();
        for (endpoint, usable) in states {
            self.endpoint_usable.with_label_values(&[endpoint.as_str()]).set(i64::from(usable));
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn encode(&self) -> prometheus::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }
}

use {
    cassiafield_core::{ids::OrganisationId, request::RefusalCause, version::RequestKind},
    prometheus::{
        Encoder as _, Gauge, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts,
        Registry, TextEncoder,
    },
    std::{cell::RefCell, collections::HashSet, time::Duration},
};

/// What a host knows and does at the moment of a reading.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostReading {
    /// Seconds since the configuration in force was known to be current; negative without one.
    pub configuration_age: f64,
    /// Seconds since the list of endpoints was known to be current; negative without one.
    pub endpoints_age: f64,
    /// Endpoints known.
    pub endpoints: f64,
    /// Requests that run.
    pub running: f64,
}

/// Counters, histograms and gauges of one host.
pub struct GatewayMetrics {
    registry: Registry,
    answers: IntCounterVec,
    answer_times: HistogramVec,
    organisations: RefCell<HashSet<OrganisationId>>,
    gauges: [Gauge; 4],
    refused: IntCounterVec,
    retries: IntCounterVec,
    channels: IntCounter,
    probes: IntCounter,
}

impl GatewayMetrics {
    /// Organisations with labels of their own; further ones share a label, so that the number of
    /// series stays bounded.
    const MAX_ORGANISATIONS: usize = 256;
    /// Bounds of the histograms, in seconds: around the usual objectives and the longest waits.
    const BOUNDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0];

    /// Creates counters at zero.
    ///
    /// # Panics
    ///
    /// Never: the names are constants and each is registered once.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let vector = |name: &str, help: &str, label: &str| {
            let vector = IntCounterVec::new(Opts::new(name, help), &[label])
                .expect("constant metric names are valid");
            registry.register(Box::new(vector.clone())).expect("each metric is registered once");
            vector
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("constant metric names are valid");
            registry.register(Box::new(counter.clone())).expect("each metric is registered once");
            counter
        };
        let answers = IntCounterVec::new(
            Opts::new("cassiafield_answers_total", "Answers by organisation, kind and status"),
            &["organisation", "kind", "status"],
        )
        .expect("constant metric names are valid");
        let times = HistogramOpts::new("cassiafield_answer_seconds", "Time to an answer's head")
            .buckets(Self::BOUNDS.to_vec());
        let answer_times = HistogramVec::new(times, &["organisation", "kind"])
            .expect("constant metric names are valid");
        registry.register(Box::new(answers.clone())).expect("each metric is registered once");
        registry.register(Box::new(answer_times.clone())).expect("each metric is registered once");
        let gauge = |name: &str, help: &str| {
            let gauge = Gauge::new(name, help).expect("constant metric names are valid");
            registry.register(Box::new(gauge.clone())).expect("each metric is registered once");
            gauge
        };
        let gauges = [
            gauge("cassiafield_configuration_age_seconds", "Age of the configuration in force"),
            gauge("cassiafield_endpoints_age_seconds", "Age of the list of endpoints"),
            gauge("cassiafield_endpoints", "Endpoints known"),
            gauge("cassiafield_running", "Requests that run"),
        ];
        Self {
            answers,
            answer_times,
            organisations: RefCell::default(),
            gauges,
            refused: vector("cassiafield_refused_total", "Requests refused or failed", "cause"),
            retries: vector("cassiafield_retries_total", "Retries asked for", "granted"),
            channels: counter("cassiafield_channels_total", "Connections opened to endpoints"),
            probes: counter("cassiafield_probes_total", "Endpoints asked whether they live"),
            registry,
        }
    }

    /// Counts an answer and the time to its head.
    pub fn answered(
        &self,
        organisation: Option<&OrganisationId>,
        kind: RequestKind,
        status: u16,
        time: Duration,
    ) {
        let organisation = self.label(organisation);
        let kind = match kind {
            RequestKind::Idempotent => "idempotent",
            RequestKind::Once => "once",
            RequestKind::ResumableStream | RequestKind::OnceStream => "stream",
        };
        let status = status.to_string();
        self.answers.with_label_values(&[organisation.as_str(), kind, status.as_str()]).inc();
        self.answer_times
            .with_label_values(&[organisation.as_str(), kind])
            .observe(time.as_secs_f64());
    }

    fn label(&self, organisation: Option<&OrganisationId>) -> String {
        let Some(organisation) = organisation else { return "none".to_owned() };
        let mut known = self.organisations.borrow_mut();
        if known.contains(organisation) || known.len() < Self::MAX_ORGANISATIONS {
            known.insert(organisation.clone());
            return organisation.to_string();
        }
        "other".to_owned()
    }

    /// Counts a request that was refused or failed.
    pub fn refused(&self, cause: RefusalCause) {
        self.refused.with_label_values(&[cause.name()]).inc();
    }

    /// Counts a retry that was asked for.
    pub fn retry_asked(&self, is_granted: bool) {
        self.retries.with_label_values(&[if is_granted { "yes" } else { "no" }]).inc();
    }

    /// Counts a connection to an endpoint.
    pub fn channel_opened(&self) {
        self.channels.inc();
    }

    /// Counts an endpoint that was asked whether it lives.
    pub fn probed(&self) {
        self.probes.inc();
    }

    /// Returns everything in the text format, with the gauges set to a reading.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be written.
    pub fn text(&self, reading: HostReading) -> Result<Vec<u8>, prometheus::Error> {
        let HostReading { configuration_age, endpoints_age, endpoints, running } = reading;
        let values = [configuration_age, endpoints_age, endpoints, running];
        for (gauge, value) in self.gauges.iter().zip(values) {
            gauge.set(value);
        }
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

use {
    crate::process::metric_builder::MetricBuilder,
    cassiafield_core::{ids::OrganisationId, request::RefusalCause, version::RequestKind},
    prometheus::{
        Encoder as _, Gauge, Histogram, HistogramVec, IntCounter, IntCounterVec, Registry,
        TextEncoder,
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
    /// Lines of the log that were left out, since an event had too many in a second.
    pub lines_over_budget: f64,
    /// Lines of the log that were dropped, since they came faster than they could be written.
    pub lines_dropped: f64,
}

/// Counters, histograms and gauges of one host.
pub struct GatewayMetrics {
    registry: Registry,
    organisations: RefCell<HashSet<OrganisationId>>,
    gauges: [Gauge; 6],
    answers: IntCounterVec,
    head_times: HistogramVec,
    whole_times: HistogramVec,
    event_gaps: HistogramVec,
    added_times: HistogramVec,
    refused: IntCounterVec,
    retries: IntCounterVec,
    streams: IntCounterVec,
    orders: IntCounterVec,
    store_calls: IntCounterVec,
    channels: IntCounter,
    probes: IntCounter,
}

impl GatewayMetrics {
    /// Organisations with labels of their own; further ones share a label, so that the number of
    /// series stays bounded.
    const MAX_ORGANISATIONS: usize = 256;
    /// Bounds of the histograms, in seconds: around the usual objectives and the longest waits.
    const BOUNDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0];
    /// Bounds of the time that the host adds, in seconds.
    const ADDED_BOUNDS: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.5, 2.0];

    /// Creates counters at zero.
    #[must_use]
    pub fn new() -> Self {
        let builder = MetricBuilder::new();
        let by_kind = ["organisation", "kind"];
        Self {
            organisations: RefCell::default(),
            gauges: [
                builder.gauge(
                    "cassiafield_configuration_age_seconds",
                    "Age of the configuration in force; -1 without one",
                ),
                builder.gauge(
                    "cassiafield_endpoints_age_seconds",
                    "Age of the list of endpoints; -1 without one",
                ),
                builder.gauge("cassiafield_endpoints", "Endpoints known"),
                builder.gauge("cassiafield_running", "Requests that run"),
                builder.gauge(
                    "cassiafield_log_lines_over_budget",
                    "Log lines left out, since an event had too many in a second",
                ),
                builder.gauge(
                    "cassiafield_log_lines_dropped",
                    "Log lines dropped, since they came faster than they could be written",
                ),
            ],
            answers: builder.counters(
                "cassiafield_answers_total",
                "Answers by organisation, kind and status",
                &["organisation", "kind", "status"],
            ),
            head_times: builder.histograms(
                "cassiafield_answer_seconds",
                "Time to an answer's head, for streams to the first event",
                &by_kind,
                &Self::BOUNDS,
            ),
            whole_times: builder.histograms(
                "cassiafield_whole_seconds",
                "Time to the end of answers that are whole",
                &by_kind,
                &Self::BOUNDS,
            ),
            event_gaps: builder.histograms(
                "cassiafield_event_gap_seconds",
                "Time between events of streams that are passed on",
                &["organisation"],
                &Self::BOUNDS,
            ),
            added_times: builder.histograms(
                "cassiafield_added_seconds",
                "Time from a request's arrival to its last sending to an endpoint",
                &["kind"],
                &Self::ADDED_BOUNDS,
            ),
            refused: builder.counters(
                "cassiafield_refused_total",
                "Requests refused or failed",
                &["cause"],
            ),
            retries: builder.counters(
                "cassiafield_retries_total",
                "Retries asked for",
                &["granted"],
            ),
            streams: builder.counters(
                "cassiafield_streams_broken_total",
                "Streams whose path failed, by whether they went on",
                &["outcome"],
            ),
            orders: builder.counters(
                "cassiafield_layer_orders_total",
                "Orders to hold layers",
                &["accepted"],
            ),
            store_calls: builder.counters(
                "cassiafield_store_calls_total",
                "Calls to the platform's store",
                &["call", "result"],
            ),
            channels: builder
                .counter("cassiafield_channels_total", "Connections opened to endpoints"),
            probes: builder
                .counter("cassiafield_probes_total", "Endpoints asked whether they live"),
            registry: builder.close(),
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
        let (kind, status) = (kind_label(kind), status.to_string());
        self.answers.with_label_values(&[organisation.as_str(), kind, status.as_str()]).inc();
        self.head_times
            .with_label_values(&[organisation.as_str(), kind])
            .observe(time.as_secs_f64());
    }

    /// Records the time to the end of an answer that is whole.
    pub fn completed(
        &self,
        organisation: Option<&OrganisationId>,
        kind: RequestKind,
        time: Duration,
    ) {
        let labels = [&*self.label(organisation), kind_label(kind)];
        self.whole_times.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Returns the histogram of an organisation's gaps between events, in seconds.
    #[must_use]
    pub fn event_gaps(&self, organisation: Option<&OrganisationId>) -> Histogram {
        self.event_gaps.with_label_values(&[&*self.label(organisation)])
    }

    /// Records the time from a request's arrival to a sending.
    pub fn sent(&self, kind: RequestKind, time: Duration) {
        self.added_times.with_label_values(&[kind_label(kind)]).observe(time.as_secs_f64());
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

    /// Counts a stream whose path failed.
    pub fn stream_broken(&self, goes_on: bool) {
        self.streams.with_label_values(&[if goes_on { "resumed" } else { "ended" }]).inc();
    }

    /// Counts an order to hold layers.
    pub fn layers_ordered(&self, is_accepted: bool) {
        self.orders.with_label_values(&[if is_accepted { "yes" } else { "no" }]).inc();
    }

    /// Returns the counters of calls to the store, by call and result.
    #[must_use]
    pub fn store_calls(&self) -> IntCounterVec {
        self.store_calls.clone()
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
        let values = [
            reading.configuration_age,
            reading.endpoints_age,
            reading.endpoints,
            reading.running,
            reading.lines_over_budget,
            reading.lines_dropped,
        ];
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

const fn kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "once",
        RequestKind::ResumableStream | RequestKind::AtMostOnceStream => "stream",
    }
}

use {
    crate::{
        admission::AdmissionMetrics,
        prefix::PrefixMetrics,
        process::{MetricBuilder, SenderKind},
        recovery::RecoveryMetrics,
    },
    cassiafield_core::{
        connections::ConnectionPurpose,
        ids::OrganisationId,
        process::CloseReason,
        request::{GiveUpReason, RefusalCause},
        resources::ByteCount,
        version::RequestKind,
    },
    prometheus::{
        Encoder as _, Gauge, Histogram, HistogramVec, IntCounter, IntCounterVec, Registry,
        TextEncoder,
    },
    std::{cell::RefCell, collections::HashSet, time::Duration},
};

/// Values of a host's gauges at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct GaugeValues {
    /// Age of the current configuration in seconds; negative without one.
    pub configuration_age: f64,
    /// Age of the list of endpoints in seconds; negative without one.
    pub endpoints_age: f64,
    /// Number of known endpoints.
    pub endpoints: f64,
    /// Requests in flight.
    pub running: f64,
    /// Log lines left out because an event exceeded its lines per second.
    pub lines_over_budget: f64,
    /// Log lines dropped because the writer could not keep up.
    pub lines_dropped: f64,
    /// Parts of prompts that are kept from endpoints.
    pub blocked_parts: f64,
    /// Hosts of the fleet that this host knows, itself included.
    pub fleet_hosts: f64,
    /// Hosts of the fleet whose messages arrive, itself included.
    pub reachable_hosts: f64,
}

/// Counters, histograms and gauges of one host.
pub struct GatewayMetrics {
    registry: Registry,
    organisations: RefCell<HashSet<OrganisationId>>,
    /// In the order of the fields of [`GaugeValues`].
    gauges: [Gauge; 9],
    responses: IntCounterVec,
    head_times: HistogramVec,
    completion_times: HistogramVec,
    event_gaps: HistogramVec,
    send_delays: HistogramVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    broken_streams: IntCounterVec,
    given_up_streams: IntCounterVec,
    orders: IntCounterVec,
    store_calls: IntCounterVec,
    connections: IntCounter,
    closed_connections: IntCounterVec,
    requests_cut: IntCounterVec,
    probes: IntCounter,
    endpoint_failures: IntCounterVec,
    way_losses: IntCounter,
    carried: IntCounterVec,
    carried_for_others: IntCounterVec,
    endpoint_pauses: IntCounter,
    sends_held_back: IntCounterVec,
    limit_changes: IntCounter,
    limited_sends: IntCounterVec,
    turns: IntCounterVec,
    ends_under_requests: IntCounter,
    sends_after_end: IntCounter,
    blocked_parts: IntCounter,
    /// Of the recovery of streams.
    pub recovery: RecoveryMetrics,
    /// Requests that wait for room.
    pub admission: AdmissionMetrics,
    opened_connections: IntCounterVec,
    paths_at_limit: IntCounterVec,
    prefixes: PrefixMetrics,
    held_bytes: Gauge,
}

impl GatewayMetrics {
    /// Maximum number of organisations with their own label.
    ///
    /// Further ones share a label, which bounds the number of series.
    const MAX_ORGANISATION_LABELS: usize = 256;
    /// Upper bounds of the histogram buckets.
    ///
    /// They cover the usual objectives and the longest waits.
    const BUCKETS_SECONDS: [f64; 10] = [0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 5.0, 20.0];
    /// Upper bounds of the buckets for the latency that the host adds.
    const ADDED_TIME_BUCKETS_SECONDS: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 0.5, 2.0];

    /// Creates the metrics with all counters at zero.
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
                builder.gauge(
                    "cassiafield_blocked_parts",
                    "Parts of prompts that are kept from endpoints",
                ),
                builder.gauge(
                    "cassiafield_fleet_hosts",
                    "Hosts of the fleet that this host knows, itself included",
                ),
                builder.gauge(
                    "cassiafield_reachable_hosts",
                    "Hosts of the fleet whose messages arrive, this host included",
                ),
            ],
            responses: builder.counters(
                "cassiafield_answers_total",
                "Answers by organisation, kind and status",
                &["organisation", "kind", "status"],
            ),
            head_times: builder.histograms(
                "cassiafield_answer_seconds",
                "Time to an answer's head, for streams to the first event",
                &by_kind,
                &Self::BUCKETS_SECONDS,
            ),
            completion_times: builder.histograms(
                "cassiafield_whole_seconds",
                "Time to the end of answers that are whole",
                &by_kind,
                &Self::BUCKETS_SECONDS,
            ),
            event_gaps: builder.histograms(
                "cassiafield_event_gap_seconds",
                "Time between events of streams that are passed on",
                &["organisation"],
                &Self::BUCKETS_SECONDS,
            ),
            send_delays: builder.histograms(
                "cassiafield_added_seconds",
                "Time from a request's arrival to its last sending to an endpoint",
                &["kind"],
                &Self::ADDED_TIME_BUCKETS_SECONDS,
            ),
            refusals: builder.counters(
                "cassiafield_refused_total",
                "Requests refused or failed",
                &["cause"],
            ),
            retries: builder.counters(
                "cassiafield_retries_total",
                "Retries asked for",
                &["granted"],
            ),
            broken_streams: builder.counters(
                "cassiafield_streams_broken_total",
                "Streams whose path failed, by whether they went on",
                &["outcome"],
            ),
            given_up_streams: builder.counters(
                "cassiafield_streams_given_up_total",
                "Streams ended before their answer was complete, by why they could not go on",
                &["reason"],
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
            connections: builder
                .counter("cassiafield_channels_total", "Connections opened to endpoints"),
            closed_connections: builder.counters(
                "cassiafield_caller_connections_closed_total",
                "Connections of callers that the host closed",
                &["reason"],
            ),
            requests_cut: builder.counters(
                "cassiafield_requests_cut_total",
                "Requests that ended with their connection, before a complete answer",
                &["reason"],
            ),
            probes: builder
                .counter("cassiafield_probes_total", "Endpoints asked whether they live"),
            endpoint_failures: builder.counters(
                "cassiafield_endpoint_failures_total",
                "Failures of endpoints, by how this host noticed them",
                &["failure"],
            ),
            way_losses: builder.counter(
                "cassiafield_way_losses_total",
                "Times that this host lost its way to a service's endpoints",
            ),
            carried: builder.counters(
                "cassiafield_carried_total",
                "Requests handed to other hosts, by what came of it",
                &["outcome"],
            ),
            carried_for_others: builder.counters(
                "cassiafield_carried_for_others_total",
                "Requests that other hosts handed over, by whether they were taken",
                &["taken"],
            ),
            endpoint_pauses: builder
                .counter("cassiafield_endpoint_pauses_total", "Pauses that endpoints asked for"),
            limit_changes: builder.counter(
                "cassiafield_limit_changes_total",
                "Changes of the rates of requests that endpoints take",
            ),
            limited_sends: builder.counters(
                "cassiafield_limited_sends_total",
                "Requests sent to endpoints that take a limited rate",
                &["sender"],
            ),
            turns: builder.counters(
                "cassiafield_turns_total",
                "Turns asked for at endpoints that take a limited rate",
                &["granted"],
            ),
            sends_held_back: builder.counters(
                "cassiafield_sends_held_back_total",
                "Sends to endpoints held back, since the endpoint had asked for a pause or named a limit",
                &["sender"],
            ),
            ends_under_requests: builder.counter(
                "cassiafield_endpoint_ends_total",
                "Endpoints that ended while requests without an answer were in flight there",
            ),
            sends_after_end: builder.counter(
                "cassiafield_sends_after_end_total",
                "Requests sent again after an endpoint had ended under them",
            ),
            blocked_parts: builder.counter(
                "cassiafield_prompt_parts_blocked_total",
                "Parts of prompts that were blocked, since endpoints ended under them",
            ),
            recovery: RecoveryMetrics {
                breaks: builder.counters(
                    "cassiafield_stream_breaks_total",
                    "Breaks of streams, by what was found and how the stream went on",
                    &["found", "outcome"],
                ),
                orders: builder.counters(
                    "cassiafield_stage_orders_total",
                    "Orders to replace a part of a stream's path",
                    &["outcome"],
                ),
                verdict_times: builder.histograms(
                    "cassiafield_break_verdict_seconds",
                    "Time from a stream's last event until its break was found",
                    &["found"],
                    &Self::BUCKETS_SECONDS,
                ),
                gaps: builder.histograms(
                    "cassiafield_break_gap_seconds",
                    "Time from a stream's last event before a break to the next one",
                    &["outcome"],
                    &Self::BUCKETS_SECONDS,
                ),
            },
            admission: AdmissionMetrics::new(&builder),
            opened_connections: builder.counters(
                "cassiafield_connections_opened_total",
                "Connections opened to endpoints, by what they were opened for",
                &["purpose"],
            ),
            paths_at_limit: builder.counters(
                "cassiafield_paths_at_limit_total",
                "Plans that met endpoints where one more stream makes another one late",
                &["left"],
            ),
            prefixes: PrefixMetrics::new(&builder),
            held_bytes: builder.gauge(
                "cassiafield_held_bytes",
                "Memory that bodies of requests and unread answers take",
            ),
            registry: builder.into_registry(),
        }
    }

    /// Adds a metric that another part of the host keeps.
    ///
    /// # Panics
    ///
    /// Panics if the name is in use; all names are constants.
    pub fn register(&self, metric: Box<dyn prometheus::core::Collector>) {
        self.registry.register(metric).expect("each metric is registered once");
    }

    /// Records the memory that is held for callers.
    pub fn record_held(&self, held: ByteCount) {
        self.held_bytes.set(held.bytes() as f64);
    }

    /// Counts a response and records the time to its head.
    pub fn record_response(
        &self,
        organisation: Option<&OrganisationId>,
        kind: RequestKind,
        status: u16,
        time: Duration,
    ) {
        let organisation = self.label(organisation);
        let (kind, status) = (kind_label(kind), status.to_string());
        self.responses.with_label_values(&[organisation.as_str(), kind, status.as_str()]).inc();
        self.head_times
            .with_label_values(&[organisation.as_str(), kind])
            .observe(time.as_secs_f64());
    }

    /// Records the time to the end of a complete response.
    pub fn record_completion(
        &self,
        organisation: Option<&OrganisationId>,
        kind: RequestKind,
        time: Duration,
    ) {
        let labels = [&*self.label(organisation), kind_label(kind)];
        self.completion_times.with_label_values(&labels).observe(time.as_secs_f64());
    }

    /// Returns the histogram of an organisation's gaps between events, in seconds.
    #[must_use]
    pub fn event_gaps(&self, organisation: Option<&OrganisationId>) -> Histogram {
        self.event_gaps.with_label_values(&[&*self.label(organisation)])
    }

    /// Records the time from a request's arrival to a send to an endpoint.
    pub fn record_send(&self, kind: RequestKind, time: Duration) {
        self.send_delays.with_label_values(&[kind_label(kind)]).observe(time.as_secs_f64());
    }

    fn label(&self, organisation: Option<&OrganisationId>) -> String {
        let Some(organisation) = organisation else { return "none".to_owned() };
        let mut known = self.organisations.borrow_mut();
        if known.contains(organisation) || known.len() < Self::MAX_ORGANISATION_LABELS {
            known.insert(organisation.clone());
            return organisation.to_string();
        }
        "other".to_owned()
    }

    /// Counts a request that was refused or failed.
    pub fn count_refusal(&self, cause: RefusalCause) {
        self.refusals.with_label_values(&[cause.name()]).inc();
    }

    /// Counts a request for a retry, granted or not.
    pub fn count_retry_request(&self, is_granted: bool) {
        self.retries.with_label_values(&[if is_granted { "yes" } else { "no" }]).inc();
    }

    /// Counts a stream whose path failed.
    pub fn count_broken_stream(&self, was_resumed: bool) {
        self.broken_streams
            .with_label_values(&[if was_resumed { "resumed" } else { "ended" }])
            .inc();
    }

    /// Counts a stream that was ended before its answer was complete.
    pub fn count_given_up_stream(&self, reason: GiveUpReason) {
        self.given_up_streams.with_label_values(&[reason.name()]).inc();
    }

    /// Counts a layer order.
    pub fn count_layer_order(&self, is_accepted: bool) {
        self.orders.with_label_values(&[if is_accepted { "yes" } else { "no" }]).inc();
    }

    /// Returns the counters of store calls, by call and result.
    #[must_use]
    pub fn store_calls(&self) -> IntCounterVec {
        self.store_calls.clone()
    }

    /// Counts a connection opened to an endpoint.
    pub fn count_connection(&self) {
        self.connections.inc();
    }

    /// Counts a plan that met endpoints at their limit, and whether another path was taken.
    pub fn count_path_at_limit(&self, is_left: bool) {
        self.paths_at_limit.with_label_values(&[if is_left { "true" } else { "false" }]).inc();
    }

    /// Counts a connection opened to an endpoint for a purpose.
    pub fn count_opened(&self, purpose: ConnectionPurpose) {
        self.opened_connections.with_label_values(&[purpose.name()]).inc();
    }

    /// Counts a caller's connection that the host closed, and the request that this cut, if any.
    pub fn count_close(&self, reason: CloseReason, is_request_cut: bool) {
        self.closed_connections.with_label_values(&[reason.name()]).inc();
        if is_request_cut {
            self.requests_cut.with_label_values(&[reason.name()]).inc();
        }
    }

    /// Counts a health probe of an endpoint.
    pub fn count_probe(&self) {
        self.probes.inc();
    }

    /// Counts a failure of an endpoint, which a host notices in the named way.
    pub fn count_endpoint_failure(&self, failure: &'static str) {
        self.endpoint_failures.with_label_values(&[failure]).inc();
    }

    /// Counts the loss of this host's way to a service's endpoints.
    pub fn count_way_loss(&self) {
        self.way_losses.inc();
    }

    /// Counts a request that was handed to another host.
    pub fn count_carried(&self, outcome: &'static str) {
        self.carried.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that another host handed over.
    pub fn count_carried_for_other(&self, is_taken: bool) {
        self.carried_for_others.with_label_values(&[if is_taken { "yes" } else { "no" }]).inc();
    }

    /// Counts a pause that an endpoint asked for.
    pub fn count_endpoint_pause(&self) {
        self.endpoint_pauses.inc();
    }

    /// Counts a change of the rate of requests that an endpoint takes.
    pub fn count_limit_change(&self) {
        self.limit_changes.inc();
    }

    /// Counts a request that is sent to an endpoint which takes a limited rate.
    pub fn count_limited_send(&self, sender: SenderKind) {
        self.limited_sends.with_label_values(&[sender.name()]).inc();
    }

    /// Counts a turn that was asked for at an endpoint that takes a limited rate.
    pub fn count_turn(&self, is_granted: bool) {
        let label = if is_granted { "yes" } else { "no" };
        self.turns.with_label_values(&[label]).inc();
    }

    /// Counts a send to an endpoint that was held back, since the endpoint had asked for a pause.
    pub fn count_send_held_back(&self, sender: SenderKind) {
        self.sends_held_back.with_label_values(&[sender.name()]).inc();
    }

    /// Counts an endpoint that ended while requests without an answer were in flight there.
    pub fn count_endpoint_end(&self) {
        self.ends_under_requests.inc();
    }

    /// Counts a request that is sent again after an endpoint ended under it.
    pub fn count_send_after_end(&self) {
        self.sends_after_end.inc();
    }

    /// Counts a part of prompts that was blocked.
    pub fn count_blocked_part(&self) {
        self.blocked_parts.inc();
    }

    /// Returns the metrics of the placement by held beginnings of prompts.
    #[must_use]
    pub const fn prefixes(&self) -> &PrefixMetrics {
        &self.prefixes
    }

    /// Sets the gauges to `values` and returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be encoded.
    pub fn encode(&self, values: GaugeValues) -> Result<Vec<u8>, prometheus::Error> {
        let values = [
            values.configuration_age,
            values.endpoints_age,
            values.endpoints,
            values.running,
            values.lines_over_budget,
            values.lines_dropped,
            values.blocked_parts,
            values.fleet_hosts,
            values.reachable_hosts,
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

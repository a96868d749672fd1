use {
    cassiafield_core::{
        process::{EndpointEntry, EndpointIncarnation, EngineReading},
        request::{LayerSpan, StageRoute},
        version::RouteTable,
    },
    compact_str::CompactString,
    http::{HeaderName, Method},
    std::time::SystemTime,
};

/// A call to the platform's store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads one item; the response is current.
    Get {
        /// Its key.
        key: String,
    },
    /// Reads a page of the items whose keys start with a prefix.
    List {
        /// The key prefix.
        prefix: String,
        /// Last key of the previous page; empty for the first page.
        after: String,
        /// Whether the response may be a few seconds stale.
        allow_stale: bool,
    },
    /// Writes one item under a lease if the item has the expected revision.
    Put {
        /// Its key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// The lease that the item is attached to; 0 for none.
        lease: u64,
        /// Required current revision; 0 if the item must not exist, `None` for an unconditional
        /// write.
        expected_revision: Option<u64>,
    },
    /// Creates a lease.
    Grant {
        /// Time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Revokes a lease.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

impl StoreCall {
    /// Returns the call's label in metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            StoreCall::Get { .. } => "get",
            StoreCall::List { .. } => "list",
            StoreCall::Put { .. } => "put",
            StoreCall::Grant { .. } => "grant",
            StoreCall::Renew { .. } => "renew",
            StoreCall::Revoke { .. } => "revoke",
        }
    }
}

/// An item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub revision: u64,
}

/// A response of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreResponse {
    /// The item, if it exists.
    Item(Option<StoreItem>),
    /// A page of items.
    Page {
        /// The items.
        items: Vec<StoreItem>,
        /// Whether another page follows.
        has_more: bool,
    },
    /// The write was applied.
    Written,
    /// The item did not have the expected revision; nothing was written.
    Conflict,
    /// A new lease.
    Lease {
        /// The lease.
        lease: u64,
        /// Time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// The lease was renewed or revoked.
    LeaseDone,
    /// The lease does not exist.
    NoLease,
}

/// Returns the key after which the next page begins; `None` if `items` ends the list.
///
/// # Errors
///
/// Returns an error if the page after key `after` does not say where the next one begins.
pub(super) fn next_page_start(
    after: &str,
    items: &[StoreItem],
    has_more: bool,
) -> Result<Option<String>, StoreCallError> {
    if !has_more {
        return Ok(None);
    }
    match items.last().filter(|item| item.key.as_str() > after) {
        Some(last) => Ok(Some(last.key.clone())),
        None => Err(StoreCallError::Unreadable(format!("the page after {after:?} does not go on"))),
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCallError {
    /// The store refused the call with this status and did not apply it.
    Refused(u16),
    /// The store is unreachable; the call may have been applied.
    Unreachable(String),
    /// The response cannot be parsed.
    Unreadable(String),
}

impl std::fmt::Display for StoreCallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreCallError::Refused(status) => {
                write!(f, "the store refused the call with status {status}")
            }
            StoreCallError::Unreachable(reason) => write!(f, "the store does not answer: {reason}"),
            StoreCallError::Unreadable(reason) => {
                write!(f, "cannot parse the store's response: {reason}")
            }
        }
    }
}

impl std::error::Error for StoreCallError {}

/// An HTTP request without a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The body, of type [`PlatformCodec::content_type`]; empty for none.
    pub body: Vec<u8>,
}

/// Names of the headers that the host reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// Time for which the caller waits, in milliseconds.
    pub deadline: HeaderName,
    /// The endpoint that the request is meant for.
    pub expected_endpoint: HeaderName,
    /// The organisation that the request is accounted to.
    pub organisation: HeaderName,
    /// The model to run.
    pub model: HeaderName,
    /// Number of prompt tokens and maximum number of output tokens.
    pub token_counts: HeaderName,
    /// The parts of the prompt, in order.
    pub prompt_parts: HeaderName,
    /// The caller's estimate of the number of output tokens.
    pub length_hint: HeaderName,
    /// The rank that an endpoint serves the request by; 0 is the first.
    pub request_priority: HeaderName,
    /// Requests a second that an endpoint takes from all hosts together.
    pub request_limit: HeaderName,
    /// Set by an endpoint that is leaving, in all its answers.
    pub leaving: HeaderName,
    /// Set by an endpoint that did not run the request.
    pub not_run: HeaderName,
    /// Identifies the execution that produced a response.
    pub server_stamp: HeaderName,
    /// The endpoints and layers that a request passes through.
    pub layer_path: HeaderName,
    /// Address of the endpoint that made a path fail.
    pub failed_address: HeaderName,
    /// The last event that the caller received.
    pub last_event_id: HeaderName,
}

/// An endpoint's report on its layers, load and orders.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointReport {
    /// Layers that the endpoint holds, if any.
    pub span: Option<LayerSpan>,
    /// Number of orders accepted since the endpoint started.
    pub orders: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Latency and memory readings.
    pub reading: EngineReading,
}

/// Translates between the platform's formats and the host's types.
///
/// Implementations are stateless and contain no logic beyond the translation.
pub trait PlatformCodec {
    /// Returns the header names.
    fn header_names(&self) -> &HeaderNames;

    /// Returns the content type of request bodies.
    fn content_type(&self) -> &'static str;

    /// Returns the key of the operators' configuration.
    fn configuration_key(&self) -> &'static str;

    /// Returns the key prefix of endpoint entries.
    fn endpoints_prefix(&self) -> &'static str;

    /// Encodes a call to the store.
    fn store_request(&self, call: &StoreCall) -> WireRequest;

    /// Parses the store's response to a call.
    ///
    /// # Errors
    ///
    /// Returns an error if the store refused the call or the response cannot be parsed.
    fn parse_store_response(
        &self,
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreResponse, StoreCallError>;

    /// Parses a version of the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is invalid.
    fn parse_configuration(&self, value: &[u8]) -> anyhow::Result<RouteTable>;

    /// Parses the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not describe a usable endpoint.
    fn parse_endpoint(&self, key: &str, value: &[u8]) -> anyhow::Result<EndpointEntry>;

    /// Returns the latest incarnation that an endpoint which has started by `time` may have, by the time of
    /// day; `None` if incarnations do not tell when they started.
    fn latest_incarnation(&self, time: SystemTime) -> Option<EndpointIncarnation>;

    /// Encodes the header value for a route.
    fn layer_path(&self, route: &StageRoute) -> String;

    /// Encodes the order to hold a span of layers.
    ///
    /// The order is valid only while the endpoint has accepted exactly `orders` orders.
    fn placement_order(&self, span: LayerSpan, orders: u64) -> WireRequest;

    /// Encodes the order to go on with a running request over another path.
    ///
    /// The order is for the path's first endpoint, whose own stage must be the same as before.
    fn replacement_order(&self, request_id: &str, route: &StageRoute) -> WireRequest;

    /// Returns the address of the endpoint that an endpoint's refusal of an order names, if it names one.
    fn parse_refused_address(&self, body: &[u8]) -> Option<CompactString>;

    /// Encodes the request for an endpoint's report.
    fn report_request(&self) -> WireRequest;

    /// Parses an endpoint's report.
    ///
    /// # Errors
    ///
    /// Returns an error if the report is invalid.
    fn parse_report(&self, body: &[u8]) -> anyhow::Result<EndpointReport>;
}

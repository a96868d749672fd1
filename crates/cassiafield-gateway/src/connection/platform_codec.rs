use {
    cassiafield_core::{
        process::{EndpointEntry, EngineReading},
        request::{LayerSpan, StageRoute},
        version::RouteTable,
    },
    http::{HeaderName, Method},
};

/// A call to the platform's store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads one item; the answer is current.
    Get {
        /// Its key.
        key: String,
    },
    /// Reads a page of the items whose keys begin with a prefix.
    List {
        /// The prefix.
        prefix: String,
        /// The last key of the page before, or empty for the first page.
        after: String,
        /// Whether an answer that is some seconds old will do.
        may_be_stale: bool,
    },
    /// Writes one item under a lease if the item has the expected revision.
    Put {
        /// Its key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// The lease with which the item ends; 0 for none.
        lease: u64,
        /// The item's revision; 0 if it must not exist; `None` if any will do.
        expected: Option<u64>,
    },
    /// Creates a lease.
    Grant {
        /// Its time to live, in milliseconds.
        ttl_ms: u64,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

impl StoreCall {
    /// Returns the name used in metrics.
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

/// One item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreItem {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub revision: u64,
}

/// What the store answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// The item, if it exists.
    Item(Option<StoreItem>),
    /// A page of items and whether more follow.
    Page {
        /// The items.
        items: Vec<StoreItem>,
        /// Whether there is a next page.
        has_more: bool,
    },
    /// The write was done.
    Written,
    /// The item did not have the expected revision; nothing was done.
    Conflict,
    /// The lease and its time to live in milliseconds.
    Lease {
        /// The lease.
        lease: u64,
        /// Its time to live in milliseconds.
        ttl_ms: u64,
    },
    /// The lease was renewed or ended.
    LeaseDone,
    /// There is no such lease.
    NoLease,
}

/// Why a call to the store has no answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// The store said that it did nothing.
    Refused(u16),
    /// The store cannot be reached; the call may have been done.
    Unreachable(String),
    /// The answer cannot be read.
    Unreadable(String),
}

impl std::fmt::Display for StoreFault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreFault::Refused(status) => write!(f, "the store refused with status {status}"),
            StoreFault::Unreachable(why) => write!(f, "the store does not answer: {why}"),
            StoreFault::Unreadable(why) => write!(f, "the store's answer cannot be read: {why}"),
        }
    }
}

impl std::error::Error for StoreFault {}

/// An HTTP request without its host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WireRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: String,
    /// Its body; empty for none. A body is always of [`PlatformCodec::content_type`].
    pub body: Vec<u8>,
}

/// Names of the headers that the host reads or sets.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait.
    pub deadline: HeaderName,
    /// The endpoint that a request is meant for.
    pub expected_endpoint: HeaderName,
    /// The organisation that the request counts for.
    pub organisation: HeaderName,
    /// The model to run.
    pub model: HeaderName,
    /// Tokens of the prompt and the most tokens of the answer.
    pub token_counts: HeaderName,
    /// The caller's estimate of the answer's tokens.
    pub answer_hint: HeaderName,
    /// Says that an endpoint has not run a request.
    pub not_run: HeaderName,
    /// Names the run that made an answer.
    pub run_stamp: HeaderName,
    /// The endpoints and layers that a request passes through.
    pub layer_path: HeaderName,
    /// Address of the endpoint because of which a path failed.
    pub failed_address: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
}

/// Layers that an endpoint holds, its load and the orders that it has taken, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointReport {
    /// The layers, if any.
    pub span: Option<LayerSpan>,
    /// Number of orders accepted since its start.
    pub orders: u64,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Its pace and memory.
    pub reading: EngineReading,
}

/// Translates between the platform's formats and the host's types.
///
/// An implementation decides nothing and keeps no state.
pub trait PlatformCodec {
    /// Returns the names of headers.
    fn header_names(&self) -> &HeaderNames;

    /// Returns the content type of bodies.
    fn content_type(&self) -> &'static str;

    /// Returns the key under which the operators' configuration is kept.
    fn configuration_key(&self) -> &'static str;

    /// Returns the prefix of the keys under which endpoints are listed.
    fn endpoints_prefix(&self) -> &'static str;

    /// Writes a call to the store.
    fn store_request(&self, call: &StoreCall) -> WireRequest;

    /// Reads the store's answer to a call.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn store_answer(
        &self,
        call: &StoreCall,
        status: u16,
        body: &[u8],
    ) -> Result<StoreAnswer, StoreFault>;

    /// Reads a version of the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn configuration(&self, value: &[u8]) -> anyhow::Result<RouteTable>;

    /// Reads the entry of an endpoint.
    ///
    /// # Errors
    ///
    /// Returns why it names no endpoint to use.
    fn endpoint(&self, key: &str, value: &[u8]) -> anyhow::Result<EndpointEntry>;

    /// Writes the header value for a route.
    fn layer_path(&self, route: &StageRoute) -> String;

    /// Writes the order to hold a range of layers, valid after `orders` accepted orders.
    fn placement_order(&self, span: LayerSpan, orders: u64) -> WireRequest;

    /// Writes the request for an endpoint's report.
    fn report_request(&self) -> WireRequest;

    /// Reads an endpoint's report.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    fn report(&self, body: &[u8]) -> anyhow::Result<EndpointReport>;
}

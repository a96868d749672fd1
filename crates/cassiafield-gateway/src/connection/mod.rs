//! Connections to callers, endpoints and the platform's store.

mod body_budget;
mod caller_connection;
mod caller_listener;
mod carrier_connector;
mod connection_pool;
mod connection_registry;
mod http_connection;
mod platform_codec;
mod store_client;
mod store_reader;
mod tracked_stream;

pub use self::{
    body_budget::{BodyBudget, BodyError},
    caller_connection::{CallerConnection, RequestLabel, ResponseGuard},
    caller_listener::{CallerListener, CallerService},
    carrier_connector::{CarriedRequest, CarriedResponse, CarrierConnector, HttpCarrierConnector},
    connection_pool::{ConnectionNeed, ConnectionPool, PooledConnection},
    connection_registry::ConnectionRegistry,
    http_connection::{ConnectionError, HttpConnection},
    platform_codec::{
        EndpointReport, HeaderNames, PlatformCodec, StoreCall, StoreCallError, StoreItem,
        StoreResponse, WireRequest,
    },
    store_client::StoreClient,
    store_reader::{StoreReader, TimedAnswer},
};

//! Connections to callers, endpoints and the platform's store.

mod caller_listener;
mod connection_pool;
mod http_connection;
mod platform_codec;
mod store_client;
mod store_reader;

pub use self::{
    caller_listener::{CallerListener, CallerService, ResponseGuard},
    connection_pool::{ConnectionPool, PooledConnection},
    http_connection::{ConnectionError, HttpConnection},
    platform_codec::{
        EndpointReport, HeaderNames, PlatformCodec, StoreCall, StoreCallError, StoreItem,
        StoreResponse, WireRequest,
    },
    store_client::StoreClient,
    store_reader::{StoreReader, TimedAnswer},
};

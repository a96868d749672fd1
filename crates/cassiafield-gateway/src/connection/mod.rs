//! Borders to callers, endpoints and the platform's store.

mod caller_listener;
mod channel_pool;
mod http_channel;
mod platform_codec;
mod store_client;

pub use self::{
    caller_listener::{CallerListener, CallerService, RunningGuard},
    channel_pool::{ChannelPool, PooledChannel},
    http_channel::{ChannelFault, HttpChannel},
    platform_codec::{
        EndpointReport, HeaderNames, PlatformCodec, StoreAnswer, StoreCall, StoreFault, StoreItem,
        WireRequest,
    },
    store_client::StoreClient,
};

//! Borders of the system: what lives as long as a connection.

mod chunked_reply;
mod engine_client;
mod etcd_store;
mod host_list;
mod http_listener;
mod listener_probe;
mod load_digest;
mod peer_client;
mod peer_message;
mod platform_store;
mod service_client;

pub use self::{
    chunked_reply::ChunkedReply,
    engine_client::{
        EngineClient, EngineEvent, EngineStream, HttpEngineClient, OpenFailure, StreamFailure,
        StreamOrder, HEARTBEAT_INTERVAL,
    },
    etcd_store::EtcdStore,
    host_list::{EntryRecord, HostList, HostListing, HttpHostList, ListFailure},
    http_listener::{HttpListener, ListenerLimits, RequestHandler},
    load_digest::{DemandMap, LoadDigest},
    peer_client::{HttpPeerClient, PeerClient, PeerFailure, PeerSeal},
    peer_message::{LeaseRelay, LeaseWord, PeerDigest, PeerEnvelope, PeerLists},
    platform_store::{
        LeaseId, PlatformStore, StoreEntry, StoreError, StoreSwap, SwapResult, STORE_TIMEOUT,
    },
    service_client::{HttpServiceClient, ServiceCall, ServiceClient, ServiceReply, ServiceResult},
};

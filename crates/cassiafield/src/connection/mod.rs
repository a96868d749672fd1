//! The HTTP listener, and clients of engines, services, the platform and peers.

mod chunked_response;
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
    chunked_response::ChunkedResponse,
    engine_client::{
        EngineClient, EngineEvent, EngineStream, EngineStreamError, HttpEngineClient, OpenError,
        StreamRequest, HEARTBEAT_INTERVAL,
    },
    etcd_store::EtcdStore,
    host_list::{EntryRecord, HostListClient, HostListError, HostListing, HttpHostListClient},
    http_listener::{HttpListener, ListenerLimits, RequestHandler},
    load_digest::{DemandMap, LoadDigest},
    peer_client::{HttpPeerClient, PeerAuthenticator, PeerClient, PeerError},
    peer_message::{
        LeaseRenewalRequest, LeaseRenewalResponse, PeerDigest, PeerEnvelope, PeerLists,
    },
    platform_store::{
        CompareAndSwap, LeaseId, PlatformStore, StoreEntry, StoreError, SwapResult, STORE_TIMEOUT,
    },
    service_client::{
        HttpServiceClient, ServiceCall, ServiceClient, ServiceResponse, ServiceResult,
    },
};

//! What a host may hold for its callers: memory and connections.

mod byte_count;
mod connection_shares;
mod holder_id;
mod holding_kind;
mod listener_kind;
mod memory_account;
mod resource_limits;

pub use self::{
    byte_count::{ByteCount, ByteCountError},
    connection_shares::{AcceptVerdict, ConnectionShares},
    holder_id::HolderId,
    holding_kind::HoldingKind,
    listener_kind::ListenerKind,
    memory_account::{ChargeRefused, MemoryAccount},
    resource_limits::{ResourceLimits, ResourceSettings},
};

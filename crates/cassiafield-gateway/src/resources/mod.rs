//! The account of what a host holds for its callers: memory, connections and unread answers.

mod connection_slot;
mod gated_stream;
mod held_bytes;
mod memory_charge;
mod resource_keeper;
mod segment_buffer;
mod write_gate;

pub use self::{
    connection_slot::ConnectionSlot,
    gated_stream::GatedStream,
    held_bytes::{HeldBytes, HoldError},
    memory_charge::MemoryCharge,
    resource_keeper::ResourceKeeper,
    write_gate::WriteGate,
};

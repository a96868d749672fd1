//! Which connections to endpoints a host keeps, and what new ones are opened for.

mod connection_counts;
mod connection_purpose;

pub use self::{
    connection_counts::{ConnectionCounts, IdleOutcome},
    connection_purpose::ConnectionPurpose,
};

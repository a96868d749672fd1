//! Which connections to endpoints a host keeps, and what new ones are opened for.

mod connection_counts;
mod connection_plan;
mod connection_purpose;

pub use self::{
    connection_counts::{ConnectionCounts, IdleOutcome},
    connection_plan::{ConnectionCap, ConnectionPlan, IdleAllowance},
    connection_purpose::ConnectionPurpose,
};

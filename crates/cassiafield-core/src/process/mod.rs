//! What lives as long as the process.

mod allowance_book;
mod allowance_share;
mod demand_meter;
mod endpoint_health;
mod endpoint_pace;
mod endpoint_record;
mod endpoint_table;
mod fair_queue;
mod floor_hold;
mod loan_message;
mod ordinal_holder;
mod rate_bucket;
mod retry_budget;
mod route_planner;
mod slot_share;
mod usage_record;

pub use self::{
    allowance_book::{AllowanceBook, AllowanceRefusal},
    allowance_share::{AllowanceKey, AllowanceKind, AllowanceLoan, AllowanceShare, LoanId},
    endpoint_health::EndpointHealth,
    endpoint_pace::EndpointPace,
    endpoint_record::{EndpointRecord, EndpointRole, EndpointState},
    endpoint_table::EndpointTable,
    fair_queue::FairQueue,
    floor_hold::FloorHold,
    loan_message::{LoanAnswer, LoanAsk, LoanGrant, LoanRef, LoanReturn, LoanWant},
    ordinal_holder::{OrdinalHolder, RenewalResult},
    rate_bucket::RateBucket,
    retry_budget::RetryBudget,
    route_planner::{PlanError, RoutePlanner, RouteRequest, RouteRoom},
    slot_share::{LocalLimit, SlotDemand, SlotShare},
    usage_record::{RequestClass, UsageCount, UsageEnd, UsageRecord, LATENCY_BOUNDS_MS},
};

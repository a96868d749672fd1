//! What lives as long as the process.

mod allowance_ledger;
mod allowance_share;
mod data_age;
mod demand_meter;
mod endpoint_directory;
mod endpoint_entry;
mod endpoint_health;
mod endpoint_pace;
mod endpoint_record;
mod endpoint_table;
mod engine_load;
mod engine_profile;
mod fair_queue;
mod fleet_pace;
mod floor_hold;
mod layer_placement;
mod listed_entries;
mod loan_message;
mod ordinal_holder;
mod path_planner;
mod rate_bucket;
mod retry_budget;
mod retry_quota;
mod route_planner;
mod slot_share;
mod usage_record;
mod zone_value;

pub use self::{
    allowance_ledger::{AllowanceLedger, AllowanceRefusal},
    allowance_share::{AllowanceKey, AllowanceKind, AllowanceLoan, AllowanceShare, LoanId},
    data_age::DataAge,
    endpoint_directory::{DirectoryChange, EndpointDirectory, ServiceChoice},
    endpoint_entry::{EndpointEntry, EndpointIncarnation},
    endpoint_health::EndpointHealth,
    endpoint_pace::EndpointPace,
    endpoint_record::{EndpointRecord, EndpointRole, EndpointState},
    endpoint_table::EndpointTable,
    engine_load::{EngineLoad, EngineReading, EngineUse, LoadReservation, SharedReading},
    engine_profile::{AcceleratorProfile, EngineProfile},
    fair_queue::FairQueue,
    fleet_pace::FleetPace,
    floor_hold::FloorHold,
    layer_placement::{LayerAssignment, LayerPlacement, PlacementCandidate},
    listed_entries::{ListChanges, ListedEntries, ListedEntry},
    loan_message::{LoanDemand, LoanGrant, LoanRef, LoanRequest, LoanResponse, LoanReturn},
    ordinal_holder::{OrdinalHolder, RenewalResult},
    path_planner::{PathError, PathPlanner, PathRequest, PlannedPath},
    rate_bucket::RateBucket,
    retry_budget::RetryBudget,
    retry_quota::RetryQuota,
    route_planner::{PlanError, RoutePlanner, RouteRequest, RouteRoom},
    slot_share::{LocalLimit, SlotDemand, SlotShare},
    usage_record::{RequestClass, UsageCount, UsageEnd, UsageRecord, LATENCY_BOUNDS_MS},
    zone_value::ZoneValue,
};

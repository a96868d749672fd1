//! State that lives as long as the process: endpoints, allowances, queues and retry budgets.

mod allowance_ledger;
mod allowance_share;
mod carrier_directory;
mod connection_activity;
mod crash_ledger;
mod crash_report;
mod data_age;
mod demand_meter;
mod endpoint_directory;
mod endpoint_entry;
mod endpoint_health;
mod endpoint_life;
mod endpoint_limits;
mod endpoint_pauses;
mod endpoint_reach;
mod endpoint_record;
mod endpoint_standing;
mod endpoint_table;
mod engine_load;
mod engine_profile;
mod failure_report;
mod fair_queue;
mod fleet_intervals;
mod fleet_membership;
mod fleet_reach;
mod floor_transition;
mod inter_token_latency;
mod layer_placement;
mod leaving_endpoints;
mod limit_report;
mod link_load;
mod list_digest;
mod listed_entries;
mod loan_message;
mod ordinal_lease;
mod organisation_load;
mod path_cost;
mod path_planner;
mod rate_bucket;
mod reach_poll;
mod read_schedule;
mod retry_budget;
mod retry_pool;
mod retry_quota;
mod revision_notice;
mod route_planner;
mod slot_allocator;
mod survival_table;
mod sync_intervals;
mod turn_broker;
mod turn_schedule;
mod usage_record;
mod version_order;
mod zone_cost_model;
mod zone_leaders;
mod zone_members;

pub use self::{
    allowance_ledger::{AllowanceLedger, AllowanceRefusal},
    allowance_share::{AllowanceKey, AllowanceKind, AllowanceLoan, AllowanceShare, LoanId},
    carrier_directory::{CarrierDirectory, CarrierStatus, ListedHost, RequestCarrier},
    connection_activity::{ClosePolicy, CloseReason, ConnectionActivity, ConnectionPhase},
    crash_ledger::{BlockedSubject, CrashLedger, EndSummary},
    crash_report::{CrashReport, SubjectEndReport, SubjectReport},
    data_age::DataAge,
    endpoint_directory::{DirectoryChange, EndpointDirectory, ServiceChoice},
    endpoint_entry::{EndpointEntry, EndpointIncarnation},
    endpoint_health::EndpointHealth,
    endpoint_life::{EndpointLife, EndpointLifeError},
    endpoint_limits::{EndpointLimits, LimitReports},
    endpoint_pauses::EndpointPauses,
    endpoint_reach::EndpointReach,
    endpoint_record::{EndpointRecord, EndpointRole, EndpointState},
    endpoint_standing::EndpointStanding,
    endpoint_table::EndpointTable,
    engine_load::{EngineLoad, EngineReading, EngineUsage, LoadReservation, SharedReading},
    engine_profile::{AcceleratorProfile, EngineProfile},
    failure_report::{FailureCause, FailureReport},
    fair_queue::FairQueue,
    fleet_intervals::FleetIntervals,
    fleet_membership::FleetMembership,
    fleet_reach::FleetReach,
    floor_transition::FloorTransition,
    inter_token_latency::InterTokenLatency,
    layer_placement::{LayerAssignment, LayerPlacement, PlacementCandidate},
    leaving_endpoints::LeavingEndpoints,
    limit_report::LimitReport,
    link_load::{LinkLoad, LinkUsage, ZonePair},
    list_digest::ListDigest,
    listed_entries::{ListChanges, ListVerdict, ListedEntries, ListedEntry},
    loan_message::{LoanDemand, LoanGrant, LoanRef, LoanRequest, LoanResponse, LoanReturn},
    ordinal_lease::{OrdinalLease, RenewalResult},
    organisation_load::{OrganisationLoad, OrganisationUsage},
    path_cost::{PathCost, StageCost},
    path_planner::{PathError, PathPlanner, PathRequest, PlannedPath},
    rate_bucket::RateBucket,
    reach_poll::ReachPoll,
    read_schedule::{ReadSchedule, ReaderRole, StoreReadOutcome},
    retry_budget::RetryBudget,
    retry_pool::{GrantRecord, RetryPool, ZoneTraffic},
    retry_quota::{RetryLimits, RetryQuota},
    revision_notice::RevisionNotice,
    route_planner::{RouteCapacity, RoutePlanner, RouteRequest, RoutingError},
    slot_allocator::{LocalLimit, SlotAllocator, SlotDemand},
    sync_intervals::SyncIntervals,
    turn_broker::{TurnBroker, TurnRequest},
    turn_schedule::{HostShare, TurnReply, TurnSchedule},
    usage_record::{RequestClass, UsageCount, UsageOutcome, UsageRecord, LATENCY_BOUNDS_MS},
    version_order::{VersionOrder, VersionVerdict},
    zone_cost_model::ZoneCostModel,
    zone_leaders::ZoneLeaders,
    zone_members::ZoneMembers,
};

pub(crate) use self::path_planner::{Candidate, CandidateFilter, LinkTable};

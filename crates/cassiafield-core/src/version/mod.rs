//! Types whose lifetime is one version of the operators' lists or configuration.

mod fleet_lists;
mod list_edit;
mod plan_limits;
mod route_rule;
mod route_table;
mod service_rule;
mod zone_share;

pub use self::{
    fleet_lists::{
        EditRecord, FleetLists, ListError, OrganisationEntry, PlanEntry, MAX_RECENT_EDITS,
    },
    list_edit::{EditOutcome, ListChange, ListEdit},
    plan_limits::{LimitError, PlanDraft, PlanLimits},
    route_rule::{RequestKind, RouteRule, RouteTarget},
    route_table::{RouteTable, RouteTableDraft, TableError},
    service_rule::{CallerLimits, ServiceRule},
    zone_share::{FloorFraction, ZoneShare},
};

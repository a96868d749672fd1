//! What lives as long as one version of the operators' lists.

mod fleet_lists;
mod list_edit;
mod plan_limits;
mod zone_share;

pub use self::{
    fleet_lists::{EditStamp, FleetLists, ListError, OrganisationEntry, PlanEntry, EDIT_RING},
    list_edit::{EditOutcome, ListChange, ListEdit},
    plan_limits::{LimitError, PlanDraft, PlanLimits},
    zone_share::{FloorFraction, ZoneShare},
};

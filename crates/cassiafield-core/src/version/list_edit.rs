use {
    crate::{
        ids::{OrganisationId, PlanId},
        version::{FleetLists, PlanLimits, ZoneShare},
    },
    compact_str::{format_compact, CompactString},
};

/// A change to the lists.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// Creates or replaces a plan.
    SetPlan {
        /// Plan to set.
        plan: PlanId,
        /// New limits of the plan.
        limits: PlanLimits,
        /// Version of the entry that the edit is based on, 0 for a new entry; `None` skips the
        /// check.
        base: Option<u64>,
    },
    /// Removes a plan that no organisation holds.
    RemovePlan {
        /// Plan to remove.
        plan: PlanId,
        /// Version of the entry that the edit is based on; `None` skips the check.
        base: Option<u64>,
    },
    /// Creates or replaces an organisation.
    SetOrganisation {
        /// Organisation to set.
        organisation: OrganisationId,
        /// Plan that the organisation holds.
        plan: PlanId,
        /// SHA-256 hashes of its bearer keys in lower-case hexadecimal.
        key_hashes: Vec<CompactString>,
        /// Version of the entry that the edit is based on, 0 for a new entry; `None` skips the
        /// check.
        base: Option<u64>,
    },
    /// Removes an organisation.
    RemoveOrganisation {
        /// Organisation to remove.
        organisation: OrganisationId,
        /// Version of the entry that the edit is based on; `None` skips the check.
        base: Option<u64>,
    },
    /// Replaces the planned hosts and weights of all availability zones.
    SetZones(Vec<ZoneShare>),
    /// Applies several changes atomically.
    Batch(Vec<ListChange>),
}

/// A change with the unique id that makes its application idempotent.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEdit {
    /// Unique id of the edit.
    pub id: u128,
    /// Author of the edit.
    pub author: CompactString,
    /// The change.
    pub change: ListChange,
}

/// Result of applying an edit.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// Lists after the edit, to be written by compare-and-swap.
    Applied(Box<FleetLists>),
    /// The edit is already in the history of the lists.
    AlreadyApplied,
}

impl ListChange {
    /// Returns a short description of the change.
    #[must_use]
    pub fn summary(&self) -> CompactString {
        match self {
            ListChange::SetPlan { plan, .. } => format_compact!("set plan {plan}"),
            ListChange::RemovePlan { plan, .. } => format_compact!("remove plan {plan}"),
            ListChange::SetOrganisation { organisation, .. } => {
                format_compact!("set organisation {organisation}")
            }
            ListChange::RemoveOrganisation { organisation, .. } => {
                format_compact!("remove organisation {organisation}")
            }
            ListChange::SetZones(_) => CompactString::const_new("set zones"),
            ListChange::Batch(changes) => {
                let parts: Vec<_> = changes.iter().map(ListChange::summary).collect();
                truncate_summary(parts.join(", "))
            }
        }
    }
}

/// Truncates a summary to bound the size of the stored edit history.
fn truncate_summary(mut text: String) -> CompactString {
    const MAX_SUMMARY_BYTES: usize = 400;
    if text.len() > MAX_SUMMARY_BYTES {
        let end = (0..=MAX_SUMMARY_BYTES).rev().find(|&end| text.is_char_boundary(end));
        text.truncate(end.unwrap_or(0));
        text.push_str(" …");
    }
    text.into()
}

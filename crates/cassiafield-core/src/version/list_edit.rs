use {
    crate::{
        ids::{OrganisationId, PlanId},
        version::{FleetLists, PlanLimits, ZoneShare},
    },
    compact_str::{format_compact, CompactString},
};

/// One change to the lists.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// Creates or replaces a plan.
    SetPlan {
        /// The plan.
        plan: PlanId,
        /// Its new limits.
        limits: PlanLimits,
        /// Version of the entry that the editor read, 0 for none; `None` skips the comparison.
        base: Option<u64>,
    },
    /// Removes a plan that no organisation holds.
    RemovePlan {
        /// The plan.
        plan: PlanId,
        /// Version of the entry that the editor read.
        base: Option<u64>,
    },
    /// Creates or replaces an organisation.
    SetOrganisation {
        /// The organisation.
        organisation: OrganisationId,
        /// The plan it holds.
        plan: PlanId,
        /// SHA-256 hashes of its keys.
        key_hashes: Vec<CompactString>,
        /// Version of the entry that the editor read, 0 for none.
        base: Option<u64>,
    },
    /// Removes an organisation.
    RemoveOrganisation {
        /// The organisation.
        organisation: OrganisationId,
        /// Version of the entry that the editor read.
        base: Option<u64>,
    },
    /// Replaces the planned hosts of the availability zones.
    SetZones(Vec<ZoneShare>),
    /// Makes several changes or none.
    Batch(Vec<ListChange>),
}

/// A change with the id by which its writer recognises it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEdit {
    /// Unique id.
    pub id: u128,
    /// Who makes the edit.
    pub author: CompactString,
    /// The change.
    pub change: ListChange,
}

/// What applying an edit did.
#[derive(Clone, Debug, PartialEq)]
pub enum EditOutcome {
    /// The lists after the edit, to be swapped in.
    Applied(Box<FleetLists>),
    /// The lists already hold the edit.
    AlreadyApplied,
}

impl ListChange {
    /// Describes the change in a few words.
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
                shorten(parts.join(", "))
            }
        }
    }
}

/// Keeps a summary short enough for the ring of edits.
fn shorten(mut text: String) -> CompactString {
    const MAX_BYTES: usize = 400;
    if text.len() > MAX_BYTES {
        let end = (0..=MAX_BYTES).rev().find(|&end| text.is_char_boundary(end));
        text.truncate(end.unwrap_or(0));
        text.push_str(" …");
    }
    text.into()
}

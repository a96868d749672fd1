use {
    crate::{
        ids::{OrganisationId, PlanId},
        version::{EditOutcome, LimitError, ListChange, ListEdit, PlanLimits, ZoneShare},
    },
    compact_str::CompactString,
    std::{
        collections::{BTreeMap, VecDeque},
        fmt,
    },
};

/// Number of recent edits stored with the lists, by which a resent edit is recognised.
pub const MAX_RECENT_EDITS: usize = 128;

/// An organisation: its plan and the hashes of its API keys.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationEntry {
    /// Plan that the organisation holds.
    pub plan: PlanId,
    /// SHA-256 hashes of its bearer keys in lower-case hexadecimal.
    pub key_hashes: Vec<CompactString>,
    /// Number of edits of this entry.
    #[serde(default)]
    pub version: u64,
}

/// A plan and its limits.
#[derive(Clone, Debug, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanEntry {
    /// Limits of the plan.
    pub limits: PlanLimits,
    /// Number of edits of this entry.
    #[serde(default)]
    pub version: u64,
}

/// A recent edit in the history of the lists.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct EditRecord {
    /// Unique id of the edit.
    pub id: u128,
    /// Author of the edit.
    pub author: CompactString,
    /// Description of the change.
    pub summary: CompactString,
}

/// The operators' lists of organisations and plans, stored together so that they stay consistent.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLists {
    /// Planned hosts and weight of each availability zone.
    #[serde(default)]
    pub zones: Vec<ZoneShare>,
    /// Number of edits of `zones`.
    #[serde(default)]
    pub layout: u64,
    /// First list: the organisations and their plans.
    #[serde(default)]
    pub organisations: BTreeMap<OrganisationId, OrganisationEntry>,
    /// Second list: the plans and their limits.
    #[serde(default)]
    pub plans: BTreeMap<PlanId, PlanEntry>,
    /// Recent edits, oldest first; at most [`MAX_RECENT_EDITS`].
    #[serde(default)]
    pub edits: VecDeque<EditRecord>,
}

/// Reason why an edit was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum ListError {
    /// Another edit changed the entry after the editor had read it.
    Stale {
        /// Name of the entry.
        name: CompactString,
        /// Version that the edit is based on.
        base: u64,
        /// Current version of the entry.
        found: u64,
        /// Author of the most recent stored edit of the entry.
        author: Option<CompactString>,
    },
    /// An organisation still holds the plan.
    PlanInUse(PlanId, OrganisationId),
    /// The organisation holds a plan that does not exist.
    UnknownPlan(OrganisationId, PlanId),
    /// The entry does not exist.
    UnknownEntry(CompactString),
    /// Two organisations have the same API key.
    SharedKey(OrganisationId, OrganisationId),
    /// A limit of the plan is out of range.
    Limit(PlanId, LimitError),
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListError::Stale { name, base, found, author } => {
                write!(f, "{name} was changed")?;
                if let Some(author) = author {
                    write!(f, " by {author}")?;
                }
                write!(f, " since you read it (version {base}, now {found})")
            }
            ListError::PlanInUse(plan, holder) => {
                write!(f, "plan {plan} is still held by organisation {holder}")
            }
            ListError::UnknownPlan(holder, plan) => {
                write!(f, "organisation {holder} names plan {plan}, which does not exist")
            }
            ListError::UnknownEntry(name) => write!(f, "{name} does not exist"),
            ListError::SharedKey(one, other) => {
                write!(f, "organisations {one} and {other} have the same key")
            }
            ListError::Limit(plan, error) => write!(f, "plan {plan}: {error}"),
        }
    }
}

impl std::error::Error for ListError {}

impl FleetLists {
    /// Applies an edit to a copy of the lists.
    ///
    /// # Errors
    ///
    /// Returns a [`ListError`] if the edit is stale or would make the lists inconsistent.
    pub fn apply(&self, edit: &ListEdit) -> Result<EditOutcome, ListError> {
        if self.edits.iter().any(|record| record.id == edit.id) {
            return Ok(EditOutcome::AlreadyApplied);
        }
        let mut lists = self.clone();
        lists.change(&edit.change)?;
        lists.check()?;
        lists.record_edit(edit);
        Ok(EditOutcome::Applied(Box::new(lists)))
    }

    /// Returns the limits of the plan that `organisation` holds.
    #[must_use]
    pub fn plan_limits(&self, organisation: &OrganisationId) -> Option<&PlanLimits> {
        let entry = self.organisations.get(organisation)?;
        self.plans.get(&entry.plan).map(|plan| &plan.limits)
    }

    /// Returns the organisation that owns the API key with this hash.
    #[must_use]
    pub fn organisation_by_key_hash(&self, key_hash: &str) -> Option<&OrganisationId> {
        let mut entries = self.organisations.iter();
        entries
            .find(|(_, entry)| entry.key_hashes.iter().any(|hash| hash == key_hash))
            .map(|(organisation, _)| organisation)
    }

    fn change(&mut self, change: &ListChange) -> Result<(), ListError> {
        match change {
            ListChange::SetPlan { plan, limits, base } => {
                let found = self.plans.get(plan).map_or(0, |entry| entry.version);
                self.check_base(plan.as_str(), *base, found)?;
                let entry = PlanEntry { limits: limits.clone(), version: found + 1 };
                self.plans.insert(plan.clone(), entry);
            }
            ListChange::RemovePlan { plan, base } => {
                let entry = self.plans.get(plan);
                let found = entry.ok_or(ListError::UnknownEntry(plan.as_str().into()))?.version;
                self.check_base(plan.as_str(), *base, found)?;
                self.check_unused(plan)?;
                self.plans.remove(plan);
            }
            ListChange::SetOrganisation { organisation, plan, key_hashes, base } => {
                let found = self.organisations.get(organisation).map_or(0, |entry| entry.version);
                self.check_base(organisation.as_str(), *base, found)?;
                let entry = OrganisationEntry {
                    plan: plan.clone(),
                    key_hashes: key_hashes.clone(),
                    version: found + 1,
                };
                self.organisations.insert(organisation.clone(), entry);
            }
            ListChange::RemoveOrganisation { organisation, base } => {
                let entry = self.organisations.get(organisation);
                let name = CompactString::from(organisation.as_str());
                let found = entry.ok_or(ListError::UnknownEntry(name))?.version;
                self.check_base(organisation.as_str(), *base, found)?;
                self.organisations.remove(organisation);
            }
            ListChange::SetZones(zones) => {
                self.zones.clone_from(zones);
                self.layout += 1;
            }
            ListChange::Batch(changes) => {
                for change in changes {
                    self.change(change)?;
                }
            }
        }
        Ok(())
    }

    fn check_base(&self, name: &str, base: Option<u64>, found: u64) -> Result<(), ListError> {
        match base {
            Some(base) if base != found => {
                let record = self.edits.iter().rev().find(|record| record.mentions(name));
                let author = record.map(|record| record.author.clone());
                Err(ListError::Stale { name: name.into(), base, found, author })
            }
            _ => Ok(()),
        }
    }

    fn check_unused(&self, plan: &PlanId) -> Result<(), ListError> {
        let mut entries = self.organisations.iter();
        match entries.find(|(_, entry)| &entry.plan == plan) {
            Some((holder, _)) => Err(ListError::PlanInUse(plan.clone(), holder.clone())),
            None => Ok(()),
        }
    }

    fn check(&self) -> Result<(), ListError> {
        let mut holders = BTreeMap::new();
        for (organisation, entry) in &self.organisations {
            if !self.plans.contains_key(&entry.plan) {
                return Err(ListError::UnknownPlan(organisation.clone(), entry.plan.clone()));
            }
            for hash in &entry.key_hashes {
                match holders.insert(hash, organisation) {
                    Some(other) if other != organisation => {
                        return Err(ListError::SharedKey(other.clone(), organisation.clone()));
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    fn record_edit(&mut self, edit: &ListEdit) {
        while self.edits.len() >= MAX_RECENT_EDITS {
            self.edits.pop_front();
        }
        self.edits.push_back(EditRecord {
            id: edit.id,
            author: edit.author.clone(),
            summary: edit.change.summary(),
        });
    }
}

impl EditRecord {
    fn mentions(&self, name: &str) -> bool {
        self.summary.split([' ', ',']).any(|word| word == name)
    }
}
